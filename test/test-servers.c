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
server_changed (void *data, const struct server *server, const char *what)
{
  g_strlcpy (last_change, what, sizeof last_change);
}

static const struct servers_ops servers_ops = { server_changed, NULL };

static void
setup (void)
{
  uv_loop_init (&loop);
  clock_fake_init (&fake_clock, 10 * NS_PER_S);
  rng_init (&rng, 1);
  servers_init (&servers, &loop, &fake_clock.clock, "dc", NS_PER_S,
                &servers_ops, NULL);
}

static void
finish (void)
{
  servers_finish (&servers);
  uv_loop_close (&loop);
}

static struct server_entry
make_entry (const char *id, uint64_t started_ms, uint64_t heartbeat)
{
  struct server_entry entry
      = { .slots = 4, .started_ms = started_ms, .heartbeat = heartbeat };

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
add_server (const char *id)
{
  struct server_entry entry = make_entry (id, 1, 1);

  servers_update (&servers, &entry, 1);
  return servers_find (&servers, id);
}

/* An older entry that arrives late does not reset the leaving state. */
static void
test_older_entries_are_ignored (void)
{
  struct server_entry entry = make_entry ("a", 1, 5);

  setup ();
  entry.leaving = true;
  servers_update (&servers, &entry, 1);
  CU_ASSERT_FALSE (
      server_accepts_requests (servers_find (&servers, "a"), 10 * NS_PER_S));
  entry = make_entry ("a", 1, 4);
  servers_update (&servers, &entry, 2);
  CU_ASSERT_STRING_EQUAL (last_change, "older_entry_ignored");
  CU_ASSERT_TRUE (servers_find (&servers, "a")->entry.leaving);
  finish ();
}

/* A server that restarts under the same id has no state from before. */
static void
test_restarted_server_has_no_old_state (void)
{
  struct server_entry entry = make_entry ("a", 2, 0);
  const struct call_block block = { 1, 100 };
  struct server *server;

  setup ();
  server = add_server ("a");
  server_cache_add (server, &block, 1, NS_PER_S);
  server_record_connection_failure (&servers, server);
  server_record_connection_failure (&servers, server);
  CU_ASSERT_FALSE (server_is_available (server));
  servers_update (&servers, &entry, 2);
  server = servers_find (&servers, "a");
  CU_ASSERT_TRUE (server_is_available (server));
  CU_ASSERT_EQUAL (server_cached_tokens (server, &block, 1), 0);
  finish ();
}

static void
test_connection_failures (void)
{
  struct server *server;

  setup ();
  server = add_server ("a");
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

/* A response showed a newer weight version than the entry has; the entry does
 * not set it back. */
static void
test_weights_only_rise (void)
{
  struct server_entry entry = make_entry ("a", 1, 2);
  struct server *server;

  setup ();
  server = add_server ("a");
  server_set_weight_version (&servers, server, "m", 3);
  servers_update (&servers, &entry, 2);
  CU_ASSERT_EQUAL (server_weight_version (server, "m"), 3);
  finish ();
}

static struct choose_result
choose_for_call (const struct call *call, const char *model)
{
  struct choose_query query
      = { .service = "svc", .model = model, .call = call };
  struct choose_result result;

  choose_server (&servers, &choose_settings_default, &query, &rng, &result);
  return result;
}

static struct call
make_call (uint64_t context)
{
  struct call call = {
    .model = "m", .prompt_tokens = 9000, .output_tokens = 80, .block_count = 3
  };

  call.blocks[0] = (struct call_block){ 1, 500 };
  call.blocks[1] = (struct call_block){ context, 6000 };
  call.blocks[2] = (struct call_block){ context + 1000, 2500 };
  return call;
}

/* A request goes to the engine that has its context cached, unless the work
 * queued there takes longer than recomputing the context elsewhere. */
static void
test_context_against_backlog (void)
{
  struct call call = make_call (77);
  struct server *cached_server;

  setup ();
  cached_server = add_server ("a");
  add_server ("b");
  add_server ("c");
  server_cache_add (cached_server, call.blocks, 2, NS_PER_S);
  CU_ASSERT_PTR_EQUAL (choose_for_call (&call, "m").server, cached_server);
  cached_server->pending_prefill_tokens = 30000;
  CU_ASSERT_PTR_NOT_EQUAL (choose_for_call (&call, "m").server, cached_server);
  finish ();
}

/* If the memory of all engines is in use, the request waits. Requests that
 * other hosts report count too. */
static void
test_memory_in_flight_is_limited (void)
{
  struct call call = make_call (77);
  struct choose_result result;

  setup ();
  add_server ("a")->in_flight_tokens = 60000;
  add_server ("b")->other_hosts_memory_tokens = 60000;
  result = choose_for_call (&call, "m");
  CU_ASSERT_PTR_NULL (result.server);
  CU_ASSERT_TRUE (result.at_capacity);
  servers_find (&servers, "b")->other_hosts_memory_tokens = 0;
  CU_ASSERT_STRING_EQUAL (choose_for_call (&call, "m").server->entry.id, "b");
  finish ();
}

static void
test_no_server_left (void)
{
  struct call call = make_call (1);
  struct choose_result result;

  setup ();
  result = choose_for_call (&call, "m");
  CU_ASSERT_TRUE (result.server == NULL && !result.at_capacity);
  add_server ("a")->entry.leaving = true;
  result = choose_for_call (&call, "m");
  CU_ASSERT_TRUE (result.server == NULL && !result.at_capacity);
  finish ();
}

/* 400 requests on 12 engines, each choice made with all earlier requests
 * counted: no engine gets over a quarter more than the average. */
static void
test_load_is_even (void)
{
  /* 400 / 12, and a quarter more. */
  const unsigned limit = 42;
  unsigned most_requests = 0;

  setup ();
  for (unsigned i = 0; i < 12; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "e%u", i);
      add_server (id)->kv_capacity_tokens = 10000000;
    }
  for (unsigned i = 0; i < 400; i++)
    {
      struct call call = make_call (100000 + i);
      struct server *server = choose_for_call (&call, "m").server;

      CU_ASSERT_PTR_NOT_NULL_FATAL (server);
      server->in_flight_requests++;
      server->pending_prefill_tokens += call.prompt_tokens;
      server->in_flight_tokens += call.prompt_tokens;
      most_requests = MAX (most_requests, server->in_flight_requests);
    }
  CU_ASSERT_TRUE (most_requests <= limit);
  finish ();
}

static bool
reports_weights (void *data)
{
  return true;
}

static bool
is_loading_weights (void *data, const struct server *server)
{
  return strcmp (server->entry.id, "b") == 0;
}

static uint64_t
weight_version (void *data, const struct server *server)
{
  return server_weight_version (server, "m");
}

static void
weights_reported (void *data, struct server *server, uint64_t reported_version)
{
  server_set_weight_version (&servers, server, "m", reported_version);
}

static const struct loadshare_ops share_ops = { reports_weights,
                                                is_loading_weights,
                                                weights_reported,
                                                weight_version,
                                                NULL,
                                                NULL };

static void
test_load_is_reported (void)
{
  struct loadshare sender;
  struct loadshare receiver;
  uint8_t bytes[LOADSHARE_BYTES_MAX];
  struct server *server;
  size_t size;

  setup ();
  server = add_server ("a");
  add_server ("b");
  for (unsigned i = 0; i < 3; i++)
    server_request_begun (&servers, server);
  server->pending_prefill_tokens = 700;
  server->in_flight_tokens = 9000;
  server_set_weight_version (&servers, server, "m", 2);
  loadshare_init (&sender, &servers, &fake_clock.clock, "h1", 1, &share_ops,
                  NULL);
  loadshare_init (&receiver, &servers, &fake_clock.clock, "h2", 1, &share_ops,
                  NULL);
  size = loadshare_encode (&sender, bytes);
  server->sending_host_count = 2;
  CU_ASSERT_TRUE (loadshare_receive (&receiver, bytes, size));
  loadshare_tick (&receiver);
  CU_ASSERT_EQUAL (server->other_hosts_prefill_tokens, 700);
  CU_ASSERT_EQUAL (server->other_hosts_memory_tokens, 9000);
  CU_ASSERT_EQUAL (server->other_hosts_requests, 3);
  CU_ASSERT_FALSE (
      server_accepts_requests (servers_find (&servers, "b"), 10 * NS_PER_S));
  /* A repeated datagram is too old, and a truncated one is malformed. */
  CU_ASSERT_FALSE (loadshare_receive (&receiver, bytes, size));
  CU_ASSERT_FALSE (loadshare_receive (&receiver, bytes, size - 1));
  /* Only one of the four other hosts has reported its load; the rest are
   * assumed to have the same load. */
  server->sending_host_count = 5;
  receiver.sums_stale = true;
  loadshare_tick (&receiver);
  CU_ASSERT_EQUAL (server->other_hosts_prefill_tokens, 2800);
  clock_fake_advance (&fake_clock, 2 * NS_PER_S);
  loadshare_tick (&receiver);
  CU_ASSERT_EQUAL (server->other_hosts_prefill_tokens, 0);
  loadshare_finish (&sender);
  loadshare_finish (&receiver);
  finish ();
}

static const struct loadshare_changes known_changes = { 3, 70, 90 };
static struct loadshare_changes told_changes;
static char telling_host[16];

static void
changes_known (void *data, struct loadshare_changes *changes)
{
  *changes = known_changes;
}

static void
changes_reported (void *data, const char *host,
                  const struct loadshare_changes *changes)
{
  told_changes = *changes;
  g_strlcpy (telling_host, host, sizeof telling_host);
}

/* A host whose watch had died had nobody to tell it so. */
static void
test_changes_are_told (void)
{
  static const struct loadshare_ops earlier_ops = { reports_weights,
                                                    is_loading_weights,
                                                    weights_reported,
                                                    weight_version,
                                                    NULL,
                                                    NULL };
  struct loadshare_ops ops = earlier_ops;
  struct loadshare sender;
  struct loadshare receiver;
  uint8_t bytes[LOADSHARE_BYTES_MAX];
  size_t size;

  ops.changes_known = changes_known;
  ops.changes_reported = changes_reported;
  setup ();
  for (int earlier = 0; earlier <= 1; earlier++)
    {
      loadshare_init (&sender, &servers, &fake_clock.clock, "h1", 1,
                      earlier ? &earlier_ops : &ops, NULL);
      loadshare_init (&receiver, &servers, &fake_clock.clock, "h2", 1, &ops,
                      NULL);
      size = loadshare_encode (&sender, bytes);
      CU_ASSERT_TRUE (loadshare_receive (&receiver, bytes, size));
      CU_ASSERT_STRING_EQUAL (telling_host, "h1");
      CU_ASSERT_EQUAL (told_changes.era, earlier ? 0 : 3);
      CU_ASSERT_EQUAL (told_changes.operator_revision, earlier ? 0 : 70);
      CU_ASSERT_EQUAL (told_changes.servers_revision, earlier ? 0 : 90);
      loadshare_finish (&sender);
      loadshare_finish (&receiver);
    }
  finish ();
}

/* The expected delay of a store's link is reported apart from the other cost,
 * so that it is not learned a second time from how late the fetch is. */
static void
test_fetch_delay_is_reported (void)
{
  struct call call = make_call (1);
  struct choose_query query
      = { .service = "svc", .model = "m", .call = &call };
  struct choose_result idle_link_result, slow_link_result;

  setup ();
  add_server ("a");
  query.stored[0] = (struct choose_stored_prefix){
    .version = 1, .tokens = call.prompt_tokens, .data_centre = "dc"
  };
  query.stored_count = 1;
  choose_server (&servers, &choose_settings_default, &query, &rng,
                 &idle_link_result);
  query.stored[0].delay_ms = 300;
  choose_server (&servers, &choose_settings_default, &query, &rng,
                 &slow_link_result);
  CU_ASSERT_EQUAL (idle_link_result.store_delay_ms, 0);
  CU_ASSERT_EQUAL (slow_link_result.store_delay_ms, 300);
  CU_ASSERT_DOUBLE_EQUAL (slow_link_result.cost_ms
                              - slow_link_result.store_delay_ms,
                          idle_link_result.cost_ms, 2);
  finish ();
}

static const struct unit_case cases[] = {
  { "changes-are-told", test_changes_are_told },
  { "older-entries-are-ignored", test_older_entries_are_ignored },
  { "another-start-is-another-server",
    test_restarted_server_has_no_old_state },
  { "lost-connections", test_connection_failures },
  { "weights-only-rise", test_weights_only_rise },
  { "context-against-backlog", test_context_against_backlog },
  { "memory-in-flight-is-limited", test_memory_in_flight_is_limited },
  { "none-is-left", test_no_server_left },
  { "load-is-even", test_load_is_even },
  { "load-is-told", test_load_is_reported },
  { "delay-of-a-fetch-is-told", test_fetch_delay_is_reported },
};

int
main (void)
{
  return unit_run ("servers", cases, G_N_ELEMENTS (cases));
}
