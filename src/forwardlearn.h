#ifndef FORWARDLEARN_H
#define FORWARDLEARN_H

#include "forward.h"

/** @file
 * Updates the recorded state of a backend server, and of the store that the
 * server fetched KV cache from, from the responses to requests.
 */

/** Record what the head of a response states of its server. */
void forward_learn_statements (struct forward_attempt *attempt);

/** Record that the server has responded, which proves that the links to it
 * work. */
void forward_learn_answered (struct forward_attempt *attempt);

/** Record that the server of the attempt, if there is one, has not
 * responded for long enough to doubt the links. */
void forward_learn_silence (struct forward_attempt *attempt, int64_t now);

/** Update the recorded state after the head of the response was received.
 * Called before the first bytes of the response are relayed. */
void forward_learn_response_head (struct forward_attempt *attempt);

/** Update the recorded state after an attempt ended with OUTCOME. */
void forward_learn_outcome (struct forward_attempt *attempt,
                            enum exchange_outcome outcome);

#endif
