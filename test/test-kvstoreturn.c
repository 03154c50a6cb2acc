#include "kvstoreturn.h"
#include "unit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  STORE_COUNT = 12,
  SILENT_COUNT = 2,
  TICK_MS = 10,
  REPLY_MS = 100
};

/* A query that the test has not replied to. */
struct query
{
  cache_reply_received reply_received; /* NULL if there is none. */
  void *data;
  int64_t sent_ns;
  int64_t timeout_ns;
};

static struct clock_fake fake_clock;
static struct log null_log;
static struct kvstores kvstores;
static struct query queries[STORE_COUNT];

static void
fake_cache_events (struct httpjson *httpjson, const char *address,
                   uint64_t since, int64_t wait_ns, int64_t timeout_ns,
                   cache_reply_received reply_received, void *data)
{
  unsigned store = (unsigned)atoi (strchr (address, ':') + 1);

  queries[store]
      = (struct query){ reply_received, data, fake_clock.now_ns, timeout_ns };
}

static const struct dialect fake_dialect
    = { .cache_events = fake_cache_events };

static bool
poll_all (void *data, const struct kvstore *store)
{
  return true;
}

static void
ignore_update (void *data, const struct kvstore_update *update)
{
}

static const struct kvstores_ops fake_ops = { poll_all, ignore_update };

static void
setup (void)
{
  struct routes *routes = routes_new ();

  memset (queries, 0, sizeof queries);
  clock_fake_init (&fake_clock, 50 * NS_PER_S);
  log_null_init (&null_log);
  for (unsigned i = 0; i < STORE_COUNT; i++)
    {
      char name[8];
      struct service *service;

      snprintf (name, sizeof name, "s%u", i);
      service = routes_add_service (routes, name);
      service->is_store = true;
      service->address = g_strdup_printf ("10.0.0.1:%u", i);
      service->data_centre = g_strdup ("dc");
    }
  kvstores_init (&kvstores, &kvstores_settings_default, &fake_clock.clock,
                 &null_log, &fake_dialect, NULL);
  kvstores_set_ops (&kvstores, &fake_ops, NULL);
  kvstores_configure (&kvstores, routes);
  routes_unref (routes);
}

/* Return the number of queries for all that a store holds. */
static unsigned
count_catch_ups (void)
{
  unsigned count = 0;

  for (unsigned i = 0; i < STORE_COUNT; i++)
    count += queries[i].reply_received != NULL
             && kvstoreturn_catches_up (queries[i].data);
  return count;
}

static unsigned
count_in_sync (void)
{
  unsigned count = 0;

  for (guint i = 0; i < kvstores.stores->len; i++)
    count += ((const struct kvstore *)kvstores.stores->pdata[i])->in_sync;
  return count;
}

static void
query_reply (struct query *query, bool replied)
{
  struct query sent = *query;
  struct cache_report report = { .replied = replied, .epoch = 9 };

  memset (query, 0, sizeof *query);
  report.last_change_number = 1;
  sent.reply_received (sent.data, &report);
}

/* Let time pass for NS: the first SILENT stores never reply, the others after
 * REPLY_MS. Returns the maximum of count_catch_ups. */
static unsigned
play (int64_t ns, unsigned silent)
{
  unsigned most = 0;

  for (int64_t end = fake_clock.now_ns + ns; fake_clock.now_ns < end;)
    {
      kvstores_tick (&kvstores);
      most = MAX (most, count_catch_ups ());
      clock_fake_advance (&fake_clock, TICK_MS * NS_PER_MS);
      for (unsigned i = 0; i < STORE_COUNT; i++)
        {
          int64_t age_ns = fake_clock.now_ns - queries[i].sent_ns;

          if (queries[i].reply_received == NULL)
            continue;
          if (i >= silent && age_ns >= REPLY_MS * NS_PER_MS)
            query_reply (&queries[i], true);
          else if (age_ns >= queries[i].timeout_ns)
            query_reply (&queries[i], false);
        }
    }
  return most;
}

/* A host that had just started asked all stores at once for all that they
 * hold. The replies filled its link for seconds, so that it was told too late
 * which servers had left. */
static void
test_few_stores_at_a_time (void)
{
  setup ();
  CU_ASSERT_EQUAL (play (NS_PER_S / 4, 0), 4);
  CU_ASSERT_TRUE (count_in_sync () < STORE_COUNT);
  play (NS_PER_S / 4, 0);
  CU_ASSERT_EQUAL (count_in_sync (), STORE_COUNT);
  kvstores_finish (&kvstores);
}

/* Stores that never reply must not keep a host from querying the others. */
static void
test_silent_stores_yield (void)
{
  setup ();
  play (NS_PER_S, SILENT_COUNT);
  CU_ASSERT_EQUAL (count_in_sync (), STORE_COUNT - SILENT_COUNT);
  kvstores_finish (&kvstores);
}

/* With more silent stores than may be queried at a time, each store still has
 * its turn. */
static void
test_many_silent_stores_take_turns (void)
{
  setup ();
  play (5 * NS_PER_S, 8);
  CU_ASSERT_EQUAL (count_in_sync (), STORE_COUNT - 8);
  kvstores_finish (&kvstores);
}

static const struct unit_case cases[] = {
  { "few-stores-at-a-time", test_few_stores_at_a_time },
  { "silent-stores-yield", test_silent_stores_yield },
  { "many-silent-stores-take-turns", test_many_silent_stores_take_turns },
};

int
main (void)
{
  return unit_run ("kvstoreturn", cases, G_N_ELEMENTS (cases));
}
