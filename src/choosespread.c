#include "choosespread.h"

#include <glib.h>

/* Largest part of a prompt that a candidate may have to prefill beyond what
 * the best one has to. */
static const double recomputed_share_max = 0.1;

void
choosespread_add (struct choosespread *spread,
                  const struct choose_candidate *candidate, struct rng *rng)
{
  uint64_t index = spread->count++;

  if (index >= CHOOSESPREAD_MAX)
    index = rng_below (rng, spread->count);
  if (index < CHOOSESPREAD_MAX)
    spread->candidates[index] = *candidate;
}

/* Whether CANDIDATE costs about as much as BEST, is not cold if BEST is warm,
 * would not have to recompute
 * much more of the prompt, and is no farther away. */
static bool
is_near (const struct choose_candidate *candidate,
         const struct choose_candidate *best, unsigned prompt_tokens,
         double near_ms)
{
  return candidate->cost_ms <= best->cost_ms + near_ms
         && candidate->is_cold <= best->is_cold
         && (candidate->server->in_local_data_centre
             || !best->server->in_local_data_centre)
         && (double)candidate->estimate.cached_tokens
                    + recomputed_share_max * prompt_tokens
                >= (double)best->estimate.cached_tokens;
}

const struct choose_candidate *
choosespread_pick (struct choosespread *spread,
                   const struct choose_candidate *best, unsigned prompt_tokens,
                   double near_ms, struct rng *rng)
{
  const struct choose_candidate *near[CHOOSESPREAD_MAX];
  const struct choose_candidate *a, *b;
  unsigned count = 0;

  for (unsigned i = 0; i < MIN (spread->count, CHOOSESPREAD_MAX); i++)
    if (is_near (&spread->candidates[i], best, prompt_tokens, near_ms))
      near[count++] = &spread->candidates[i];
  if (count == 0)
    return best;
  a = near[rng_below (rng, count)];
  b = near[rng_below (rng, count)];
  return a->cost_ms <= b->cost_ms ? a : b;
}
