#include "forwardwait.h"
#include "forwardsend.h"

#include <limits.h>
#include <string.h>

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

int64_t
forwardwait_limited_ns (const struct forward *forward,
                        const struct choose_result *choice)
{
  const struct forwarder *forwarder = forward->forwarder;
  int64_t now = clock_now (forwarder->clock);
  int class = forwardwait_class (forward, now);
  unsigned ahead = 0;

  if (choice->limited_per_s <= 0)
    return CLOCK_NEVER;
  for (const struct list *node = forwarder->waiting.next;
       node != &forwarder->waiting; node = node->next)
    {
      const struct forward *other
          = LIST_ENTRY (node, struct forward, waiting_node);

      if (other == forward)
        break;
      ahead += strcmp (other->service, forward->service) == 0
               && forwardwait_class (other, now) <= class;
    }
  return choice->limited_wait_ns
         + (int64_t)(ahead / choice->limited_per_s * NS_PER_S);
}
