#include "cacheretire.h"
#include "weights.h"

#include <string.h>

enum
{
  CHECK_INTERVAL_MS = 50,
  /* Time within which another host must have confirmed that this host knows
   * the newest weights, if its lease may have expired. */
  CONFIRMED_MS = 1000
};

/* Share of a model's engines that must have newer weights before blocks of
 * older weights are no longer fetched. With a lower share the engines that
 * still have the older weights would recompute more than is gained. */
static const double newer_engine_share = 0.67;

struct cacheretire_model
{
  uint64_t oldest_fetched_version; /* Oldest version whose blocks this host
                              still fetches. */
  uint64_t newest_seen; /* Newest version that any engine has had so far. */
};

void
cacheretire_init (struct cacheretire *cacheretire, const struct clock *clock,
                  struct log *log, const struct servers *servers,
                  struct presence *presence,
                  const struct kvview *operator_view, GHashTable *wanted)
{
  memset (cacheretire, 0, sizeof *cacheretire);
  cacheretire->clock = clock;
  cacheretire->log = log;
  cacheretire->servers = servers;
  cacheretire->presence = presence;
  cacheretire->operator_view = operator_view;
  cacheretire->wanted = wanted;
  cacheretire->models
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
cacheretire_finish (struct cacheretire *cacheretire)
{
  g_hash_table_destroy (cacheretire->models);
}

static gint
compare_newest_first (gconstpointer a, gconstpointer b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return (left < right) - (left > right);
}

/* Returns the weight version of each engine of MODEL, sorted newest first. The
 * caller frees the array. */
static GArray *
engine_versions (const struct cacheretire *cacheretire, const char *model)
{
  GArray *versions = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, cacheretire->servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      uint64_t version = server_weight_version (value, model);

      if (version != 0)
        g_array_append_val (versions, version);
    }
  g_array_sort (versions, compare_newest_first);
  return versions;
}

static struct cacheretire_model *
model_find_or_add (struct cacheretire *cacheretire, const char *name)
{
  struct cacheretire_model *model
      = g_hash_table_lookup (cacheretire->models, name);

  if (model != NULL)
    return model;
  model = g_new0 (struct cacheretire_model, 1);
  g_hash_table_insert (cacheretire->models, g_strdup (name), model);
  return model;
}

static void
model_check (struct cacheretire *cacheretire, const char *name)
{
  struct cacheretire_model *model = model_find_or_add (cacheretire, name);
  GArray *versions = engine_versions (cacheretire, name);
  uint64_t majority_version;
  uint64_t oldest;

  if (versions->len > 0)
    {
      oldest = g_array_index (versions, uint64_t, versions->len - 1);
      model->newest_seen
          = MAX (model->newest_seen, g_array_index (versions, uint64_t, 0));
      majority_version
          = g_array_index (versions, uint64_t,
                           (guint)(newer_engine_share * (versions->len - 1)));
      if (majority_version > model->oldest_fetched_version
          && majority_version > oldest)
        {
          model->oldest_fetched_version = majority_version;
          presence_announce_oldest_version (cacheretire->presence, name,
                                            majority_version);
          log_event (cacheretire->log, EVENT_CACHE_RETIRED,
                     "model=%s before=%lu engines=%u newest=%lu", name,
                     (unsigned long)majority_version, versions->len,
                     (unsigned long)model->newest_seen);
        }
    }
  g_array_free (versions, TRUE);
}

void
cacheretire_tick (struct cacheretire *cacheretire)
{
  int64_t now = clock_now (cacheretire->clock);
  GHashTableIter iter;
  gpointer name;

  if (now < cacheretire->next_check_ns)
    return;
  cacheretire->next_check_ns = now + CHECK_INTERVAL_MS * NS_PER_MS;
  g_hash_table_iter_init (&iter, cacheretire->wanted);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    model_check (cacheretire, name);
}

/* Whether no other host can know of newer weights than this one does. */
static bool
knows_newest_weights (const struct cacheretire *cacheretire)
{
  return g_hash_table_size (cacheretire->presence->hosts) == 0
         || kvview_is_confirmed (cacheretire->operator_view,
                                 CONFIRMED_MS * NS_PER_MS);
}

bool
cacheretire_allows_fetch (const struct cacheretire *cacheretire,
                          const char *model, uint64_t version)
{
  const struct cacheretire_model *state
      = g_hash_table_lookup (cacheretire->models, model);

  if (state == NULL)
    return true;
  if (version < state->oldest_fetched_version)
    return false;
  return presence_lease_is_valid_for (cacheretire->presence, 0)
         || (version >= state->newest_seen
             && knows_newest_weights (cacheretire));
}

uint64_t
cacheretire_fleet_version (const struct cacheretire *cacheretire,
                           const char *model)
{
  const struct cacheretire_model *state
      = g_hash_table_lookup (cacheretire->models, model);
  uint64_t oldest_fetched_version
      = state != NULL ? state->oldest_fetched_version : 0;
  GHashTableIter iter;
  gpointer host;

  g_hash_table_iter_init (&iter, cacheretire->presence->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &host))
    oldest_fetched_version = MIN (oldest_fetched_version,
                                  presence_host_oldest_version (host, model));
  return oldest_fetched_version;
}
