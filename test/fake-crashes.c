#include "fake-crashes.h"
#include "address.h"
#include "unit.h"

#include <string.h>

enum
{
  STEP_MS = 10,
  BEGIN_MS = 80,  /* from the send to the response */
  CRASH_MS = 40,  /* from there to a crash */
  SHORT_MS = 150, /* a short request */
  LONG_MS = 2500, /* a long one */
  SAFE_MS = 500,  /* of output, after which a run is not suspected */
  RESTART_MS = 3000,
  ATTEMPTS = 2,
  VIEW_MS = 200, /* between two reads of the KV service */
  RUNS_MAX = 2000,
  MESSAGES_MAX = 40000,
  PREFIX_SIZE = 6
};

static const char prefix[] = "blame/";

struct host
{
  unsigned index;
  struct presence presence;
  struct log log;
  struct metrics metrics;
  struct fake_kv_client client;
  struct blameshare share;
  GHashTable *keys; /* of the KV service that it knows */
  bool reading;
};

struct run
{
  bool used;
  unsigned host;
  unsigned engine;
  unsigned attempt;
  int64_t sent_ns;
  int64_t work_ms;
  int guilty; /* index; -1: sound */
  struct blame_part parts[3];
};

struct engine
{
  unsigned starts;
  int64_t back_ns; /* 0: it is up */
};

struct message
{
  unsigned from;
  size_t size;
  uint8_t bytes[BLAMESHARE_BYTES_MAX];
};

struct fake_crashes crashes;
static struct host hosts[FAKE_CRASHES_HOSTS];
static struct engine engines[FAKE_CRASHES_ENGINES];
static struct run runs[RUNS_MAX];
static GPtrArray *messages;
static int64_t next_view_ns;
static uint64_t request_count;

static int64_t
now_ns (void)
{
  return clock_now (&crashes.clock.clock);
}

static void
record_event (struct log *log, const struct event_info *info, const char *text)
{
  if (info->number == EVENT_PART_BLAMED && strstr (text, "source=found"))
    {
      crashes.blamed_blocks += strstr (text, "kind=block") != NULL;
      crashes.blamed_requests += strstr (text, "kind=request") != NULL;
    }
  crashes.released += info->number == EVENT_PART_RELEASED;
}

static const struct log_ops record_ops = { record_event };

static void
host_send (void *data, const uint8_t *bytes, size_t size)
{
  const struct host *host = data;
  struct message *message;

  CU_ASSERT_FATAL (messages->len < MESSAGES_MAX);
  message = g_new0 (struct message, 1);
  message->from = host->index;
  message->size = size;
  memcpy (message->bytes, bytes, size);
  g_ptr_array_add (messages, message);
}

static void
host_explained (void *data, const char *server)
{
}

static const struct blameshare_ops host_ops = { host_send, host_explained };

static void
host_address (unsigned index, char *text, size_t size)
{
  g_snprintf (text, size, "127.0.0.1:%u", index + 1);
}

static void
host_start (unsigned index)
{
  struct host *host = &hosts[index];

  memset (host, 0, sizeof *host);
  host->index = index;
  host->log = (struct log){ &record_ops, EVENT_LEVEL_DEBUG };
  metrics_init (&host->metrics);
  host_address (index, host->presence.self.peer,
                sizeof host->presence.self.peer);
  host->presence.hosts
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  for (unsigned i = 0; i < FAKE_CRASHES_HOSTS; i++)
    {
      struct presence_host *other;

      if (i == index)
        continue;
      other = g_new0 (struct presence_host, 1);
      host_address (i, other->peer, sizeof other->peer);
      g_hash_table_insert (host->presence.hosts, GUINT_TO_POINTER (i + 1),
                           other);
    }
  host->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fake_kv_client_init (&host->client, &crashes.kv);
  blameshare_init (&host->share, &host->client.kv, &crashes.clock.clock,
                   &host->presence, &host->log, &host->metrics, prefix,
                   &host_ops, host);
}

static void
host_end (unsigned index)
{
  struct host *host = &hosts[index];

  fake_kv_client_kill (&host->client);
  blameshare_finish (&host->share);
  metrics_finish (&host->metrics);
  g_hash_table_destroy (host->presence.hosts);
  g_hash_table_destroy (host->keys);
}

void
fake_crashes_restart (unsigned index)
{
  for (unsigned i = 0; i < RUNS_MAX; i++)
    if (runs[i].used && runs[i].host == index)
      runs[i].used = false;
  host_end (index);
  host_start (index);
}

static void
view_read (void *data, const struct kv_reply *reply)
{
  struct host *host = data;
  GHashTable *keys;
  GHashTableIter iter;
  gpointer key;

  host->reading = false;
  if (reply->status != STATUS_OK)
    return;
  keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (size_t i = 0; i < reply->item_count; i++)
    {
      const struct kv_item *item = &reply->items[i];

      if (!g_hash_table_contains (host->keys, item->key))
        blamestore_key_put (&host->share.store, item->key, item->value);
      g_hash_table_add (keys, g_strdup (item->key));
    }
  g_hash_table_iter_init (&iter, host->keys);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (keys, key))
      blamestore_key_removed (&host->share.store, key);
  g_hash_table_destroy (host->keys);
  host->keys = keys;
}

static void
views_step (void)
{
  if (now_ns () < next_view_ns)
    return;
  next_view_ns = now_ns () + VIEW_MS * NS_PER_MS;
  for (unsigned i = 0; i < FAKE_CRASHES_HOSTS; i++)
    {
      struct host *host = &hosts[i];

      if (host->reading)
        continue;
      host->reading = true;
      host->client.kv.ops->range (&host->client.kv, prefix, view_read, host);
    }
}

static void
messages_deliver (void)
{
  GPtrArray *due = messages;

  messages = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < due->len; i++)
    {
      const struct message *message = due->pdata[i];
      struct sockaddr_in from;
      char text[32];

      host_address (message->from, text, sizeof text);
      CU_ASSERT_EQUAL (address_parse (text, &from), STATUS_OK);
      for (unsigned to = 0; to < FAKE_CRASHES_HOSTS; to++)
        if (to != message->from && rng_uniform (&crashes.rng) >= crashes.loss)
          CU_ASSERT_TRUE (blameshare_receive (&hosts[to].share, &from,
                                              message->bytes, message->size));
    }
  g_ptr_array_free (due, TRUE);
}

static bool
request_is_allowed (const struct run *run)
{
  struct blame *blame = &hosts[run->host].share.blame;
  bool tries;

  if (run->attempt > 0)
    return blame_find_block (blame, run->parts, 3) == NULL;
  return blame_check (blame, run->parts, 3, &tries) == NULL;
}

static bool
engine_pick (unsigned *engine)
{
  unsigned first = (unsigned)rng_below (&crashes.rng, FAKE_CRASHES_ENGINES);

  for (unsigned i = 0; i < FAKE_CRASHES_ENGINES; i++)
    {
      *engine = (first + i) % FAKE_CRASHES_ENGINES;
      if (engines[*engine].back_ns == 0)
        return true;
    }
  return false;
}

static void
arrival_count (const struct run *run)
{
  struct fake_crashes_guilty *guilty;

  if (run->guilty < 0)
    return;
  guilty = &crashes.guilty[run->guilty];
  if (guilty->fifth_ns != 0 && now_ns () > guilty->fifth_ns + 3 * NS_PER_S)
    guilty->late++;
}

static void
run_start (const struct run *wanted)
{
  struct run *run = runs;

  if (!request_is_allowed (wanted))
    {
      crashes.refused += wanted->guilty < 0 && wanted->attempt == 0;
      return;
    }
  while (run < runs + RUNS_MAX && run->used)
    run++;
  if (run == runs + RUNS_MAX)
    return;
  *run = *wanted;
  if (!engine_pick (&run->engine))
    return;
  run->used = true;
  run->sent_ns = now_ns ();
  arrival_count (run);
}

/* Sound requests have output as soon as their response begins. */
static enum blame_suspicion
suspicion (const struct run *run, int64_t age_ms)
{
  if (age_ms < BEGIN_MS)
    return BLAME_POSSIBLE;
  if (run->guilty >= 0)
    return BLAME_LIKELY;
  return age_ms < BEGIN_MS + SAFE_MS ? BLAME_POSSIBLE : BLAME_NONE;
}

/* Count the guilty parts of which ENGINE has a run. */
static void
guilty_count_lost (unsigned engine)
{
  bool has_run[FAKE_CRASHES_GUILTY_MAX] = { false };

  for (unsigned i = 0; i < RUNS_MAX; i++)
    if (runs[i].used && runs[i].engine == engine && runs[i].guilty >= 0)
      has_run[runs[i].guilty] = true;
  for (unsigned i = 0; i < FAKE_CRASHES_GUILTY_MAX; i++)
    crashes.guilty[i].lost += has_run[i];
}

/* All runs of ENGINE are lost; those without an event are sent again. */
static void
engine_end (unsigned engine)
{
  int64_t now = now_ns ();

  engines[engine].back_ns = now + RESTART_MS * NS_PER_MS;
  guilty_count_lost (engine);
  for (unsigned i = 0; i < RUNS_MAX; i++)
    {
      struct run again = runs[i];
      int64_t age_ms = (now - again.sent_ns) / NS_PER_MS;
      struct blame_run lost = { .server_started_ms = engines[engine].starts,
                                .part_count = 3,
                                .suspicion = suspicion (&again, age_ms) };

      if (!again.used || again.engine != engine)
        continue;
      runs[i].used = false;
      g_snprintf (lost.server, sizeof lost.server, "e%u", engine);
      memcpy (lost.parts, again.parts, sizeof again.parts);
      blameshare_run_lost (&hosts[again.host].share, &lost);
      if (++again.attempt < ATTEMPTS
          && (again.guilty >= 0 || age_ms < BEGIN_MS))
        run_start (&again);
    }
}

void
fake_crashes_end_all (void)
{
  for (unsigned i = 0; i < FAKE_CRASHES_ENGINES; i++)
    if (engines[i].back_ns == 0)
      engine_end (i);
}

static void
guilty_crashed (const struct run *run)
{
  struct fake_crashes_guilty *guilty = &crashes.guilty[run->guilty];

  if (++guilty->crashes == 5)
    guilty->fifth_ns = now_ns ();
  engine_end (run->engine);
}

static void
runs_step (void)
{
  for (unsigned i = 0; i < RUNS_MAX; i++)
    {
      struct run *run = &runs[i];
      int64_t age_ms = (now_ns () - run->sent_ns) / NS_PER_MS;

      if (!run->used)
        continue;
      if (run->guilty >= 0 && age_ms >= BEGIN_MS + CRASH_MS)
        guilty_crashed (run);
      else if (run->guilty < 0 && age_ms >= run->work_ms)
        {
          run->used = false;
          blame_add_completed (&hosts[run->host].share.blame, run->parts, 3);
        }
    }
}

static bool
happens (double per_s)
{
  return rng_uniform (&crashes.rng) < per_s * STEP_MS / 1000;
}

/* A session, the first ones more often than the others. */
static uint64_t
session_draw (void)
{
  double luck = rng_uniform (&crashes.rng);

  return 0x200 + (uint64_t)(luck * luck * luck * crashes.sessions);
}

static struct run
request_draw (int guilty)
{
  struct run run = { .guilty = guilty, .work_ms = SHORT_MS };

  run.host = (unsigned)rng_below (&crashes.rng, FAKE_CRASHES_HOSTS);
  if (guilty >= 0 && crashes.guilty[guilty].host >= 0)
    run.host = (unsigned)crashes.guilty[guilty].host;
  if (guilty < 0 && rng_below (&crashes.rng, 5) == 0)
    run.work_ms = LONG_MS;
  run.parts[0] = (struct blame_part){
    FAKE_CRASHES_MODEL, 0x100 + rng_below (&crashes.rng, crashes.firsts)
  };
  run.parts[1] = (struct blame_part){ FAKE_CRASHES_MODEL,
                                      guilty < 0 ? session_draw ()
                                                 : crashes.guilty[guilty].id };
  run.parts[2] = (struct blame_part){ 0, 0x10000 + ++request_count };
  if (guilty >= 0 && crashes.guilty[guilty].same_request)
    run.parts[2].id = 0x9000 + (unsigned)guilty;
  if (guilty >= 0 && crashes.guilty[guilty].harmless)
    run.guilty = -1;
  return run;
}

static void
callers_step (void)
{
  struct run run;

  for (unsigned i = 0; i < 10; i++)
    if (happens (crashes.sound_per_s / 10))
      {
        run = request_draw (-1);
        crashes.sent++;
        run_start (&run);
      }
  for (unsigned i = 0; i < crashes.guilty_count; i++)
    if (happens (crashes.guilty[i].per_s))
      {
        run = request_draw ((int)i);
        run_start (&run);
      }
}

static void
engines_step (void)
{
  unsigned engine;

  for (unsigned i = 0; i < FAKE_CRASHES_ENGINES; i++)
    if (engines[i].back_ns != 0 && now_ns () >= engines[i].back_ns)
      {
        engines[i].back_ns = 0;
        engines[i].starts++;
      }
  if (happens (crashes.other_per_s) && engine_pick (&engine))
    engine_end (engine);
}

void
fake_crashes_run (int64_t ms)
{
  for (int64_t i = 0; i < ms; i += STEP_MS)
    {
      clock_fake_advance (&crashes.clock, STEP_MS * NS_PER_MS);
      engines_step ();
      callers_step ();
      runs_step ();
      messages_deliver ();
      fake_kv_step (&crashes.kv);
      views_step ();
      for (unsigned j = 0; j < FAKE_CRASHES_HOSTS; j++)
        blameshare_tick (&hosts[j].share);
    }
}

void
fake_crashes_receive (unsigned index, const uint8_t *bytes, size_t size)
{
  struct sockaddr_in from = { .sin_family = AF_INET };

  blameshare_receive (&hosts[index].share, &from, bytes, size);
}

unsigned
fake_crashes_blocking (uint64_t id)
{
  struct blame_part part = { FAKE_CRASHES_MODEL, id };
  unsigned count = 0;

  for (unsigned i = 0; i < FAKE_CRASHES_HOSTS; i++)
    count += blame_find_block (&hosts[i].share.blame, &part, 1) != NULL;
  return count;
}

void
fake_crashes_setup (uint64_t seed)
{
  memset (&crashes, 0, sizeof crashes);
  memset (runs, 0, sizeof runs);
  memset (engines, 0, sizeof engines);
  next_view_ns = 0;
  request_count = 0;
  clock_fake_init (&crashes.clock, 100 * NS_PER_S);
  rng_init (&crashes.rng, seed);
  fake_kv_init (&crashes.kv, &crashes.clock.clock, seed);
  crashes.sound_per_s = 150;
  crashes.firsts = 2;
  crashes.sessions = 100;
  messages = g_ptr_array_new_with_free_func (g_free);
  for (unsigned i = 0; i < FAKE_CRASHES_HOSTS; i++)
    host_start (i);
}

void
fake_crashes_finish (void)
{
  for (unsigned i = 0; i < FAKE_CRASHES_HOSTS; i++)
    host_end (i);
  g_ptr_array_free (messages, TRUE);
  fake_kv_finish (&crashes.kv);
}
