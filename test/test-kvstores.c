#include "kvstores.h"
#include "storeupdate.h"
#include "unit.h"

#include <string.h>

/* A dialect whose answers the test writes. */
static struct
{
  cache_reply_received answered;
  void *data;
  uint64_t since;
  bool is_list;
  unsigned calls;
} last;

static struct clock_fake fake_clock;
static struct log silent;
static struct kvstores kvstores;

static void
fake_events (struct httpjson *httpjson, const char *address, uint64_t since,
             int64_t wait_ns, int64_t timeout_ns,
             cache_reply_received answered, void *data)
{
  last.answered = answered;
  last.data = data;
  last.since = since;
  last.is_list = false;
  last.calls++;
}

static void
fake_list (struct httpjson *httpjson, const char *address, int64_t timeout_ns,
           cache_reply_received answered, void *data)
{
  fake_events (httpjson, address, 0, 0, timeout_ns, answered, data);
  last.is_list = true;
}

static const struct dialect fake_dialect
    = { .cache_events = fake_events, .cache_list = fake_list };

static const struct call_block part = { 0xabc, 100 };

static void
setup (void)
{
  struct routes *routes = routes_new ();
  struct service *service = routes_add_service (routes, "s");

  memset (&last, 0, sizeof last);
  clock_fake_init (&fake_clock, 50 * NS_PER_S);
  log_null_init (&silent);
  service->is_store = true;
  service->address = g_strdup ("10.0.0.1:80");
  service->data_centre = g_strdup ("dc");
  service->kv_capacity_tokens = 1000;
  kvstores_init (&kvstores, &kvstores_settings_default, &fake_clock.clock,
                 &silent, &fake_dialect, NULL);
  kvstores_configure (&kvstores, routes);
  kvstores_tick (&kvstores);
  routes_unref (routes);
}

static void
finish (void)
{
  kvstores_finish (&kvstores);
}

static void
answer (uint64_t epoch, uint64_t next, bool gap, unsigned tokens, bool gone)
{
  struct cache_block told
      = { .id = part.id, .tokens = tokens, .removed = gone };
  struct cache_report report = { .replied = true,
                                 .is_list = last.is_list,
                                 .has_gap = gap,
                                 .epoch = epoch,
                                 .next_change = next,
                                 .blocks = &told,
                                 .block_count = tokens > 0 || gone ? 1 : 0 };

  g_strlcpy (told.scope, "m:1:", sizeof told.scope);
  last.answered (last.data, &report);
  clock_fake_advance (&fake_clock, NS_PER_S / 4);
  kvstores_tick (&kvstores);
}

static bool
holds (const char *scope)
{
  return kvstores_find_block (&kvstores, scope, &part, "dc") != NULL;
}

static void
test_only_whole_parts_of_the_scope (void)
{
  setup ();
  CU_ASSERT_FALSE (holds ("m:1:"));
  answer (9, 1, false, 60, false);
  CU_ASSERT_FALSE (holds ("m:1:"));
  answer (9, 2, false, 100, false);
  CU_ASSERT_TRUE (holds ("m:1:"));
  CU_ASSERT_FALSE (holds ("m:2:"));
  CU_ASSERT_FALSE (holds ("m:1:org"));
  answer (9, 3, false, 0, true);
  CU_ASSERT_FALSE (holds ("m:1:"));
  finish ();
}

/* A store that restarts holds nothing, and is filled only after every host
 * must have noticed. */
static void
test_restart_of_a_store (void)
{
  setup ();
  answer (9, 2, false, 100, false);
  clock_fake_advance (&fake_clock, 4 * NS_PER_S);
  CU_ASSERT_PTR_NOT_NULL (
      kvstores_choose_save_target (&kvstores, 5, 10, "dc"));
  answer (10, 0, false, 0, false);
  CU_ASSERT_FALSE (holds ("m:1:"));
  CU_ASSERT_EQUAL (last.since, 0);
  answer (10, 1, false, 100, false);
  CU_ASSERT_TRUE (holds ("m:1:"));
  CU_ASSERT_PTR_NULL (kvstores_choose_save_target (&kvstores, 5, 10, "dc"));
  clock_fake_advance (&fake_clock, 4 * NS_PER_S);
  CU_ASSERT_PTR_NOT_NULL (
      kvstores_choose_save_target (&kvstores, 5, 10, "dc"));
  finish ();
}

static void
test_silent_store_holds_nothing (void)
{
  const struct cache_report none = { .replied = false };

  setup ();
  answer (9, 2, false, 100, false);
  last.answered (last.data, &none);
  CU_ASSERT_FALSE (holds ("m:1:"));
  clock_fake_advance (&fake_clock, NS_PER_S);
  kvstores_tick (&kvstores);
  CU_ASSERT_EQUAL (last.since, 0);
  finish ();
}

static void
test_gap_is_followed_by_a_list (void)
{
  setup ();
  answer (9, 2, false, 100, false);
  answer (9, 90, true, 0, false);
  CU_ASSERT_TRUE (last.is_list);
  answer (9, 91, false, 100, false);
  CU_ASSERT_TRUE (holds ("m:1:"));
  CU_ASSERT_FALSE (last.is_list);
  CU_ASSERT_EQUAL (last.since, 91);
  finish ();
}

static void
test_full_store_takes_nothing (void)
{
  setup ();
  answer (9, 2, false, 100, false);
  clock_fake_advance (&fake_clock, 4 * NS_PER_S);
  CU_ASSERT_PTR_NOT_NULL (
      kvstores_choose_save_target (&kvstores, 5, 800, "dc"));
  CU_ASSERT_PTR_NULL (kvstores_choose_save_target (&kvstores, 5, 900, "dc"));
  finish ();
}

static void
test_parts_are_taken_out_by_version (void)
{
  struct cache_block parts[4];
  struct kvstore *store;

  setup ();
  answer (9, 2, false, 100, false);
  store = kvstores_find_store (&kvstores, "s");
  CU_ASSERT_EQUAL (kvstore_take_blocks (store, "m:2:", parts, 4), 0);
  CU_ASSERT_EQUAL (kvstore_take_blocks (store, "m:1:", parts, 4), 1);
  CU_ASSERT_EQUAL (parts[0].id, part.id);
  CU_ASSERT_STRING_EQUAL (parts[0].scope, "m:1:");
  CU_ASSERT_FALSE (holds ("m:1:"));
  CU_ASSERT_EQUAL (store->stored_tokens, 0);
  finish ();
}

static void
test_delay_fades (void)
{
  struct kvstore *store;

  setup ();
  store = kvstores_find_store (&kvstores, "s");
  kvstore_record_delay (store, 400);
  CU_ASSERT_DOUBLE_EQUAL (kvstore_expected_delay_ms (store), 100, 1);
  clock_fake_advance (&fake_clock, 3 * NS_PER_S);
  CU_ASSERT_TRUE (kvstore_expected_delay_ms (store) < 15);
  finish ();
}

/* What this host told others, and whether it listens for them. */
static struct
{
  bool listens;
  unsigned count;
  uint8_t bytes[STOREUPDATE_BYTES_MAX];
  size_t size;
} shared;

static bool
shared_listens (void *data, const struct kvstore *store)
{
  return shared.listens;
}

static void
shared_heard (void *data, const struct kvstore_update *news)
{
  shared.count++;
  shared.size = storeupdate_encode (news, shared.bytes);
}

static const struct kvstores_ops shared_ops = { shared_listens, shared_heard };

/* Change NUMBER after SINCE: the part is held, or gone. */
static void
news_take (uint64_t epoch, uint64_t since, uint64_t number, bool gone)
{
  struct cache_block changed = { .id = part.id,
                                 .tokens = part.tokens,
                                 .removed = gone,
                                 .change_number = number };
  struct kvstore_update news = { .store = "s",
                                 .epoch = epoch,
                                 .since = since,
                                 .next = number,
                                 .blocks = &changed,
                                 .block_count = 1 };

  strcpy (changed.scope, "m:1:");
  kvstores_apply_update (&kvstores, &news);
}

static void
test_listener_tells_others (void)
{
  setup ();
  memset (&shared, 0, sizeof shared);
  shared.listens = true;
  kvstores_set_ops (&kvstores, &shared_ops, NULL);
  answer (9, 2, false, 100, false);
  CU_ASSERT_EQUAL (shared.count, 1);
  CU_ASSERT_TRUE (shared.size > 0);
  shared.listens = false;
  answer (9, 3, false, 0, true);
  CU_ASSERT_EQUAL (shared.count, 1);
  finish ();
  /* Another host that knows the store takes it from the datagram. */
  setup ();
  answer (9, 0, false, 0, false);
  CU_ASSERT_FALSE (holds ("m:1:"));
  CU_ASSERT_TRUE (storeupdate_apply (&kvstores, shared.bytes, shared.size));
  CU_ASSERT_TRUE (holds ("m:1:"));
  CU_ASSERT_FALSE (
      storeupdate_apply (&kvstores, shared.bytes, shared.size - 1));
  finish ();
}

/* News count only if they follow on what is known of the same run. */
static void
test_news_follow_on (void)
{
  setup ();
  news_take (9, 0, 1, false);
  CU_ASSERT_FALSE (holds ("m:1:"));
  answer (9, 5, false, 0, false);
  news_take (9, 6, 7, false);
  CU_ASSERT_FALSE (holds ("m:1:"));
  news_take (8, 5, 7, false);
  CU_ASSERT_FALSE (holds ("m:1:"));
  news_take (9, 3, 7, false);
  CU_ASSERT_TRUE (holds ("m:1:"));
  /* What came before what is known changes nothing. */
  news_take (9, 3, 6, true);
  CU_ASSERT_TRUE (holds ("m:1:"));
  news_take (9, 7, 8, true);
  CU_ASSERT_FALSE (holds ("m:1:"));
  finish ();
}

/* A store that is asked by too many is not a lost one, for a while. */
static void
test_busy_store (void)
{
  struct cache_report busy = { .busy = true };

  setup ();
  answer (9, 2, false, 100, false);
  last.answered (last.data, &busy);
  CU_ASSERT_TRUE (holds ("m:1:"));
  clock_fake_advance (&fake_clock, 5 * NS_PER_S);
  kvstores_tick (&kvstores);
  last.answered (last.data, &busy);
  CU_ASSERT_FALSE (holds ("m:1:"));
  finish ();
}

static const struct unit_case cases[] = {
  { "only-whole-parts-of-the-scope", test_only_whole_parts_of_the_scope },
  { "restart-of-a-store", test_restart_of_a_store },
  { "silent-store-holds-nothing", test_silent_store_holds_nothing },
  { "gap-is-followed-by-a-list", test_gap_is_followed_by_a_list },
  { "full-store-takes-nothing", test_full_store_takes_nothing },
  { "parts-are-taken-out-by-version", test_parts_are_taken_out_by_version },
  { "delay-fades", test_delay_fades },
  { "listener-tells-others", test_listener_tells_others },
  { "news-follow-on", test_news_follow_on },
  { "busy-store", test_busy_store },
};

int
main (void)
{
  return unit_run ("kvstores", cases, G_N_ELEMENTS (cases));
}
