#include "fake-kv.h"
#include "onceflush.h"

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* KV writes, bytes and latency of at-most-once records at three rates, and
 * the recovery time after an owner's death; all times by the fake clock. */

enum
{
  SHARDS = 8,
  PARTITIONS = 256,
  SECONDS = 60,
  WRITES_PER_S = 40, /* of all shards together */
  SEED = 1
};

#define RUN_NS (50 * NS_PER_MS)
#define SUSPECT_NS NS_PER_S /* until membership knows of a death */

struct shard
{
  struct owner owner; /* first, as the callbacks need it */
  struct once once;
  struct fake_kv_client client;
  bool alive;
};

struct run
{
  int64_t begun_ns;
  int64_t end_ns; /* 0: not granted */
};

static struct clock_fake fake_clock;
static struct fake_kv fake;
static struct rng rng;
static struct shard shards[SHARDS];
static uint64_t nodes[SHARDS];
static unsigned node_count;
static unsigned node_shard[SHARDS];
static GArray *runs;   /* struct run, by request - 1 */
static GQueue *to_end; /* requests in the order of their ends */
static GArray *waits;  /* int64_t, from ask to grant */
static unsigned refused;

static const struct owner_settings owner_settings = {
  .partition_count = PARTITIONS,
  .lease_ttl_ns = 5 * NS_PER_S,
  .lease_margin_ns = 500 * NS_PER_MS,
  .keepalive_interval_ns = 1500 * NS_PER_MS,
  .poll_interval_ns = 5 * NS_PER_S,
  .claim_poll_interval_ns = 300 * NS_PER_MS,
  .rebalance_delay_ns = 2 * NS_PER_S,
};

static const struct once_settings once_settings = {
  .write_interval_ns = SHARDS * NS_PER_S / WRITES_PER_S,
  .outcome_delay_ns = NS_PER_S,
  .retention_ns = 3600 * NS_PER_S,
  .run_max_ns = 600 * NS_PER_S,
  .tail_window_ns = 30 * NS_PER_S,
  .tail_bytes = 2048,
  .segment_max_bytes = 32768,
  .record_max = 1000000,
  .parallel_loads_max = 4,
};

static void
on_gained (struct owner *owner, unsigned partition)
{
  once_partition_gained (&((struct shard *)(void *)owner)->once, partition);
}

static void
on_lost (struct owner *owner, unsigned partition)
{
  once_partition_lost (&((struct shard *)(void *)owner)->once, partition);
}

static const struct owner_ops owner_ops = { on_gained, on_lost };

static void
on_answer (struct once *once, const struct once_reply *answer)
{
  struct run *run = &g_array_index (runs, struct run, answer->request_id - 1);
  int64_t wait = fake_clock.now_ns - run->begun_ns;

  if (answer->result != ONCE_GRANTED)
    {
      refused++;
      return;
    }
  g_array_append_val (waits, wait);
  run->end_ns = fake_clock.now_ns + RUN_NS;
  g_queue_push_tail (to_end, GUINT_TO_POINTER (answer->request_id));
}

static void
on_recorded (struct once *once, uint64_t gateway, uint64_t request,
             enum status status)
{
}

static bool
on_gateway_live (struct once *once, uint64_t gateway)
{
  return true;
}

static const struct once_ops once_ops
    = { on_answer, on_recorded, on_gateway_live };

static void
nodes_tell (void)
{
  node_count = 0;
  for (unsigned i = 0; i < SHARDS; i++)
    if (shards[i].alive)
      {
        node_shard[node_count] = i;
        nodes[node_count++] = shards[i].owner.node;
      }
  for (unsigned i = 0; i < SHARDS; i++)
    if (shards[i].alive)
      owner_set_live_nodes (&shards[i].owner, nodes, node_count);
}

static void
setup (void)
{
  clock_fake_init (&fake_clock, NS_PER_S);
  fake_clock.wall.tv_sec = 1000000;
  fake_kv_init (&fake, &fake_clock.clock, SEED);
  rng_init (&rng, SEED);
  runs = g_array_new (FALSE, TRUE, sizeof (struct run));
  waits = g_array_new (FALSE, FALSE, sizeof (int64_t));
  to_end = g_queue_new ();
  refused = 0;
  for (unsigned i = 0; i < SHARDS; i++)
    {
      struct shard *shard = &shards[i];

      shard->alive = true;
      fake_kv_client_init (&shard->client, &fake);
      owner_init (&shard->owner, &owner_settings, &owner_ops, 100 + i,
                  &shard->client.kv, &fake_clock.clock, &rng);
      once_init (&shard->once, &once_settings, &once_ops, &shard->owner,
                 &shard->client.kv, &fake_clock.clock, &rng);
    }
  nodes_tell ();
}

static void
shard_kill (struct shard *shard)
{
  if (!shard->alive)
    return;
  shard->alive = false;
  fake_kv_client_finish (&shard->client);
  once_finish (&shard->once);
  owner_finish (&shard->owner);
}

static void
finish (void)
{
  for (unsigned i = 0; i < SHARDS; i++)
    shard_kill (&shards[i]);
  fake_kv_finish (&fake);
  g_array_unref (runs);
  g_array_unref (waits);
  g_queue_free (to_end);
}

static void
request_send (uint64_t id, bool ends)
{
  char key[32];
  struct once_request request = { "organisation", key, id, 1 };
  struct once_outcome outcome = { .status = 200, .has_body = true };
  struct once_digest fingerprint = once_digest_of (&id, sizeof id);
  unsigned partition;
  struct once *once;

  snprintf (key, sizeof key, "dispatch-order-%llu", (unsigned long long)id);
  partition = owner_partition_of_key (request.organisation, key, PARTITIONS);
  once = &shards[node_shard[owner_preferred_index (nodes, node_count,
                                                   partition)]]
              .once;
  outcome.digest = fingerprint;
  outcome.body = (const uint8_t *)"{\"order\":\"accepted\"}";
  outcome.body_size = 20;
  if (ends)
    once_set_outcome (once, &request, &outcome);
  else
    once_acquire (once, &request, &fingerprint,
                  fake_clock.now_ns + 2 * NS_PER_S);
}

static void
step (void)
{
  clock_fake_advance (&fake_clock, NS_PER_MS);
  fake_kv_step (&fake);
  for (unsigned i = 0; i < SHARDS; i++)
    if (shards[i].alive)
      {
        owner_tick (&shards[i].owner);
        once_tick (&shards[i].once);
      }
  while (!g_queue_is_empty (to_end))
    {
      uint64_t id = GPOINTER_TO_UINT (g_queue_peek_head (to_end));

      if (g_array_index (runs, struct run, id - 1).end_ns > fake_clock.now_ns)
        return;
      g_queue_pop_head (to_end);
      request_send (id, true);
    }
}

static void
load_run (unsigned rate, unsigned seconds)
{
  double due = 0;

  for (unsigned ms = 0; ms < seconds * 1000; ms++)
    {
      for (due += rate / 1000.0; due >= 1; due -= 1)
        {
          struct run run = { fake_clock.now_ns, 0 };

          g_array_append_val (runs, run);
          request_send (runs->len, false);
        }
      step ();
    }
}

static int
compare_times (const void *a, const void *b)
{
  int64_t first = *(const int64_t *)a, second = *(const int64_t *)b;

  return first < second ? -1 : first > second;
}

static double
wait_ms (double share)
{
  guint at = (guint)(share * (double)(waits->len - 1));

  return (double)g_array_index (waits, int64_t, at) / (double)NS_PER_MS;
}

static uint64_t
bytes_written (void)
{
  uint64_t sum = 0;

  for (unsigned i = 0; i < SHARDS; i++)
    sum += shards[i].once.counters.written_bytes;
  return sum;
}

static void
add_bytes (void *data, const struct kv_reply *reply)
{
  size_t *sum = data;

  for (size_t i = 0; i < reply->item_count; i++)
    *sum += strlen (reply->items[i].key) + strlen (reply->items[i].value);
}

static size_t
bytes_stored (void)
{
  struct fake_kv_client client;
  size_t sum = 0;

  fake_kv_client_init (&client, &fake);
  client.kv.ops->range (&client.kv, "once/", add_bytes, &sum);
  for (int i = 0; i < 10; i++)
    step ();
  return sum;
}

/* Whether each partition has an owner that has loaded its records. */
static bool
all_usable (void)
{
  unsigned usable = 0;

  for (unsigned i = 0; i < SHARDS; i++)
    for (unsigned p = 0; shards[i].alive && p < PARTITIONS; p++)
      usable += onceflush_partition_is_usable (&shards[i].once,
                                               &shards[i].once.partitions[p]);
  return usable == PARTITIONS;
}

static void
bench_rate (unsigned rate)
{
  uint64_t writes, calls, bytes;
  double requests;

  setup ();
  load_run (0, 10);
  writes = fake.call_counts[FAKE_KV_TXN];
  calls = fake_kv_call_count (&fake);
  bytes = bytes_written ();
  load_run (rate, SECONDS);
  requests = (double)runs->len;
  qsort (waits->data, waits->len, sizeof (int64_t), compare_times);
  printf ("%5u requests/s: %7.1f KV writes per 1,000, %5.1f writes/s, %5.1f "
          "calls/s, %6.0f bytes written per request, grant after p50 %.0f "
          "ms, p99 %.0f ms, %u not granted\n",
          rate,
          (double)(fake.call_counts[FAKE_KV_TXN] - writes) / requests * 1000,
          (double)(fake.call_counts[FAKE_KV_TXN] - writes) / SECONDS,
          (double)(fake_kv_call_count (&fake) - calls) / SECONDS,
          (double)(bytes_written () - bytes) / requests, wait_ms (0.5),
          wait_ms (0.99), refused);
  finish ();
}

/* What one record takes in its owner and in the KV service. */
static void
bench_memory (unsigned rate, unsigned seconds)
{
  size_t full, stored;
  size_t records = 0;

  setup ();
  load_run (0, 10);
  load_run (rate, seconds);
  load_run (0, 5);
  stored = bytes_stored ();
  for (unsigned i = 0; i < SHARDS; i++)
    records += shards[i].once.record_count;
  full = mallinfo2 ().uordblks;
  for (unsigned i = 0; i < SHARDS; i++)
    shard_kill (&shards[i]);
  printf ("%zu records: %.0f bytes each in the owner, %.0f in the KV service; "
          "body of 20 bytes kept\n",
          records, (double)(full - mallinfo2 ().uordblks) / (double)records,
          (double)stored / (double)records);
  finish ();
}

/* From the death of a shard, OFFSET_NS after the load, until others serve all
 * of its partitions. */
static int64_t
recovery (unsigned rate, unsigned seconds, int64_t offset_ns)
{
  int64_t died;

  setup ();
  load_run (0, 10);
  load_run (rate, seconds);
  for (died = fake_clock.now_ns + offset_ns; fake_clock.now_ns < died;)
    step ();
  shard_kill (&shards[0]);
  g_queue_clear (to_end);
  while (fake_clock.now_ns < died + SUSPECT_NS)
    step ();
  nodes_tell ();
  while (!all_usable ())
    step ();
  finish ();
  return fake_clock.now_ns - died;
}

static void
bench_recovery (unsigned rate, unsigned seconds)
{
  int64_t most = 0, least = INT64_MAX;

  for (int i = 0; i < 15; i++)
    {
      int64_t span = recovery (rate, seconds, (int64_t)i * 100 * NS_PER_MS);

      most = MAX (most, span);
      least = MIN (least, span);
    }
  printf ("recovery after %.2f to %.2f s over 15 moments of death, lease %.0f "
          "s, membership told after %.0f s, %u records\n",
          (double)least / (double)NS_PER_S, (double)most / (double)NS_PER_S,
          (double)owner_settings.lease_ttl_ns / (double)NS_PER_S,
          (double)SUSPECT_NS / (double)NS_PER_S, rate * seconds);
}

int
main (void)
{
  printf ("seed %d, %d shards, %d partitions, %d writes/s allowed\n", SEED,
          SHARDS, PARTITIONS, WRITES_PER_S);
  bench_rate (10);
  bench_rate (100);
  bench_rate (1000);
  bench_memory (1000, 100);
  bench_recovery (1000, 20);
  return 0;
}
