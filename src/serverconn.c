#include "serverconn.h"
#include "address.h"
#include "clock.h"
#include "tcpkeepalive.h"
#include "tcpreset.h"

#include <string.h>

enum
{
  /* Return values of parsed_head: the parsing ends with an error, or expects
   * no body. */
  PARSER_FAILS = -1,
  PARSER_SKIPS_BODY = 1,
  HTTP_SWITCHING_PROTOCOLS = 101,
  READ_BYTES = 64 * 1024,
  /* Maximum size of the fields of a head, and of those behind a body. */
  HEAD_BYTES_MAX = 16 * 1024
};

static const char *const result_names[] = {
  [SERVERCONN_COMPLETE] = "complete",
  [SERVERCONN_NOT_CONNECTED] = "not_connected",
  [SERVERCONN_CUT] = "cut",
  [SERVERCONN_GARBLED] = "garbled",
};

static const char *const framing_names[] = {
  [SERVERCONN_NO_BODY] = "none",
  [SERVERCONN_LENGTH] = "length",
  [SERVERCONN_CHUNKED] = "chunked",
  [SERVERCONN_UNTIL_CLOSE] = "close",
};

const char *
serverconn_result_name (enum serverconn_result result)
{
  return result_names[result];
}

const char *
serverconn_framing_name (enum serverconn_framing framing)
{
  return framing_names[framing];
}

static void
on_closed (uv_handle_t *handle)
{
  struct serverconn *conn = handle->data;

  if (--conn->open_handles > 0)
    return;
  httpfields_finish (&conn->head);
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

static int
parsed_name (http_parser *parser, const char *bytes, size_t size)
{
  struct serverconn *conn = parser->data;

  httpfields_append_name (&conn->head, bytes, size);
  return conn->head.text->len > HEAD_BYTES_MAX;
}

static int
parsed_value (http_parser *parser, const char *bytes, size_t size)
{
  struct serverconn *conn = parser->data;

  httpfields_append_value (&conn->head, bytes, size);
  return conn->head.text->len > HEAD_BYTES_MAX;
}

static bool
is_interim_response (const http_parser *parser)
{
  return parser->status_code >= 100 && parser->status_code < 200;
}

static int
parsed_begin (http_parser *parser)
{
  struct serverconn *conn = parser->data;

  httpfields_clear (&conn->head);
  return 0;
}

/* Whether HTTP has the status of the response, and it can answer a request. No
 * request asks for another protocol. */
static bool
status_is_valid (const http_parser *parser)
{
  return parser->status_code >= 100 && parser->status_code < 600
         && parser->status_code != HTTP_SWITCHING_PROTOCOLS;
}

/* Whether the body, if it is coded at all, is chunked and nothing else, since
 * no other coding is removed. HTTP/1.0 has no codings. */
static bool
coding_is_valid (const struct serverconn *conn)
{
  static const char name[] = "Transfer-Encoding";
  const char *value = httpfields_find (&conn->head, name);
  char *coding;
  bool chunked;

  if (value == NULL)
    return true;
  coding = g_strstrip (g_strdup (value));
  chunked = g_ascii_strcasecmp (coding, "chunked") == 0;
  g_free (coding);
  return chunked && httpfields_count_of_name (&conn->head, name) == 1
         && conn->parser.http_minor > 0;
}

/* Whether the response has no body, whatever its fields say. */
static bool
has_no_body (const struct serverconn *conn)
{
  return conn->no_response_body || is_interim_response (&conn->parser)
         || conn->parser.status_code == HTTP_STATUS_NO_CONTENT
         || conn->parser.status_code == HTTP_STATUS_NOT_MODIFIED;
}

/* Whether the fields announce a body although the status allows none, so that
 * the end of the response is unclear. Those of responses to HEAD and with
 * status 304 describe the body of another response. */
static bool
announces_wrong_body (const struct serverconn *conn)
{
  const http_parser *parser = &conn->parser;

  return (is_interim_response (parser)
          || parser->status_code == HTTP_STATUS_NO_CONTENT)
         && ((parser->flags & F_CHUNKED) != 0
             || ((parser->flags & F_CONTENTLENGTH) != 0
                 && parser->content_length > 0));
}

static int
parsed_head (http_parser *parser)
{
  struct serverconn *conn = parser->data;

  if (!status_is_valid (parser) || !coding_is_valid (conn)
      || announces_wrong_body (conn))
    return PARSER_FAILS;
  if ((parser->flags & F_CHUNKED) != 0 && !has_no_body (conn))
    httpcheck_begin_chunks (&conn->check);
  if (!is_interim_response (parser))
    conn->ops->head_received (conn->data, conn);
  return has_no_body (conn) ? PARSER_SKIPS_BODY : 0;
}

bool
serverconn_pass_over (struct serverconn *conn)
{
  /* What the request was that a response to HEAD belongs to, and so whether it
   * has a body, isn't known. */
  if (conn->no_response_body
      || serverconn_framing (conn) == SERVERCONN_UNTIL_CLOSE
      || conn->passed_over >= SERVERCONN_PASSED_OVER_MAX)
    return false;
  conn->passing_over = true;
  conn->passed_over++;
  return true;
}

static int
parsed_body (http_parser *parser, const char *bytes, size_t size)
{
  struct serverconn *conn = parser->data;

  if (!conn->closing && !conn->passing_over)
    conn->ops->body_received (conn->data, bytes, size);
  return 0;
}

static int
parsed_end (http_parser *parser)
{
  struct serverconn *conn = parser->data;

  if (is_interim_response (parser))
    {
      httpcheck_begin_response (&conn->check);
      return 0;
    }
  conn->response_complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = parsed_begin,
  .on_header_field = parsed_name,
  .on_header_value = parsed_value,
  .on_headers_complete = parsed_head,
  .on_body = parsed_body,
  .on_message_complete = parsed_end,
};

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[READ_BYTES];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

static bool
connection_was_reset (struct serverconn *conn)
{
  uv_os_fd_t fd;

  return uv_fileno ((uv_handle_t *)&conn->tcp, &fd) != 0
         || tcpreset_was_reset (fd);
}

/* Whether the server closed the connection, which would end a success without
 * a length, before it had received the request. An error may come so early. */
static bool
ended_before_request (struct serverconn *conn)
{
  uv_os_fd_t fd;

  return serverconn_framing (conn) == SERVERCONN_UNTIL_CLOSE
         && conn->parser.status_code < HTTP_STATUS_BAD_REQUEST
         && uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0
         && tcpreset_is_sending (fd);
}

/* Expect another response, whatever the one that was passed over says of the
 * connection. */
static void
parser_restart (struct serverconn *conn)
{
  http_parser_init (&conn->parser, HTTP_RESPONSE);
  httpcheck_begin_response (&conn->check);
  httpfields_clear (&conn->head);
  conn->response_complete = false;
  conn->passing_over = false;
}

/* Check and parse bytes of one response. A SIZE of 0 tells that the server
 * closed the connection.
 * @return number of bytes parsed */
static size_t
response_parse (struct serverconn *conn, const char *bytes, size_t size)
{
  size_t parsed = 0;
  size_t part;

  do
    {
      part = httpcheck_feed (&conn->check, bytes + parsed, size - parsed);
      parsed += http_parser_execute (&conn->parser, &parser_settings,
                                     bytes + parsed, part);
    }
  while (parsed < size && conn->check.section != HTTPCHECK_MALFORMED
         && HTTP_PARSER_ERRNO (&conn->parser) == HPE_OK);
  return parsed;
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
      parsed = response_parse (conn, bytes, size);
      if (conn->closing || !conn->response_complete || !conn->passing_over)
        break;
      conn->passed_over_bytes += parsed;
      parser_restart (conn);
      bytes += parsed;
      size -= parsed;
      if (size == 0)
        break;
    }
  if (conn->passing_over)
    conn->passed_over_bytes += parsed;
  return conn->check.section != HTTPCHECK_MALFORMED
         && HTTP_PARSER_ERRNO (&conn->parser) == HPE_OK;
}

static void
on_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  struct serverconn *conn = stream->data;
  bool is_valid;

  if (size == 0 || conn->closing)
    return;
  if (size < 0
      && (size != UV_EOF || connection_was_reset (conn)
          || ended_before_request (conn)))
    {
      conn_end (conn, SERVERCONN_CUT);
      return;
    }
  is_valid = responses_parse (conn, buffer->base, size < 0 ? 0 : (size_t)size);
  if (conn->response_complete)
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
  conn->no_response_body = no_response_body;
  httpfields_init (&conn->head);
  http_parser_init (&conn->parser, HTTP_RESPONSE);
  httpcheck_begin_response (&conn->check);
  conn->parser.data = conn;
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
  return (int)conn->parser.status_code;
}

enum serverconn_framing
serverconn_framing (const struct serverconn *conn)
{
  const http_parser *parser = &conn->parser;

  if (has_no_body (conn))
    return SERVERCONN_NO_BODY;
  if ((parser->flags & F_CHUNKED) != 0)
    return SERVERCONN_CHUNKED;
  if ((parser->flags & F_CONTENTLENGTH) != 0)
    return SERVERCONN_LENGTH;
  return SERVERCONN_UNTIL_CLOSE;
}
