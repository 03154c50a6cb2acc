#include "forwardwait.h"
#include "forwardsend.h"

#include <limits.h>

enum
{
  /* Offset added to the class of a request that has missed its target. It
   * is larger than any priority. */
  LATE_CLASS_OFFSET = 100
};

static bool
is_waiting (const struct forward *forward)
{
  return !list_empty (&forward->waiting_node);
}

void
forwardwait_add (struct forward *forward)
{
  if (is_waiting (forward))
    return;
  list_append (&forward->forwarder->waiting, &forward->waiting_node);
  forward->forwarder->waiting_count++;
}

void
forwardwait_remove (struct forward *forward)
{
  if (!is_waiting (forward))
    return;
  list_remove (&forward->waiting_node);
  forward->forwarder->waiting_count--;
}

int
forwardwait_class (const struct forward *forward, int64_t now)
{
  bool missed_target
      = now - forward->arrived_ns > forward->route->latency_target_ns;

  return (missed_target ? LATE_CLASS_OFFSET : 0)
         + (int)forward_priority (forward);
}

struct forward *
forwardwait_next (const struct forwarder *forwarder, int64_t now, int above)
{
  struct forward *best = NULL;
  int best_class = INT_MAX;

  for (struct list *node = forwarder->waiting.next;
       node != &forwarder->waiting; node = node->next)
    {
      struct forward *forward
          = LIST_ENTRY (node, struct forward, waiting_node);
      int class = forwardwait_class (forward, now);

      if (forward->software_hash != 0)
        continue;
      if (class <= above || class >= best_class)
        continue;
      best = forward;
      best_class = class;
    }
  return best;
}
