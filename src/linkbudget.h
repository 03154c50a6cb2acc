#ifndef LINKBUDGET_H
#define LINKBUDGET_H

#include "clock.h"

#include <stdbool.h>
#include <stdint.h>

/** @file
 * The bandwidth budget of one store's network link, with a token bucket for
 * each priority. The bucket of urgent imports is filled first, so that no
 * other transfer delays them. Once it is full, other imports and exports share
 * the bandwidth, so that new blocks are saved even while the link is busy.
 */

/** Maximum rate in bytes per second. */
#define LINKBUDGET_RATE_MAX INT64_C (16000000000)

enum linkbudget_priority
{
  LINKBUDGET_URGENT, /**< Imports of blocks for urgent requests. */
  LINKBUDGET_IMPORT, /**< Other imports of blocks from the store. */
  LINKBUDGET_EXPORT, /**< Exports of blocks to the store. */
  LINKBUDGET_PRIORITY_COUNT
};

struct linkbudget
{
  const struct clock *clock;
  int64_t configured_rate; /**< Configured rate in bytes per second. */
  int64_t rate;            /**< Current rate in bytes per second; lower than
                              configured_rate while the link is slow. */
  int64_t burst_bytes;     /**< Capacity of each bucket in bytes. */
  int64_t level_bytes[LINKBUDGET_PRIORITY_COUNT]; /**< Number of bytes in each
                                                     bucket; negative while
                                                     there is a backlog. */
  int64_t inflow_remainder; /**< Fraction of a byte that was left over when the
                               inflow was last computed, in billionths of a
                               byte. */
  int64_t export_percent;   /**< Percentage that exports get of the inflow that
                               urgent imports leave. */
  int64_t export_remainder; /**< Fraction of a byte that was left over when the
                               exports' inflow was last computed, in hundredths
                               of a byte. */
  int64_t refreshed_ns;     /**< Time of the last update of the buckets. */
  double speed_ratio; /**< Ratio of the measured rate to the configured rate,
                         in (0, 1]. */
  double residual_ns; /**< Result of linkbudget_residual_ns at the time
                         refreshed_ns. */
};

/** Expected duration of a transfer that starts now: BACKLOG_NS + bytes *
 * NS_PER_BYTE. */
struct linkbudget_estimate
{
  double backlog_ns;
  double ns_per_byte;
};

/** Initialize LINK with full buckets. RATE is in [1, LINKBUDGET_RATE_MAX]
 * bytes per second. BURST is the capacity of each bucket in bytes. Exports
 * get EXPORT_PERCENT, in [0, 99], of the inflow that urgent imports leave,
 * and other imports get the rest; what the full bucket of one can't hold
 * goes to the other. */
void linkbudget_init (struct linkbudget *link, const struct clock *clock,
                      int64_t rate, int64_t burst, int64_t export_percent);

/** Change the configured rate, for instance when the number of processes that
 * share the link changes. */
void linkbudget_set_rate (struct linkbudget *link, int64_t rate);

/** Estimate the duration of a transfer at PRIORITY that starts now. */
struct linkbudget_estimate
linkbudget_estimate_duration (struct linkbudget *link,
                              enum linkbudget_priority priority);

/** Mean time that a new transfer waits for transfers that have begun, which
 * can't be interrupted: half the sum of the squared durations of recent
 * transfers, divided by the length of the period in which they began. */
double linkbudget_residual_ns (struct linkbudget *link);

/** Time until a transfer of BYTES at PRIORITY that starts now would finish,
 * in ns. */
int64_t linkbudget_wait_ns (struct linkbudget *link,
                            enum linkbudget_priority priority, int64_t bytes);

/** Take BYTES from the bucket of PRIORITY, whose level may become negative.
 * @return the result of linkbudget_wait_ns before the call. */
int64_t linkbudget_take (struct linkbudget *link,
                         enum linkbudget_priority priority, int64_t bytes);

/** Take BYTES from the bucket of PRIORITY only if it has that many or is full,
 * and no urgent import is waiting. For exports.
 * @return whether BYTES were taken. */
bool linkbudget_try_take (struct linkbudget *link,
                          enum linkbudget_priority priority, int64_t bytes);

/** Return BYTES that were taken but not transferred to the bucket. */
void linkbudget_refund (struct linkbudget *link,
                        enum linkbudget_priority priority, int64_t bytes);

/** Record that a transfer took ACTUAL_NS instead of the expected EXPECTED_NS.
 * A slow link lowers the rate, which recovers by itself in tens of seconds. */
void linkbudget_record_duration (struct linkbudget *link, int64_t expected_ns,
                                 int64_t actual_ns);

#endif
