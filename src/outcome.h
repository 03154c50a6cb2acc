#ifndef OUTCOME_H
#define OUTCOME_H

#include "engine.h"
#include "relay.h"

/** @file
 * What becomes of an attempt: its answer is passed on piece by piece, and its
 * end decides between the final answer, a resume, and another attempt. The
 * data of the callbacks is the struct request.
 */

extern const struct engine_stream_ops outcome_stream_ops;
extern const struct relay_ops outcome_relay_ops;

#endif
