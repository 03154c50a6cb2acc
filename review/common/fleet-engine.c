#include "fleet-parts.h"

#include <string.h>

/* A request that an engine works on. */
struct run
{
  struct fleet_engine *engine;
  struct fleet_request *request;
  struct callerconn *conn;
  uv_timer_t timer;
  unsigned next_event;
  bool is_stream;
  bool is_running; /* It has a slot. */
};

/* What the engine states of itself in all its answers. */
static const char *
fleet_statement (const struct fleet_engine *engine)
{
  return engine->statement != NULL ? engine->statement : "";
}

static void
entry_write (struct fleet_engine *engine)
{
  char *key = g_strdup_printf ("servers/%s", engine->id);
  char *models = engine->has_model
                     ? g_strdup_printf ("\"stage\":\"colocated\",\"models\":[{"
                                        "\"name\":\"m0\",\"version\":%u,"
                                        "\"adapters\":[]}],",
                                        engine->version)
                     : g_strdup ("");
  char *value = g_strdup_printf (
      "{\"backend\":\"%s\",\"address\":\"" SOAK_IP
      ":%u\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":%u,\"state\":"
      "\"ready\",\"coldLeftMs\":0,%s\"sequence\":%u,\"born\":%" G_GINT64_FORMAT
      "}",
      engine->service, engine->port, engine->slots, models, engine->version,
      engine->born);

  soak_store_put (&engine->fleet->store, key, value);
  g_free (value);
  g_free (models);
  g_free (key);
}

static void
run_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void run_due (uv_timer_t *timer);

/* Give RUN a slot. */
static void
run_start (struct run *run)
{
  const struct fleet_settings *settings = &run->engine->fleet->settings;

  run->is_running = true;
  run->engine->running++;
  run->request->begun++;
  if (run->engine->fleet->run_begun != NULL)
    run->engine->fleet->run_begun (run->engine, run->conn, run->request);
  uv_timer_start (&run->timer, run_due,
                  run->is_stream ? settings->event_ms : settings->work_ms,
                  run->is_stream ? settings->event_ms : 0);
}

/* End RUN; one that waits gets its slot. */
static void
run_end (struct run *run)
{
  struct fleet_engine *engine = run->engine;

  if (run->is_running)
    engine->running--;
  else
    g_queue_remove (engine->waiting, run);
  uv_close ((uv_handle_t *)&run->timer, run_closed);
  if (engine->running < engine->slots && !g_queue_is_empty (engine->waiting))
    run_start (g_queue_pop_head (engine->waiting));
}

static void
run_due (uv_timer_t *timer)
{
  struct run *run = timer->data;
  char *lines = g_strdup_printf (
      "Content-Type: %s\r\nX-Request-Id: %s\r\nX-Response-Seal: s.%s\r\n%s",
      run->is_stream ? "text/event-stream" : "text/plain", run->request->id,
      run->request->id, fleet_statement (run->engine));

  if (!run->is_stream)
    {
      run->request->completed++;
      callerconn_respond (run->conn, 200, lines, run->request->id,
                          strlen (run->request->id));
      run_end (run);
    }
  else
    {
      char event[64];

      if (run->next_event == 1)
        callerconn_stream_begin (run->conn, 200, lines);
      g_snprintf (event, sizeof event, "id: %u\ndata: %s\n\n", run->next_event,
                  run->request->id);
      callerconn_stream_write (run->conn, event, strlen (event));
      if (run->next_event++ == run->engine->fleet->settings.events)
        {
          run->request->completed++;
          callerconn_stream_end (run->conn);
          run_end (run);
        }
    }
  g_free (lines);
}

static void
run_begin (struct fleet_engine *engine, struct callerconn *conn,
           struct fleet_request *request)
{
  struct run *run = g_new0 (struct run, 1);

  run->engine = engine;
  run->request = request;
  run->conn = conn;
  run->is_stream = engine->has_model;
  run->next_event = 1;
  conn->owner_data = run;
  uv_timer_init (&engine->fleet->soak.loop, &run->timer);
  run->timer.data = run;
  if (engine->running < engine->slots)
    run_start (run);
  else
    g_queue_push_tail (engine->waiting, run);
}

static void
report_answer (struct fleet_engine *engine, struct callerconn *conn)
{
  char *body = g_strdup_printf (
      "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":%u,"
      "\"adapters\":[]}],\"busy\":false,\"sequence\":%u,\"queued\":0,"
      "\"running\":0,\"kvUsed\":0,\"kvTotal\":78177,\"handles\":0}",
      engine->version, engine->orders);

  callerconn_respond (conn, 200, "Content-Type: application/json\r\n", body,
                      strlen (body));
  g_free (body);
}

static void
order_answer (struct fleet_engine *engine, struct callerconn *conn)
{
  char *text = g_strndup ((const char *)conn->body->data, conn->body->len);
  const char *version = strstr (text, "\"version\":");

  for (const char *at = version; at != NULL;
       at = strstr (at + 1, "\"version\":"))
    version = at;
  if (version != NULL && atoi (version + 10) > 0)
    engine->version = (unsigned)atoi (version + 10);
  engine->orders++;
  fleet_say (engine->fleet, "engine %s takes an order: weights %u", engine->id,
             engine->version);
  engine->cache != NULL ? g_hash_table_remove_all (engine->cache) : (void)0;
  callerconn_respond (conn, 202, "", "", 0);
  entry_write (engine);
  g_free (text);
}

/* There is no room for the request, which has not run. */
static void
request_reject (struct fleet_engine *engine, struct callerconn *conn,
                const char *lines)
{
  char *all = g_strconcat (lines, "X-Not-Executed: 1\r\n", NULL);

  callerconn_respond (conn, 503, all, "", 0);
  g_free (all);
  if (engine->fleet->rejected != NULL)
    engine->fleet->rejected (engine);
}

static void
engine_request (void *data, struct callerconn *conn)
{
  struct fleet_engine *engine = data;
  const char *id = fleet_field (conn, "X-Request-Id");
  struct fleet_request *request
      = g_hash_table_lookup (engine->fleet->requests, id);
  char *lines = g_strdup_printf ("X-Instance-Id: %s\r\nX-Request-Id: %s\r\n%s",
                                 engine->id, id, fleet_statement (engine));
  const char *expected = fleet_field (conn, "X-Expect-Version");

  if (strcmp (conn->target->str, "/health") == 0)
    callerconn_respond (conn, 200, lines, "", 0);
  else if (strcmp (conn->target->str, "/report") == 0 && engine->is_faulty)
    engine->fleet->report (engine, conn);
  else if (strcmp (conn->target->str, "/report") == 0)
    report_answer (engine, conn);
  else if (strcmp (conn->target->str, "/order") == 0)
    order_answer (engine, conn);
  else if (strcmp (fleet_field (conn, "X-Expect-Instance"), engine->id) != 0
           || (expected[0] != '\0'
               && (unsigned)atoi (expected) != engine->version))
    callerconn_respond (conn, 421, lines, "", 0);
  else if (request == NULL)
    callerconn_respond (conn, 400, "X-Not-Executed: 1\r\n", "", 0);
  else
    {
      request->passed_on++;
      if (engine->running < engine->slots
          || g_queue_get_length (engine->waiting) < engine->queue)
        run_begin (engine, conn, request);
      else
        request_reject (engine, conn, lines);
    }
  g_free (lines);
}

static void
engine_left (void *data, struct callerconn *conn)
{
  run_end (conn->owner_data);
}

static void
bad_http (void *data, struct callerconn *conn, int status, const char *reason)
{
}

static const struct callerserver_ops engine_ops
    = { engine_request, engine_left, bad_http };

struct fleet_engine *
fleet_add_engine (struct fleet *fleet, const char *service, bool has_model)
{
  struct fleet_engine *engine = &fleet->engines[fleet->engine_count];

  engine->fleet = fleet;
  engine->service = service;
  engine->has_model = has_model;
  engine->version = 1;
  engine->slots = has_model ? 64 : 6;
  engine->queue = has_model ? 192 : 24;
  engine->waiting = g_queue_new ();
  engine->born = 1700000000000;
  engine->port = port_find ();
  engine->cache
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_snprintf (engine->id, sizeof engine->id, "i-%s%u", service,
              ++fleet->engine_count);
  server_open (fleet, &engine->server, engine->port, &engine_ops, engine);
  entry_write (engine);
  return engine;
}

/* The KV cache store, which holds nothing. */

struct held
{
  uv_timer_t timer;
  struct callerconn *conn;
};

static void
held_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
events_due (uv_timer_t *timer)
{
  static const char body[] = "{\"bootEpoch\":7,\"next\":1,\"hasGap\":false,"
                             "\"events\":[],\"clock_ms\":1000.0}";
  struct held *held = timer->data;

  callerconn_respond (held->conn, 200, "Content-Type: application/json\r\n",
                      body, strlen (body));
  uv_close ((uv_handle_t *)timer, held_closed);
}

static void
kvstore_request (void *data, struct callerconn *conn)
{
  struct fleet *fleet = data;
  struct held *held;

  if (fleet->kvstore_call != NULL && fleet->kvstore_call (fleet, conn))
    return;
  if (!g_str_has_prefix (conn->target->str, "/kv-events"))
    {
      callerconn_respond (conn, 200, "Content-Type: application/json\r\n",
                          "{\"bootEpoch\":7,\"next\":1,\"heldCount\":[]}", 41);
      return;
    }
  held = g_new0 (struct held, 1);
  held->conn = conn;
  held->timer.data = held;
  conn->owner_data = held;
  uv_timer_init (&fleet->soak.loop, &held->timer);
  uv_timer_start (&held->timer, events_due,
                  (unsigned)atoi (fleet_field (conn, "Wait-Ms")), 0);
}

static void
kvstore_left (void *data, struct callerconn *conn)
{
  struct held *held = conn->owner_data;

  uv_close ((uv_handle_t *)&held->timer, held_closed);
}

static const struct callerserver_ops kvstore_ops
    = { kvstore_request, kvstore_left, bad_http };

void
kvstore_open (struct fleet *fleet)
{
  fleet->kvstore_port = port_find ();
  server_open (fleet, &fleet->kvstore, fleet->kvstore_port, &kvstore_ops,
               fleet);
}

void
fleet_remove_engine (struct fleet_engine *engine)
{
  char *key = g_strdup_printf ("servers/%s", engine->id);

  fleet_say (engine->fleet, "the entry of engine %s is removed", engine->id);
  soak_store_put (&engine->fleet->store, key, NULL);
  g_free (key);
}

void
fleet_end_engine (struct fleet_engine *engine)
{
  struct list *node = engine->server.conns.next;

  while (node != &engine->server.conns)
    {
      struct callerconn *conn = LIST_ENTRY (node, struct callerconn, node);

      node = node->next;
      if (conn->owner_data != NULL)
        run_end (conn->owner_data);
    }
  callerserver_finish (&engine->server);
}

void
fleet_restart_engine (struct fleet_engine *engine)
{
  engine->born++;
  server_open (engine->fleet, &engine->server, engine->port, &engine_ops,
               engine);
  entry_write (engine);
}
