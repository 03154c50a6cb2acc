#include "cachegc.h"
#include "evacuation.h"
#include "weights.h"

#include <string.h>

enum
{
  ROUND_INTERVAL_MS = 200,
  BLOCKS_PER_CALL_MAX = 64,
  CALL_TIMEOUT_MS = 1000,
  /* Time from the retirement of a version until its blocks are freed: the
   * maximum duration of a fetch that began before, and 500 ms by which clocks
   * may differ. */
  RETIRED_GRACE_MS = KVSTORES_FETCH_TIMEOUT_MAX_MS + 500
};

void
cachegc_init (struct cachegc *cachegc, const struct clock *clock,
              struct log *log, const struct dialect *dialect,
              struct httpjson *httpjson, struct rollout *rollout,
              struct kvstores *kvstores, struct servers *servers,
              const struct cacheretire *cacheretire)
{
  memset (cachegc, 0, sizeof *cachegc);
  cachegc->clock = clock;
  cachegc->log = log;
  cachegc->dialect = dialect;
  cachegc->httpjson = httpjson;
  cachegc->rollout = rollout;
  cachegc->kvstores = kvstores;
  cachegc->servers = servers;
  cachegc->cacheretire = cacheretire;
  cachegc->models
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
cachegc_finish (struct cachegc *cachegc)
{
  g_hash_table_destroy (cachegc->models);
}

/* Returns the oldest version of MODEL's weights that any engine has loaded; 0
 * if unknown. */
static uint64_t
oldest_version (const struct cachegc *cachegc, const char *model)
{
  uint64_t oldest = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, cachegc->servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      uint64_t version = server_weight_version (value, model);

      if (version != 0 && (oldest == 0 || version < oldest))
        oldest = version;
    }
  return oldest;
}

/* Records that the versions before OLDEST are retired since NOW, unless they
 * were retired before. Versions that are in use again are no longer retired.
 */
static void
versions_retire (struct cachegc_model *state, uint64_t oldest, int64_t now)
{
  uint64_t first = state->oldest_fetched_version;

  for (unsigned i = 0; i < CACHEGC_VERSIONS_MAX; i++)
    if (state->retired[i].version >= oldest)
      state->retired[i].version = 0;
  if (first + CACHEGC_VERSIONS_MAX < oldest)
    first = oldest - CACHEGC_VERSIONS_MAX;
  for (uint64_t version = first; version < oldest; version++)
    if (version > 0)
      {
        state->retired[version % CACHEGC_VERSIONS_MAX].version = version;
        state->retired[version % CACHEGC_VERSIONS_MAX].since_ns = now;
      }
  state->oldest_fetched_version = oldest;
}

static void
model_update (struct cachegc *cachegc, const char *model, int64_t now)
{
  struct cachegc_model *state = g_hash_table_lookup (cachegc->models, model);
  uint64_t oldest
      = MAX (oldest_version (cachegc, model),
             cacheretire_fleet_version (cachegc->cacheretire, model));

  if (state == NULL)
    {
      state = g_new0 (struct cachegc_model, 1);
      g_hash_table_insert (cachegc->models, g_strdup (model), state);
    }
  versions_retire (state, oldest, now);
}

static void
version_free_blocks (struct cachegc *cachegc, struct kvstore *store,
                     const char *model, uint64_t version)
{
  struct cache_block blocks[BLOCKS_PER_CALL_MAX];
  char prefix[CACHE_SCOPE_MAX];
  unsigned count;

  /* The blocks are freed after the evacuation. */
  if (evacuation_is_evacuated (store->kvstores->evacuation,
                               store->data_centre))
    return;
  g_snprintf (prefix, sizeof prefix, CACHE_SCOPE_FORMAT, model, version);
  count = kvstore_take_blocks (store, prefix, blocks, BLOCKS_PER_CALL_MAX);
  if (count == 0)
    return;
  log_event (cachegc->log, EVENT_CACHE_FREED,
             "store=%s scope=%s parts=%u fence=%lu", store->name, prefix,
             count, (unsigned long)cachegc->rollout->fencing_token);
  cachegc->dialect->cache_free (cachegc->httpjson, store->address,
                                store->epoch, blocks, count,
                                CALL_TIMEOUT_MS * NS_PER_MS);
}

static void
model_free_blocks (struct cachegc *cachegc, const char *model, int64_t now)
{
  const struct cachegc_model *state
      = g_hash_table_lookup (cachegc->models, model);

  for (unsigned i = 0; i < CACHEGC_VERSIONS_MAX; i++)
    {
      uint64_t version = state->retired[i].version;

      if (version == 0
          || now - state->retired[i].since_ns < RETIRED_GRACE_MS * NS_PER_MS)
        continue;
      for (guint j = 0; j < cachegc->kvstores->stores->len; j++)
        {
          struct kvstore *store = cachegc->kvstores->stores->pdata[j];

          if (store->in_sync)
            version_free_blocks (cachegc, store, model, version);
        }
    }
}

void
cachegc_tick (struct cachegc *cachegc)
{
  int64_t now = clock_now (cachegc->clock);
  GHashTableIter iter;
  gpointer model;

  if (now < cachegc->next_round_ns)
    return;
  cachegc->next_round_ns = now + ROUND_INTERVAL_MS * NS_PER_MS;
  g_hash_table_iter_init (&iter, cachegc->rollout->wanted);
  while (g_hash_table_iter_next (&iter, &model, NULL))
    {
      model_update (cachegc, model, now);
      if (rollout_may_order (cachegc->rollout))
        model_free_blocks (cachegc, model, now);
    }
}
