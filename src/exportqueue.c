#include "exportqueue.h"

/* Sorts by descending gain; of items with equal gain, the one that was pushed
 * first comes first. */
static int
item_compare (const void *a, const void *b, void *data)
{
  const struct exportqueue_item *x = a;
  const struct exportqueue_item *y = b;

  if (x->gain != y->gain)
    return x->gain > y->gain ? -1 : 1;
  return (x->pushed_ns > y->pushed_ns) - (x->pushed_ns < y->pushed_ns);
}

void
exportqueue_init (struct exportqueue *queue, const struct clock *clock,
                  guint items_max, int64_t max_age_ns)
{
  queue->clock = clock;
  queue->items = g_sequence_new (g_free);
  queue->items_max = items_max;
  queue->max_age_ns = max_age_ns;
  queue->dropped_count = 0;
}

void
exportqueue_finish (struct exportqueue *queue)
{
  g_sequence_free (queue->items);
}

void
exportqueue_push (struct exportqueue *queue,
                  const struct exportqueue_item *item)
{
  struct exportqueue_item *copy = g_memdup2 (item, sizeof *item);

  if (copy->pushed_ns == 0)
    copy->pushed_ns = clock_now (queue->clock);
  g_sequence_insert_sorted (queue->items, copy, item_compare, NULL);
  if ((guint)g_sequence_get_length (queue->items) <= queue->items_max)
    return;
  g_sequence_remove (
      g_sequence_iter_prev (g_sequence_get_end_iter (queue->items)));
  queue->dropped_count++;
}

bool
exportqueue_pop (struct exportqueue *queue, struct exportqueue_item *item)
{
  int64_t now = clock_now (queue->clock);

  while (!exportqueue_is_empty (queue))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (queue->items);

      *item = *(struct exportqueue_item *)g_sequence_get (first);
      g_sequence_remove (first);
      if (now - item->pushed_ns <= queue->max_age_ns)
        return true;
      queue->dropped_count++;
    }
  return false;
}
