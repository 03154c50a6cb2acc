#ifndef KVBUDGET_H
#define KVBUDGET_H

#include "clock.h"
#include "kv.h"
#include "kvbackoff.h"
#include "list.h"
#include "rng.h"

#include <stdbool.h>

/** @file
 * A KV interface that passes calls on to another one and limits their rate
 * with a token bucket.
 *
 * Calls above the rate wait in a bounded queue, and lease calls and those of
 * one prefix are sent first. After a failure no call is sent during a backoff,
 * which grows exponentially and has jitter. Then a single call probes the
 * service. If that call succeeds, calls are sent at the normal rate again,
 * without a burst at the start. A call without a reply within its timeout ends
 * with STATUS_UNKNOWN and is cancelled at the service, if that can; a later
 * reply is dropped.
 */

struct kvbudget_settings
{
  /** Calls per second. Each watch, queued or in flight, reduces the rate that
   * is left for other calls by one per second. */
  double rate;
  double burst;     /**< Capacity of the token bucket in calls, at least 1. */
  size_t queue_max; /**< Maximum number of queued calls. */
  /** Prefix whose reads and watches are sent first, and read also beside a
   * probe that has no reply yet; NULL if there is none. */
  const char *urgent_prefix;
  size_t watch_max; /**< Maximum number of watches, queued or in flight; less
                       than RATE. */
  int64_t queue_timeout_ns; /**< Maximum time that a call may be queued. */
  int64_t call_timeout_ns;  /**< Timeout of one call; the wait time of a watch
                               is added to it. */
  /** The same for ranges and watches, whose replies can be large; the service
   * ends those whose replies don't make progress. 0: call_timeout_ns. */
  int64_t read_timeout_ns;
  struct kvbackoff_settings backoff;
};

/** A call that ended without a usable reply. */
struct kvbudget_failure
{
  const char *kind;
  const char *key; /**< Key or prefix; "-" if the call has none. */
  enum status status;
  enum kv_stage stage;
  int64_t queued_ns; /**< Time until it was sent, or ended unsent. */
  int64_t sent_ns;   /**< Time since it was sent; 0 if it was not. */
  bool was_probe;
};

struct kvbudget_ops
{
  void (*call_failed) (void *data, const struct kvbudget_failure *failure);
};

struct kvbudget
{
  struct kv kv; /**< The interface that the users call. */
  struct kvbudget_settings settings;
  uint64_t sent_count;    /**< Number of calls sent to the service. */
  uint64_t refused_count; /**< Number of calls refused without being sent. */
  uint64_t timeout_count; /**< Number of sent calls that timed out. */
  uint64_t probe_call_count; /**< Number of calls sent to probe the service. */

  const struct kvbudget_ops *ops; /**< NULL if nobody is told. */
  void *ops_data;
  struct kv *service;
  const struct clock *clock;
  double tokens;
  int64_t tokens_updated_ns;
  struct list urgent_queue; /* Lease calls and those of the urgent prefix that
                               wait to be sent. */
  struct list queue;        /* Other calls that wait to be sent. */
  struct list pending_refusals; /* Calls that the next tick refuses. */
  struct list in_flight; /* Calls that were sent and have no reply yet. */
  size_t queued_count;   /* Number of calls in URGENT_QUEUE and QUEUE. */
  size_t watch_count;    /* Number of watches in the four lists. */
  struct kvbackoff backoff;
};

/** SERVICE, CLOCK and RNG must outlive BUDGET. */
void kvbudget_init (struct kvbudget *budget, struct kv *service,
                    const struct clock *clock, struct rng *rng,
                    const struct kvbudget_settings *settings);

/** Tell OPS of calls without a usable reply. */
void kvbudget_set_ops (struct kvbudget *budget, const struct kvbudget_ops *ops,
                       void *data);

/** End all queued and sent calls with STATUS_CANCELLED. Finish SERVICE
 * afterwards: its replies free the memory of the sent calls. */
void kvbudget_finish (struct kvbudget *budget);

/** Send queued calls as the rate allows, and end calls that have waited too
 * long to be sent or for their reply. */
void kvbudget_tick (struct kvbudget *budget);

/** Refuse the calls that wait to be sent, with the next tick. */
void kvbudget_refuse_queued (struct kvbudget *budget);

/** Return the monotonic time at which kvbudget_tick has to run next, or
 * CLOCK_NEVER. */
int64_t kvbudget_next_tick_ns (const struct kvbudget *budget);

/** Whether the service counts as down: a call has failed, other than by a
 * limit of the service, and the service has processed no call since. */
bool kvbudget_service_is_down (const struct kvbudget *budget);

#endif
