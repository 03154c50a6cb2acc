#include "weightsnews.h"
#include "weights.h"

#include <string.h>

enum
{
  /* Estimated age of a version that an engine is first heard to have. The
   * order, the loading (ENGINE_LOAD_MS of the rollout) and the report take
   * about as long. */
  HEARD_AGE_MS = 2500,
  /* Versions of weights begin at this one, which no operator has to set. */
  FIRST_VERSION = 1
};

void
weightsnews_init (struct weightsnews *news, const struct servers *servers,
                  struct log *log, struct kvview *view, GHashTable *wanted)
{
  news->servers = servers;
  news->log = log;
  news->view = view;
  news->wanted = wanted;
  news->seen_generation = 0;
  news->heard
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
weightsnews_finish (struct weightsnews *news)
{
  g_hash_table_destroy (news->heard);
}

/* The latest version of a model's weights that is known here. */
struct known_version
{
  const char *model; /* NULL if it was not looked up yet. */
  uint64_t version;
};

/* Set KNOWN for MODEL. Servers run few models, so KNOWN mostly holds it. */
static void
version_look_up (const struct weightsnews *news, const char *model,
                 struct known_version *known)
{
  const struct wanted_weights *wanted;
  const uint64_t *heard;

  if (known->model != NULL && strcmp (known->model, model) == 0)
    return;
  wanted = g_hash_table_lookup (news->wanted, model);
  heard = g_hash_table_lookup (news->heard, model);
  known->model = model;
  known->version = wanted != NULL ? wanted->version : FIRST_VERSION;
  if (heard != NULL)
    known->version = MAX (known->version, *heard);
}

static void
weights_heard (struct weightsnews *news, const struct server *server,
               const struct server_model *model)
{
  int64_t now = clock_boottime (news->view->clock);

  log_event (news->log, EVENT_WEIGHTS_HEARD, "server=%s model=%s version=%lu",
             server->entry.id, model->name,
             (unsigned long)model->weight_version);
  g_hash_table_replace (
      news->heard, g_strdup (model->name),
      g_memdup2 (&model->weight_version, sizeof model->weight_version));
  kvview_read_anew (news->view, now - HEARD_AGE_MS * NS_PER_MS);
}

void
weightsnews_tick (struct weightsnews *news)
{
  struct known_version known = { .model = NULL };
  GHashTableIter iter;
  gpointer value;

  if (!news->view->initial_read_done
      || news->seen_generation == news->servers->weights_generation)
    return;
  news->seen_generation = news->servers->weights_generation;
  g_hash_table_iter_init (&iter, news->servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct server *server = value;

      for (unsigned i = 0; i < server->entry.model_count; i++)
        {
          const struct server_model *model = &server->entry.models[i];

          version_look_up (news, model->name, &known);
          if (model->weight_version <= known.version)
            continue;
          weights_heard (news, server, model);
          known.version = model->weight_version;
        }
    }
}
