#include "serverlimit.h"

bool
serverlimit_record (struct serverlimit *limit, double per_s, int64_t now_ns)
{
  bool was_limited = limit->limited;

  limit->limited = per_s >= 0;
  limit->stated_ns = now_ns;
  if (!limit->limited)
    return was_limited;
  limit->per_s = per_s;
  if (!was_limited)
    limit->since_ns = now_ns;
  return !was_limited;
}
