#include "fake-crashes.h"
#include "poisoncount.h"
#include "unit.h"

enum
{
  SEEDS = 5,
  BAD = 0xbad,    /* id of the first guilty part */
  CALM_MS = 5000, /* before it appears */
  STORM_MS = 30000,
  LATE_MAX = 3, /* requests that may reach an engine 3 s after the fifth end */
  REFUSED_ONE_IN = 200 /* Share of the sound requests that may be refused. */
};

static void
guilty_add (double per_s, int host)
{
  crashes.guilty[crashes.guilty_count] = (struct fake_crashes_guilty){
    .id = BAD + crashes.guilty_count, .per_s = per_s, .host = host
  };
  crashes.guilty_count++;
}

static void
check_guilty (void)
{
  for (unsigned i = 0; i < crashes.guilty_count; i++)
    {
      CU_ASSERT_TRUE (crashes.guilty[i].lost >= 3);
      CU_ASSERT_TRUE (crashes.guilty[i].late <= LATE_MAX);
      CU_ASSERT_EQUAL (fake_crashes_blocking (crashes.guilty[i].id),
                       FAKE_CRASHES_HOSTS);
    }
}

static void
check_sound (void)
{
  CU_ASSERT_TRUE (crashes.refused * REFUSED_ONE_IN <= crashes.sent);
}

/* Hosts that each saw a part of the crashes let the block through. */
static void
test_crashes_over_all_hosts (void)
{
  static const double rates[] = { 0.5, 2, 6 };

  for (unsigned seed = 1; seed <= SEEDS; seed++)
    for (unsigned i = 0; i < G_N_ELEMENTS (rates); i++)
      {
        fake_crashes_setup (seed);
        fake_crashes_run (CALM_MS);
        guilty_add (rates[i], -1);
        fake_crashes_run (STORM_MS);
        check_guilty ();
        check_sound ();
        fake_crashes_finish ();
      }
}

/* What one host alone knew did not reach the others. */
static void
test_crashes_at_one_host (void)
{
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      fake_crashes_setup (seed);
      fake_crashes_run (CALM_MS);
      guilty_add (3, 2);
      fake_crashes_run (STORM_MS / 2);
      crashes.guilty[0].host = -1;
      fake_crashes_run (STORM_MS / 2);
      check_guilty ();
      check_sound ();
      fake_crashes_finish ();
    }
}

/* A block was known only where datagrams and the KV service brought it. */
static void
test_away_store_and_lost_datagrams (void)
{
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    for (unsigned i = 0; i < 3; i++)
      {
        fake_crashes_setup (seed);
        fake_crashes_run (CALM_MS);
        crashes.kv.faults.down = i == 0;
        crashes.loss = i == 0 ? 0.3 : i == 1 ? 0.6 : 0;
        guilty_add (3, -1);
        fake_crashes_run (STORM_MS);
        check_guilty ();
        check_sound ();
        fake_crashes_finish ();
      }
}

/* Without any datagram, each host learned from its own crashes only. */
static void
test_all_datagrams_lost (void)
{
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      fake_crashes_setup (seed);
      fake_crashes_run (CALM_MS);
      crashes.loss = 1;
      guilty_add (3, 2);
      fake_crashes_run (STORM_MS / 2);
      crashes.guilty[0].host = -1;
      fake_crashes_run (STORM_MS / 2);
      check_guilty ();
      check_sound ();
      fake_crashes_finish ();
    }
}

/* A process that started anew let the block through, also while the KV service
 * was away. */
static void
test_process_that_started_again (void)
{
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    for (unsigned i = 0; i < 2; i++)
      {
        fake_crashes_setup (seed);
        fake_crashes_run (CALM_MS);
        guilty_add (3, -1);
        fake_crashes_run (STORM_MS);
        crashes.guilty[0].per_s = 0;
        crashes.kv.faults.down = i == 0;
        crashes.loss = i == 0 ? 0 : 1;
        for (unsigned host = 0; host < FAKE_CRASHES_HOSTS - 1; host++)
          fake_crashes_restart (host);
        fake_crashes_run (3000);
        crashes.guilty[0].per_s = 3;
        fake_crashes_run (STORM_MS);
        check_guilty ();
        check_sound ();
        fake_crashes_finish ();
      }
}

/* Parts that guilty requests share with sound ones were blocked too. */
static void
test_several_guilty_parts (void)
{
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      fake_crashes_setup (seed);
      crashes.firsts = 1;
      crashes.other_per_s = 0.3;
      fake_crashes_run (CALM_MS);
      for (unsigned i = 0; i < FAKE_CRASHES_GUILTY_MAX; i++)
        guilty_add (1.5, -1);
      fake_crashes_run (STORM_MS);
      check_guilty ();
      check_sound ();
      fake_crashes_finish ();
    }
}

/* Engines that end for other reasons made a block that every prompt begins
 * with look guilty. */
static void
test_other_ends_of_engines (void)
{
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      fake_crashes_setup (seed);
      crashes.firsts = 1;
      crashes.other_per_s = 3;
      fake_crashes_run (STORM_MS);
      check_sound ();
      fake_crashes_end_all ();
      fake_crashes_run (200);
      crashes.other_per_s = 0;
      fake_crashes_run (CALM_MS);
      fake_crashes_end_all ();
      fake_crashes_run (CALM_MS);
      CU_ASSERT_EQUAL (fake_crashes_blocking (0x100), 0);
      check_sound ();
      fake_crashes_finish ();
    }
}

/* A process that had completed nothing yet blamed the block that every prompt
 * begins with. */
static void
test_started_again_among_other_ends (void)
{
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      fake_crashes_setup (seed);
      crashes.firsts = 1;
      crashes.other_per_s = 4;
      fake_crashes_run (CALM_MS);
      for (unsigned i = 0; i < 40; i++)
        {
          fake_crashes_restart (i % FAKE_CRASHES_HOSTS);
          fake_crashes_run (500);
          CU_ASSERT_EQUAL (fake_crashes_blocking (0x100), 0);
        }
      check_sound ();
      fake_crashes_finish ();
    }
}

/* Equal requests had a part blocked that sound requests share. */
static void
test_equal_requests (void)
{
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      fake_crashes_setup (seed);
      fake_crashes_run (CALM_MS);
      guilty_add (3, -1);
      crashes.guilty[0].id = 0x200;
      crashes.guilty[0].same_request = true;
      fake_crashes_run (STORM_MS);
      CU_ASSERT_TRUE (crashes.blamed_requests > 0);
      CU_ASSERT_EQUAL (fake_crashes_blocking (0x200), 0);
      CU_ASSERT_TRUE (crashes.guilty[0].late <= LATE_MAX);
      check_sound ();
      fake_crashes_finish ();
    }
}

/* A block that no longer crashes servers was never let go; one that still does
 * was tried by every host. */
static void
test_block_is_tried_again (void)
{
  unsigned before;

  fake_crashes_setup (1);
  fake_crashes_run (CALM_MS);
  guilty_add (3, -1);
  fake_crashes_run (20000);
  before = crashes.guilty[0].crashes;
  fake_crashes_run (100000);
  CU_ASSERT_EQUAL (crashes.guilty[0].crashes, before + 1);
  CU_ASSERT_EQUAL (fake_crashes_blocking (BAD), FAKE_CRASHES_HOSTS);
  crashes.guilty[0].harmless = true;
  fake_crashes_run (120000);
  CU_ASSERT_EQUAL (fake_crashes_blocking (BAD), 0);
  fake_crashes_finish ();
  /* Nobody asks for the block any more. */
  fake_crashes_setup (1);
  fake_crashes_run (CALM_MS);
  guilty_add (3, -1);
  fake_crashes_run (20000);
  CU_ASSERT_EQUAL (fake_crashes_blocking (BAD), FAKE_CRASHES_HOSTS);
  crashes.guilty_count = 0;
  fake_crashes_run (150000);
  CU_ASSERT_EQUAL (fake_crashes_blocking (BAD), 0);
  fake_crashes_finish ();
}

static bool informed;

static void
on_blocked (void *data, const struct blame_block *block)
{
}

static void
on_released (void *data, const struct blame_part *part, const char *reason)
{
}

static unsigned explained;

static void
on_explained (void *data, const char *server)
{
  explained++;
}

static bool
is_informed (void *data)
{
  return informed;
}

static bool
may_try (void *data, const struct blame_part *part, int64_t late_ns)
{
  return true;
}

static const struct blame_ops ops
    = { on_blocked, on_released, on_explained, is_informed, may_try };

/* Three servers crash on requests that share three blocks, of which nothing
 * was completed. */
static void
three_crashes (struct blame *blame, struct clock_fake *clock)
{
  for (unsigned i = 0; i < 3; i++)
    {
      struct blame_run run
          = { .parts = { { 1, 10 }, { 1, 11 }, { 1, BAD }, { 0, 100 + i } },
              .part_count = 4,
              .suspicion = BLAME_LIKELY };

      g_snprintf (run.server, sizeof run.server, "s%u", i);
      CU_ASSERT_TRUE (blame_add_lost (blame, &run, 0));
      CU_ASSERT_FALSE (blame_add_lost (blame, &run, 0));
      clock_fake_advance (clock, 200 * NS_PER_MS);
      blame_tick (blame);
    }
}

/* Of blocks that explain the same crashes, the one that more prompts share was
 * blocked too. */
static void
test_most_specific_part (void)
{
  struct blame_part sound[] = { { 1, 10 }, { 1, 11 }, { 1, 12 }, { 0, 200 } };
  struct blame_part guilty = { 1, BAD };
  struct clock_fake clock;
  struct blame blame;

  clock_fake_init (&clock, NS_PER_S);
  informed = true;
  blame_init (&blame, &clock.clock, &ops, NULL);
  explained = 0;
  three_crashes (&blame, &clock);
  CU_ASSERT_EQUAL (explained, 3);
  CU_ASSERT_PTR_NOT_NULL (blame_find_block (&blame, &guilty, 1));
  CU_ASSERT_PTR_NULL (blame_find_block (&blame, sound, 4));
  blame_finish (&blame);
}

/* Two parts explained the same crashes, and a run that spoke for one of them
 * did not speak against the other. */
static void
test_unclear_until_a_run_is_completed (void)
{
  struct blame_part guilty = { 1, BAD };
  struct blame_part sound = { 1, 20 };
  struct clock_fake clock;
  struct blame blame;

  clock_fake_init (&clock, NS_PER_S);
  informed = true;
  blame_init (&blame, &clock.clock, &ops, NULL);
  for (unsigned i = 0; i < 3; i++)
    {
      struct blame_run run = { .parts = { { 1, 10 }, guilty, { 0, 100 + i } },
                               .part_count = 3,
                               .suspicion = BLAME_LIKELY };

      g_snprintf (run.server, sizeof run.server, "s%u", i);
      blame_add_lost (&blame, &run, 0);
      run.parts[1] = sound;
      run.parts[2].id += 50;
      blame_add_lost (&blame, &run, 0);
      clock_fake_advance (&clock, 200 * NS_PER_MS);
      blame_tick (&blame);
    }
  CU_ASSERT_EQUAL (g_hash_table_size (blame.blocks), 0);
  blame_add_completed (&blame, &sound, 1);
  clock_fake_advance (&clock, 60 * NS_PER_MS);
  blame_tick (&blame);
  CU_ASSERT_PTR_NOT_NULL (blame_find_block (&blame, &guilty, 1));
  CU_ASSERT_PTR_NULL (blame_find_block (&blame, &sound, 1));
  blame_finish (&blame);
}

/* A process judged before it had been told what other hosts completed. */
static void
test_judged_before_informed (void)
{
  struct blame_part guilty = { 1, BAD };
  struct clock_fake clock;
  struct blame blame;

  clock_fake_init (&clock, NS_PER_S);
  informed = false;
  blame_init (&blame, &clock.clock, &ops, NULL);
  three_crashes (&blame, &clock);
  CU_ASSERT_EQUAL (g_hash_table_size (blame.blocks), 0);
  blame_add_report (&blame, 1, &guilty, 5, 0);
  informed = true;
  blame_tick (&blame);
  CU_ASSERT_PTR_NULL (blame_find_block (&blame, &guilty, 1));
  blame_finish (&blame);
}

/* A sound request that was cut twice by the crashes of others was refused for
 * a minute or two; a server was forgiven for ever. */
static void
test_bystander_is_forgiven (void)
{
  struct clock_fake clock;
  struct fake_kv kv;
  struct fake_kv_client client;
  struct poisoncount count;

  clock_fake_init (&clock, NS_PER_S);
  fake_kv_init (&kv, &clock.clock, 1);
  fake_kv_client_init (&client, &kv);
  poisoncount_init (&count, &client.kv, &clock.clock, "loss/");
  poisoncount_report_crash (&count, 7, "s1");
  poisoncount_report_crash (&count, 7, "s2");
  CU_ASSERT_TRUE (poisoncount_is_blocked (&count, 7));
  poisoncount_forgive_server (&count, "s1");
  CU_ASSERT_FALSE (poisoncount_is_blocked (&count, 7));
  /* Another host tells of the same crash. */
  poisoncount_key_put (&count, "loss/0000000000000007/s1");
  CU_ASSERT_FALSE (poisoncount_is_blocked (&count, 7));
  clock_fake_advance (&clock, 121 * NS_PER_S);
  poisoncount_report_crash (&count, 7, "s1");
  CU_ASSERT_TRUE (poisoncount_is_blocked (&count, 7));
  poisoncount_finish (&count);
  fake_kv_client_finish (&client);
  fake_kv_finish (&kv);
}

/* Random bytes, some of which begin like a message. */
static size_t
random_datagram (struct rng *rng, uint8_t bytes[BLAMESHARE_BYTES_MAX])
{
  static const uint8_t tags[] = { 0x0a, 0x12, 0x1a };
  size_t size = rng_below (rng, 200);

  for (size_t i = 0; i < size; i++)
    bytes[i] = (uint8_t)rng_next (rng);
  if (size > 2)
    {
      bytes[0] = tags[rng_below (rng, G_N_ELEMENTS (tags))];
      bytes[1] = (uint8_t)(size - 2);
    }
  return size;
}

/* Bytes from anybody ended the process. */
static void
test_bad_datagrams (void)
{
  uint8_t bytes[BLAMESHARE_BYTES_MAX];
  struct rng rng;

  fake_crashes_setup (1);
  rng_init (&rng, 7);
  for (unsigned i = 0; i < 20000; i++)
    fake_crashes_receive (i % FAKE_CRASHES_HOSTS, bytes,
                          random_datagram (&rng, bytes));
  fake_crashes_run (CALM_MS);
  fake_crashes_finish ();
}

static const struct unit_case cases[] = {
  { "most-specific-part", test_most_specific_part },
  { "unclear-until-a-run-is-completed",
    test_unclear_until_a_run_is_completed },
  { "judged-before-informed", test_judged_before_informed },
  { "bystander-is-forgiven", test_bystander_is_forgiven },
  { "bad-datagrams", test_bad_datagrams },
  { "crashes-over-all-hosts", test_crashes_over_all_hosts },
  { "crashes-at-one-host", test_crashes_at_one_host },
  { "away-store-and-lost-datagrams", test_away_store_and_lost_datagrams },
  { "all-datagrams-lost", test_all_datagrams_lost },
  { "process-that-started-again", test_process_that_started_again },
  { "several-guilty-parts", test_several_guilty_parts },
  { "other-ends-of-engines", test_other_ends_of_engines },
  { "started-again-among-other-ends", test_started_again_among_other_ends },
  { "equal-requests", test_equal_requests },
  { "block-is-tried-again", test_block_is_tried_again },
};

int
main (void)
{
  return unit_run ("blame", cases, G_N_ELEMENTS (cases));
}
