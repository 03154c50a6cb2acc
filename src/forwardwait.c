#include "forwardwait.h"
#include "forwardqueue.h"
#include "forwardsend.h"

#include <limits.h>
#include <string.h>

enum
{
  /* Offset added to the class of a request that has missed its target. It
   * is larger than any priority. */
  LATE_CLASS_OFFSET = 100,
  /* Time in which the result of a probe is expected. */
  PROBE_WAIT_MS = 500
};

/* Maximum time that a request waits for servers with limits, as a share of the
 * time left. The rest is for the response. */
static const double limited_wait_share = 0.5;

static bool
is_listed (const struct forward *forward)
{
  return !list_empty (&forward->waiting_node);
}

bool
forwardwait_is_waiting (const struct forward *forward)
{
  return is_listed (forward) || forwardqueue_is_waiting (forward);
}

void
forwardwait_add (struct forward *forward)
{
  if (is_listed (forward))
    return;
  if (forwardqueue_is_used (forward))
    {
      forwardqueue_add (forward);
      return;
    }
  list_append (&forward->forwarder->waiting, &forward->waiting_node);
  forward->forwarder->waiting_count++;
}

void
forwardwait_remove (struct forward *forward)
{
  forwardqueue_remove (forward);
  if (!is_listed (forward))
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

/* Return the oldest waiting request of the lowest class that is greater than
 * ABOVE, or NULL if there is none. Requests that need a certain software are
 * left out. */
static struct forward *
waiting_next (const struct forwarder *forwarder, int64_t now, int above)
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

/* Return the time until CHOICE has capacity for the request, if it waits
 * behind the waiting requests of its service that are as urgent, and only the
 * limits of servers keep it from being sent; CLOCK_NEVER if this host may send
 * nothing. */
static int64_t
limited_wait_ns (const struct forward *forward,
                 const struct choose_result *choice)
{
  const struct forwarder *forwarder = forward->forwarder;
  int64_t now = clock_now (forwarder->clock);
  int class = forwardwait_class (forward, now);
  /* The queue tries a request only when it is next. */
  unsigned ahead = forwardqueue_is_waiting (forward)
                       ? 0
                       : forwardqueue_count_ahead (forward);

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

bool
forwardwait_limits_allow (const struct forward *forward,
                          const struct choose_result *choice)
{
  int64_t left_ns = forward_time_left_ns (forward);
  int64_t wait_ns;

  if (choice->limited == 0 || choice->others_at_capacity)
    return true;
  wait_ns = limited_wait_ns (forward, choice);
  return wait_ns != CLOCK_NEVER
         && (double)wait_ns <= limited_wait_share * (double)left_ns;
}

/* Return the time since the caller of a stream received something, or since
 * the request arrived. */
static int64_t
pause_ns (const struct forward *forward)
{
  int64_t last_ns = forward->relaying
                        ? forward->attempt->exchange.last_received_ns
                        : forward->arrived_ns;

  return clock_now (forward->forwarder->clock) - last_ns;
}

bool
forwardwait_is_early (const struct forward *forward)
{
  return pause_ns (forward) < PROBE_WAIT_MS * NS_PER_MS;
}

bool
forwardwait_pause_allows (const struct forward *forward)
{
  return !forward->relaying || forward->route->gap_target_ns == 0
         || pause_ns (forward) < route_caller_patience_ns (forward->route);
}

/* Place the waiting requests that need a certain software. That they find no
 * capacity says nothing about other requests. */
static void
resumed_place (struct forwarder *forwarder,
               void (*place) (struct forward *forward))
{
  struct list *node = forwarder->waiting.next;

  while (node != &forwarder->waiting)
    {
      struct forward *forward
          = LIST_ENTRY (node, struct forward, waiting_node);

      node = node->next;
      if (forward->software_hash != 0)
        place (forward);
    }
}

void
forwardwait_place (struct forwarder *forwarder, int64_t now,
                   void (*place) (struct forward *forward))
{
  struct forward *forward;
  int skipped_class = -1;

  if (forwarder->is_placing)
    return;
  forwarder->is_placing = true;
  resumed_place (forwarder, place);
  forwardqueue_serve (forwarder, now, place);
  while ((forward = waiting_next (forwarder, now, skipped_class)) != NULL)
    {
      int class = forwardwait_class (forward, now);
      size_t count = forwarder->waiting_count;

      place (forward);
      if (forwarder->waiting_count == count)
        skipped_class = class;
    }
  forwarder->is_placing = false;
}
