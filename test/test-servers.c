#include "call.h"
#include "choose.h"
#include "loadshare.h"
#include "servers.h"
#include "unit.h"

#include <string.h>

static uv_loop_t loop;
static struct clock_fake fake_clock;
static struct servers servers;
static struct rng rng;
static char last_change[64];

static void
changed (void *data, const struct server *server, const char *what)
{
  g_strlcpy (last_change, what, sizeof last_change);
}

static const struct servers_ops ops = { changed };

static void
setup (void)
{
  uv_loop_init (&loop);
  clock_fake_init (&fake_clock, 10 * NS_PER_S);
  rng_init (&rng, 1);
  servers_init (&servers, &loop, &fake_clock.clock, "dc", NS_PER_S, &ops,
                NULL);
}

static void
finish (void)
{
  servers_finish (&servers);
  uv_loop_close (&loop);
}

static struct server_entry
entry_of (const char *id, uint64_t started, uint64_t beat)
{
  struct server_entry entry
      = { .slots = 4, .started_ms = started, .heartbeat = beat };

  g_strlcpy (entry.id, id, sizeof entry.id);
  g_strlcpy (entry.service, "svc", sizeof entry.service);
  g_strlcpy (entry.address, "127.0.0.1:1", sizeof entry.address);
  g_strlcpy (entry.data_centre, "dc", sizeof entry.data_centre);
  g_strlcpy (entry.models[0].name, "m", sizeof entry.models[0].name);
  entry.models[0].weight_version = 1;
  entry.model_count = 1;
  return entry;
}

static struct server *
add (const char *id)
{
  struct server_entry entry = entry_of (id, 1, 1);

  servers_update (&servers, &entry, 1);
  return servers_find (&servers, id);
}

/* A late copy of an older entry does not undo that the server leaves. */
static void
test_older_entries_are_ignored (void)
{
  struct server_entry entry = entry_of ("a", 1, 5);

  setup ();
  entry.leaving = true;
  servers_update (&servers, &entry, 1);
  CU_ASSERT_FALSE (
      server_accepts_requests (servers_find (&servers, "a"), 10 * NS_PER_S));
  entry = entry_of ("a", 1, 4);
  servers_update (&servers, &entry, 2);
  CU_ASSERT_STRING_EQUAL (last_change, "older_entry_ignored");
  CU_ASSERT_TRUE (servers_find (&servers, "a")->entry.leaving);
  finish ();
}

/* The same id after a restart knows nothing of before. */
static void
test_another_start_is_another_server (void)
{
  struct server_entry entry = entry_of ("a", 2, 0);
  const struct call_block part = { 1, 100 };
  struct server *server;

  setup ();
  server = add ("a");
  server_cache_add (server, &part, 1, NS_PER_S);
  server_record_connection_failure (&servers, server);
  server_record_connection_failure (&servers, server);
  CU_ASSERT_FALSE (server_is_available (server));
  servers_update (&servers, &entry, 2);
  server = servers_find (&servers, "a");
  CU_ASSERT_TRUE (server_is_available (server));
  CU_ASSERT_EQUAL (server_cached_tokens (server, &part, 1), 0);
  finish ();
}

static void
test_lost_connections (void)
{
  struct server *server;

  setup ();
  server = add ("a");
  server_record_connection_failure (&servers, server);
  server_record_reached (&servers, server, false);
  server_record_connection_failure (&servers, server);
  CU_ASSERT_TRUE (server_is_available (server));
  server_record_connection_failure (&servers, server);
  CU_ASSERT_FALSE (server_is_available (server));
  server_record_reached (&servers, server, false);
  CU_ASSERT_TRUE (server_is_available (server));
  finish ();
}

/* Answers told of newer weights than the entry; the entry can't undo it. */
static void
test_weights_only_rise (void)
{
  struct server_entry entry = entry_of ("a", 1, 2);
  struct server *server;

  setup ();
  server = add ("a");
  server_set_weight_version (server, "m", 3);
  servers_update (&servers, &entry, 2);
  CU_ASSERT_EQUAL (server_weight_version (server, "m"), 3);
  finish ();
}

static struct choose_result
choose (const struct call *call, const char *model)
{
  struct choose_query query
      = { .service = "svc", .model = model, .call = call };
  struct choose_result result;

  choose_server (&servers, &choose_settings_default, &query, &rng, &result);
  return result;
}

static struct call
call_of (uint64_t context)
{
  struct call call = {
    .model = "m", .prompt_tokens = 9000, .output_tokens = 80, .block_count = 3
  };

  call.blocks[0] = (struct call_block){ 1, 500 };
  call.blocks[1] = (struct call_block){ context, 6000 };
  call.blocks[2] = (struct call_block){ context + 1000, 2500 };
  return call;
}

/* The context returns to the engine that has read it, unless more waits there
 * than reading it again elsewhere would take. */
static void
test_context_against_backlog (void)
{
  struct call call = call_of (77);
  struct server *warm;

  setup ();
  warm = add ("a");
  add ("b");
  add ("c");
  server_cache_add (warm, call.blocks, 2, NS_PER_S);
  CU_ASSERT_PTR_EQUAL (choose (&call, "m").server, warm);
  warm->pending_prefill_tokens = 30000;
  CU_ASSERT_PTR_NOT_EQUAL (choose (&call, "m").server, warm);
  finish ();
}

/* All memory taken: the request waits; what others told counts too. */
static void
test_memory_in_flight_is_limited (void)
{
  struct call call = call_of (77);
  struct choose_result result;

  setup ();
  add ("a")->in_flight_tokens = 60000;
  add ("b")->other_hosts_memory_tokens = 60000;
  result = choose (&call, "m");
  CU_ASSERT_PTR_NULL (result.server);
  CU_ASSERT_TRUE (result.at_capacity);
  servers_find (&servers, "b")->other_hosts_memory_tokens = 0;
  CU_ASSERT_STRING_EQUAL (choose (&call, "m").server->entry.id, "b");
  finish ();
}

static void
test_none_is_left (void)
{
  struct call call = call_of (1);
  struct choose_result result;

  setup ();
  result = choose (&call, "m");
  CU_ASSERT_TRUE (result.server == NULL && !result.at_capacity);
  add ("a")->entry.leaving = true;
  result = choose (&call, "m");
  CU_ASSERT_TRUE (result.server == NULL && !result.at_capacity);
  finish ();
}

/* 400 requests on 12 engines of which each call is known to all: no engine
 * gets over a quarter more than its part. */
static void
test_load_is_even (void)
{
  /* Of 400 requests on 12 engines, and a quarter more. */
  const unsigned limit = 42;
  unsigned most = 0;

  setup ();
  for (unsigned i = 0; i < 12; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "e%u", i);
      add (id)->kv_capacity_tokens = 10000000;
    }
  for (unsigned i = 0; i < 400; i++)
    {
      struct call call = call_of (100000 + i);
      struct server *server = choose (&call, "m").server;

      CU_ASSERT_PTR_NOT_NULL_FATAL (server);
      server->in_flight_requests++;
      server->pending_prefill_tokens += call.prompt_tokens;
      server->in_flight_tokens += call.prompt_tokens;
      most = MAX (most, server->in_flight_requests);
    }
  CU_ASSERT_TRUE (most <= limit);
  finish ();
}

static bool
tells (void *data)
{
  return true;
}

static bool
is_swapping (void *data, const struct server *server)
{
  return strcmp (server->entry.id, "b") == 0;
}

static uint64_t
version (void *data, const struct server *server)
{
  return server_weight_version (server, "m");
}

static void
told (void *data, struct server *server, uint64_t told_version)
{
  server_set_weight_version (server, "m", told_version);
}

static const struct loadshare_ops share_ops
    = { tells, is_swapping, told, version };

static void
test_load_is_told (void)
{
  struct loadshare here;
  struct loadshare there;
  uint8_t bytes[LOADSHARE_BYTES_MAX];
  struct server *server;
  size_t size;

  setup ();
  server = add ("a");
  add ("b");
  server->in_flight_requests = 3;
  server->pending_prefill_tokens = 700;
  server->in_flight_tokens = 9000;
  server_set_weight_version (server, "m", 2);
  loadshare_init (&here, &servers, &fake_clock.clock, "h1", 1, &share_ops,
                  NULL);
  loadshare_init (&there, &servers, &fake_clock.clock, "h2", 1, &share_ops,
                  NULL);
  size = loadshare_encode (&here, bytes);
  server->sending_hosts = 2;
  CU_ASSERT_TRUE (loadshare_receive (&there, bytes, size));
  loadshare_tick (&there);
  CU_ASSERT_EQUAL (server->other_hosts_prefill_tokens, 700);
  CU_ASSERT_EQUAL (server->other_hosts_memory_tokens, 9000);
  CU_ASSERT_EQUAL (server->other_hosts_requests, 3);
  CU_ASSERT_FALSE (
      server_accepts_requests (servers_find (&servers, "b"), 10 * NS_PER_S));
  /* The same datagram again is old, and a torn one is none. */
  CU_ASSERT_FALSE (loadshare_receive (&there, bytes, size));
  CU_ASSERT_FALSE (loadshare_receive (&there, bytes, size - 1));
  /* Of five hosts one told its load: the others are taken to be like it. */
  server->sending_hosts = 5;
  there.sums_stale = true;
  loadshare_tick (&there);
  CU_ASSERT_EQUAL (server->other_hosts_prefill_tokens, 2800);
  clock_fake_advance (&fake_clock, 2 * NS_PER_S);
  loadshare_tick (&there);
  CU_ASSERT_EQUAL (server->other_hosts_prefill_tokens, 0);
  loadshare_finish (&here);
  loadshare_finish (&there);
  finish ();
}

/* What a choice expects of a store's link is told apart, so that it is not
 * learned a second time from how late the fetch then comes. */
static void
test_delay_of_a_fetch_is_told (void)
{
  struct call call = call_of (1);
  struct choose_query query
      = { .service = "svc", .model = "m", .call = &call };
  struct choose_result free_link, slow_link;

  setup ();
  add ("a");
  query.stored[0] = (struct choose_stored_prefix){
    .version = 1, .tokens = call.prompt_tokens, .data_centre = "dc"
  };
  query.stored_count = 1;
  choose_server (&servers, &choose_settings_default, &query, &rng, &free_link);
  query.stored[0].delay_ms = 300;
  choose_server (&servers, &choose_settings_default, &query, &rng, &slow_link);
  CU_ASSERT_EQUAL (free_link.store_delay_ms, 0);
  CU_ASSERT_EQUAL (slow_link.store_delay_ms, 300);
  CU_ASSERT_DOUBLE_EQUAL (slow_link.cost_ms - slow_link.store_delay_ms,
                          free_link.cost_ms, 2);
  finish ();
}

static const struct unit_case cases[] = {
  { "older-entries-are-ignored", test_older_entries_are_ignored },
  { "another-start-is-another-server", test_another_start_is_another_server },
  { "lost-connections", test_lost_connections },
  { "weights-only-rise", test_weights_only_rise },
  { "context-against-backlog", test_context_against_backlog },
  { "memory-in-flight-is-limited", test_memory_in_flight_is_limited },
  { "none-is-left", test_none_is_left },
  { "load-is-even", test_load_is_even },
  { "load-is-told", test_load_is_told },
  { "delay-of-a-fetch-is-told", test_delay_of_a_fetch_is_told },
};

int
main (void)
{
  return unit_run ("servers", cases, G_N_ELEMENTS (cases));
}
