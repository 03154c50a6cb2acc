#ifndef LINK_H
#define LINK_H

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
#define LINK_RATE_MAX INT64_C (16000000000)

enum link_priority
{
  LINK_URGENT, /**< Imports for requests of urgent kinds. */
  LINK_IMPORT, /**< Other imports. */
  LINK_EXPORT, /**< Writes of blocks to the store. */
  LINK_PRIORITIES
};

struct link
{
  const struct clock *clock;
  int64_t configured;             /**< Configured rate in bytes per second. */
  int64_t rate;                   /**< Current rate in bytes per second; lower
                                       than configured while the link is
                                       slow. */
  int64_t burst;                  /**< Capacity of each bucket in bytes. */
  int64_t level[LINK_PRIORITIES]; /**< Bytes in each bucket; negative for a
                                       backlog. */
  int64_t fraction;        /**< Remainder of the inflow, in billionths of
                                a byte. */
  int64_t export_percent;  /**< Exports' percentage of the inflow that
                                urgent imports leave. */
  int64_t export_fraction; /**< Remainder of the exports' inflow, in
                                hundredths of a byte. */
  int64_t refreshed_ns;    /**< Time of the last update of the buckets. */
  double speed;            /**< Measured rate divided by the configured one, in
                                (0, 1]. */
  double residual_ns;      /**< link_residual_ns at the time refreshed_ns. */
};

/** Expected duration of a transfer that starts now: BACKLOG_NS + bytes *
 * NS_PER_BYTE. */
struct link_quote
{
  double backlog_ns;
  double ns_per_byte;
};

/** Initialize LINK with full buckets. RATE is in [1, LINK_RATE_MAX] bytes per
 * second, BURST in bytes. Exports get EXPORT_PERCENT, in [0, 99], of the
 * inflow that urgent imports leave, and other imports get the rest; what the
 * full bucket of one can't hold goes to the other. */
void link_init (struct link *link, const struct clock *clock, int64_t rate,
                int64_t burst, int64_t export_percent);

/** Change the configured rate, for instance when the number of processes that
 * share the link changes. */
void link_set_rate (struct link *link, int64_t rate);

/** Estimate the duration of a transfer at PRIORITY. */
struct link_quote link_quote (struct link *link, enum link_priority priority);

/** Mean time that a new transfer waits for transfers that have begun, which
 * can't be interrupted: half the sum of the squared durations of recent
 * transfers, divided by the length of the period in which they began. */
double link_residual_ns (struct link *link);

/** Time until a transfer of BYTES that starts now would finish, in ns. */
int64_t link_wait (struct link *link, enum link_priority priority,
                   int64_t bytes);

/** Take BYTES from the bucket of PRIORITY, whose level may become negative.
 * @return the result of link_wait before the call. */
int64_t link_take (struct link *link, enum link_priority priority,
                   int64_t bytes);

/** Take BYTES from the bucket of PRIORITY only if it has that many or is full,
 * and no urgent import is waiting. For exports.
 * @return whether BYTES were taken. */
bool link_try (struct link *link, enum link_priority priority, int64_t bytes);

/** Return BYTES that were taken but not transferred to the bucket. */
void link_return (struct link *link, enum link_priority priority,
                  int64_t bytes);

/** Record that a transfer took ACTUAL_NS instead of the expected EXPECTED_NS.
 * A slow link lowers the rate, which recovers by itself in tens of seconds. */
void link_observe (struct link *link, int64_t expected_ns, int64_t actual_ns);

#endif
