#ifndef CHOOSESPREAD_H
#define CHOOSESPREAD_H

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

struct server;

struct choosespread_candidate
{
  struct server *server;
  double cost_ms;
  double backlog_ms;
  double prompt_ms;
  double comparable_ms;
  double store_delay_ms;
  uint64_t cached_tokens;
  bool in_local_data_centre;
};

struct choosespread
{
  struct choosespread_candidate candidates[CHOOSESPREAD_MAX];
  unsigned count; /**< Number of candidates that were added. */
};

void choosespread_add (struct choosespread *spread,
                       const struct choosespread_candidate *candidate,
                       struct rng *rng);

/** Return the candidate to take, where BEST has the least cost of all.
 * PROMPT_TOKENS: number of tokens of the prompt */
const struct choosespread_candidate *
choosespread_pick (struct choosespread *spread,
                   const struct choosespread_candidate *best,
                   unsigned prompt_tokens, double near_ms, struct rng *rng);

#endif
