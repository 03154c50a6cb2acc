#include "forwardattempt.h"
#include "forwardhost.h"
#include "forwardsend.h"

struct forward_attempt *
forwardattempt_new (struct forward *forward, const struct exchange_ops *ops)
{
  struct forwarder *forwarder = forward->forwarder;
  struct forward_attempt *attempt = g_new0 (struct forward_attempt, 1);

  attempt->forward = forward;
  exchange_init (&attempt->exchange, &forwarder->responses, forwarder->dialect,
                 forwarder->clock, ops, attempt);
  return attempt;
}

void
forwardattempt_free (struct forward_attempt *attempt)
{
  forward_uncount_load (attempt);
  forwardhost_release (attempt);
  exchange_finish (&attempt->exchange);
  g_free (attempt->fetch_store_name);
  g_free (attempt);
}
