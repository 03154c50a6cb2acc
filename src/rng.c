#include "rng.h"

#include <assert.h>

void
rng_init (struct rng *rng, uint64_t seed)
{
  /* One step of splitmix64 gives similar seeds unrelated states. Zero is not a
   * valid state of xorshift64*. */
  uint64_t z = seed + UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  z ^= z >> 31;
  rng->state = z != 0 ? z : 1;
}

uint64_t
rng_next (struct rng *rng)
{
  uint64_t x = rng->state;

  x ^= x >> 12;
  x ^= x << 25;
  x ^= x >> 27;
  rng->state = x;
  return x * UINT64_C (0x2545f4914f6cdd1d);
}

uint64_t
rng_below (struct rng *rng, uint64_t bound)
{
  assert (bound > 0);
  return rng_next (rng) % bound;
}

double
rng_uniform (struct rng *rng)
{
  return (double)(rng_next (rng) >> 11) * 0x1.0p-53;
}
