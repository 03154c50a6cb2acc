#include "forwardstandby.h"
#include "forwardattempt.h"
#include "forwardblame.h"
#include "forwardhost.h"
#include "forwardlearn.h"
#include "forwardlog.h"
#include "forwardplace.h"
#include "forwardqueue.h"
#include "forwardsend.h"
#include "forwardstate.h"
#include "forwardweights.h"

enum
{
  /* Minimum time from one try to find a server to the next one. */
  RETRY_MS = 100,
  /* A server that has neither refused the request nor responded for this time
   * has taken it. Less than the 400 ms for which two servers may work on one
   * request, by the time that the silent one needs to learn of its end. */
  TAKEN_MS = 200,
  /* Minimum time left for a standby to be of use. */
  TIME_LEFT_MIN_MS = 20
};

/* Whether the server of the present attempt has sent nothing for too long. */
static bool
server_is_silent (const struct forward *forward, int64_t now)
{
  const struct exchange *exchange = &forward->attempt->exchange;
  int64_t active_ns = MAX (exchange->sent_ns, exchange->last_received_ns);

  return forward->attempt->host == NULL && exchange_is_sent (exchange)
         && now - active_ns > forward->forwarder->settings.silence_timeout_ns
                                  + forward->route->latency_target_ns;
}

/* Whether another attempt may follow the present one. */
static bool
may_start (const struct forward *forward)
{
  return route_allows_retry (forward->route)
         && forward->run_count + 1 < forward->route->servers_max
         && forward->not_run_count <= FORWARDRETRY_NOT_RUN_MAX
         && forward_time_left_ns (forward) > TIME_LEFT_MIN_MS * NS_PER_MS
         && (!forward->relaying
             || (forward->relays_events
                 && eventstream_is_resumable (
                     &forward->attempt->exchange.events)));
}

static bool
budget_allows (const struct forward *forward, int64_t now)
{
  struct forwarder *forwarder = forward->forwarder;

  return retrybudget_left (
             forwarder_retry_budget (forwarder, forward->service),
             forwarder->host_count, now)
         >= 1;
}

static void
budget_use (const struct forward *forward, int64_t now)
{
  struct forwarder *forwarder = forward->forwarder;

  retrybudget_acquire (forwarder_retry_budget (forwarder, forward->service),
                       forwarder->host_count, now);
}

/* Choose a server for the standby.
 * @return why there is none; NULL if there is one */
static const char *
choose (struct forward *forward, struct choose_query *query,
        struct choose_result *choice)
{
  forwardplace_choose (forward, query, choice);
  if (choice->server == NULL)
    return choice->at_capacity ? "no_room" : "no_server";
  if (choice->server == forward->attempt->exchange.server)
    return "no_server";
  if (forwardqueue_is_used (forward) && forwardqueue_must_wait (forward))
    return "no_room";
  return NULL;
}

/* Send the request by ATTEMPT.
 * @return why that can't be done; NULL if it was */
static const char *
attempt_send (struct forward_attempt *attempt, int64_t now)
{
  struct forward *forward = attempt->forward;
  struct choose_query query;
  struct choose_result choice;
  const char *reason;

  if (!budget_allows (forward, now))
    return "budget";
  if (forwardhost_is_due (forward))
    return forwardhost_send (attempt) ? NULL : "no_host";
  reason = choose (forward, &query, &choice);
  if (reason != NULL)
    return reason;
  forwardqueue_sent (forward);
  forward_log_placement (forward, &query, &choice);
  forward_send (attempt, &choice, query.required_version);
  return NULL;
}

/* Log once for each reason in turn why there is no standby. */
static void
log_kept (struct forward *forward, const char *reason)
{
  if (g_strcmp0 (forward->standby_reason, reason) == 0)
    return;
  forward->standby_reason = reason;
  forward_log_standby (forward, "kept", reason);
}

static void
standby_start (struct forward *forward, int64_t now)
{
  const struct exchange *present = &forward->attempt->exchange;
  struct forward_attempt *attempt;
  const char *reason;

  forward->standby_next_ns = now + RETRY_MS * NS_PER_MS;
  if (forwardblame_has_block (forward))
    return;
  attempt = forwardattempt_new (forward, present->ops);
  exchange_continue_from (&attempt->exchange, present);
  reason = attempt_send (attempt, now);
  if (reason != NULL)
    {
      forwardattempt_free (attempt);
      log_kept (forward, reason);
      return;
    }
  budget_use (forward, now);
  forward->standby = attempt;
  forward->standby_start_ns = now;
  forward_log_standby (forward, "started", "silent");
}

/* End the standby and free it. */
static void
standby_free (struct forward *forward)
{
  forwardattempt_free (forward->standby);
  forward->standby = NULL;
}

/* Whether another server or host has taken the request. */
static bool
standby_has_taken (const struct forward *forward, int64_t now)
{
  const struct exchange *exchange = &forward->standby->exchange;

  return exchange_is_sent (exchange)
         && ((exchange->has_head && exchange->response.success)
             || now - exchange->sent_ns > TAKEN_MS * NS_PER_MS);
}

/* Whether the present attempt has sent something since the standby was
 * started. */
static bool
present_responded (const struct forward *forward)
{
  return forward->attempt->exchange.last_received_ns
         > forward->standby_start_ns;
}

void
forwardstandby_cancel (struct forward *forward, const char *reason)
{
  if (forward->standby == NULL)
    return;
  if (forward->standby->exchange.sent_ns != 0)
    {
      if (forward->standby->host != NULL)
        forwardhost_count_runs (forward);
      else
        forward->run_count++;
    }
  forward_log_standby (forward, "cancelled", reason);
  standby_free (forward);
}

void
forwardstandby_promote (struct forward *forward, const char *reason)
{
  struct forward_attempt *ended = forward->attempt;

  forward_log_standby (forward, "promoted", reason);
  forward->attempt = forward->standby;
  forward->standby = NULL;
  forwardattempt_free (ended);
}

void
forwardstandby_take_over (struct forward *forward)
{
  struct forward_attempt *silent = forward->attempt;

  exchange_close (&silent->exchange);
  forward_learn_outcome (silent, EXCHANGE_SILENT);
  forward->run_count++;
  forward_log_attempt (silent, EXCHANGE_SILENT,
                       forward->relaying ? FORWARDRETRY_RESUME
                                         : FORWARDRETRY_RETRY);
  forwardstandby_promote (forward, "taken");
}

void
forwardstandby_ended (struct forward *forward, enum exchange_outcome outcome)
{
  struct forward_attempt *standby = forward->standby;
  bool not_run
      = outcome == EXCHANGE_NOT_CONNECTED || outcome == EXCHANGE_NOT_RUN;

  if (standby->host != NULL)
    forwardhost_ended (standby, outcome);
  else
    forward_learn_outcome (standby, outcome);
  if (standby->exchange.withheld)
    forward_untry (forward, standby->exchange.server);
  else if (not_run)
    forward->not_run_count++;
  else
    forward->run_count++;
  forward_log_attempt (standby, outcome, FORWARDRETRY_KEEP);
  standby_free (forward);
}

void
forwardstandby_tick (struct forward *forward, int64_t now)
{
  if (forward->standby == NULL)
    {
      if (now >= forward->standby_next_ns && server_is_silent (forward, now)
          && may_start (forward))
        standby_start (forward, now);
      return;
    }
  if (present_responded (forward))
    forwardstandby_cancel (forward, "responded");
  else if (forwardweights_is_overdue (forward->standby))
    forwardstandby_cancel (forward, "outdated");
  else if (standby_has_taken (forward, now))
    forwardstandby_take_over (forward);
}
