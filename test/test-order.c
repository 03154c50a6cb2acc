#include "fake-orders.h"
#include "unit.h"

static struct fake_orders fake;

static void
declare (unsigned version)
{
  char text[64];

  g_snprintf (text, sizeof text, "version model=oracolo-l version=v%u",
              version);
  fake.newest = MAX (fake.newest, version);
  fake_orders_change (&fake, text);
}

static void
declare_no_more (unsigned version)
{
  char text[64];

  g_snprintf (text, sizeof text, "-version model=oracolo-l version=v%u",
              version);
  fake_orders_change (&fake, text);
}

static unsigned
broken (void)
{
  return fake.old_orders + fake.cut_streams + fake.lost_current
         + (fake.max_loads > FAKE_LIMIT);
}

static void
finish (void)
{
  CU_ASSERT_EQUAL (fake.old_orders, 0);
  CU_ASSERT_EQUAL (fake.cut_streams, 0);
  CU_ASSERT_EQUAL (fake.lost_current, 0);
  CU_ASSERT (fake.max_loads <= FAKE_LIMIT);
  fake_orders_finish (&fake);
}

static void
mutate (enum fake_mutant mutant)
{
  fake.mutant = mutant;
  for (unsigned i = 0; mutant != FAKE_MUTANT_NONE && i < FAKE_ISSUERS; i++)
    {
      fake_orders_kill (&fake, i);
      fake_orders_start (&fake, i);
    }
}

static unsigned
loads (void)
{
  unsigned count = 0;

  for (int i = 0; i < FAKE_ENGINES; i++)
    count += fake.engines[i].loads;
  return count;
}

static void
test_swap (void)
{
  fake_orders_init (&fake, 1);
  fake_orders_run (&fake, 10 * NS_PER_S);
  CU_ASSERT_EQUAL (loads (), 0);
  declare (2);
  fake_orders_use (&fake, 2);
  fake_orders_run (&fake, 20 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_having (&fake, 2), FAKE_ENGINES);
  CU_ASSERT_EQUAL (fake_orders_having (&fake, 1), FAKE_ENGINES);
  CU_ASSERT_EQUAL (loads (), FAKE_ENGINES);
  CU_ASSERT_EQUAL (fake.max_loads, FAKE_LIMIT);
  finish ();
}

/* A version that is declared but not yet used is loaded beforehand, one of
 * earlier times is not loaded again. */
static void
test_upcoming (void)
{
  fake_orders_init (&fake, 9);
  declare (2);
  fake_orders_run (&fake, 20 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_having (&fake, 2), FAKE_ENGINES);
  fake_orders_use (&fake, 2);
  fake.engines[4].loaded[1] = false;
  fake_orders_run (&fake, 20 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_having (&fake, 1), FAKE_ENGINES - 1);
  CU_ASSERT_EQUAL (loads (), FAKE_ENGINES);
  finish ();
}

/* An old version stays while a stream needs it. */
static void
streams_run (enum fake_mutant mutant)
{
  fake_orders_init (&fake, 2);
  mutate (mutant);
  fake_orders_run (&fake, 10 * NS_PER_S);
  fake_orders_stream (&fake, 3, 60 * NS_PER_S);
  declare (2);
  fake_orders_use (&fake, 2);
  declare_no_more (1);
  fake_orders_run (&fake, 40 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_having (&fake, 2), FAKE_ENGINES);
}

static void
test_streams (void)
{
  streams_run (FAKE_MUTANT_NONE);
  CU_ASSERT_EQUAL (fake_orders_having (&fake, 1), 1);
  CU_ASSERT (fake.engines[3].loaded[1]);
  fake_orders_run (&fake, 40 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_having (&fake, 1), 0);
  finish ();
}

static void
test_reply_lost (void)
{
  fake_orders_init (&fake, 3);
  fake.lost = 1;
  fake_orders_run (&fake, 10 * NS_PER_S);
  declare (2);
  fake_orders_use (&fake, 2);
  fake_orders_run (&fake, 40 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_having (&fake, 2), FAKE_ENGINES);
  CU_ASSERT_EQUAL (loads (), FAKE_ENGINES);
  finish ();
}

/* An order without effect is given up, and its permit is given back. */
static void
test_bad_load (void)
{
  fake_orders_init (&fake, 4);
  fake.engines[0].bad = true;
  fake.engines[1].bad = true;
  fake.engines[2].bad = true;
  fake_orders_run (&fake, 10 * NS_PER_S);
  declare (2);
  fake_orders_use (&fake, 2);
  fake_orders_run (&fake, 60 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_having (&fake, 2), FAKE_ENGINES - 3);
  CU_ASSERT (fake.notes[ORDERISSUER_EVENT_GIVEN_UP] > 0);
  fake.engines[0].bad = false;
  fake.engines[1].bad = false;
  fake.engines[2].bad = false;
  fake_orders_run (&fake, 60 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_having (&fake, 2), FAKE_ENGINES);
  finish ();
}

/* The desired version changes to and fro while orders fly. */
static void
test_operator_race (void)
{
  fake_orders_init (&fake, 5);
  fake_orders_run (&fake, 10 * NS_PER_S);
  declare (2);
  for (unsigned i = 0; i < 40; i++)
    {
      fake_orders_use (&fake, 1 + i % 2);
      fake_orders_run (&fake, 300 * NS_PER_MS);
    }
  fake_orders_use (&fake, 2);
  fake_orders_run (&fake, 30 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_having (&fake, 2), FAKE_ENGINES);
  CU_ASSERT_EQUAL (loads (), FAKE_ENGINES);
  finish ();
}

/* All issuers but one pause over their lease with orders to send. */
static void
paused_run (void)
{
  fake_orders_run (&fake, 10 * NS_PER_S);
  for (unsigned round = 0; round < 6; round++)
    {
      declare (2 + round);
      fake_orders_use (&fake, 2 + round);
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
  CU_ASSERT_EQUAL (fake_orders_having (&fake, 7), FAKE_ENGINES);
  finish ();
}

/* Two issuers pause before they unload; when they go on, the third has sent
 * those orders, which have no effect. */
static void
resumed_run (enum fake_mutant mutant)
{
  fake_orders_init (&fake, 11);
  mutate (mutant);
  declare (2);
  fake_orders_use (&fake, 2);
  fake_orders_run (&fake, 25 * NS_PER_S);
  for (int i = 1; i < FAKE_ENGINES; i += 2)
    fake.engines[i].bad = true;
  declare_no_more (1);
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
message_to_ignoring (void)
{
  for (int i = 0; i < FAKE_MESSAGES; i++)
    if (fake.messages[i].due_ns != 0 && fake.messages[i].engine % 2 == 1)
      return &fake.messages[i];
  return NULL;
}

/* An issuer ends while its order to an engine that takes any is on its way;
 * the next one's orders are fast. */
static void
handover_run (enum fake_mutant mutant)
{
  const struct fake_message *message = NULL;
  unsigned issuer;

  fake_orders_init (&fake, 8);
  mutate (mutant);
  fake_orders_run (&fake, 10 * NS_PER_S);
  declare (2);
  fake_orders_use (&fake, 2);
  fake.flight_ns = 490 * NS_PER_MS;
  while (message == NULL)
    {
      fake_orders_step (&fake);
      message = message_to_ignoring ();
    }
  issuer = message->issuer;
  fake.flight_ns = 10 * NS_PER_MS;
  owner_stop (&fake.issuers[issuer].owner);
  fake_orders_run (&fake, 30 * NS_PER_MS);
  fake_orders_kill (&fake, issuer);
  fake_orders_run (&fake, 30 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_having (&fake, 2), FAKE_ENGINES);
}

static void
test_handover (void)
{
  handover_run (FAKE_MUTANT_NONE);
  finish ();
}

/* A planned stop of one issuer after the other, in the middle of a swap. */
/* Until an order of ISSUER is under way. */
static void
run_until_loading (unsigned issuer)
{
  for (int i = 0;
       i < 1000 && orderissuer_loads_ended (&fake.issuers[issuer].order); i++)
    fake_orders_step (&fake);
  CU_ASSERT_FALSE (orderissuer_loads_ended (&fake.issuers[issuer].order));
}

static void
stop_run (enum fake_mutant mutant)
{
  fake_orders_init (&fake, 10);
  mutate (mutant);
  fake_orders_run (&fake, 10 * NS_PER_S);
  for (unsigned round = 0; round < 6; round++)
    {
      declare (2 + round);
      fake_orders_use (&fake, 2 + round);
      run_until_loading (round % FAKE_ISSUERS);
      fake_orders_stop (&fake, round % FAKE_ISSUERS);
      fake_orders_run (&fake, 20 * NS_PER_S);
      CU_ASSERT_FALSE (fake.issuers[round % FAKE_ISSUERS].alive);
      fake_orders_start (&fake, round % FAKE_ISSUERS);
      fake_orders_run (&fake, 10 * NS_PER_S);
    }
  CU_ASSERT_EQUAL (fake_orders_having (&fake, 7), FAKE_ENGINES);
}

static void
test_planned_stop (void)
{
  stop_run (FAKE_MUTANT_NONE);
  finish ();
}

/* Nothing moves while the KV service is out, and nothing breaks. */
static void
test_kv_outage (void)
{
  fake_orders_init (&fake, 7);
  fake_orders_run (&fake, 10 * NS_PER_S);
  fake.kv.faults.down = true;
  declare (2);
  fake_orders_use (&fake, 2);
  fake_orders_run (&fake, 30 * NS_PER_S);
  CU_ASSERT_EQUAL (loads (), 0);
  fake.kv.faults.down = false;
  fake_orders_run (&fake, 40 * NS_PER_S);
  CU_ASSERT_EQUAL (fake_orders_having (&fake, 2), FAKE_ENGINES);
  finish ();
}

static void
random_change (void)
{
  unsigned version = 1 + (unsigned)rng_below (&fake.rng, fake.newest);

  switch (rng_below (&fake.rng, 4))
    {
    case 0:
      if (fake.newest + 1 < FAKE_VERSIONS)
        {
          declare (fake.newest + 1);
          fake_orders_use (&fake, fake.newest);
        }
      break;
    case 1:
      /* Not the one before: new requests may still use it. */
      if (version + 1 < fake.current)
        declare_no_more (version);
      break;
    default:
      if (version + 1 >= fake.newest)
        fake_orders_use (&fake, version);
    }
}

static void
random_fault (void)
{
  unsigned index = (unsigned)rng_below (&fake.rng, FAKE_ISSUERS);
  struct fake_issuer *issuer = &fake.issuers[index];

  if (!issuer->alive)
    fake_orders_start (&fake, index);
  else if (rng_below (&fake.rng, 4) == 0)
    fake_orders_kill (&fake, index);
  else if (rng_below (&fake.rng, 4) == 0)
    fake_orders_stop (&fake, index);
  else
    issuer->paused = !issuer->paused;
}

static void
random_run (uint64_t seed, enum fake_mutant mutant, unsigned steps)
{
  fake_orders_init (&fake, seed);
  mutate (mutant);
  fake.lost = 0.2;
  fake.kv.faults.lost_after = 0.02;
  fake.kv.faults.lost_before = 0.02;
  for (unsigned i = 0; i < steps; i++)
    {
      if (rng_below (&fake.rng, 150) == 0)
        random_change ();
      if (rng_below (&fake.rng, 300) == 0)
        random_fault ();
      if (rng_below (&fake.rng, 20) == 0)
        fake_orders_stream (&fake,
                            (unsigned)rng_below (&fake.rng, FAKE_ENGINES),
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
      CU_ASSERT (fake.notes[ORDERISSUER_EVENT_DONE] > 0);
      if (broken () > 0)
        printf ("  seed %u: old %u, cut %u, current %u, loads %u\n",
                (unsigned)seed, fake.old_orders, fake.cut_streams,
                fake.lost_current, fake.max_loads);
      finish ();
    }
}

/* The number of 20 runs in which the mutant breaks an invariant. */
static unsigned
caught (enum fake_mutant mutant)
{
  unsigned count = 0;

  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      random_run (seed, mutant, 10000);
      count += broken () > 0;
      fake_orders_finish (&fake);
    }
  printf ("  mutant %d caught in %u of 20 runs\n", mutant, count);
  return count;
}

static void
test_mutants (void)
{
  handover_run (FAKE_MUTANT_NO_WAIT);
  CU_ASSERT (fake.old_orders > 0);
  fake_orders_finish (&fake);
  resumed_run (FAKE_MUTANT_NO_HOLD);
  CU_ASSERT (fake.old_orders > 0);
  fake_orders_finish (&fake);
  streams_run (FAKE_MUTANT_NO_RUNNING);
  CU_ASSERT_EQUAL (fake.cut_streams, 1);
  fake_orders_finish (&fake);
  CU_ASSERT (caught (FAKE_MUTANT_NO_PERMIT) > 0);
  stop_run (FAKE_MUTANT_NO_IDLE);
  printf ("  planned stop that does not wait: %u loads at a time\n",
          fake.max_loads);
  CU_ASSERT (broken () > 0);
  fake_orders_finish (&fake);
}

static const struct unit_case cases[] = {
  { "weight_swap", test_swap },
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
