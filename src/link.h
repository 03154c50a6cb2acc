#ifndef LINK_H
#define LINK_H

#include "clock.h"

#include <stdbool.h>
#include <stdint.h>

/** @file
 * The budget of one store link: token buckets for each priority. Urgent
 * imports are served first, and nothing ever delays them; what their full
 * bucket can't hold is shared between other imports and exports, so that new
 * blocks are kept also while the link is busy.
 */

/** The largest rate, in bytes per second. */
#define LINK_RATE_MAX INT64_C (16000000000)

enum link_priority
{
  LINK_URGENT, /**< Imports for requests of urgent kinds. */
  LINK_IMPORT, /**< Other imports. */
  LINK_EXPORT,
  LINK_PRIORITIES
};

struct link
{
  const struct clock *clock;
  int64_t configured;             /**< bytes per second */
  int64_t rate;                   /**< in force; lower when seen slow */
  int64_t burst;                  /**< bytes that a bucket holds at most */
  int64_t level[LINK_PRIORITIES]; /**< bytes; negative: backlog */
  int64_t fraction;               /**< of a byte, in billionths */
  int64_t export_percent;         /**< of what urgent imports leave */
  int64_t export_fraction;        /**< of a byte, in hundredths */
  int64_t refreshed_ns;
  double speed;       /**< seen over configured rate, in (0, 1] */
  double residual_ns; /**< as of refreshed_ns */
};

/** What a transfer would cost now: BACKLOG_NS + bytes * NS_PER_BYTE. */
struct link_quote
{
  double backlog_ns;
  double ns_per_byte;
};

/** RATE is in [1, LINK_RATE_MAX] bytes per second, BURST in bytes; all
 * buckets start full. EXPORT_PERCENT, in [0, 99], of what urgent imports leave
 * goes to exports first, the rest to other imports; what one of them can't
 * hold goes to the other. */
void link_init (struct link *link, const struct clock *clock, int64_t rate,
                int64_t burst, int64_t export_percent);

/** Change the configured rate, as when the number of processes that share
 * the link changes. */
void link_set_rate (struct link *link, int64_t rate);

struct link_quote link_quote (struct link *link, enum link_priority priority);

/** How long a transfer that comes now waits on average for those that have
 * begun, since none of them can be interrupted: half the sum of the squares of
 * recent transfers over the time that they came in. */
double link_residual_ns (struct link *link);

/** Time until a transfer of BYTES that is taken now would be over, in ns. */
int64_t link_wait (struct link *link, enum link_priority priority,
                   int64_t bytes);

/** Take BYTES at once; the bucket may go below zero.
 * @return link_wait as it was before. */
int64_t link_take (struct link *link, enum link_priority priority,
                   int64_t bytes);

/** Take BYTES only if the bucket covers them or is full. For exports. */
bool link_try (struct link *link, enum link_priority priority, int64_t bytes);

/** Give back BYTES that were taken and not transferred. */
void link_return (struct link *link, enum link_priority priority,
                  int64_t bytes);

/** A transfer was foreseen to take EXPECTED_NS and took ACTUAL_NS: a slow
 * link lowers the rate, which recovers by itself in tens of seconds. */
void link_observe (struct link *link, int64_t expected_ns, int64_t actual_ns);

#endif
