#include "rendezvous.h"

#include <xxhash.h>

uint64_t
rendezvous_weight (uint64_t node, const void *key, size_t size)
{
  return XXH3_64bits_withSeed (key, size, node);
}

int
rendezvous_pick (const uint64_t *nodes, size_t count, const void *key,
                 size_t size)
{
  int best = -1;
  uint64_t best_weight = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t weight = rendezvous_weight (nodes[i], key, size);

      if (best < 0 || weight > best_weight
          || (weight == best_weight && nodes[i] > nodes[best]))
        {
          best = (int)i;
          best_weight = weight;
        }
    }
  return best;
}
