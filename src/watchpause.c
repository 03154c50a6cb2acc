#include "watchpause.h"
#include "clock.h"

#include <glib.h>

enum
{
  UNPAUSED_HOSTS_MAX = 16, /* Number of hosts that make no pause. */
  PAUSE_PER_HOST_MS = 13
};

int64_t
watchpause_ns (unsigned hosts, int64_t within_ns)
{
  if (hosts <= UNPAUSED_HOSTS_MAX)
    return 0;
  return MIN ((int64_t)hosts * PAUSE_PER_HOST_MS * NS_PER_MS, within_ns / 2);
}
