#include "cachetrim.h"
#include "weights.h"

#include <string.h>

enum
{
  PAUSE_MS = 200, /* between two rounds over the stores */
  PARTS_MAX = 64, /* freed by one call */
  CALL_MS = 1000,
  /* Over the time that a fetch may take, and what clocks may differ by. */
  SETTLE_MS = KVSTORES_FETCH_MAX_MS + 500
};

void
cachetrim_init (struct cachetrim *cachetrim, const struct clock *clock,
                struct log *log, const struct dialect *dialect,
                struct httpjson *httpjson, struct weightswap *weightswap,
                struct kvstores *kvstores, struct servers *servers,
                const struct retire *retire)
{
  memset (cachetrim, 0, sizeof *cachetrim);
  cachetrim->clock = clock;
  cachetrim->log = log;
  cachetrim->dialect = dialect;
  cachetrim->httpjson = httpjson;
  cachetrim->weightswap = weightswap;
  cachetrim->kvstores = kvstores;
  cachetrim->servers = servers;
  cachetrim->retire = retire;
  cachetrim->models
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
cachetrim_finish (struct cachetrim *cachetrim)
{
  g_hash_table_destroy (cachetrim->models);
}

/* The oldest version of MODEL's weights that an engine has; 0: unknown. */
static uint64_t
oldest_version (const struct cachetrim *cachetrim, const char *model)
{
  uint64_t oldest = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, cachetrim->servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      uint64_t version = server_version (value, model);

      if (version != 0 && (oldest == 0 || version < oldest))
        oldest = version;
    }
  return oldest;
}

/* Note since when no part of each version is fetched. */
static void
versions_clear (struct cachetrim_model *known, uint64_t oldest, int64_t now)
{
  uint64_t first = known->oldest;

  for (unsigned i = 0; i < CACHETRIM_VERSIONS; i++)
    if (known->cleared[i].version >= oldest)
      known->cleared[i].version = 0;
  if (first + CACHETRIM_VERSIONS < oldest)
    first = oldest - CACHETRIM_VERSIONS;
  for (uint64_t version = first; version < oldest; version++)
    if (version > 0)
      {
        known->cleared[version % CACHETRIM_VERSIONS].version = version;
        known->cleared[version % CACHETRIM_VERSIONS].since_ns = now;
      }
  known->oldest = oldest;
}

static void
oldest_note (struct cachetrim *cachetrim, const char *model, int64_t now)
{
  struct cachetrim_model *known
      = g_hash_table_lookup (cachetrim->models, model);
  uint64_t oldest = MAX (oldest_version (cachetrim, model),
                         retire_fleet (cachetrim->retire, model));

  if (known == NULL)
    {
      known = g_new0 (struct cachetrim_model, 1);
      g_hash_table_insert (cachetrim->models, g_strdup (model), known);
    }
  versions_clear (known, oldest, now);
}

static void
version_trim (struct cachetrim *cachetrim, struct kvstore *store,
              const char *model, uint64_t version)
{
  struct cache_part parts[PARTS_MAX];
  char prefix[CACHE_SCOPE_MAX];
  unsigned count;

  g_snprintf (prefix, sizeof prefix, CACHE_SCOPE_FORMAT, model, version);
  count = kvstore_take_parts (store, prefix, parts, PARTS_MAX);
  if (count == 0)
    return;
  log_event (cachetrim->log, EVENT_CACHE_FREED,
             "store=%s scope=%s parts=%u fence=%lu", store->name, prefix,
             count, (unsigned long)cachetrim->weightswap->fence);
  cachetrim->dialect->cache_free (cachetrim->httpjson, store->address,
                                  store->epoch, parts, count,
                                  CALL_MS * NS_PER_MS);
}

static void
model_trim (struct cachetrim *cachetrim, const char *model, int64_t now)
{
  const struct cachetrim_model *known
      = g_hash_table_lookup (cachetrim->models, model);

  for (unsigned i = 0; i < CACHETRIM_VERSIONS; i++)
    {
      uint64_t version = known->cleared[i].version;

      if (version == 0
          || now - known->cleared[i].since_ns < SETTLE_MS * NS_PER_MS)
        continue;
      for (guint j = 0; j < cachetrim->kvstores->stores->len; j++)
        {
          struct kvstore *store = cachetrim->kvstores->stores->pdata[j];

          if (store->in_step)
            version_trim (cachetrim, store, model, version);
        }
    }
}

void
cachetrim_tick (struct cachetrim *cachetrim)
{
  int64_t now = clock_now (cachetrim->clock);
  GHashTableIter iter;
  gpointer model;

  if (now < cachetrim->next_ns)
    return;
  cachetrim->next_ns = now + PAUSE_MS * NS_PER_MS;
  g_hash_table_iter_init (&iter, cachetrim->weightswap->wanted);
  while (g_hash_table_iter_next (&iter, &model, NULL))
    {
      oldest_note (cachetrim, model, now);
      if (weightswap_may_order (cachetrim->weightswap))
        model_trim (cachetrim, model, now);
    }
}
