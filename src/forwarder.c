#include "forwarder.h"
#include "forwardblame.h"
#include "forwardhost.h"
#include "forwardlearn.h"
#include "forwardlog.h"
#include "forwardplace.h"
#include "forwardqueue.h"
#include "forwardrefusals.h"
#include "forwardrespond.h"
#include "forwardresume.h"
#include "forwardsend.h"
#include "forwardweights.h"
#include "forwardstop.h"
#include "forwardwait.h"
#include "serverreach.h"

#include <string.h>

enum
{
  /* Minimum time left to start an attempt. With less time left, no response
   * can arrive before the deadline. */
  ATTEMPT_MARGIN_MS = 5,
  /* Base of the Retry-After time if no configuration is loaded or the route
   * has no service. */
  RETRY_AFTER_NO_CONFIG_MS = 500,
  /* Maximum number of requests in flight that other hosts have passed on. */
  FROM_HOSTS_MAX = 512
};

static struct retrybudget *
service_retry_budget (struct forwarder *forwarder, const char *service)
{
  struct retrybudget *budget
      = g_hash_table_lookup (forwarder->retry_budgets, service);

  if (budget == NULL)
    {
      budget = g_new0 (struct retrybudget, 1);
      retrybudget_init (budget, &forwarder->settings.retry);
      g_hash_table_insert (forwarder->retry_budgets, g_strdup (service),
                           budget);
    }
  return budget;
}

static void
response_bytes_received (void *data, struct exchange *exchange,
                         const char *bytes, size_t size)
{
  struct forward *forward = data;

  if (!forward->relaying)
    {
      forward->relaying = true;
      forward->relays_events = exchange_relays_events (exchange);
      if (forward->host == NULL)
        {
          forward_learn_response_head (forward);
          forwardresume_record (forward);
        }
      callerconn_stream_begin (forward->conn, exchange->response.status,
                               exchange->header_lines->str);
    }
  if (forward->counted_prefill_tokens > 0 && forward->counted_server != NULL)
    {
      forward->counted_server->pending_prefill_tokens
          -= forward->counted_prefill_tokens;
      forward->counted_prefill_tokens = 0;
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

static void
forward_attempt_ended (struct forward *forward, enum exchange_outcome outcome)
{
  struct forwarder *forwarder = forward->forwarder;
  struct exchange *exchange = &forward->exchange;
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

  if (forward->host == NULL)
    forward_learn_outcome (forward, outcome);
  else if (forwardhost_ended (forward, outcome))
    {
      /* The other host may have sent it to a server that refused it. */
      if (outcome == EXCHANGE_NOT_RUN
          && !retrybudget_acquire (
              service_retry_budget (forwarder, forward->service),
              forwarder->host_count, now))
        forward->host_tries = FORWARD_HOST_TRIES_MAX;
      forward_log_attempt (forward, outcome, FORWARDRETRY_RETRY);
      forward_place (forward);
      return;
    }
  forward_uncount_load (forward);
  /* The server of an attempt that this host withheld is not tried. */
  if (exchange->withheld && state.has_time_left)
    {
      if (forward->tried_count > 0
          && forward->tried[forward->tried_count - 1] == exchange->server)
        forward->tried_count--;
      forward_log_attempt (forward, outcome, FORWARDRETRY_RETRY);
      forward_place (forward);
      return;
    }
  if (outcome == EXCHANGE_NOT_CONNECTED || outcome == EXCHANGE_NOT_RUN)
    forward->not_run_count++;
  else
    forward->run_count++;
  forward->unconnected_count += outcome == EXCHANGE_NOT_CONNECTED;
  state.run_count = forward->run_count;
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
            service_retry_budget (forwarder, forward->service),
            forwarder->host_count, now);
  if (forward->retry_denied)
    action = forwardretry_decide_without_retry (&state);
  forward_log_attempt (forward, outcome, action);
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
    }
}

static void
exchange_ended (void *data, struct exchange *exchange,
                enum exchange_outcome outcome)
{
  struct forward *forward = data;
  struct forwarder *forwarder = forward->forwarder;
  bool frees_room
      = exchange->server->brittle.brittle || forwardqueue_count (forward) > 0;

  forward_attempt_ended (forward, outcome);
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
  struct forward *forward = data;

  if (forward->host != NULL)
    forwardhost_head_received (forward);
  else
    {
      forward_learn_answered (forward);
      forward_learn_statements (forward);
    }
}

static const struct exchange_ops exchange_ops
    = { response_passed_over, response_head_received, response_bytes_received,
        exchange_ended, forward_may_send };

static void
forward_respond_unrouted (struct forward *forward, int status,
                          const char *reason)
{
  forward_respond (forward, status, reason, 0);
}

/* Set the route, the organisation and the service of the request.
 * @return false if the request was refused and has ended */
static bool
forward_route (struct forward *forward)
{
  struct forwarder *forwarder = forward->forwarder;
  const struct call *call = &forward->call;

  forward->route = routes_find_route (forward->routes, call->host, call->path);
  if (forward->route == NULL)
    {
      forward_respond_unrouted (forward, 404, "no_route");
      return false;
    }
  if (!forward->route->is_public
      && g_hash_table_size (forward->routes->organisations) > 0)
    {
      if (call->api_key != NULL)
        forward->organisation
            = routes_find_organisation (forward->routes, call->api_key);
      if (forward->organisation == NULL)
        {
          forward_respond_unrouted (forward, 401, "unknown_key");
          return false;
        }
    }
  forward->service
      = route_pick_service (forward->route, rng_uniform (forwarder->rng));
  if (forward->service == NULL)
    {
      forward_refuse (forward, "no_service", RETRY_AFTER_NO_CONFIG_MS);
      return false;
    }
  return true;
}

static void
forward_set_deadline (struct forward *forward)
{
  int64_t timeout_ns = forward->route->timeout_ns;

  if (forward->call.timeout_ns >= 0 && forward->call.timeout_ns < timeout_ns)
    timeout_ns = forward->call.timeout_ns;
  forward->deadline_ns
      = clock_boottime (forward->forwarder->clock)
        - (clock_now (forward->forwarder->clock) - forward->arrived_ns)
        + timeout_ns;
}

static void
forward_start (struct forward *forward)
{
  struct forwarder *forwarder = forward->forwarder;
  struct callerconn *conn = forward->conn;

  if (!forward_route (forward))
    return;
  forward_set_deadline (forward);
  forwardresume_expect (forward);
  /* The host that passed the request on has counted it. */
  if (!forward->from_host)
    retrybudget_count_request (
        service_retry_budget (forwarder, forward->service),
        clock_now (forwarder->clock));
  forward->fingerprint = poisoncount_fingerprint (
      forward->organisation != NULL ? forward->organisation->name : "",
      conn->target->str, conn->body->data, conn->body->len);
  forwardblame_set_parts (forward);
  if (forwarder->is_ending)
    forward_refuse (forward, "stopping", FORWARDSTOP_RETRY_AFTER_MS);
  else if (poisoncount_is_blocked (forwarder->poisoncount,
                                   forward->fingerprint))
    forward_refuse (forward, "ends_servers",
                    FORWARDPLACE_RETRY_AFTER_POISON_MS);
  else
    {
      forward->origin_known = !forwardresume_is_return (forward);
      forward_place (forward);
    }
}

/* Returns why a request that another host has passed on must be refused; NULL
 * if it need not. Too many of them would keep this host's own callers waiting,
 * and the other host may know a newer configuration. */
static const char *
host_refusal_reason (const struct forwarder *forwarder,
                     const struct call *call)
{
  if (forwarder->from_host_count >= FROM_HOSTS_MAX)
    return "too_many_from_hosts";
  if (call->config_version > forwarder->routes->version)
    return "older_configuration";
  return NULL;
}

static void
request_receive (struct forwarder *forwarder, struct callerconn *conn,
                 bool from_host)
{
  const char *reason = NULL;
  struct forward *forward;
  struct error error;
  struct call call;
  GString *lines;
  int status = 503;

  if (forwarder->dialect->call_decode (&conn->head, conn->target->str, &call,
                                       &error)
          != STATUS_OK
      || call.request_id == NULL)
    {
      status = 400;
      reason = "malformed";
    }
  else if (forwarder->routes == NULL)
    reason = "no_configuration";
  else if (from_host)
    reason = host_refusal_reason (forwarder, &call);
  if (reason == NULL)
    {
      forward = g_new0 (struct forward, 1);
      forward->from_host = from_host;
      forward->run_count = from_host ? call.earlier_runs : 0;
      forwarder->from_host_count += from_host;
      forward->forwarder = forwarder;
      forward->conn = conn;
      forward->call = call;
      forward->routes = routes_ref (forwarder->routes);
      forward->arrived_ns = conn->arrived_ns;
      conn->owner_data = forward;
      list_init (&forward->node);
      list_init (&forward->waiting_node);
      list_init (&forward->origin_query.node);
      list_append (&forwarder->requests, &forward->node);
      forwarder->request_count++;
      if (from_host)
        forwardrefusals_add (forward, &call.refusals);
      exchange_init (&forward->exchange, &forwarder->responses,
                     forwarder->dialect, forwarder->clock, &exchange_ops,
                     forward);
      forward_start (forward);
      return;
    }
  log_event (forwarder->log, EVENT_FORWARD_REFUSED,
             "id=%s status=%d reason=%s peer=%s",
             call.request_id != NULL ? call.request_id : "-", status, reason,
             conn->caller_ip);
  lines = g_string_new (NULL);
  forwarder->dialect->own_headers_encode (
      lines, call.request_id,
      status == 503
          ? forward_random_retry_after_ns (forwarder, RETRY_AFTER_NO_CONFIG_MS)
          : 0);
  if (from_host)
    forwarder->dialect->host_refusal_encode (lines, &call.refusals);
  callerconn_respond (conn, status, lines->str, "", 0);
  g_string_free (lines, TRUE);
}

void
forwarder_request_received (struct forwarder *forwarder,
                            struct callerconn *conn)
{
  request_receive (forwarder, conn, false);
}

void
forwarder_request_from_host (struct forwarder *forwarder,
                             struct callerconn *conn)
{
  request_receive (forwarder, conn, true);
}

void
forwarder_caller_disconnected (struct forwarder *forwarder,
                               struct callerconn *conn)
{
  struct forward *forward = conn->owner_data;

  if (forward == NULL)
    return;
  forward_log_end (forward, 0, conn->end_reason);
  conn->owner_data = NULL;
  forward_free (forward);
}

/* Whether the server has sent nothing for so long that the request is retried
 * at another server, and the route allows the retry. */
static bool
server_is_silent (const struct forward *forward, int64_t now)
{
  const struct exchange *exchange = &forward->exchange;
  int64_t active_ns = MAX (exchange->sent_ns, exchange->last_received_ns);

  return exchange_is_sent (exchange) && route_allows_retry (forward->route)
         && now - active_ns > forward->forwarder->settings.silence_timeout_ns
                                  + forward->route->latency_target_ns;
}

/* End the current attempt, whose server has not responded. */
static void
attempt_abandon (struct forward *forward, enum exchange_outcome outcome)
{
  struct server *server = server_ref (forward->exchange.server);

  exchange_close (&forward->exchange);
  forward_attempt_ended (forward, outcome);
  server_unref (server);
}

static void
forward_tick (struct forward *forward, int64_t now)
{
  if (forward_time_left_ns (forward) <= 0)
    {
      bool is_sent = exchange_is_sent (&forward->exchange);

      if (forward->relaying)
        forward_break (forward, "timeout");
      else if (is_sent || forward->run_count > 0)
        forward_fail (forward, "timeout");
      else
        forward_refuse (forward, "timeout", RETRY_AFTER_NO_SERVER_MS);
      return;
    }
  if (forwardqueue_refuse_lost (forward, now))
    return;
  forward_learn_silence (forward, now);
  if (forwardweights_is_overdue (forward))
    attempt_abandon (forward, EXCHANGE_OUTDATED);
  else if (forward->host == NULL && server_is_silent (forward, now)
           && forward->run_count + 1 < forward->route->servers_max)
    attempt_abandon (forward, EXCHANGE_SILENT);
}

void
forwarder_tick (struct forwarder *forwarder)
{
  int64_t now = clock_now (forwarder->clock);
  struct list *node;

  forwardwait_place (forwarder, now, forward_place);
  node = forwarder->requests.next;
  while (node != &forwarder->requests)
    {
      struct forward *forward = LIST_ENTRY (node, struct forward, node);

      node = node->next;
      forward_tick (forward, now);
    }
}
