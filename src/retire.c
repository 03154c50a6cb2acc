#include "retire.h"
#include "weights.h"

#include <string.h>

enum
{
  PERIOD_MS = 50 /* between two looks at the engines' versions */
};

/* Share of a model's engines that must have newer weights before parts of the
 * older ones are no longer fetched: earlier, the engines that still have them
 * read more again than is gained. */
static const double newer_share = 0.67;

struct retire_model
{
  uint64_t kept;   /* Parts of older weights are not fetched. */
  uint64_t newest; /* that an engine was seen to have */
};

void
retire_init (struct retire *retire, const struct clock *clock, struct log *log,
             const struct servers *servers, struct presence *presence,
             GHashTable *wanted)
{
  memset (retire, 0, sizeof *retire);
  retire->clock = clock;
  retire->log = log;
  retire->servers = servers;
  retire->presence = presence;
  retire->wanted = wanted;
  retire->models
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
retire_finish (struct retire *retire)
{
  g_hash_table_destroy (retire->models);
}

static gint
newer_first (gconstpointer a, gconstpointer b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return (left < right) - (left > right);
}

/* The versions of MODEL's weights at its engines, newest first. */
static GArray *
versions_of (const struct retire *retire, const char *model)
{
  GArray *versions = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, retire->servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      uint64_t version = server_version (value, model);

      if (version != 0)
        g_array_append_val (versions, version);
    }
  g_array_sort (versions, newer_first);
  return versions;
}

static struct retire_model *
model_known (struct retire *retire, const char *name)
{
  struct retire_model *model = g_hash_table_lookup (retire->models, name);

  if (model != NULL)
    return model;
  model = g_new0 (struct retire_model, 1);
  g_hash_table_insert (retire->models, g_strdup (name), model);
  return model;
}

static void
model_look (struct retire *retire, const char *name)
{
  struct retire_model *model = model_known (retire, name);
  GArray *versions = versions_of (retire, name);
  uint64_t of_most;
  uint64_t oldest;

  if (versions->len > 0)
    {
      oldest = g_array_index (versions, uint64_t, versions->len - 1);
      model->newest
          = MAX (model->newest, g_array_index (versions, uint64_t, 0));
      of_most = g_array_index (versions, uint64_t,
                               (guint)(newer_share * (versions->len - 1)));
      if (of_most > model->kept && of_most > oldest)
        {
          model->kept = of_most;
          presence_tell_weights (retire->presence, name, of_most);
          log_event (retire->log, EVENT_CACHE_RETIRED,
                     "model=%s before=%lu engines=%u newest=%lu", name,
                     (unsigned long)of_most, versions->len,
                     (unsigned long)model->newest);
        }
    }
  g_array_free (versions, TRUE);
}

void
retire_tick (struct retire *retire)
{
  int64_t now = clock_now (retire->clock);
  GHashTableIter iter;
  gpointer name;

  if (now < retire->next_ns)
    return;
  retire->next_ns = now + PERIOD_MS * NS_PER_MS;
  g_hash_table_iter_init (&iter, retire->wanted);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    model_look (retire, name);
}

bool
retire_allows (const struct retire *retire, const char *model,
               uint64_t version)
{
  const struct retire_model *known
      = g_hash_table_lookup (retire->models, model);

  if (known == NULL)
    return true;
  return version >= known->kept
         && (version >= known->newest
             || presence_lease_holds (retire->presence, 0));
}

uint64_t
retire_fleet (const struct retire *retire, const char *model)
{
  const struct retire_model *known
      = g_hash_table_lookup (retire->models, model);
  uint64_t kept = known != NULL ? known->kept : 0;
  GHashTableIter iter;
  gpointer host;

  g_hash_table_iter_init (&iter, retire->presence->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &host))
    kept = MIN (kept, presence_host_weights (host, model));
  return kept;
}
