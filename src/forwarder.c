#include "forwarder.h"
#include "forwardlearn.h"
#include "forwardlog.h"
#include "forwardsend.h"
#include "forwardwait.h"

#include <string.h>

enum
{
  /* A send later than this before the end can't be answered in time. */
  SEND_MARGIN_MS = 5,
  RETRY_AFTER_START_MS = 500, /* no configuration yet */
  RETRY_AFTER_MS = 250,       /* no server for the moment */
  RETRY_AFTER_POISON_MS = 10000
};

/* The part of its time left after which a caller is asked to come back. */
static const double return_part = 0.3;

static void forward_place (struct forward *forward);

static void
forward_free (struct forward *forward)
{
  forwardwait_leave (forward);
  forward_uncount (forward);
  exchange_finish (&forward->exchange);
  list_remove (&forward->node);
  forward->forwarder->request_count--;
  routes_unref (forward->routes);
  g_free (forward->fetch_store);
  g_free (forward);
}

/* The final answer of this process itself. */
static void
forward_answer_own (struct forward *forward, int status, const char *reason,
                    int64_t retry_after_ns)
{
  struct callerconn *conn = forward->conn;
  GString *lines = g_string_new (NULL);

  forward_note_end (forward, status, reason);
  forward->forwarder->dialect->own_lines (lines, forward->call.request_id,
                                          retry_after_ns);
  forward_free (forward);
  callerconn_respond (conn, status, lines->str, "", 0);
  g_string_free (lines, TRUE);
}

/* Returns are spread over as long again, so that they do not come at once. */
static int64_t
retry_after (struct forwarder *forwarder, int64_t base_ms)
{
  return (int64_t)((double)base_ms * NS_PER_MS
                   * (1 + rng_unit (forwarder->rng)));
}

/* A caller comes back only while it has some time left: the wait is cut to a
 * part of that. */
static void
forward_refuse (struct forward *forward, const char *reason,
                int64_t retry_after_ms)
{
  struct forwarder *forwarder = forward->forwarder;
  int64_t wait = retry_after (forwarder, retry_after_ms);
  int64_t left = forward->end_ns - clock_now (forwarder->clock);

  if (forward->end_ns != 0 && left > 0)
    wait = MIN (wait, (int64_t)(return_part * (double)left));
  forward_answer_own (forward, 503, reason, wait);
}

static void
forward_fail (struct forward *forward, const char *reason)
{
  bool late = clock_now (forward->forwarder->clock) >= forward->end_ns;

  forward_answer_own (forward, late ? 504 : 502, reason, 0);
}

/* End a stream so that its caller sees that it is incomplete. */
static void
forward_break (struct forward *forward, const char *reason)
{
  struct callerconn *conn = forward->conn;

  forward_note_end (forward, forward->exchange.answer.status, reason);
  forward_free (forward);
  callerconn_abort (conn);
}

static void
forward_pass_on (struct forward *forward)
{
  struct callerconn *conn = forward->conn;
  struct exchange *exchange = &forward->exchange;

  forward_note_end (forward, exchange->answer.status, "answered");
  if (forward->relaying)
    callerconn_end (conn);
  else
    callerconn_respond (conn, exchange->answer.status, exchange->lines->str,
                        (const char *)exchange->held->data,
                        exchange->held->len);
  forward_free (forward);
}

static struct retrywindow *
window_of (struct forwarder *forwarder, const char *service)
{
  struct retrywindow *window
      = g_hash_table_lookup (forwarder->windows, service);

  if (window == NULL)
    {
      window = g_new0 (struct retrywindow, 1);
      retrywindow_init (window, &forwarder->settings.retry);
      g_hash_table_insert (forwarder->windows, g_strdup (service), window);
    }
  return window;
}

static void
relay (void *data, struct exchange *exchange, const char *bytes, size_t size)
{
  struct forward *forward = data;

  if (!forward->relaying)
    {
      forward->relaying = true;
      forward_learn_head (forward);
      callerconn_begin (forward->conn, exchange->answer.status,
                        exchange->lines->str);
    }
  if (forward->tokens_counted > 0 && forward->server != NULL)
    {
      forward->server->prefill_tokens -= forward->tokens_counted;
      forward->tokens_counted = 0;
    }
  if (!forward->first_noted)
    {
      char labels[96];

      forward->first_noted = true;
      g_snprintf (labels, sizeof labels, "service=\"%s\"", forward->service);
      metrics_observe (forward->forwarder->metrics,
                       "trefoilspar_first_event_seconds", labels,
                       (double)(exchange->first_ns - forward->arrived_ns)
                           / NS_PER_S);
    }
  callerconn_write (forward->conn, bytes, size);
}

static void
forward_end_attempt (struct forward *forward, enum exchange_end end)
{
  struct forwarder *forwarder = forward->forwarder;
  struct exchange *exchange = &forward->exchange;
  int64_t now = clock_now (forwarder->clock);
  struct resend_state state = {
    .route = forward->route,
    .end = end,
    .answer = &exchange->answer,
    .relayed = forward->relaying,
    .whole_events = exchange->events.count > 0 || forward->relaying,
    .time_left = now + SEND_MARGIN_MS * NS_PER_MS < forward->end_ns,
  };
  enum resend_action action;

  forward_learn_end (forward, end);
  forward_uncount (forward);
  if (end == EXCHANGE_NOT_CONNECTED || end == EXCHANGE_NOT_RUN)
    forward->not_run++;
  else
    forward->runs++;
  state.runs = forward->runs;
  state.not_run = forward->not_run;
  action = resend_decide (&state);
  if ((action == RESEND_AGAIN || action == RESEND_RESUME)
      && end != EXCHANGE_NOT_CONNECTED
      && !retrywindow_take (window_of (forwarder, forward->service),
                            forwarder->hosts, now))
    action = resend_last (&state);
  forward_note_attempt (forward, end, action);
  switch (action)
    {
    case RESEND_PASS_ON:
      forward_pass_on (forward);
      break;
    case RESEND_AGAIN:
    case RESEND_RESUME:
      forward_place (forward);
      break;
    case RESEND_REFUSE:
      forward_refuse (forward, exchange_end_name (end), RETRY_AFTER_MS);
      break;
    case RESEND_FAIL:
      forward_fail (forward, exchange_end_name (end));
      break;
    case RESEND_BREAK:
      forward_break (forward, exchange_end_name (end));
      break;
    }
}

static void
exchange_ended (void *data, struct exchange *exchange, enum exchange_end end)
{
  forward_end_attempt (data, end);
}

static const struct exchange_ops exchange_ops = { relay, exchange_ended };

static void
forward_place (struct forward *forward)
{
  struct forwarder *forwarder = forward->forwarder;
  const struct wanted_weights *wanted = forward_weights (forward);
  struct choose_query query = {
    .service = forward->service,
    .model = forward->call.model,
    .call = &forward->call,
    .excluded_count = forward->tried_count,
  };
  struct choose_result choice;

  memcpy (query.excluded, forward->tried, sizeof query.excluded);
  if (wanted != NULL)
    {
      query.wanted_version = wanted->version;
      query.weight_version = weights_due (wanted, clock_now (forwarder->clock),
                                          forwarder->settings.version_ns);
    }
  forward_stored_fill (forward, wanted != NULL ? wanted->version : 1, &query);
  choose_server (forwarder->servers, &forwarder->settings.choose, &query,
                 forwarder->rng, &choice);
  if (choice.server == NULL && choice.full)
    {
      forwardwait_enter (forward);
      return;
    }
  forwardwait_leave (forward);
  if (choice.server == NULL)
    {
      if (forward->relaying)
        forward_break (forward, "no_server");
      else if (forward->runs > 0)
        forward_fail (forward, "no_server");
      else
        forward_refuse (forward, "no_server", RETRY_AFTER_MS);
      return;
    }
  forward_note_place (forward, &query, &choice);
  forward_send (forward, &choice, query.weight_version);
}

static void
answer_unrouted (struct forward *forward, int status, const char *reason)
{
  forward_answer_own (forward, status, reason, 0);
}

/* Find the route and the organisation.
 * @return false if the request got its answer */
static bool
forward_route (struct forward *forward)
{
  struct forwarder *forwarder = forward->forwarder;
  const struct call *call = &forward->call;

  forward->route = routes_find (forward->routes, call->host, call->path);
  if (forward->route == NULL)
    {
      answer_unrouted (forward, 404, "no_route");
      return false;
    }
  if (!forward->route->open
      && g_hash_table_size (forward->routes->organisations) > 0)
    {
      if (call->key != NULL)
        forward->organisation
            = routes_organisation (forward->routes, call->key);
      if (forward->organisation == NULL)
        {
          answer_unrouted (forward, 401, "unknown_key");
          return false;
        }
    }
  forward->service = route_service (forward->route, rng_unit (forwarder->rng));
  if (forward->service == NULL)
    {
      forward_refuse (forward, "no_service", RETRY_AFTER_START_MS);
      return false;
    }
  return true;
}

static void
forward_set_end (struct forward *forward)
{
  int64_t patience = forward->route->timeout_ns;

  if (forward->call.patience_ns >= 0 && forward->call.patience_ns < patience)
    patience = forward->call.patience_ns;
  forward->end_ns = forward->arrived_ns + patience;
}

static void
forward_begin (struct forward *forward)
{
  struct forwarder *forwarder = forward->forwarder;
  struct callerconn *conn = forward->conn;

  if (!forward_route (forward))
    return;
  forward_set_end (forward);
  retrywindow_request (window_of (forwarder, forward->service),
                       clock_now (forwarder->clock));
  forward->fingerprint = poison_fingerprint (
      forward->organisation != NULL ? forward->organisation->name : "",
      conn->target->str, conn->body->data, conn->body->len);
  if (poison_is_blocked (forwarder->poison, forward->fingerprint))
    forward_refuse (forward, "ends_servers", RETRY_AFTER_POISON_MS);
  else
    forward_place (forward);
}

void
forwarder_request (struct forwarder *forwarder, struct callerconn *conn)
{
  struct forward *forward;
  struct error error;
  struct call call;
  GString *lines;
  int status = 503;

  if (forwarder->dialect->call_decode (&conn->head, conn->target->str, &call,
                                       &error)
          != STATUS_OK
      || call.request_id == NULL)
    status = 400;
  else if (forwarder->routes != NULL)
    {
      forward = g_new0 (struct forward, 1);
      forward->forwarder = forwarder;
      forward->conn = conn;
      forward->call = call;
      forward->routes = routes_ref (forwarder->routes);
      forward->arrived_ns = conn->arrived_ns;
      conn->request = forward;
      list_init (&forward->node);
      list_init (&forward->waiting_node);
      list_append (&forwarder->requests, &forward->node);
      forwarder->request_count++;
      exchange_init (&forward->exchange, forwarder->dialect, forwarder->clock,
                     &exchange_ops, forward);
      forward_begin (forward);
      return;
    }
  log_event (forwarder->log, EVENT_FORWARD_REFUSED,
             "id=%s status=%d reason=%s peer=%s",
             call.request_id != NULL ? call.request_id : "-", status,
             status == 400 ? "malformed" : "no_configuration", conn->peer);
  lines = g_string_new (NULL);
  forwarder->dialect->own_lines (
      lines, call.request_id,
      status == 503 ? retry_after (forwarder, RETRY_AFTER_START_MS) : 0);
  callerconn_respond (conn, status, lines->str, "", 0);
  g_string_free (lines, TRUE);
}

void
forwarder_gone (struct forwarder *forwarder, struct callerconn *conn)
{
  struct forward *forward = conn->request;

  if (forward == NULL)
    return;
  forward_note_end (forward, 0, "caller_left");
  conn->request = NULL;
  forward_free (forward);
}

/* Whether the server has been silent towards everybody since the request was
 * sent, for longer than its answer should take. */
static bool
server_is_silent (const struct forward *forward, int64_t now)
{
  const struct exchange *exchange = &forward->exchange;
  int64_t since = MAX (exchange->sent_ns, exchange->progress_ns);

  return exchange_is_sent (exchange) && route_is_repeatable (forward->route)
         && now - since > forward->forwarder->settings.silence_ns
                              + forward->route->target_ns;
}

static void
forward_tick (struct forward *forward, int64_t now)
{
  if (now >= forward->end_ns)
    {
      bool is_sent = exchange_is_sent (&forward->exchange);

      exchange_cancel (&forward->exchange);
      if (forward->relaying)
        forward_break (forward, "timeout");
      else if (is_sent || forward->runs > 0)
        forward_fail (forward, "timeout");
      else
        forward_refuse (forward, "timeout", RETRY_AFTER_MS);
      return;
    }
  if (server_is_silent (forward, now)
      && forward->runs + 1 < forward->route->servers_max)
    {
      struct server *server = server_ref (forward->exchange.server);

      exchange_close (&forward->exchange);
      forward_end_attempt (forward, EXCHANGE_SILENT);
      server_unref (server);
    }
}

/* Place what waits, the best class first; a class whose first request finds
 * no room is passed over, since the others of it would find none either. */
static void
waiting_place (struct forwarder *forwarder, int64_t now)
{
  struct forward *forward;
  int above = -1;

  while ((forward = forwardwait_best (forwarder, now, above)) != NULL)
    {
      int class = forwardwait_class (forward, now);
      size_t count = forwarder->waiting_count;

      forward_place (forward);
      if (forwarder->waiting_count == count)
        above = class;
    }
}

void
forwarder_tick (struct forwarder *forwarder)
{
  int64_t now = clock_now (forwarder->clock);
  struct list *node;

  waiting_place (forwarder, now);
  node = forwarder->requests.next;
  while (node != &forwarder->requests)
    {
      struct forward *forward = LIST_ENTRY (node, struct forward, node);

      node = node->next;
      forward_tick (forward, now);
    }
}

void
forwarder_fit_server (const struct forwarder *forwarder, struct server *server)
{
  const struct service *service
      = forwarder->routes != NULL
            ? routes_service (forwarder->routes, server->entry.service)
            : NULL;

  if (service != NULL && service->memory_tokens > 0)
    server->parts_tokens_max = service->memory_tokens;
}

static void
routes_drop (struct forwarder *forwarder)
{
  routes_unref (forwarder->routes);
  forwarder->routes = NULL;
}

void
forwarder_set_routes (struct forwarder *forwarder, struct routes *routes)
{
  struct routes *former = forwarder->routes;
  GHashTableIter iter;
  gpointer value;

  forwarder->routes = routes_ref (routes);
  routes_unref (former);
  g_hash_table_iter_init (&iter, forwarder->servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    forwarder_fit_server (forwarder, value);
}

void
forwarder_want_weights (struct forwarder *forwarder, const char *model,
                        uint64_t version)
{
  struct wanted_weights *wanted
      = g_hash_table_lookup (forwarder->weights, model);

  if (wanted != NULL && wanted->version >= version)
    return;
  if (wanted == NULL)
    {
      wanted = g_new0 (struct wanted_weights, 1);
      g_strlcpy (wanted->model, model, sizeof wanted->model);
      g_hash_table_insert (forwarder->weights, wanted->model, wanted);
    }
  weights_name (wanted, version, clock_now (forwarder->clock));
}

void
forwarder_init (struct forwarder *forwarder, uv_loop_t *loop,
                const struct clock *clock, struct rng *rng, struct log *log,
                struct metrics *metrics, const struct dialect *dialect,
                const struct forward_settings *settings,
                struct servers *servers, struct poison *poison,
                struct kvstores *kvstores, const struct retire *retire)
{
  memset (forwarder, 0, sizeof *forwarder);
  forwarder->loop = loop;
  forwarder->clock = clock;
  forwarder->rng = rng;
  forwarder->log = log;
  forwarder->metrics = metrics;
  forwarder->dialect = dialect;
  forwarder->settings = *settings;
  forwarder->servers = servers;
  forwarder->poison = poison;
  forwarder->kvstores = kvstores;
  forwarder->retire = retire;
  forwarder->hosts = 1;
  list_init (&forwarder->requests);
  list_init (&forwarder->waiting);
  forwarder->weights
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  forwarder->windows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
forwarder_finish (struct forwarder *forwarder)
{
  while (!list_empty (&forwarder->requests))
    forward_free (LIST_ENTRY (forwarder->requests.next, struct forward, node));
  routes_drop (forwarder);
  g_hash_table_destroy (forwarder->weights);
  g_hash_table_destroy (forwarder->windows);
}
