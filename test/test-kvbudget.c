#include "fake-kv.h"
#include "kvbudget.h"
#include "unit.h"

#include <limits.h>

static struct clock_fake fake_clock;
static struct fake_kv fake;
static struct fake_kv_client client;
static struct rng rng;
static struct kvbudget budget;
static unsigned answers[STATUS_COUNT];

static const struct kvbudget_settings settings = {
  .rate = 50,
  .burst = 10,
  .queue_max = 30,
  .watch_max = 20,
  .queue_timeout_ns = 500 * NS_PER_MS,
  .call_timeout_ns = NS_PER_S,
  .backoff_min_ns = 100 * NS_PER_MS,
  .backoff_max_ns = 5 * NS_PER_S,
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
    answers[i] = 0;
}

static void
finish (void)
{
  kvbudget_finish (&budget);
  fake_kv_client_finish (&client);
  fake_kv_finish (&fake);
}

static void
count (void *data, const struct kv_reply *reply)
{
  answers[reply->status]++;
}

/* A user that asks again from inside each answer, the worst there is. */
static void
again (void *data, const struct kv_reply *reply)
{
  unsigned *left = data;

  answers[reply->status]++;
  if (*left == 0)
    return;
  --*left;
  budget.kv.ops->get (&budget.kv, "k", again, left);
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
      CU_ASSERT_TRUE (kvbudget_next (&budget) > fake_clock.now_ns - NS_PER_MS);
    }
}

/* Outages, limits and slow times at random, and 200 users that hammer:
 * no second holds more than the rate and one burst. */
static void
test_rate_holds_in_a_storm (void)
{
  unsigned left = UINT_MAX;
  uint64_t before;

  setup (3);
  for (int i = 0; i < 200; i++)
    budget.kv.ops->get (&budget.kv, "k", again, &left);
  for (int second = 0; second < 60; second++)
    {
      before = fake_kv_total (&fake);
      fake.faults.down = rng_below (&rng, 4) == 0;
      fake.faults.limited = rng_below (&rng, 4) == 0 ? 0.5 : 0;
      fake.faults.latency_ns
          = rng_below (&rng, 4) == 0 ? 3 * NS_PER_S : 2 * NS_PER_MS;
      run (NS_PER_S);
      CU_ASSERT_TRUE (fake_kv_total (&fake) - before <= 60);
    }
  CU_ASSERT_TRUE (answers[STATUS_OK] + answers[STATUS_NOT_FOUND] > 300);
  left = 0;
  finish ();
}

/* In an outage of a minute one probe at a time goes out, ever more rarely;
 * then all is well within the longest hold. */
static void
test_one_probe_after_an_outage (void)
{
  unsigned left = UINT_MAX;

  setup (4);
  fake.faults.down = true;
  for (int i = 0; i < 100; i++)
    budget.kv.ops->get (&budget.kv, "k", again, &left);
  run (60 * NS_PER_S);
  CU_ASSERT_TRUE (kvbudget_service_is_down (&budget));
  CU_ASSERT_TRUE (budget.probes >= 7);
  CU_ASSERT_TRUE (budget.probes <= 40);
  CU_ASSERT_TRUE (fake_kv_total (&fake) <= budget.probes + 10);
  fake.faults.down = false;
  run (settings.backoff_max_ns * 3 / 2 + NS_PER_S);
  CU_ASSERT_FALSE (kvbudget_service_is_down (&budget));
  left = 0;
  finish ();
}

static void
test_waiting_watches_use_the_rate (void)
{
  unsigned left = UINT_MAX;
  uint64_t before;

  setup (5);
  for (int i = 0; i < 25; i++)
    budget.kv.ops->watch (&budget.kv, "w", 0, 60 * NS_PER_S, count, NULL);
  run (2 * NS_PER_S);
  CU_ASSERT_EQUAL (fake.waiting, 20);
  CU_ASSERT_EQUAL (answers[STATUS_LIMITED], 5);
  budget.kv.ops->get (&budget.kv, "k", again, &left);
  for (int i = 0; i < 29; i++)
    budget.kv.ops->get (&budget.kv, "k", again, &left);
  run (NS_PER_S);
  before = fake_kv_total (&fake);
  run (10 * NS_PER_S);
  CU_ASSERT_TRUE (fake_kv_total (&fake) - before <= 310);
  CU_ASSERT_TRUE (fake_kv_total (&fake) - before >= 270);
  left = 0;
  finish ();
}

/* A lease call passes everything that waits. */
static void
test_leases_first (void)
{
  setup (6);
  for (int i = 0; i < 39; i++)
    budget.kv.ops->get (&budget.kv, "k", count, NULL);
  budget.kv.ops->lease_grant (&budget.kv, NS_PER_S, count, NULL);
  run (40 * NS_PER_MS);
  CU_ASSERT_EQUAL (answers[STATUS_OK], 1);
  finish ();
  CU_ASSERT_TRUE (answers[STATUS_CANCELLED] > 0);
}

static void
test_late_reply_is_dropped (void)
{
  setup (7);
  fake.faults.latency_ns = 3 * NS_PER_S;
  budget.kv.ops->get (&budget.kv, "k", count, NULL);
  run (1100 * NS_PER_MS);
  CU_ASSERT_EQUAL (answers[STATUS_UNKNOWN], 1);
  run (3 * NS_PER_S);
  CU_ASSERT_EQUAL (answers[STATUS_NOT_FOUND], 0);
  CU_ASSERT_EQUAL (budget.timeouts, 1);
  finish ();
}

static const struct unit_case cases[] = {
  { "rate-holds-in-a-storm", test_rate_holds_in_a_storm },
  { "one-probe-after-an-outage", test_one_probe_after_an_outage },
  { "waiting-watches-use-the-rate", test_waiting_watches_use_the_rate },
  { "leases-first", test_leases_first },
  { "late-reply-is-dropped", test_late_reply_is_dropped },
};

int
main (void)
{
  return unit_run ("kvbudget", cases, sizeof cases / sizeof *cases);
}
