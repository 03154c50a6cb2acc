#include "backends.h"
#include "rendezvous.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define QUERY_INTERVAL_NS (200 * NS_PER_MS)
#define QUERY_TIMEOUT_NS (NS_PER_S)
#define PROBE_PATH "/healthz"

static const struct health_settings health_settings = {
  .probe_delay_base_ns = 500 * NS_PER_MS,
  .probe_delay_max_ns = 10 * NS_PER_S,
  .probe_timeout_ns = 2 * NS_PER_S,
};

/* An engine that may become part of this gateway's subset. */
struct subset_candidate
{
  size_t item;     /* Index of the engine in backends->items. */
  uint64_t weight; /* Rendezvous weight of the engine for this gateway. */
};

/* A load query in flight. */
struct load_query
{
  struct backends *backends;
  int64_t sent_ns;
};

static int
compare_weights_descending (const void *a, const void *b)
{
  uint64_t weight_a = ((const struct subset_candidate *)a)->weight;
  uint64_t weight_b = ((const struct subset_candidate *)b)->weight;

  return weight_a > weight_b ? -1 : weight_a < weight_b;
}

static void
apply_load_report (struct backends *backends, const Peer__EngineLoad *message,
                   int64_t sent_ns)
{
  uint64_t id = roster_id_from_name (message->engine);
  const struct backend *backend = backends_find (backends, id);
  struct load_version versions[LOAD_VERSIONS_MAX];
  struct load_report report = { 0 };

  if (backend == NULL)
    return;
  for (size_t i = 0; i < message->n_versions && i < LOAD_VERSIONS_MAX; i++)
    {
      versions[i].model = message->versions[i]->model;
      versions[i].version = message->versions[i]->version;
      versions[i].adapter = message->versions[i]->adapter;
      report.version_count++;
    }
  report.engine_id = id;
  report.name = backend->host.name;
  report.incarnation = message->incarnation;
  report.sequence = message->sequence;
  report.leaving = message->leaving;
  report.running_count = message->running;
  report.queued_tokens = (int64_t)message->queued_tokens;
  report.prefill_tokens_per_s = message->prefill_tokens_per_s;
  report.service = backend->host.service;
  report.versions = versions;
  load_apply_report (&backends->load, &report,
                     sent_ns - message->age_ms * NS_PER_MS);
  /* A report adds an engine that was not known, and a higher incarnation
   * clears that it is leaving; neither makes an unusable engine usable. */
  if (!backend->usable)
    load_set_leaving (&backends->load, id, true);
}

static void
load_reply_received (void *data, enum status status,
                     const Peer__Envelope *reply)
{
  struct load_query *query = data;

  if (status == STATUS_OK
      && reply->body_case == PEER__ENVELOPE__BODY_LOAD_REPLY)
    for (size_t i = 0; i < reply->load_reply->n_engines; i++)
      apply_load_report (query->backends, reply->load_reply->engines[i],
                         query->sent_ns);
  g_free (query);
}

static void
send_load_query (struct backends *backends, const struct roster_entry *shard,
                 GPtrArray *names)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__LoadQuery message = PEER__LOAD_QUERY__INIT;
  struct load_query *query = g_new0 (struct load_query, 1);

  query->backends = backends;
  query->sent_ns = clock_now (&backends->process->clock);
  message.engines = (char **)names->pdata;
  message.n_engines = names->len;
  envelope.body_case = PEER__ENVELOPE__BODY_LOAD_QUERY;
  envelope.load_query = &message;
  peer_endpoint_request (&backends->process->peers, shard->peer_address,
                         &envelope, QUERY_TIMEOUT_NS, load_reply_received,
                         query);
}

static size_t
count_service_engines (const struct backends *backends, const GArray *chosen,
                       const char *service)
{
  size_t count = 0;

  for (guint i = 0; i < chosen->len; i++)
    {
      size_t item = g_array_index (chosen, struct subset_candidate, i).item;

      count += strcmp (backends->items[item].host.service, service) == 0;
    }
  return count;
}

/* Choose the engines that this gateway uses: for each service, the
 * placement.subset_size engines with the highest rendezvous weight for this
 * gateway's name. */
static GArray *
choose_subset (const struct backends *backends)
{
  const struct settings *settings = backends->process->settings;
  size_t size = (size_t)settings->placement.subset_size;
  GArray *candidates
      = g_array_new (FALSE, FALSE, sizeof (struct subset_candidate));
  GArray *chosen
      = g_array_new (FALSE, FALSE, sizeof (struct subset_candidate));

  for (size_t i = 0; i < backends->count; i++)
    {
      struct subset_candidate candidate = { i, 0 };

      if (backends->items[i].host.kind != HOSTLIST_ENGINE)
        continue;
      candidate.weight
          = rendezvous_weight (backends->items[i].id, settings->process.name,
                               strlen (settings->process.name));
      g_array_append_val (candidates, candidate);
    }
  g_array_sort (candidates, compare_weights_descending);
  for (guint i = 0; i < candidates->len; i++)
    {
      const struct subset_candidate *candidate
          = &g_array_index (candidates, struct subset_candidate, i);
      const char *service = backends->items[candidate->item].host.service;

      if (count_service_engines (backends, chosen, service) < size)
        g_array_append_vals (chosen, candidate, 1);
    }
  g_array_unref (candidates);
  return chosen;
}

/* Update backends->engines_known, given the engines in CHOSEN. An engine that
 * has not reported after report_timeout_ns would get no requests anyway, so
 * it is not waited for longer. */
static void
update_engines_known (struct backends *backends, const GArray *chosen)
{
  int64_t age_ns = clock_now (&backends->process->clock) - backends->listed_ns;
  uint32_t index;

  if (backends->engines_known || backends->listed_ns == 0)
    return;
  for (guint i = 0;
       i < chosen->len && age_ns < backends->load.settings.report_timeout_ns;
       i++)
    {
      size_t item = g_array_index (chosen, struct subset_candidate, i).item;
      const struct backend *backend = &backends->items[item];

      if (backend->usable
          && !load_find_engine (&backends->load, backend->id, &index))
        return;
    }
  backends->engines_known = true;
}

static void
query_shards (struct backends *backends)
{
  const struct roster *roster = &backends->process->roster;
  GHashTable *by_shard = g_hash_table_new_full (
      g_direct_hash, g_direct_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
  GArray *chosen = choose_subset (backends);
  GHashTableIter iter;
  void *shard;
  void *names;

  update_engines_known (backends, chosen);
  for (guint i = 0; i < chosen->len; i++)
    {
      const struct subset_candidate *candidate
          = &g_array_index (chosen, struct subset_candidate, i);
      char *name = backends->items[candidate->item].host.name;

      shard = (void *)roster_find_shard_for_key (roster, name, strlen (name));
      if (shard == NULL)
        continue;
      names = g_hash_table_lookup (by_shard, shard);
      if (names == NULL)
        {
          names = g_ptr_array_new ();
          g_hash_table_insert (by_shard, shard, names);
        }
      g_ptr_array_add (names, name);
    }
  g_hash_table_iter_init (&iter, by_shard);
  while (g_hash_table_iter_next (&iter, &shard, &names))
    send_load_query (backends, shard, names);
  g_hash_table_destroy (by_shard);
  g_array_unref (chosen);
}

static void
update_usable (struct backends *backends, struct backend *backend)
{
  const char *name = backend->host.name;

  backend->usable = health_server_is_usable (&backends->health, name)
                    && !backend->host.leaving;
  if (backends->config != NULL
      && config_backend_server_is_drained (backends->config, name))
    backend->usable = false;
  if (backend->host.kind == HOSTLIST_ENGINE)
    load_set_leaving (&backends->load, backend->id, !backend->usable);
}

/* A probe in flight. It stores the name of the backend server, which may be
 * removed before the reply arrives. */
struct health_probe
{
  struct backends *backends;
  char name[HOSTLIST_TEXT_MAX];
};

static void
probe_completed (struct health_probe *probe, bool ready)
{
  health_probe_completed (&probe->backends->health, probe->name, ready);
  g_free (probe);
}

static void
engine_load_received (void *data, enum status status,
                      const struct engine_load *load)
{
  probe_completed (data, status == STATUS_OK && !load->leaving);
}

static void
service_health_received (void *data, const struct httpjson_reply *reply)
{
  probe_completed (data, reply->status == STATUS_OK);
}

static void
send_probe (void *data, const char *name)
{
  struct backends *backends = data;
  struct process *process = backends->process;
  struct engineclient *client = &process->enginehttp.client;
  const struct backend *backend
      = backends_find (backends, roster_id_from_name (name));
  struct httpjson_request request = { .method = "GET", .path = PROBE_PATH };
  struct health_probe *probe;

  if (backend == NULL)
    return;
  probe = g_new0 (struct health_probe, 1);
  probe->backends = backends;
  g_strlcpy (probe->name, name, sizeof probe->name);
  if (backend->host.kind == HOSTLIST_ENGINE)
    {
      client->ops->get_load (client, backend->host.address, true,
                             engine_load_received, probe);
      return;
    }
  request.address = backend->host.address;
  request.timeout_ns = health_settings.probe_timeout_ns;
  request.new_connection = true;
  httpjson_call (&process->httpjson, &request, service_health_received, probe);
}

static void
server_usability_changed (void *data, const char *name, bool usable,
                          enum health_evidence evidence)
{
  struct backends *backends = data;
  struct backend *backend
      = backends_find (backends, roster_id_from_name (name));

  log_event (&backends->process->log, EVENT_BACKEND_SERVER,
             "backend_server=%s usable=%s sign=%s", name,
             usable ? "yes" : "no", health_evidence_name (evidence));
  if (backend != NULL)
    update_usable (backends, backend);
  if (!usable && evidence != HEALTH_PEER_NOTICE)
    member_add_notice (&backends->process->gossip.member, name);
}

static const struct health_ops health_ops
    = { send_probe, server_usability_changed };

void
backends_init (struct backends *backends, struct process *process)
{
  memset (backends, 0, sizeof *backends);
  backends->process = process;
  backends->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  load_init (&backends->load, &process->clock, &load_settings_default);
  health_init (&backends->health, &health_settings, &process->clock,
               &process->rng, &health_ops, backends);
}

void
backends_finish (struct backends *backends)
{
  health_finish (&backends->health);
  load_finish (&backends->load);
  g_hash_table_destroy (backends->by_id);
  g_free (backends->items);
}

void
backends_tick (struct backends *backends)
{
  int64_t now = clock_now (&backends->process->clock);

  load_tick (&backends->load);
  health_tick (&backends->health);
  if (now < backends->next_query_ns)
    return;
  backends->next_query_ns = now + QUERY_INTERVAL_NS;
  query_shards (backends);
}

/* Replace the backend servers by those of the host list, and keep the state of
 * those that remain. */
static void
replace_servers (struct backends *backends)
{
  const struct hostlist *hostlist = &backends->process->hostlist.hostlist;
  struct backend *items = g_new0 (struct backend, hostlist->count + 1);

  for (size_t i = 0; i < hostlist->count; i++)
    {
      uint64_t id = roster_id_from_name (hostlist->entries[i].name);
      const struct backend *previous = backends_find (backends, id);

      if (previous != NULL)
        items[i] = *previous;
      items[i].id = id;
      items[i].host = hostlist->entries[i];
    }
  for (size_t i = 0; i < backends->count; i++)
    if (hostlist_find (hostlist, backends->items[i].host.name) == NULL)
      {
        load_remove_engine (&backends->load, backends->items[i].id);
        health_forget (&backends->health, backends->items[i].host.name);
      }
  g_hash_table_remove_all (backends->by_id);
  g_free (backends->items);
  backends->items = items;
  backends->count = hostlist->count;
  for (size_t i = 0; i < backends->count; i++)
    g_hash_table_insert (backends->by_id, &items[i].id, &items[i]);
}

void
backends_update_hosts (struct backends *backends)
{
  replace_servers (backends);
  if (backends->listed_ns == 0)
    backends->listed_ns = clock_now (&backends->process->clock);
  for (size_t i = 0; i < backends->count; i++)
    {
      struct backend *backend = &backends->items[i];

      health_set_listed_live (&backends->health, backend->host.name,
                              !backend->host.leaving);
      update_usable (backends, backend);
    }
}

void
backends_set_config (struct backends *backends, const struct config *config)
{
  backends->config = config;
  for (size_t i = 0; i < backends->count; i++)
    update_usable (backends, &backends->items[i]);
}

struct backend *
backends_find (struct backends *backends, uint64_t id)
{
  return g_hash_table_lookup (backends->by_id, &id);
}

struct backends_engine_counts
backends_count_engines (const struct backends *backends, const char *service)
{
  struct backends_engine_counts counts = { 0 };

  for (size_t i = 0; i < backends->count; i++)
    {
      const struct backend *item = &backends->items[i];

      if (item->host.kind != HOSTLIST_ENGINE
          || strcmp (item->host.service, service) != 0)
        continue;
      counts.listed++;
      counts.usable += item->usable;
    }
  return counts;
}

struct backend *
backends_pick_service_server (struct backends *backends, const char *service,
                              const struct backend *avoid)
{
  struct backend *best = NULL;

  for (size_t i = 0; i < backends->count; i++)
    {
      struct backend *item = &backends->items[i];

      if (item->host.kind != HOSTLIST_SERVICE || !item->usable || item == avoid
          || strcmp (item->host.service, service) != 0)
        continue;
      if (best == NULL || item->in_flight < best->in_flight
          || (item->in_flight == best->in_flight
              && item->sent_count < best->sent_count))
        best = item;
    }
  return best;
}

void
backends_report_evidence (struct backends *backends,
                          const struct backend *backend,
                          enum health_evidence evidence)
{
  health_report_evidence (&backends->health, backend->host.name, evidence);
}
