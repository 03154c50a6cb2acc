#include "choose.h"
#include "clock.h"
#include "evacuation.h"
#include "kvstores.h"
#include "kvstoreuse.h"
#include "serverevacuate.h"
#include "unit.h"

#include <string.h>

static struct evacuation evacuation;
static GString *changes;

static void
note_change (void *data, const struct evacuated *evacuated,
             enum evacuation_change change)
{
  g_string_append_printf (changes, "%s:%s ", evacuated->data_centre,
                          evacuation_change_name (change));
}

static const struct evacuation_ops ops = { note_change };
static const struct evacuation_reading in_sync
    = { .initial_read_done = true, .reachable = true };

static void
setup (void)
{
  changes = g_string_new (NULL);
  evacuation_init (&evacuation, 5 * NS_PER_S, &ops, NULL);
  evacuation_tick (&evacuation, &in_sync, NS_PER_S);
}

static void
finish (void)
{
  evacuation_finish (&evacuation);
  g_string_free (changes, TRUE);
}

/* Something other than a removal ended an evacuation, or a removal did not. */
static void
test_what_ends_one (void)
{
  static const struct
  {
    const char *name;
    struct evacuation_absence absence;
    bool ends;
  } rows[] = {
    { "reported", { .is_reported = true, .era = 1 }, true },
    { "reported in a later era", { .is_reported = true, .era = 2 }, true },
    { "left out of a read", { .era = 1, .revision = 9 }, true },
    { "left out, nothing else changed", { .era = 1, .revision = 7 }, true },
    { "empty read", { .is_empty = true, .era = 1, .revision = 9 }, false },
    { "later era", { .era = 2, .revision = 9 }, false },
    { "earlier revision", { .era = 1, .revision = 6 }, false },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      setup ();
      evacuation_put (&evacuation, "z0", 7, 1, NS_PER_S);
      evacuation_removed (&evacuation, "z0", &rows[i].absence, 2 * NS_PER_S);
      unit_expect (evacuation_is_evacuated (&evacuation, "z0")
                       == !rows[i].ends,
                   "evacuated", rows[i].name);
      finish ();
    }
}

/* A lost evacuation was kept for ever, or ended by time that passed while the
 * keys could not be read. */
static void
test_lost_key (void)
{
  static const struct evacuation_absence lost = { .era = 2, .revision = 9 };
  const struct evacuation_reading unreachable = { .initial_read_done = true };
  int64_t now = NS_PER_S;

  setup ();
  evacuation_put (&evacuation, "z0", 7, 1, now);
  evacuation_put (&evacuation, "z1", 8, 1, now);
  evacuation_removed (&evacuation, "z0", &lost, now);
  evacuation_removed (&evacuation, "z0", &lost, now);
  evacuation_removed (&evacuation, "z1", &lost, now);
  for (int s = 0; s < 600; s++)
    evacuation_tick (&evacuation, &unreachable, now += NS_PER_S);
  CU_ASSERT_TRUE (evacuation_is_evacuated (&evacuation, "z0"));
  evacuation_put (&evacuation, "z1", 2, 2, now);
  for (int s = 0; s < EVACUATION_LOST_HOLD_MS / 1000 - 1; s++)
    evacuation_tick (&evacuation, &in_sync, now += NS_PER_S);
  CU_ASSERT_TRUE (evacuation_is_evacuated (&evacuation, "z0"));
  evacuation_tick (&evacuation, &in_sync, now + NS_PER_S);
  CU_ASSERT_FALSE (evacuation_is_evacuated (&evacuation, "z0"));
  CU_ASSERT_TRUE (evacuation_is_evacuated (&evacuation, "z1"));
  CU_ASSERT_STRING_EQUAL (changes->str,
                          "z0:began z1:began z0:lost z1:lost z1:found "
                          "z0:expired ");
  finish ();
}

/* Evacuations that overlap ended each other; a key of another form ended the
 * process or counted. */
static void
test_several (void)
{
  static const struct evacuation_absence removed = { .is_reported = true };
  char *long_name = g_strnfill (EVACUATION_NAME_MAX, 'z');

  setup ();
  CU_ASSERT_TRUE (evacuation_put (&evacuation, "z0", 1, 1, 1));
  CU_ASSERT_TRUE (evacuation_put (&evacuation, "z1", 2, 1, 2));
  CU_ASSERT_TRUE (evacuation_put (&evacuation, "z0", 3, 1, 3));
  CU_ASSERT_FALSE (evacuation_put (&evacuation, "", 4, 1, 4));
  CU_ASSERT_FALSE (evacuation_put (&evacuation, long_name, 4, 1, 4));
  evacuation_removed (&evacuation, "z0", &removed, 5);
  evacuation_removed (&evacuation, "unknown", &removed, 5);
  CU_ASSERT_FALSE (evacuation_is_evacuated (&evacuation, "z0"));
  CU_ASSERT_TRUE (evacuation_is_evacuated (&evacuation, "z1"));
  CU_ASSERT_STRING_EQUAL (changes->str, "z0:began z1:began z0:ended ");
  g_free (long_name);
  finish ();
}

/* A host that could have missed an evacuation sent requests, or a host without
 * the KV service, or one that pauses often, sent none any more. */
static void
test_held_sends (void)
{
  static const struct
  {
    const char *name;
    bool unread;
    int64_t pause_ms;  /* before the first tick after setup */
    bool reading_anew; /* from then on */
    bool unreachable;
    int64_t later_ms; /* from there to the last tick, in steps of a second */
    bool held;
  } rows[] = {
    { "in sync", .later_ms = 20000 },
    { "just started", .unread = true, .held = true },
    { "just started without the KV service", .unread = true,
      .unreachable = true, .later_ms = 10000, .held = true },
    { "paused shortly", .pause_ms = 3000, .reading_anew = true },
    { "paused shortly, read is late", .pause_ms = 3000, .reading_anew = true,
      .later_ms = 9000 },
    { "suspended", .pause_ms = 9000, .reading_anew = true, .held = true },
    { "suspended, read is late", .pause_ms = 9000, .reading_anew = true,
      .later_ms = 4000, .held = true },
    { "suspended, the KV service hangs", .pause_ms = 9000,
      .reading_anew = true, .later_ms = 6000 },
    { "suspended, read", .pause_ms = 9000 },
    { "suspended, cut off", .pause_ms = 9000, .reading_anew = true,
      .unreachable = true, .later_ms = 1000, .held = true },
    { "suspended, cut off for longer", .pause_ms = 9000, .reading_anew = true,
      .unreachable = true, .later_ms = 2000 },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const struct evacuation_reading reading = {
        .initial_read_done = !rows[i].unread,
        .is_reading_anew = rows[i].reading_anew,
        .reachable = !rows[i].unreachable,
      };
      int64_t now = NS_PER_S + rows[i].pause_ms * NS_PER_MS;

      setup ();
      evacuation_tick (&evacuation, &reading, now);
      for (int64_t past = 0; past < rows[i].later_ms; past += 1000)
        evacuation_tick (&evacuation, &reading, now += NS_PER_S);
      unit_expect (evacuation_holds_sends (&evacuation, now) == rows[i].held,
                   "held", rows[i].name);
      finish ();
    }
  setup ();
  CU_ASSERT_FALSE (evacuation_holds_sends (&evacuation, 2 * NS_PER_S));
  /* The process wakes and is called before its tick. */
  CU_ASSERT_TRUE (evacuation_holds_sends (&evacuation, 9 * NS_PER_S));
  finish ();
  CU_ASSERT_FALSE (evacuation_holds_sends (NULL, 9 * NS_PER_S));
}

static void
ignore_server (void *data, const struct server *server, const char *change)
{
}

static const struct servers_ops servers_ops = { ignore_server, NULL };

static void
server_enter (struct servers *servers, const char *id, const char *data_centre,
              uint64_t started_ms)
{
  struct server_entry entry = { .slots = 4, .started_ms = started_ms };

  g_strlcpy (entry.id, id, sizeof entry.id);
  g_strlcpy (entry.service, "svc", sizeof entry.service);
  g_strlcpy (entry.address, "127.0.0.1:1", sizeof entry.address);
  g_strlcpy (entry.data_centre, data_centre, sizeof entry.data_centre);
  servers_update (servers, &entry, 1);
}

static void
choose (const struct servers *servers, struct choose_result *result)
{
  const struct call call = { 0 };
  const struct choose_query query = { .service = "svc", .call = &call };
  struct rng rng;

  rng_init (&rng, 1);
  choose_server (servers, &choose_settings_default, &query, &rng, result);
}

/* A server of an evacuated data centre was chosen, also one that started there
 * meanwhile, or a request waited where all are evacuated. */
static void
test_choice (void)
{
  static const struct evacuation_absence removed = { .is_reported = true };
  struct clock_fake clock;
  struct servers servers;
  struct choose_result result;

  setup ();
  clock_fake_init (&clock, NS_PER_S);
  servers_init (&servers, NULL, &clock.clock, "z0", NS_PER_S, &servers_ops,
                NULL);
  servers.evacuation = &evacuation;
  server_enter (&servers, "a", "z0", 1);
  server_enter (&servers, "b", "z1", 1);
  evacuation_put (&evacuation, "z0", 1, 1, 1);
  CU_ASSERT_EQUAL (servers_apply_evacuation (&servers, "z0"), 1);
  choose (&servers, &result);
  CU_ASSERT_STRING_EQUAL (result.server->entry.id, "b");
  CU_ASSERT_EQUAL (result.evacuated, 1);
  server_enter (&servers, "a", "z0", 2);
  server_enter (&servers, "b", "z0", 1);
  choose (&servers, &result);
  CU_ASSERT_PTR_NULL (result.server);
  CU_ASSERT_EQUAL (result.evacuated, 2);
  CU_ASSERT_FALSE (result.at_capacity);
  evacuation_removed (&evacuation, "z0", &removed, 2);
  servers_apply_evacuation (&servers, "z0");
  choose (&servers, &result);
  CU_ASSERT_EQUAL (result.candidates, 2);
  clock_fake_advance (&clock, 9 * NS_PER_S);
  choose (&servers, &result);
  CU_ASSERT_PTR_NULL (result.server);
  CU_ASSERT_TRUE (result.at_capacity);
  servers_finish (&servers);
  finish ();
}

/* A block was fetched from or saved to a store in an evacuated data centre. */
static void
test_stores (void)
{
  struct clock_fake clock;
  struct kvstores kvstores;
  struct routes *routes = routes_new ();
  struct service *service = routes_add_service (routes, "store");
  const struct call_block block = { .id = 1, .tokens = 10 };
  struct kvstore *store;

  setup ();
  clock_fake_init (&clock, 100 * NS_PER_S);
  kvstores_init (&kvstores, &kvstores_settings_default, &clock.clock, NULL,
                 NULL, NULL);
  kvstores.evacuation = &evacuation;
  service->is_store = true;
  service->address = g_strdup ("127.0.0.1:1");
  service->data_centre = g_strdup ("z0");
  service->kv_capacity_tokens = 1000;
  kvstores_configure (&kvstores, routes);
  store = kvstores_find_store (&kvstores, "store");
  if (store == NULL)
    {
      CU_FAIL_FATAL ("no store");
      return;
    }
  store->epoch = 1;
  store->in_sync = true;
  store->confirmed_until_ns = INT64_MAX;
  g_hash_table_insert (store->blocks, g_strdup ("s 1"), GUINT_TO_POINTER (10));
  store->save_allowed_ns = 0;
  CU_ASSERT_PTR_EQUAL (
      kvstores_find_block (&kvstores, "s", &block, "z0", NULL), store);
  CU_ASSERT_PTR_EQUAL (
      kvstores_choose_save_target (&kvstores, 2, 10, "z0", NULL), store);
  evacuation_put (&evacuation, "z0", 1, 1, 1);
  CU_ASSERT_PTR_NULL (
      kvstores_find_block (&kvstores, "s", &block, "z0", NULL));
  CU_ASSERT_PTR_NULL (
      kvstores_choose_save_target (&kvstores, 2, 10, "z0", NULL));
  kvstores_finish (&kvstores);
  routes_unref (routes);
  finish ();
}

static const struct unit_case cases[] = {
  { "what-ends-one", test_what_ends_one },
  { "lost-key", test_lost_key },
  { "several", test_several },
  { "held-sends", test_held_sends },
  { "choice", test_choice },
  { "stores", test_stores },
};

int
main (void)
{
  return unit_run ("evacuation", cases, G_N_ELEMENTS (cases));
}
