#ifndef KVBUDGET_H
#define KVBUDGET_H

#include "clock.h"
#include "kv.h"
#include "list.h"
#include "rng.h"

#include <stdbool.h>

/** @file
 * A KV interface over another one that keeps a budget of calls whatever its
 * users do.
 *
 * Calls over the budget wait in a bounded queue, lease calls first. After a
 * failure nothing is sent for a jittered, growing time, then one call alone
 * probes the service; its success opens the way again, at the budget's rate
 * and without a saved-up burst. A call that is not answered in time answers
 * STATUS_UNKNOWN; its late reply is dropped.
 */

struct kvbudget_settings
{
  double rate;      /**< Calls a second; a waiting watch uses one a second. */
  double burst;     /**< Calls that may go at once after a quiet time, >= 1. */
  size_t queue_max; /**< Calls that may wait. */
  size_t watch_max; /**< Watches that may wait; less than RATE. */
  int64_t queue_wait_ns;   /**< Longest wait before a call is sent. */
  int64_t call_timeout_ns; /**< Longest wait for a reply. */
  int64_t backoff_min_ns;  /**< Mean hold after the first failure. */
  int64_t backoff_max_ns;  /**< Mean hold that doubling ends at. */
};

struct kvbudget
{
  struct kv kv; /**< Give this to the users. */
  struct kvbudget_settings settings;
  uint64_t sent;     /**< Calls passed on. */
  uint64_t refused;  /**< Answered without being sent. */
  uint64_t timeouts; /**< Not answered in time. */
  uint64_t probes;

  struct kv *service;
  const struct clock *clock;
  struct rng *rng;
  double tokens;
  int64_t tokens_at;
  struct list urgent;   /* queued calls, in order */
  struct list queued;   /* the same, for all but lease calls */
  struct list refusals; /* to be answered by the next tick */
  struct list open;     /* sent calls */
  size_t queue_count;
  size_t watch_count;
  unsigned failures; /* in a row; 0: the way is open */
  bool probing;
  int64_t hold_since;
  int64_t hold_until;
};

/** SERVICE, CLOCK and RNG must outlive BUDGET. */
void kvbudget_init (struct kvbudget *budget, struct kv *service,
                    const struct clock *clock, struct rng *rng,
                    const struct kvbudget_settings *settings);

/** Calls still open answer STATUS_CANCELLED. The service below is finished
 * afterwards, so that what it still holds of them is given back. */
void kvbudget_finish (struct kvbudget *budget);

/** Send and answer what is due. */
void kvbudget_tick (struct kvbudget *budget);

/** Monotonic time of the next thing due, or CLOCK_NEVER. */
int64_t kvbudget_next (const struct kvbudget *budget);

/** Whether the service is taken to be down now. */
bool kvbudget_down (const struct kvbudget *budget);

#endif
