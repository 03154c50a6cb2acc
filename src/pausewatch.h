#ifndef PAUSEWATCH_H
#define PAUSEWATCH_H

#include "clock.h"

#include <stdbool.h>

/** @file
 * Notes when this process stands still, because its machine was suspended or
 * it got no processor time. What it learns right after a pause may have
 * happened at any time in it.
 */

struct pausewatch
{
  const struct clock *clock;
  int64_t last_tick_ns; /**< Time of the last tick, including suspension. */
  int64_t last_tick_mono_ns; /**< The same time by the monotonic clock. */
  int64_t paused_from_ns;    /**< Last tick before the last pause, or before
                                the first of several that followed each other
                                within the catch-up time. */
  int64_t paused_until_ns;   /**< First tick after it. */
};

struct pausewatch_pause
{
  int64_t from_ns;      /**< Last tick before the pause, by clock_boottime. */
  int64_t span_ns;      /**< Length of the pause. */
  int64_t suspended_ns; /**< Part of it that the monotonic clock did not
                           count. */
};

/** CLOCK must outlive WATCH. */
void pausewatch_init (struct pausewatch *watch, const struct clock *clock);

/** Call regularly, at least every 100 ms.
 * @return whether the process stood still since the last tick; PAUSE is set
 * then */
bool pausewatch_tick (struct pausewatch *watch,
                      struct pausewatch_pause *pause);

/** Return the earliest time, by clock_boottime, at which something can have
 * happened that this process learns now, although news arrive at once while it
 * runs. */
int64_t pausewatch_news_since_ns (const struct pausewatch *watch);

#endif
