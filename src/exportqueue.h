#ifndef EXPORTQUEUE_H
#define EXPORTQUEUE_H

#include "block.h"
#include "clock.h"

#include <glib.h>
#include <stdbool.h>

/** @file
 * Queue of blocks that wait for bandwidth budget before they are exported, the
 * one with the most gain first. The number of items is limited, and so is
 * their age, because an engine evicts blocks after a time.
 */

struct exportqueue_item
{
  struct block_scope scope;
  struct block_id block;
  uint64_t engine; /**< Id of the engine that has the block cached. */
  uint32_t kind;
  uint16_t position; /**< Index of the block in its prompt. */
  double gain;       /**< Sorts the queue; in any unit. */
  int64_t pushed_ns;
};

struct exportqueue
{
  const struct clock *clock;
  GSequence *items;
  guint items_max;
  int64_t max_age_ns;
  uint64_t dropped_count; /**< Number of items dropped from a full queue or
                           for their age. */
};

void exportqueue_init (struct exportqueue *queue, const struct clock *clock,
                       guint items_max, int64_t max_age_ns);
void exportqueue_finish (struct exportqueue *queue);

/** Add ITEM. If the queue is full, the item with the least gain is dropped. If
 * pushed_ns of ITEM is not 0, it is kept, so that an item that was popped and
 * is pushed again does not get younger. */
void exportqueue_push (struct exportqueue *queue,
                       const struct exportqueue_item *item);

/** Remove the item with the most gain, the oldest of equal ones, and copy it
 * to ITEM. Items that are too old are dropped.
 * @return false if no item is left. */
bool exportqueue_pop (struct exportqueue *queue,
                      struct exportqueue_item *item);

static inline bool
exportqueue_is_empty (const struct exportqueue *queue)
{
  return g_sequence_is_empty (queue->items);
}

#endif
