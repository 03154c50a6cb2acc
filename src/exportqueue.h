#ifndef EXPORTQUEUE_H
#define EXPORTQUEUE_H

#include "block.h"
#include "clock.h"

#include <glib.h>
#include <stdbool.h>

/** @file
 * Queue of blocks that wait for bandwidth budget before they are exported. The
 * block with the most gain comes first. The number of items is limited, and so
 * is their age, because an engine evicts blocks after a time.
 */

struct exportqueue_item
{
  struct block_scope scope;
  struct block_id block;
  uint64_t engine; /**< Id of the engine that has the block cached. */
  uint32_t kind;
  uint16_t position; /**< Index of the block in its prompt. */
  double gain;       /**< Gain by which the queue is sorted, in any unit. */
  int64_t pushed_ns; /**< Time at which the item was first pushed. */
};

struct exportqueue
{
  const struct clock *clock;
  GSequence *items;
  guint items_max;
  int64_t max_age_ns;
  uint64_t dropped_count; /**< Number of items that were dropped because the
                             queue was full or the item too old. */
};

void exportqueue_init (struct exportqueue *queue, const struct clock *clock,
                       guint items_max, int64_t max_age_ns);
void exportqueue_finish (struct exportqueue *queue);

/** Add ITEM. If the queue is full, the item with the least gain is dropped. A
 * pushed_ns of ITEM other than 0 is left unchanged, so that an item that was
 * popped and is pushed again keeps its age. */
void exportqueue_push (struct exportqueue *queue,
                       const struct exportqueue_item *item);

/** Remove the item with the most gain and copy it to ITEM; of items with equal
 * gain, the one that was pushed first. Items that are too old are dropped.
 * @return false if no item is left. */
bool exportqueue_pop (struct exportqueue *queue,
                      struct exportqueue_item *item);

static inline bool
exportqueue_is_empty (const struct exportqueue *queue)
{
  return g_sequence_is_empty (queue->items);
}

#endif
