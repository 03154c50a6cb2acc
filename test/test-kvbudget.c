#include "fake-kv.h"
#include "kvbudget.h"
#include "unit.h"

#include <limits.h>

static struct clock_fake fake_clock;
static struct fake_kv fake;
static struct fake_kv_client client;
static struct rng rng;
static struct kvbudget budget;
static unsigned reply_counts[STATUS_COUNT];

static const struct kvbudget_settings settings = {
  .rate = 50,
  .burst = 10,
  .queue_max = 30,
  .watch_max = 20,
  .urgent_prefix = "urgent/",
  .queue_timeout_ns = 500 * NS_PER_MS,
  .call_timeout_ns = NS_PER_S,
  .backoff.min_ns = 100 * NS_PER_MS,
  .backoff.max_ns = 5 * NS_PER_S,
  .backoff.outage_min_ns = 4 * NS_PER_S,
};

static void
setup (uint64_t seed)
{
  clock_fake_init (&fake_clock, NS_PER_S);
  fake_kv_init (&fake, &fake_clock.clock, seed);
  fake_kv_client_init (&client, &fake);
  rng_init (&rng, seed);
  kvbudget_init (&budget, &client.kv, &fake_clock.clock, &rng, &settings);
  for (int i = 0; i < STATUS_COUNT; i++)
    reply_counts[i] = 0;
}

static void
finish (void)
{
  kvbudget_finish (&budget);
  fake_kv_client_finish (&client);
  fake_kv_finish (&fake);
}

static void
count_reply (void *data, const struct kv_reply *reply)
{
  reply_counts[reply->status]++;
}

/* Repeats the call from inside its callback, which is the highest load that a
 * caller can cause. DATA holds the number of calls still to make. */
static void
count_reply_and_repeat (void *data, const struct kv_reply *reply)
{
  unsigned *calls_left = data;

  reply_counts[reply->status]++;
  if (*calls_left == 0)
    return;
  --*calls_left;
  budget.kv.ops->get (&budget.kv, "k", count_reply_and_repeat, calls_left);
}

static void
run (int64_t ns)
{
  int64_t end = fake_clock.now_ns + ns;

  while (fake_clock.now_ns < end)
    {
      clock_fake_advance (&fake_clock, NS_PER_MS);
      fake_kv_step (&fake);
      kvbudget_tick (&budget);
      CU_ASSERT_TRUE (kvbudget_next_tick_ns (&budget)
                      > fake_clock.now_ns - NS_PER_MS);
    }
}

/* 200 callers repeat their calls without a pause, with random outages, rate
 * limits and slow replies: in no second more calls are sent than the rate and
 * one burst allow. */
static void
test_rate_limit_under_overload (void)
{
  unsigned calls_left = UINT_MAX;
  uint64_t before;

  setup (3);
  for (int i = 0; i < 200; i++)
    budget.kv.ops->get (&budget.kv, "k", count_reply_and_repeat, &calls_left);
  for (int second = 0; second < 60; second++)
    {
      before = fake_kv_call_count (&fake);
      fake.faults.down = rng_below (&rng, 4) == 0;
      fake.faults.limited_share = rng_below (&rng, 4) == 0 ? 0.5 : 0;
      fake.faults.latency_ns
          = rng_below (&rng, 4) == 0 ? 3 * NS_PER_S : 2 * NS_PER_MS;
      run (NS_PER_S);
      CU_ASSERT_TRUE (fake_kv_call_count (&fake) - before <= 60);
    }
  CU_ASSERT_TRUE (reply_counts[STATUS_OK] + reply_counts[STATUS_NOT_FOUND]
                  > 300);
  calls_left = 0;
  finish ();
}

/* While each call lost its reply, as when the service resets the connections
 * of some hosts, calls were repeated at the full rate. */
static void
test_lost_replies_in_a_row (void)
{
  unsigned calls_left = UINT_MAX;
  uint64_t before;

  setup (5);
  fake.faults.lost_before_effect_share = 1;
  for (int i = 0; i < 3; i++)
    budget.kv.ops->get (&budget.kv, "k", count_reply_and_repeat, &calls_left);
  run (NS_PER_S);
  before = fake_kv_call_count (&fake);
  run (20 * NS_PER_S);
  CU_ASSERT_TRUE (fake_kv_call_count (&fake) - before <= 10);
  CU_ASSERT_TRUE (kvbudget_service_is_down (&budget));
  fake.faults.lost_before_effect_share = 0;
  run (3 * settings.backoff.max_ns / 2 + NS_PER_S);
  CU_ASSERT_FALSE (kvbudget_service_is_down (&budget));
  calls_left = 0;
  finish ();
}

/* A service that loses some replies is not down. */
static void
test_some_lost_replies (void)
{
  unsigned calls_left = UINT_MAX;

  setup (6);
  fake.faults.lost_after_effect_share = 0.1;
  budget.kv.ops->get (&budget.kv, "k", count_reply_and_repeat, &calls_left);
  run (20 * NS_PER_S);
  CU_ASSERT_TRUE (reply_counts[STATUS_NOT_FOUND] > 700);
  calls_left = 0;
  finish ();
}

/* During an outage of one minute one probe at a time is sent, at growing
 * intervals. After the outage the service counts as reachable again within the
 * longest backoff, which is 1.5 times backoff_max_ns, and one second. */
static void
test_one_probe_after_an_outage (void)
{
  unsigned calls_left = UINT_MAX;

  setup (4);
  fake.faults.down = true;
  for (int i = 0; i < 100; i++)
    budget.kv.ops->get (&budget.kv, "k", count_reply_and_repeat, &calls_left);
  run (60 * NS_PER_S);
  CU_ASSERT_TRUE (kvbudget_service_is_down (&budget));
  CU_ASSERT_TRUE (budget.probe_call_count >= 7);
  CU_ASSERT_TRUE (budget.probe_call_count <= 40);
  CU_ASSERT_TRUE (fake_kv_call_count (&fake) <= budget.probe_call_count + 10);
  fake.faults.down = false;
  run (settings.backoff.max_ns * 3 / 2 + NS_PER_S);
  CU_ASSERT_FALSE (kvbudget_service_is_down (&budget));
  calls_left = 0;
  finish ();
}

static void
test_waiting_watches_use_the_rate (void)
{
  unsigned calls_left = UINT_MAX;
  uint64_t before;

  setup (5);
  for (int i = 0; i < 25; i++)
    budget.kv.ops->watch (&budget.kv, "w", 0, 60 * NS_PER_S, count_reply,
                          NULL);
  run (2 * NS_PER_S);
  CU_ASSERT_EQUAL (fake.pending_watch_count, 20);
  CU_ASSERT_EQUAL (reply_counts[STATUS_LIMITED], 5);
  budget.kv.ops->get (&budget.kv, "k", count_reply_and_repeat, &calls_left);
  for (int i = 0; i < 29; i++)
    budget.kv.ops->get (&budget.kv, "k", count_reply_and_repeat, &calls_left);
  run (NS_PER_S);
  before = fake_kv_call_count (&fake);
  run (10 * NS_PER_S);
  CU_ASSERT_TRUE (fake_kv_call_count (&fake) - before <= 310);
  CU_ASSERT_TRUE (fake_kv_call_count (&fake) - before >= 270);
  calls_left = 0;
  finish ();
}

/* A lease call is sent before all other queued calls. */
static void
test_leases_first (void)
{
  setup (6);
  for (int i = 0; i < 39; i++)
    budget.kv.ops->get (&budget.kv, "k", count_reply, NULL);
  budget.kv.ops->lease_grant (&budget.kv, NS_PER_S, count_reply, NULL);
  run (40 * NS_PER_MS);
  CU_ASSERT_EQUAL (reply_counts[STATUS_OK], 1);
  finish ();
  CU_ASSERT_TRUE (reply_counts[STATUS_CANCELLED] > 0);
}

/* The read of the configuration waited behind all other queued calls. */
static void
test_urgent_reads_first (void)
{
  setup (6);
  for (int i = 0; i < 39; i++)
    budget.kv.ops->get (&budget.kv, "k", count_reply, NULL);
  budget.kv.ops->range (&budget.kv, "urgent/", count_reply, NULL);
  run (40 * NS_PER_MS);
  CU_ASSERT_EQUAL (reply_counts[STATUS_OK], 1);
  finish ();
}

/* After a failure the read of the configuration waited until the probe of
 * another call, which got no reply, had timed out, and was refused. */
static void
test_urgent_read_beside_a_probe (void)
{
  setup (6);
  fake.faults.down = true;
  budget.kv.ops->get (&budget.kv, "k", count_reply, NULL);
  run (20 * NS_PER_MS);
  fake.faults.down = false;
  fake.faults.latency_ns = 10 * NS_PER_S;
  budget.kv.ops->lease_grant (&budget.kv, NS_PER_S, count_reply, NULL);
  run (400 * NS_PER_MS);
  CU_ASSERT_TRUE (budget.backoff.probe_in_flight);
  fake.faults.latency_ns = 2 * NS_PER_MS;
  budget.kv.ops->range (&budget.kv, "urgent/", count_reply, NULL);
  run (20 * NS_PER_MS);
  CU_ASSERT_EQUAL (reply_counts[STATUS_OK], 1);
  CU_ASSERT_FALSE (kvbudget_service_is_down (&budget));
  finish ();
}

/* While the service is down, the urgent reads keep to the backoff too. */
static void
test_urgent_reads_back_off (void)
{
  uint64_t before;

  setup (6);
  fake.faults.down = true;
  budget.kv.ops->get (&budget.kv, "k", count_reply, NULL);
  run (10 * NS_PER_S);
  before = fake_kv_call_count (&fake);
  for (int i = 0; i < 100; i++)
    {
      budget.kv.ops->range (&budget.kv, "urgent/", count_reply, NULL);
      run (100 * NS_PER_MS);
    }
  CU_ASSERT_TRUE (fake_kv_call_count (&fake) - before <= 10);
  finish ();
}

static void
test_late_reply_is_dropped (void)
{
  setup (7);
  fake.faults.latency_ns = 3 * NS_PER_S;
  budget.kv.ops->get (&budget.kv, "k", count_reply, NULL);
  run (1100 * NS_PER_MS);
  CU_ASSERT_EQUAL (reply_counts[STATUS_UNKNOWN], 1);
  run (3 * NS_PER_S);
  CU_ASSERT_EQUAL (reply_counts[STATUS_NOT_FOUND], 0);
  CU_ASSERT_EQUAL (budget.timeout_count, 1);
  finish ();
}

/* A service that refuses calls for their number counted as down. */
static void
test_limited_is_not_down (void)
{
  setup (8);
  fake.faults.limited_share = 1;
  for (int i = 0; i < 20; i++)
    budget.kv.ops->get (&budget.kv, "k", count_reply, NULL);
  run (NS_PER_S);
  CU_ASSERT_FALSE (kvbudget_service_is_down (&budget));
  CU_ASSERT_EQUAL (reply_counts[STATUS_LIMITED], 20);
  CU_ASSERT_EQUAL (reply_counts[STATUS_UNAVAILABLE], 0);
  fake.faults.limited_share = 0;
  fake.faults.down = true;
  budget.kv.ops->get (&budget.kv, "k", count_reply, NULL);
  run (NS_PER_S);
  CU_ASSERT_TRUE (kvbudget_service_is_down (&budget));
  finish ();
}

/* Calls that were queued in an older era took effect in a new one, with leases
 * and revisions that now mean something else. */
static void
test_queued_calls_are_refused (void)
{
  const struct kv_write write = { "k", "v", 0 };
  const struct kv_txn txn = { .writes = &write, .write_count = 1 };

  setup (1);
  fake.faults.down = true;
  budget.kv.ops->get (&budget.kv, "k", count_reply, NULL);
  run (20 * NS_PER_MS);
  fake.faults.down = false;
  budget.kv.ops->txn (&budget.kv, &txn, count_reply, NULL);
  budget.kv.ops->lease_keepalive (&budget.kv, 1, count_reply, NULL);
  kvbudget_refuse_queued (&budget);
  CU_ASSERT_EQUAL (reply_counts[STATUS_UNAVAILABLE], 1);
  run (NS_PER_S);
  CU_ASSERT_EQUAL (reply_counts[STATUS_UNAVAILABLE], 3);
  CU_ASSERT_PTR_NULL (fake_kv_key_value (&fake, "k"));
  CU_ASSERT_EQUAL (fake_kv_call_count (&fake), 1);
  finish ();
}

/* Each time without a reply, however short, counted as an outage in which
 * leases can expire. */
static void
test_short_failures_are_no_outage (void)
{
  unsigned calls_left = UINT_MAX;
  int64_t back_ns;

  setup (6);
  budget.kv.ops->get (&budget.kv, "k", count_reply_and_repeat, &calls_left);
  run (NS_PER_S);
  fake.faults.down = true;
  run (NS_PER_S);
  fake.faults.down = false;
  run (3 * NS_PER_S);
  CU_ASSERT_EQUAL (budget.backoff.outage_end_ns, 0);
  fake.faults.down = true;
  run (6 * NS_PER_S);
  back_ns = fake_clock.now_ns;
  fake.faults.down = false;
  run (10 * NS_PER_S);
  CU_ASSERT_TRUE (budget.backoff.outage_end_ns >= back_ns);
  calls_left = 0;
  finish ();
}

static const struct unit_case cases[] = {
  { "urgent-reads-first", test_urgent_reads_first },
  { "urgent-read-beside-a-probe", test_urgent_read_beside_a_probe },
  { "urgent-reads-back-off", test_urgent_reads_back_off },
  { "short-failures-are-no-outage", test_short_failures_are_no_outage },
  { "limited-is-not-down", test_limited_is_not_down },
  { "rate-holds-in-a-storm", test_rate_limit_under_overload },
  { "lost-replies-in-a-row", test_lost_replies_in_a_row },
  { "some-lost-replies", test_some_lost_replies },
  { "one-probe-after-an-outage", test_one_probe_after_an_outage },
  { "waiting-watches-use-the-rate", test_waiting_watches_use_the_rate },
  { "leases-first", test_leases_first },
  { "late-reply-is-dropped", test_late_reply_is_dropped },
  { "queued-calls-are-refused", test_queued_calls_are_refused },
};

int
main (void)
{
  return unit_run ("kvbudget", cases, sizeof cases / sizeof *cases);
}
