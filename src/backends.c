#include "backends.h"
#include "rendezvous.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define QUERY_EVERY_NS (200 * NS_PER_MS)
#define QUERY_TIMEOUT_NS (NS_PER_S)
#define OUT_NS (2 * NS_PER_S)

/* An engine and how much this gateway prefers it for its subset. */
struct preference
{
  size_t item;
  uint64_t weight;
};

struct query
{
  struct backends *backends;
  int64_t sent_ns;
};

static int
by_weight (const void *a, const void *b)
{
  uint64_t wa = ((const struct preference *)a)->weight;
  uint64_t wb = ((const struct preference *)b)->weight;

  return wa > wb ? -1 : wa < wb;
}

static void
take_report (struct backends *backends, const Peer__EngineLoad *message,
             int64_t sent_ns)
{
  uint64_t id = roster_id (message->engine);
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
  report.engine = id;
  report.name = backend->host.name;
  report.incarnation = message->incarnation;
  report.sequence = message->sequence;
  report.leaving = message->leaving;
  report.running = message->running;
  report.queued_tokens = (int64_t)message->queued_tokens;
  report.rate = message->prefill_tokens_per_s;
  report.service = backend->host.service;
  report.versions = versions;
  load_take_report (&backends->load, &report,
                    sent_ns - message->age_ms * NS_PER_MS);
}

static void
query_answered (void *data, enum status status, const Peer__Envelope *reply)
{
  struct query *query = data;

  if (status == STATUS_OK
      && reply->body_case == PEER__ENVELOPE__BODY_LOAD_REPLY)
    for (size_t i = 0; i < reply->load_reply->n_engines; i++)
      take_report (query->backends, reply->load_reply->engines[i],
                   query->sent_ns);
  g_free (query);
}

static void
send_query (struct backends *backends, const struct roster_entry *shard,
            GPtrArray *names)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__LoadQuery message = PEER__LOAD_QUERY__INIT;
  struct query *query = g_new0 (struct query, 1);

  query->backends = backends;
  query->sent_ns = clock_now (&backends->process->clock);
  message.engines = (char **)names->pdata;
  message.n_engines = names->len;
  envelope.body_case = PEER__ENVELOPE__BODY_LOAD_QUERY;
  envelope.load_query = &message;
  peerhub_request (&backends->process->peers, shard->peer_address, &envelope,
                   QUERY_TIMEOUT_NS, query_answered, query);
}

/* The engines this gateway uses: the SUBSET_SIZE with the highest rendezvous
 * weight for its name. */
static GArray *
subset (const struct backends *backends)
{
  const struct settings *settings = backends->process->settings;
  GArray *chosen = g_array_new (FALSE, FALSE, sizeof (struct preference));

  for (size_t i = 0; i < backends->count; i++)
    {
      struct preference preference = { i, 0 };

      if (backends->items[i].host.kind != HOSTLIST_ENGINE)
        continue;
      preference.weight
          = rendezvous_weight (backends->items[i].id, settings->process.name,
                               strlen (settings->process.name));
      g_array_append_val (chosen, preference);
    }
  g_array_sort (chosen, by_weight);
  if (chosen->len > (guint)settings->placement.subset_size)
    g_array_set_size (chosen, (guint)settings->placement.subset_size);
  return chosen;
}

static void
query_shards (struct backends *backends)
{
  const struct roster *roster = &backends->process->roster;
  GHashTable *by_shard = g_hash_table_new_full (
      g_direct_hash, g_direct_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
  GArray *chosen = subset (backends);
  GHashTableIter iter;
  void *shard;
  void *names;

  for (guint i = 0; i < chosen->len; i++)
    {
      const struct preference *preference
          = &g_array_index (chosen, struct preference, i);
      char *name = backends->items[preference->item].host.name;

      shard = (void *)roster_shard (roster, name, strlen (name));
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
    send_query (backends, shard, names);
  g_hash_table_destroy (by_shard);
  g_array_unref (chosen);
}

void
backends_init (struct backends *backends, struct process *process)
{
  memset (backends, 0, sizeof *backends);
  backends->process = process;
  load_init (&backends->load, &process->clock, &load_settings_default);
}

void
backends_finish (struct backends *backends)
{
  load_finish (&backends->load);
  g_free (backends->items);
}

void
backends_tick (struct backends *backends)
{
  int64_t now = clock_now (&backends->process->clock);

  load_tick (&backends->load);
  if (now < backends->next_query_ns)
    return;
  backends->next_query_ns = now + QUERY_EVERY_NS;
  query_shards (backends);
}

void
backends_sync (struct backends *backends)
{
  const struct hostlist *hostlist = &backends->process->hostlist.hostlist;
  struct backend *items = g_new0 (struct backend, hostlist->count + 1);
  size_t count = 0;

  for (size_t i = 0; i < hostlist->count; i++)
    {
      uint64_t id = roster_id (hostlist->entries[i].name);
      struct backend *known = backends_find (backends, id);

      if (known != NULL)
        items[count] = *known;
      items[count].id = id;
      items[count].host = hostlist->entries[i];
      if (items[count].host.kind == HOSTLIST_ENGINE)
        load_set_leaving (&backends->load, id, items[count].host.leaving);
      count++;
    }
  for (size_t i = 0; i < backends->count; i++)
    if (hostlist_find (hostlist, backends->items[i].host.name) == NULL)
      load_remove (&backends->load, backends->items[i].id);
  g_free (backends->items);
  backends->items = items;
  backends->count = count;
}

struct backend *
backends_find (struct backends *backends, uint64_t id)
{
  for (size_t i = 0; i < backends->count; i++)
    if (backends->items[i].id == id)
      return &backends->items[i];
  return NULL;
}

struct backend *
backends_pick_service (struct backends *backends, const char *service,
                       const struct backend *avoid)
{
  int64_t now = clock_now (&backends->process->clock);
  struct backend *best = NULL;

  for (size_t i = 0; i < backends->count; i++)
    {
      struct backend *item = &backends->items[i];

      if (item->host.kind != HOSTLIST_SERVICE || item->host.leaving
          || item == avoid || item->out_until_ns > now
          || strcmp (item->host.service, service) != 0)
        continue;
      if (best == NULL || item->in_flight < best->in_flight
          || (item->in_flight == best->in_flight && item->sent < best->sent))
        best = item;
    }
  return best;
}

void
backends_mark_out (struct backends *backends, struct backend *backend)
{
  backend->out_until_ns = clock_now (&backends->process->clock) + OUT_NS;
}
