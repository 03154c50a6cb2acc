#include "fake-fleet.h"
#include "oncerecord.h"
#include "unit.h"

#include <stdio.h>
#include <string.h>

enum
{
  KEYS = 2, /* The same key text in two organisations. */
  FILL_KEYS = 20,
  SEED = 1,
  RANDOM_KEYS = 40,
  RANDOM_STEPS = 12000,
  RANDOM_RUNS = 5
};

#define FAULT_NS (7 * NS_PER_S)
#define LONG_WAIT_NS (20 * NS_PER_S)

static struct fleet fleet;
static uint64_t first_request;

/* State of the first request or its record at which a fault is injected. */
struct trigger
{
  const char *name;
  enum requeststate_phase phase;
  bool is_record;
  enum oncerecord_state record_state;
  bool dirty;
  bool writing;
  bool while_loading; /* Whether the shards just started and are loading. */
  bool no_backend;    /* Whether the gateway finds no backend server. */
};

static const struct trigger triggers[] = {
  { "received", .phase = REQUESTSTATE_RECEIVED },
  { "received-loading", .phase = REQUESTSTATE_RECEIVED,
    .while_loading = true },
  { "admitted", .phase = REQUESTSTATE_ADMITTED },
  { "grant-wait", .phase = REQUESTSTATE_GRANT_WAIT },
  { "grant-wait-loading", .phase = REQUESTSTATE_GRANT_WAIT,
    .while_loading = true },
  { "granted", .phase = REQUESTSTATE_GRANTED },
  { "connecting", .phase = REQUESTSTATE_CONNECTING },
  { "handed-over", .phase = REQUESTSTATE_HANDED_OVER },
  { "running", .phase = REQUESTSTATE_RUNNING },
  { "finished", .phase = REQUESTSTATE_FINISHED },
  { "refused", .phase = REQUESTSTATE_FINISHED, .no_backend = true },
  { "record-asked", .is_record = true, .record_state = ONCERECORD_PENDING,
    .dirty = true },
  { "record-being-granted", .is_record = true,
    .record_state = ONCERECORD_PENDING, .writing = true },
  { "record-granted", .is_record = true, .record_state = ONCERECORD_GRANTED },
  { "record-ended", .is_record = true, .record_state = ONCERECORD_FINISHED,
    .dirty = true },
  { "record-being-finished", .is_record = true,
    .record_state = ONCERECORD_FINISHED, .writing = true },
  { "record-finished", .is_record = true,
    .record_state = ONCERECORD_FINISHED },
  { "record-given-back", .is_record = true,
    .record_state = ONCERECORD_RELEASED, .dirty = true, .no_backend = true },
  { "record-being-released", .is_record = true,
    .record_state = ONCERECORD_RELEASED, .writing = true, .no_backend = true },
  { "record-released", .is_record = true, .record_state = ONCERECORD_RELEASED,
    .no_backend = true },
};

static bool
trigger_reached (const struct trigger *trigger)
{
  const struct oncerecord *record;

  if (!trigger->is_record)
    return fleet_request (&fleet, first_request)->settle.phase
           == trigger->phase;
  record = fleet_record (&fleet, 0);
  return record != NULL && record->state == trigger->record_state
         && record->dirty == trigger->dirty
         && record->write_in_flight == trigger->writing;
}

/* In the faults, OWNER is the shard that owns the first key at injection. */

static void
inject_none (unsigned owner)
{
}

static void
inject_owner_killed (unsigned owner)
{
  fleet_shard_kill (&fleet, owner);
}

static void
inject_all_owners_killed (unsigned owner)
{
  for (unsigned i = 0; i < FLEET_SHARDS; i++)
    fleet_shard_kill (&fleet, i);
  fleet_shard_start (&fleet, owner);
}

static void
inject_owner_paused (unsigned owner)
{
  fleet_shard_pause (&fleet, owner, true);
}

static void
inject_kv_down (unsigned owner)
{
  fleet.kv.faults.down = true;
}

static void
inject_kv_slow (unsigned owner)
{
  fleet.kv.faults.latency_ns = 3 * NS_PER_S;
}

static void
inject_kv_reply_lost_after_effect (unsigned owner)
{
  fleet.kv.faults.txns_lost_after_effect = 3;
}

static void
inject_kv_reply_lost_before_effect (unsigned owner)
{
  fleet.kv.faults.txns_lost_before_effect = 3;
}

static void
inject_kv_limited (unsigned owner)
{
  fleet.kv.faults.limited_share = 0.8;
}

static void
inject_gateway_killed (unsigned owner)
{
  fleet_gateway_kill (&fleet, 0);
}

static void
inject_gateway_paused (unsigned owner)
{
  fleet_gateway_pause (&fleet, 0, true);
}

static void
inject_backend_response_lost (unsigned owner)
{
  fleet.faults.cut = true;
}

static void
inject_not_started (unsigned owner)
{
  fleet.faults.not_started = true;
}

static void
inject_answers_lost (unsigned owner)
{
  fleet.faults.answers_lost = true;
}

static void
inject_messages_late (unsigned owner)
{
  fleet.faults.delay_ns = 3 * NS_PER_S;
}

static void
inject_messages_duplicated (unsigned owner)
{
  fleet.faults.duplicate = 1;
}

static void
inject_requests_to_all_shards (unsigned owner)
{
  fleet.faults.all_owners = true;
}

static void
inject_crossed_outcomes (unsigned owner)
{
  fleet.faults.crossed_end = true;
}

static void
inject_other_body (unsigned owner)
{
  fleet_send (&fleet, 1, 0, 1);
}

static void
shard_stop (unsigned index)
{
  if (fleet.shards[index].alive)
    owner_stop (&fleet.shards[index].owner);
}

/* Operators stop the owner twice in a row, and another shard as well. */
static void
inject_operator_stops (unsigned owner)
{
  shard_stop (owner);
  shard_stop (owner);
  shard_stop ((owner + 1) % FLEET_SHARDS);
}

static void
inject_record_deleted (unsigned owner)
{
  char key[OWNER_KEY_MAX];

  for (unsigned i = 0; i < fleet.owner_settings.partition_count; i++)
    {
      owner_record_key (i, key);
      fake_kv_put (&fleet.kv, key, NULL);
    }
}

static void
inject_paused_kv_slow (unsigned owner)
{
  inject_kv_slow (owner);
  inject_owner_paused (owner);
}

static void
inject_paused_lost (unsigned owner)
{
  inject_kv_reply_lost_after_effect (owner);
  inject_owner_paused (owner);
  inject_requests_to_all_shards (owner);
}

/* Some calls take effect long after they have timed out. */
static void
inject_kv_late (unsigned owner)
{
  fleet.kv.faults.late_share = 0.3;
  fleet.kv.faults.late_latency_ns = 10 * NS_PER_S;
}

static void
inject_kv_late_killed (unsigned owner)
{
  inject_kv_late (owner);
  fleet_run (&fleet, 6 * NS_PER_S);
  inject_all_owners_killed (owner);
}

static void
inject_kv_late_paused (unsigned owner)
{
  inject_kv_late (owner);
  fleet_run (&fleet, 100 * NS_PER_MS);
  inject_owner_paused (owner);
}

/* A write of the owner takes effect after another shard took over. The old
 * owner resumes and reads the write before it learns that its lease ended. */
static void
inject_stale_write (unsigned owner)
{
  fleet.kv.faults.latency_ns = 10 * NS_PER_S;
  fleet_run (&fleet, 100 * NS_PER_MS);
  fleet.kv.faults.latency_ns = 2 * NS_PER_MS;
  fleet_shard_pause (&fleet, owner, true);
  fleet_run (&fleet, 4500 * NS_PER_MS);
  fleet_send (&fleet, 1, 0, 0);
  fleet_run (&fleet, 1500 * NS_PER_MS);
  fleet.kv.faults.late_share = 1;
  fleet.kv.faults.late_latency_ns = 5 * NS_PER_S;
  fleet.kv.faults.late_kinds
      = 1u << FAKE_KV_LEASE_KEEPALIVE | 1u << FAKE_KV_RANGE;
  fleet_shard_pause (&fleet, owner, false);
  fleet_run (&fleet, NS_PER_S);
}

/* A write of the owner takes effect after it has timed out, was retried and
 * other writes have followed. Then the owner crashes. */
static void
inject_own_write_late (unsigned owner)
{
  fleet.kv.faults.latency_ns = 10 * NS_PER_S;
  fleet_run (&fleet, 100 * NS_PER_MS);
  fleet.kv.faults.latency_ns = 2 * NS_PER_MS;
  fleet_run (&fleet, 6 * NS_PER_S);
  inject_owner_killed (owner);
}

static void
inject_lost_before_killed (unsigned owner)
{
  inject_kv_reply_lost_before_effect (owner);
  fleet_run (&fleet, 300 * NS_PER_MS);
  inject_owner_killed (owner);
}

static void
inject_owner_gateway_killed (unsigned owner)
{
  inject_owner_killed (owner);
  inject_gateway_killed (owner);
}

static const struct fault
{
  const char *name;
  void (*inject) (unsigned owner);
  bool long_waits; /* Whether request timeouts exceed the lease TTL. */
} faults[] = {
  { "none", inject_none, false },
  { "owner-killed", inject_owner_killed, false },
  { "all-owners-killed", inject_all_owners_killed, false },
  { "owner-paused", inject_owner_paused, false },
  { "kv-down", inject_kv_down, false },
  { "kv-slow", inject_kv_slow, false },
  { "reply-lost-after-effect", inject_kv_reply_lost_after_effect, false },
  { "reply-lost-before-effect", inject_kv_reply_lost_before_effect, false },
  { "kv-limited", inject_kv_limited, false },
  { "gateway-killed", inject_gateway_killed, false },
  { "gateway-paused", inject_gateway_paused, false },
  { "backend-server-cut", inject_backend_response_lost, false },
  { "backend-server-not-started", inject_not_started, false },
  { "answers-lost", inject_answers_lost, false },
  { "messages-late", inject_messages_late, false },
  { "messages-twice", inject_messages_duplicated, false },
  { "asked-of-all-shards", inject_requests_to_all_shards, false },
  { "crossed-ends", inject_crossed_outcomes, false },
  { "other-body", inject_other_body, false },
  { "operators-stop-owners", inject_operator_stops, false },
  { "operator-deletes-records", inject_record_deleted, false },
  { "owner-paused+kv-slow", inject_paused_kv_slow, false },
  { "owner-paused+reply-lost+all", inject_paused_lost, false },
  { "owner-killed+gateway-killed", inject_owner_gateway_killed, false },
  { "kv-calls-late", inject_kv_late, false },
  { "kv-calls-late+all-owners-killed", inject_kv_late_killed, false },
  { "kv-calls-late+owner-paused", inject_kv_late_paused, false },
  { "reply-lost-before-effect+owner-killed", inject_lost_before_killed,
    false },
  { "owner-paused+write-late", inject_stale_write, true },
  { "own-write-late+owner-killed", inject_own_write_late, true },
};

enum
{
  TRIGGER_COUNT = sizeof triggers / sizeof *triggers,
  FAULT_COUNT = sizeof faults / sizeof *faults,
  LONG_FAULTS = 3 /* The last faults, which advance the clock themselves. */
};

/* Retry both keys through the other gateways. */
static void
cell_retry (void)
{
  for (unsigned key = 0; key < KEYS; key++)
    for (unsigned gateway = 1; gateway < FLEET_GATEWAYS; gateway++)
      fleet_send (&fleet, gateway, key, 0);
}

/* Inject FAULT at the state TRIGGER and check the promises at rest.
 * @return whether the state was reached. */
static bool
cell_run (const struct trigger *trigger, const struct fault *fault,
          enum fleet_mutant mutant, bool retry_at_once)
{
  bool reached = false;
  int64_t end;

  fleet_init (&fleet, mutant, SEED);
  if (fault->long_waits)
    fleet.request_timeout_ns = LONG_WAIT_NS;
  fleet_start (&fleet);
  if (!trigger->while_loading)
    fleet_run (&fleet, NS_PER_S);
  /* Grants for other keys were just written, so the next write must wait. */
  if (trigger->dirty && trigger->record_state == ONCERECORD_PENDING)
    {
      for (unsigned key = KEYS; key < FILL_KEYS; key++)
        fleet_send (&fleet, 1, key, 0);
      fleet_run (&fleet, 20 * NS_PER_MS);
    }
  fleet.faults.no_backend = trigger->no_backend;
  first_request = fleet_send (&fleet, 0, 0, 0);
  fleet_send (&fleet, 0, 1, 0);
  end = fleet.clock.now_ns + 2 * NS_PER_S;
  while (!(reached = trigger_reached (trigger)) && fleet.clock.now_ns < end)
    fleet_step (&fleet, NS_PER_MS);
  fault->inject (fleet_owner (&fleet, 0));
  fleet.faults.no_backend = false;
  for (int i = 0; i < 7; i++)
    {
      if (retry_at_once || i == 6)
        cell_retry ();
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
            printf ("# %s x %s, retries %s: %s\n", triggers[t].name,
                    faults[f].name, at_once ? "at once" : "later",
                    reached ? fleet.first : "state not reached");
          fleet_finish (&fleet);
        }
  printf ("# %u cells, seed %d: %u not reached, %u broken\n", cells, SEED,
          unreached, broken);
  CU_ASSERT_EQUAL (unreached, 0);
  CU_ASSERT_EQUAL (broken, 0);
}

static void
random_fault_inject (void)
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
      faults[rng_below (&fleet.rng, FAULT_COUNT - LONG_FAULTS)].inject (shard);
    }
}

/* End the faults and restart the gateways. Some shards may stay paused. */
static void
random_recover (void)
{
  fleet.faults = (struct fleet_faults){ 0 };
  fleet.kv.faults = (struct fake_kv_faults){ .latency_ns = 2 * NS_PER_MS,
                                             .value_max_bytes = KV_VALUE_MAX };
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
  /* With long timeouts a grant can still be requested after a take-over. */
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
        random_fault_inject ();
      if (rng_below (&fleet.rng, 150) == 0)
        random_recover ();
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

/* Whether a cell of the matrix detects MUTANT; later cells are not run. */
static bool
mutant_is_caught (enum fleet_mutant mutant)
{
  for (int t = 0; t < TRIGGER_COUNT; t++)
    for (int f = 0; f < FAULT_COUNT; f++)
      for (int at_once = 0; at_once < 2; at_once++)
        {
          bool caught;

          cell_run (&triggers[t], &faults[f], mutant, at_once);
          caught = fleet_broken (&fleet) > 0;
          if (caught)
            printf ("# %s: first cell %s x %s, retries %s: %s\n",
                    mutant_names[mutant], triggers[t].name, faults[f].name,
                    at_once ? "at once" : "later", fleet.first);
          fleet_finish (&fleet);
          if (caught)
            return true;
        }
  return false;
}

/* For each mechanism, some cell detects that it is switched off. */
static void
test_mutants_are_caught (void)
{
  for (int mutant = FLEET_SOUND + 1; mutant < FLEET_MUTANT_COUNT; mutant++)
    {
      bool caught = mutant_is_caught ((enum fleet_mutant)mutant);

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
