#include "fairqueue.h"

#include <assert.h>
#include <math.h>

static struct fairqueue_item *
flow_first (const struct fairqueue_flow *flow)
{
  return LIST_ENTRY (flow->items.next, struct fairqueue_item, node);
}

/* The flow of CLASS whose next item has the earliest virtual start. Of flows
 * with the same virtual start it is the one that has had items for the longest
 * time. */
static struct fairqueue_flow *
class_next_flow (const struct fairqueue_class *class)
{
  struct fairqueue_flow *best = NULL;

  for (struct list *at = class->flows.next; at != &class->flows; at = at->next)
    {
      struct fairqueue_flow *flow
          = LIST_ENTRY (at, struct fairqueue_flow, node);

      if (flow->blocked)
        continue;
      if (best == NULL || flow->virtual_start < best->virtual_start)
        best = flow;
    }
  return best;
}

static struct fairqueue_flow *
class_largest_flow (const struct fairqueue_class *class)
{
  struct fairqueue_flow *best = NULL;

  for (struct list *at = class->flows.next; at != &class->flows; at = at->next)
    {
      struct fairqueue_flow *flow
          = LIST_ENTRY (at, struct fairqueue_flow, node);

      if (best == NULL
          || flow->backlog / flow->weight > best->backlog / best->weight)
        best = flow;
    }
  return best;
}

static void
queue_remove (struct fairqueue *queue, struct fairqueue_item *item)
{
  struct fairqueue_flow *flow = item->flow;
  struct fairqueue_class *class = &queue->classes[flow->priority];

  list_remove (&item->node);
  item->flow = NULL;
  flow->count--;
  class->count--;
  queue->count--;
  /* Reset the backlog to zero when no item is left, so that rounding errors do
   * not accumulate. */
  flow->backlog = flow->count > 0 ? flow->backlog - item->cost : 0;
  class->backlog = class->count > 0 ? class->backlog - item->cost : 0;
  if (flow->count == 0)
    list_remove (&flow->node);
}

static void
queue_charge (struct fairqueue *queue, struct fairqueue_flow *flow,
              double cost)
{
  struct fairqueue_class *class = &queue->classes[flow->priority];

  queue->virtual_time = fmax (queue->virtual_time, class->virtual_start);
  class->virtual_start += cost / class->weight;
  class->virtual_time = fmax (class->virtual_time, flow->virtual_start);
  flow->virtual_start += cost / flow->weight;
}

void
fairqueue_init (struct fairqueue *queue, const double *weights,
                const unsigned *limits, unsigned limit)
{
  *queue = (struct fairqueue){ .limit = limit };
  for (int i = 0; i < PRIORITY_COUNT; i++)
    {
      assert (weights[i] > 0);
      list_init (&queue->classes[i].flows);
      queue->classes[i].weight = weights[i];
      queue->classes[i].limit = limits[i];
    }
}

void
fairqueue_flow_init (struct fairqueue_flow *flow, enum priority priority,
                     double weight)
{
  assert (weight > 0);
  *flow = (struct fairqueue_flow){ .priority = priority, .weight = weight };
  list_init (&flow->node);
  list_init (&flow->items);
}

enum status
fairqueue_push (struct fairqueue *queue, struct fairqueue_flow *flow,
                struct fairqueue_item *item)
{
  struct fairqueue_class *class = &queue->classes[flow->priority];
  struct list *at = flow->items.prev;

  assert (item->cost > 0);
  if (class->count >= class->limit || queue->count >= queue->limit)
    return STATUS_LIMITED;
  if (class->count == 0)
    class->virtual_start = fmax (class->virtual_start, queue->virtual_time);
  if (flow->count == 0)
    {
      flow->virtual_start = fmax (flow->virtual_start, class->virtual_time);
      list_append (&class->flows, &flow->node);
    }
  while (at != &flow->items
         && LIST_ENTRY (at, struct fairqueue_item, node)->deadline_ns
                > item->deadline_ns)
    at = at->prev;
  list_insert_before (at->next, &item->node);
  item->flow = flow;
  flow->count++;
  flow->backlog += item->cost;
  class->count++;
  class->backlog += item->cost;
  queue->count++;
  return STATUS_OK;
}

struct fairqueue_item *
fairqueue_peek (const struct fairqueue *queue, unsigned class_mask)
{
  struct fairqueue_flow *flow = NULL;
  double lowest_start = INFINITY;

  for (int i = 0; i < PRIORITY_COUNT; i++)
    {
      const struct fairqueue_class *class = &queue->classes[i];
      struct fairqueue_flow *next = class_next_flow (class);

      if (next == NULL || (class_mask & 1U << i) == 0
          || class->virtual_start >= lowest_start)
        continue;
      lowest_start = class->virtual_start;
      flow = next;
    }
  return flow != NULL ? flow_first (flow) : NULL;
}

void
fairqueue_take (struct fairqueue *queue, struct fairqueue_item *item)
{
  queue_charge (queue, item->flow, item->cost);
  queue_remove (queue, item);
}

void
fairqueue_charge (struct fairqueue *queue, enum priority priority, double cost)
{
  struct fairqueue_class *class = &queue->classes[priority];

  if (queue->count == 0)
    return;
  class->virtual_start = fmax (class->virtual_start, queue->virtual_time);
  queue->virtual_time = class->virtual_start;
  class->virtual_start += cost / class->weight;
}

double
fairqueue_lag (const struct fairqueue *queue, enum priority priority)
{
  const struct fairqueue_class *class = &queue->classes[priority];

  if (class->count == 0)
    return 0;
  return fmax (queue->virtual_time - class->virtual_start, 0) * class->weight;
}

struct fairqueue_item *
fairqueue_pop (struct fairqueue *queue, unsigned class_mask)
{
  struct fairqueue_item *item = fairqueue_peek (queue, class_mask);

  /* A class without runnable items, or outside CLASS_MASK, gains no credit
   * for the time in which it is not served. */
  for (int i = 0; i < PRIORITY_COUNT; i++)
    {
      struct fairqueue_class *class = &queue->classes[i];

      if (class_next_flow (class) == NULL || (class_mask & 1U << i) == 0)
        class->virtual_start
            = fmax (class->virtual_start, queue->virtual_time);
    }
  if (item != NULL)
    fairqueue_take (queue, item);
  return item;
}

void
fairqueue_remove (struct fairqueue *queue, struct fairqueue_item *item)
{
  if (item->flow != NULL)
    queue_remove (queue, item);
}

struct fairqueue_item *
fairqueue_earliest_deadline (const struct fairqueue *queue)
{
  struct fairqueue_item *best = NULL;

  for (int i = 0; i < PRIORITY_COUNT; i++)
    {
      const struct list *flows = &queue->classes[i].flows;

      for (struct list *at = flows->next; at != flows; at = at->next)
        {
          struct fairqueue_item *item
              = flow_first (LIST_ENTRY (at, struct fairqueue_flow, node));

          if (best == NULL || item->deadline_ns < best->deadline_ns)
            best = item;
        }
    }
  return best;
}

struct fairqueue_item *
fairqueue_choose_victim (const struct fairqueue *queue,
                         const struct fairqueue_flow *flow, double cost)
{
  const struct fairqueue_class *own = &queue->classes[flow->priority];
  int victim_class = (int)flow->priority;
  struct fairqueue_flow *largest;

  if (own->count < own->limit)
    for (int i = victim_class + 1; i < PRIORITY_COUNT; i++)
      if (queue->classes[i].count > 0)
        victim_class = i;
  largest = class_largest_flow (&queue->classes[victim_class]);
  if (largest == NULL)
    return NULL;
  if (largest->priority == flow->priority
      && (flow->backlog + cost) / flow->weight
             >= largest->backlog / largest->weight)
    return NULL;
  return LIST_ENTRY (largest->items.prev, struct fairqueue_item, node);
}

void
fairqueue_set_blocked (struct fairqueue *queue, struct fairqueue_flow *flow,
                       bool blocked)
{
  if (flow->blocked && !blocked)
    flow->virtual_start = fmax (flow->virtual_start,
                                queue->classes[flow->priority].virtual_time);
  flow->blocked = blocked;
}

double
fairqueue_cost_ahead (const struct fairqueue *queue,
                      const struct fairqueue_flow *flow, int64_t deadline_ns,
                      double ahead[PRIORITY_COUNT])
{
  const struct fairqueue_class *class = &queue->classes[flow->priority];
  const struct list *items = &flow->items;
  double own = 0;
  double sum = 0;

  for (struct list *at = items->next; at != items; at = at->next)
    {
      struct fairqueue_item *item
          = LIST_ENTRY (at, struct fairqueue_item, node);

      if (item->deadline_ns > deadline_ns)
        break;
      own += item->cost;
    }
  for (struct list *at = class->flows.next; at != &class->flows; at = at->next)
    {
      struct fairqueue_flow *other
          = LIST_ENTRY (at, struct fairqueue_flow, node);
      /* Until OWN is served, each other flow is served in proportion to its
       * weight, starting from its present virtual start. */
      double lag = flow->count > 0
                       ? flow->virtual_start - other->virtual_start
                       : class->virtual_time - other->virtual_start;
      double share = (own / flow->weight + lag) * other->weight;

      sum += other == flow ? own : fmin (other->backlog, fmax (share, 0));
    }
  for (int i = 0; i < PRIORITY_COUNT; i++)
    {
      const struct fairqueue_class *other = &queue->classes[i];
      double lag = fmax (class->virtual_start, queue->virtual_time)
                   - other->virtual_start;
      double share = (sum / class->weight + lag) * other->weight;

      ahead[i] = other == class ? sum : fmin (other->backlog, fmax (share, 0));
    }
  return own;
}
