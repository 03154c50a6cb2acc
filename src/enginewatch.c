#include "enginewatch.h"

#include <glib.h>
#include <string.h>

#define POLL_EVERY_NS (200 * NS_PER_MS)
/* An engine without a report for so long is not reported to gateways. */
#define REPORT_KEPT_NS (3 * NS_PER_S)

struct watched
{
  struct enginewatch *watch; /* NULL once let go */
  uint64_t id;
  char name[HOSTLIST_TEXT_MAX];
  char address[HOSTLIST_TEXT_MAX];
  bool asking_load;
  bool asking_events;
  bool asking_listing;
  bool has_report;
  int64_t asked_ns;
  int64_t taken_ns;
  uint64_t next_event;
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
watched_unref (struct watched *watched)
{
  if (--watched->refs > 0)
    return;
  report_clear (&watched->report);
  g_free (watched);
}

/* Destroy function of the table: open questions may still come back. */
static void
watched_drop (void *data)
{
  struct watched *watched = data;

  watched->watch = NULL;
  watched_unref (watched);
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
load_answered (void *data, enum status status, const struct engine_load *load)
{
  struct watched *watched = data;
  struct enginewatch *watch = watched->watch;

  watched->asking_load = false;
  if (watch != NULL && status == STATUS_OK)
    {
      if (watched->has_report && load->incarnation != watched->incarnation)
        {
          watched->next_event = 0;
          watch->ops->gone (watch->data, watched->id);
        }
      watched->incarnation = load->incarnation;
      watched->has_report = true;
      watched->taken_ns = watched->asked_ns;
      report_copy (&watched->report, load);
      watch->ops->loaded (watch->data, watched->name, load);
    }
  watched_unref (watched);
}

static void
events_answered (void *data, enum status status,
                 const struct engine_events *events)
{
  struct watched *watched = data;
  struct enginewatch *watch = watched->watch;

  watched->asking_events = false;
  if (watch != NULL && status == STATUS_OK)
    {
      watch->ops->events (watch->data, watched->id, events);
      if (events->next > 0)
        watched->next_event = events->next - 1;
    }
  watched_unref (watched);
}

static void
listing_answered (void *data, enum status status,
                  const struct engine_listing *listing)
{
  struct watched *watched = data;
  struct enginewatch *watch = watched->watch;

  watched->asking_listing = false;
  if (watch != NULL && status == STATUS_OK)
    {
      watch->ops->listing (watch->data, watched->id, listing);
      if (listing->next > 0)
        watched->next_event = listing->next - 1;
    }
  watched_unref (watched);
}

static void
watched_ask (struct watched *watched, int64_t now)
{
  struct engineclient *client = watched->watch->client;

  if (!watched->asking_load)
    {
      watched->asking_load = true;
      watched->asked_ns = now;
      watched->refs++;
      client->ops->load (client, watched->address, false, load_answered,
                         watched);
    }
  if (!watched->asking_events)
    {
      watched->asking_events = true;
      watched->refs++;
      client->ops->events (client, watched->address, watched->next_event,
                           events_answered, watched);
    }
}

static struct watched *
find_by_id (const struct enginewatch *watch, uint64_t id)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, watch->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct watched *)value)->id == id)
      return value;
  return NULL;
}

static bool
falls_to_us (const struct enginewatch *watch, const char *name)
{
  const struct roster_entry *owner
      = roster_find_shard_for_key (watch->roster, name, strlen (name));

  return owner != NULL && owner->id == watch->self;
}

static void
take_up (struct enginewatch *watch, const struct hostlist_entry *entry)
{
  struct watched *watched = g_hash_table_lookup (watch->engines, entry->name);

  if (watched == NULL)
    {
      watched = g_new0 (struct watched, 1);
      watched->refs = 1;
      watched->watch = watch;
      watched->id = roster_id_from_name (entry->name);
      peer__engine_load__init (&watched->report);
      g_strlcpy (watched->name, entry->name, sizeof watched->name);
      g_hash_table_insert (watch->engines, watched->name, watched);
    }
  g_strlcpy (watched->address, entry->address, sizeof watched->address);
}

static int
let_go_unless_ours (void *key, void *value, void *data)
{
  struct enginewatch *watch = data;
  struct watched *watched = value;
  const struct hostlist_entry *entry
      = hostlist_find (watch->hostlist, watched->name);

  if (entry != NULL && falls_to_us (watch, watched->name))
    return FALSE;
  watch->ops->gone (watch->data, watched->id);
  return TRUE;
}

void
enginewatch_init (struct enginewatch *watch, const struct clock *clock,
                  struct engineclient *client, const struct roster *roster,
                  const struct hostlist *hostlist, uint64_t self,
                  const struct enginewatch_ops *ops, void *data)
{
  memset (watch, 0, sizeof *watch);
  watch->clock = clock;
  watch->client = client;
  watch->roster = roster;
  watch->hostlist = hostlist;
  watch->self = self;
  watch->ops = ops;
  watch->data = data;
  watch->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, watched_drop);
}

void
enginewatch_finish (struct enginewatch *watch)
{
  g_hash_table_destroy (watch->engines);
}

void
enginewatch_sync (struct enginewatch *watch)
{
  g_hash_table_foreach_remove (watch->engines, let_go_unless_ours, watch);
  for (size_t i = 0; i < watch->hostlist->count; i++)
    {
      const struct hostlist_entry *entry = &watch->hostlist->entries[i];

      if (entry->kind == HOSTLIST_ENGINE && falls_to_us (watch, entry->name))
        take_up (watch, entry);
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
  watch->next_poll_ns = now + POLL_EVERY_NS;
  g_hash_table_iter_init (&iter, watch->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    watched_ask (value, now);
}

void
enginewatch_list (struct enginewatch *watch, uint64_t engine)
{
  struct watched *watched = find_by_id (watch, engine);

  if (watched == NULL || watched->asking_listing)
    return;
  watched->asking_listing = true;
  watched->refs++;
  watch->client->ops->listing (watch->client, watched->address,
                               listing_answered, watched);
}

const char *
enginewatch_any_address (const struct enginewatch *watch, uint64_t engine)
{
  for (size_t i = 0; i < watch->hostlist->count; i++)
    if (roster_id_from_name (watch->hostlist->entries[i].name) == engine)
      return watch->hostlist->entries[i].address;
  return NULL;
}

void
enginewatch_answer (struct enginewatch *watch, const Peer__LoadQuery *query,
                    Peer__LoadReply *reply)
{
  int64_t now = clock_now (watch->clock);

  reply->engines = g_new0 (Peer__EngineLoad *, query->n_engines + 1);
  for (size_t i = 0; i < query->n_engines; i++)
    {
      struct watched *watched
          = g_hash_table_lookup (watch->engines, query->engines[i]);

      if (watched == NULL || !watched->has_report
          || now - watched->taken_ns > REPORT_KEPT_NS)
        continue;
      watched->report.engine = watched->name;
      watched->report.age_ms
          = (uint32_t)((now - watched->taken_ns) / NS_PER_MS);
      reply->engines[reply->n_engines++] = &watched->report;
    }
}

void
enginewatch_reply_clear (Peer__LoadReply *reply)
{
  g_free (reply->engines);
  peer__load_reply__init (reply);
}
