#ifndef ANSWER_H
#define ANSWER_H

#include "request.h"

/** @file
 * The gateway's own answers to callers, in JSON.
 */

/** Give the caller of REQUEST its final answer; an answer that has begun
 * ends with an error event and without the end mark. */
void answer_refuse (struct request *request, enum settle_outcome outcome,
                    const struct refusal *refusal);

/** Answer HTTP with an error for which there is no request. */
void answer_error (struct httpserver_request *http,
                   const struct refusal *refusal);

/** Answer HTTP with OBJECT, which is taken over. */
void answer_json (struct httpserver_request *http, int status,
                  struct json_object *object);

#endif
