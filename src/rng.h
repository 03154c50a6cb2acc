#ifndef RNG_H
#define RNG_H

#include <stdint.h>

/** @file
 * A small pseudorandom number generator (xorshift64*) with a seed, so that
 * runs can be reproduced. It is not suitable for secrets.
 */

struct rng
{
  uint64_t state;
};

/** Initialise RNG; any SEED is allowed. */
void rng_init (struct rng *rng, uint64_t seed);

/** Return a number of 64 random bits. */
uint64_t rng_next (struct rng *rng);

/** Return a number in [0, BOUND); BOUND is at least 1. */
uint64_t rng_below (struct rng *rng, uint64_t bound);

/** Return a number in [0, 1). */
double rng_uniform (struct rng *rng);

#endif
