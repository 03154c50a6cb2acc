#include "export.h"
#include "exportqueue.h"
#include "rng.h"
#include "unit.h"

#include <math.h>
#include <string.h>

enum
{
  STEPS = 10000,
  TOKENS = 2000,
  LENGTH = 1000000,
  KEPT = 64,
  QUEUE = 32
};

struct scene
{
  struct clock_fake clock;
  struct rng rng;
  struct export_policy policy;
  struct linkbudget link;
};

static void
scene_init (struct scene *s, uint64_t seed)
{
  clock_fake_init (&s->clock, NS_PER_S);
  rng_init (&s->rng, seed);
  export_init (&s->policy, &s->clock.clock, &export_settings_default);
  linkbudget_init (&s->link, &s->clock.clock, LENGTH, INT64_C (4) * LENGTH, 0);
}

/* Against the plain definition: the share of the class's returns that fell
 * between idle and idle plus horizon, of those that had not come before.
 * All weights are equal, since no time passes; buckets are met at their ends,
 * where nothing is interpolated. */
static void
test_chance_against_counts (void)
{
  const double prior = export_settings_default.prior_requests;
  unsigned seen[2][EXPORT_RETURN_BUCKETS] = { { 0 } };
  unsigned requests[2] = { 0 };
  struct scene s;

  scene_init (&s, 91);
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
      seen[kind][bucket] += returned;
      for (int end = 0; end < 2; end++)
        {
          double own = 0, all = 1;

          for (int i = 0; i < (end == 0 ? from : to); i++)
            {
              own += seen[kind][i];
              all += seen[0][i] + seen[1][i];
            }
          all /= requests[0] + requests[1] + 2;
          /* One organisation: its kind is seen twice, and leans on all. */
          all = (own + prior * all) / (requests[kind] + prior);
          share[end] = (own + prior * all) / (requests[kind] + prior);
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
train (struct scene *s, const char *organisation, int64_t idle_ns)
{
  for (int i = 0; i < 500; i++)
    export_count_request (&s->policy, organisation, 0, idle_ns);
}

static void
test_tier_follows_interval (void)
{
  struct scene s;
  struct export_target targets[2] = {
    { .tier = BLOCKCOPY_MEMORY, .may_reserve = true, .free_bytes = 1 << 30 },
    { .tier = BLOCKCOPY_DISK, .may_reserve = true, .free_bytes = 1 << 30 }
  };
  struct export_block block = { "quick", 0, 0, TOKENS, LENGTH, 0 };
  struct export_decision decision;

  scene_init (&s, 92);
  targets[0].link_budget = targets[1].link_budget = &s.link;
  train (&s, "quick", 30 * NS_PER_S);
  train (&s, "late", 10000 * NS_PER_S);
  train (&s, "never", -1);
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

/* The link's export budget bounds what is kept, whatever it is worth. */
static void
test_link_budget (void)
{
  struct scene s;
  struct export_target target = { .tier = BLOCKCOPY_MEMORY,
                                  .may_reserve = true,
                                  .free_bytes = 1 << 30 };
  struct export_block block = { "quick", 0, 0, TOKENS, LENGTH, 0 };
  struct export_decision decision;
  int kept = 0;

  scene_init (&s, 93);
  target.link_budget = &s.link;
  train (&s, "quick", 30 * NS_PER_S);
  linkbudget_take (&s.link, LINKBUDGET_URGENT, INT64_C (4) * LENGTH);
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

/* A full tier: the victim is the least worth of a scan, the last piece first,
 * and is displaced only by something worth more. */
static void
test_victim_against_scan (void)
{
  static struct blockentry entries[KEPT];
  static struct blockcopy kept[KEPT];
  const struct blockcopy *copies[KEPT];
  struct blockentry_scope scopes[2] = { 0 };
  struct scene s;

  scene_init (&s, 94);
  block_scope_init (&scopes[0].scope, "quick", "m", "1", NULL);
  block_scope_init (&scopes[1].scope, "never", "m", "1", NULL);
  train (&s, "quick", 30 * NS_PER_S);
  train (&s, "never", -1);
  for (int step = 0; step < STEPS / KEPT; step++)
    {
      struct export_target target
          = { 0, BLOCKCOPY_MEMORY, true, 0, &s.link, copies, KEPT };
      struct export_block fresh = { "quick", 0, 0, TOKENS, LENGTH, 0 };
      struct export_decision decision;
      double least = INFINITY, value;
      int last = -1;

      clock_fake_advance (&s.clock, 100 * NS_PER_S);
      for (int i = 0; i < KEPT; i++)
        {
          entries[i].scope = &scopes[rng_below (&s.rng, 2)];
          entries[i].last_used_ns
              = s.clock.now_ns - (int64_t)rng_below (&s.rng, 90) * NS_PER_S;
          entries[i].position = (uint16_t)rng_below (&s.rng, 4);
          kept[i] = (struct blockcopy){ .entry = &entries[i],
                                        .length = LENGTH,
                                        .tier = BLOCKCOPY_MEMORY };
          copies[i] = &kept[i];
        }
      for (int i = 0; i < KEPT; i++)
        {
          struct export_block block
              = export_block_from_copy (copies[i], TOKENS, s.clock.now_ns);

          value
              = export_value_s (&s.policy, &block, BLOCKCOPY_MEMORY) / LENGTH;
          if (value > least || (value == least && block.position <= last))
            continue;
          least = value;
          last = block.position;
        }
      export_decide (&s.policy, &fresh, false, &target, 1, &decision);
      CU_ASSERT_EQUAL_FATAL (decision.reason, EXPORT_KEPT);
      CU_ASSERT_EQUAL (decision.victim->entry->position, last);
      export_choose_victim (&s.policy, copies, KEPT, TOKENS, &value);
      CU_ASSERT_EQUAL (value, least);
      /* Nothing of the class that never returns displaces a returning one. */
      for (int i = 0; i < KEPT; i++)
        {
          entries[i].scope = &scopes[0];
          entries[i].last_used_ns = s.clock.now_ns;
        }
      fresh.organisation = "never";
      export_decide (&s.policy, &fresh, false, &target, 1, &decision);
      CU_ASSERT_EQUAL (decision.reason, EXPORT_FULL);
    }
  export_finish (&s.policy);
}

/* The item to take (most gain, first of equal) or, when DROP, to drop (least
 * gain, last of equal); taken out of the COUNT in ITEMS. */
static struct exportqueue_item
naive_take (struct exportqueue_item *items, int *count, bool drop)
{
  struct exportqueue_item taken;
  int at = 0;

  for (int i = 1; i < *count; i++)
    if (drop ? items[i].gain <= items[at].gain
             : items[i].gain > items[at].gain)
      at = i;
  taken = items[at];
  *count -= 1;
  memmove (&items[at], &items[at + 1], (size_t)(*count - at) * sizeof *items);
  return taken;
}

/* Against an array that is scanned each time. */
static void
test_queue_against_scan (void)
{
  struct exportqueue_item naive[QUEUE + 1], item, expected;
  struct exportqueue queue;
  int count = 0;
  struct scene s;

  scene_init (&s, 95);
  exportqueue_init (&queue, &s.clock.clock, QUEUE, NS_PER_S);
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
          if (count > QUEUE)
            naive_take (naive, &count, true);
          continue;
        }
      while (count > 0 && !found)
        {
          expected = naive_take (naive, &count, false);
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
  { "chance-against-counts", test_chance_against_counts },
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
