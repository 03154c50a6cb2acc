#include "httpserver.h"
#include "address.h"
#include "tcpreset.h"

#include <assert.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  LISTEN_BACKLOG = 1024,
  DISCONNECT_POLL_MS = 100, /* Interval of checks for disconnected callers. */
  HTTP_CONTENT_TOO_LARGE = 413,
  HTTP_1_0 = 0x100 /* As h2o encodes the version of a request. */
};

struct httpserver_request
{
  /* First member, since h2o passes its address to stream_proceed and
   * stream_stop. */
  h2o_generator_t generator;
  struct httpserver *server;
  h2o_req_t *req;
  struct httpserver_request *next;
  struct httpserver_request *prev;
  void (*disconnected) (void *data);
  void *disconnected_data;
  h2o_buffer_t *sending; /* Bytes that h2o is sending. */
  h2o_buffer_t *queued;  /* Bytes to send after those in `sending`. */
  const char *path;
  const char *query;
  bool is_open; /* Whether it is in the server's list. */
  bool send_in_flight;
  bool response_started;
  bool response_ended;
  bool response_complete;
};

struct connection
{
  uv_tcp_t tcp; /* First member: connection_closed receives its address. */
  struct httpserver *server;
};

struct server_handler
{
  h2o_handler_t super;
  struct httpserver *server;
};

static void
request_unlink (struct httpserver_request *request)
{
  struct httpserver *server = request->server;

  if (!request->is_open)
    return;
  if (request->prev != NULL)
    request->prev->next = request->next;
  else
    server->open_requests = request->next;
  if (request->next != NULL)
    request->next->prev = request->prev;
  request->is_open = false;
}

static void
request_report_disconnect (struct httpserver_request *request)
{
  void (*disconnected) (void *) = request->disconnected;

  request->disconnected = NULL;
  if (disconnected != NULL)
    disconnected (request->disconnected_data);
}

/* Called by h2o when it clears the request's memory pool, however the request
 * ended. */
static void
request_dispose (void *data)
{
  struct httpserver_request *request = *(struct httpserver_request **)data;

  request_unlink (request);
  request->server->unsent_count--;
  request->req = NULL;
  request_report_disconnect (request);
  h2o_buffer_dispose (&request->sending);
  h2o_buffer_dispose (&request->queued);
  free (request);
}

static void
stream_send (struct httpserver_request *request)
{
  h2o_buffer_t *buffer = request->queued;
  h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
  h2o_iovec_t chunk;

  if (request->send_in_flight || request->req == NULL)
    return;
  if (buffer->size == 0 && !request->response_ended)
    return;
  request->queued = request->sending;
  request->sending = buffer;
  if (request->response_ended)
    state = request->response_complete ? H2O_SEND_STATE_FINAL
                                       : H2O_SEND_STATE_ERROR;
  chunk = h2o_iovec_init (buffer->bytes, buffer->size);
  request->send_in_flight = true;
  h2o_send (request->req, &chunk, chunk.len > 0 ? 1 : 0, state);
}

static void
stream_proceed (h2o_generator_t *generator, h2o_req_t *req)
{
  struct httpserver_request *request = (struct httpserver_request *)generator;

  h2o_buffer_consume (&request->sending, request->sending->size);
  request->send_in_flight = false;
  stream_send (request);
}

static void
stream_stop (h2o_generator_t *generator, h2o_req_t *req)
{
  struct httpserver_request *request = (struct httpserver_request *)generator;

  request_unlink (request);
  request->req = NULL;
  request_report_disconnect (request);
}

static void
split_path (struct httpserver_request *request)
{
  h2o_req_t *req = request->req;
  size_t path_size = req->query_at != SIZE_MAX ? req->query_at : req->path.len;

  request->path = h2o_strdup (&req->pool, req->path.base, path_size).base;
  request->query = "";
  if (path_size < req->path.len)
    request->query = h2o_strdup (&req->pool, req->path.base + path_size + 1,
                                 req->path.len - path_size - 1)
                         .base;
}

static int
on_request (h2o_handler_t *self, h2o_req_t *req)
{
  struct httpserver *server = ((struct server_handler *)self)->server;
  struct httpserver_request *request = calloc (1, sizeof *request);
  struct httpserver_request **request_slot;

  request_slot = h2o_mem_alloc_shared (
      &req->pool, sizeof (struct httpserver_request *), request_dispose);
  *request_slot = request;
  request->generator.proceed = stream_proceed;
  request->generator.stop = stream_stop;
  request->server = server;
  request->is_open = true;
  server->unsent_count++;
  request->req = req;
  h2o_buffer_init (&request->sending, &h2o_socket_buffer_prototype);
  h2o_buffer_init (&request->queued, &h2o_socket_buffer_prototype);
  split_path (request);
  request->next = server->open_requests;
  if (server->open_requests != NULL)
    server->open_requests->prev = request;
  server->open_requests = request;
  server->handler (server->handler_data, request);
  return 0;
}

/* h2o does not read from a connection while its request awaits a response, so
 * the sockets of such requests are polled for disconnects. */
static bool
caller_is_disconnected (const struct httpserver_request *request)
{
  h2o_conn_t *conn = request->req->conn;
  h2o_socket_t *socket = conn->callbacks->get_socket (conn);
  char byte;
  ssize_t received
      = recv (h2o_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  if (received < 0)
    return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  return received == 0;
}

static void
disconnect_timer_fired (uv_timer_t *timer)
{
  struct httpserver *server = timer->data;
  struct httpserver_request *request = server->open_requests;

  while (request != NULL)
    {
      struct httpserver_request *next = request->next;

      if (request->disconnected != NULL && caller_is_disconnected (request))
        {
          request->req->http1_is_persistent = 0;
          request_report_disconnect (request);
          if (request->response_started)
            httpserver_stream_end (request, false);
          else
            httpserver_respond (request, 499, "text/plain", NULL, 0, "", 0);
          /* The callback may have ended other requests: restart the scan. */
          next = server->open_requests;
        }
      request = next;
    }
}

static void
connection_closed (uv_handle_t *handle)
{
  struct connection *connection = (struct connection *)handle;

  connection->server->connection_count--;
  free (connection);
}

/* Accepts the connection FD, or one from the listener if FD is -1. */
static void
connection_accept (struct httpserver *server, int fd)
{
  struct connection *connection = calloc (1, sizeof *connection);
  uv_tcp_t *tcp = &connection->tcp;
  int failed;

  connection->server = server;
  uv_tcp_init (server->loop, tcp);
  server->connection_count++;
  failed = fd >= 0 ? uv_tcp_open (tcp, fd)
                   : uv_accept ((uv_stream_t *)&server->listener,
                                (uv_stream_t *)tcp);
  if (failed != 0)
    {
      if (fd >= 0)
        close (fd);
      uv_close ((uv_handle_t *)tcp, connection_closed);
      return;
    }
  uv_tcp_nodelay (tcp, 1);
  h2o_accept (&server->accept_context,
              h2o_uv_socket_create ((uv_stream_t *)tcp, connection_closed));
}

static void
on_connection (uv_stream_t *listener, int status)
{
  if (status == 0)
    connection_accept (listener->data, -1);
}

/* Body of the response to a request that h2o itself refuses because its body
 * exceeds the limit. The handler is not called for such a request. */
static const char body_too_large[]
    = "{\"error\":{\"code\":\"body_too_large\",\"message\":"
      "\"the body is over the limit\",\"outcome\":\"refused_not_run\"}}";

static void
send_body_too_large (h2o_ostream_t *stream, h2o_req_t *req, h2o_iovec_t *bufs,
                     size_t count, h2o_send_state_t state)
{
  h2o_iovec_t body
      = h2o_iovec_init (body_too_large, sizeof body_too_large - 1);

  h2o_ostream_send_next (stream, req, &body, 1, state);
}

/* Replaces the body of h2o's own 413 response, which is recognised by the
 * missing x-outcome header: responses of the handler have that header. */
static void
replace_h2o_error (h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
  h2o_headers_t *headers = &req->res.headers;
  h2o_ostream_t *stream;

  if (req->res.status == HTTP_CONTENT_TOO_LARGE
      && h2o_find_header_by_str (headers, H2O_STRLIT ("x-outcome"), -1) == -1)
    {
      stream = h2o_add_ostream (req, sizeof *stream, slot);
      stream->do_send = send_body_too_large;
      slot = &stream->next;
      req->res.content_length = sizeof body_too_large - 1;
      h2o_set_header (&req->pool, headers, H2O_TOKEN_CONTENT_TYPE,
                      H2O_STRLIT ("application/json"), 1);
    }
  h2o_setup_next_ostream (req, slot);
}

static void
setup_h2o (struct httpserver *server, const struct httpserver_limits *limits)
{
  h2o_hostconf_t *host;
  h2o_pathconf_t *path;
  struct server_handler *handler;

  h2o_config_init (&server->config);
  server->config.max_request_entity_size = limits->body_bytes;
  server->config.http1.req_timeout = limits->request_timeout_ms;
  server->config.server_name = h2o_iovec_init (H2O_STRLIT ("trefoilspar"));
  host = h2o_config_register_host (
      &server->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  path = h2o_config_register_path (host, "/", 0);
  handler
      = (struct server_handler *)h2o_create_handler (path, sizeof *handler);
  handler->super.on_req = on_request;
  handler->server = server;
  h2o_create_filter (&host->fallback_path, sizeof (h2o_filter_t))
      ->on_setup_ostream
      = replace_h2o_error;
  h2o_context_init (&server->context, server->loop, &server->config);
  server->accept_context.ctx = &server->context;
  server->accept_context.hosts = server->config.hosts;
}

enum status
httpserver_init (struct httpserver *server, uv_loop_t *loop,
                 const char *address, const struct httpserver_limits *limits,
                 httpserver_handler handler, void *data, struct error *error)
{
  struct sockaddr_in bind_address;
  int rc;

  memset (server, 0, sizeof *server);
  server->loop = loop;
  server->handler = handler;
  server->handler_data = data;
  if (address_parse (address, &bind_address) != STATUS_OK)
    return error_set (error, STATUS_INVALID,
                      "invalid address: %s (expected IP:PORT)", address);
  uv_tcp_init (loop, &server->listener);
  server->listener.data = server;
  rc = uv_tcp_bind (&server->listener, (struct sockaddr *)&bind_address, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
                    on_connection);
  if (rc != 0)
    {
      uv_close ((uv_handle_t *)&server->listener, NULL);
      return error_set (error, STATUS_UNAVAILABLE, "cannot listen on %s: %s",
                        address, uv_strerror (rc));
    }
  server->listening = true;
  setup_h2o (server, limits);
  uv_timer_init (loop, &server->disconnect_timer);
  server->disconnect_timer.data = server;
  uv_timer_start (&server->disconnect_timer, disconnect_timer_fired,
                  DISCONNECT_POLL_MS, DISCONNECT_POLL_MS);
  return STATUS_OK;
}

/* Accepts the connections that are established and wait: closing the listener
 * would reset them. */
static void
accept_waiting (struct httpserver *server)
{
  uv_os_fd_t listener;

  if (uv_fileno ((uv_handle_t *)&server->listener, &listener) != 0)
    return;
  /* As many as can wait, so that callers that go on connecting can't keep the
   * process here. */
  for (int i = 0; i <= LISTEN_BACKLOG; i++)
    {
      int fd = accept (listener, NULL, NULL);

      if (fd >= 0)
        connection_accept (server, fd);
      else if (errno != EINTR && errno != ECONNABORTED)
        return;
    }
}

static void
close_listener (struct httpserver *server)
{
  server->listening = false;
  /* From here on each response tells its caller to use another connection. */
  h2o_context_request_shutdown (&server->context);
  uv_close ((uv_handle_t *)&server->listener, NULL);
}

void
httpserver_stop_listening (struct httpserver *server)
{
  if (!server->listening)
    return;
  accept_waiting (server);
  close_listener (server);
}

bool
httpserver_is_sending (const struct httpserver *server)
{
  return server->unsent_count > 0;
}

void
httpserver_finish (struct httpserver *server)
{
  if (server->listening)
    close_listener (server);
  uv_close ((uv_handle_t *)&server->disconnect_timer, NULL);
}

unsigned
httpserver_port (const struct httpserver *server)
{
  struct sockaddr_in address = { 0 };
  int size = sizeof address;

  uv_tcp_getsockname (&server->listener, (struct sockaddr *)&address, &size);
  return ntohs (address.sin_port);
}

const char *
httpserver_request_method (struct httpserver_request *request)
{
  h2o_req_t *req = request->req;

  return h2o_strdup (&req->pool, req->method.base, req->method.len).base;
}

const char *
httpserver_request_path (struct httpserver_request *request)
{
  return request->path;
}

const char *
httpserver_request_query (struct httpserver_request *request)
{
  return request->query;
}

const char *
httpserver_request_header (struct httpserver_request *request,
                           const char *name)
{
  h2o_req_t *req = request->req;
  size_t length = strlen (name);

  for (size_t i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *header = &req->headers.entries[i];

      if (h2o_lcstris (header->name->base, header->name->len, name, length))
        return h2o_strdup (&req->pool, header->value.base, header->value.len)
            .base;
    }
  return NULL;
}

size_t
httpserver_request_header_size (struct httpserver_request *request)
{
  const h2o_headers_t *headers = &request->req->headers;
  size_t size = 0;

  for (size_t i = 0; i < headers->size; i++)
    size += headers->entries[i].name->len + headers->entries[i].value.len;
  return size;
}

const char *
httpserver_request_body (struct httpserver_request *request, size_t *size)
{
  *size = request->req->entity.len;
  return request->req->entity.base != NULL ? request->req->entity.base : "";
}

void
httpserver_request_on_disconnect (struct httpserver_request *request,
                                  void (*disconnected) (void *data),
                                  void *data)
{
  request->disconnected = disconnected;
  request->disconnected_data = data;
}

static void
response_set_head (struct httpserver_request *request, int status,
                   const char *content_type,
                   const struct httpserver_header *headers,
                   size_t header_count)
{
  h2o_req_t *req = request->req;

  req->res.status = status;
  req->res.reason = "-";
  if (status == 200)
    req->res.reason = "OK";
  h2o_add_header_by_str (&req->pool, &req->res.headers,
                         H2O_STRLIT ("content-type"), 1, NULL, content_type,
                         strlen (content_type));
  for (size_t i = 0; i < header_count; i++)
    {
      h2o_iovec_t name = h2o_strdup (&req->pool, headers[i].name, SIZE_MAX);
      h2o_iovec_t value = h2o_strdup (&req->pool, headers[i].value, SIZE_MAX);

      h2o_add_header_by_str (&req->pool, &req->res.headers, name.base,
                             name.len, 1, NULL, value.base, value.len);
    }
}

void
httpserver_respond (struct httpserver_request *request, int status,
                    const char *content_type,
                    const struct httpserver_header *headers,
                    size_t header_count, const char *body, size_t size)
{
  h2o_req_t *req = request->req;
  h2o_iovec_t text;

  assert (!request->response_started);
  request->disconnected = NULL;
  if (req == NULL)
    return;
  request_unlink (request);
  request->response_started = true;
  response_set_head (request, status, content_type, headers, header_count);
  req->res.content_length = size;
  text = h2o_strdup (&req->pool, body, size);
  h2o_start_response (req, &request->generator);
  request->response_ended = true;
  request->response_complete = true;
  request->send_in_flight = true;
  h2o_send (req, &text, size > 0 ? 1 : 0, H2O_SEND_STATE_FINAL);
}

/* HTTP/1.0 has no chunks, so that only a reset shows that a stream is
 * incomplete. */
static void
set_reset_on_close (struct httpserver_request *request, bool reset)
{
  h2o_req_t *req = request->req;

  if (req == NULL || req->version > HTTP_1_0)
    return;
  tcpreset_on_close (
      h2o_socket_get_fd (req->conn->callbacks->get_socket (req->conn)), reset);
}

void
httpserver_stream_begin (struct httpserver_request *request, int status,
                         const char *content_type,
                         const struct httpserver_header *headers,
                         size_t header_count)
{
  assert (!request->response_started);
  request->response_started = true;
  response_set_head (request, status, content_type, headers, header_count);
  set_reset_on_close (request, true);
  h2o_start_response (request->req, &request->generator);
}

void
httpserver_stream_write (struct httpserver_request *request, const char *bytes,
                         size_t size)
{
  h2o_iovec_t space;

  assert (request->response_started && !request->response_ended);
  space = h2o_buffer_reserve (&request->queued, size);
  memcpy (space.base, bytes, size);
  request->queued->size += size;
  stream_send (request);
}

void
httpserver_stream_end (struct httpserver_request *request, bool complete)
{
  assert (request->response_started && !request->response_ended);
  request->disconnected = NULL;
  request_unlink (request);
  request->response_ended = true;
  request->response_complete = complete;
  if (complete)
    set_reset_on_close (request, false);
  stream_send (request);
}
