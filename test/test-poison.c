#include "fake-kv.h"
#include "rng.h"
#include "poison-gateway.h"
#include "poison-shard.h"
#include "poison-wire.h"
#include "unit.h"

#include <glib.h>
#include <string.h>

/* A poison request may crash at most two backend servers. Callers send poison
 * requests through all gateways, repeatedly and in parallel, while owners of
 * the two partitions and gateways crash, connections are cut and the KV
 * service fails. */
enum
{
  GATEWAYS = 4,
  PARTITIONS = 2,
  RUNS_MAX = 6, /**< Maximum number of parallel runs of a gateway. */
  BODIES = 4,   /**< Number of request bodies; body 0 is poison. */
  QUEUE_MAX = 2048,
  /** Maximum number of owner starts of a partition. */
  OWNER_STARTS_MAX = 16,
  STEP_MS = 5,
  ROUND_MS = 20000,
  EPOCH_MS = 500, /**< Each epoch has another poison request. */
  EPOCHS = ROUND_MS / EPOCH_MS,
  /** Maximum time until a poison request crashes its backend server. */
  POISON_RUN_MAX_MS = 3500,
  RUN_MAX_MS = 200,
  FAULT_INTERVAL_MS = 4000,
  FAILOVER_MS = 800,
  MESSAGES_PER_CUT = 400, /**< Mean number of messages between two cuts. */
  CUT_MAX_MS = 300,
  /** Maximum time until a gateway detects a new owner. */
  SYNC_DELAY_MAX_MS = 300,
  /** Maximum time until an owner detects a lost gateway. */
  GATEWAY_LOSS_DELAY_MAX_MS = 300,
  GRACE_MS = 1000,
  SEEDS = 60,
  MUTANT_SEEDS = 200
};

enum mutant
{
  MUTANT_NONE,
  MUTANT_NO_GRACE,
  MUTANT_NOT_DURABLE,
  MUTANT_ORPHANS_FREED,
  MUTANT_NO_SYNC,
  MUTANT_COUNT
};

struct request
{
  struct poison_run run;
  int body;
  int epoch; /**< Epoch that selects the poison request. */
  bool used;
  /** Time at which the run ends; 0 before the decision to run it, -1 if it is
   * not run. */
  int64_t end_ns;
};

struct gateway
{
  struct poison_gateway poison;
  struct request requests[RUNS_MAX];
};

struct partition
{
  struct poison_shard shard;
  struct fake_kv_client clients[OWNER_STARTS_MAX];
  unsigned starts;
  bool alive;
  uint64_t revision; /**< Revision of the owner record. */
  int64_t restart_ns;
  int64_t sync_ns[GATEWAYS];
  uint64_t lost_gateway_id;
  int64_t gateway_lost_ns;
};

struct queued_message
{
  struct poison_message message;
  int64_t due_ns; /**< Time of delivery; 0 if the entry is unused. */
  /** Index of a partition, or PARTITIONS plus the index of a gateway. */
  int to;
  uint64_t sequence;
};

static struct
{
  struct clock_fake clock;
  struct rng rng;
  enum mutant mutant;
  struct gateway gateways[GATEWAYS];
  struct fake_kv kv;
  struct partition partitions[PARTITIONS];
  struct queued_message queue[QUEUE_MAX];
  uint64_t last_sequence;
  int64_t last_due[PARTITIONS + GATEWAYS];
  int64_t cut_ns[GATEWAYS][PARTITIONS]; /**< Time at which the cut ends. */
  uint64_t last_gateway;
  int crashes[EPOCHS]; /**< Backend servers crashed by each poison request. */
  int refused_count;   /**< Refusals of requests that are not poison. */
  int ended_runs[BODIES];
  /** Poison runs of killed gateways, whose end no gateway reports. */
  struct request orphans[GATEWAYS * RUNS_MAX];
} world;

static int64_t
random_time_within_ms (uint64_t max_ms)
{
  return world.clock.now_ns
         + (int64_t)(1 + rng_below (&world.rng, max_ms)) * NS_PER_MS;
}

/* Queue MESSAGE with a random delay. Messages to the same receiver arrive in
 * the order in which they were sent. */
static void
message_enqueue (int to, const struct poison_message *message)
{
  struct queued_message *queued = world.queue;

  while (queued->due_ns != 0)
    queued++;
  CU_ASSERT_TRUE_FATAL (queued < world.queue + QUEUE_MAX);
  world.last_due[to] = MAX (world.last_due[to], random_time_within_ms (4));
  *queued = (struct queued_message){ *message, world.last_due[to], to,
                                     ++world.last_sequence };
}

static void
owner_send (void *data, uint64_t gateway, const struct poison_message *message)
{
  for (int i = 0; i < GATEWAYS; i++)
    if (world.gateways[i].poison.gateway_id == gateway)
      message_enqueue (PARTITIONS + i, message);
}

static bool
owner_holds (void *data, unsigned partition, char key[KV_KEY_MAX],
             uint64_t *revision)
{
  g_snprintf (key, KV_KEY_MAX, "owner/%u", partition);
  *revision = world.partitions[partition].revision;
  return true;
}

static const struct poison_shard_ops shard_ops = { owner_send, owner_holds };

static uint64_t
gateway_slot_partition (void *data, unsigned slot,
                        const struct poison_request_fingerprint *fingerprint)
{
  return slot + 1;
}

static bool
gateway_partition_is_local (void *data, uint64_t partition)
{
  return data == &world.gateways[0] && partition == 1;
}

static void
gateway_send (void *data, uint64_t partition,
              const struct poison_message *message)
{
  struct partition *to = &world.partitions[partition - 1];
  int from = (int)((struct gateway *)data - world.gateways);
  int64_t *cut_ns = &world.cut_ns[from][partition - 1];

  /* Messages on a cut connection are lost. The gateway syncs the partition
   * when it has a new connection. */
  if (*cut_ns <= world.clock.now_ns
      && rng_below (&world.rng, MESSAGES_PER_CUT) == 0)
    {
      *cut_ns = random_time_within_ms (CUT_MAX_MS);
      if (world.mutant != MUTANT_NO_SYNC)
        to->sync_ns[from] = *cut_ns;
    }
  if (to->alive && *cut_ns <= world.clock.now_ns)
    message_enqueue ((int)partition - 1, message);
}

static void
run_decided (void *data, struct poison_run *run, enum poison_decision decision,
             int64_t retry_after_ns)
{
  struct request *request = LIST_ENTRY (run, struct request, run);

  if (decision == POISON_DECISION_RUN || decision == POISON_DECISION_RUN_ALONE)
    request->end_ns = random_time_within_ms (
        request->body == 0 ? POISON_RUN_MAX_MS : RUN_MAX_MS);
  else
    request->end_ns = -1;
  world.refused_count
      += decision == POISON_DECISION_REFUSE && request->body > 0;
}

static const struct poison_gateway_ops gateway_ops
    = { gateway_slot_partition, gateway_partition_is_local, gateway_send,
        run_decided };

static void
owner_start (struct partition *partition)
{
  unsigned number = (unsigned)(partition - world.partitions);
  struct fake_kv_client *client;
  char key[KV_KEY_MAX];
  struct poison_owner_settings settings = { .hold_ns = 3600 * NS_PER_S,
                                            .grace_ns = GRACE_MS * NS_PER_MS,
                                            .run_alone = true };

  if (world.mutant == MUTANT_NO_GRACE)
    settings.grace_ns = 0;
  g_snprintf (key, sizeof key, "owner/%u", number);
  fake_kv_put (&world.kv, key, "owner");
  partition->revision = fake_kv_key_revision (&world.kv, key);
  g_snprintf (key, sizeof key, "suspect/%u", number);
  if (world.mutant == MUTANT_NOT_DURABLE)
    fake_kv_put (&world.kv, key, NULL);
  client = &partition->clients[partition->starts++];
  fake_kv_client_init (client, &world.kv);
  poison_shard_init (&partition->shard, &settings, &client->kv,
                     &world.clock.clock, &shard_ops, NULL);
  poison_shard_partition_gained (&partition->shard, number);
  partition->alive = true;
  for (int i = 0; i < GATEWAYS; i++)
    partition->sync_ns[i] = world.mutant == MUTANT_NO_SYNC
                                ? CLOCK_NEVER
                                : random_time_within_ms (SYNC_DELAY_MAX_MS);
}

/* A KV write that is in flight when the owner is killed may or may not take
 * effect. */
static void
owner_kill (struct partition *partition)
{
  if (!partition->alive)
    return;
  fake_kv_client_kill (&partition->clients[partition->starts - 1]);
  poison_shard_finish (&partition->shard);
  partition->alive = false;
  partition->restart_ns = world.clock.now_ns + FAILOVER_MS * NS_PER_MS;
  for (int i = 0; i < QUEUE_MAX; i++)
    if (world.queue[i].to == partition - world.partitions)
      world.queue[i].due_ns = 0;
}

static void
gateway_start (struct gateway *gateway)
{
  memset (gateway, 0, sizeof *gateway);
  poison_gateway_init (&gateway->poison, ++world.last_gateway,
                       POISON_SLOT_COUNT, false, &world.clock.clock,
                       &gateway_ops, gateway);
}

static void
gateway_kill (struct gateway *gateway)
{
  int first = (int)(gateway - world.gateways) * RUNS_MAX;

  for (int i = 0; i < RUNS_MAX; i++)
    if (gateway->requests[i].used && gateway->requests[i].end_ns > 0
        && gateway->requests[i].body == 0)
      world.orphans[first + i] = gateway->requests[i];
  for (int p = 0; p < PARTITIONS; p++)
    {
      world.partitions[p].lost_gateway_id = gateway->poison.gateway_id;
      world.partitions[p].gateway_lost_ns
          = random_time_within_ms (GATEWAY_LOSS_DELAY_MAX_MS);
    }
  poison_gateway_finish (&gateway->poison);
  gateway_start (gateway);
}

static void
due_messages_deliver (void)
{
  for (;;)
    {
      struct queued_message *first = NULL;
      struct queued_message queued;

      for (int i = 0; i < QUEUE_MAX; i++)
        if (world.queue[i].due_ns != 0
            && world.queue[i].due_ns <= world.clock.now_ns
            && (first == NULL || world.queue[i].sequence < first->sequence))
          first = &world.queue[i];
      if (first == NULL)
        return;
      queued = *first;
      first->due_ns = 0;
      if (queued.to >= PARTITIONS)
        poison_gateway_receive (&world.gateways[queued.to - PARTITIONS].poison,
                                &queued.message);
      else if (world.partitions[queued.to].alive)
        poison_shard_receive (&world.partitions[queued.to].shard,
                              (unsigned)queued.to, &queued.message);
    }
}

static void
partition_gateway_lost (struct partition *partition)
{
  struct poison_message message = { .gateway = partition->lost_gateway_id };
  unsigned number = (unsigned)(partition - world.partitions);

  partition->lost_gateway_id = 0;
  if (world.mutant != MUTANT_ORPHANS_FREED)
    {
      poison_shard_gateway_lost (&partition->shard, message.gateway);
      return;
    }
  message.kind = POISON_MESSAGE_SYNC_BEGIN;
  poison_shard_receive (&partition->shard, number, &message);
  message.kind = POISON_MESSAGE_SYNC_END;
  poison_shard_receive (&partition->shard, number, &message);
}

static void
partition_step (struct partition *partition)
{
  if (!partition->alive && partition->restart_ns <= world.clock.now_ns)
    owner_start (partition);
  if (!partition->alive)
    return;
  for (int i = 0; i < GATEWAYS; i++)
    if (partition->sync_ns[i] <= world.clock.now_ns)
      {
        partition->sync_ns[i] = CLOCK_NEVER;
        poison_gateway_sync_partition (&world.gateways[i].poison,
                                       (uint64_t)(partition - world.partitions)
                                           + 1);
      }
  if (partition->lost_gateway_id != 0
      && partition->gateway_lost_ns <= world.clock.now_ns)
    partition_gateway_lost (partition);
  poison_shard_tick (&partition->shard);
}

static void
request_begin (struct gateway *gateway, struct request *request)
{
  memset (request, 0, sizeof *request);
  request->used = true;
  request->body = (int)rng_below (&world.rng, BODIES);
  request->run.deadline_ns = world.clock.now_ns + 3 * NS_PER_S;
  request->epoch = (int)(world.clock.now_ns / NS_PER_MS / EPOCH_MS);
  if (rng_below (&world.rng, 4) == 0)
    request->epoch = (int)rng_below (&world.rng, (uint64_t)request->epoch + 1);
  memset (&request->run.fingerprint,
          request->body == 0 ? 100 + request->epoch : request->body,
          sizeof request->run.fingerprint);
  poison_gateway_run_begin (&gateway->poison, &request->run);
}

static void
request_finish (struct gateway *gateway, struct request *request)
{
  enum poison_outcome outcome = POISON_OUTCOME_INCONCLUSIVE;

  if (request->end_ns > 0)
    {
      outcome = request->body == 0 ? POISON_OUTCOME_CRASHED
                                   : POISON_OUTCOME_COMPLETED;
      if (request->body == 0)
        world.crashes[request->epoch]++;
      world.ended_runs[request->body]++;
    }
  poison_gateway_run_end (&gateway->poison, &request->run, outcome);
  request->used = false;
}

static void
gateway_advance (struct gateway *gateway)
{
  poison_gateway_tick (&gateway->poison);
  for (int i = 0; i < RUNS_MAX; i++)
    {
      struct request *request = &gateway->requests[i];

      if (!request->used && rng_below (&world.rng, 20) == 0)
        request_begin (gateway, request);
      else if (request->used && request->end_ns != 0
               && request->end_ns <= world.clock.now_ns)
        request_finish (gateway, request);
    }
}

static void
faults_step (int ms)
{
  uint64_t fault = rng_below (&world.rng, 5);

  if (ms % FAULT_INTERVAL_MS != FAULT_INTERVAL_MS / 2)
    return;
  world.kv.faults.down = fault == 0;
  if (fault == 1 || fault == 2)
    owner_kill (&world.partitions[fault - 1]);
  if (fault == 3)
    gateway_kill (&world.gateways[rng_below (&world.rng, GATEWAYS)]);
  if (fault == 4)
    {
      /* Both processes run on the same host. */
      gateway_kill (&world.gateways[0]);
      owner_kill (&world.partitions[0]);
    }
}

static void
round_stop (void)
{
  for (int i = 0; i < GATEWAYS; i++)
    poison_gateway_finish (&world.gateways[i].poison);
  for (int p = 0; p < PARTITIONS; p++)
    {
      struct partition *partition = &world.partitions[p];

      if (!partition->alive)
        continue;
      fake_kv_client_finish (&partition->clients[partition->starts - 1]);
      poison_shard_finish (&partition->shard);
    }
  fake_kv_finish (&world.kv);
}

static void
round_run (uint64_t seed, enum mutant mutant)
{
  memset (&world, 0, sizeof world);
  world.mutant = mutant;
  clock_fake_init (&world.clock, 1);
  rng_init (&world.rng, seed);
  fake_kv_init (&world.kv, &world.clock.clock, seed);
  world.kv.faults.jitter_ns = 20 * NS_PER_MS;
  world.kv.faults.lost_before_effect_share = 0.1;
  world.kv.faults.lost_after_effect_share = 0.1;
  world.kv.faults.late_share = 0.1;
  world.kv.faults.late_latency_ns = 300 * NS_PER_MS;
  for (int i = 0; i < GATEWAYS; i++)
    gateway_start (&world.gateways[i]);
  for (int p = 0; p < PARTITIONS; p++)
    owner_start (&world.partitions[p]);
  for (int ms = 0; ms < ROUND_MS; ms += STEP_MS)
    {
      faults_step (ms);
      fake_kv_step (&world.kv);
      due_messages_deliver ();
      for (int p = 0; p < PARTITIONS; p++)
        partition_step (&world.partitions[p]);
      for (int i = 0; i < GATEWAYS; i++)
        gateway_advance (&world.gateways[i]);
      for (int i = 0; i < GATEWAYS * RUNS_MAX; i++)
        if (world.orphans[i].end_ns != 0
            && world.orphans[i].end_ns <= world.clock.now_ns)
          {
            world.orphans[i].end_ns = 0;
            world.crashes[world.orphans[i].epoch]++;
          }
      clock_fake_advance (&world.clock, STEP_MS * NS_PER_MS);
    }
  round_stop ();
}

/* @return The highest number of backend servers that one request crashed. */
static int
most_crashes (void)
{
  int most = 0;

  for (int i = 0; i < EPOCHS; i++)
    most = MAX (most, world.crashes[i]);
  return most;
}

static void
test_at_most_two (void)
{
  int crashes = 0;
  int refused = 0;
  int completed = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      round_run (seed, MUTANT_NONE);
      if (most_crashes () > 2)
        printf ("  seed %d: %d crashed\n", (int)seed, most_crashes ());
      CU_ASSERT_TRUE (most_crashes () <= 2);
      for (int i = 0; i < EPOCHS; i++)
        crashes += world.crashes[i];
      for (int body = 1; body < BODIES; body++)
        {
          CU_ASSERT_TRUE (world.ended_runs[body] > 0);
          completed += world.ended_runs[body];
        }
      refused += world.refused_count;
    }
  printf ("  %d poison requests crashed %d backend servers; "
          "other requests: %d completed, %d refused\n",
          SEEDS * EPOCHS, crashes, completed, refused);
}

/* Each mechanism is needed: without it, some round crashes more than two
 * backend servers with one request. */
static void
test_mutants (void)
{
  for (int mutant = 1; mutant < MUTANT_COUNT; mutant++)
    {
      uint64_t seed = 0;
      int most = 0;

      while (most <= 2 && seed < MUTANT_SEEDS)
        {
          round_run (++seed, (enum mutant)mutant);
          most = most_crashes ();
        }
      printf ("  mutant %d, seed %d: %d crashed\n", mutant, (int)seed, most);
      CU_ASSERT_TRUE (most > 2);
    }
}

static void
test_fingerprint (void)
{
  const uint8_t key[POISON_HASH_KEY_BYTES] = { 1 };
  const uint8_t other[POISON_HASH_KEY_BYTES] = { 2 };
  struct poison_request_fingerprint made[6];

  poison_fingerprint_compute (&made[0], key, "org", "model", "body", 4);
  poison_fingerprint_compute (&made[1], key, "orgm", "odel", "body", 4);
  poison_fingerprint_compute (&made[2], key, "org", "modelb", "ody", 3);
  poison_fingerprint_compute (&made[3], key, "org2", "model", "body", 4);
  poison_fingerprint_compute (&made[4], other, "org", "model", "body", 4);
  poison_fingerprint_compute (&made[5], key, "org", "model", "body", 4);
  for (int i = 1; i < 5; i++)
    CU_ASSERT_NOT_EQUAL (memcmp (&made[0], &made[i], sizeof made[0]), 0);
  CU_ASSERT_EQUAL (memcmp (&made[0], &made[5], sizeof made[0]), 0);
}

static void
test_wire (void)
{
  struct poison_message message = { .kind = POISON_MESSAGE_ACQUIRE_REPLY,
                                    .gateway = UINT64_MAX,
                                    .run = 1000000,
                                    .slot = 1,
                                    .tainted = true,
                                    .verdict = POISON_VERDICT_USED_UP,
                                    .hold_ns = 3600 * NS_PER_S };
  struct poison_message read = { 0 };
  Peer__Suspect body;
  unsigned partition = 0;
  uint8_t packed[2][128];
  size_t size;

  memset (&message.fingerprint, 7, sizeof message.fingerprint);
  poison_wire_write (&message, 4095, &body);
  CU_ASSERT_EQUAL (poison_wire_read (&body, &read, &partition), STATUS_OK);
  CU_ASSERT_EQUAL (partition, 4095);
  size = peer__suspect__pack (&body, packed[0]);
  poison_wire_write (&read, partition, &body);
  CU_ASSERT_EQUAL (peer__suspect__pack (&body, packed[1]), size);
  CU_ASSERT_EQUAL (memcmp (packed[0], packed[1], size), 0);
  printf ("  a message has %zu bytes\n", size);
  body.slot = POISON_SLOT_COUNT;
  CU_ASSERT_EQUAL (poison_wire_read (&body, &read, &partition),
                   STATUS_CORRUPT);
  body.slot = 0;
  body.fingerprint.len--;
  CU_ASSERT_EQUAL (poison_wire_read (&body, &read, &partition),
                   STATUS_CORRUPT);
}

static const struct unit_case cases[] = {
  { "at-most-two", test_at_most_two },
  { "mutants", test_mutants },
  { "fingerprint", test_fingerprint },
  { "wire", test_wire },
};

int
main (void)
{
  return unit_run ("suspect", cases, sizeof cases / sizeof *cases);
}
