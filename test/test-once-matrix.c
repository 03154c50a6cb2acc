#include "fake-fleet.h"
#include "oncerecord.h"
#include "unit.h"

#include <stdio.h>
#include <string.h>

enum
{
  KEYS = 2, /* one text of two organisations */
  FILL_KEYS = 20,
  SEED = 1,
  RANDOM_KEYS = 40,
  RANDOM_STEPS = 12000,
  RANDOM_RUNS = 5
};

#define FAULT_NS (7 * NS_PER_S)
#define LONG_WAIT_NS (20 * NS_PER_S)

static struct fleet fleet;
static uint64_t first; /* request */

/* When a fault strikes: at a state of the first request, or of its record. */
struct trigger
{
  const char *name;
  enum requeststate_phase request;
  bool is_record;
  enum oncerecord_state record;
  bool dirty;
  bool writing;
  bool early;   /* the shards have just started, so they load */
  bool refuses; /* the gateway finds no backend server */
};

static const struct trigger triggers[] = {
  { "received", .request = REQUESTSTATE_RECEIVED },
  { "received-loading", .request = REQUESTSTATE_RECEIVED, .early = true },
  { "admitted", .request = REQUESTSTATE_ADMITTED },
  { "grant-wait", .request = REQUESTSTATE_GRANT_WAIT },
  { "grant-wait-loading", .request = REQUESTSTATE_GRANT_WAIT, .early = true },
  { "granted", .request = REQUESTSTATE_GRANTED },
  { "connecting", .request = REQUESTSTATE_CONNECTING },
  { "handed-over", .request = REQUESTSTATE_HANDED_OVER },
  { "running", .request = REQUESTSTATE_RUNNING },
  { "finished", .request = REQUESTSTATE_FINISHED },
  { "refused", .request = REQUESTSTATE_FINISHED, .refuses = true },
  { "record-asked", .is_record = true, .record = ONCERECORD_PENDING,
    .dirty = true },
  { "record-being-granted", .is_record = true, .record = ONCERECORD_PENDING,
    .writing = true },
  { "record-granted", .is_record = true, .record = ONCERECORD_GRANTED },
  { "record-ended", .is_record = true, .record = ONCERECORD_FINISHED,
    .dirty = true },
  { "record-being-finished", .is_record = true, .record = ONCERECORD_FINISHED,
    .writing = true },
  { "record-finished", .is_record = true, .record = ONCERECORD_FINISHED },
  { "record-given-back", .is_record = true, .record = ONCERECORD_RELEASED,
    .dirty = true, .refuses = true },
  { "record-being-released", .is_record = true, .record = ONCERECORD_RELEASED,
    .writing = true, .refuses = true },
  { "record-released", .is_record = true, .record = ONCERECORD_RELEASED,
    .refuses = true },
};

static bool
trigger_reached (const struct trigger *trigger)
{
  const struct oncerecord *record;

  if (!trigger->is_record)
    return fleet_request (&fleet, first)->settle.phase == trigger->request;
  record = fleet_record (&fleet, 0);
  return record != NULL && record->state == trigger->record
         && record->dirty == trigger->dirty
         && record->write_in_flight == trigger->writing;
}

/* The faults; OWNER is the shard of the first key when they strike. */

static void
strike_none (unsigned owner)
{
}

static void
strike_owner_killed (unsigned owner)
{
  fleet_shard_kill (&fleet, owner);
}

static void
strike_all_killed (unsigned owner)
{
  for (unsigned i = 0; i < FLEET_SHARDS; i++)
    fleet_shard_kill (&fleet, i);
  fleet_shard_start (&fleet, owner);
}

static void
strike_owner_paused (unsigned owner)
{
  fleet_shard_pause (&fleet, owner, true);
}

static void
strike_kv_down (unsigned owner)
{
  fleet.kv.faults.down = true;
}

static void
strike_kv_slow (unsigned owner)
{
  fleet.kv.faults.latency_ns = 3 * NS_PER_S;
}

static void
strike_lost_after (unsigned owner)
{
  fleet.kv.faults.lose_after = 3;
}

static void
strike_lost_before (unsigned owner)
{
  fleet.kv.faults.lose_before = 3;
}

static void
strike_limited (unsigned owner)
{
  fleet.kv.faults.limited = 0.8;
}

static void
strike_gateway_killed (unsigned owner)
{
  fleet_gateway_kill (&fleet, 0);
}

static void
strike_gateway_paused (unsigned owner)
{
  fleet_gateway_pause (&fleet, 0, true);
}

static void
strike_cut (unsigned owner)
{
  fleet.faults.cut = true;
}

static void
strike_not_started (unsigned owner)
{
  fleet.faults.not_started = true;
}

static void
strike_answers_lost (unsigned owner)
{
  fleet.faults.answers_lost = true;
}

static void
strike_late (unsigned owner)
{
  fleet.faults.delay_ns = 3 * NS_PER_S;
}

static void
strike_twice (unsigned owner)
{
  fleet.faults.duplicate = 1;
}

static void
strike_all_owners (unsigned owner)
{
  fleet.faults.all_owners = true;
}

static void
strike_crossed (unsigned owner)
{
  fleet.faults.crossed_end = true;
}

static void
strike_other_body (unsigned owner)
{
  fleet_send (&fleet, 1, 0, 1);
}

static void
shard_stop (unsigned index)
{
  if (fleet.shards[index].alive)
    owner_stop (&fleet.shards[index].owner);
}

/* Operators stop the owner, twice in a row and another one with it. */
static void
strike_stops (unsigned owner)
{
  shard_stop (owner);
  shard_stop (owner);
  shard_stop ((owner + 1) % FLEET_SHARDS);
}

static void
strike_record_deleted (unsigned owner)
{
  char key[OWNER_KEY_MAX];

  for (unsigned i = 0; i < fleet.owner_settings.partition_count; i++)
    {
      owner_record_key (i, key);
      fake_kv_put (&fleet.kv, key, NULL);
    }
}

static void
strike_paused_kv_slow (unsigned owner)
{
  strike_kv_slow (owner);
  strike_owner_paused (owner);
}

static void
strike_paused_lost (unsigned owner)
{
  strike_lost_after (owner);
  strike_owner_paused (owner);
  strike_all_owners (owner);
}

/* Single calls take effect long after their callers gave up on them. */
static void
strike_kv_late (unsigned owner)
{
  fleet.kv.faults.late = 0.3;
  fleet.kv.faults.late_ns = 10 * NS_PER_S;
}

static void
strike_kv_late_killed (unsigned owner)
{
  strike_kv_late (owner);
  fleet_run (&fleet, 6 * NS_PER_S);
  strike_all_killed (owner);
}

static void
strike_kv_late_paused (unsigned owner)
{
  strike_kv_late (owner);
  fleet_run (&fleet, 100 * NS_PER_MS);
  strike_owner_paused (owner);
}

/* A write of the owner takes effect after another one has taken over, and
 * its owner comes back and reads it before it hears that its lease is gone. */
static void
strike_stale_write (unsigned owner)
{
  fleet.kv.faults.latency_ns = 10 * NS_PER_S;
  fleet_run (&fleet, 100 * NS_PER_MS);
  fleet.kv.faults.latency_ns = 2 * NS_PER_MS;
  fleet_shard_pause (&fleet, owner, true);
  fleet_run (&fleet, 4500 * NS_PER_MS);
  fleet_send (&fleet, 1, 0, 0);
  fleet_run (&fleet, 1500 * NS_PER_MS);
  fleet.kv.faults.late = 1;
  fleet.kv.faults.late_ns = 5 * NS_PER_S;
  fleet.kv.faults.late_kinds
      = 1u << FAKE_KV_LEASE_KEEPALIVE | 1u << FAKE_KV_RANGE;
  fleet_shard_pause (&fleet, owner, false);
  fleet_run (&fleet, NS_PER_S);
}

/* A write of the owner takes effect after it was given up, sent again and
 * followed by others; then the owner dies. */
static void
strike_own_write_late (unsigned owner)
{
  fleet.kv.faults.latency_ns = 10 * NS_PER_S;
  fleet_run (&fleet, 100 * NS_PER_MS);
  fleet.kv.faults.latency_ns = 2 * NS_PER_MS;
  fleet_run (&fleet, 6 * NS_PER_S);
  strike_owner_killed (owner);
}

static void
strike_lost_before_killed (unsigned owner)
{
  strike_lost_before (owner);
  fleet_run (&fleet, 300 * NS_PER_MS);
  strike_owner_killed (owner);
}

static void
strike_owner_gateway_killed (unsigned owner)
{
  strike_owner_killed (owner);
  strike_gateway_killed (owner);
}

static const struct fault
{
  const char *name;
  void (*strike) (unsigned owner);
  bool long_waits; /* callers wait longer than the lease lasts */
} faults[] = {
  { "none", strike_none, false },
  { "owner-killed", strike_owner_killed, false },
  { "all-owners-killed", strike_all_killed, false },
  { "owner-paused", strike_owner_paused, false },
  { "kv-down", strike_kv_down, false },
  { "kv-slow", strike_kv_slow, false },
  { "reply-lost-after-effect", strike_lost_after, false },
  { "reply-lost-before-effect", strike_lost_before, false },
  { "kv-limited", strike_limited, false },
  { "gateway-killed", strike_gateway_killed, false },
  { "gateway-paused", strike_gateway_paused, false },
  { "backend-server-cut", strike_cut, false },
  { "backend-server-not-started", strike_not_started, false },
  { "answers-lost", strike_answers_lost, false },
  { "messages-late", strike_late, false },
  { "messages-twice", strike_twice, false },
  { "asked-of-all-shards", strike_all_owners, false },
  { "crossed-ends", strike_crossed, false },
  { "other-body", strike_other_body, false },
  { "operators-stop-owners", strike_stops, false },
  { "operator-deletes-records", strike_record_deleted, false },
  { "owner-paused+kv-slow", strike_paused_kv_slow, false },
  { "owner-paused+reply-lost+all", strike_paused_lost, false },
  { "owner-killed+gateway-killed", strike_owner_gateway_killed, false },
  { "kv-calls-late", strike_kv_late, false },
  { "kv-calls-late+all-owners-killed", strike_kv_late_killed, false },
  { "kv-calls-late+owner-paused", strike_kv_late_paused, false },
  { "reply-lost-before-effect+owner-killed", strike_lost_before_killed,
    false },
  { "owner-paused+write-late", strike_stale_write, true },
  { "own-write-late+owner-killed", strike_own_write_late, true },
};

enum
{
  TRIGGER_COUNT = sizeof triggers / sizeof *triggers,
  FAULT_COUNT = sizeof faults / sizeof *faults,
  LONG_FAULTS = 3 /* at the end: they take their own time */
};

/* Repeats of both keys from the other gateways. */
static void
cell_repeat (void)
{
  for (unsigned key = 0; key < KEYS; key++)
    for (unsigned gateway = 1; gateway < FLEET_GATEWAYS; gateway++)
      fleet_send (&fleet, gateway, key, 0);
}

/* @return whether the trigger was reached. */
static bool
cell_run (const struct trigger *trigger, const struct fault *fault,
          enum fleet_mutant mutant, bool repeat_at_once)
{
  bool reached = false;
  int64_t end;

  fleet_init (&fleet, mutant, SEED);
  if (fault->long_waits)
    fleet.request_timeout_ns = LONG_WAIT_NS;
  fleet_start (&fleet);
  if (!trigger->early)
    fleet_run (&fleet, NS_PER_S);
  /* Others' grants just written, so that the next write has to wait. */
  if (trigger->dirty && trigger->record == ONCERECORD_PENDING)
    {
      for (unsigned key = KEYS; key < FILL_KEYS; key++)
        fleet_send (&fleet, 1, key, 0);
      fleet_run (&fleet, 20 * NS_PER_MS);
    }
  fleet.faults.no_backend = trigger->refuses;
  first = fleet_send (&fleet, 0, 0, 0);
  fleet_send (&fleet, 0, 1, 0);
  end = fleet.clock.now_ns + 2 * NS_PER_S;
  while (!(reached = trigger_reached (trigger)) && fleet.clock.now_ns < end)
    fleet_step (&fleet, NS_PER_MS);
  fault->strike (fleet_owner (&fleet, 0));
  fleet.faults.no_backend = false;
  for (int i = 0; i < 7; i++)
    {
      if (repeat_at_once || i == 6)
        cell_repeat ();
      fleet_run (&fleet, FAULT_NS / 7);
    }
  fleet_check_rest (&fleet, KEYS);
  return reached;
}

static void
test_each_state_with_each_fault (void)
{
  unsigned cells = 0, unreached = 0, broken = 0;

  for (int t = 0; t < TRIGGER_COUNT; t++)
    for (int f = 0; f < FAULT_COUNT; f++)
      for (int at_once = 0; at_once < 2; at_once++)
        {
          bool reached
              = cell_run (&triggers[t], &faults[f], FLEET_SOUND, at_once);

          cells++;
          unreached += !reached;
          broken += fleet_broken (&fleet) > 0;
          if (!reached || fleet_broken (&fleet) > 0)
            printf ("# %s x %s, repeats %s: %s\n", triggers[t].name,
                    faults[f].name, at_once ? "at once" : "later",
                    reached ? fleet.first : "state not reached");
          fleet_finish (&fleet);
        }
  printf ("# %u cells, seed %d: %u not reached, %u broken\n", cells, SEED,
          unreached, broken);
  CU_ASSERT_EQUAL (unreached, 0);
  CU_ASSERT_EQUAL (broken, 0);
}

/* Random requests and faults. */

static void
random_upset (void)
{
  unsigned shard = (unsigned)rng_below (&fleet.rng, FLEET_SHARDS);
  unsigned gateway = (unsigned)rng_below (&fleet.rng, FLEET_GATEWAYS);

  switch (rng_below (&fleet.rng, 8))
    {
    case 0:
      if (fleet.shards[shard].alive)
        fleet_shard_kill (&fleet, shard);
      else
        fleet_shard_start (&fleet, shard);
      break;
    case 1:
    case 2:
      fleet_shard_pause (&fleet, shard, !fleet.shards[shard].paused);
      break;
    case 3:
      fleet_gateway_kill (&fleet, gateway);
      break;
    case 4:
      fleet_gateway_start (&fleet, gateway);
      break;
    case 5:
      fleet_gateway_pause (&fleet, gateway, !fleet.gateways[gateway].paused);
      break;
    default:
      faults[rng_below (&fleet.rng, FAULT_COUNT - LONG_FAULTS)].strike (shard);
    }
}

/* Let most of it be well again. */
static void
random_mend (void)
{
  fleet.faults = (struct fleet_faults){ 0 };
  fleet.kv.faults = (struct fake_kv_faults){ .latency_ns = 2 * NS_PER_MS,
                                             .value_max = KV_VALUE_MAX };
  for (unsigned i = 0; i < FLEET_SHARDS; i++)
    if (rng_below (&fleet.rng, 3) != 0)
      fleet_shard_pause (&fleet, i, false);
  for (unsigned i = 0; i < FLEET_GATEWAYS; i++)
    {
      fleet_gateway_pause (&fleet, i, false);
      if (!fleet.gateways[i].alive)
        fleet_gateway_start (&fleet, i);
    }
}

static void
random_run (uint64_t seed, unsigned steps)
{
  fleet_init (&fleet, FLEET_SOUND, seed);
  fleet_start (&fleet);
  /* With long waits a grant can still be asked for after a take-over. */
  if (seed % 2 == 0)
    fleet.request_timeout_ns = LONG_WAIT_NS;
  fleet_run (&fleet, NS_PER_S);
  for (unsigned i = 0; i < steps && fleet_broken (&fleet) == 0; i++)
    {
      unsigned key = (unsigned)rng_below (&fleet.rng, RANDOM_KEYS)
                     + i / 1000 * RANDOM_KEYS;

      if (rng_below (&fleet.rng, 2) == 0)
        fleet_send (&fleet, (unsigned)rng_below (&fleet.rng, FLEET_GATEWAYS),
                    key, rng_below (&fleet.rng, 20) == 0);
      if (rng_below (&fleet.rng, 60) == 0)
        random_upset ();
      if (rng_below (&fleet.rng, 150) == 0)
        random_mend ();
      fleet_run (&fleet, (int64_t)rng_below (&fleet.rng, 50) * NS_PER_MS);
    }
  fleet_check_rest (&fleet, (steps + 999) / 1000 * RANDOM_KEYS);
}

static void
test_random_runs (void)
{
  for (uint64_t seed = 1; seed <= RANDOM_RUNS; seed++)
    {
      random_run (seed, RANDOM_STEPS);
      printf ("# seed %u: %u requests, %u complete, %u refused, %u may have "
              "run, %u in progress, %u replayed%s%s\n",
              (unsigned)seed, fleet.requests->len,
              fleet.outcomes[REQUESTSTATE_COMPLETE],
              fleet.outcomes[REQUESTSTATE_REFUSED_NOT_RUN],
              fleet.outcomes[REQUESTSTATE_FAILED_MAY_HAVE_RUN],
              fleet.outcomes[REQUESTSTATE_IN_PROGRESS],
              fleet.outcomes[REQUESTSTATE_REPLAYED],
              fleet_broken (&fleet) > 0 ? ": " : "", fleet.first);
      CU_ASSERT_EQUAL (fleet_broken (&fleet), 0);
      fleet_finish (&fleet);
    }
}

static const char *const mutant_names[FLEET_MUTANT_COUNT] = {
  [FLEET_SOUND] = "sound",
  [FLEET_GRANT_NOT_DURABLE] = "grant-not-durable",
  [FLEET_TRUST_LOST_REPLY] = "trust-lost-reply",
  [FLEET_NO_OWNER_COMPARE] = "no-owner-compare",
  [FLEET_NO_SEGMENT_COMPARE] = "no-segment-compare",
  [FLEET_NO_LOAD] = "no-load",
  [FLEET_NO_MARGIN] = "no-margin",
  [FLEET_GRANT_USED_TWICE] = "grant-used-twice",
  [FLEET_LATE_GRANT_USED] = "late-grant-used",
  [FLEET_CROSSED_END_TAKEN] = "crossed-end-taken",
  [FLEET_NO_FINGERPRINT] = "no-fingerprint",
  [FLEET_NO_ORGANISATION] = "no-organisation",
};

/* The first cell that catches MUTANT.
 * @return whether there is one; fleet is finished. */
static bool
mutant_in_matrix (enum fleet_mutant mutant)
{
  for (int t = 0; t < TRIGGER_COUNT; t++)
    for (int f = 0; f < FAULT_COUNT; f++)
      for (int at_once = 0; at_once < 2; at_once++)
        {
          bool caught;

          cell_run (&triggers[t], &faults[f], mutant, at_once);
          caught = fleet_broken (&fleet) > 0;
          if (caught)
            printf ("# %s: first cell %s x %s, repeats %s: %s\n",
                    mutant_names[mutant], triggers[t].name, faults[f].name,
                    at_once ? "at once" : "later", fleet.first);
          fleet_finish (&fleet);
          if (caught)
            return true;
        }
  return false;
}

/* Each mechanism that is switched off is seen by some cell. */
static void
test_mutants_are_caught (void)
{
  for (int mutant = FLEET_SOUND + 1; mutant < FLEET_MUTANT_COUNT; mutant++)
    {
      bool caught = mutant_in_matrix ((enum fleet_mutant)mutant);

      if (!caught)
        printf ("# %s: not caught\n", mutant_names[mutant]);
      CU_ASSERT_TRUE (caught);
    }
}

static const struct unit_case cases[] = {
  { "each-state-with-each-fault", test_each_state_with_each_fault },
  { "random-runs", test_random_runs },
  { "mutants-are-caught", test_mutants_are_caught },
};

int
main (void)
{
  return unit_run ("once-matrix", cases, sizeof cases / sizeof *cases);
}
