#include "enginewatch.h"

#include <glib.h>
#include <string.h>

#define POLL_INTERVAL_NS (200 * NS_PER_MS)
/* Maximum age of a load report that is sent to gateways. */
#define REPORT_MAX_AGE_NS (3 * NS_PER_S)

struct watched_engine
{
  /* Table that contains the engine; NULL once the engine was removed. */
  struct enginewatch *watch;
  uint64_t id;
  char name[HOSTLIST_TEXT_MAX];
  char address[HOSTLIST_TEXT_MAX];
  bool load_pending;
  bool events_pending;
  bool listing_pending;
  bool has_report;
  int64_t load_sent_ns;
  int64_t report_measured_ns;
  uint64_t last_event_sequence;
  uint64_t incarnation;
  unsigned refs;
  Peer__EngineLoad report;
};

static void
report_clear (Peer__EngineLoad *report)
{
  for (size_t i = 0; i < report->n_versions; i++)
    {
      g_free (report->versions[i]->model);
      g_free (report->versions[i]->version);
      g_free (report->versions[i]->adapter);
      g_free (report->versions[i]);
    }
  g_free (report->versions);
  peer__engine_load__init (report);
}

static void
watched_engine_unref (struct watched_engine *engine)
{
  if (--engine->refs > 0)
    return;
  report_clear (&engine->report);
  g_free (engine);
}

/* Releases the table's reference to an engine. Calls in flight hold references
 * too, so the engine is freed only when the last call has returned. */
static void
watched_engine_detach (void *data)
{
  struct watched_engine *engine = data;

  engine->watch = NULL;
  watched_engine_unref (engine);
}

static void
report_copy (Peer__EngineLoad *report, const struct engine_load *load)
{
  report_clear (report);
  report->incarnation = load->incarnation;
  report->sequence = load->sequence;
  report->leaving = load->leaving;
  report->running = load->running;
  report->queued_tokens = (uint64_t)load->queued_tokens;
  report->prefill_tokens_per_s = load->prefill_tokens_per_s;
  report->n_versions = load->version_count;
  report->versions = g_new0 (Peer__EngineVersion *, load->version_count + 1);
  for (size_t i = 0; i < load->version_count; i++)
    {
      Peer__EngineVersion *version = g_new0 (Peer__EngineVersion, 1);

      peer__engine_version__init (version);
      version->model = g_strdup (load->versions[i].model);
      version->version = g_strdup (load->versions[i].version);
      version->adapter = g_strdup (load->versions[i].adapter);
      report->versions[i] = version;
    }
}

static void
load_received (void *data, enum status status, const struct engine_load *load)
{
  struct watched_engine *engine = data;
  struct enginewatch *watch = engine->watch;

  engine->load_pending = false;
  if (watch != NULL && status == STATUS_OK)
    {
      if (engine->has_report && load->incarnation != engine->incarnation)
        {
          engine->last_event_sequence = 0;
          watch->ops->engine_reset (watch->data, engine->id);
        }
      engine->incarnation = load->incarnation;
      engine->has_report = true;
      engine->report_measured_ns = engine->load_sent_ns;
      report_copy (&engine->report, load);
      watch->ops->load_received (watch->data, engine->name, load);
    }
  watched_engine_unref (engine);
}

static void
events_received (void *data, enum status status,
                 const struct engine_events *events)
{
  struct watched_engine *engine = data;
  struct enginewatch *watch = engine->watch;

  engine->events_pending = false;
  if (watch != NULL && status == STATUS_OK)
    {
      watch->ops->events_received (watch->data, engine->id, events);
      if (events->next > 0)
        engine->last_event_sequence = events->next - 1;
    }
  watched_engine_unref (engine);
}

static void
listing_received (void *data, enum status status,
                  const struct engine_listing *listing)
{
  struct watched_engine *engine = data;
  struct enginewatch *watch = engine->watch;

  engine->listing_pending = false;
  if (watch != NULL && status == STATUS_OK)
    {
      watch->ops->listing_received (watch->data, engine->id, listing);
      if (listing->next > 0)
        engine->last_event_sequence = listing->next - 1;
    }
  watched_engine_unref (engine);
}

static void
watched_engine_poll (struct watched_engine *engine, int64_t now)
{
  struct engineclient *client = engine->watch->client;

  if (!engine->load_pending)
    {
      engine->load_pending = true;
      engine->load_sent_ns = now;
      engine->refs++;
      client->ops->get_load (client, engine->address, false, load_received,
                             engine);
    }
  if (!engine->events_pending)
    {
      engine->events_pending = true;
      engine->refs++;
      client->ops->get_events (client, engine->address,
                               engine->last_event_sequence, events_received,
                               engine);
    }
}

static struct watched_engine *
find_engine (const struct enginewatch *watch, uint64_t id)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, watch->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct watched_engine *)value)->id == id)
      return value;
  return NULL;
}

static bool
engine_is_assigned (const struct enginewatch *watch, const char *name)
{
  const struct roster_entry *owner
      = roster_find_shard_for_key (watch->roster, name, strlen (name));

  return owner != NULL && owner->id == watch->self_id;
}

static void
engine_add_or_update (struct enginewatch *watch,
                      const struct hostlist_entry *entry)
{
  struct watched_engine *engine
      = g_hash_table_lookup (watch->engines, entry->name);

  if (engine == NULL)
    {
      engine = g_new0 (struct watched_engine, 1);
      engine->refs = 1;
      engine->watch = watch;
      engine->id = roster_id_from_name (entry->name);
      peer__engine_load__init (&engine->report);
      g_strlcpy (engine->name, entry->name, sizeof engine->name);
      g_hash_table_insert (watch->engines, engine->name, engine);
    }
  g_strlcpy (engine->address, entry->address, sizeof engine->address);
}

static int
remove_unless_assigned (void *key, void *value, void *data)
{
  struct enginewatch *watch = data;
  struct watched_engine *engine = value;
  const struct hostlist_entry *entry
      = hostlist_find (watch->hostlist, engine->name);

  if (entry != NULL && engine_is_assigned (watch, engine->name))
    return FALSE;
  watch->ops->engine_reset (watch->data, engine->id);
  return TRUE;
}

void
enginewatch_init (struct enginewatch *watch, const struct clock *clock,
                  struct engineclient *client, const struct roster *roster,
                  const struct hostlist *hostlist, uint64_t self_id,
                  const struct enginewatch_ops *ops, void *data)
{
  memset (watch, 0, sizeof *watch);
  watch->clock = clock;
  watch->client = client;
  watch->roster = roster;
  watch->hostlist = hostlist;
  watch->self_id = self_id;
  watch->ops = ops;
  watch->data = data;
  watch->engines = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                          watched_engine_detach);
}

void
enginewatch_finish (struct enginewatch *watch)
{
  g_hash_table_destroy (watch->engines);
}

void
enginewatch_sync (struct enginewatch *watch)
{
  g_hash_table_foreach_remove (watch->engines, remove_unless_assigned, watch);
  for (size_t i = 0; i < watch->hostlist->count; i++)
    {
      const struct hostlist_entry *entry = &watch->hostlist->entries[i];

      if (entry->kind == HOSTLIST_ENGINE
          && engine_is_assigned (watch, entry->name))
        engine_add_or_update (watch, entry);
    }
}

void
enginewatch_tick (struct enginewatch *watch)
{
  int64_t now = clock_now (watch->clock);
  GHashTableIter iter;
  void *value;

  if (now < watch->next_poll_ns)
    return;
  watch->next_poll_ns = now + POLL_INTERVAL_NS;
  g_hash_table_iter_init (&iter, watch->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    watched_engine_poll (value, now);
}

void
enginewatch_request_listing (struct enginewatch *watch, uint64_t engine_id)
{
  struct watched_engine *engine = find_engine (watch, engine_id);

  if (engine == NULL || engine->listing_pending)
    return;
  engine->listing_pending = true;
  engine->refs++;
  watch->client->ops->get_listing (watch->client, engine->address,
                                   listing_received, engine);
}

const char *
enginewatch_find_address (const struct enginewatch *watch, uint64_t engine_id)
{
  for (size_t i = 0; i < watch->hostlist->count; i++)
    if (roster_id_from_name (watch->hostlist->entries[i].name) == engine_id)
      return watch->hostlist->entries[i].address;
  return NULL;
}

void
enginewatch_fill_reply (struct enginewatch *watch,
                        const Peer__LoadQuery *query, Peer__LoadReply *reply)
{
  int64_t now = clock_now (watch->clock);

  reply->engines = g_new0 (Peer__EngineLoad *, query->n_engines + 1);
  for (size_t i = 0; i < query->n_engines; i++)
    {
      struct watched_engine *engine
          = g_hash_table_lookup (watch->engines, query->engines[i]);

      if (engine == NULL || !engine->has_report
          || now - engine->report_measured_ns > REPORT_MAX_AGE_NS)
        continue;
      engine->report.engine = engine->name;
      engine->report.age_ms
          = (uint32_t)((now - engine->report_measured_ns) / NS_PER_MS);
      reply->engines[reply->n_engines++] = &engine->report;
    }
}

void
enginewatch_reply_clear (Peer__LoadReply *reply)
{
  g_free (reply->engines);
  peer__load_reply__init (reply);
}
