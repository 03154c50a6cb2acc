#include "forwarder.h"
#include "forwardattempt.h"
#include "forwardblame.h"
#include "forwardlearn.h"
#include "forwardlog.h"
#include "forwardplace.h"
#include "forwardqueue.h"
#include "forwardrefusals.h"
#include "forwardrespond.h"
#include "forwardresult.h"
#include "forwardresume.h"
#include "forwardstandby.h"
#include "forwardstop.h"
#include "forwardwait.h"
#include "forwardweights.h"

#include <string.h>

enum
{
  /* Base of the Retry-After time if no configuration is loaded or the route
   * has no service. */
  RETRY_AFTER_NO_CONFIG_MS = 500,
  /* Time since the last tick from which on the process has stood still. */
  TICK_LATE_MS = 200,
  /* Maximum number of requests in flight that other hosts have passed on. */
  FROM_HOSTS_MAX = 512
};

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
        forwarder_retry_budget (forwarder, forward->service),
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
      forwarder->from_host_count += from_host;
      forward->forwarder = forwarder;
      forward->conn = conn;
      forward->call = call;
      forward->run_count = forward_earlier_runs (forward);
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
      forward->attempt = forwardattempt_new (forward, &forwardresult_ops);
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

static void
forward_tick (struct forward *forward, int64_t now)
{
  if (forward_time_left_ns (forward) <= 0)
    {
      bool is_sent = exchange_is_sent (&forward->attempt->exchange);

      if (forward->relaying)
        forward_break (forward, "timeout");
      else if (is_sent || forward_may_have_run_here (forward))
        forward_fail (forward, "timeout");
      else
        forward_refuse (forward, "timeout", RETRY_AFTER_NO_SERVER_MS);
      return;
    }
  if (forwardqueue_refuse_lost (forward, now))
    return;
  forward_learn_silence (forward->attempt, now);
  if (forward->standby != NULL)
    forward_learn_silence (forward->standby, now);
  if (forwardweights_is_overdue (forward->attempt))
    forwardresult_abandon (forward, EXCHANGE_OUTDATED);
  else
    forwardstandby_tick (forward, now);
}

/* Whether the process has just stood still, so that what arrived meanwhile has
 * to be read before anything is judged by its time. */
static bool
has_stood_still (struct forwarder *forwarder, int64_t now)
{
  bool is_late = forwarder->last_tick_ns != 0
                 && now - forwarder->last_tick_ns > TICK_LATE_MS * NS_PER_MS;

  forwarder->last_tick_ns = now;
  /* Two late ticks in a row are those of a process without processor time. */
  forwarder->skipped_tick = is_late && !forwarder->skipped_tick;
  return forwarder->skipped_tick;
}

void
forwarder_tick (struct forwarder *forwarder)
{
  int64_t now = clock_now (forwarder->clock);
  struct list *node;

  if (has_stood_still (forwarder, now))
    return;
  forwardwait_place (forwarder, now, forward_place);
  node = forwarder->requests.next;
  while (node != &forwarder->requests)
    {
      struct forward *forward = LIST_ENTRY (node, struct forward, node);

      node = node->next;
      forward_tick (forward, now);
    }
}
