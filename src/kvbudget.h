#ifndef KVBUDGET_H
#define KVBUDGET_H

#include "clock.h"
#include "kv.h"
#include "list.h"
#include "rng.h"

#include <stdbool.h>

/** @file
 * A KV interface that passes calls on to another one and limits their rate
 * with a token bucket.
 *
 * Calls above the rate wait in a bounded queue, and lease calls are sent
 * first. After a failure no call is sent during a backoff, which grows
 * exponentially and has jitter. Then a single call probes the service. If it
 * succeeds, calls are sent at the normal rate again, without a burst at the
 * start. A call without a reply within its timeout ends with STATUS_UNKNOWN,
 * and a later reply is dropped.
 */

struct kvbudget_settings
{
  /** Calls per second. Each watch, queued or in flight, reduces the rate that
   * is left for other calls by one per second. */
  double rate;
  double burst;     /**< Capacity of the token bucket in calls; >= 1. */
  size_t queue_max; /**< Calls that may be queued. */
  size_t watch_max; /**< Watches queued or in flight; less than RATE. */
  int64_t queue_timeout_ns; /**< Longest time that a call may be queued. */
  int64_t call_timeout_ns;  /**< Timeout of one call; a watch adds its wait. */
  int64_t backoff_min_ns;   /**< Mean backoff after the first failure. */
  int64_t backoff_max_ns;   /**< Mean backoff after many failures. */
};

struct kvbudget
{
  struct kv kv; /**< The interface that the users call. */
  struct kvbudget_settings settings;
  uint64_t sent_count;    /**< Calls sent to the service. */
  uint64_t refused_count; /**< Calls refused without being sent. */
  uint64_t timeouts;      /**< Sent calls without a reply in time. */
  uint64_t probes;        /**< Calls sent to probe the service. */

  struct kv *service;
  const struct clock *clock;
  struct rng *rng;
  double tokens;
  int64_t tokens_updated_ns;
  struct list lease_queue;       /* Queued lease calls. */
  struct list queue;             /* All other queued calls. */
  struct list pending_refusals;  /* Calls that the next tick refuses. */
  struct list in_flight;         /* Sent calls without a reply. */
  size_t queued_count;           /* Calls in LEASE_QUEUE and QUEUE. */
  size_t watch_count;            /* Watches in any of the four lists. */
  unsigned consecutive_failures; /* 0 while the service works. */
  bool probe_in_flight;
  int64_t backoff_start_ns; /* Time of the failure that started the backoff. */
  int64_t backoff_end_ns;
};

/** SERVICE, CLOCK and RNG must outlive BUDGET. */
void kvbudget_init (struct kvbudget *budget, struct kv *service,
                    const struct clock *clock, struct rng *rng,
                    const struct kvbudget_settings *settings);

/** End all queued and sent calls with STATUS_CANCELLED. Finish SERVICE
 * afterwards: its replies free the memory of the sent calls. */
void kvbudget_finish (struct kvbudget *budget);

/** Send queued calls as the rate allows, and end calls that have waited too
 * long to be sent or for their reply. */
void kvbudget_tick (struct kvbudget *budget);

/** Monotonic time at which kvbudget_tick has to run next, or CLOCK_NEVER. */
int64_t kvbudget_next (const struct kvbudget *budget);

/** Whether the service counts as down: a call failed, and no call that was
 * answered has ended the backoff. */
bool kvbudget_service_is_down (const struct kvbudget *budget);

#endif
