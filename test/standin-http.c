#include "standin-http.h"

#include <string.h>
#include <sys/resource.h>

enum
{
  REQUEST_MAX = 256 * 1024 * 1024,    /* bytes */
  KEEPALIVE_MS = 24 * 60 * 60 * 1000, /* idle connections stay open */
  BACKLOG = 1024                      /* connections */
};

static const char *const common_faults[]
    = { "outage", "refuse", "slow_ms", "silent", NULL };

static struct
{
  const struct role *role;
  uv_loop_t *loop;
  uv_tcp_t listener;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  GHashTable *faults;   /* name to value */
  GHashTable *calls;    /* path of the route to count */
  uint64_t silent_upto; /* connections with ids up to this are silent */
} server;

/* Timers */

struct timer
{
  uv_timer_t timer;
  server_callback callback;
  void *data;
};

static void
timer_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
timer_fired (uv_timer_t *handle)
{
  struct timer *timer = handle->data;
  server_callback callback = timer->callback;
  void *data = timer->data;

  if (uv_timer_get_repeat (handle) == 0)
    uv_close ((uv_handle_t *)handle, timer_closed);
  callback (data);
}

static void
timer_start (uint64_t ms, uint64_t repeat_ms, server_callback callback,
             void *data)
{
  struct timer *timer = g_new0 (struct timer, 1);

  timer->callback = callback;
  timer->data = data;
  uv_timer_init (server.loop, &timer->timer);
  timer->timer.data = timer;
  uv_timer_start (&timer->timer, timer_fired, ms, repeat_ms);
}

/* Faults */

static bool
name_in (const char *name, const char *const *names)
{
  for (; names && *names; names++)
    if (strcmp (name, *names) == 0)
      return true;
  return false;
}

static void
fault_set (const char *name, int64_t value)
{
  if (strcmp (name, "silent") == 0 && value)
    server.silent_upto = h2o_connection_id;
  g_hash_table_insert (server.faults, g_strdup (name),
                       g_memdup2 (&value, sizeof value));
}

static void
faults_switch (const struct call *call)
{
  json_object_object_foreach (call->body, name, ignored)
  {
    (void)ignored;
    if (!name_in (name, common_faults) && !name_in (name, server.role->faults))
      {
        http_code (call->req, 400, "unknown_fault");
        return;
      }
  }
  json_object_object_foreach (call->body, key, value)
  {
    fault_set (key, json_object_get_int64 (value));
  }
  http_ok (call->req);
}

static bool
is_control (const h2o_req_t *req)
{
  static const char prefix[] = "/control/";
  size_t size = sizeof prefix - 1;

  return req->path.len >= size && memcmp (req->path.base, prefix, size) == 0;
}

bool
http_is_silent (const h2o_req_t *req)
{
  return req->conn->id <= server.silent_upto && !is_control (req);
}

/* Requests */

static const char *
pool_string (h2o_req_t *req, const char *base, size_t size)
{
  char *copy = h2o_mem_alloc_pool (&req->pool, size + 1);

  memcpy (copy, base, size);
  copy[size] = '\0';
  return copy;
}

/* Frees a parsed body along with its request's memory. */
struct body
{
  struct json_object *object;
};

static void
body_dispose (void *data)
{
  json_object_put (((struct body *)data)->object);
}

/* The body as a JSON object that is freed with the request. */
static struct json_object *
body_parse (h2o_req_t *req)
{
  struct json_tokener *tokener;
  struct json_object *object;
  struct body *holder;

  if (req->entity.len == 0
      || !h2o_memis (req->method.base, req->method.len, H2O_STRLIT ("POST")))
    return NULL;
  tokener = json_tokener_new ();
  object = json_tokener_parse_ex (tokener, req->entity.base,
                                  (int)req->entity.len);
  json_tokener_free (tokener);
  if (!object)
    return NULL;
  holder = h2o_mem_alloc_shared (&req->pool, sizeof *holder, body_dispose);
  holder->object = object;
  return json_object_is_type (object, json_type_object) ? object : NULL;
}

static void
call_init (struct call *call, h2o_req_t *req)
{
  size_t path_size = req->path.len;

  call->req = req;
  call->method = pool_string (req, req->method.base, req->method.len);
  call->query = "";
  if (req->query_at != SIZE_MAX)
    {
      path_size = req->query_at;
      call->query = pool_string (req, req->path.base + path_size + 1,
                                 req->path.len - path_size - 1);
    }
  call->path = pool_string (req, req->path.base, path_size);
  call->body = body_parse (req);
}

static void
stats_reply (const struct call *call)
{
  struct json_object *calls = json_object_new_object ();
  struct json_object *object = json_put (NULL, "calls", 'o', calls, NULL);
  const struct counter *counter = server.role->counters;
  GHashTableIter iter;
  void *path, *count;

  g_hash_table_iter_init (&iter, server.calls);
  while (g_hash_table_iter_next (&iter, &path, &count))
    json_put (calls, (char *)path, 'i', (int64_t)(uintptr_t)count, NULL);
  for (; counter && counter->name; counter++)
    json_put (object, counter->name, 'i', *counter->value, NULL);
  http_json (call->req, 200, object);
}

static const struct route control_routes[]
    = { { "POST", "/control/faults", faults_switch },
        { "GET", "/control/stats", stats_reply },
        { 0 } };

static bool
route_matches (const struct route *route, const struct call *call)
{
  bool is_prefix = g_str_has_suffix (route->path, "/");

  if (route->method && strcmp (route->method, call->method) != 0)
    return false;
  if (is_prefix && !is_control (call->req))
    return g_str_has_prefix (call->path, route->path);
  return strcmp (route->path, call->path) == 0;
}

static void
route_run (const struct route *route, const struct call *call)
{
  uintptr_t count = (uintptr_t)g_hash_table_lookup (server.calls, route->path);

  g_hash_table_insert (server.calls, (void *)route->path, (void *)(count + 1));
  if (!call->body && route->method && strcmp (route->method, "POST") == 0)
    http_code (call->req, 400, "malformed");
  else if (!server.role->admit || is_control (call->req)
           || server.role->admit (call))
    route->handle (call);
}

static bool
routes_run (const struct route *route, const struct call *call)
{
  for (; route->path; route++)
    if (route_matches (route, call))
      {
        route_run (route, call);
        return true;
      }
  return false;
}

static void
call_run (void *data)
{
  struct call call;

  call_init (&call, data);
  if (!routes_run (control_routes, &call)
      && !routes_run (server.role->routes, &call))
    http_code (call.req, 404, "not_found");
}

/* @return whether a fault decided what becomes of REQ. */
static bool
fault_run (h2o_req_t *req)
{
  int64_t slow_ms = fault_value ("slow_ms");

  if (http_is_silent (req))
    return true; /* h2o reads no further until an answer. */
  if (fault_value ("refuse"))
    http_drop (req);
  else if (fault_value ("outage"))
    http_code (req, 503, "unavailable");
  else if (slow_ms > 0)
    server_after ((uint64_t)slow_ms, call_run, req);
  else
    return false;
  return true;
}

static int
on_request (h2o_handler_t *handler, h2o_req_t *req)
{
  if (is_control (req) || !fault_run (req))
    call_run (req);
  return 0;
}

static void
on_connection (uv_stream_t *listener, int status)
{
  uv_tcp_t *connection;

  if (status != 0)
    return;
  connection = g_new0 (uv_tcp_t, 1);
  uv_tcp_init (server.loop, connection);
  if (uv_accept (listener, (uv_stream_t *)connection) != 0)
    {
      uv_close ((uv_handle_t *)connection, (uv_close_cb)g_free);
      return;
    }
  uv_tcp_nodelay (connection, 1);
  h2o_accept (&server.accept, h2o_uv_socket_create ((uv_stream_t *)connection,
                                                    (uv_close_cb)g_free));
}

static void
server_configure (void)
{
  h2o_hostconf_t *host;
  h2o_handler_t *handler;

  h2o_config_init (&server.config);
  server.config.server_name = h2o_iovec_init (H2O_STRLIT ("standin"));
  server.config.max_request_entity_size = REQUEST_MAX;
  server.config.http1.req_timeout = KEEPALIVE_MS;
  server.config.http1.upgrade_to_http2 = 0;
  host = h2o_config_register_host (
      &server.config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  handler = h2o_create_handler (h2o_config_register_path (host, "/", 0),
                                sizeof *handler);
  handler->on_req = on_request;
  h2o_context_init (&server.context, server.loop, &server.config);
  server.accept.ctx = &server.context;
  server.accept.hosts = server.config.hosts;
}

/* @return the port that was taken, or -1. */
static int
server_listen (const char *address, int port)
{
  struct sockaddr_in name;
  int size = sizeof name;

  if (uv_ip4_addr (address, port, &name) != 0)
    return -1;
  uv_tcp_init (server.loop, &server.listener);
  if (uv_tcp_bind (&server.listener, (struct sockaddr *)&name, 0) != 0
      || uv_listen ((uv_stream_t *)&server.listener, BACKLOG, on_connection)
             != 0)
    return -1;
  uv_tcp_getsockname (&server.listener, (struct sockaddr *)&name, &size);
  return ntohs (name.sin_port);
}

int
server_run (const struct role *role, const char *address, int port)
{
  struct rlimit no_core = { 0, 0 };

  signal (SIGPIPE, SIG_IGN);
  setrlimit (RLIMIT_CORE, &no_core);
  server.role = role;
  server.loop = uv_default_loop ();
  server.faults
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  server.calls = g_hash_table_new (g_str_hash, g_str_equal);
  server_configure ();
  port = server_listen (address, port);
  if (port < 0)
    {
      fprintf (stderr, "standin: cannot listen on %s\n", address);
      return 1;
    }
  if (role->start)
    role->start ();
  printf ("listening %d\n", port);
  fflush (stdout);
  return uv_run (server.loop, UV_RUN_DEFAULT);
}

int64_t
server_now (void)
{
  return (int64_t)uv_hrtime ();
}

void
server_after (uint64_t ms, server_callback callback, void *data)
{
  timer_start (ms, 0, callback, data);
}

void
server_every (uint64_t ms, server_callback callback, void *data)
{
  timer_start (ms, ms, callback, data);
}

int64_t
fault_value (const char *name)
{
  const int64_t *value = g_hash_table_lookup (server.faults, name);

  return value ? *value : 0;
}

bool
fault_take (const char *name)
{
  int64_t *value = g_hash_table_lookup (server.faults, name);

  if (!value || *value <= 0)
    return false;
  (*value)--;
  return true;
}

/* Calls and answers */

int64_t
call_query_int (const struct call *call, const char *key, int64_t otherwise)
{
  size_t size = strlen (key);
  const char *part = call->query;

  while (part)
    {
      if (strncmp (part, key, size) == 0 && part[size] == '=')
        return g_ascii_strtoll (part + size + 1, NULL, 10);
      part = strchr (part, '&');
      part = part ? part + 1 : NULL;
    }
  return otherwise;
}

const char *
call_header (const struct call *call, const char *name)
{
  h2o_req_t *req = call->req;
  const h2o_token_t *token = h2o_lookup_token (name, strlen (name));
  ssize_t i = token ? h2o_find_header (&req->headers, token, -1)
                    : h2o_find_header_by_str (&req->headers, name,
                                              strlen (name), -1);

  if (i < 0)
    return NULL;
  return pool_string (req, req->headers.entries[i].value.base,
                      req->headers.entries[i].value.len);
}

void
http_header (h2o_req_t *req, const char *name, const char *value)
{
  const char *copy = pool_string (req, value, strlen (value));
  const char *copy_name = pool_string (req, name, strlen (name));

  h2o_add_header_by_str (&req->pool, &req->res.headers, copy_name,
                         strlen (name), 1, NULL, copy, strlen (value));
}

void
http_status (h2o_req_t *req, int status, const char *type)
{
  req->res.status = status;
  req->res.reason = status < 300 ? "OK" : "Refused";
  http_header (req, "content-type", type);
}

void
http_reply (h2o_req_t *req, int status, const char *type, const void *body,
            size_t size)
{
  static h2o_generator_t generator = { NULL, NULL };
  h2o_iovec_t part;

  if (http_is_silent (req))
    return;
  http_status (req, status, type);
  req->res.content_length = size;
  part.base = h2o_mem_alloc_pool (&req->pool, size + 1);
  part.len = size;
  if (size)
    memcpy (part.base, body, size);
  h2o_start_response (req, &generator);
  h2o_send (req, &part, 1, H2O_SEND_STATE_FINAL);
}

void
http_json (h2o_req_t *req, int status, struct json_object *object)
{
  size_t size;
  const char *text = json_object_to_json_string_length (
      object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE, &size);

  http_reply (req, status, "application/json", text, size);
  json_object_put (object);
}

void
http_ok (h2o_req_t *req)
{
  http_json (req, 200, json_object_new_object ());
}

void
http_code (h2o_req_t *req, int status, const char *code)
{
  http_json (req, status, json_put (NULL, "code", 's', code, NULL));
}

void
http_drop (h2o_req_t *req)
{
  h2o_socket_t *sock = req->conn->callbacks->get_socket (req->conn);

  /* The write of the answer then fails, and h2o frees the connection. */
  shutdown (h2o_socket_get_fd (sock), SHUT_RDWR);
  http_reply (req, 500, "text/plain", "", 0);
}
