#include "fake-orders.h"
#include "unit.h"

static struct fake_orders fake;

static void
version_declare (unsigned version)
{
  char text[64];

  g_snprintf (text, sizeof text, "version model=oracolo-l version=v%u",
              version);
  fake.newest_version = MAX (fake.newest_version, version);
  fake_orders_config_change (&fake, text);
}

static void
version_undeclare (unsigned version)
{
  char text[64];

  g_snprintf (text, sizeof text, "-version model=oracolo-l version=v%u",
              version);
  fake_orders_config_change (&fake, text);
}

static unsigned
violation_count (void)
{
  return fake.stale_order_count + fake.cut_stream_count
         + fake.current_unload_count
         + (fake.max_parallel_loads > FAKE_LOADS_MAX);
}

static void
finish (void)
{
  CU_ASSERT_EQUAL (fake.stale_order_count, 0);
  CU_ASSERT_EQUAL (fake.cut_stream_count, 0);
  CU_ASSERT_EQUAL (fake.current_unload_count, 0);
  CU_ASSERT (fake.max_parallel_loads <= FAKE_LOADS_MAX);
  fake_orders_finish (&fake);
}

static void
mutant_set (enum fake_mutant mutant)
{
  fake.mutant = mutant;
  for (unsigned i = 0; mutant != FAKE_MUTANT_NONE && i < FAKE_ISSUERS; i++)
    {
      fake_orders_issuer_kill (&fake, i);
      fake_orders_issuer_start (&fake, i);
    }
}

static unsigned
total_load_count (void)
{
  unsigned count = 0;

  for (int i = 0; i < FAKE_ENGINES; i++)
    count += fake.engines[i].load_count;
  return count;
}

static void
test_rollout (void)
{
  fake_orders_init (&fake, 1);
  fake_orders_run (&fake, 10 * NS_PER_S);
  CU_ASSERT_EQUAL (total_load_count (), 0);
  version_declare (2);
  fake_orders_set_current_version (&fake, 2);
  fake_orders_run (&fake, 20 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_engines_with_version (&fake, 2), FAKE_ENGINES);
  CU_ASSERT_EQUAL (fake_orders_engines_with_version (&fake, 1), FAKE_ENGINES);
  CU_ASSERT_EQUAL (total_load_count (), FAKE_ENGINES);
  CU_ASSERT_EQUAL (fake.max_parallel_loads, FAKE_LOADS_MAX);
  finish ();
}

/* A version that is declared but not yet used is loaded in advance. An older
 * version than the current one is not loaded again. */
static void
test_upcoming (void)
{
  fake_orders_init (&fake, 9);
  version_declare (2);
  fake_orders_run (&fake, 20 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_engines_with_version (&fake, 2), FAKE_ENGINES);
  fake_orders_set_current_version (&fake, 2);
  fake.engines[4].loaded[1] = false;
  fake_orders_run (&fake, 20 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_engines_with_version (&fake, 1),
                   FAKE_ENGINES - 1);
  CU_ASSERT_EQUAL (total_load_count (), FAKE_ENGINES);
  finish ();
}

/* An old version stays loaded while a stream uses it. */
static void
streams_run (enum fake_mutant mutant)
{
  fake_orders_init (&fake, 2);
  mutant_set (mutant);
  fake_orders_run (&fake, 10 * NS_PER_S);
  fake_orders_stream_start (&fake, 3, 60 * NS_PER_S);
  version_declare (2);
  fake_orders_set_current_version (&fake, 2);
  version_undeclare (1);
  fake_orders_run (&fake, 40 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_engines_with_version (&fake, 2), FAKE_ENGINES);
}

static void
test_streams (void)
{
  streams_run (FAKE_MUTANT_NONE);
  CU_ASSERT_EQUAL (fake_orders_engines_with_version (&fake, 1), 1);
  CU_ASSERT (fake.engines[3].loaded[1]);
  fake_orders_run (&fake, 40 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_engines_with_version (&fake, 1), 0);
  finish ();
}

static void
test_reply_lost (void)
{
  fake_orders_init (&fake, 3);
  fake.reply_lost_share = 1;
  fake_orders_run (&fake, 10 * NS_PER_S);
  version_declare (2);
  fake_orders_set_current_version (&fake, 2);
  fake_orders_run (&fake, 40 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_engines_with_version (&fake, 2), FAKE_ENGINES);
  CU_ASSERT_EQUAL (total_load_count (), FAKE_ENGINES);
  finish ();
}

/* An order without effect is given up, and its permit is released. */
static void
test_bad_load (void)
{
  fake_orders_init (&fake, 4);
  fake.engines[0].ignores_orders = true;
  fake.engines[1].ignores_orders = true;
  fake.engines[2].ignores_orders = true;
  fake_orders_run (&fake, 10 * NS_PER_S);
  version_declare (2);
  fake_orders_set_current_version (&fake, 2);
  fake_orders_run (&fake, 60 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_engines_with_version (&fake, 2),
                   FAKE_ENGINES - 3);
  CU_ASSERT (fake.event_counts[ORDERISSUER_EVENT_GIVEN_UP] > 0);
  fake.engines[0].ignores_orders = false;
  fake.engines[1].ignores_orders = false;
  fake.engines[2].ignores_orders = false;
  fake_orders_run (&fake, 60 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_engines_with_version (&fake, 2), FAKE_ENGINES);
  finish ();
}

/* The wanted version alternates while orders are in flight. */
static void
test_operator_race (void)
{
  fake_orders_init (&fake, 5);
  fake_orders_run (&fake, 10 * NS_PER_S);
  version_declare (2);
  for (unsigned i = 0; i < 40; i++)
    {
      fake_orders_set_current_version (&fake, 1 + i % 2);
      fake_orders_run (&fake, 300 * NS_PER_MS);
    }
  fake_orders_set_current_version (&fake, 2);
  fake_orders_run (&fake, 30 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_engines_with_version (&fake, 2), FAKE_ENGINES);
  CU_ASSERT_EQUAL (total_load_count (), FAKE_ENGINES);
  finish ();
}

/* All issuers but one pause for longer than their lease while they have orders
 * to send. */
static void
paused_run (void)
{
  fake_orders_run (&fake, 10 * NS_PER_S);
  for (unsigned round = 0; round < 6; round++)
    {
      version_declare (2 + round);
      fake_orders_set_current_version (&fake, 2 + round);
      fake_orders_run (&fake, 50 * NS_PER_MS);
      for (unsigned i = 0; i < FAKE_ISSUERS; i++)
        fake.issuers[i].paused = i != round % FAKE_ISSUERS;
      fake_orders_run (&fake, 25 * NS_PER_S);
      for (unsigned i = 0; i < FAKE_ISSUERS; i++)
        fake.issuers[i].paused = false;
      fake_orders_run (&fake, 15 * NS_PER_S);
    }
}

static void
test_paused (void)
{
  fake_orders_init (&fake, 6);
  paused_run ();
  CU_ASSERT_EQUAL (fake_orders_engines_with_version (&fake, 7), FAKE_ENGINES);
  finish ();
}

/* Two issuers pause before they have unloaded a version. The third one takes
 * over and orders the unloads, but the engines that do not check fencing
 * tokens ignore them. When the other two resume, the unloads are still to be
 * done, but their leases have expired. */
static void
resumed_run (enum fake_mutant mutant)
{
  fake_orders_init (&fake, 11);
  mutant_set (mutant);
  version_declare (2);
  fake_orders_set_current_version (&fake, 2);
  fake_orders_run (&fake, 25 * NS_PER_S);
  for (int i = 1; i < FAKE_ENGINES; i += 2)
    fake.engines[i].ignores_orders = true;
  version_undeclare (1);
  fake_orders_run (&fake, NS_PER_S);
  fake.issuers[0].paused = true;
  fake.issuers[1].paused = true;
  fake_orders_run (&fake, 25 * NS_PER_S);
  fake.issuers[0].paused = false;
  fake.issuers[1].paused = false;
  fake_orders_run (&fake, 10 * NS_PER_S);
}

static void
test_resumed (void)
{
  resumed_run (FAKE_MUTANT_NONE);
  finish ();
}

static const struct fake_message *
message_to_unfenced_engine (void)
{
  for (int i = 0; i < FAKE_MESSAGES; i++)
    if (fake.messages[i].due_ns != 0 && fake.messages[i].engine % 2 == 1)
      return &fake.messages[i];
  return NULL;
}

/* An issuer stops while its order to an engine that does not check fencing
 * tokens is in flight. The orders of its successor have a shorter delay. */
static void
handover_run (enum fake_mutant mutant)
{
  const struct fake_message *message = NULL;
  unsigned issuer;

  fake_orders_init (&fake, 8);
  mutant_set (mutant);
  fake_orders_run (&fake, 10 * NS_PER_S);
  version_declare (2);
  fake_orders_set_current_version (&fake, 2);
  fake.order_delay_ns = 490 * NS_PER_MS;
  while (message == NULL)
    {
      fake_orders_step (&fake);
      message = message_to_unfenced_engine ();
    }
  issuer = message->issuer;
  fake.order_delay_ns = 10 * NS_PER_MS;
  owner_stop (&fake.issuers[issuer].owner);
  fake_orders_run (&fake, 30 * NS_PER_MS);
  fake_orders_issuer_kill (&fake, issuer);
  fake_orders_run (&fake, 30 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_engines_with_version (&fake, 2), FAKE_ENGINES);
}

static void
test_handover (void)
{
  handover_run (FAKE_MUTANT_NONE);
  finish ();
}

/* Run until an order of ISSUER is in flight. */
static void
run_until_order_in_flight (unsigned issuer)
{
  for (int i = 0;
       i < 1000
       && orderissuer_loads_ended (&fake.issuers[issuer].order_issuer);
       i++)
    fake_orders_step (&fake);
  CU_ASSERT_FALSE (
      orderissuer_loads_ended (&fake.issuers[issuer].order_issuer));
}

/* Planned stops of one issuer after the other, each during a rollout. */
static void
planned_stop_run (enum fake_mutant mutant)
{
  fake_orders_init (&fake, 10);
  mutant_set (mutant);
  fake_orders_run (&fake, 10 * NS_PER_S);
  for (unsigned round = 0; round < 6; round++)
    {
      version_declare (2 + round);
      fake_orders_set_current_version (&fake, 2 + round);
      run_until_order_in_flight (round % FAKE_ISSUERS);
      fake_orders_issuer_stop (&fake, round % FAKE_ISSUERS);
      fake_orders_run (&fake, 20 * NS_PER_S);
      CU_ASSERT_FALSE (fake.issuers[round % FAKE_ISSUERS].alive);
      fake_orders_issuer_start (&fake, round % FAKE_ISSUERS);
      fake_orders_run (&fake, 10 * NS_PER_S);
    }
  CU_ASSERT_EQUAL (fake_orders_engines_with_version (&fake, 7), FAKE_ENGINES);
}

static void
test_planned_stop (void)
{
  planned_stop_run (FAKE_MUTANT_NONE);
  finish ();
}

/* No loads start while the KV service is down, and the rollout completes
 * afterwards. */
static void
test_kv_outage (void)
{
  fake_orders_init (&fake, 7);
  fake_orders_run (&fake, 10 * NS_PER_S);
  fake.kv.faults.down = true;
  version_declare (2);
  fake_orders_set_current_version (&fake, 2);
  fake_orders_run (&fake, 30 * NS_PER_S);
  CU_ASSERT_EQUAL (total_load_count (), 0);
  fake.kv.faults.down = false;
  fake_orders_run (&fake, 40 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_engines_with_version (&fake, 2), FAKE_ENGINES);
  finish ();
}

static void
random_change (void)
{
  unsigned version = 1 + (unsigned)rng_below (&fake.rng, fake.newest_version);

  switch (rng_below (&fake.rng, 4))
    {
    case 0:
      if (fake.newest_version + 1 < FAKE_VERSIONS)
        {
          version_declare (fake.newest_version + 1);
          fake_orders_set_current_version (&fake, fake.newest_version);
        }
      break;
    case 1:
      /* Keeps the previous version, which new requests may still use. */
      if (version + 1 < fake.current_version)
        version_undeclare (version);
      break;
    default:
      if (version + 1 >= fake.newest_version)
        fake_orders_set_current_version (&fake, version);
    }
}

static void
random_fault (void)
{
  unsigned index = (unsigned)rng_below (&fake.rng, FAKE_ISSUERS);
  struct fake_issuer *issuer = &fake.issuers[index];

  if (!issuer->alive)
    fake_orders_issuer_start (&fake, index);
  else if (rng_below (&fake.rng, 4) == 0)
    fake_orders_issuer_kill (&fake, index);
  else if (rng_below (&fake.rng, 4) == 0)
    fake_orders_issuer_stop (&fake, index);
  else
    issuer->paused = !issuer->paused;
}

static void
random_run (uint64_t seed, enum fake_mutant mutant, unsigned steps)
{
  fake_orders_init (&fake, seed);
  mutant_set (mutant);
  fake.reply_lost_share = 0.2;
  fake.kv.faults.lost_after_effect_share = 0.02;
  fake.kv.faults.lost_before_effect_share = 0.02;
  for (unsigned i = 0; i < steps; i++)
    {
      if (rng_below (&fake.rng, 150) == 0)
        random_change ();
      if (rng_below (&fake.rng, 300) == 0)
        random_fault ();
      if (rng_below (&fake.rng, 20) == 0)
        fake_orders_stream_start (
            &fake, (unsigned)rng_below (&fake.rng, FAKE_ENGINES),
            (int64_t)rng_below (&fake.rng, 3 * NS_PER_S));
      fake_orders_step (&fake);
    }
}

static void
test_random (void)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      random_run (seed, FAKE_MUTANT_NONE, 10000);
      CU_ASSERT (fake.event_counts[ORDERISSUER_EVENT_DONE] > 0);
      if (violation_count () > 0)
        printf ("  seed %u: %u stale orders, %u cut streams, "
                "%u unloads of the current version, %u parallel loads\n",
                (unsigned)seed, fake.stale_order_count, fake.cut_stream_count,
                fake.current_unload_count, fake.max_parallel_loads);
      finish ();
    }
}

/* @return The number of 20 runs in which MUTANT violates an invariant. */
static unsigned
mutant_caught_runs (enum fake_mutant mutant)
{
  unsigned count = 0;

  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      random_run (seed, mutant, 10000);
      count += violation_count () > 0;
      fake_orders_finish (&fake);
    }
  printf ("  mutant %d caught in %u of 20 runs\n", mutant, count);
  return count;
}

static void
test_mutants (void)
{
  handover_run (FAKE_MUTANT_NO_DELIVERY_WAIT);
  CU_ASSERT (fake.stale_order_count > 0);
  fake_orders_finish (&fake);
  resumed_run (FAKE_MUTANT_NO_LEASE_CHECK);
  CU_ASSERT (fake.stale_order_count > 0);
  fake_orders_finish (&fake);
  streams_run (FAKE_MUTANT_IGNORE_RUNNING);
  CU_ASSERT_EQUAL (fake.cut_stream_count, 1);
  fake_orders_finish (&fake);
  CU_ASSERT (mutant_caught_runs (FAKE_MUTANT_NO_PERMIT) > 0);
  planned_stop_run (FAKE_MUTANT_NO_STOP_WAIT);
  printf ("  planned stop without wait: %u parallel loads\n",
          fake.max_parallel_loads);
  CU_ASSERT (violation_count () > 0);
  fake_orders_finish (&fake);
}

static const struct unit_case cases[] = {
  { "weight_swap", test_rollout },
  { "upcoming_version", test_upcoming },
  { "streams_keep_their_version", test_streams },
  { "reply_lost", test_reply_lost },
  { "load_without_effect", test_bad_load },
  { "operator_race", test_operator_race },
  { "paused_issuer", test_paused },
  { "resumed_issuer", test_resumed },
  { "handover", test_handover },
  { "planned_stop", test_planned_stop },
  { "kv_outage", test_kv_outage },
  { "random", test_random },
  { "mutants", test_mutants },
};

int
main (void)
{
  return unit_run ("order", cases, sizeof cases / sizeof *cases);
}
