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

/** Send an error response to HTTP, for which no struct request exists. */
void jsonresponse_send_error (struct httpserver_request *http,
                              const struct refusal *refusal);

/** Send OBJECT as the response to HTTP. Takes over the reference to OBJECT. */
void jsonresponse_send (struct httpserver_request *http, int status,
                        struct json_object *object);

#endif
