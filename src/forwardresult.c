#include "forwardresult.h"
#include "forwardhost.h"
#include "forwardlearn.h"
#include "forwardlog.h"
#include "forwardplace.h"
#include "forwardqueue.h"
#include "forwardrespond.h"
#include "forwardresume.h"
#include "forwardsend.h"
#include "forwardstandby.h"
#include "forwardstate.h"
#include "forwardwait.h"

enum
{
  /* Minimum time left to start an attempt. With less time left, no response
   * can arrive before the deadline. */
  ATTEMPT_MARGIN_MS = 5
};

static void
response_bytes_received (void *data, struct exchange *exchange,
                         const char *bytes, size_t size)
{
  struct forward_attempt *attempt = data;
  struct forward *forward = attempt->forward;

  if (attempt == forward->standby)
    forwardstandby_take_over (forward);
  forwardstandby_cancel (forward, "responded");
  if (!forward->relaying)
    {
      forward->relaying = true;
      forward->relays_events = exchange_relays_events (exchange);
      if (attempt->host == NULL)
        {
          forward_learn_response_head (attempt);
          forwardresume_record (forward);
        }
      callerconn_stream_begin (forward->conn, exchange->response.status,
                               exchange->header_lines->str);
    }
  if (attempt->counted_prefill_tokens > 0 && attempt->counted_server != NULL)
    {
      attempt->counted_server->pending_prefill_tokens
          -= attempt->counted_prefill_tokens;
      attempt->counted_prefill_tokens = 0;
      if (forwardqueue_count (forward) > 0)
        forwardwait_place (forward->forwarder,
                           clock_now (forward->forwarder->clock),
                           forward_place);
    }
  if (!forward->first_event_recorded)
    {
      char labels[96];

      forward->first_event_recorded = true;
      g_snprintf (labels, sizeof labels, "service=\"%s\"", forward->service);
      metrics_observe (
          forward->forwarder->metrics, "trefoilspar_first_event_seconds",
          labels,
          (double)(exchange->first_output_ns - forward->arrived_ns)
              / NS_PER_S);
    }
  callerconn_stream_write (forward->conn, bytes, size);
}

/* Decide what follows the end of the present attempt. */
static void
attempt_ended (struct forward_attempt *attempt, enum exchange_outcome outcome)
{
  struct forward *forward = attempt->forward;
  struct forwarder *forwarder = forward->forwarder;
  struct exchange *exchange = &attempt->exchange;
  int64_t now = clock_now (forwarder->clock);
  struct forwardretry_state state = {
    .route = forward->route,
    .outcome = outcome,
    .response = &exchange->response,
    .relayed = forward->relaying,
    .is_resumable
    = forward->relays_events && eventstream_is_resumable (&exchange->events),
    .has_time_left
    = forward_time_left_ns (forward) > ATTEMPT_MARGIN_MS * NS_PER_MS,
  };
  enum forwardretry_action action;

  if (attempt->host == NULL)
    forward_learn_outcome (attempt, outcome);
  else if (forwardhost_ended (attempt, outcome))
    {
      /* The other host may have sent it to a server that refused it. */
      if (outcome == EXCHANGE_NOT_RUN
          && !retrybudget_acquire (
              forwarder_retry_budget (forwarder, forward->service),
              forwarder->host_count, now))
        forward->host_tries = FORWARD_HOST_TRIES_MAX;
      forward_log_attempt (attempt, outcome, FORWARDRETRY_RETRY);
      forward_place (forward);
      return;
    }
  forward_uncount_load (attempt);
  /* The server of an attempt that this host withheld is not tried. */
  if (exchange->withheld && state.has_time_left)
    {
      forward_untry (forward, exchange->server);
      forward_log_attempt (attempt, outcome, FORWARDRETRY_RETRY);
      forward_place (forward);
      return;
    }
  if (outcome == EXCHANGE_NOT_CONNECTED || outcome == EXCHANGE_NOT_RUN)
    forward->not_run_count++;
  else
    forward->run_count++;
  forward->unconnected_count += outcome == EXCHANGE_NOT_CONNECTED;
  state.run_count = forward->run_count;
  state.earlier_runs = forward_earlier_runs (forward);
  state.not_run_count = forward->not_run_count;
  /* A request that needs a certain software waits for its servers, which are
   * probed, and so ends by its deadline at the latest. */
  if (forward->software_hash != 0)
    state.not_run_count -= forward->unconnected_count;
  action = forwardretry_decide (&state);
  forward->retry_denied
      = (action == FORWARDRETRY_RETRY || action == FORWARDRETRY_RESUME)
        && outcome != EXCHANGE_NOT_CONNECTED
        && !retrybudget_acquire (
            forwarder_retry_budget (forwarder, forward->service),
            forwarder->host_count, now);
  if (forward->retry_denied)
    action = forwardretry_decide_without_retry (&state);
  forward_log_attempt (attempt, outcome, action);
  switch (action)
    {
    case FORWARDRETRY_PASS_ON:
      forward_pass_on (forward);
      break;
    case FORWARDRETRY_RETRY:
    case FORWARDRETRY_RESUME:
      forward_place (forward);
      break;
    case FORWARDRETRY_REFUSE:
      forward_refuse (forward, exchange_outcome_name (outcome),
                      RETRY_AFTER_NO_SERVER_MS);
      break;
    case FORWARDRETRY_FAIL:
      forward_fail (forward, exchange_outcome_name (outcome));
      break;
    case FORWARDRETRY_BREAK:
      forward_break (forward, exchange_outcome_name (outcome));
      break;
    case FORWARDRETRY_KEEP:
      break;
    }
}

/* Whether the caller gets the response. */
static bool
is_passed_on (const struct forward_attempt *attempt,
              enum exchange_outcome outcome)
{
  return outcome == EXCHANGE_ANSWERED
         && (attempt->forward->relaying
             || attempt->exchange.response.status < 500);
}

/* Decide what follows the end of the standby: a whole response is passed on.
 */
static void
standby_ended (struct forward_attempt *standby, enum exchange_outcome outcome)
{
  struct forward *forward = standby->forward;

  if (!is_passed_on (standby, outcome))
    {
      forwardstandby_ended (forward, outcome);
      return;
    }
  forwardstandby_take_over (forward);
  attempt_ended (standby, outcome);
}

/* The present attempt has ended without a response for the caller while a
 * standby is under way. */
static void
present_ended (struct forward_attempt *attempt, enum exchange_outcome outcome)
{
  struct forward *forward = attempt->forward;

  forward_learn_outcome (attempt, outcome);
  if (outcome == EXCHANGE_NOT_CONNECTED || outcome == EXCHANGE_NOT_RUN)
    forward->not_run_count++;
  else
    forward->run_count++;
  forward_log_attempt (attempt, outcome, FORWARDRETRY_KEEP);
  forwardstandby_promote (forward, exchange_outcome_name (outcome));
}

static void
exchange_ended (void *data, struct exchange *exchange,
                enum exchange_outcome outcome)
{
  struct forward_attempt *attempt = data;
  struct forward *forward = attempt->forward;
  struct forwarder *forwarder = forward->forwarder;
  bool frees_room
      = exchange->server->brittle.brittle || forwardqueue_count (forward) > 0;

  if (attempt == forward->standby)
    standby_ended (attempt, outcome);
  else if (forward->standby != NULL && !is_passed_on (attempt, outcome))
    present_ended (attempt, outcome);
  else
    attempt_ended (attempt, outcome);
  if (frees_room)
    forwardwait_place (forwarder, clock_now (forwarder->clock), forward_place);
}

static void
response_passed_over (void *data, struct exchange *exchange)
{
  forward_log_passed_over (data);
}

static void
response_head_received (void *data, struct exchange *exchange)
{
  struct forward_attempt *attempt = data;

  if (attempt->host != NULL)
    forwardhost_head_received (attempt);
  else
    {
      forward_learn_answered (attempt);
      forward_learn_statements (attempt);
    }
}

const struct exchange_ops forwardresult_ops
    = { response_passed_over, response_head_received, response_bytes_received,
        exchange_ended, forward_may_send };

void
forwardresult_abandon (struct forward *forward, enum exchange_outcome outcome)
{
  struct server *server = server_ref (forward->attempt->exchange.server);

  exchange_close (&forward->attempt->exchange);
  if (forward->standby != NULL)
    present_ended (forward->attempt, outcome);
  else
    attempt_ended (forward->attempt, outcome);
  server_unref (server);
}
