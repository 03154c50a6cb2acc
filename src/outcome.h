#ifndef OUTCOME_H
#define OUTCOME_H

#include "engine.h"
#include "relay.h"

/** @file
 * Handles the response of an attempt: relays it to the caller as it arrives,
 * and when the attempt ends, completes the request, resumes the stream,
 * retries on another backend server, or refuses the request. The data argument
 * of the callbacks is the struct request.
 */

extern const struct engine_stream_ops outcome_stream_ops;
extern const struct relay_ops outcome_relay_ops;

#endif
