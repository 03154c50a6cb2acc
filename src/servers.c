#include "servers.h"
#include "evacuation.h"

#include <string.h>
#include <xxhash.h>

enum
{
  /* Number of consecutive connection failures after which a server counts
   * as unreachable. */
  CONNECTION_FAILURES_MAX = 2,
  /* Capacity of a server whose memory size is unknown. */
  KV_CAPACITY_TOKENS_DEFAULT = 64 * 1024
};

/* Weight of the newest response in the moving average of failures, which
 * covers about the last ten responses. */
static const double failure_ratio_gain = 0.1;
/* The same for the time of a request. */
static const double run_gain = 0.1;

struct server *
server_ref (struct server *server)
{
  server->reference_count++;
  return server;
}

void
server_unref (struct server *server)
{
  if (server == NULL || --server->reference_count > 0)
    return;
  g_hash_table_destroy (server->cached_blocks);
  servercold_finish (&server->cold);
  g_free (server);
}

static void
server_release (void *data)
{
  server_unref (data);
}

static void
server_array_free (void *data)
{
  g_ptr_array_free (data, TRUE);
}

void
servers_init (struct servers *servers, uv_loop_t *loop,
              const struct clock *clock, const char *data_centre,
              int64_t connect_timeout_ns, const struct servers_ops *ops,
              void *data)
{
  memset (servers, 0, sizeof *servers);
  servers->loop = loop;
  servers->clock = clock;
  g_strlcpy (servers->data_centre, data_centre, sizeof servers->data_centre);
  servers->connect_timeout_ns = connect_timeout_ns;
  servers->ops = ops;
  servers->data = data;
  serverstart_table_init (&servers->stated);
  softwarespan_init (&servers->software, clock);
  softwarestart_init (&servers->starts, clock);
  servers->by_id
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, server_release);
  servers->by_hash = g_hash_table_new (g_direct_hash, g_direct_equal);
  servers->used = g_ptr_array_new_with_free_func (server_release);
  servers->failing = g_ptr_array_new_with_free_func (server_release);
  servers->stating = g_ptr_array_new_with_free_func (server_release);
  servers->stating_slowness = g_ptr_array_new_with_free_func (server_release);
  servers->reach_by_service
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  servers->brittle_by_service
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  servers->speed_by_service
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  servers->by_service = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                               server_array_free);
  servers->cold_sends = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                               (GDestroyNotify)g_array_unref);
  servers->cold.window_ns = NS_PER_S + connect_timeout_ns;
  servers->cold.overage = 1;
}

void
servers_finish (struct servers *servers)
{
  g_ptr_array_free (servers->used, TRUE);
  g_ptr_array_free (servers->failing, TRUE);
  g_ptr_array_free (servers->stating, TRUE);
  g_ptr_array_free (servers->stating_slowness, TRUE);
  g_hash_table_destroy (servers->by_hash);
  g_hash_table_destroy (servers->reach_by_service);
  g_hash_table_destroy (servers->brittle_by_service);
  g_hash_table_destroy (servers->speed_by_service);
  g_hash_table_destroy (servers->by_service);
  g_hash_table_destroy (servers->cold_sends);
  softwarespan_finish (&servers->software);
  serverstart_table_finish (&servers->stated);
  softwarestart_finish (&servers->starts);
  g_hash_table_destroy (servers->by_id);
}

struct server *
servers_find (const struct servers *servers, const char *id)
{
  return g_hash_table_lookup (servers->by_id, id);
}

struct server *
servers_find_hash (const struct servers *servers, uint32_t id_hash)
{
  return g_hash_table_lookup (servers->by_hash, GUINT_TO_POINTER (id_hash));
}

struct reach *
servers_reach (const struct servers *servers, const char *service)
{
  struct reach *reach
      = g_hash_table_lookup (servers->reach_by_service, service);

  if (reach == NULL)
    {
      reach = g_new0 (struct reach, 1);
      g_hash_table_insert (servers->reach_by_service, g_strdup (service),
                           reach);
    }
  return reach;
}

const GPtrArray *
servers_of_service (const struct servers *servers, const char *service)
{
  return g_hash_table_lookup (servers->by_service, service);
}

static void
notify_change (struct servers *servers, const struct server *server,
               const char *change)
{
  servers->generation++;
  servers->ops->changed (servers->data, server, change);
}

static void
service_list_add (struct servers *servers, struct server *server)
{
  GPtrArray *list
      = g_hash_table_lookup (servers->by_service, server->entry.service);

  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (servers->by_service,
                           g_strdup (server->entry.service), list);
    }
  g_ptr_array_add (list, server);
}

static void
service_list_remove (struct servers *servers, struct server *server)
{
  GPtrArray *list
      = g_hash_table_lookup (servers->by_service, server->entry.service);

  if (list != NULL)
    g_ptr_array_remove (list, server);
}

uint64_t
servers_service_hash (const char *service)
{
  return XXH3_64bits (service, strlen (service));
}

static void
server_set_entry (struct server *server, const struct server_entry *entry)
{
  server->entry = *entry;
  server->software_hash
      = MAX (XXH3_64bits_withSeed (entry->software, strlen (entry->software),
                                   servers_service_hash (entry->service)),
             1U);
}

/* Check whether the servers of SERVICE have one software only. */
static void
service_software_check (struct servers *servers, const char *service)
{
  const GPtrArray *list = servers_of_service (servers, service);
  uint64_t software = 0;

  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const struct server *server = list->pdata[i];

      if (i > 0 && server->software_hash != software)
        {
          software = 0;
          break;
        }
      software = server->software_hash;
    }
  softwarespan_set (&servers->software, servers_service_hash (service),
                    software);
}

struct serverstart_key
server_start_key (const struct server_entry *entry)
{
  return (struct serverstart_key){ entry->id, entry->service, entry->address,
                                   entry->started_ms };
}

static struct serverbrittle_service *
service_brittle (struct servers *servers, const char *service)
{
  struct serverbrittle_service *found
      = g_hash_table_lookup (servers->brittle_by_service, service);

  if (found == NULL)
    {
      found = g_new0 (struct serverbrittle_service, 1);
      found->began_ns = found->moved_ns = clock_now (servers->clock);
      g_hash_table_insert (servers->brittle_by_service, g_strdup (service),
                           found);
    }
  return found;
}

static struct serverspeed_service *
service_speed (struct servers *servers, const char *service)
{
  struct serverspeed_service *found
      = g_hash_table_lookup (servers->speed_by_service, service);

  if (found == NULL)
    {
      found = g_new (struct serverspeed_service, 1);
      serverspeed_service_init (found, clock_now (servers->clock),
                                clock_boottime (servers->clock));
      g_hash_table_insert (servers->speed_by_service, g_strdup (service),
                           found);
    }
  return found;
}

static struct server *
server_new (const struct server_entry *entry)
{
  struct server *server = g_new0 (struct server, 1);

  server->reference_count = 1;
  server_set_entry (server, entry);
  server->id_hash = g_str_hash (entry->id);
  server->cached_blocks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  server->kv_capacity_tokens = KV_CAPACITY_TOKENS_DEFAULT;
  server->sending_host_count = 1;
  serverlimit_init (&server->limit);
  list_init (&server->blocks_by_use);
  return server;
}

struct server *
server_new_unregistered (const char *id, const char *address)
{
  struct server_entry entry = { .slots = 1 };

  g_strlcpy (entry.id, id, sizeof entry.id);
  g_strlcpy (entry.address, address, sizeof entry.address);
  return server_new (&entry);
}

static struct server *
server_add (struct servers *servers, const struct server_entry *entry)
{
  struct server *server = server_new (entry);
  struct serverstart_key key = server_start_key (entry);
  const struct serverstart *start = serverstart_find (&servers->stated, &key);

  if (start != NULL)
    {
      server->states_leaving = start->leaving;
      server->pause = start->pause;
    }
  serverbrittle_init (&server->brittle,
                      service_brittle (servers, entry->service),
                      clock_now (servers->clock));
  serverspeed_init (&server->speed, service_speed (servers, entry->service));
  server->evacuated
      = evacuation_is_evacuated (servers->evacuation, entry->data_centre);
  servercold_init (&server->cold, &servers->cold);
  servers_restore_cold_sends (servers, server);
  servers_record_entry_cold (servers, server, true);
  server->in_local_data_centre
      = strcmp (entry->data_centre, servers->data_centre) == 0;
  g_hash_table_insert (servers->by_id, server->entry.id, server);
  g_hash_table_insert (servers->by_hash, GUINT_TO_POINTER (server->id_hash),
                       server);
  servers->weights_generation++;
  service_list_add (servers, server);
  return server;
}

static bool
entry_is_older (const struct server_entry *entry,
                const struct server_entry *current)
{
  if (entry->started_ms != current->started_ms)
    return entry->started_ms < current->started_ms;
  return entry->heartbeat < current->heartbeat;
}

static bool
entry_is_of_other_start (const struct server_entry *entry,
                         const struct server_entry *current)
{
  return entry->started_ms != current->started_ms
         || strcmp (entry->address, current->address) != 0
         || strcmp (entry->service, current->service) != 0;
}

/* Whether ENTRY has the models and weight versions that PREVIOUS had. */
static bool
entry_has_models_of (const struct server_entry *entry,
                     const struct server_entry *previous)
{
  if (entry->model_count != previous->model_count)
    return false;
  for (unsigned i = 0; i < entry->model_count; i++)
    if (entry->models[i].weight_version != previous->models[i].weight_version
        || strcmp (entry->models[i].name, previous->models[i].name) != 0)
      return false;
  return true;
}

void
servers_update (struct servers *servers, const struct server_entry *entry,
                uint64_t revision)
{
  struct server *server = servers_find (servers, entry->id);
  struct server_entry previous;
  bool starts_leaving;

  if (server != NULL && entry_is_older (entry, &server->entry))
    {
      notify_change (servers, server, "older_entry_ignored");
      return;
    }
  if (server != NULL && entry_is_of_other_start (entry, &server->entry))
    {
      servers_remove (servers, entry->id, "started_again");
      server = NULL;
    }
  if (server == NULL)
    {
      server = server_add (servers, entry);
      server->revision = revision;
      service_software_check (servers, entry->service);
      notify_change (servers, server,
                     server_is_leaving (server) ? "leaving" : "added");
      return;
    }
  starts_leaving = entry->leaving && !server->entry.leaving;
  previous = server->entry;
  server_set_entry (server, entry);
  server->evacuated
      = evacuation_is_evacuated (servers->evacuation, entry->data_centre);
  service_software_check (servers, entry->service);
  server->revision = revision;
  if (entry->heartbeat > previous.heartbeat)
    servers_record_entry_cold (servers, server, false);
  /* Responses of the server may have reported newer weight versions than the
   * entry has; keep those. */
  for (unsigned i = 0; i < previous.model_count; i++)
    server_set_weight_version (servers, server, previous.models[i].name,
                               previous.models[i].weight_version);
  servers->weights_generation += !entry_has_models_of (entry, &previous);
  servers->generation
      += previous.leaving != entry->leaving
         || strcmp (previous.data_centre, entry->data_centre) != 0;
  if (starts_leaving)
    notify_change (servers, server, "leaving");
}

void
servers_remove (struct servers *servers, const char *id, const char *reason)
{
  struct server *server = servers_find (servers, id);

  if (server == NULL)
    return;
  server->removed = true;
  servers_keep_cold_sends (servers, server);
  if (!server->entry.leaving)
    softwarestart_record (&servers->starts, server->software_hash);
  notify_change (servers, server, reason);
  service_list_remove (servers, server);
  service_software_check (servers, server->entry.service);
  servers->generation++;
  if (servers_find_hash (servers, server->id_hash) == server)
    g_hash_table_remove (servers->by_hash, GUINT_TO_POINTER (server->id_hash));
  g_hash_table_remove (servers->by_id, id);
}

bool
server_is_leaving (const struct server *server)
{
  return server->entry.leaving || server->states_leaving;
}

bool
server_is_reachable (const struct server *server)
{
  return !server->removed && !server->entry.leaving
         && server->down_since_ns == 0;
}

bool
server_is_available (const struct server *server)
{
  return server_is_reachable (server) && !server->states_leaving;
}

bool
server_accepts_requests (const struct server *server, int64_t now_ns)
{
  return server_is_available (server) && !server->evacuated
         && server->doubted_ns == 0 && server->busy_until_ns <= now_ns
         && serverlimit_allows (&server->limit, now_ns)
         && servercold_allows (&server->cold, now_ns)
         && serverpause_allows (&server->pause, now_ns);
}

void
server_set_busy (struct server *server, int64_t until_ns)
{
  server->busy_until_ns = MAX (server->busy_until_ns, until_ns);
}

void
server_record_run (struct server *server, int64_t span_ns)
{
  double ms = (double)span_ns / NS_PER_MS;

  server->run_ms = server->run_ms > 0
                       ? server->run_ms + run_gain * (ms - server->run_ms)
                       : ms;
}

void
server_request_begun (struct servers *servers, struct server *server)
{
  server->in_flight_requests++;
  serverbrittle_take (&server->brittle, clock_now (servers->clock));
  if (server->is_used)
    return;
  server->is_used = true;
  g_ptr_array_add (servers->used, server_ref (server));
}

void
server_request_ended (struct server *server)
{
  server->in_flight_requests--;
}

void
servers_drop_unused (struct servers *servers)
{
  for (guint i = servers->used->len; i-- > 0;)
    {
      struct server *server = servers->used->pdata[i];

      if (server->in_flight_requests > 0)
        continue;
      server->is_used = false;
      g_ptr_array_remove_index_fast (servers->used, i);
    }
}

static void
failing_add (struct servers *servers, struct server *server)
{
  if (server->is_failing)
    return;
  server->is_failing = true;
  g_ptr_array_add (servers->failing, server_ref (server));
}

void
server_set_unreachable (struct servers *servers, struct server *server)
{
  int64_t now = clock_now (servers->clock);

  server->doubted_ns = 0;
  if (server->down_since_ns != 0)
    return;
  server->down_since_ns = now;
  servercold_lost (&server->cold, now);
  failing_add (servers, server);
  server->next_probe_ns = now + SERVER_PROBE_INTERVAL_MS * NS_PER_MS;
  server_cache_clear (server);
  notify_change (servers, server, "unreachable");
}

void
server_record_connection_failure (struct servers *servers,
                                  struct server *server)
{
  server->connection_failures++;
  if (server->connection_failures >= CONNECTION_FAILURES_MAX)
    server_set_unreachable (servers, server);
  else if (server->cold.per_s > 0)
    {
      /* It may have ended, and the next request would reach a new start. */
      servercold_lost (&server->cold, clock_now (servers->clock));
      server_record_cut (servers, server);
    }
}

void
server_record_reached (struct servers *servers, struct server *server,
                       bool failed)
{
  server->connection_failures = 0;
  servercold_reached (&server->cold, clock_now (servers->clock));
  server->failure_ratio
      += failure_ratio_gain * ((failed ? 1 : 0) - server->failure_ratio);
  if (server->down_since_ns == 0)
    return;
  server->down_since_ns = 0;
  notify_change (servers, server, "reachable");
}

/* A response of SERVER to this host stated something at STATED_NS that other
 * hosts are told. */
static void
stating_add (struct servers *servers, struct server *server, int64_t stated_ns)
{
  servers->limit_stated_ns = MAX (servers->limit_stated_ns, stated_ns);
  if (server->is_stating)
    return;
  server->is_stating = true;
  g_ptr_array_add (servers->stating, server_ref (server));
}

void
servers_drop_stating (struct servers *servers, unsigned index)
{
  struct server *server = servers->stating->pdata[index];

  server->is_stating = false;
  g_ptr_array_remove_index_fast (servers->stating, index);
}

void
servers_record_limit (struct servers *servers, struct server *server,
                      double per_s, int64_t stated_ns, bool here)
{
  if (serverlimit_record (&server->limit, per_s, stated_ns, here))
    notify_change (servers, server,
                   server->limit.limited ? "limited" : "unlimited");
  if (here && (server->limit.limited || server->limit.since_ns != 0))
    stating_add (servers, server, stated_ns);
}

void
servers_record_brittle (struct servers *servers, struct server *server,
                        int64_t rejections, int64_t stated_ns, bool here)
{
  struct serverbrittle_service *service
      = service_brittle (servers, server->entry.service);

  if (serverbrittle_record (&server->brittle, rejections, stated_ns, here))
    notify_change (servers, server,
                   server->brittle.brittle ? "brittle" : "not_brittle");
  service->known = true;
  service->brittle = server->brittle.brittle;
  service->rejections = server->brittle.rejections;
  if (here && (server->brittle.brittle || server->brittle.since_ns != 0))
    stating_add (servers, server, stated_ns);
}

void
server_record_cut (struct servers *servers, struct server *server)
{
  if (server->removed || server->down_since_ns != 0)
    return;
  server->doubted_ns = clock_now (servers->clock);
  failing_add (servers, server);
}
