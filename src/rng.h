#ifndef RNG_H
#define RNG_H

#include <stdint.h>

/** @file
 * A small seeded random source (xorshift64*), so that runs can be repeated.
 * Not for secrets.
 */

struct rng
{
  uint64_t state;
};

/** Any SEED is allowed. */
void rng_init (struct rng *rng, uint64_t seed);

uint64_t rng_next (struct rng *rng);

/** A number in [0, BOUND); BOUND is at least 1. */
uint64_t rng_below (struct rng *rng, uint64_t bound);

/** A number in [0, 1). */
double rng_unit (struct rng *rng);

#endif
