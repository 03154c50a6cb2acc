#ifndef FORWARDLEARN_H
#define FORWARDLEARN_H

#include "forward.h"

/** @file
 * Updates the state of a server, and of the store that it fetched KV cache
 * from, by the response to a request.
 */

/** The first bytes of the response are about to be relayed. */
void forward_learn_response_head (struct forward *forward);

/** The attempt ended with OUTCOME. */
void forward_learn_outcome (struct forward *forward,
                            enum exchange_outcome outcome);

#endif
