#include "fake-kv.h"
#include "rng.h"
#include "poison-gateway.h"
#include "poison-shard.h"
#include "poison-wire.h"
#include "unit.h"

#include <glib.h>
#include <string.h>

/* Several gateways, two partitions whose owners die, a KV service that fails,
 * and a caller that sends a request that kills its backend server through all
 * gateways, over and over and at once. */
enum
{
  GATEWAYS = 4,
  PARTITIONS = 2,
  RUNS = 6,   /**< at once in each gateway */
  BODIES = 4, /**< the first kills */
  WIRE = 2048,
  STARTS = 16, /**< of one partition's owner at most */
  STEP_MS = 5,
  ROUND_MS = 20000,
  EPOCH_MS = 500, /**< after it another request kills */
  EPOCHS = ROUND_MS / EPOCH_MS,
  KILL_MS = 3500, /**< the longest time that a killer runs */
  RUN_MS = 200,
  FAULT_EVERY_MS = 4000,
  FAILOVER_MS = 800,
  CUT_EVERY = 400, /**< messages between two cuts of a connection */
  CUT_MS = 300,
  SYNC_MS = 300, /**< gateways see a new owner within it */
  LOST_MS = 300, /**< owners see a lost gateway within it */
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
  int epoch; /**< of one that kills */
  bool used;
  int64_t end_ns; /**< when its backend server ends it; 0: not running */
};

struct gateway
{
  struct poison_gateway gate;
  struct request requests[RUNS];
};

struct partition
{
  struct poison_shard shard;
  struct fake_kv_client clients[STARTS];
  unsigned starts;
  bool alive;
  uint64_t revision; /**< of the owner's record */
  int64_t back_ns;
  int64_t sync_ns[GATEWAYS];
  uint64_t lost_gateway;
  int64_t lost_ns;
};

struct letter
{
  struct poison_message message;
  int64_t due_ns; /**< 0: free */
  int to;         /**< partition, or PARTITIONS + gateway */
  uint64_t order;
};

static struct
{
  struct clock_fake clock;
  struct rng rng;
  enum mutant mutant;
  struct gateway gateways[GATEWAYS];
  struct fake_kv kv;
  struct partition partitions[PARTITIONS];
  struct letter wire[WIRE];
  uint64_t order;
  int64_t last_due[PARTITIONS + GATEWAYS];
  int64_t cut_ns[GATEWAYS][PARTITIONS]; /**< end of a cut */
  uint64_t last_gateway;
  int died[EPOCHS];
  int refused;
  int well[BODIES];
  struct request orphans[GATEWAYS * RUNS]; /**< nobody will report them */
} world;

static int64_t
in_ms (uint64_t most)
{
  return world.clock.now_ns
         + (int64_t)(1 + rng_below (&world.rng, most)) * NS_PER_MS;
}

/* What goes to the same end arrives in order. */
static void
post (int to, const struct poison_message *message)
{
  struct letter *letter = world.wire;

  while (letter->due_ns != 0)
    letter++;
  CU_ASSERT_TRUE_FATAL (letter < world.wire + WIRE);
  world.last_due[to] = MAX (world.last_due[to], in_ms (4));
  *letter = (struct letter){ *message, world.last_due[to], to, ++world.order };
}

static void
owner_send (void *data, uint64_t gateway, const struct poison_message *message)
{
  for (int i = 0; i < GATEWAYS; i++)
    if (world.gateways[i].gate.gateway_id == gateway)
      post (PARTITIONS + i, message);
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
gate_partition (void *data, unsigned slot,
                const struct poison_request_fingerprint *fingerprint)
{
  return slot + 1;
}

static bool
gate_same_host (void *data, uint64_t partition)
{
  return data == &world.gateways[0] && partition == 1;
}

static void
gate_send_to (void *data, uint64_t partition,
              const struct poison_message *message)
{
  struct partition *to = &world.partitions[partition - 1];
  int from = (int)((struct gateway *)data - world.gateways);
  int64_t *cut_ns = &world.cut_ns[from][partition - 1];

  /* What is sent on a cut connection is lost; a new one is synced. */
  if (*cut_ns <= world.clock.now_ns && rng_below (&world.rng, CUT_EVERY) == 0)
    {
      *cut_ns = in_ms (CUT_MS);
      if (world.mutant != MUTANT_NO_SYNC)
        to->sync_ns[from] = *cut_ns;
    }
  if (to->alive && *cut_ns <= world.clock.now_ns)
    post ((int)partition - 1, message);
}

static void
gate_decided (void *data, struct poison_run *run,
              enum poison_decision decision, int64_t retry_after_ns)
{
  struct request *request = LIST_ENTRY (run, struct request, run);

  if (decision == POISON_DECISION_RUN || decision == POISON_DECISION_RUN_ALONE)
    request->end_ns = in_ms (request->body == 0 ? KILL_MS : RUN_MS);
  else
    request->end_ns = -1;
  world.refused += decision == POISON_DECISION_REFUSE && request->body > 0;
}

static const struct poison_gateway_ops gate_ops
    = { gate_partition, gate_same_host, gate_send_to, gate_decided };

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
  partition->revision = fake_kv_revision (&world.kv, key);
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
    partition->sync_ns[i]
        = world.mutant == MUTANT_NO_SYNC ? CLOCK_NEVER : in_ms (SYNC_MS);
}

/* A write under way when its owner dies takes effect or not. */
static void
owner_kill (struct partition *partition)
{
  if (!partition->alive)
    return;
  fake_kv_client_kill (&partition->clients[partition->starts - 1]);
  poison_shard_finish (&partition->shard);
  partition->alive = false;
  partition->back_ns = world.clock.now_ns + FAILOVER_MS * NS_PER_MS;
  for (int i = 0; i < WIRE; i++)
    if (world.wire[i].to == partition - world.partitions)
      world.wire[i].due_ns = 0;
}

static void
gateway_start (struct gateway *gateway)
{
  memset (gateway, 0, sizeof *gateway);
  poison_gateway_init (&gateway->gate, ++world.last_gateway, POISON_SLOT_COUNT,
                       false, &world.clock.clock, &gate_ops, gateway);
}

static void
gateway_kill (struct gateway *gateway)
{
  int first = (int)(gateway - world.gateways) * RUNS;

  for (int i = 0; i < RUNS; i++)
    if (gateway->requests[i].used && gateway->requests[i].end_ns > 0
        && gateway->requests[i].body == 0)
      world.orphans[first + i] = gateway->requests[i];
  for (int p = 0; p < PARTITIONS; p++)
    {
      world.partitions[p].lost_gateway = gateway->gate.gateway_id;
      world.partitions[p].lost_ns = in_ms (LOST_MS);
    }
  poison_gateway_finish (&gateway->gate);
  gateway_start (gateway);
}

static void
step_wire (void)
{
  for (;;)
    {
      struct letter *first = NULL;
      struct letter letter;

      for (int i = 0; i < WIRE; i++)
        if (world.wire[i].due_ns != 0
            && world.wire[i].due_ns <= world.clock.now_ns
            && (first == NULL || world.wire[i].order < first->order))
          first = &world.wire[i];
      if (first == NULL)
        return;
      letter = *first;
      first->due_ns = 0;
      if (letter.to >= PARTITIONS)
        poison_gateway_receive (&world.gateways[letter.to - PARTITIONS].gate,
                                &letter.message);
      else if (world.partitions[letter.to].alive)
        poison_shard_receive (&world.partitions[letter.to].shard,
                              (unsigned)letter.to, &letter.message);
    }
}

static void
partition_lose_gateway (struct partition *partition)
{
  struct poison_message message = { .gateway = partition->lost_gateway };
  unsigned number = (unsigned)(partition - world.partitions);

  partition->lost_gateway = 0;
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
step_partition (struct partition *partition)
{
  if (!partition->alive && partition->back_ns <= world.clock.now_ns)
    owner_start (partition);
  if (!partition->alive)
    return;
  for (int i = 0; i < GATEWAYS; i++)
    if (partition->sync_ns[i] <= world.clock.now_ns)
      {
        partition->sync_ns[i] = CLOCK_NEVER;
        poison_gateway_sync_partition (&world.gateways[i].gate,
                                       (uint64_t)(partition - world.partitions)
                                           + 1);
      }
  if (partition->lost_gateway != 0 && partition->lost_ns <= world.clock.now_ns)
    partition_lose_gateway (partition);
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
  poison_gateway_run_begin (&gateway->gate, &request->run);
}

static void
request_finish (struct gateway *gateway, struct request *request)
{
  enum poison_outcome end = POISON_OUTCOME_INCONCLUSIVE;

  if (request->end_ns > 0)
    {
      end = request->body == 0 ? POISON_OUTCOME_CRASHED
                               : POISON_OUTCOME_COMPLETED;
      if (request->body == 0)
        world.died[request->epoch]++;
      world.well[request->body]++;
    }
  poison_gateway_run_end (&gateway->gate, &request->run, end);
  request->used = false;
}

static void
step_gateway (struct gateway *gateway)
{
  poison_gateway_tick (&gateway->gate);
  for (int i = 0; i < RUNS; i++)
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
step_faults (int ms)
{
  uint64_t fault = rng_below (&world.rng, 5);

  if (ms % FAULT_EVERY_MS != FAULT_EVERY_MS / 2)
    return;
  world.kv.faults.down = fault == 0;
  if (fault == 1 || fault == 2)
    owner_kill (&world.partitions[fault - 1]);
  if (fault == 3)
    gateway_kill (&world.gateways[rng_below (&world.rng, GATEWAYS)]);
  if (fault == 4)
    {
      /* The host of both. */
      gateway_kill (&world.gateways[0]);
      owner_kill (&world.partitions[0]);
    }
}

static void
round_stop (void)
{
  for (int i = 0; i < GATEWAYS; i++)
    poison_gateway_finish (&world.gateways[i].gate);
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
  world.kv.faults.lost_before = 0.1;
  world.kv.faults.lost_after = 0.1;
  world.kv.faults.late = 0.1;
  world.kv.faults.late_ns = 300 * NS_PER_MS;
  for (int i = 0; i < GATEWAYS; i++)
    gateway_start (&world.gateways[i]);
  for (int p = 0; p < PARTITIONS; p++)
    owner_start (&world.partitions[p]);
  for (int ms = 0; ms < ROUND_MS; ms += STEP_MS)
    {
      step_faults (ms);
      fake_kv_step (&world.kv);
      step_wire ();
      for (int p = 0; p < PARTITIONS; p++)
        step_partition (&world.partitions[p]);
      for (int i = 0; i < GATEWAYS; i++)
        step_gateway (&world.gateways[i]);
      for (int i = 0; i < GATEWAYS * RUNS; i++)
        if (world.orphans[i].end_ns != 0
            && world.orphans[i].end_ns <= world.clock.now_ns)
          {
            world.orphans[i].end_ns = 0;
            world.died[world.orphans[i].epoch]++;
          }
      clock_fake_advance (&world.clock, STEP_MS * NS_PER_MS);
    }
  round_stop ();
}

/* The most backend servers that one request has cost. */
static int
most_died (void)
{
  int most = 0;

  for (int i = 0; i < EPOCHS; i++)
    most = MAX (most, world.died[i]);
  return most;
}

static void
test_at_most_two (void)
{
  int died = 0;
  int refused = 0;
  int well = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      round_run (seed, MUTANT_NONE);
      if (most_died () > 2)
        printf ("  seed %d: %d lost\n", (int)seed, most_died ());
      CU_ASSERT_TRUE (most_died () <= 2);
      for (int i = 0; i < EPOCHS; i++)
        died += world.died[i];
      for (int body = 1; body < BODIES; body++)
        {
          CU_ASSERT_TRUE (world.well[body] > 0);
          well += world.well[body];
        }
      refused += world.refused;
    }
  printf ("  %d requests that kill cost %d backend servers; others ended "
          "well %d, refused %d\n",
          SEEDS * EPOCHS, died, well, refused);
}

/* Each mechanism is needed: without it some round loses more. */
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
          most = most_died ();
        }
      printf ("  mutant %d, seed %d: %d lost\n", mutant, (int)seed, most);
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
