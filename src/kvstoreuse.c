#include "kvstoreuse.h"
#include "evacuation.h"
#include "rendezvous.h"

#include <math.h>
#include <string.h>

/* The expected delay halves in this time without a new measurement. */
static const double fetch_delay_half_life_ns = 1.0 * NS_PER_S;
/* Weight of the newest measurement in the moving average of the delay. */
static const double fetch_delay_gain = 0.25;

double
kvstore_expected_delay_ms (const struct kvstore *store)
{
  double age = (double)(clock_now (store->kvstores->clock)
                        - store->fetch_delay_updated_ns);

  return store->fetch_delay_ms * exp2 (-age / fetch_delay_half_life_ns);
}

void
kvstore_record_delay (struct kvstore *store, double delay_ms)
{
  double expected_ms = kvstore_expected_delay_ms (store);

  store->fetch_delay_ms
      = expected_ms + fetch_delay_gain * (MAX (delay_ms, 0) - expected_ms);
  store->fetch_delay_updated_ns = clock_now (store->kvstores->clock);
}

struct kvstore *
kvstores_find_block (const struct kvstores *kvstores, const char *scope,
                     const struct call_block *block, const char *data_centre,
                     const struct homes *homes)
{
  struct kvstore *found = NULL;

  for (guint i = 0; i < kvstores->stores->len; i++)
    {
      struct kvstore *store = kvstores->stores->pdata[i];

      if (kvstore_block_tokens (store, scope, block->id)
              < MAX (block->tokens, 1U)
          || evacuation_is_evacuated (kvstores->evacuation, store->data_centre)
          || !homes_allow_data_centre (homes, store->data_centre))
        continue;
      if (strcmp (store->data_centre, data_centre) == 0)
        return store;
      found = store;
    }
  return found;
}

/* Weighted rendezvous hashing: each store is preferred for a share of all
 * blocks that is proportional to its capacity. */
static double
store_weight (const struct kvstore *store, uint64_t block)
{
  uint64_t hash
      = rendezvous_weight (g_str_hash (store->name), &block, sizeof block);
  double unit = ((double)(hash >> 11) + 0.5) / (double)(UINT64_C (1) << 53);

  return -(double)store->capacity_tokens / log (unit);
}

const struct kvstore *
kvstores_choose_save_target (const struct kvstores *kvstores, uint64_t block,
                             unsigned tokens, const char *data_centre,
                             const struct homes *homes)
{
  const struct kvstore *best = NULL;
  bool best_is_local = false;
  double best_weight = 0;

  for (guint i = 0; i < kvstores->stores->len; i++)
    {
      const struct kvstore *store = kvstores->stores->pdata[i];
      bool is_local = strcmp (store->data_centre, data_centre) == 0;
      double weight = store_weight (store, block);

      if (!kvstore_accepts_blocks (store)
          || evacuation_is_evacuated (kvstores->evacuation, store->data_centre)
          || !homes_allow_data_centre (homes, store->data_centre)
          || (double)(store->stored_tokens + tokens)
                 > kvstores->settings.fill_share_max
                       * (double)store->capacity_tokens)
        continue;
      if (best != NULL
          && (is_local < best_is_local
              || (is_local == best_is_local && weight <= best_weight)))
        continue;
      best = store;
      best_is_local = is_local;
      best_weight = weight;
    }
  return best;
}

uint64_t
kvstores_fetch_deadline_ms (const struct kvstores *kvstores,
                            int64_t timeout_ns)
{
  int64_t limited_ns
      = MIN (timeout_ns, KVSTORES_FETCH_TIMEOUT_MAX_MS * NS_PER_MS);
  int64_t deadline_ns = clock_now (kvstores->clock)
                        + kvstores->engine_clock_offset_ns + limited_ns;

  return kvstores->engine_clock_is_known && deadline_ns > 0
             ? (uint64_t)(deadline_ns / NS_PER_MS)
             : 0;
}
