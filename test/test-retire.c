#include "cachegc.h"
#include "cacheretire.h"
#include "unit.h"
#include "weights.h"

#include <string.h>

enum
{
  ENGINES = 6
};

/* The state of a host that is the leader of the rollout, with another host,
 * one store, and engines that start with weight version 1. */
static struct
{
  struct clock_fake clock;
  struct log log;
  uv_loop_t loop;
  struct servers servers;
  struct presence presence;
  struct kvview operator_view;
  struct kvstores kvstores;
  struct rollout rollout;
  struct cacheretire cacheretire;
  struct cachegc cachegc;
  struct wanted_weights wanted;
  cache_reply_received reply_received;
  void *reply_data;
  unsigned freed_blocks;
} fixture;

static void
fake_cache_events (struct httpjson *httpjson, const char *address,
                   uint64_t since, int64_t wait_ns, int64_t timeout_ns,
                   cache_reply_received reply_received, void *data)
{
  fixture.reply_received = reply_received;
  fixture.reply_data = data;
}

static void
fake_cache_free (struct httpjson *httpjson, const char *address,
                 uint64_t epoch, const struct cache_block *blocks,
                 unsigned count, int64_t timeout_ns)
{
  fixture.freed_blocks += count;
}

static const struct dialect fake_dialect
    = { .cache_events = fake_cache_events, .cache_free = fake_cache_free };

static void
server_changed (void *data, const struct server *server, const char *what)
{
}

static const struct servers_ops servers_ops = { server_changed, NULL };

static struct server *
engine (int index)
{
  char id[8];

  g_snprintf (id, sizeof id, "e%d", index);
  return servers_find (&fixture.servers, id);
}

static void
engine_add (int index)
{
  struct server_entry entry
      = { .service = "llm", .address = "10.0.0.1:1", .model_count = 1 };

  g_snprintf (entry.id, sizeof entry.id, "e%d", index);
  strcpy (entry.models[0].name, "m");
  entry.models[0].weight_version = 1;
  servers_update (&fixture.servers, &entry, 1);
}

/* The store reports one block that was computed with weight version 1. */
static void
store_report_block (void)
{
  struct cache_block block = { .id = 7, .tokens = 100 };
  struct cache_report report = { .replied = true,
                                 .epoch = 1,
                                 .last_change_number = 1,
                                 .blocks = &block,
                                 .block_count = 1 };

  strcpy (block.scope, "m:1:");
  kvstores_tick (&fixture.kvstores);
  fixture.reply_received (fixture.reply_data, &report);
}

static void
other_host_announce (uint64_t version)
{
  char *value = g_strdup_printf ("{\"address\":\"b\",\"weights\":{\"m\":%d}}",
                                 (int)version);
  struct error error;

  CU_ASSERT_EQUAL (
      presence_key_put (&fixture.presence, "host/b", value, &error),
      STATUS_OK);
  g_free (value);
}

/* Runs for DURATION_MS while the lease of this host is renewed. */
static void
run_for_ms (int duration_ms)
{
  for (int elapsed_ms = 0; elapsed_ms < duration_ms; elapsed_ms += 50)
    {
      clock_fake_advance (&fixture.clock, 50 * NS_PER_MS);
      fixture.presence.lease_expiry_ns
          = clock_boottime (&fixture.clock.clock) + 3 * NS_PER_S;
      cacheretire_tick (&fixture.cacheretire);
      cachegc_tick (&fixture.cachegc);
    }
}

static void
setup (void)
{
  struct routes *routes = routes_new ();
  struct service *service = routes_add_service (routes, "s");

  memset (&fixture, 0, sizeof fixture);
  clock_fake_init (&fixture.clock, 50 * NS_PER_S);
  log_null_init (&fixture.log);
  uv_loop_init (&fixture.loop);
  servers_init (&fixture.servers, &fixture.loop, &fixture.clock.clock, "dc",
                NS_PER_S, &servers_ops, NULL);
  presence_init (&fixture.presence, NULL, &fixture.clock.clock, "host/a",
                 &(struct presence_host){ .address = "a" }, 3 * NS_PER_S);
  fixture.presence.lease = 1;
  fixture.rollout.clock = &fixture.clock.clock;
  fixture.rollout.presence = &fixture.presence;
  fixture.rollout.fencing_token = 5;
  fixture.rollout.leader_lease = 1;
  fixture.rollout.settings.fenced = true;
  fixture.rollout.wanted = g_hash_table_new (g_str_hash, g_str_equal);
  strcpy (fixture.wanted.model, "m");
  fixture.wanted.version = 2;
  g_hash_table_insert (fixture.rollout.wanted, fixture.wanted.model,
                       &fixture.wanted);
  service->is_store = true;
  service->address = g_strdup ("10.0.0.2:80");
  service->data_centre = g_strdup ("dc");
  service->kv_capacity_tokens = 1000;
  kvstores_init (&fixture.kvstores, &kvstores_settings_default,
                 &fixture.clock.clock, &fixture.log, &fake_dialect, NULL);
  kvstores_configure (&fixture.kvstores, routes);
  routes_unref (routes);
  cacheretire_init (&fixture.cacheretire, &fixture.clock.clock, &fixture.log,
                    &fixture.servers, &fixture.presence,
                    &fixture.operator_view, fixture.rollout.wanted);
  cachegc_init (&fixture.cachegc, &fixture.clock.clock, &fixture.log,
                &fake_dialect, NULL, &fixture.rollout, &fixture.kvstores,
                &fixture.servers, &fixture.cacheretire);
  for (int i = 0; i < ENGINES; i++)
    engine_add (i);
  store_report_block ();
  other_host_announce (0);
  run_for_ms (100);
}

static void
finish (void)
{
  cachegc_finish (&fixture.cachegc);
  cacheretire_finish (&fixture.cacheretire);
  kvstores_finish (&fixture.kvstores);
  presence_finish (&fixture.presence);
  servers_finish (&fixture.servers);
  g_hash_table_destroy (fixture.rollout.wanted);
  uv_run (&fixture.loop, UV_RUN_DEFAULT);
  uv_loop_close (&fixture.loop);
}

static void
load_new_weights (int count)
{
  for (int i = 0; i < count; i++)
    server_set_weight_version (&fixture.servers, engine (i), "m", 2);
  run_for_ms (100);
}

static void
test_most_engines_decide (void)
{
  setup ();
  CU_ASSERT_TRUE (cacheretire_allows_fetch (&fixture.cacheretire, "m", 1));
  load_new_weights (3);
  CU_ASSERT_TRUE (cacheretire_allows_fetch (&fixture.cacheretire, "m", 1));
  load_new_weights (5);
  CU_ASSERT_FALSE (cacheretire_allows_fetch (&fixture.cacheretire, "m", 1));
  CU_ASSERT_TRUE (cacheretire_allows_fetch (&fixture.cacheretire, "m", 2));
  CU_ASSERT_EQUAL (presence_host_oldest_version (&fixture.presence.self, "m"),
                   2);
  finish ();
}

/* Blocks are freed only after every host has announced that it no longer
 * fetches them, and after the fetches sent before that must have ended. */
static void
test_freed_once_no_host_fetches (void)
{
  setup ();
  load_new_weights (5);
  run_for_ms (10000);
  CU_ASSERT_EQUAL (fixture.freed_blocks, 0);
  other_host_announce (2);
  CU_ASSERT_EQUAL (cacheretire_fleet_version (&fixture.cacheretire, "m"), 2);
  run_for_ms (KVSTORES_FETCH_TIMEOUT_MAX_MS);
  CU_ASSERT_EQUAL (fixture.freed_blocks, 0);
  run_for_ms (2000);
  CU_ASSERT_EQUAL (fixture.freed_blocks, 1);
  finish ();
}

/* A restarted host has not announced anything yet, so nothing is freed until
 * it does or is removed. */
static void
test_restarted_host_is_waited_for (void)
{
  setup ();
  load_new_weights (5);
  other_host_announce (2);
  run_for_ms (500);
  other_host_announce (0);
  run_for_ms (5000);
  CU_ASSERT_EQUAL (fixture.freed_blocks, 0);
  presence_key_removed (&fixture.presence, "host/b");
  run_for_ms (5000);
  CU_ASSERT_EQUAL (fixture.freed_blocks, 1);
  finish ();
}

static void
test_freed_when_no_engine_has_the_weights (void)
{
  setup ();
  load_new_weights (ENGINES);
  run_for_ms (5000);
  CU_ASSERT_EQUAL (fixture.freed_blocks, 1);
  finish ();
}

/* Another host knows no other change by the operator than this one. */
static void
confirm (void)
{
  fixture.operator_view.clock = &fixture.clock.clock;
  fixture.operator_view.revision = 6;
  fixture.operator_view.change_revision = 6;
  kvview_note_change (&fixture.operator_view, 6);
}

/* The other hosts do not wait for a host whose lease may have expired, so that
 * host must not fetch blocks that they may free. */
static void
test_host_with_expired_lease (void)
{
  setup ();
  load_new_weights (1);
  CU_ASSERT_TRUE (cacheretire_allows_fetch (&fixture.cacheretire, "m", 1));
  clock_fake_advance (&fixture.clock, 4 * NS_PER_S);
  CU_ASSERT_FALSE (cacheretire_allows_fetch (&fixture.cacheretire, "m", 1));
  confirm ();
  CU_ASSERT_FALSE (cacheretire_allows_fetch (&fixture.cacheretire, "m", 1));
  CU_ASSERT_TRUE (cacheretire_allows_fetch (&fixture.cacheretire, "m", 2));
  finish ();
}

/* A host that was cut off fetched blocks of the weights that it took for the
 * newest, while the others freed them for weights named since. */
static void
test_host_without_lease_is_confirmed (void)
{
  setup ();
  load_new_weights (1);
  CU_ASSERT_TRUE (cacheretire_allows_fetch (&fixture.cacheretire, "m", 2));
  clock_fake_advance (&fixture.clock, 4 * NS_PER_S);
  CU_ASSERT_FALSE (cacheretire_allows_fetch (&fixture.cacheretire, "m", 2));
  confirm ();
  CU_ASSERT_TRUE (cacheretire_allows_fetch (&fixture.cacheretire, "m", 2));
  clock_fake_advance (&fixture.clock, 2 * NS_PER_S);
  CU_ASSERT_FALSE (cacheretire_allows_fetch (&fixture.cacheretire, "m", 2));
  confirm ();
  kvview_note_change (&fixture.operator_view, 7);
  CU_ASSERT_FALSE (cacheretire_allows_fetch (&fixture.cacheretire, "m", 2));
  presence_key_removed (&fixture.presence, "host/b");
  CU_ASSERT_TRUE (cacheretire_allows_fetch (&fixture.cacheretire, "m", 2));
  finish ();
}

static const struct unit_case cases[] = {
  { "most-engines-decide", test_most_engines_decide },
  { "freed-once-nobody-fetches", test_freed_once_no_host_fetches },
  { "new-host-is-waited-for", test_restarted_host_is_waited_for },
  { "freed-when-no-engine-has-them",
    test_freed_when_no_engine_has_the_weights },
  { "host-without-lease", test_host_with_expired_lease },
  { "host-without-lease-is-confirmed", test_host_without_lease_is_confirmed },
};

int
main (void)
{
  return unit_run ("retire", cases, G_N_ELEMENTS (cases));
}
