#include "httpclient.h"
#include "address.h"
#include "httpresponse.h"
#include "tcpkeepalive.h"
#include "tcpreset.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  IDLE_MAX = 256, /* Maximum number of idle connections per address. */
  IDLE_MS = 4000,
  READ_BYTES = 64 * 1024,
  /* Maximum size of the fields of a head; of a body, nothing is kept here. */
  HEAD_BYTES_MAX = 64 * 1024
};

/* Idle connections to one address, the longest idle first. */
struct pool
{
  struct list idle;
  unsigned count;
};

struct conn
{
  struct list node;      /* Of all connections of the client. */
  struct list idle_node; /* Of the idle ones, while `pool` is set. */
  struct httpclient *client;
  struct pool *pool; /* Pool that the connection waits in. */
  struct httpclient_call
      *call; /* NULL if the connection is idle or closing. */
  char *address;
  char *request_bytes; /* Until they are written. */
  uv_tcp_t tcp;
  uv_timer_t timer;
  uv_connect_t connect_request;
  uv_write_t write_request;
  struct httpresponse response;
  bool may_be_kept;
  bool connected;
  bool written; /* Whether the last request was written. */
  bool closing;
  unsigned open_handles;
};

struct httpclient_call
{
  struct list node;
  struct httpclient *client;
  struct conn *conn;
  const struct httpclient_ops *ops;
  void *data;
  char *request_bytes; /* Head and body, until they are written. */
  size_t request_size;
  bool may_have_sent;
  bool received; /* Whether any byte of the response has arrived. */
};

static void
call_free (struct httpclient_call *call)
{
  list_remove (&call->node);
  call->client->call_count--;
  g_free (call->request_bytes);
  g_free (call);
}

static void
conn_closed (uv_handle_t *handle)
{
  struct conn *conn = handle->data;

  if (--conn->open_handles > 0)
    return;
  httpresponse_finish (&conn->response);
  g_free (conn->request_bytes);
  g_free (conn->address);
  g_free (conn);
}

/* Take CONN out of its pool, which is freed if no other connection waits in
 * it. */
static void
conn_leave_pool (struct conn *conn)
{
  struct pool *pool = conn->pool;

  if (pool == NULL)
    return;
  conn->pool = NULL;
  list_remove (&conn->idle_node);
  if (--pool->count == 0)
    g_hash_table_remove (conn->client->pools, conn->address);
}

static void
conn_close (struct conn *conn)
{
  if (conn->closing)
    return;
  conn->closing = true;
  conn_leave_pool (conn);
  list_remove (&conn->node);
  uv_close ((uv_handle_t *)&conn->tcp, conn_closed);
  uv_close ((uv_handle_t *)&conn->timer, conn_closed);
}

static struct pool *
pool_add (struct httpclient *client, const char *address)
{
  struct pool *pool = g_new0 (struct pool, 1);

  list_init (&pool->idle);
  g_hash_table_insert (client->pools, g_strdup (address), pool);
  return pool;
}

static void conn_timer_fired (uv_timer_t *timer);

static void
conn_keep (struct conn *conn)
{
  struct pool *pool = g_hash_table_lookup (conn->client->pools, conn->address);

  if (pool == NULL)
    pool = pool_add (conn->client, conn->address);
  if (pool->count >= IDLE_MAX)
    {
      conn_close (conn);
      return;
    }
  conn->pool = pool;
  pool->count++;
  list_append (&pool->idle, &conn->idle_node);
  uv_timer_start (&conn->timer, conn_timer_fired, IDLE_MS, 0);
}

/* End the call of CONN, which is closed unless KEEP is set. */
static void
conn_end_call (struct conn *conn, enum status status, const char *message,
               bool keep)
{
  struct httpclient_call *call = conn->call;
  struct httpclient_result result
      = { status, message, httpclient_call_stage (call) };
  const struct httpclient_ops *ops = call->ops;
  void *data = call->data;

  conn->call = NULL;
  if (keep)
    conn_keep (conn);
  else
    conn_close (conn);
  call_free (call);
  ops->ended (data, &result);
}

static void
conn_timer_fired (uv_timer_t *timer)
{
  struct conn *conn = timer->data;

  if (conn->call == NULL)
    conn_close (conn);
  else if (conn->connected)
    conn_end_call (conn, STATUS_UNKNOWN, "I/O timeout", false);
  else
    conn_end_call (conn, STATUS_UNAVAILABLE,
                   "the connection could not be opened", false);
}

static void
conn_expect_progress (struct conn *conn)
{
  uv_timer_start (&conn->timer, conn_timer_fired, conn->client->io_timeout_ms,
                  0);
}

static void
head_received (void *data)
{
  struct conn *conn = data;
  const struct httpfields *fields = &conn->response.head;
  size_t count = httpfields_count (fields);
  struct httpclient_header *headers;
  struct httpclient_response_head head
      = { (int)conn->response.parser.status_code, NULL, count };

  if (conn->call == NULL)
    return;
  headers = g_new (struct httpclient_header, count + 1);
  for (size_t i = 0; i < count; i++)
    {
      headers[i].name = httpfields_name (fields, i);
      headers[i].name_size = strlen (headers[i].name);
      headers[i].value = httpfields_value (fields, i);
      headers[i].value_size = strlen (headers[i].value);
    }
  head.headers = headers;
  conn->call->ops->head_received (conn->call->data, &head);
  g_free (headers);
}

static void
body_received (void *data, const char *bytes, size_t size)
{
  struct conn *conn = data;

  /* An earlier callback may have cancelled the call. */
  if (conn->call != NULL)
    conn->call->ops->body_received (conn->call->data, bytes, size);
}

static const struct httpresponse_ops response_ops
    = { head_received, body_received };

/* Handle the end of the connection, of which SIZE is the error. */
static void
conn_lost (struct conn *conn, ssize_t size)
{
  uv_os_fd_t fd;

  if (size == UV_EOF && uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0
      && !tcpreset_was_reset (fd)
      && !httpresponse_precedes_request (&conn->response,
                                         (uv_stream_t *)&conn->tcp))
    httpresponse_feed (&conn->response, NULL, 0);
  if (conn->call == NULL)
    return;
  if (conn->response.complete)
    conn_end_call (conn, STATUS_OK, NULL, false);
  else
    conn_end_call (conn, STATUS_UNKNOWN, "the response is incomplete", false);
}

static void
on_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  struct conn *conn = stream->data;
  size_t used;

  if (size == 0 || conn->closing)
    return;
  if (conn->call == NULL)
    {
      conn_close (conn);
      return;
    }
  if (size < 0)
    {
      conn_lost (conn, size);
      return;
    }
  conn_expect_progress (conn);
  conn->call->received = true;
  used = httpresponse_feed (&conn->response, buffer->base, (size_t)size);
  if (conn->call == NULL)
    return;
  if (conn->response.complete)
    conn_end_call (conn, STATUS_OK, NULL,
                   conn->may_be_kept && conn->written && used == (size_t)size
                       && http_should_keep_alive (&conn->response.parser));
  else if (!httpresponse_is_valid (&conn->response))
    conn_end_call (conn, STATUS_UNKNOWN, "the response is malformed", false);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[READ_BYTES];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

static void
on_written (uv_write_t *request, int status)
{
  struct conn *conn = request->data;

  conn->written = status == 0;
  g_clear_pointer (&conn->request_bytes, g_free);
  if (conn->call == NULL)
    return;
  if (status == 0)
    conn_expect_progress (conn);
  else
    conn_end_call (conn, STATUS_UNKNOWN, uv_strerror (status), false);
}

/* Write the request of the call. If that fails, the timer ends the call. */
static void
conn_write (struct conn *conn)
{
  struct httpclient_call *call = conn->call;
  uv_buf_t buffer;

  conn->request_bytes = g_steal_pointer (&call->request_bytes);
  buffer = uv_buf_init (conn->request_bytes, (unsigned)call->request_size);
  conn->written = false;
  conn->write_request.data = conn;
  call->may_have_sent = true;
  conn_expect_progress (conn);
  if (uv_write (&conn->write_request, (uv_stream_t *)&conn->tcp, &buffer, 1,
                on_written)
      != 0)
    uv_timer_start (&conn->timer, conn_timer_fired, 0, 0);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  struct conn *conn = connect->data;
  uv_os_fd_t fd;

  if (conn->call == NULL)
    return;
  if (status != 0)
    {
      conn_end_call (conn, STATUS_UNAVAILABLE, uv_strerror (status), false);
      return;
    }
  conn->connected = true;
  uv_tcp_nodelay (&conn->tcp, 1);
  if (uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0)
    tcpkeepalive_enable (fd);
  uv_read_start ((uv_stream_t *)&conn->tcp, on_alloc, on_read);
  conn_write (conn);
}

/* Open a connection for CALL. If that fails at once, the timer ends it. */
static void
conn_open (struct httpclient_call *call,
           const struct httpclient_request *request)
{
  struct httpclient *client = call->client;
  struct conn *conn = g_new0 (struct conn, 1);
  struct sockaddr_in address;

  conn->client = client;
  conn->call = call;
  call->conn = conn;
  conn->address = g_strdup (request->address);
  conn->may_be_kept = !request->new_connection;
  httpresponse_init (&conn->response, HEAD_BYTES_MAX,
                     strcmp (request->method, "HEAD") == 0, &response_ops,
                     conn);
  list_init (&conn->idle_node);
  list_init (&conn->node);
  list_append (&client->conns, &conn->node);
  conn->open_handles = 2;
  conn->tcp.data = conn;
  conn->timer.data = conn;
  conn->connect_request.data = conn;
  uv_tcp_init (client->loop, &conn->tcp);
  uv_timer_init (client->loop, &conn->timer);
  conn_expect_progress (conn);
  if (address_parse (request->address, &address) != STATUS_OK
      || uv_tcp_connect (&conn->connect_request, &conn->tcp,
                         (const struct sockaddr *)&address, on_connected)
             != 0)
    uv_timer_start (&conn->timer, conn_timer_fired, 0, 0);
}

/* Whether nothing has come on an idle connection, not even its end. */
static bool
conn_is_quiet (struct conn *conn)
{
  uv_os_fd_t fd;
  char byte;

  return uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0
         && recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Use an idle connection for CALL, if there is one. */
static bool
conn_reuse (struct httpclient_call *call,
            const struct httpclient_request *request)
{
  struct pool *pool;

  /* Closing the last connection frees the pool. */
  while ((pool = g_hash_table_lookup (call->client->pools, request->address))
         != NULL)
    {
      struct conn *conn = LIST_ENTRY (pool->idle.next, struct conn, idle_node);

      if (!conn_is_quiet (conn))
        {
          conn_close (conn);
          continue;
        }
      conn_leave_pool (conn);
      httpresponse_restart (&conn->response);
      conn->response.answers_head = strcmp (request->method, "HEAD") == 0;
      conn->call = call;
      call->conn = conn;
      conn_write (conn);
      return true;
    }
  return false;
}

static void
call_format_request (struct httpclient_call *call,
                     const struct httpclient_request *request)
{
  const char *lines
      = request->header_lines != NULL ? request->header_lines : "";
  char *head = g_strdup_printf ("%s %s HTTP/1.1\r\nhost: %s\r\n"
                                "connection: keep-alive\r\n%s"
                                "content-length: %zu\r\n\r\n",
                                request->method, request->path,
                                request->address, lines, request->body_size);
  size_t head_size = strlen (head);

  call->request_size = head_size + request->body_size;
  call->request_bytes = g_realloc (head, call->request_size + 1);
  if (request->body_size > 0)
    memcpy (call->request_bytes + head_size, request->body,
            request->body_size);
}

void
httpclient_init (struct httpclient *client, uv_loop_t *loop,
                 uint64_t io_timeout_ms)
{
  memset (client, 0, sizeof *client);
  client->loop = loop;
  client->io_timeout_ms = io_timeout_ms;
  client->pools
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  list_init (&client->conns);
  list_init (&client->calls);
}

void
httpclient_finish (struct httpclient *client)
{
  while (!list_empty (&client->calls))
    httpclient_cancel (
        LIST_ENTRY (client->calls.next, struct httpclient_call, node));
  while (!list_empty (&client->conns))
    conn_close (LIST_ENTRY (client->conns.next, struct conn, node));
  g_hash_table_destroy (client->pools);
}

struct httpclient_call *
httpclient_call (struct httpclient *client,
                 const struct httpclient_request *request,
                 const struct httpclient_ops *ops, void *data)
{
  struct httpclient_call *call = g_new0 (struct httpclient_call, 1);

  call->client = client;
  call->ops = ops;
  call->data = data;
  list_init (&call->node);
  list_append (&client->calls, &call->node);
  client->call_count++;
  call_format_request (call, request);
  if (request->new_connection || !conn_reuse (call, request))
    conn_open (call, request);
  return call;
}

void
httpclient_cancel (struct httpclient_call *call)
{
  struct conn *conn = call->conn;

  conn->call = NULL;
  conn_close (conn);
  call_free (call);
}

bool
httpclient_may_have_sent (const struct httpclient_call *call)
{
  return call->may_have_sent;
}

enum httpclient_stage
httpclient_call_stage (const struct httpclient_call *call)
{
  if (!call->may_have_sent)
    return HTTPCLIENT_CONNECTING;
  return call->received ? HTTPCLIENT_REPLYING : HTTPCLIENT_SENT;
}

const char *
httpclient_header_value (const struct httpclient_response_head *head,
                         const char *name, char *buffer, size_t size)
{
  size_t length = strlen (name);

  for (size_t i = 0; i < head->header_count; i++)
    {
      const struct httpclient_header *header = &head->headers[i];

      if (header->name_size != length
          || g_ascii_strncasecmp (header->name, name, length) != 0)
        continue;
      snprintf (buffer, size, "%.*s", (int)header->value_size, header->value);
      return buffer;
    }
  return NULL;
}
