#include "forwardstop.h"
#include "forwardrespond.h"
#include "forwardwait.h"

void
forwardstop_begin (struct forwarder *forwarder, int64_t end_ns)
{
  forwarder->stop_ns = clock_now (forwarder->clock);
  forwarder->end_ns = end_ns;
}

double
forwardstop_since_ms (const struct forwarder *forwarder)
{
  return forwarder->end_ns != 0
             ? (double)(clock_now (forwarder->clock) - forwarder->stop_ns)
                   / NS_PER_MS
             : -1.0;
}

bool
forwardstop_is_bound_here (const struct forward *forward)
{
  return forward->relaying || forward_may_have_run_here (forward);
}

bool
forwardstop_lacks_time (const struct forward *forward)
{
  const struct forwarder *forwarder = forward->forwarder;
  int64_t left_ns = forward_time_left_ns (forward);
  int64_t run_ns;

  if (forwarder->end_ns == 0 || forwardstop_is_bound_here (forward))
    return false;
  /* Without a completed request of the route, the caller's time is the only
   * bound that is known. It is also the one that counts for those who know
   * other hosts: after the first stage all callers, and another host, unless
   * its request has run, for which it may find no third one. */
  run_ns = forwarder->is_stopping
                   || (forward->from_host && forward->run_count == 0)
               ? left_ns
               : runtimes_expect (&forwarder->runtimes, forward->route->name,
                                  forward->call.output_tokens, left_ns);
  return clock_now (forwarder->clock) + run_ns > forwarder->end_ns;
}

void
forwardstop_refuse_waiting (struct forwarder *forwarder)
{
  struct list *node = forwarder->requests.next;

  forwarder->is_stopping = true;
  while (node != &forwarder->requests)
    {
      struct forward *forward = LIST_ENTRY (node, struct forward, node);

      node = node->next;
      if (forwardwait_is_waiting (forward)
          && !forwardstop_is_bound_here (forward))
        forward_give_up (forward, "stopping", FORWARDSTOP_RETRY_AFTER_MS);
    }
}

void
forwardstop_end_all (struct forwarder *forwarder)
{
  struct list *node = forwarder->requests.next;

  forwarder->is_ending = true;
  while (node != &forwarder->requests)
    {
      struct forward *forward = LIST_ENTRY (node, struct forward, node);
      bool is_sent = exchange_is_sent (&forward->attempt->exchange);

      node = node->next;
      if (is_sent && !forward->relaying)
        forward_fail (forward, "stopping");
      else
        forward_give_up (forward, "stopping", FORWARDSTOP_RETRY_AFTER_MS);
    }
}
