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

/** Queue state of one item; the caller embeds it in its own struct. */
struct fairqueue_item
{
  struct list node;
  /** Flow on which the item is queued, or NULL. */
  struct fairqueue_flow *flow;
  double cost; /**< Cost of the item; more than 0, in any unit. */
  int64_t deadline_ns;
};

/** The queued items of one organisation in one class. */
struct fairqueue_flow
{
  struct list node;
  struct list items; /**< Queued items, the earliest deadline first. */
  enum priority priority;
  double weight;
  double virtual_start; /**< Virtual time at which the next item starts. */
  double backlog;       /**< Total cost of the items. */
  unsigned count;
  bool blocked; /**< Whether the flow is not served now. */
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

/** Initialise QUEUE.
 * @param weights weight of each class
 * @param limits maximum number of items in each class
 * @param limit maximum number of items in all classes together */
void fairqueue_init (struct fairqueue *queue, const double *weights,
                     const unsigned *limits, unsigned limit);

/** Initialise FLOW. WEIGHT must be more than 0. */
void fairqueue_flow_init (struct fairqueue_flow *flow, enum priority priority,
                          double weight);

/** Queue ITEM on FLOW. The caller has set the cost and the deadline of ITEM.
 * @return STATUS_OK, or STATUS_LIMITED if the class or the queue is full. */
enum status fairqueue_push (struct fairqueue *queue,
                            struct fairqueue_flow *flow,
                            struct fairqueue_item *item);

/** Remove the next item of the classes whose bits are set in CLASS_MASK.
 * Blocked flows are skipped.
 * @return the item, or NULL if there is none. */
struct fairqueue_item *fairqueue_pop (struct fairqueue *queue,
                                      unsigned class_mask);

/** Return the item that fairqueue_pop would remove, and leave QUEUE as it is:
 * classes that are left out keep their credit.
 * @return the item, or NULL if there is none. */
struct fairqueue_item *fairqueue_peek (const struct fairqueue *queue,
                                       unsigned class_mask);

/** Remove the queued ITEM, which is served now, and charge its cost to its
 * flow and its class. */
void fairqueue_take (struct fairqueue *queue, struct fairqueue_item *item);

/** Charge COST to the class PRIORITY for an item that is served without having
 * been queued, so that the classes with items keep their shares. */
void fairqueue_charge (struct fairqueue *queue, enum priority priority,
                       double cost);

/** Return by how much the class PRIORITY is behind its share of what was
 * served, in units of cost; 0 if it is not or has no items. */
double fairqueue_lag (const struct fairqueue *queue, enum priority priority);

/** Remove ITEM from QUEUE. Does nothing if ITEM is not queued. */
void fairqueue_remove (struct fairqueue *queue, struct fairqueue_item *item);

/** The queued item with the earliest deadline, or NULL if QUEUE is empty. */
struct fairqueue_item *
fairqueue_earliest_deadline (const struct fairqueue *queue);

/** The item to drop so that an item of COST can be queued on FLOW: the last
 * item of the flow with the largest backlog for its weight. The item is taken
 * from FLOW's class if that class is full or no less urgent class has items,
 * otherwise from the least urgent class that has items.
 * @return NULL if FLOW would itself have the largest backlog for its weight */
struct fairqueue_item *
fairqueue_choose_victim (const struct fairqueue *queue,
                         const struct fairqueue_flow *flow, double cost);

/** Block or unblock FLOW. A blocked flow keeps its items but is not served,
 * and gains no credit for the time it is blocked. */
void fairqueue_set_blocked (struct fairqueue *queue,
                            struct fairqueue_flow *flow, bool blocked);

/** Estimate the cost that is served before an item with DEADLINE_NS on FLOW,
 * as the fluid limit of the fair shares.
 * @param ahead receives the cost by class
 * @return the part of that cost that is on FLOW */
double fairqueue_cost_ahead (const struct fairqueue *queue,
                             const struct fairqueue_flow *flow,
                             int64_t deadline_ns,
                             double ahead[PRIORITY_COUNT]);

#endif
