#include "callerconn.h"
#include "callerparse.h"
#include "callerreport.h"
#include "tcpreset.h"

#include <string.h>
#include <sys/ioctl.h>
#include <unistd.h>

enum
{
  READ_BYTES = 16 * 1024,
  /* Maximum bytes of later requests kept while a request is served. Beyond
   * it, reading stops until the response is complete. */
  PIPELINED_BYTES_MAX = 64 * 1024,
  /* Maximum unsent bytes of a streamed response; no usual response is that
   * large. If a caller reads so slowly that more bytes wait to be sent, its
   * connection is closed. */
  UNSENT_BYTES_MAX = 4 * 1024 * 1024,
  /* Time for a caller to read the last response before the connection is
   * closed: closing a connection that has unread received bytes resets it. */
  SHUTDOWN_GRACE_MS = 500,
  /* Timeout for receiving a whole body: twice the longest usual deadline
   * of a request. */
  BODY_TIMEOUT_MS = 30000,
  /* Time for the first request of a connection while the server drains. */
  FIRST_REQUEST_MS = 1000,
  /* Idle time before the kernel sends TCP keep-alive probes. */
  KEEPALIVE_IDLE_S = 5,
};

struct write
{
  uv_write_t request;
  struct callerconn *conn;
  char bytes[];
};

static void
conn_free (struct callerconn *conn)
{
  g_string_free (conn->target, TRUE);
  httpfields_finish (&conn->head);
  g_byte_array_free (conn->body, TRUE);
  g_byte_array_free (conn->pipelined, TRUE);
  g_free (conn);
}

static void
on_closed (uv_handle_t *handle)
{
  struct callerconn *conn = handle->data;

  if (--conn->open_handles == 0)
    conn_free (conn);
}

static void
conn_update_buffered (struct callerconn *conn)
{
  size_t buffered_bytes
      = conn->closing ? 0 : conn->body->len + conn->pipelined->len;

  conn->server->buffered_bytes += buffered_bytes - conn->counted_bytes;
  conn->counted_bytes = buffered_bytes;
}

static void
conn_update_unsent (struct callerconn *conn)
{
  size_t unsent
      = conn->closing
            ? 0
            : uv_stream_get_write_queue_size ((uv_stream_t *)&conn->tcp);

  bytebudget_update (&conn->server->unsent, &conn->counted_unsent, unsent);
}

/* @param reason as in callerconn.end_reason */
static void
conn_close (struct callerconn *conn, const char *reason)
{
  bool disconnected = conn->serving;

  if (conn->closing)
    return;
  conn->end_reason = reason;
  if (!disconnected && !conn->aborted)
    callerreport_unsent (conn);
  conn->closing = true;
  conn->serving = false;
  conn_update_buffered (conn);
  conn_update_unsent (conn);
  list_remove (&conn->node);
  conn->server->conn_count--;
  if (disconnected && conn->owner_data != NULL)
    conn->server->ops->disconnected (conn->server->data, conn);
  uv_close ((uv_handle_t *)&conn->tcp, on_closed);
  uv_close ((uv_handle_t *)&conn->timer, on_closed);
}

static void
close_timer_fired (uv_timer_t *timer)
{
  struct callerconn *conn = timer->data;

  conn_close (conn, conn->end_reason);
}

static void
on_shutdown (uv_shutdown_t *request, int status)
{
  struct callerconn *conn = request->data;

  g_free (request);
  if (!conn->closing)
    uv_timer_start (&conn->timer, close_timer_fired, SHUTDOWN_GRACE_MS, 0);
}

/* Close the connection from the event loop, never inside a call by the owner
 * of the server. */
static void
conn_close_soon (struct callerconn *conn, const char *reason)
{
  if (conn->closing)
    return;
  conn->end_reason = reason;
  uv_timer_start (&conn->timer, close_timer_fired, 0, 0);
}

/* Shut down the sending side after all queued output, then close the
 * connection after SHUTDOWN_GRACE_MS. */
static void
conn_shutdown (struct callerconn *conn)
{
  uv_shutdown_t *request;

  if (conn->closing || conn->shutting_down)
    return;
  conn->shutting_down = true;
  conn->end_reason = "response_ended";
  request = g_new0 (uv_shutdown_t, 1);
  request->data = conn;
  if (uv_shutdown (request, (uv_stream_t *)&conn->tcp, on_shutdown) != 0)
    {
      g_free (request);
      conn_close_soon (conn, "write_failed");
    }
}

static void
on_written (uv_write_t *request, int status)
{
  struct write *write = (struct write *)request;
  struct callerconn *conn = write->conn;

  g_free (write);
  if (status != 0)
    conn_close (conn, "write_failed");
  else
    conn_update_unsent (conn);
}

static void
conn_send (struct callerconn *conn, const char *bytes, size_t size)
{
  struct write *write;
  uv_buf_t buffer = uv_buf_init ((char *)bytes, (unsigned)size);
  int sent = uv_try_write ((uv_stream_t *)&conn->tcp, &buffer, 1);

  if (sent < 0)
    sent = 0;
  if ((size_t)sent == size)
    return;
  write = g_malloc (sizeof *write + size - sent);
  write->conn = conn;
  memcpy (write->bytes, bytes + sent, size - sent);
  buffer = uv_buf_init (write->bytes, (unsigned)(size - sent));
  if (uv_write (&write->request, (uv_stream_t *)&conn->tcp, &buffer, 1,
                on_written)
      != 0)
    {
      g_free (write);
      conn_close_soon (conn, "write_failed");
    }
  conn_update_unsent (conn);
  if (bytebudget_is_overrun (&conn->server->unsent, conn->counted_unsent))
    conn_close_soon (conn, "caller_slow");
}

static void
head_format (struct callerconn *conn, GString *out, int status,
             const char *lines)
{
  if (conn->server->draining)
    conn->keep_alive = false;
  g_string_printf (out, "HTTP/1.1 %d %s\r\n%s", status,
                   http_status_str ((enum http_status)status), lines);
  if (!conn->keep_alive)
    g_string_append (out, "Connection: close\r\n");
}

/* Refuse a request that was not received whole, and shut the connection
 * down. */
static void
conn_refuse (struct callerconn *conn, int status, const char *reason)
{
  GString *out = g_string_new (NULL);

  conn->keep_alive = false;
  conn->server->ops->request_refused (conn->server->data, conn, status,
                                      reason);
  head_format (conn, out, status, "");
  g_string_append_printf (out, "Content-Length: 0\r\n%s\r\n",
                          status == 503 ? "Retry-After: 1\r\n" : "");
  conn_send (conn, out->str, out->len);
  g_string_free (out, TRUE);
  conn_shutdown (conn);
}

static void
request_timer_fired (uv_timer_t *timer)
{
  conn_refuse (timer->data, 408, "request_timeout");
}

static void
conn_wait_request (struct callerconn *conn)
{
  httpcheck_begin_request (&conn->check);
  g_string_truncate (conn->target, 0);
  httpfields_clear (&conn->head);
  conn->has_head = false;
  g_byte_array_set_size (conn->body, 0);
  conn->arrived_ns = 0;
  conn->owner_data = NULL;
  conn->end_reason = "idle";
  uv_timer_start (&conn->timer, close_timer_fired,
                  conn->server->limits.idle_timeout_ns / NS_PER_MS, 0);
}

static int
parsed_begin (http_parser *parser)
{
  struct callerconn *conn = parser->data;

  conn->arrived_ns = clock_now (conn->server->clock);
  conn->is_fresh = false;
  uv_timer_start (&conn->timer, request_timer_fired,
                  conn->server->limits.header_timeout_ns / NS_PER_MS, 0);
  return 0;
}

static int
parsed_head (http_parser *parser)
{
  static const char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";
  struct callerconn *conn = parser->data;

  conn->has_head = true;
  if (!httpfields_coding_is_known (&conn->head)
      || ((parser->flags & F_CHUNKED) != 0 && parser->http_minor == 0))
    return -1; /* Ends with HPE_CB_headers_complete. */
  if ((parser->flags & F_CHUNKED) != 0)
    httpcheck_begin_chunks (&conn->check);
  uv_timer_start (&conn->timer, request_timer_fired, BODY_TIMEOUT_MS, 0);
  /* An Upgrade header is ignored, as RFC 9110 allows. */
  if (parser->method != HTTP_CONNECT)
    parser->upgrade = 0;
  if ((parser->flags & F_CONTENTLENGTH) != 0
      && parser->content_length > conn->server->limits.body_bytes)
    return 0; /* conn_parse refuses the request. */
  if (httpfields_find (&conn->head, "expect") != NULL)
    conn_send (conn, continue_response, sizeof continue_response - 1);
  return 0;
}

static int
parsed_end (http_parser *parser)
{
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = parsed_begin,
  .on_url = callerparse_target,
  .on_header_field = callerparse_name,
  .on_header_value = callerparse_value,
  .on_headers_complete = parsed_head,
  .on_body = callerparse_body,
  .on_message_complete = parsed_end,
};

static void
conn_request_complete (struct callerconn *conn)
{
  conn->keep_alive = http_should_keep_alive (&conn->parser) != 0;
  uv_timer_stop (&conn->timer);
  conn->serving = true;
  conn->server->ops->request_received (conn->server->data, conn);
}

static void
conn_parse_failed (struct callerconn *conn)
{
  enum http_errno parse_error = HTTP_PARSER_ERRNO (&conn->parser);

  if (!callerparse_head_fits (conn) || parse_error == HPE_HEADER_OVERFLOW)
    conn_refuse (conn, 431, "header_too_large");
  else if (parse_error == HPE_CB_body)
    conn_refuse (conn, 413, "body_too_large");
  else if (parse_error == HPE_CB_headers_complete)
    conn_refuse (conn, 501, "unknown_coding");
  else
    conn_refuse (conn, 400,
                 conn->check.section == HTTPCHECK_MALFORMED
                     ? "malformed_line"
                     : http_errno_name (parse_error));
}

static void
conn_parse (struct callerconn *conn, const char *bytes, size_t size)
{
  size_t parsed = httpcheck_parse (&conn->check, &conn->parser,
                                   &parser_settings, bytes, size);
  enum http_errno parse_error = HTTP_PARSER_ERRNO (&conn->parser);

  if (parse_error == HPE_PAUSED)
    {
      http_parser_pause (&conn->parser, 0);
      g_byte_array_append (conn->pipelined, (const guint8 *)bytes + parsed,
                           (guint)(size - parsed));
      conn_update_buffered (conn);
      conn_request_complete (conn);
      return;
    }
  conn_update_buffered (conn);
  if (parse_error != HPE_OK || conn->parser.upgrade
      || conn->check.section == HTTPCHECK_MALFORMED)
    conn_parse_failed (conn);
  else if (conn->parser.content_length != UINT64_MAX
           && conn->parser.content_length > conn->server->limits.body_bytes)
    conn_refuse (conn, 413, "body_too_large");
  else if (conn->server->buffered_bytes > conn->server->buffered_bytes_max)
    conn_refuse (conn, 503, "memory");
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[READ_BYTES];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

static void
on_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  struct callerconn *conn = stream->data;

  if (size == 0 || conn->closing)
    return;
  if (size < 0)
    {
      conn_close (conn, size == UV_EOF ? "caller_left" : "caller_reset");
      return;
    }
  if (conn->shutting_down)
    return;
  if (!conn->serving && conn->pipelined->len == 0)
    {
      conn_parse (conn, buffer->base, (size_t)size);
      return;
    }
  g_byte_array_append (conn->pipelined, (const guint8 *)buffer->base,
                       (guint)size);
  conn_update_buffered (conn);
  if (conn->pipelined->len > PIPELINED_BYTES_MAX)
    uv_read_stop (stream);
}

/* Parse the bytes that arrived before the last response was complete. */
static void
parse_pipelined (uv_timer_t *timer)
{
  struct callerconn *conn = timer->data;
  GByteArray *bytes = conn->pipelined;

  conn->pipelined = g_byte_array_new ();
  conn_wait_request (conn);
  uv_read_start ((uv_stream_t *)&conn->tcp, on_alloc, on_read);
  conn_parse (conn, (const char *)bytes->data, bytes->len);
  g_byte_array_free (bytes, TRUE);
}

static struct callerconn *
conn_new (struct callerserver *server)
{
  struct callerconn *conn = g_new0 (struct callerconn, 1);

  conn->server = server;
  conn->target = g_string_new (NULL);
  httpfields_init (&conn->head);
  conn->body = g_byte_array_new ();
  conn->pipelined = g_byte_array_new ();
  conn->tcp.data = conn;
  conn->timer.data = conn;
  conn->open_handles = 2;
  uv_tcp_init (server->loop, &conn->tcp);
  uv_timer_init (server->loop, &conn->timer);
  http_parser_init (&conn->parser, HTTP_REQUEST);
  conn->parser.data = conn;
  list_init (&conn->node);
  list_append (&server->conns, &conn->node);
  server->conn_count++;
  return conn;
}

void
callerconn_accept (struct callerserver *server, int fd)
{
  struct sockaddr_storage address;
  int size = sizeof address;
  struct callerconn *conn = conn_new (server);
  int failed = fd >= 0 ? uv_tcp_open (&conn->tcp, fd)
                       : uv_accept ((uv_stream_t *)&server->listener,
                                    (uv_stream_t *)&conn->tcp);

  if (failed != 0)
    {
      if (fd >= 0)
        close (fd);
      conn_close (conn, "not_accepted");
      return;
    }
  uv_tcp_nodelay (&conn->tcp, 1);
  uv_tcp_keepalive (&conn->tcp, 1, KEEPALIVE_IDLE_S);
  if (uv_tcp_getpeername (&conn->tcp, (struct sockaddr *)&address, &size) == 0)
    uv_ip4_name ((struct sockaddr_in *)&address, conn->caller_ip,
                 sizeof conn->caller_ip);
  conn_wait_request (conn);
  conn->is_fresh = true;
  uv_read_start ((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

const char *
callerconn_method (const struct callerconn *conn)
{
  return http_method_str ((enum http_method)conn->parser.method);
}

static void
conn_response_ended (struct callerconn *conn)
{
  conn->owner_data = NULL;
  conn->serving = false;
  if (conn->closing)
    return;
  /* The head of a stream that began before the stop told the caller that the
   * connection is kept. */
  if (!conn->keep_alive || conn->server->draining)
    {
      /* Bytes that stay unread would reset the connection when it closes. */
      uv_read_start ((uv_stream_t *)&conn->tcp, on_alloc, on_read);
      conn_shutdown (conn);
      return;
    }
  if (conn->pipelined->len > 0)
    uv_timer_start (&conn->timer, parse_pipelined, 0, 0);
  else
    conn_wait_request (conn);
  conn_update_buffered (conn);
}

void
callerconn_respond (struct callerconn *conn, int status, const char *lines,
                    const char *body, size_t size)
{
  GString *out = g_string_sized_new (512 + size);

  head_format (conn, out, status, lines);
  g_string_append_printf (out, "Content-Length: %zu\r\n\r\n", size);
  if (conn->parser.method != HTTP_HEAD)
    g_string_append_len (out, body, (gssize)size);
  conn->owner_data = NULL;
  conn_send (conn, out->str, out->len);
  g_string_free (out, TRUE);
  conn_response_ended (conn);
}

static void
set_reset_on_close (struct callerconn *conn, bool reset)
{
  uv_os_fd_t fd;

  if (uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0)
    tcpreset_on_close (fd, reset);
}

void
callerconn_stream_begin (struct callerconn *conn, int status,
                         const char *lines)
{
  GString *out = g_string_new (NULL);

  /* HTTP/1.0 has no chunked encoding: closing the connection ends the
   * response. */
  conn->chunked = conn->parser.http_major > 1 || conn->parser.http_minor >= 1;
  conn->keep_alive = conn->keep_alive && conn->chunked;
  /* Without chunks, only a reset shows that a response is incomplete, also if
   * this process is killed. */
  if (!conn->chunked)
    set_reset_on_close (conn, true);
  head_format (conn, out, status, lines);
  g_string_append (out, conn->chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                                      : "\r\n");
  conn_send (conn, out->str, out->len);
  g_string_free (out, TRUE);
}

void
callerconn_stream_write (struct callerconn *conn, const char *bytes,
                         size_t size)
{
  GString *out;

  if (conn->closing || size == 0)
    return;
  out = g_string_sized_new (size + 16);
  if (conn->chunked)
    g_string_append_printf (out, "%zx\r\n", size);
  g_string_append_len (out, bytes, (gssize)size);
  if (conn->chunked)
    g_string_append (out, "\r\n");
  conn_send (conn, out->str, out->len);
  g_string_free (out, TRUE);
  if (uv_stream_get_write_queue_size ((uv_stream_t *)&conn->tcp)
      > UNSENT_BYTES_MAX)
    conn_close_soon (conn, "caller_slow");
}

void
callerconn_stream_end (struct callerconn *conn)
{
  if (conn->closing)
    return;
  if (conn->chunked)
    conn_send (conn, "0\r\n\r\n", 5);
  else
    set_reset_on_close (conn, false);
  conn_response_ended (conn);
}

void
callerconn_abort (struct callerconn *conn)
{
  conn->owner_data = NULL;
  if (conn->closing)
    return;
  /* What a response that goes on still has to send is lost on purpose. */
  conn->aborted = conn->serving;
  conn_close (conn, "stop");
}

/* Whether bytes have arrived that were not read yet. */
static bool
has_unread_bytes (const struct callerconn *conn)
{
  int unread = 0;
  uv_os_fd_t fd;

  return uv_fileno ((const uv_handle_t *)&conn->tcp, &fd) == 0
         && ioctl (fd, FIONREAD, &unread) == 0 && unread > 0;
}

void
callerconn_drain (struct callerconn *conn)
{
  if (conn->serving || conn->arrived_ns != 0 || conn->pipelined->len > 0
      || has_unread_bytes (conn))
    return;
  if (!conn->is_fresh)
    callerconn_abort (conn);
  else if (uv_timer_get_due_in (&conn->timer) > FIRST_REQUEST_MS)
    uv_timer_start (&conn->timer, close_timer_fired, FIRST_REQUEST_MS, 0);
}
