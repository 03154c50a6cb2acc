#include "fake-kv.h"
#include "once.h"
#include "oncepartition.h"
#include "unit.h"

#include <stdio.h>
#include <string.h>

enum
{
  KEYS = 2100,
  KEYS_AT_A_TIME = 100,
  STEPS = 20000,
  GATEWAYS = 3 /* The last gateway is not live. */
};

static struct clock_fake fake_clock;
static struct rng rng;
static struct fake_kv fake;
static struct fake_kv_client client;
static struct owner owner;
static struct once once;
static uint64_t node;
static struct once_reply last_once_reply;
static uint64_t replayed_outcome;
static unsigned reply_count;
static enum status last_recorded_status;
static unsigned recorded_count;

static const struct owner_settings owner_settings = {
  .partition_count = 4,
  .lease_ttl_ns = 3 * NS_PER_S,
  .lease_margin_ns = 100 * NS_PER_MS,
  .keepalive_interval_ns = NS_PER_S,
  .poll_interval_ns = 10 * NS_PER_S,
  .claim_poll_interval_ns = 100 * NS_PER_MS,
  .rebalance_delay_ns = NS_PER_S,
};

static struct once_settings settings;

static void
on_gained (struct owner *from, unsigned partition)
{
  once_partition_gained (&once, partition);
}

static void
on_lost (struct owner *from, unsigned partition)
{
  once_partition_lost (&once, partition);
}

static const struct owner_ops owner_ops = { on_gained, on_lost };

static void
on_once_reply (struct once *from, const struct once_reply *reply)
{
  last_once_reply = *reply;
  if (reply->result == ONCE_REPLAYED)
    memcpy (&replayed_outcome, reply->outcome.body, sizeof replayed_outcome);
  reply_count++;
}

static void
on_recorded (struct once *from, uint64_t gateway, uint64_t request,
             enum status status)
{
  last_recorded_status = status;
  recorded_count++;
}

static bool
on_gateway_live (struct once *from, uint64_t gateway)
{
  return gateway != GATEWAYS;
}

static const struct once_ops once_ops
    = { on_once_reply, on_recorded, on_gateway_live };

static void
run (int64_t ns, int64_t step)
{
  for (int64_t set_outcome = fake_clock.now_ns + ns;
       fake_clock.now_ns < set_outcome;)
    {
      clock_fake_advance (&fake_clock, step);
      fake_kv_step (&fake);
      owner_tick (&owner);
      once_tick (&once);
      CU_ASSERT_TRUE (once_next_tick_ns (&once) >= fake_clock.now_ns);
    }
}

static void
shard_start (void)
{
  node++;
  fake_kv_client_init (&client, &fake);
  owner_init (&owner, &owner_settings, &owner_ops, node, &client.kv,
              &fake_clock.clock, &rng);
  once_init (&once, &settings, &once_ops, &owner, &client.kv,
             &fake_clock.clock, &rng);
  owner_set_live_nodes (&owner, &node, 1);
}

static void
shard_end (void)
{
  fake_kv_client_finish (&client);
  once_finish (&once);
  owner_finish (&owner);
}

static void
shard_restart (void)
{
  shard_end ();
  fake_kv_lease_expire (&fake, 0);
  shard_start ();
  run (500 * NS_PER_MS, NS_PER_MS);
}

static void
setup (uint64_t seed)
{
  settings = (struct once_settings){
    .write_interval_ns = NS_PER_MS,
    .outcome_delay_ns = NS_PER_MS,
    .retention_ns = 1000 * NS_PER_S,
    .run_max_ns = 900 * NS_PER_S,
    .tail_window_ns = 5 * NS_PER_S,
    .tail_bytes = 1024,
    .segment_max_bytes = 8192,
    .record_max = 100000,
    .parallel_loads_max = 2,
  };
  clock_fake_init (&fake_clock, NS_PER_S);
  fake_clock.wall.tv_sec = 1000000;
  rng_init (&rng, seed);
  fake_kv_init (&fake, &fake_clock.clock, seed);
  shard_start ();
  run (500 * NS_PER_MS, NS_PER_MS);
}

static void
finish (void)
{
  shard_end ();
  fake_kv_finish (&fake);
}

static char key_text[32];
static char organisation_text[16];

static struct once_request
request_make (unsigned key, uint64_t id)
{
  snprintf (organisation_text, sizeof organisation_text, "o%u", key % 2);
  snprintf (key_text, sizeof key_text, "k%u", key / 2);
  return (struct once_request){ organisation_text, key_text, id,
                                1 + id % GATEWAYS };
}

static enum once_result
acquire (unsigned key, uint64_t id, unsigned body)
{
  struct once_request request = request_make (key, id);
  struct once_digest fingerprint = once_digest_of (&body, sizeof body);
  unsigned before = reply_count;

  once_acquire (&once, &request, &fingerprint,
                fake_clock.now_ns + 500 * NS_PER_MS);
  for (int i = 0; i < 1000 && reply_count == before; i++)
    run (NS_PER_MS, NS_PER_MS);
  CU_ASSERT_EQUAL (reply_count, before + 1);
  CU_ASSERT_EQUAL (last_once_reply.request_id, id);
  return last_once_reply.result;
}

static enum status
end (unsigned key, uint64_t id, bool known)
{
  struct once_request request = request_make (key, id);
  struct once_outcome outcome = { .status = ONCE_STATUS_UNKNOWN };
  unsigned before = recorded_count;

  if (known)
    outcome = (struct once_outcome){ 200, once_digest_of (&id, sizeof id),
                                     true, (const uint8_t *)&id, sizeof id };
  once_set_outcome (&once, &request, &outcome);
  for (int i = 0; i < 1000 && recorded_count == before; i++)
    run (NS_PER_MS, NS_PER_MS);
  return last_recorded_status;
}

static enum status
release (unsigned key, uint64_t id)
{
  struct once_request request = request_make (key, id);
  unsigned before = recorded_count;

  once_release (&once, &request);
  for (int i = 0; i < 1000 && recorded_count == before; i++)
    run (NS_PER_MS, NS_PER_MS);
  return last_recorded_status;
}

/* Reference implementation with one entry per key. */
struct naive
{
  enum
  {
    NAIVE_NONE,
    NAIVE_GRANTED,
    NAIVE_FINISHED,
    NAIVE_RELEASED
  } state;
  uint64_t request;
  unsigned body;
  bool known;
};

static enum once_result
naive_acquire (struct naive *naive, uint64_t id, unsigned body)
{
  if (naive->state == NAIVE_NONE || naive->state == NAIVE_RELEASED)
    {
      *naive = (struct naive){ NAIVE_GRANTED, id, body, false };
      return ONCE_GRANTED;
    }
  if (naive->body != body)
    return ONCE_CONFLICT;
  if (naive->state == NAIVE_FINISHED)
    return naive->known ? ONCE_REPLAYED : ONCE_MAY_HAVE_RUN;
  if (naive->request == id)
    return ONCE_GRANTED;
  return 1 + naive->request % GATEWAYS == GATEWAYS ? ONCE_MAY_HAVE_RUN
                                                   : ONCE_IN_PROGRESS;
}

static enum status
naive_set_outcome (struct naive *naive, uint64_t id, bool known)
{
  if (naive->request != id || naive->state == NAIVE_RELEASED
      || naive->state == NAIVE_NONE)
    return STATUS_STALE;
  if (naive->state == NAIVE_GRANTED)
    {
      naive->state = NAIVE_FINISHED;
      naive->known = known;
    }
  return STATUS_OK;
}

static enum status
naive_release (struct naive *naive, uint64_t id)
{
  if (naive->request != id || naive->state == NAIVE_FINISHED
      || naive->state == NAIVE_NONE)
    return STATUS_STALE;
  naive->state = NAIVE_RELEASED;
  return STATUS_OK;
}

static unsigned
segment_count (void)
{
  unsigned count = 0;

  for (unsigned i = 0; i < once.partition_count; i++)
    for (struct list *at = once.partitions[i].segments.next;
         at != &once.partitions[i].segments; at = at->next)
      count++;
  return count;
}

/* Make one random call to both implementations.
 *
 * @return Whether their results are the same. */
static bool
differential_step (struct naive *naive, unsigned key, uint64_t *last_id)
{
  /* Half of the calls use the request that got the last grant for the key, the
   * others a new request. */
  uint64_t id = rng_below (&rng, 2) == 0 ? naive->request : ++*last_id;
  unsigned body = rng_below (&rng, 10) == 0;
  bool known = rng_below (&rng, 4) != 0;
  enum once_result result;

  if (id == 0)
    id = ++*last_id;
  switch (rng_below (&rng, 4))
    {
    case 0:
      return naive_set_outcome (naive, id, known) == end (key, id, known);
    case 1:
      return naive_release (naive, id) == release (key, id);
    default:
      result = naive_acquire (naive, id, body);
      return result == acquire (key, id, body)
             && (result != ONCE_REPLAYED
                 || replayed_outcome == naive->request);
    }
}

static void
test_same_as_a_naive_list (void)
{
  static struct naive naive[KEYS];
  uint64_t last_id = 0;
  unsigned wrong = 0, restarts = 0;

  setup (31);
  memset (naive, 0, sizeof naive);
  for (int i = 0; i < STEPS && wrong == 0; i++)
    {
      unsigned key
          = (unsigned)rng_below (&rng, KEYS_AT_A_TIME) + (unsigned)i / 10;

      if (rng_below (&rng, 300) == 0)
        {
          shard_restart ();
          restarts++;
        }
      wrong += !differential_step (&naive[key], key, &last_id);
    }
  printf ("# seed 31: %d steps, %u restarts, %u replies, %u confirmations, "
          "%u writes, %u segments\n",
          STEPS, restarts, reply_count, recorded_count,
          (unsigned)fake.call_counts[FAKE_KV_TXN], segment_count ());
  CU_ASSERT_EQUAL (wrong, 0);
  CU_ASSERT_TRUE (restarts > 30);
  /* Any 8 adjacent segments together exceed 8 KB. 2,100 records of 160 bytes
   * fill 41 times 8 KB; each of the 4 partitions may have some segments more
   * that are too few to merge. */
  CU_ASSERT_TRUE (segment_count () < 8 * 41 + 4 * ONCE_MERGE_SEGMENTS);
  finish ();
}

static void
test_retention (void)
{
  setup (32);
  for (unsigned key = 0; key < 200; key++)
    {
      CU_ASSERT_EQUAL (acquire (key, key + 1, 0), ONCE_GRANTED);
      CU_ASSERT_EQUAL (end (key, key + 1, true), STATUS_OK);
    }
  run (900 * NS_PER_S, 500 * NS_PER_MS);
  CU_ASSERT_EQUAL (once.record_count, 200);
  CU_ASSERT_EQUAL (acquire (7, 1000, 0), ONCE_REPLAYED);
  run (200 * NS_PER_S, 500 * NS_PER_MS);
  CU_ASSERT_EQUAL (once.record_count, 0);
  CU_ASSERT_TRUE (segment_count () <= owner_settings.partition_count);
  CU_ASSERT_EQUAL (acquire (7, 1001, 0), ONCE_GRANTED);
  finish ();
}

/* Segments are no larger than the values that the KV service accepts. A
 * record that is larger by itself, or exceeds record_max, is refused, and the
 * reply says correctly that no earlier request with the key ran. */
static void
test_limits (void)
{
  setup (33);
  fake.faults.value_max_bytes = 1500;
  for (unsigned key = 0; key < 100; key++)
    CU_ASSERT_EQUAL (acquire (key, key + 1, 0), ONCE_GRANTED);
  shard_restart ();
  for (unsigned key = 0; key < 100; key++)
    CU_ASSERT_NOT_EQUAL (acquire (key, 200, 0), ONCE_GRANTED);
  once.settings.record_max = 100;
  CU_ASSERT_EQUAL (acquire (100, 300, 0), ONCE_REFUSED);
  CU_ASSERT_FALSE (last_once_reply.key_unknown);
  once.settings.record_max = 1000;
  fake.faults.value_max_bytes = 100;
  CU_ASSERT_EQUAL (acquire (100, 301, 0), ONCE_REFUSED);
  CU_ASSERT_FALSE (last_once_reply.key_unknown);
  fake.faults.value_max_bytes = KV_VALUE_MAX;
  CU_ASSERT_EQUAL (acquire (100, 302, 0), ONCE_GRANTED);
  finish ();
}

/* After a lost reply, the marker of the write shows whether it took effect. */
static void
test_lost_reply_is_read_back (void)
{
  setup (35);
  fake.faults.txns_lost_after_effect = 1;
  CU_ASSERT_EQUAL (acquire (1, 1, 0), ONCE_GRANTED);
  CU_ASSERT_EQUAL (once.commit.recovered_count, 1);
  fake.faults.txns_lost_before_effect = 1;
  CU_ASSERT_EQUAL (acquire (2, 2, 0), ONCE_GRANTED);
  CU_ASSERT_EQUAL (once.commit.recovered_count, 1);
  CU_ASSERT_EQUAL (once.commit.lost_reply_count, 2);
  finish ();
}

/* Parsing a formatted line gives the same record. Parsing a truncated or
 * changed line either fails or gives some record. */
static void
test_lines (void)
{
  rng_init (&rng, 36);
  for (int i = 0; i < 3000; i++)
    {
      struct once_digest key = once_digest_of (&i, sizeof i);
      struct oncerecord *record = oncerecord_new (&key);
      struct oncerecord *read;
      GString *line = g_string_new (NULL);
      GString *again = g_string_new (NULL);
      struct once_outcome outcome
          = { 200 + (unsigned)i % 300, key, i % 2 == 0, key.bytes, 16 };

      record->state = (uint8_t)(ONCERECORD_GRANTED + i % 3);
      record->request_id = rng_next (&rng);
      record->changed_s = (uint32_t)rng_next (&rng);
      if (record->state == ONCERECORD_FINISHED)
        oncerecord_set_outcome (record, &outcome);
      oncerecord_format (record, line);
      read = oncerecord_parse (line->str, line->len - 1);
      CU_ASSERT_PTR_NOT_NULL_FATAL (read);
      oncerecord_format (read, again);
      CU_ASSERT_STRING_EQUAL (line->str, again->str);
      oncerecord_free (read);
      line->str[rng_below (&rng, line->len)] = (char)rng_next (&rng);
      read = oncerecord_parse (line->str, rng_below (&rng, line->len));
      if (read != NULL)
        oncerecord_free (read);
      oncerecord_free (record);
      g_string_free (line, TRUE);
      g_string_free (again, TRUE);
    }
}

static const struct unit_case cases[] = {
  { "same-as-a-naive-list", test_same_as_a_naive_list },
  { "retention", test_retention },
  { "limits", test_limits },
  { "lost-reply-is-read-back", test_lost_reply_is_read_back },
  { "lines", test_lines },
};

int
main (void)
{
  return unit_run ("once", cases, sizeof cases / sizeof *cases);
}
