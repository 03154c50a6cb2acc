#ifndef FAIRQUEUE_H
#define FAIRQUEUE_H

#include "list.h"
#include "priority.h"
#include "status.h"

#include <stdint.h>

/** @file
 * Bounded queue with weighted fair shares, by start-time fair queueing on two
 * levels: among priority classes, and among the flows (organisations) of a
 * class. Inside a flow the earliest deadline goes first. All memory is the
 * caller's. Each step costs time in proportion to the flows that have items.
 */

struct fairqueue_flow;

/** Embedded in what is queued. */
struct fairqueue_item
{
  struct list node;
  struct fairqueue_flow *flow; /**< NULL while not queued */
  double cost;                 /**< over 0, any unit */
  int64_t deadline_ns;
};

/** What one organisation has queued in one class. */
struct fairqueue_flow
{
  struct list node;
  struct list items;
  enum priority priority;
  double weight;
  double start; /**< virtual time at which the next item starts */
  double backlog;
  unsigned count;
  bool blocked;
};

struct fairqueue_class
{
  struct list flows; /**< those with items */
  double weight;
  double start; /**< virtual time of the class among the classes */
  double clock; /**< virtual time inside the class */
  double backlog;
  unsigned count;
  unsigned limit;
};

struct fairqueue
{
  struct fairqueue_class classes[PRIORITY_COUNT];
  double clock;
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

/** Take the next item of the classes whose bit is set in CLASS_MASK, leaving
 * out blocked flows; NULL if there is none. */
struct fairqueue_item *fairqueue_pop (struct fairqueue *queue,
                                      unsigned class_mask);

/** Take ITEM out; harmless if it is not queued. */
void fairqueue_remove (struct fairqueue *queue, struct fairqueue_item *item);

/** The queued item with the earliest deadline, or NULL. */
struct fairqueue_item *fairqueue_earliest (const struct fairqueue *queue);

/** The item to drop so that one of COST on FLOW gets its place: the last of
 * the longest flow, in the same class if that is full, else in the least
 * urgent one; NULL if FLOW itself has no less than its share. */
struct fairqueue_item *fairqueue_victim (const struct fairqueue *queue,
                                         const struct fairqueue_flow *flow,
                                         double cost);

/** A blocked flow keeps its items but is passed over; it gains no credit. */
void fairqueue_block (struct fairqueue *queue, struct fairqueue_flow *flow,
                      bool blocked);

/** What would be served before an item with this DEADLINE_NS on FLOW, as cost
 * by class in AHEAD: the fluid limit of the fair shares.
 * @return the part of it that is on FLOW */
double fairqueue_ahead (const struct fairqueue *queue,
                        const struct fairqueue_flow *flow, int64_t deadline_ns,
                        double ahead[PRIORITY_COUNT]);

#endif
