#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>
#include <time.h>

/** @file
 * The interface of the clock. Modules receive a struct clock and never read
 * the system's clock, so that tests can control the time. Durations and
 * monotonic times are nanoseconds in int64_t.
 */

#define NS_PER_US INT64_C (1000)
#define NS_PER_MS INT64_C (1000000)
#define NS_PER_S INT64_C (1000000000)

/** A monotonic time that is never reached. */
#define CLOCK_NEVER INT64_MAX

struct clock;

struct clock_ops
{
  int64_t (*now) (const struct clock *clock);
  struct timespec (*wall) (const struct clock *clock);
  int64_t (*boottime) (const struct clock *clock);
};

/** Base of all implementations, which have it as their first member. */
struct clock
{
  const struct clock_ops *ops;
};

/** Return the monotonic time in nanoseconds since an arbitrary start. */
static inline int64_t
clock_now (const struct clock *clock)
{
  return clock->ops->now (clock);
}

/** Like clock_now, but includes time in which the machine was suspended. Use
 * it for deadlines that other machines enforce, such as those of leases. */
static inline int64_t
clock_boottime (const struct clock *clock)
{
  return clock->ops->boottime (clock);
}

/** Return the Unix time. Use it only for records that outlive the process. */
static inline struct timespec
clock_wall (const struct clock *clock)
{
  return clock->ops->wall (clock);
}

/** Initialise a clock that reads the clocks of this machine. */
void clock_system_init (struct clock *clock);

/** A clock whose time only changes when a test advances it. */
struct clock_fake
{
  struct clock clock;
  int64_t now_ns;       /**< Monotonic time in ns. */
  struct timespec wall; /**< Unix time; advances with the monotonic time. */
  int64_t suspended_ns; /**< Nanoseconds by which clock_boottime exceeds
                           clock_now. */
};

void clock_fake_init (struct clock_fake *fake, int64_t now);
void clock_fake_advance (struct clock_fake *fake, int64_t ns);

#endif
