#include "serverbrittle.h"

#include <glib.h>
#include <string.h>

void
serverbrittle_init (struct serverbrittle *brittle,
                    const struct serverbrittle_service *service)
{
  memset (brittle, 0, sizeof *brittle);
  brittle->brittle = service->brittle;
  brittle->rejections = service->rejections;
}

bool
serverbrittle_record (struct serverbrittle *brittle, int64_t rejections,
                      int64_t stated_ns, bool here)
{
  bool is_brittle = rejections >= 0;
  bool changed = is_brittle != brittle->brittle;

  if (here)
    brittle->heard_ns = MAX (brittle->heard_ns, stated_ns);
  if (stated_ns < brittle->stated_ns)
    return false;
  brittle->stated_ns = stated_ns;
  brittle->brittle = is_brittle;
  if (is_brittle)
    brittle->rejections = (unsigned)MIN (rejections, (int64_t)UINT32_MAX);
  if (changed)
    brittle->since_ns = stated_ns;
  return changed;
}
