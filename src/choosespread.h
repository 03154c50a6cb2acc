#ifndef CHOOSESPREAD_H
#define CHOOSESPREAD_H

#include "choosecost.h"
#include "rng.h"

#include <stdbool.h>
#include <stdint.h>

/** @file
 * Keeps the hosts from all choosing the same server of varying speed.
 *
 * What a host knows of the work that others send is up to some hundred ms old.
 * If each host took the server with the least expected time, all would send to
 * the one that looks idle or fast until their next reports. Instead, a host
 * takes the better one of two random candidates that are nearly equal to the
 * best one.
 */

enum
{
  /** Number of candidates that are kept; of more, a random part is. */
  CHOOSESPREAD_MAX = 64
};

struct choosespread
{
  struct choose_candidate candidates[CHOOSESPREAD_MAX];
  unsigned count; /**< Number of candidates that were added. */
};

void choosespread_add (struct choosespread *spread,
                       const struct choose_candidate *candidate,
                       struct rng *rng);

/** Return the candidate to take, where BEST has the least cost of all.
 * PROMPT_TOKENS: number of tokens of the prompt */
const struct choose_candidate *
choosespread_pick (struct choosespread *spread,
                   const struct choose_candidate *best, unsigned prompt_tokens,
                   double near_ms, struct rng *rng);

#endif
