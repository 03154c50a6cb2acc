#include "admit.h"
#include "block.h"
#include "hostlist.h"
#include "load.h"
#include "peer.pb-c.h"
#include "relay.h"
#include "roster.h"

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

/* Slopes of single parts, one "NAME VALUE" a line, for capacity.sh. Processor
 * time in nanoseconds, memory in bytes of heap. */

enum
{
  HOSTS = 1000,
  SHARDS = 300,
  ENGINES = 1000,
  ORGANISATIONS = 2400,
  REQUESTS = 200000,
  PIECES = 1000000,
  TOKEN_BYTES = 4,
  PIECE_TOKENS = 2000,
  PROMPT_PIECES = 16,
  REPEATS = 100
};

static int64_t
cpu_ns (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return time.tv_sec * NS_PER_S + time.tv_nsec;
}

static size_t
heap (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

static void
tell (const char *name, double value)
{
  printf ("%s %.1f\n", name, value);
}

static GString *
host_text (unsigned count)
{
  GString *text = g_string_new ("{\"hosts\":[");

  for (unsigned i = 0; i < count; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"engine-%05u\",\"address\":\"10.0.%u.%u:8000\","
        "\"data_centre\":\"dc-%u\",\"service\":\"oracolo\","
        "\"kind\":\"engine\",\"state\":\"live\"}",
        i > 0 ? "," : "", i, i / 250, i % 250, i % 12);
  g_string_append (text, "]}");
  return text;
}

static void
measure_hosts (void)
{
  GString *text = host_text (HOSTS);
  struct hostlist list = { 0 };
  int64_t began = cpu_ns ();
  size_t before = heap ();
  volatile size_t found = 0;

  for (int i = 0; i < REPEATS; i++)
    {
      struct json_object *object = json_tokener_parse (text->str);

      hostlist_parse (&list, object);
      json_object_put (object);
    }
  tell ("host_read_ns", (double)(cpu_ns () - began) / REPEATS / HOSTS);
  tell ("host_json_bytes", (double)text->len / HOSTS);
  tell ("host_bytes", (double)(heap () - before) / HOSTS);
  began = cpu_ns ();
  for (unsigned i = 0; i < HOSTS; i++)
    found += hostlist_find (&list, list.entries[i].name) != NULL;
  tell ("host_find_ns", (double)(cpu_ns () - began) / HOSTS);
  hostlist_finish (&list);
  g_string_free (text, TRUE);
}

static void
measure_roster (void)
{
  struct roster roster;
  size_t before = heap ();
  int64_t began;

  roster_init (&roster);
  for (unsigned i = 0; i < SHARDS; i++)
    {
      struct roster_entry entry
          = { .incarnation = 1, .role = ROLE_SHARD, .alive = true };

      g_snprintf (entry.name, sizeof entry.name, "shard-%u", i);
      entry.id = roster_id_from_name (entry.name);
      roster_update (&roster, &entry);
    }
  tell ("roster_bytes", (double)(heap () - before) / SHARDS);
  began = cpu_ns ();
  for (int i = 0; i < REQUESTS; i++)
    roster_find_shard_for_key (&roster, &i, sizeof i);
  tell ("roster_pass_ns", (double)(cpu_ns () - began) / REQUESTS / SHARDS);
  roster_finish (&roster);
}

static void
measure_load (void)
{
  static const struct load_version versions[]
      = { { "m", "1", "" }, { "m", "2", "" } };
  struct clock_fake clock;
  struct load load;
  int64_t began;
  size_t before = heap ();

  clock_fake_init (&clock, 1);
  load_init (&load, &clock.clock, &load_settings_default);
  began = cpu_ns ();
  for (int i = 0; i < REPEATS * ENGINES; i++)
    {
      struct load_report report = { .engine_id = (uint64_t)(i % ENGINES) + 1,
                                    .incarnation = 1,
                                    .sequence = (uint64_t)i,
                                    .prefill_tokens_per_s = 1000,
                                    .service = "s",
                                    .versions = versions,
                                    .version_count = 2 };

      load_apply_report (&load, &report, clock.now_ns);
    }
  tell ("load_report_ns", (double)(cpu_ns () - began) / REPEATS / ENGINES);
  tell ("load_engine_bytes", (double)(heap () - before) / ENGINES);
  load_finish (&load);
}

static void
ignore_start (void *data, struct admit_request *request)
{
}

static void
ignore_refusal (void *data, struct admit_request *request,
                const struct admit_refusal *refusal)
{
}

static void
measure_admission (void)
{
  static const struct admit_ops ops = { ignore_start, ignore_refusal };
  static const struct admit_settings settings
      = { 256, 2048, 512, 1, 0.1, { 8, 4, 1 }, { 256, 1024, 1024 } };
  struct clock_fake clock;
  struct rng rng;
  struct admit admit;
  char name[ORGANISATIONS][16];
  size_t before = heap ();
  int64_t began;

  clock_fake_init (&clock, 1);
  rng_init (&rng, 1);
  admit_init (&admit, &settings, &clock.clock, &rng, &ops, NULL);
  began = cpu_ns ();
  for (int i = 0; i < ORGANISATIONS; i++)
    {
      g_snprintf (name[i], sizeof name[i], "org-%d", i);
      admit_set_organisation (&admit, name[i], 1, 1000000, 1000);
    }
  tell ("admit_set_ns", (double)(cpu_ns () - began) / ORGANISATIONS);
  tell ("admit_organisation_bytes",
        (double)(heap () - before) / ORGANISATIONS);
  began = cpu_ns ();
  for (int i = 0; i < REQUESTS; i++)
    {
      struct admit_request request
          = { .organisation = name[i % ORGANISATIONS],
              .cost = 100,
              .deadline_ns = clock.now_ns + NS_PER_S };
      struct admit_refusal refusal;

      clock_fake_advance (&clock, NS_PER_MS);
      if (admit_submit (&admit, &request, &refusal) == ADMIT_RUN_NOW)
        admit_ended (&admit, &request, true);
    }
  tell ("admit_request_ns", (double)(cpu_ns () - began) / REQUESTS);
  admit_finish (&admit);
}

static void
ignore_piece (struct relay *relay, const struct relay_event *piece, int end)
{
}

static void
measure_relay (void)
{
  static const struct relay_ops ops = { ignore_piece };
  struct relay relay;
  char event[128];
  int64_t began;

  relay_init (&relay, &ops, "0123456789abcdef");
  began = cpu_ns ();
  for (int i = 0; i < PIECES; i++)
    {
      int size = snprintf (event, sizeof event,
                           "id: 0123456789abcdef/%d\ndata: {\"choices\":"
                           "[{\"index\":0,\"text\":\"word\"}]}\n\n",
                           i);

      relay_feed (&relay, event, (size_t)size);
    }
  tell ("relay_piece_ns", (double)(cpu_ns () - began) / PIECES);
  relay_finish (&relay);
}

static void
measure_chain (void)
{
  size_t piece_size = (size_t)PIECE_TOKENS * TOKEN_BYTES;
  size_t size = PROMPT_PIECES * piece_size;
  char *prompt = g_malloc0 (size);
  struct block_key key = { { 1 } };
  struct block_id ids[PROMPT_PIECES];
  struct block_scope scope;
  int64_t began = cpu_ns ();

  block_scope_init (&scope, "arp", "m", "1", NULL);
  for (int i = 0; i < REPEATS; i++)
    block_chain_ids (&scope, &key, prompt, size, piece_size, ids,
                     PROMPT_PIECES);
  tell ("chain_piece_ns",
        (double)(cpu_ns () - began) / REPEATS / PROMPT_PIECES);
  g_free (prompt);
}

/* A gateway's question about the load of one engine, and the answer. */
static void
measure_messages (void)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__LoadQuery query = PEER__LOAD_QUERY__INIT;
  Peer__LoadReply reply = PEER__LOAD_REPLY__INIT;
  Peer__EngineLoad load = PEER__ENGINE_LOAD__INIT;
  Peer__EngineVersion version = PEER__ENGINE_VERSION__INIT;
  Peer__EngineLoad *loads[] = { &load };
  Peer__EngineVersion *versions[] = { &version };
  char *names[] = { "engine-00001" };

  envelope.protocol = 1;
  envelope.incarnation = UINT64_MAX / 8;
  envelope.request_id = 1 << 20;
  envelope.config_revision = 1 << 20;
  query.engines = names;
  query.n_engines = 1;
  envelope.body_case = PEER__ENVELOPE__BODY_LOAD_QUERY;
  envelope.load_query = &query;
  tell ("load_query_bytes",
        (double)peer__envelope__get_packed_size (&envelope));
  version.model = "oracolo-briefing";
  version.version = "2026-10";
  load.engine = names[0];
  load.incarnation = UINT64_MAX / 8;
  load.sequence = 1 << 20;
  load.running = 10;
  load.queued_tokens = 10000;
  load.prefill_tokens_per_s = 10000;
  load.versions = versions;
  load.n_versions = 1;
  reply.engines = loads;
  reply.n_engines = 1;
  envelope.body_case = PEER__ENVELOPE__BODY_LOAD_REPLY;
  envelope.load_reply = &reply;
  tell ("load_reply_bytes",
        (double)peer__envelope__get_packed_size (&envelope));
}

int
main (void)
{
  measure_hosts ();
  measure_roster ();
  measure_load ();
  measure_admission ();
  measure_relay ();
  measure_chain ();
  measure_messages ();
  return 0;
}
