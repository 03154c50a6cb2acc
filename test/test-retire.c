#include "cachegc.h"
#include "cacheretire.h"
#include "unit.h"
#include "weights.h"

#include <string.h>

enum
{
  ENGINES = 6
};

/* One holder of the weights' duty, another host, one store, and engines that
 * are on version 1 of their weights at first. */
static struct
{
  struct clock_fake clock;
  struct log log;
  uv_loop_t loop;
  struct servers servers;
  struct presence presence;
  struct kvstores kvstores;
  struct rollout weightswap;
  struct cacheretire retire;
  struct cachegc cachetrim;
  struct wanted_weights wanted;
  cache_reply_received answered;
  void *answered_data;
  unsigned freed;
} world;

static void
fake_events (struct httpjson *httpjson, const char *address, uint64_t since,
             int64_t wait_ns, int64_t timeout_ns,
             cache_reply_received answered, void *data)
{
  world.answered = answered;
  world.answered_data = data;
}

static void
fake_free (struct httpjson *httpjson, const char *address, uint64_t epoch,
           const struct cache_block *parts, unsigned count, int64_t timeout_ns)
{
  world.freed += count;
}

static const struct dialect fake_dialect
    = { .cache_events = fake_events, .cache_free = fake_free };

static void
server_changed (void *data, const struct server *server, const char *what)
{
}

static const struct servers_ops servers_ops = { server_changed };

static struct server *
engine (int index)
{
  char id[8];

  g_snprintf (id, sizeof id, "e%d", index);
  return servers_find (&world.servers, id);
}

static void
engine_add (int index)
{
  struct server_entry entry
      = { .service = "llm", .address = "10.0.0.1:1", .model_count = 1 };

  g_snprintf (entry.id, sizeof entry.id, "e%d", index);
  strcpy (entry.models[0].name, "m");
  entry.models[0].weight_version = 1;
  servers_update (&world.servers, &entry, 1);
}

/* The store tells of one part that version 1 made. */
static void
store_fill (void)
{
  struct cache_block part = { .id = 7, .tokens = 100 };
  struct cache_report report = { .replied = true,
                                 .epoch = 1,
                                 .next_change = 1,
                                 .blocks = &part,
                                 .block_count = 1 };

  strcpy (part.scope, "m:1:");
  kvstores_tick (&world.kvstores);
  world.answered (world.answered_data, &report);
}

static void
other_host_tells (uint64_t version)
{
  char *value = g_strdup_printf ("{\"address\":\"b\",\"weights\":{\"m\":%d}}",
                                 (int)version);
  struct error error;

  CU_ASSERT_EQUAL (presence_key_put (&world.presence, "host/b", value, &error),
                   STATUS_OK);
  g_free (value);
}

/* Let SPAN_MS pass, with the lease of this host kept. */
static void
pass (int span_ms)
{
  for (int ms = 0; ms < span_ms; ms += 50)
    {
      clock_fake_advance (&world.clock, 50 * NS_PER_MS);
      world.presence.lease_expiry_ns
          = clock_boottime (&world.clock.clock) + 3 * NS_PER_S;
      cacheretire_tick (&world.retire);
      cachegc_tick (&world.cachetrim);
    }
}

static void
setup (void)
{
  struct routes *routes = routes_new ();
  struct service *service = routes_add_service (routes, "s");

  memset (&world, 0, sizeof world);
  clock_fake_init (&world.clock, 50 * NS_PER_S);
  log_null_init (&world.log);
  uv_loop_init (&world.loop);
  servers_init (&world.servers, &world.loop, &world.clock.clock, "dc",
                NS_PER_S, &servers_ops, NULL);
  presence_init (&world.presence, NULL, &world.clock.clock, "host/a",
                 &(struct presence_host){ .address = "a" }, 3 * NS_PER_S);
  world.presence.lease = 1;
  world.weightswap.clock = &world.clock.clock;
  world.weightswap.presence = &world.presence;
  world.weightswap.fencing_token = 5;
  world.weightswap.leader_lease = 1;
  world.weightswap.settings.fenced = true;
  world.weightswap.wanted = g_hash_table_new (g_str_hash, g_str_equal);
  strcpy (world.wanted.model, "m");
  world.wanted.version = 2;
  g_hash_table_insert (world.weightswap.wanted, world.wanted.model,
                       &world.wanted);
  service->is_store = true;
  service->address = g_strdup ("10.0.0.2:80");
  service->data_centre = g_strdup ("dc");
  service->kv_capacity_tokens = 1000;
  kvstores_init (&world.kvstores, &kvstores_settings_default,
                 &world.clock.clock, &world.log, &fake_dialect, NULL);
  kvstores_configure (&world.kvstores, routes);
  routes_unref (routes);
  cacheretire_init (&world.retire, &world.clock.clock, &world.log,
                    &world.servers, &world.presence, world.weightswap.wanted);
  cachegc_init (&world.cachetrim, &world.clock.clock, &world.log,
                &fake_dialect, NULL, &world.weightswap, &world.kvstores,
                &world.servers, &world.retire);
  for (int i = 0; i < ENGINES; i++)
    engine_add (i);
  store_fill ();
  other_host_tells (0);
  pass (100);
}

static void
finish (void)
{
  cachegc_finish (&world.cachetrim);
  cacheretire_finish (&world.retire);
  kvstores_finish (&world.kvstores);
  presence_finish (&world.presence);
  servers_finish (&world.servers);
  g_hash_table_destroy (world.weightswap.wanted);
  uv_run (&world.loop, UV_RUN_DEFAULT);
  uv_loop_close (&world.loop);
}

static void
swap (int count)
{
  for (int i = 0; i < count; i++)
    server_set_weight_version (engine (i), "m", 2);
  pass (100);
}

static void
test_most_engines_decide (void)
{
  setup ();
  CU_ASSERT_TRUE (cacheretire_allows_fetch (&world.retire, "m", 1));
  swap (3);
  CU_ASSERT_TRUE (cacheretire_allows_fetch (&world.retire, "m", 1));
  swap (5);
  CU_ASSERT_FALSE (cacheretire_allows_fetch (&world.retire, "m", 1));
  CU_ASSERT_TRUE (cacheretire_allows_fetch (&world.retire, "m", 2));
  CU_ASSERT_EQUAL (presence_host_oldest_version (&world.presence.self, "m"),
                   2);
  finish ();
}

/* Nothing is freed before every host has said that it fetches no more of it,
 * nor before fetches that were sent until then have ended. */
static void
test_freed_once_nobody_fetches (void)
{
  setup ();
  swap (5);
  pass (10000);
  CU_ASSERT_EQUAL (world.freed, 0);
  other_host_tells (2);
  CU_ASSERT_EQUAL (cacheretire_fleet_version (&world.retire, "m"), 2);
  pass (KVSTORES_FETCH_TIMEOUT_MAX_MS);
  CU_ASSERT_EQUAL (world.freed, 0);
  pass (2000);
  CU_ASSERT_EQUAL (world.freed, 1);
  finish ();
}

/* A host that starts anew has not said anything yet. */
static void
test_new_host_is_waited_for (void)
{
  setup ();
  swap (5);
  other_host_tells (2);
  pass (500);
  other_host_tells (0);
  pass (5000);
  CU_ASSERT_EQUAL (world.freed, 0);
  presence_key_removed (&world.presence, "host/b");
  pass (5000);
  CU_ASSERT_EQUAL (world.freed, 1);
  finish ();
}

static void
test_freed_when_no_engine_has_them (void)
{
  setup ();
  swap (ENGINES);
  pass (5000);
  CU_ASSERT_EQUAL (world.freed, 1);
  finish ();
}

/* A host that nobody counts any more fetches nothing that others may free. */
static void
test_host_without_lease (void)
{
  setup ();
  swap (1);
  CU_ASSERT_TRUE (cacheretire_allows_fetch (&world.retire, "m", 1));
  clock_fake_advance (&world.clock, 4 * NS_PER_S);
  CU_ASSERT_FALSE (cacheretire_allows_fetch (&world.retire, "m", 1));
  CU_ASSERT_TRUE (cacheretire_allows_fetch (&world.retire, "m", 2));
  finish ();
}

static const struct unit_case cases[] = {
  { "most-engines-decide", test_most_engines_decide },
  { "freed-once-nobody-fetches", test_freed_once_nobody_fetches },
  { "new-host-is-waited-for", test_new_host_is_waited_for },
  { "freed-when-no-engine-has-them", test_freed_when_no_engine_has_them },
  { "host-without-lease", test_host_without_lease },
};

int
main (void)
{
  return unit_run ("retire", cases, G_N_ELEMENTS (cases));
}
