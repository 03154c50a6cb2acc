#include "entryweights.h"
#include "entry.h"
#include "entrychanges.h"
#include "entryviews.h"

enum
{
  /* The leader of a rollout reports weights for this long after an order. */
  REPORT_WEIGHTS_MS = 4000
};

static bool
reports_weights (void *data)
{
  struct entry *entry = data;

  return rollout_was_active (&entry->rollout, REPORT_WEIGHTS_MS * NS_PER_MS);
}

static bool
is_loading_weights (void *data, const struct server *server)
{
  struct entry *entry = data;

  return rollout_server_is_loading (&entry->rollout, server);
}

/* Returns the weight version of the first model of SERVER, or 0. Load reports
 * have only one version per engine. */
static uint64_t
first_model_version (void *data, const struct server *server)
{
  return server->entry.model_count > 0 ? server->entry.models[0].weight_version
                                       : 0;
}

static void
weights_reported (void *data, struct server *server, uint64_t version)
{
  struct entry *entry = data;

  if (server->entry.model_count == 0
      || server->entry.models[0].weight_version >= version)
    return;
  server_set_weight_version (&entry->servers, server,
                             server->entry.models[0].name, version);
  server->busy_until_ns = 0;
}

const struct loadshare_ops entryweights_loadshare_ops
    = { reports_weights,     is_loading_weights, weights_reported,
        first_model_version, entrychanges_known, entrychanges_reported };

int64_t
entryweights_learn (struct forwarder *forwarder, const struct kvview *view,
                    const char *model, uint64_t version)
{
  int64_t now = clock_boottime (forwarder->clock);

  if (view->initial_read_done)
    {
      forwarder_set_wanted_version (forwarder, model, version,
                                    view->written_since_ns);
      return now - view->written_since_ns;
    }
  forwarder_set_wanted_version (
      forwarder, model, version,
      weights_found_since_ns (now, forwarder->settings.version_grace_ns));
  weights_set_found (g_hash_table_lookup (forwarder->wanted_weights, model),
                     now);
  return forwarder_wanted_age_ns (forwarder, model);
}

void
entryweights_wanted_put (struct entry *entry, const char *key,
                         const char *value, uint64_t revision)
{
  const struct kvview *view = &entry->operator_view;
  char model[SERVER_NAME_MAX];
  struct error error;
  uint64_t version;
  int64_t age_ns;

  if (entry->dialect->wanted_version_decode (value, model, &version, &error)
      != STATUS_OK)
    {
      entryviews_log_ignored_key (entry, key, revision, &error);
      return;
    }
  age_ns = entryweights_learn (&entry->forwarder, view, model, version);
  log_event (&entry->log, EVENT_WEIGHTS_WANTED,
             "model=%s version=%lu revision=%lu learned=%s age_ms=%ld", model,
             (unsigned long)version, (unsigned long)revision,
             !view->initial_read_done ? "start"
             : view->is_reading       ? "read"
                                      : "change",
             (long)(age_ns / NS_PER_MS));
}
