#include "bucket.h"
#include "clock.h"
#include "fairqueue.h"
#include "rng.h"
#include "unit.h"

#include <math.h>
#include <stdlib.h>

enum
{
  FLOWS = 12,
  ITEMS = 400,
  STEPS = 40000,
  ALL_CLASSES = (1 << PRIORITY_COUNT) - 1
};

__extension__ typedef __int128 int128;

/* The reference queue is an array of all items that is sorted at each pop. */
struct naive_item
{
  int flow;
  bool queued;
  uint64_t sequence;
};

static struct
{
  struct fairqueue queue;
  struct fairqueue_flow flows[FLOWS];
  struct fairqueue_item items[ITEMS];
  struct naive_item naive[ITEMS];
  double flow_start[FLOWS];
  uint64_t flow_queued_sequence[FLOWS];
  double class_start[PRIORITY_COUNT];
  double class_virtual_time[PRIORITY_COUNT];
  double virtual_time;
  uint64_t sequence;
} world;

static const double weights[PRIORITY_COUNT] = { 8, 4, 1 };
static const unsigned limits[PRIORITY_COUNT] = { 40, 90, 90 };

static int
class_of (int item)
{
  return (int)world.flows[world.naive[item].flow].priority;
}

static int
compare_doubles (double a, double b)
{
  return (a > b) - (a < b);
}

static int
compare_items (const void *left, const void *right)
{
  int a = *(const int *)left;
  int b = *(const int *)right;
  int flow_a = world.naive[a].flow;
  int flow_b = world.naive[b].flow;
  double keys[][2] = {
    { world.class_start[class_of (a)], world.class_start[class_of (b)] },
    { class_of (a), class_of (b) },
    { world.flow_start[flow_a], world.flow_start[flow_b] },
    { (double)world.flow_queued_sequence[flow_a],
      (double)world.flow_queued_sequence[flow_b] },
    { (double)world.items[a].deadline_ns, (double)world.items[b].deadline_ns },
    { (double)world.naive[a].sequence, (double)world.naive[b].sequence },
  };

  for (unsigned i = 0; i < sizeof keys / sizeof *keys; i++)
    if (keys[i][0] != keys[i][1])
      return compare_doubles (keys[i][0], keys[i][1]);
  return 0;
}

static unsigned
naive_count (int class, int flow)
{
  unsigned count = 0;

  for (int i = 0; i < ITEMS; i++)
    count += world.naive[i].queued && (class < 0 || class_of (i) == class)
             && (flow < 0 || world.naive[i].flow == flow);
  return count;
}

static bool
naive_push (int item, int flow)
{
  int class = (int)world.flows[flow].priority;

  if (naive_count (class, -1) >= limits[class] || naive_count (-1, -1) >= 150)
    return false;
  if (naive_count (class, -1) == 0)
    world.class_start[class]
        = fmax (world.class_start[class], world.virtual_time);
  if (naive_count (class, flow) == 0)
    {
      world.flow_start[flow]
          = fmax (world.flow_start[flow], world.class_virtual_time[class]);
      world.flow_queued_sequence[flow] = world.sequence;
    }
  world.naive[item] = (struct naive_item){ flow, true, world.sequence++ };
  return true;
}

static int
naive_pop (unsigned mask)
{
  int order[ITEMS];
  int count = 0;
  int eligible[PRIORITY_COUNT] = { 0 };

  for (int i = 0; i < ITEMS; i++)
    if (world.naive[i].queued && !world.flows[world.naive[i].flow].blocked
        && (mask & 1U << class_of (i)))
      {
        order[count++] = i;
        eligible[class_of (i)]++;
      }
  for (int i = 0; i < PRIORITY_COUNT; i++)
    if (eligible[i] == 0)
      world.class_start[i] = fmax (world.class_start[i], world.virtual_time);
  if (count == 0)
    return -1;
  qsort (order, (size_t)count, sizeof *order, compare_items);

  int item = order[0];
  int flow = world.naive[item].flow;
  int class = class_of (item);
  double cost = world.items[item].cost;

  world.virtual_time = fmax (world.virtual_time, world.class_start[class]);
  world.class_start[class] += cost / weights[class];
  world.class_virtual_time[class]
      = fmax (world.class_virtual_time[class], world.flow_start[flow]);
  world.flow_start[flow] += cost / world.flows[flow].weight;
  world.naive[item].queued = false;
  return item;
}

static void
step_push (struct rng *rng)
{
  int item = (int)rng_below (rng, ITEMS);
  int flow = (int)rng_below (rng, FLOWS);

  if (world.naive[item].queued)
    return;
  world.items[item].cost = 1 + (double)rng_below (rng, 50);
  world.items[item].deadline_ns = (int64_t)rng_below (rng, 1000);
  CU_ASSERT_EQUAL (
      fairqueue_push (&world.queue, &world.flows[flow], &world.items[item])
          == STATUS_OK,
      naive_push (item, flow));
}

static void
step_pop (struct rng *rng)
{
  unsigned mask = rng_below (rng, 4) == 0 ? 1 : ALL_CLASSES;
  struct fairqueue_item *item = fairqueue_pop (&world.queue, mask);
  int expected = naive_pop (mask);

  CU_ASSERT_PTR_EQUAL (item, expected < 0 ? NULL : &world.items[expected]);
}

static void
step_remove_or_block (struct rng *rng)
{
  int item = (int)rng_below (rng, ITEMS);
  int flow = (int)rng_below (rng, FLOWS);
  int class = (int)world.flows[flow].priority;
  struct fairqueue_item *earliest = fairqueue_earliest_deadline (&world.queue);

  for (int i = 0; i < ITEMS; i++)
    if (world.naive[i].queued)
      CU_ASSERT_TRUE (earliest->deadline_ns <= world.items[i].deadline_ns);
  if (rng_below (rng, 2) == 0)
    {
      fairqueue_remove (&world.queue, &world.items[item]);
      world.naive[item].queued = false;
      return;
    }
  if (world.flows[flow].blocked)
    world.flow_start[flow]
        = fmax (world.flow_start[flow], world.class_virtual_time[class]);
  fairqueue_set_blocked (&world.queue, &world.flows[flow],
                         !world.flows[flow].blocked);
}

static void
test_against_sorting (void)
{
  struct rng rng;

  rng_init (&rng, 41);
  fairqueue_init (&world.queue, weights, limits, 150);
  for (int i = 0; i < FLOWS; i++)
    fairqueue_flow_init (&world.flows[i], (enum priority) (i % 3),
                         1 + (double)rng_below (&rng, 4));
  for (int i = 0; i < STEPS; i++)
    {
      uint64_t kind = rng_below (&rng, 100);

      if (kind < 50)
        step_push (&rng);
      else if (kind < 90)
        step_pop (&rng);
      else
        step_remove_or_block (&rng);
    }
  CU_ASSERT_EQUAL (world.queue.count, naive_count (-1, -1));
}

/* The predicted cost ahead of an item equals the cost that is served before
 * it, give or take one item of each other flow and class. */
static void
test_cost_ahead (void)
{
  struct fairqueue queue;
  struct fairqueue_flow flows[3];
  struct fairqueue_item items[90];
  struct fairqueue_item last = { .cost = 1, .deadline_ns = 100 };
  double ahead[PRIORITY_COUNT];
  double served = 0;

  fairqueue_init (&queue, weights, limits, 150);
  fairqueue_flow_init (&flows[0], PRIORITY_STANDARD, 1);
  fairqueue_flow_init (&flows[1], PRIORITY_STANDARD, 2);
  fairqueue_flow_init (&flows[2], PRIORITY_BULK, 1);
  for (int i = 0; i < 90; i++)
    {
      items[i].cost = 1;
      items[i].deadline_ns = i;
      fairqueue_push (&queue, &flows[i < 10 ? 0 : 1 + i % 2], &items[i]);
    }
  fairqueue_cost_ahead (&queue, &flows[0], 100, ahead);
  fairqueue_push (&queue, &flows[0], &last);
  while (fairqueue_pop (&queue, ALL_CLASSES) != &last)
    served++;
  CU_ASSERT_DOUBLE_EQUAL (ahead[1] + ahead[2], served, 4);
  CU_ASSERT_DOUBLE_EQUAL (ahead[1], 30, 1);
}

static void
test_bucket_exact (void)
{
  struct bucket bucket;
  struct rng rng;
  int64_t now = 0;
  int128 level = (__int128)20 * 1000000000000;
  const int128 full = level;

  rng_init (&rng, 42);
  bucket_init (&bucket, 3333, 20, now);
  for (int i = 0; i < STEPS; i++)
    {
      int64_t tokens = (int64_t)rng_below (&rng, 6);
      int64_t elapsed = (int64_t)rng_below (&rng, 1500000000);

      now += elapsed;
      level += (int128)elapsed * 3333;
      level = level < full ? level : full;
      if (rng_below (&rng, 8) == 0)
        {
          bucket_add (&bucket, 250, now);
          level += (int128)250 * 1000000000;
          level = level < full ? level : full;
        }
      int64_t ready = bucket_ready_ns (&bucket, tokens, now);
      bool fits = level >= (int128)tokens * 1000000000000;

      CU_ASSERT_EQUAL (ready == now, fits);
      CU_ASSERT_EQUAL (bucket_take (&bucket, tokens, now), fits);
      if (fits)
        level -= (int128)tokens * 1000000000000;
      else
        {
          struct bucket early = bucket;

          CU_ASSERT_FALSE (bucket_take (&early, tokens, ready - 1));
          CU_ASSERT_TRUE (bucket_take (&early, tokens, ready));
        }
    }
  CU_ASSERT_EQUAL (bucket_ready_ns (&bucket, 21, now), CLOCK_NEVER);
}

static const struct unit_case cases[] = {
  { "against-sorting", test_against_sorting },
  { "ahead", test_cost_ahead },
  { "bucket-exact", test_bucket_exact },
};

int
main (void)
{
  return unit_run ("fairqueue", cases, sizeof cases / sizeof *cases);
}
