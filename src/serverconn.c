#include "serverconn.h"
#include "address.h"
#include "clock.h"
#include "tcpkeepalive.h"
#include "tcpreset.h"

#include <string.h>

enum
{
  READ_BYTES = 64 * 1024,
  /* Maximum size of the fields of a head. */
  HEAD_BYTES_MAX = 16 * 1024
};

static const char *const result_names[] = {
  [SERVERCONN_COMPLETE] = "complete",
  [SERVERCONN_NOT_CONNECTED] = "not_connected",
  [SERVERCONN_CUT] = "cut",
  [SERVERCONN_GARBLED] = "garbled",
};

const char *
serverconn_result_name (enum serverconn_result result)
{
  return result_names[result];
}

static void
on_closed (uv_handle_t *handle)
{
  struct serverconn *conn = handle->data;

  if (--conn->open_handles > 0)
    return;
  httpresponse_finish (&conn->response);
  g_string_free (conn->request, TRUE);
  g_free (conn);
}

void
serverconn_close (struct serverconn *conn)
{
  if (conn->closing)
    return;
  conn->closing = true;
  uv_close ((uv_handle_t *)&conn->tcp, on_closed);
  uv_close ((uv_handle_t *)&conn->timer, on_closed);
}

static void
conn_end (struct serverconn *conn, enum serverconn_result result)
{
  if (conn->closing)
    return;
  serverconn_close (conn);
  conn->ops->ended (conn->data, result);
}

static void
head_received (void *data)
{
  struct serverconn *conn = data;

  conn->ops->head_received (conn->data, conn);
}

static void
body_received (void *data, const char *bytes, size_t size)
{
  struct serverconn *conn = data;

  if (!conn->closing && !conn->passing_over)
    conn->ops->body_received (conn->data, bytes, size);
}

static const struct httpresponse_ops response_ops
    = { head_received, body_received };

bool
serverconn_pass_over (struct serverconn *conn)
{
  /* What the request was that a response to HEAD belongs to, and so whether it
   * has a body, isn't known. */
  if (conn->response.answers_head
      || httpresponse_framing (&conn->response) == HTTPRESPONSE_UNTIL_CLOSE
      || conn->passed_over >= SERVERCONN_PASSED_OVER_MAX)
    return false;
  conn->passing_over = true;
  conn->passed_over++;
  return true;
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[READ_BYTES];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

/* Whether the connection, whose end was read, did not end the response in
 * order. */
static bool
connection_was_cut (struct serverconn *conn)
{
  uv_os_fd_t fd;

  return uv_fileno ((uv_handle_t *)&conn->tcp, &fd) != 0
         || tcpreset_was_reset (fd)
         || httpresponse_precedes_request (&conn->response,
                                           (uv_stream_t *)&conn->tcp);
}

/* Parse SIZE bytes of responses, of which none is left once the own one is
 * complete. A SIZE of 0 tells that the server closed the connection.
 * @return false if they are malformed */
static bool
responses_parse (struct serverconn *conn, const char *bytes, size_t size)
{
  size_t parsed;

  while (true)
    {
      parsed = httpresponse_feed (&conn->response, bytes, size);
      if (conn->closing || !conn->response.complete || !conn->passing_over)
        break;
      conn->passed_over_bytes += parsed;
      httpresponse_restart (&conn->response);
      conn->passing_over = false;
      bytes += parsed;
      size -= parsed;
      if (size == 0)
        break;
    }
  if (conn->passing_over)
    conn->passed_over_bytes += parsed;
  return httpresponse_is_valid (&conn->response);
}

static void
on_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  struct serverconn *conn = stream->data;
  bool is_valid;

  if (size == 0 || conn->closing)
    return;
  if (size < 0 && (size != UV_EOF || connection_was_cut (conn)))
    {
      conn_end (conn, SERVERCONN_CUT);
      return;
    }
  is_valid = responses_parse (conn, buffer->base, size < 0 ? 0 : (size_t)size);
  if (conn->response.complete)
    conn_end (conn, SERVERCONN_COMPLETE);
  else if (size < 0)
    conn_end (conn, SERVERCONN_CUT);
  else if (!is_valid
           || conn->passed_over_bytes > SERVERCONN_PASSED_OVER_BYTES_MAX)
    conn_end (conn, SERVERCONN_GARBLED);
}

static void
on_written (uv_write_t *request, int status)
{
  struct serverconn *conn = request->data;

  if (status != 0 && status != UV_ECANCELED)
    conn_end (conn, SERVERCONN_CUT);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  struct serverconn *conn = connect->data;
  uv_os_fd_t fd;
  uv_buf_t buffer;

  if (conn->closing)
    return;
  uv_timer_stop (&conn->timer);
  if (status != 0)
    {
      conn_end (conn, SERVERCONN_NOT_CONNECTED);
      return;
    }
  conn->connected = true;
  uv_tcp_nodelay (&conn->tcp, 1);
  if (uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0)
    tcpkeepalive_enable (fd);
  uv_read_start ((uv_stream_t *)&conn->tcp, on_alloc, on_read);
  buffer = uv_buf_init (conn->request->str, (unsigned)conn->request->len);
  conn->write_request.data = conn;
  conn->ops->connected (conn->data);
  if (!conn->closing
      && uv_write (&conn->write_request, (uv_stream_t *)&conn->tcp, &buffer, 1,
                   on_written)
             != 0)
    conn_end (conn, SERVERCONN_CUT);
}

static void
connect_timer_fired (uv_timer_t *timer)
{
  conn_end (timer->data, SERVERCONN_NOT_CONNECTED);
}

struct serverconn *
serverconn_open (uv_loop_t *loop, const char *address, GString *request,
                 bool no_response_body, int64_t connect_timeout_ns,
                 const struct serverconn_ops *ops, void *data)
{
  struct serverconn *conn = g_new0 (struct serverconn, 1);
  struct sockaddr_in target;

  conn->ops = ops;
  conn->data = data;
  conn->request = request;
  httpresponse_init (&conn->response, HEAD_BYTES_MAX, no_response_body,
                     &response_ops, conn);
  conn->open_handles = 2;
  conn->tcp.data = conn;
  conn->timer.data = conn;
  conn->connect_request.data = conn;
  uv_tcp_init (loop, &conn->tcp);
  uv_timer_init (loop, &conn->timer);
  if (address_parse (address, &target) != STATUS_OK
      || uv_tcp_connect (&conn->connect_request, &conn->tcp,
                         (const struct sockaddr *)&target, on_connected)
             != 0)
    connect_timeout_ns = 0;
  uv_timer_start (&conn->timer, connect_timer_fired,
                  connect_timeout_ns / NS_PER_MS, 0);
  return conn;
}

int
serverconn_status (const struct serverconn *conn)
{
  return (int)conn->response.parser.status_code;
}
