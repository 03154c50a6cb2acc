#include "fleet-parts.h"

#include <string.h>
#include <unistd.h>

enum
{
  READ_BYTES = 64 * 1024
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
