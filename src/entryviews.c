#include "entryviews.h"
#include "entry.h"
#include "entryevacuation.h"
#include "entryweights.h"
#include "serverslowness.h"
#include "watchpause.h"

#include <string.h>

enum
{
  /* Time within which hosts know of one that leaves or is gone. */
  HOSTS_WITHIN_MS = 2000,
  /* Space for the header fields that a host adds when it passes a request on.
   */
  HOST_HEADER_BYTES = 1024,
  /* Maximum time that one watch waits for a change. It is shorter than the KV
   * service keeps its history, 20 s by the pages of the platform. */
  WATCH_WAIT_S = 15,
  /* Time for which the views hold keys that disappear around an outage of
   * the KV service. */
  KEY_HOLD_MS = 2000,
  /* Pause after which the operator's keys are read without delay. */
  READ_AT_ONCE_MS = 1000
};

struct kvview_settings
entryviews_settings (const struct pausewatch *pausewatch,
                     const int64_t *service_outage_end_ns)
{
  return (struct kvview_settings){
    .watch_duration_ns = WATCH_WAIT_S * NS_PER_S,
    .hold_ns = KEY_HOLD_MS * NS_PER_MS,
    .service_outage_end_ns = service_outage_end_ns,
    .pausewatch = pausewatch,
  };
}

void
entryviews_log_ignored_key (struct entry *entry, const char *key,
                            uint64_t revision, const struct error *error)
{
  char *reason = log_escape_spaces (error->message);

  log_event (&entry->log, EVENT_ENTRY_IGNORED, "key=%s revision=%lu reason=%s",
             key, (unsigned long)revision, reason);
  g_free (reason);
}

void
entryviews_note_pause (struct entry *entry,
                       const struct pausewatch_pause *pause)
{
  kvview_read_anew (&entry->operator_view, pause->from_ns);
  if (pause->span_ns >= READ_AT_ONCE_MS * NS_PER_MS)
    kvview_hurry (&entry->operator_view);
  servers_forget_slowness (&entry->servers);
}

static void
limits_apply (struct callerconn_limits *limits, const struct routes *routes)
{
  if (routes->header_bytes_max > 0)
    limits->header_bytes = routes->header_bytes_max;
  if (routes->body_bytes_max > 0)
    limits->body_bytes = routes->body_bytes_max;
  if (routes->header_timeout_ns > 0)
    limits->header_timeout_ns = routes->header_timeout_ns;
  if (routes->idle_timeout_ns > 0)
    limits->idle_timeout_ns = routes->idle_timeout_ns;
}

static void
routes_put (struct entry *entry, const char *value, uint64_t revision)
{
  const struct routes *current = entry->forwarder.routes;
  struct routes *routes;
  struct error error;

  if (entry->dialect->routes_decode (value, &routes, &error) != STATUS_OK)
    {
      char *reason = log_escape_spaces (error.message);

      log_event (&entry->log, EVENT_ROUTES_REFUSED, "revision=%lu reason=%s",
                 (unsigned long)revision, reason);
      g_free (reason);
      return;
    }
  routes->revision = revision;
  if (current != NULL && routes->version < current->version)
    log_event (&entry->log, EVENT_ROUTES_REFUSED,
               "revision=%lu version=%lu in_force=%lu reason=older",
               (unsigned long)revision, (unsigned long)routes->version,
               (unsigned long)current->version);
  else
    {
      log_event (&entry->log, EVENT_ROUTES_IN_FORCE,
                 "version=%lu revision=%lu routes=%u organisations=%u "
                 "keys=%u",
                 (unsigned long)routes->version, (unsigned long)revision,
                 routes->all_routes->len,
                 g_hash_table_size (routes->organisations),
                 g_hash_table_size (routes->organisations_by_key));
      forwarder_set_routes (&entry->forwarder, routes);
      kvstores_configure (&entry->kvstores, routes);
      limits_apply (&entry->caller_server.limits, routes);
      entry->host_server.limits = entry->caller_server.limits;
      entry->host_server.limits.header_bytes += HOST_HEADER_BYTES;
    }
  routes_unref (routes);
}

static void
operator_put (void *data, const char *key, const char *value,
              uint64_t revision)
{
  struct entry *entry = data;

  if (strcmp (key, entry->dialect->routes_key) == 0)
    routes_put (entry, value, revision);
  else if (g_str_has_prefix (key, entry->dialect->wanted_version_prefix))
    entryweights_wanted_put (entry, key, value, revision);
  else if (g_str_has_prefix (key, entry->dialect->evacuation_prefix))
    entryevacuation_put (entry, key, revision);
}

/* Ignores the removal of an operator's key, except of one that evacuates a
 * data centre. The value stays in force until a newer value is set. */
static void
operator_removed (void *data, const char *key)
{
  struct entry *entry = data;

  if (g_str_has_prefix (key, entry->dialect->evacuation_prefix))
    entryevacuation_removed (entry, key);
  else
    log_event (&entry->log, EVENT_ENTRY_IGNORED, "key=%s reason=removed", key);
}

static void
log_kv_reached (struct entry *entry, const struct kvview *view, bool reached)
{
  log_event (&entry->log, reached ? EVENT_STORE_BACK : EVENT_STORE_LOST,
             "prefix=%s revision=%lu age_ms=%ld", view->prefix,
             (unsigned long)view->revision,
             view->last_reply_ns == 0
                 ? -1L
                 : (long)((clock_now (&entry->clock) - view->last_reply_ns)
                          / NS_PER_MS));
}

static void
operator_reached (void *data, bool reached)
{
  struct entry *entry = data;

  log_kv_reached (entry, &entry->operator_view, reached);
}

static void
log_behind (struct entry *entry, const struct kvview *view, uint64_t revision)
{
  char labels[64];

  log_event (
      &entry->log, EVENT_VIEW_BEHIND,
      "prefix=%s revision=%lu others_revision=%lu age_ms=%ld", view->prefix,
      (unsigned long)view->revision, (unsigned long)revision,
      (long)((clock_now (&entry->clock) - view->last_reply_ns) / NS_PER_MS));
  g_snprintf (labels, sizeof labels, "prefix=\"%s\"", view->prefix);
  metrics_add (&entry->metrics, "trefoilspar_views_behind_total", labels, 1);
}

static void
operator_behind (void *data, uint64_t revision)
{
  struct entry *entry = data;

  log_behind (entry, &entry->operator_view, revision);
}

static const char *
server_id (const struct entry *entry, const char *key)
{
  return key + strlen (entry->dialect->servers_prefix);
}

static void
servers_put (void *data, const char *key, const char *value, uint64_t revision)
{
  struct entry *entry = data;
  struct server_entry decoded;
  struct error error;
  struct server *server;

  if (entry->dialect->server_decode (server_id (entry, key), value, &decoded,
                                     &error)
      != STATUS_OK)
    {
      entryviews_log_ignored_key (entry, key, revision, &error);
      servers_remove (&entry->servers, server_id (entry, key),
                      "entry_unreadable");
      return;
    }
  /* A read may have found what a backup has; a change was written now. */
  if (entry->servers_view.is_reading
      && goneservers_has (&entry->goneservers, &decoded, entry->kvera.era))
    {
      log_event (&entry->log, EVENT_ENTRY_IGNORED,
                 "key=%s revision=%lu reason=removed_in_older_era", key,
                 (unsigned long)revision);
      return;
    }
  servers_update (&entry->servers, &decoded, revision);
  server = servers_find (&entry->servers, decoded.id);
  if (server != NULL)
    forwarder_configure_server (&entry->forwarder, server);
}

static void
servers_removed (void *data, const char *key)
{
  struct entry *entry = data;
  const struct server *server
      = servers_find (&entry->servers, server_id (entry, key));

  if (server != NULL)
    goneservers_add (&entry->goneservers, &server->entry, entry->kvera.era);
  servers_remove (&entry->servers, server_id (entry, key), "entry_gone");
}

static void
servers_reached (void *data, bool reached)
{
  struct entry *entry = data;

  log_kv_reached (entry, &entry->servers_view, reached);
}

static void
servers_behind (void *data, uint64_t revision)
{
  struct entry *entry = data;

  log_behind (entry, &entry->servers_view, revision);
}

static void
views_set_pause (struct entry *entry, unsigned hosts)
{
  kvview_set_pause (&entry->servers_view,
                    watchpause_ns (hosts, entry->settings->servers.leave_ns));
  kvview_set_pause (&entry->hosts_view,
                    watchpause_ns (hosts, HOSTS_WITHIN_MS * NS_PER_MS));
}

static void
hosts_changed (struct entry *entry, const char *key, const char *what)
{
  entry->forwarder.host_count = presence_serving_count (&entry->presence);
  kvstores_set_rotation (&entry->kvstores, entry->forwarder.host_count,
                         presence_own_index (&entry->presence));
  views_set_pause (entry, entry->forwarder.host_count);
  entry->kvstores.restarts_noticed_late = !presence_all_have_form (
      &entry->presence, PRESENCE_FORM_STORES_CONFIRMED);
  log_event (&entry->log, EVENT_HOST_CHANGED, "host=%s what=%s hosts=%u", key,
             what, entry->forwarder.host_count);
}

static void
hosts_put (void *data, const char *key, const char *value, uint64_t revision)
{
  struct entry *entry = data;
  struct error error;

  if (g_str_has_prefix (key, ENTRY_HOST_PREFIX))
    {
      if (presence_key_put (&entry->presence, key, value, &error) != STATUS_OK)
        entryviews_log_ignored_key (entry, key, revision, &error);
      hosts_changed (entry, key, "written");
    }
  else if (g_str_has_prefix (key, ENTRY_CRASH_PREFIX))
    poisoncount_key_put (&entry->poisoncount, key);
  else if (g_str_has_prefix (key, ENTRY_BLAME_PREFIX))
    blamestore_key_put (&entry->blameshare.store, key, value);
  else if (strcmp (key, ENTRY_LEADER_KEY) == 0)
    rollout_leader_key_put (&entry->rollout, value, revision);
}

static void
hosts_removed (void *data, const char *key)
{
  struct entry *entry = data;

  if (g_str_has_prefix (key, ENTRY_HOST_PREFIX))
    {
      presence_key_removed (&entry->presence, key);
      hosts_changed (entry, key, "gone");
    }
  else if (g_str_has_prefix (key, ENTRY_CRASH_PREFIX))
    poisoncount_key_removed (&entry->poisoncount, key);
  else if (g_str_has_prefix (key, ENTRY_BLAME_PREFIX))
    blamestore_key_removed (&entry->blameshare.store, key);
  else if (strcmp (key, ENTRY_LEADER_KEY) == 0)
    rollout_leader_key_removed (&entry->rollout);
}

static void
hosts_reached (void *data, bool reached)
{
  struct entry *entry = data;

  log_kv_reached (entry, &entry->hosts_view, reached);
}

const struct kvview_ops entryviews_operator_ops
    = { operator_put, operator_removed, operator_reached, operator_behind };
const struct kvview_ops entryviews_servers_ops
    = { servers_put, servers_removed, servers_reached, servers_behind };
const struct kvview_ops entryviews_hosts_ops
    = { hosts_put, hosts_removed, hosts_reached, NULL };
