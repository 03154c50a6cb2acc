#ifndef JSONRESPONSE_H
#define JSONRESPONSE_H

#include "request.h"

/** @file
 * The JSON responses that the gateway itself creates for callers.
 */

/** End the response to REQUEST with an error. If its stream has already
 * started, the stream ends with an error event and without the end mark. Does
 * nothing if the response has ended or the caller has disconnected. */
void jsonresponse_end_request (struct request *request,
                               enum requeststate_outcome outcome,
                               const struct refusal *refusal);

/** Respond to HTTP with an error for which no struct request exists. */
void jsonresponse_send_error (struct httpserver_request *http,
                              const struct refusal *refusal);

/** Respond to HTTP with OBJECT, whose reference is taken over. */
void jsonresponse_send (struct httpserver_request *http, int status,
                        struct json_object *object);

#endif
