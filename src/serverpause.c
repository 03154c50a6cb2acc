#include "serverpause.h"
#include "clock.h"

#include <glib.h>

static const int64_t max_ns = SERVERPAUSE_MAX_MS * NS_PER_MS;

bool
serverpause_allows (const struct serverpause *pause, int64_t now_ns)
{
  return now_ns >= pause->until_ns;
}

void
serverpause_answered (struct serverpause *pause)
{
  if (!pause->trying)
    return;
  pause->bounded = false;
  pause->trying = false;
  pause->until_ns = 0;
}

bool
serverpause_record (struct serverpause *pause, int64_t span_ns, int64_t now_ns)
{
  bool began;

  serverpause_answered (pause);
  began = span_ns > 0 && serverpause_allows (pause, now_ns);
  pause->bounded = pause->bounded || span_ns > max_ns;
  pause->until_ns = MAX (pause->until_ns, now_ns + MIN (span_ns, max_ns));
  return began;
}

void
serverpause_take (struct serverpause *pause, int64_t now_ns)
{
  if (!pause->bounded)
    return;
  pause->trying = true;
  pause->until_ns = now_ns + max_ns;
}
