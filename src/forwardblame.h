#ifndef FORWARDBLAME_H
#define FORWARDBLAME_H

#include "forward.h"

/** @file
 * Connects requests to blame.h: which parts a request has, whether one of them
 * is blocked, and what the end of an attempt says about them.
 */

/** Set the parts of the request: the blocks of its prompt that others may
 * share, then its fingerprint. */
void forwardblame_set_parts (struct forward *forward);

/** Whether the request has a blocked part. Logs why. If the request is the one
 * that is tried after a block, its first attempt is allowed. */
bool forwardblame_is_blocked (struct forward *forward);

/** Whether the request has a blocked part now. */
bool forwardblame_has_block (const struct forward *forward);

/** Record what OUTCOME of ATTEMPT says about the parts of its request. */
void forwardblame_learn (struct forward_attempt *attempt,
                         enum exchange_outcome outcome);

#endif
