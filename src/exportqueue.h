#ifndef EXPORTQUEUE_H
#define EXPORTQUEUE_H

#include "block.h"
#include "clock.h"

#include <glib.h>
#include <stdbool.h>

/** @file
 * Blocks that wait for link budget before they are exported: the most gain
 * first, bounded, and only for as long as the engine is likely to have them.
 */

struct exportqueue_item
{
  struct block_scope scope;
  struct block_id block;
  uint64_t engine; /**< that has the block */
  uint32_t kind;
  uint16_t position;
  double gain; /**< the order; any unit */
  int64_t pushed_ns;
};

struct exportqueue
{
  const struct clock *clock;
  GSequence *items;
  guint max;
  int64_t life_ns;
  uint64_t dropped; /**< for lack of room, or too old */
};

void exportqueue_init (struct exportqueue *queue, const struct clock *clock,
                       guint max, int64_t life_ns);
void exportqueue_finish (struct exportqueue *queue);

/** Add ITEM; when full, the one with the least gain is dropped. An item that
 * was popped keeps its pushed_ns if it is not 0. */
void exportqueue_push (struct exportqueue *queue,
                       const struct exportqueue_item *item);

/** Take the item with the most gain, the oldest of equal ones.
 * @return false if none is left. */
bool exportqueue_pop (struct exportqueue *queue,
                      struct exportqueue_item *item);

static inline bool
exportqueue_empty (const struct exportqueue *queue)
{
  return g_sequence_is_empty (queue->items);
}

#endif
