#include "fleet.h"
#include "../../test/reserveport.h"

#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* The entry process that the hosts run. */
#ifndef FLEET_PROGRAM
#define FLEET_PROGRAM "target/trefoilspard"
#endif

enum
{
  RESTART_MS = 300, /* from the end of a process to its next start */
  TICK_MS = 10,
  READ_BYTES = 64 * 1024,
  PATH_BYTES = 256
};

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

struct caller
{
  struct fleet *fleet;
  struct fleet_call call;
  unsigned host;
  unsigned sent_here; /* requests on this connection */
  unsigned sent;
  uv_tcp_t tcp;
  uv_timer_t timer;
  uv_connect_t connect;
  uv_write_t write;
  http_parser parser;
  struct fleet_request *request;
  int64_t heard_ns;
  bool open;
  bool connected;
  bool closing;
  char *bytes;
};

struct after
{
  uv_timer_t timer;
  struct fleet *fleet;
  void (*callback) (struct fleet *fleet);
};

void
soak_violation (struct soak *soak, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  vfprintf (stderr, format, arguments);
  va_end (arguments);
  fprintf (stderr, "\n");
  exit (2);
}

static double
now_s (const struct fleet *fleet)
{
  return (double)(clock_now (&fleet->soak.clock) - fleet->soak.start_ns)
         / NS_PER_S;
}

void
fleet_say (struct fleet *fleet, const char *format, ...)
{
  va_list arguments;

  fprintf (fleet->record, "%8.3f ", now_s (fleet));
  va_start (arguments, format);
  vfprintf (fleet->record, format, arguments);
  va_end (arguments);
  fprintf (fleet->record, "\n");
  fflush (fleet->record);
}

const char *
fleet_field (const struct callerconn *conn, const char *name)
{
  const char *value = httpfields_find (&conn->head, name);

  return value != NULL ? value : "";
}

static uint16_t
port_find (void)
{
  int file = reserveport_hold (SOAK_IP, 0);

  if (file < 0)
    exit (2);
  return reserveport_number (file);
}

static void
server_open (struct fleet *fleet, struct callerserver *server, uint16_t port,
             const struct callerserver_ops *ops, void *data)
{
  struct error error;

  if (callerserver_init (server, &fleet->soak.loop, &fleet->soak.clock,
                         SOAK_IP, port, ops, data, &error)
      != STATUS_OK)
    {
      fprintf (stderr, "%s\n", error.message);
      exit (2);
    }
  server->limits = (struct callerconn_limits){ 1 << 16, 1 << 22, 10 * NS_PER_S,
                                               30 * NS_PER_S };
}

/* Engines */

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

/* The way to the store, which may cut watches that wait. */

struct pipe
{
  struct fleet *fleet;
  uv_tcp_t ends[2]; /* to the host and to the store */
  uv_connect_t connect;
  uv_timer_t timer;
  GString *early; /* from the host, before the store has accepted */
  unsigned open_handles;
  bool connected;
  bool closing;
};

struct pipe_write
{
  uv_write_t request;
  char *bytes;
};

static void
pipe_closed (uv_handle_t *handle)
{
  struct pipe *pipe = handle->data;

  if (--pipe->open_handles > 0)
    return;
  g_string_free (pipe->early, TRUE);
  g_free (pipe);
}

static void
pipe_close (struct pipe *pipe)
{
  if (pipe->closing)
    return;
  pipe->closing = true;
  uv_close ((uv_handle_t *)&pipe->ends[0], pipe_closed);
  uv_close ((uv_handle_t *)&pipe->ends[1], pipe_closed);
  uv_close ((uv_handle_t *)&pipe->timer, pipe_closed);
}

static void
pipe_cut (uv_timer_t *timer)
{
  struct pipe *pipe = timer->data;

  pipe->fleet->cut_count++;
  pipe_close (pipe);
}

static void
pipe_written (uv_write_t *request, int status)
{
  struct pipe_write *write = (struct pipe_write *)request;

  g_free (write->bytes);
  g_free (write);
}

static void
pipe_write (struct pipe *pipe, unsigned end, const char *bytes, size_t size)
{
  struct pipe_write *write = g_new0 (struct pipe_write, 1);
  uv_buf_t buffer;

  write->bytes = g_memdup2 (bytes, size);
  buffer = uv_buf_init (write->bytes, (unsigned)size);
  uv_write (&write->request, (uv_stream_t *)&pipe->ends[end], &buffer, 1,
            pipe_written);
}

static void
pipe_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[READ_BYTES];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

static void
pipe_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  struct pipe *pipe = stream->data;
  unsigned from = stream == (uv_stream_t *)&pipe->ends[0] ? 0 : 1;

  if (size == 0 || pipe->closing)
    return;
  if (size < 0)
    {
      pipe_close (pipe);
      return;
    }
  if (from == 1)
    uv_timer_stop (&pipe->timer);
  else if (pipe->fleet->cut_watches_ms != 0
           && strncmp (buffer->base, "GET /kv-watch", 13) == 0)
    uv_timer_start (&pipe->timer, pipe_cut, pipe->fleet->cut_watches_ms, 0);
  if (from == 0 && !pipe->connected)
    g_string_append_len (pipe->early, buffer->base, size);
  else
    pipe_write (pipe, 1 - from, buffer->base, (size_t)size);
}

static void
pipe_connected (uv_connect_t *connect, int status)
{
  struct pipe *pipe = connect->data;

  if (pipe->closing)
    return;
  if (status != 0)
    {
      pipe_close (pipe);
      return;
    }
  pipe->connected = true;
  if (pipe->early->len > 0)
    pipe_write (pipe, 1, pipe->early->str, pipe->early->len);
  uv_read_start ((uv_stream_t *)&pipe->ends[1], pipe_alloc, pipe_read);
}

static void
pipe_accept (uv_stream_t *listener, int status)
{
  struct fleet *fleet = listener->data;
  struct pipe *pipe = g_new0 (struct pipe, 1);
  struct sockaddr_in address;

  pipe->fleet = fleet;
  pipe->early = g_string_new (NULL);
  pipe->open_handles = 3;
  pipe->connect.data = pipe;
  uv_timer_init (&fleet->soak.loop, &pipe->timer);
  pipe->timer.data = pipe;
  for (unsigned i = 0; i < 2; i++)
    {
      uv_tcp_init (&fleet->soak.loop, &pipe->ends[i]);
      pipe->ends[i].data = pipe;
    }
  uv_ip4_addr (SOAK_IP, fleet->store_port, &address);
  if (uv_accept (listener, (uv_stream_t *)&pipe->ends[0]) != 0
      || uv_tcp_connect (&pipe->connect, &pipe->ends[1],
                         (const struct sockaddr *)&address, pipe_connected)
             != 0)
    {
      pipe_close (pipe);
      return;
    }
  uv_read_start ((uv_stream_t *)&pipe->ends[0], pipe_alloc, pipe_read);
}

static void
proxy_open (struct fleet *fleet)
{
  struct sockaddr_in address;

  fleet->proxy_port = port_find ();
  uv_ip4_addr (SOAK_IP, fleet->proxy_port, &address);
  uv_tcp_init (&fleet->soak.loop, &fleet->proxy);
  fleet->proxy.data = fleet;
  if (uv_tcp_bind (&fleet->proxy, (const struct sockaddr *)&address, 0) != 0
      || uv_listen ((uv_stream_t *)&fleet->proxy, 128, pipe_accept) != 0)
    exit (2);
}

/* Hosts */

static void
settings_write (struct fleet_host *host)
{
  const uint16_t *ports = host->ports;
  char *text = g_strdup_printf (
      "{\"process\":{\"name\":\"front-%u\",\"role\":\"entry\","
      "\"data_centre\":\"z\"},\"listen\":{\"http\":\"" SOAK_IP
      ":%u\",\"directory\":\"" SOAK_IP ":%u\",\"ready\":\"" SOAK_IP
      ":%u\",\"peer\":\"" SOAK_IP ":%u\",\"metrics\":\"" SOAK_IP
      ":%u\"},\"kv\":{\"address\":[\"" SOAK_IP
      ":%u\"],\"timeout_ms\":1000,\"lease_ttl_ms\":3000,\"calls_per_s\":40},"
      "\"entries\":{\"lifetime_ms\":1000},\"timeouts\":{\"connect_ms\":250,"
      "\"progress_ms\":1500,\"stop_s\":8},\"retry\":{\"window_s\":10,"
      "\"window_share\":0.2,\"allowance\":54},\"servers\":{\"leave_ms\":2000},"
      "\"weights\":{\"within_ms\":6000,\"fenced\":true}}\n",
      host->number, ports[0], ports[1], ports[2], ports[3], ports[4],
      host->fleet->proxy_port);

  host->settings = g_strdup_printf ("%s/front-%u.json", host->fleet->folder,
                                    host->number);
  if (!g_file_set_contents (host->settings, text, -1, NULL))
    exit (2);
  g_free (text);
}

static void
host_ended (uv_process_t *process, int64_t status, int number)
{
  struct fleet_host *host = process->data;

  host->running = false;
  host->end_signal = number;
  host->ended_itself = !host->expects_end;
  fleet_say (host->fleet, "host %u has ended%s: status %d, signal %d",
             host->number, host->ended_itself ? " by itself" : "", (int)status,
             number);
  host->starts_ns
      = clock_now (&host->fleet->soak.clock) + RESTART_MS * NS_PER_MS;
  host->ended_count += host->ended_itself;
  host->crash_count += number != 0 && number != SIGKILL;
  uv_close ((uv_handle_t *)process, NULL);
}

static void
host_start (struct fleet_host *host)
{
  char *variable = g_strdup_printf ("TREFOILSPAR_CONFIG=%s", host->settings);
  char *log
      = g_strdup_printf ("%s/front-%u.log", host->fleet->folder, host->number);
  int file = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
  char program[] = FLEET_PROGRAM;
  char *arguments[] = { program, NULL };
  char *environment[] = { variable, NULL };
  uv_stdio_container_t stdio[3]
      = { { .flags = UV_IGNORE },
          { .flags = UV_INHERIT_FD, .data.fd = file },
          { .flags = UV_INHERIT_FD, .data.fd = file } };
  uv_process_options_t options = { .file = program,
                                   .args = arguments,
                                   .env = environment,
                                   .exit_cb = host_ended,
                                   .stdio = stdio,
                                   .stdio_count = 3 };

  memset (&host->process, 0, sizeof host->process);
  if (uv_spawn (&host->fleet->soak.loop, &host->process, &options) != 0)
    {
      fprintf (stderr, "cannot start %s\n", program);
      exit (2);
    }
  host->process.data = host;
  host->running = true;
  host->expects_end = false;
  fleet_say (host->fleet, "host %u starts", host->number);
  close (file);
  g_free (log);
  g_free (variable);
}

void
fleet_start_hosts (struct fleet *fleet)
{
  for (unsigned i = 0; i < fleet->settings.hosts; i++)
    {
      struct fleet_host *host = &fleet->hosts[i];

      host->fleet = fleet;
      host->number = i;
      for (unsigned j = 0; j < FLEET_PORTS_EACH; j++)
        host->ports[j] = port_find ();
      settings_write (host);
      host_start (host);
    }
}

void
fleet_signal (struct fleet_host *host, int number)
{
  if (!host->running)
    return;
  fleet_say (host->fleet, "host %u gets signal %d", host->number, number);
  host->expects_end = true;
  uv_process_kill (&host->process, number);
}

static double
host_memory_mb (const struct fleet_host *host)
{
  char path[PATH_BYTES];
  char *text = NULL;
  const char *line;
  double mb = 0;

  g_snprintf (path, sizeof path, "/proc/%d/status", host->process.pid);
  if (g_file_get_contents (path, &text, NULL, NULL)
      && (line = strstr (text, "VmRSS:")) != NULL)
    mb = strtod (line + 6, NULL) / 1024;
  g_free (text);
  return mb;
}

/* The platform kills a process that exceeds its memory. */
static void
memory_check (struct fleet_host *host)
{
  double mb = host->running ? host_memory_mb (host) : 0;

  host->peak_mb = MAX (host->peak_mb, mb);
  if (host->fleet->settings.memory_mb == 0
      || mb <= host->fleet->settings.memory_mb)
    return;
  fleet_say (host->fleet,
             "host %u has %.1f MB and is killed by the platform, which gives "
             "it %u MB",
             host->number, mb, host->fleet->settings.memory_mb);
  uv_process_kill (&host->process, SIGKILL);
}

/* The platform starts a process again that has ended. */
static void
host_tick (struct fleet_host *host)
{
  int64_t now = clock_now (&host->fleet->soak.clock);

  memory_check (host);
  if (!host->running && host->starts_ns != 0 && now >= host->starts_ns
      && !host->fleet->ending)
    {
      host->starts_ns = 0;
      host_start (host);
    }
}

static void
on_tick (uv_timer_t *timer)
{
  struct fleet *fleet = timer->data;

  soak_store_tick (&fleet->store);
  for (unsigned i = 0; i < fleet->settings.hosts; i++)
    host_tick (&fleet->hosts[i]);
}

/* Callers */

static struct fleet_request *
request_new (struct caller *caller)
{
  struct fleet *fleet = caller->fleet;
  struct fleet_request *request = g_new0 (struct fleet_request, 1);

  g_snprintf (request->id, sizeof request->id, "%08x%08x", fleet->order->len,
              (unsigned)getpid ());
  request->tenant = caller->call.tenant;
  request->host = caller->host;
  request->kept = caller->sent_here > 0;
  request->sent_ns = clock_now (&fleet->soak.clock);
  g_ptr_array_add (fleet->order, request);
  g_hash_table_insert (fleet->requests, request->id, request);
  return request;
}

static void
request_ended (struct caller *caller)
{
  if (caller->request == NULL)
    return;
  caller->request->ended_ns = clock_now (&caller->fleet->soak.clock);
  caller->request = NULL;
}

static void
caller_written (uv_write_t *write, int status)
{
  struct caller *caller = write->data;

  g_free (caller->bytes);
  caller->bytes = NULL;
}

static void
caller_send (struct caller *caller)
{
  const struct fleet_call *call = &caller->call;
  uv_buf_t buffer;

  if (caller->fleet->callers_stop
      || (call->requests_max != 0 && caller->sent >= call->requests_max)
      || caller->bytes != NULL)
    return;
  caller->request = request_new (caller);
  caller->heard_ns = caller->request->sent_ns;
  caller->bytes = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: %s\r\n"
      "X-Request-Deadline: %u\r\nX-Api-Key: %s\r\nContent-Length: 0\r\n%s\r\n",
      call->method, call->path, caller->request->id, call->deadline_ms,
      call->key, call->lines != NULL ? call->lines : "");
  buffer = uv_buf_init (caller->bytes, (unsigned)strlen (caller->bytes));
  caller->sent_here++;
  caller->sent++;
  caller->write.data = caller;
  uv_write (&caller->write, (uv_stream_t *)&caller->tcp, &buffer, 1,
            caller_written);
}

static void
caller_closed (uv_handle_t *handle)
{
  struct caller *caller = handle->data;

  caller->closing = false;
}

static void
caller_close (struct caller *caller)
{
  if (!caller->open)
    return;
  caller->open = false;
  caller->connected = false;
  caller->closing = true;
  uv_close ((uv_handle_t *)&caller->tcp, caller_closed);
}

static void
caller_lost (struct caller *caller)
{
  if (caller->request != NULL)
    caller->request->closed = true;
  request_ended (caller);
  caller_close (caller);
}

static int
parsed_begin (http_parser *parser)
{
  return 0;
}

static int
parsed_status (http_parser *parser)
{
  struct caller *caller = parser->data;

  if (caller->request != NULL)
    caller->request->status = (int)parser->status_code;
  return 0;
}

static int
parsed_end (http_parser *parser)
{
  struct caller *caller = parser->data;

  if (caller->request != NULL)
    caller->request->whole = true;
  request_ended (caller);
  if (http_should_keep_alive (parser) == 0)
    caller_close (caller);
  return 0;
}

static const http_parser_settings parser_settings
    = { .on_message_begin = parsed_begin,
        .on_headers_complete = parsed_status,
        .on_message_complete = parsed_end };

static void
caller_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[READ_BYTES];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

static void
caller_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  struct caller *caller = stream->data;

  if (size == 0 || !caller->open)
    return;
  if (size < 0)
    {
      caller_lost (caller);
      return;
    }
  caller->heard_ns = clock_now (&caller->fleet->soak.clock);
  http_parser_execute (&caller->parser, &parser_settings, buffer->base,
                       (size_t)size);
}

static void
caller_connected (uv_connect_t *connect, int status)
{
  struct caller *caller = connect->data;

  if (!caller->open)
    return;
  if (status != 0)
    {
      caller_close (caller);
      return;
    }
  caller->connected = true;
  uv_read_start ((uv_stream_t *)&caller->tcp, caller_alloc, caller_read);
  caller_send (caller);
}

static void
caller_connect (struct caller *caller)
{
  struct sockaddr_in address;

  uv_ip4_addr (SOAK_IP, caller->fleet->hosts[caller->host].ports[0], &address);
  uv_tcp_init (&caller->fleet->soak.loop, &caller->tcp);
  caller->tcp.data = caller;
  caller->connect.data = caller;
  http_parser_init (&caller->parser, HTTP_RESPONSE);
  caller->parser.data = caller;
  caller->sent_here = 0;
  caller->open = true;
  if (uv_tcp_connect (&caller->connect, &caller->tcp,
                      (const struct sockaddr *)&address, caller_connected)
      != 0)
    caller_close (caller);
}

/* Whether the caller may open a connection: its last one is closed, and its
 * host has not been stopped. */
static bool
caller_may_connect (const struct caller *caller)
{
  const struct fleet_host *host = &caller->fleet->hosts[caller->host];

  return !caller->open && !caller->closing && !caller->fleet->callers_stop
         && host->running && !host->expects_end
         && (caller->call.requests_max == 0
             || caller->sent < caller->call.requests_max);
}

static void
caller_tick (uv_timer_t *timer)
{
  struct caller *caller = timer->data;
  int64_t now = clock_now (&caller->fleet->soak.clock);
  int64_t patience_ns = caller->call.patience_ms * NS_PER_MS;

  if (caller->request != NULL && now - caller->heard_ns > patience_ns)
    {
      caller->request->gave_up = true;
      request_ended (caller);
      caller_close (caller);
    }
  else if (caller->request == NULL && caller->connected)
    caller_send (caller);
  else if (caller_may_connect (caller))
    caller_connect (caller);
}

void
fleet_add_caller (struct fleet *fleet, unsigned host,
                  const struct fleet_call *call)
{
  struct caller *caller = g_new0 (struct caller, 1);

  caller->fleet = fleet;
  caller->host = host;
  caller->call = *call;
  caller->timer.data = caller;
  g_ptr_array_add (fleet->callers, caller);
  uv_timer_init (&fleet->soak.loop, &caller->timer);
  uv_timer_start (&caller->timer, caller_tick, call->gap_ms, call->gap_ms);
}

/* The whole */

static struct fleet *the_fleet;

/* No process outlives the case, however it ends. */
static void
hosts_kill (void)
{
  for (unsigned i = 0; i < the_fleet->settings.hosts; i++)
    if (the_fleet->hosts[i].running)
      uv_process_kill (&the_fleet->hosts[i].process, SIGKILL);
}

static void
on_signal (uv_signal_t *handle, int number)
{
  exit (2);
}

static void
signals_start (struct fleet *fleet)
{
  static const int numbers[] = { SIGTERM, SIGINT };
  static uv_signal_t handles[G_N_ELEMENTS (numbers)];

  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      uv_signal_init (&fleet->soak.loop, &handles[i]);
      uv_signal_start (&handles[i], on_signal, numbers[i]);
    }
}

void
fleet_init (struct fleet *fleet, const char *folder,
            const struct fleet_settings *settings)
{
  const char *trouble = getenv ("TROUBLE");
  char *record = g_strdup_printf ("%s/record.txt", folder);

  memset (fleet, 0, sizeof *fleet);
  fleet->settings = *settings;
  fleet->trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  fleet->record = fopen (record, "w");
  fleet->folder = g_dir_make_tmp ("fleet-XXXXXX", NULL);
  if (fleet->record == NULL || fleet->folder == NULL)
    exit (2);
  signal (SIGPIPE, SIG_IGN);
  the_fleet = fleet;
  atexit (hosts_kill);
  uv_loop_init (&fleet->soak.loop);
  signals_start (fleet);
  clock_system_init (&fleet->soak.clock);
  rng_init (&fleet->soak.rng, 1);
  fleet->soak.start_ns = clock_now (&fleet->soak.clock);
  fleet->requests = g_hash_table_new (g_str_hash, g_str_equal);
  fleet->order = g_ptr_array_new ();
  fleet->callers = g_ptr_array_new ();
  fleet->store_port = port_find ();
  soak_store_init (&fleet->store, &fleet->soak, fleet->store_port);
  proxy_open (fleet);
  fleet->kvstore_port = port_find ();
  server_open (fleet, &fleet->kvstore, fleet->kvstore_port, &kvstore_ops,
               fleet);
  uv_timer_init (&fleet->soak.loop, &fleet->tick);
  fleet->tick.data = fleet;
  uv_timer_start (&fleet->tick, on_tick, TICK_MS, TICK_MS);
  g_free (record);
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

void
fleet_write_config (struct fleet *fleet, const char *text)
{
  fleet_say (fleet, "the operator writes op/config: %s", text);
  soak_store_put (&fleet->store, "op/config", text);
}

static void
after_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
after_due (uv_timer_t *timer)
{
  struct after *after = timer->data;

  after->callback (after->fleet);
  uv_close ((uv_handle_t *)timer, after_closed);
}

void
fleet_after (struct fleet *fleet, unsigned ms,
             void (*callback) (struct fleet *fleet))
{
  struct after *after = g_new0 (struct after, 1);

  after->fleet = fleet;
  after->callback = callback;
  after->timer.data = after;
  uv_timer_init (&fleet->soak.loop, &after->timer);
  uv_timer_start (&after->timer, after_due, ms, 0);
}

static void
fleet_end (struct fleet *fleet)
{
  fleet->ending = true;
  for (unsigned i = 0; i < fleet->settings.hosts; i++)
    if (fleet->hosts[i].running)
      {
        fleet->hosts[i].expects_end = true;
        uv_process_kill (&fleet->hosts[i].process, SIGKILL);
      }
  uv_stop (&fleet->soak.loop);
}

static void
callers_stop (struct fleet *fleet)
{
  fleet->callers_stop = true;
}

enum
{
  LAST_ANSWERS_MS = 4000 /* for the last answers, at the end of a case */
};

void
fleet_run (struct fleet *fleet, unsigned ms)
{
  fleet_after (fleet, ms - LAST_ANSWERS_MS, callers_stop);
  fleet_after (fleet, ms, fleet_end);
  uv_run (&fleet->soak.loop, UV_RUN_DEFAULT);
}

unsigned
fleet_count_lost (struct fleet *fleet, unsigned host)
{
  unsigned count = 0;

  for (guint i = 0; i < fleet->order->len; i++)
    {
      const struct fleet_request *request = fleet->order->pdata[i];

      count += request->host == host && request->kept && request->closed
               && !request->whole && request->status == 0
               && request->passed_on > 0;
    }
  return count;
}

static void
request_record (struct fleet *fleet, const struct fleet_request *request)
{
  int64_t start = fleet->soak.start_ns;

  fprintf (
      fleet->record,
      "request %s host %u tenant %s sent %.3f ended %.3f status %d%s%s%s "
      "passed_on %u begun %u completed %u%s\n",
      request->id, request->host,
      request->tenant != NULL ? request->tenant : "-",
      (double)(request->sent_ns - start) / NS_PER_S,
      request->ended_ns != 0 ? (double)(request->ended_ns - start) / NS_PER_S
                             : 0.0,
      request->status, request->whole ? " whole" : "",
      request->closed ? " closed" : "", request->gave_up ? " caller-left" : "",
      request->passed_on, request->begun, request->completed,
      request->kept ? " kept-connection" : "");
}

static void
folder_remove (const struct fleet *fleet)
{
  GDir *folder = g_dir_open (fleet->folder, 0, NULL);
  const char *name;

  while (folder != NULL && (name = g_dir_read_name (folder)) != NULL)
    {
      char *path = g_build_filename (fleet->folder, name, NULL);

      unlink (path);
      g_free (path);
    }
  if (folder != NULL)
    g_dir_close (folder);
  rmdir (fleet->folder);
}

int
fleet_finish (struct fleet *fleet, const char *rule, unsigned broken,
              unsigned allowed)
{
  unsigned served = 0;

  for (guint i = 0; i < fleet->order->len; i++)
    {
      const struct fleet_request *request = fleet->order->pdata[i];

      request_record (fleet, request);
      served += request->whole && request->status == 200;
    }
  for (unsigned i = 0; i < fleet->settings.hosts; i++)
    fprintf (fleet->record, "host %u: at most %.1f MB\n", i,
             fleet->hosts[i].peak_mb);
  fprintf (fleet->record,
           "trouble %d, %u requests, %u served, %s: %u, "
           "allowed %u: %s\n",
           fleet->trouble, fleet->order->len, served, rule, broken, allowed,
           served == 0         ? "could not run"
           : broken <= allowed ? "held"
                               : "broken");
  fclose (fleet->record);
  if (getenv ("KEEP_LOGS") == NULL)
    folder_remove (fleet);
  printf ("trouble %d: %u served, %s: %u, allowed %u\n", fleet->trouble,
          served, rule, broken, allowed);
  if (served == 0)
    return 2;
  return broken <= allowed ? 0 : 1;
}
