#include "fake-kv.h"
#include "owner.h"
#include "unit.h"

#include <stdio.h>
#include <string.h>

enum
{
  SHARDS = 5,
  PARTITIONS = 64
};

struct shard
{
  struct owner owner; /* First member: the callbacks cast it to the shard. */
  struct fake_kv_client client;
  bool alive;
  bool paused;
  bool held[PARTITIONS];
};

static struct clock_fake fake_clock;
static struct fake_kv fake;
static struct rng rng;
static struct shard shards[SHARDS];
static uint64_t nodes[SHARDS];
static uint64_t fencing_seen[PARTITIONS];
static uint64_t fencing_node[PARTITIONS];
static uint64_t incarnation;
static unsigned ownership_violations;

static struct owner_settings settings = {
  .partition_count = PARTITIONS,
  .lease_ttl_ns = 4 * NS_PER_S,
  .lease_margin_ns = 500 * NS_PER_MS,
  .keepalive_interval_ns = NS_PER_S,
  .poll_interval_ns = 5 * NS_PER_S,
  .claim_poll_interval_ns = 300 * NS_PER_MS,
  .rebalance_delay_ns = 2 * NS_PER_S,
};

static void
on_gained (struct owner *owner, unsigned partition)
{
  struct shard *shard = (struct shard *)(void *)owner;

  ownership_violations += shard->held[partition];
  shard->held[partition] = true;
}

static void
on_lost (struct owner *owner, unsigned partition)
{
  struct shard *shard = (struct shard *)(void *)owner;

  ownership_violations += !shard->held[partition];
  shard->held[partition] = false;
}

static const struct owner_ops ops = { on_gained, on_lost };

static void
shards_set_live_nodes (void)
{
  uint64_t live[SHARDS];
  size_t count = 0;

  for (int i = 0; i < SHARDS; i++)
    if (shards[i].alive && !shards[i].paused)
      live[count++] = nodes[i];
  for (int i = 0; i < SHARDS; i++)
    if (shards[i].alive && !shards[i].paused)
      owner_set_live_nodes (&shards[i].owner, live, count);
}

static void
shard_start (int index)
{
  struct shard *shard = &shards[index];

  memset (shard, 0, sizeof *shard);
  nodes[index] = 1000 + ++incarnation;
  shard->alive = true;
  fake_kv_client_init (&shard->client, &fake);
  owner_init (&shard->owner, &settings, &ops, nodes[index], &shard->client.kv,
              &fake_clock.clock, &rng);
}

static void
shard_kill (int index)
{
  struct shard *shard = &shards[index];

  fake_kv_client_kill (&shard->client);
  shard->owner.lease_call_open = false;
  shard->owner.range_call_open = false;
  shard->owner.txn_call_open = false;
  owner_finish (&shard->owner);
  shard->alive = false;
}

/* Check that no partition has two owners, and that each new owner has a higher
 * fencing token. */
static void
check_exclusive (void)
{
  for (unsigned p = 0; p < PARTITIONS; p++)
    {
      int owner_count = 0;

      for (int i = 0; i < SHARDS; i++)
        {
          uint64_t fencing;

          if (!shards[i].alive || shards[i].paused
              || !owner_holds (&shards[i].owner, p, &fencing))
            continue;
          owner_count++;
          ownership_violations += fencing < fencing_seen[p];
          ownership_violations
              += fencing == fencing_seen[p] && fencing_node[p] != nodes[i];
          fencing_seen[p] = fencing;
          fencing_node[p] = nodes[i];
        }
      ownership_violations += owner_count > 1;
    }
}

static void
run (int64_t ns)
{
  int64_t end = fake_clock.now_ns + ns;

  while (fake_clock.now_ns < end)
    {
      clock_fake_advance (&fake_clock, 10 * NS_PER_MS);
      fake_kv_step (&fake);
      for (int i = 0; i < SHARDS; i++)
        if (shards[i].alive && !shards[i].paused)
          owner_tick (&shards[i].owner);
      check_exclusive ();
    }
}

static unsigned
held_count (void)
{
  unsigned count = 0;

  for (unsigned p = 0; p < PARTITIONS; p++)
    for (int i = 0; i < SHARDS; i++)
      count += shards[i].alive && owner_holds (&shards[i].owner, p, NULL);
  return count;
}

static void
setup (uint64_t seed, int count)
{
  clock_fake_init (&fake_clock, NS_PER_S);
  fake_kv_init (&fake, &fake_clock.clock, seed);
  rng_init (&rng, seed);
  memset (fencing_seen, 0, sizeof fencing_seen);
  ownership_violations = 0;
  for (int i = 0; i < SHARDS; i++)
    shards[i].alive = false;
  for (int i = 0; i < count; i++)
    shard_start (i);
  shards_set_live_nodes ();
}

static void
finish (void)
{
  CU_ASSERT_EQUAL (ownership_violations, 0);
  ownership_violations = 0;
  for (int i = 0; i < SHARDS; i++)
    if (shards[i].alive)
      shard_kill (i);
  fake_kv_finish (&fake);
}

static void
test_all_claimed_with_one_lease_each (void)
{
  setup (1, 4);
  run (NS_PER_S);
  CU_ASSERT_EQUAL (held_count (), PARTITIONS);
  CU_ASSERT_EQUAL (fake.call_counts[FAKE_KV_LEASE_GRANT], 4);
  CU_ASSERT_TRUE (fake.call_counts[FAKE_KV_TXN] <= 8);
  for (int i = 0; i < 4; i++)
    CU_ASSERT_TRUE (shards[i].held[0] + shards[i].held[1] <= 2);
  finish ();
}

static void
test_takeover_within_lease_and_a_second (void)
{
  int64_t killed_ns;

  setup (2, 4);
  run (10 * NS_PER_S);
  shard_kill (1);
  killed_ns = fake_clock.now_ns;
  run (2 * NS_PER_S);
  shards_set_live_nodes ();
  while (held_count () < PARTITIONS)
    run (10 * NS_PER_MS);
  printf ("# take-over after %.2f s, lease %.0f s\n",
          (double)(fake_clock.now_ns - killed_ns) / (double)NS_PER_S,
          (double)settings.lease_ttl_ns / (double)NS_PER_S);
  CU_ASSERT_TRUE (fake_clock.now_ns - killed_ns
                  <= settings.lease_ttl_ns + NS_PER_S);
  finish ();
}

static void
test_planned_stop_hands_over_at_once (void)
{
  setup (3, 4);
  run (10 * NS_PER_S);
  owner_stop (&shards[0].owner);
  run (100 * NS_PER_MS);
  CU_ASSERT_TRUE (owner_is_stopped (&shards[0].owner));
  shard_kill (0);
  shards_set_live_nodes ();
  run (500 * NS_PER_MS);
  CU_ASSERT_EQUAL (held_count (), PARTITIONS);
  finish ();
}

static void
test_joining_shard_gets_its_part (void)
{
  setup (4, 3);
  run (5 * NS_PER_S);
  shard_start (3);
  shards_set_live_nodes ();
  run (settings.rebalance_delay_ns + settings.poll_interval_ns + NS_PER_S);
  CU_ASSERT_EQUAL (held_count (), PARTITIONS);
  CU_ASSERT_TRUE (memchr (shards[3].held, true, sizeof shards[3].held)
                  != NULL);
  finish ();
}

/* The KV service is down for longer than the lease: no shard owns a partition
 * at the end, and all partitions have owners again soon after. */
static void
test_outage_longer_than_the_lease (void)
{
  setup (5, 4);
  run (5 * NS_PER_S);
  fake.faults.down = true;
  run (3 * NS_PER_S);
  run (57 * NS_PER_S);
  CU_ASSERT_EQUAL (held_count (), 0);
  fake.faults.down = false;
  run (6 * NS_PER_S);
  CU_ASSERT_EQUAL (held_count (), PARTITIONS);
  finish ();
}

static void
kv_faults_change (void)
{
  fake.faults = (struct fake_kv_faults){ .latency_ns = 2 * NS_PER_MS,
                                         .value_max_bytes = KV_VALUE_MAX };
  switch (rng_below (&rng, 6))
    {
    case 0:
      fake.faults.down = true;
      break;
    case 1:
      fake.faults.lost_after_effect_share = 0.3;
      fake.faults.lost_before_effect_share = 0.3;
      break;
    case 2:
      fake.faults.latency_ns = (int64_t)rng_below (&rng, 3000) * NS_PER_MS;
      break;
    case 3:
      fake.faults.late_share = 0.5;
      fake.faults.late_latency_ns = 2 * NS_PER_S;
      fake.faults.late_kinds = 1u << FAKE_KV_LEASE_KEEPALIVE;
      break;
    default:
      break;
    }
}

static void
shard_or_kv_fault (int index)
{
  struct shard *shard = &shards[index];

  switch (rng_below (&rng, 4))
    {
    case 0:
      if (shard->alive)
        shard_kill (index);
      else
        shard_start (index);
      shard->paused = false;
      break;
    case 1:
      kv_faults_change ();
      break;
    default:
      if (shard->alive)
        shard->paused = shard->client.paused = !shard->paused;
    }
}

/* Leases expire only through time here. A KV service that ends a lease early
 * breaks its guarantee; then only the comparison of the owner record's
 * revision in each write protects the data. */
static void
random_run (uint64_t seed)
{
  setup (seed, SHARDS);
  for (int step = 0; step < 200; step++)
    {
      int index = (int)rng_below (&rng, SHARDS);

      if (rng_below (&rng, 3) == 0)
        shard_or_kv_fault (index);
      shards_set_live_nodes ();
      run ((int64_t)rng_below (&rng, 1500) * NS_PER_MS);
    }
}

static void
test_random_faults (void)
{
  for (uint64_t seed = 100; seed < 110; seed++)
    {
      random_run (seed);
      finish ();
    }
}

/* Without the margin an owner uses its partitions after its lease has expired.
 * check_exclusive must detect this in most of the same random runs. */
static void
test_missing_margin_is_caught (void)
{
  unsigned caught = 0;

  settings.lease_margin_ns = -60 * NS_PER_S;
  for (uint64_t seed = 100; seed < 110; seed++)
    {
      random_run (seed);
      caught += ownership_violations > 0;
      ownership_violations = 0;
      finish ();
    }
  settings.lease_margin_ns = 500 * NS_PER_MS;
  printf ("# two owners in %u of 10 runs without the margin\n", caught);
  CU_ASSERT_TRUE (caught >= 5);
}

/* The two slots of a poison request must be on different nodes, so that one
 * crash does not lose both. */
static void
test_slots_on_different_nodes (void)
{
  uint64_t many[5] = { 11, 22, 33, 44, 55 };

  for (size_t count = 2; count <= 5; count++)
    for (unsigned even = 0; even < 64; even += 2)
      CU_ASSERT_NOT_EQUAL (owner_preferred_index (many, count, even),
                           owner_preferred_index (many, count, even + 1));
  CU_ASSERT_EQUAL (owner_preferred_index (many, 1, 3), 0);
  CU_ASSERT_EQUAL (owner_preferred_index (many, 0, 3), -1);
}

static const struct unit_case cases[] = {
  { "twins-apart", test_slots_on_different_nodes },
  { "all-claimed-with-one-lease-each", test_all_claimed_with_one_lease_each },
  { "takeover-within-lease-and-a-second",
    test_takeover_within_lease_and_a_second },
  { "planned-stop-hands-over-at-once", test_planned_stop_hands_over_at_once },
  { "joining-shard-gets-its-part", test_joining_shard_gets_its_part },
  { "outage-longer-than-the-lease", test_outage_longer_than_the_lease },
  { "random-faults", test_random_faults },
  { "missing-margin-is-caught", test_missing_margin_is_caught },
};

int
main (void)
{
  return unit_run ("owner", cases, sizeof cases / sizeof *cases);
}
