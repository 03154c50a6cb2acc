#include "pausewatch.h"

#include <string.h>

enum
{
  /* A time between two ticks from which on it counts as a pause. */
  PAUSE_MIN_MS = 250,
  /* Time after a pause within which what has arrived meanwhile is read. */
  CATCH_UP_MS = 500
};

void
pausewatch_init (struct pausewatch *watch, const struct clock *clock)
{
  memset (watch, 0, sizeof *watch);
  watch->clock = clock;
  watch->last_tick_ns = clock_boottime (clock);
  watch->last_tick_mono_ns = clock_now (clock);
  watch->paused_from_ns = watch->last_tick_ns;
  watch->paused_until_ns = watch->last_tick_ns;
}

/* Whether what arrived in the last pause may not have been read by TIME_NS. */
static bool
is_catching_up (const struct pausewatch *watch, int64_t time_ns)
{
  return time_ns - watch->paused_until_ns < CATCH_UP_MS * NS_PER_MS;
}

bool
pausewatch_tick (struct pausewatch *watch, struct pausewatch_pause *pause)
{
  int64_t now = clock_boottime (watch->clock);
  int64_t mono = clock_now (watch->clock);
  bool paused = now - watch->last_tick_ns >= PAUSE_MIN_MS * NS_PER_MS;

  if (paused)
    {
      pause->from_ns = watch->last_tick_ns;
      pause->span_ns = now - watch->last_tick_ns;
      pause->suspended_ns = pause->span_ns - (mono - watch->last_tick_mono_ns);
      if (!is_catching_up (watch, watch->last_tick_ns))
        watch->paused_from_ns = watch->last_tick_ns;
      watch->paused_until_ns = now;
    }
  watch->last_tick_ns = now;
  watch->last_tick_mono_ns = mono;
  return paused;
}

int64_t
pausewatch_news_since_ns (const struct pausewatch *watch)
{
  if (is_catching_up (watch, clock_boottime (watch->clock)))
    return watch->paused_from_ns;
  return watch->last_tick_ns;
}
