#ifndef FAIRQUEUE_H
#define FAIRQUEUE_H

#include "list.h"
#include "priority.h"
#include "status.h"

#include <stdint.h>

/** @file
 * Bounded queue with weighted fair shares, by start-time fair queueing on two
 * levels: among priority classes, and among the flows (organisations) of a
 * class. Inside a flow the item with the earliest deadline goes first. The
 * caller owns all memory. Each operation takes time proportional to the number
 * of flows that have items.
 */

struct fairqueue_flow;

/** Embedded in what is queued. */
struct fairqueue_item
{
  struct list node;
  struct fairqueue_flow *flow; /**< NULL while not queued. */
  double cost;                 /**< Over 0, in any unit. */
  int64_t deadline_ns;
};

/** The queued items of one organisation in one class. */
struct fairqueue_flow
{
  struct list node;
  struct list items; /**< Ordered by deadline. */
  enum priority priority;
  double weight;
  double virtual_start; /**< Virtual time at which the next item starts. */
  double backlog;       /**< Total cost of the items. */
  unsigned count;
  bool blocked;
};

struct fairqueue_class
{
  struct list flows; /**< The flows that have items. */
  double weight;
  double virtual_start; /**< Virtual time of the queue at which the next item
                           of this class starts. */
  double virtual_time;  /**< Virtual time inside this class. */
  double backlog;       /**< Total cost of the items. */
  unsigned count;
  unsigned limit;
};

struct fairqueue
{
  struct fairqueue_class classes[PRIORITY_COUNT];
  double virtual_time;
  unsigned count;
  unsigned limit;
};

/** @param weights, limits one for each class
 * @param limit of items in all classes together */
void fairqueue_init (struct fairqueue *queue, const double *weights,
                     const unsigned *limits, unsigned limit);

/** @param weight over 0 */
void fairqueue_flow_init (struct fairqueue_flow *flow, enum priority priority,
                          double weight);

/** Queue ITEM, whose cost and deadline are set, on FLOW.
 * @return STATUS_OK, or STATUS_LIMITED if the class or the queue is full. */
enum status fairqueue_push (struct fairqueue *queue,
                            struct fairqueue_flow *flow,
                            struct fairqueue_item *item);

/** Remove the next item of the classes whose bits are set in CLASS_MASK and
 * return it; NULL if there is none. Blocked flows are skipped. */
struct fairqueue_item *fairqueue_pop (struct fairqueue *queue,
                                      unsigned class_mask);

/** Remove ITEM; no effect if it is not queued. */
void fairqueue_remove (struct fairqueue *queue, struct fairqueue_item *item);

/** The queued item with the earliest deadline, or NULL. */
struct fairqueue_item *
fairqueue_earliest_deadline (const struct fairqueue *queue);

/** The item to drop so that an item of COST can be queued on FLOW: the last
 * item of the flow with the largest backlog for its weight. It is of FLOW's
 * class if that is full or no less urgent class has items, otherwise of the
 * least urgent class that has items. NULL if FLOW itself would have the
 * largest backlog for its weight. */
struct fairqueue_item *fairqueue_victim (const struct fairqueue *queue,
                                         const struct fairqueue_flow *flow,
                                         double cost);

/** Block or unblock FLOW. A blocked flow keeps its items but is skipped, and
 * it gains no credit meanwhile. */
void fairqueue_set_blocked (struct fairqueue *queue,
                            struct fairqueue_flow *flow, bool blocked);

/** Estimate the cost that is served before an item with DEADLINE_NS on FLOW,
 * as the fluid limit of the fair shares.
 * @param ahead is filled with the cost by class
 * @return the part of that cost that is on FLOW */
double fairqueue_cost_ahead (const struct fairqueue *queue,
                             const struct fairqueue_flow *flow,
                             int64_t deadline_ns,
                             double ahead[PRIORITY_COUNT]);

#endif
