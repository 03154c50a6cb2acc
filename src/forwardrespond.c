#include "forwardrespond.h"
#include "forwardattempt.h"
#include "forwardhost.h"
#include "forwardlog.h"
#include "forwardsend.h"
#include "forwardwait.h"

#include <string.h>

/* Maximum Retry-After time, as a share of the request's time left. */
static const double retry_after_share = 0.3;
/* Time over which the callers return that are refused since all servers asked
 * for a pause, as a share of the time until they may return. */
static const double pause_spread_share = 0.3;

enum
{
  PAUSE_SPREAD_MIN_MS = 100, /* Minimum of that time. */
  /* Base of the Retry-After time if all servers that could run the request are
   * in evacuated data centres; evacuations last for seconds at least. */
  RETRY_AFTER_EVACUATED_MS = 1000
};

void
forward_free (struct forward *forward)
{
  forwardwait_remove (forward);
  streamorigin_cancel (&forward->origin_query);
  forward->forwarder->from_host_count -= forward->from_host;
  if (forward->standby != NULL)
    forwardattempt_free (forward->standby);
  forwardattempt_free (forward->attempt);
  list_remove (&forward->node);
  forward->forwarder->request_count--;
  routes_unref (forward->routes);
  g_free (forward);
}

void
forward_respond (struct forward *forward, int status, const char *reason,
                 int64_t retry_after_ns)
{
  struct callerconn *conn = forward->conn;
  GString *lines = g_string_new (NULL);

  forward_log_end (forward, status, reason);
  forward->forwarder->dialect->own_headers_encode (
      lines, forward->call.request_id, retry_after_ns);
  if (forward->from_host && (status == 503 || status < 500))
    forward->forwarder->dialect->host_refusal_encode (lines,
                                                      &forward->refusals);
  forward_free (forward);
  callerconn_respond (conn, status, lines->str, "", 0);
  g_string_free (lines, TRUE);
}

int64_t
forward_random_retry_after_ns (struct forwarder *forwarder, int64_t base_ms)
{
  return (int64_t)((double)base_ms * NS_PER_MS
                   * (1 + rng_uniform (forwarder->rng)));
}

void
forward_refuse (struct forward *forward, const char *reason,
                int64_t retry_after_ms)
{
  struct forwarder *forwarder = forward->forwarder;
  int64_t retry_after_ns
      = forward_random_retry_after_ns (forwarder, retry_after_ms);
  int64_t left_ns = forward_time_left_ns (forward);

  if (forward->deadline_ns != 0 && left_ns > 0)
    retry_after_ns
        = MIN (retry_after_ns, (int64_t)(retry_after_share * (double)left_ns));
  forward_respond (forward, 503, reason, retry_after_ns);
}

/* Return the time after which the caller returns best: when the pause of a
 * server has ended, in WAIT_NS, or else as late as it may return. Callers that
 * are refused at one moment return spread over some time. */
static int64_t
pause_retry_after_ns (const struct forward *forward, int64_t wait_ns)
{
  struct forwarder *forwarder = forward->forwarder;
  int64_t left_ns = forward_time_left_ns (forward);
  double latest = retry_after_share * (double)MAX (left_ns, 0);
  double first = (double)wait_ns;
  double last = first
                + MAX (pause_spread_share * first,
                       (double)(PAUSE_SPREAD_MIN_MS * NS_PER_MS));

  if (first >= latest)
    first = (1 - pause_spread_share) * latest;
  last = MIN (last, latest);
  return (int64_t)(first + (last - first) * rng_uniform (forwarder->rng));
}

void
forward_fail (struct forward *forward, const char *reason)
{
  bool expired = forward_time_left_ns (forward) <= 0;

  forward_respond (forward, expired ? 504 : 502, reason, 0);
}

void
forward_break (struct forward *forward, const char *reason)
{
  struct callerconn *conn = forward->conn;

  forward_log_end (forward, forward->attempt->exchange.response.status,
                   reason);
  forward_free (forward);
  callerconn_abort (conn);
}

void
forward_give_up (struct forward *forward, const char *reason,
                 int64_t retry_after_ms)
{
  if (forward->relaying)
    forward_break (forward, reason);
  else if (forward_may_have_run_here (forward))
    forward_fail (forward, reason);
  else
    forward_refuse (forward, reason, retry_after_ms);
}

static void
give_up_paused (struct forward *forward, int64_t wait_ns)
{
  if (forward->relaying || forward_may_have_run_here (forward))
    forward_give_up (forward, "paused", 0);
  else
    forward_respond (forward, 503, "paused",
                     pause_retry_after_ns (forward, wait_ns));
}

const char *
forward_unplaced_reason (const struct choose_result *choice)
{
  if (choice->paused > 0)
    return "paused";
  if (choice->evacuated > 0 && choice->unreachable == 0)
    return "evacuated";
  if (choice->other_region > 0 && choice->unreachable == 0)
    return "other_region";
  return "no_server";
}

void
forward_give_up_unplaced (struct forward *forward,
                          const struct choose_result *choice)
{
  const char *reason = forward_unplaced_reason (choice);

  if (choice->paused > 0)
    give_up_paused (forward, choice->paused_wait_ns);
  else
    forward_give_up (forward, reason,
                     strcmp (reason, "evacuated") == 0
                         ? RETRY_AFTER_EVACUATED_MS
                         : RETRY_AFTER_NO_SERVER_MS);
}

void
forward_pass_on (struct forward *forward)
{
  struct callerconn *conn = forward->conn;
  struct exchange *exchange = &forward->attempt->exchange;

  forward_log_end (forward, exchange->response.status, "answered");
  if (forward->relaying)
    callerconn_stream_end (conn);
  else
    callerconn_respond (conn, exchange->response.status,
                        exchange->header_lines->str,
                        (const char *)exchange->buffered_body->data,
                        exchange->buffered_body->len);
  forward_free (forward);
}
