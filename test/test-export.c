#include "export.h"
#include "exportqueue.h"
#include "rng.h"
#include "unit.h"

#include <math.h>
#include <string.h>

enum
{
  STEPS = 10000,
  TOKENS_PER_BLOCK = 2000,
  COPY_BYTES = 1000000,
  COPIES = 64,
  QUEUE_LIMIT = 32
};

struct fixture
{
  struct clock_fake clock;
  struct rng rng;
  struct export_policy policy;
  struct linkbudget link;
};

static void
fixture_init (struct fixture *s, uint64_t seed)
{
  clock_fake_init (&s->clock, NS_PER_S);
  rng_init (&s->rng, seed);
  export_init (&s->policy, &s->clock.clock, &export_settings_default);
  linkbudget_init (&s->link, &s->clock.clock, COPY_BYTES,
                   INT64_C (4) * COPY_BYTES, 0);
}

/* Compares the return probability with its definition: of the requests that
 * have not returned within the idle time, the share that returns within the
 * horizon after it. No time passes, so all requests have the same weight. Idle
 * time and horizon end at bucket ends, so nothing is interpolated. */
static void
test_return_probability_against_counts (void)
{
  const double prior = export_settings_default.prior_requests;
  unsigned returns[2][EXPORT_RETURN_BUCKETS] = { { 0 } };
  unsigned requests[2] = { 0 };
  struct fixture s;

  fixture_init (&s, 91);
  for (int step = 0; step < STEPS; step++)
    {
      uint32_t kind = (uint32_t)rng_below (&s.rng, 2);
      int bucket
          = (int)rng_below (&s.rng, kind == 0 ? 8 : EXPORT_RETURN_BUCKETS);
      bool returned = rng_below (&s.rng, 3) > 0;
      int from = 1 + (int)rng_below (&s.rng, EXPORT_RETURN_BUCKETS - 2);
      int to = from
               + (int)rng_below (&s.rng,
                                 (uint64_t)(EXPORT_RETURN_BUCKETS - from));
      double share[2], expected;

      export_count_request (&s.policy, "o", kind,
                            returned ? (int64_t)exp2 (bucket) * NS_PER_S : -1);
      requests[kind]++;
      returns[kind][bucket] += returned;
      for (int end = 0; end < 2; end++)
        {
          double own_count = 0, all_share = 1;

          for (int i = 0; i < (end == 0 ? from : to); i++)
            {
              own_count += returns[kind][i];
              all_share += returns[0][i] + returns[1][i];
            }
          all_share /= requests[0] + requests[1] + 2;
          /* With one organisation, the counts of the kind over all
           * organisations are its own, so the prior is applied twice. */
          all_share
              = (own_count + prior * all_share) / (requests[kind] + prior);
          share[end]
              = (own_count + prior * all_share) / (requests[kind] + prior);
        }
      expected = (share[1] - share[0]) / (1 - share[0]);
      CU_ASSERT_DOUBLE_EQUAL (
          export_return_probability (
              &s.policy, "o", kind, (int64_t)exp2 (from) * NS_PER_S,
              (int64_t)(exp2 (to) - exp2 (from)) * NS_PER_S),
          expected, 1e-9);
    }
  export_finish (&s.policy);
}

static void
record_requests (struct fixture *s, const char *organisation, int64_t idle_ns)
{
  for (int i = 0; i < 500; i++)
    export_count_request (&s->policy, organisation, 0, idle_ns);
}

static void
test_tier_follows_interval (void)
{
  struct fixture s;
  struct export_target targets[2] = {
    { .tier = BLOCKCOPY_MEMORY, .may_reserve = true, .free_bytes = 1 << 30 },
    { .tier = BLOCKCOPY_DISK, .may_reserve = true, .free_bytes = 1 << 30 }
  };
  struct export_block block
      = { "quick", 0, 0, TOKENS_PER_BLOCK, COPY_BYTES, 0 };
  struct export_decision decision;

  fixture_init (&s, 92);
  targets[0].link_budget = targets[1].link_budget = &s.link;
  record_requests (&s, "quick", 30 * NS_PER_S);
  record_requests (&s, "late", 10000 * NS_PER_S);
  record_requests (&s, "never", -1);
  export_decide (&s.policy, &block, false, targets, 2, &decision);
  CU_ASSERT_EQUAL (decision.reason, EXPORT_KEPT);
  CU_ASSERT_EQUAL (decision.target_index, 0);
  block.organisation = "late";
  export_decide (&s.policy, &block, false, targets, 2, &decision);
  CU_ASSERT_EQUAL (decision.reason, EXPORT_KEPT);
  CU_ASSERT_EQUAL (decision.target_index, 1);
  block.organisation = "never";
  s.policy.settings.price_s_per_byte = 2e-8;
  export_decide (&s.policy, &block, false, targets, 2, &decision);
  CU_ASSERT_EQUAL (decision.reason, EXPORT_WORTHLESS);
  block.organisation = "quick";
  export_decide (&s.policy, &block, true, targets, 2, &decision);
  CU_ASSERT_EQUAL (decision.reason, EXPORT_HELD);
  targets[0].may_reserve = targets[1].may_reserve = false;
  export_decide (&s.policy, &block, false, targets, 2, &decision);
  CU_ASSERT_EQUAL (decision.reason, EXPORT_FULL);
  export_finish (&s.policy);
}

/* The link's export budget limits how many blocks are exported, whatever
 * their value. */
static void
test_link_budget (void)
{
  struct fixture s;
  struct export_target target = { .tier = BLOCKCOPY_MEMORY,
                                  .may_reserve = true,
                                  .free_bytes = 1 << 30 };
  struct export_block block
      = { "quick", 0, 0, TOKENS_PER_BLOCK, COPY_BYTES, 0 };
  struct export_decision decision;
  int kept = 0;

  fixture_init (&s, 93);
  target.link_budget = &s.link;
  record_requests (&s, "quick", 30 * NS_PER_S);
  linkbudget_take (&s.link, LINKBUDGET_URGENT, INT64_C (4) * COPY_BYTES);
  for (int i = 0; i < 100; i++)
    {
      export_decide (&s.policy, &block, false, &target, 1, &decision);
      kept += decision.reason == EXPORT_KEPT;
      CU_ASSERT_TRUE (decision.reason == EXPORT_KEPT
                      || decision.reason == EXPORT_LINK_BUSY);
    }
  CU_ASSERT_EQUAL (kept, 4);
  export_finish (&s.policy);
}

/* In a full tier the victim is the copy with the least value per byte in a
 * scan, among equal values the one latest in its prompt. Only a block of
 * higher value displaces it. */
static void
test_victim_against_scan (void)
{
  static struct blockentry entries[COPIES];
  static struct blockcopy kept[COPIES];
  const struct blockcopy *copies[COPIES];
  struct blockentry_scope scopes[2] = { 0 };
  struct fixture s;

  fixture_init (&s, 94);
  block_scope_init (&scopes[0].scope, "quick", "m", "1", NULL);
  block_scope_init (&scopes[1].scope, "never", "m", "1", NULL);
  record_requests (&s, "quick", 30 * NS_PER_S);
  record_requests (&s, "never", -1);
  for (int step = 0; step < STEPS / COPIES; step++)
    {
      struct export_target target
          = { 0, BLOCKCOPY_MEMORY, true, 0, &s.link, copies, COPIES };
      struct export_block new_block
          = { "quick", 0, 0, TOKENS_PER_BLOCK, COPY_BYTES, 0 };
      struct export_decision decision;
      double least_value = INFINITY, value;
      int last_position = -1;

      clock_fake_advance (&s.clock, 100 * NS_PER_S);
      for (int i = 0; i < COPIES; i++)
        {
          entries[i].scope = &scopes[rng_below (&s.rng, 2)];
          entries[i].last_used_ns
              = s.clock.now_ns - (int64_t)rng_below (&s.rng, 90) * NS_PER_S;
          entries[i].position = (uint16_t)rng_below (&s.rng, 4);
          kept[i] = (struct blockcopy){ .entry = &entries[i],
                                        .length = COPY_BYTES,
                                        .tier = BLOCKCOPY_MEMORY };
          copies[i] = &kept[i];
        }
      for (int i = 0; i < COPIES; i++)
        {
          struct export_block block = export_block_from_copy (
              copies[i], TOKENS_PER_BLOCK, s.clock.now_ns);

          value = export_value_s (&s.policy, &block, BLOCKCOPY_MEMORY)
                  / COPY_BYTES;
          if (value > least_value
              || (value == least_value && block.position <= last_position))
            continue;
          least_value = value;
          last_position = block.position;
        }
      export_decide (&s.policy, &new_block, false, &target, 1, &decision);
      CU_ASSERT_EQUAL_FATAL (decision.reason, EXPORT_KEPT);
      CU_ASSERT_EQUAL (decision.victim->entry->position, last_position);
      export_choose_victim (&s.policy, copies, COPIES, TOKENS_PER_BLOCK,
                            &value);
      CU_ASSERT_EQUAL (value, least_value);
      /* A block of the organisation whose requests never return must not
       * displace one of the organisation whose requests do. */
      for (int i = 0; i < COPIES; i++)
        {
          entries[i].scope = &scopes[0];
          entries[i].last_used_ns = s.clock.now_ns;
        }
      new_block.organisation = "never";
      export_decide (&s.policy, &new_block, false, &target, 1, &decision);
      CU_ASSERT_EQUAL (decision.reason, EXPORT_FULL);
    }
  export_finish (&s.policy);
}

/* Removes an item from the COUNT in ITEMS and returns it: the item with the
 * most gain (the first of equals) or, if DROP, with the least gain (the last
 * of equals). */
static struct exportqueue_item
naive_remove (struct exportqueue_item *items, int *count, bool drop)
{
  struct exportqueue_item removed;
  int index = 0;

  for (int i = 1; i < *count; i++)
    if (drop ? items[i].gain <= items[index].gain
             : items[i].gain > items[index].gain)
      index = i;
  removed = items[index];
  *count -= 1;
  memmove (&items[index], &items[index + 1],
           (size_t)(*count - index) * sizeof *items);
  return removed;
}

/* Compares the queue with an array that is scanned at each removal. */
static void
test_queue_against_scan (void)
{
  struct exportqueue_item naive[QUEUE_LIMIT + 1], item, expected;
  struct exportqueue queue;
  int count = 0;
  struct fixture s;

  fixture_init (&s, 95);
  exportqueue_init (&queue, &s.clock.clock, QUEUE_LIMIT, NS_PER_S);
  for (int step = 0; step < STEPS; step++)
    {
      bool found = false;

      clock_fake_advance (&s.clock, 1 + (int64_t)rng_below (&s.rng, 9000000));
      if (rng_below (&s.rng, 5) > 1)
        {
          item = (struct exportqueue_item){ .kind = (uint32_t)step };
          item.gain = (double)rng_below (&s.rng, 5);
          exportqueue_push (&queue, &item);
          item.pushed_ns = s.clock.now_ns;
          naive[count++] = item;
          if (count > QUEUE_LIMIT)
            naive_remove (naive, &count, true);
          continue;
        }
      while (count > 0 && !found)
        {
          expected = naive_remove (naive, &count, false);
          found = s.clock.now_ns - expected.pushed_ns <= NS_PER_S;
        }
      CU_ASSERT_EQUAL_FATAL (exportqueue_pop (&queue, &item), found);
      CU_ASSERT_TRUE (!found || item.kind == expected.kind);
    }
  CU_ASSERT_TRUE (queue.dropped_count > 0);
  exportqueue_finish (&queue);
  export_finish (&s.policy);
}

static const struct unit_case cases[] = {
  { "chance-against-counts", test_return_probability_against_counts },
  { "tier-follows-interval", test_tier_follows_interval },
  { "link-budget", test_link_budget },
  { "queue-against-scan", test_queue_against_scan },
  { "victim-against-scan", test_victim_against_scan },
};

int
main (void)
{
  return unit_run ("export", cases, sizeof cases / sizeof *cases);
}
