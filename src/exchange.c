#include "exchange.h"

#include <string.h>

enum
{
  /* Maximum size of a body that is buffered. A larger body is relayed while
   * it is received. */
  BUFFERED_BODY_MAX = 256 * 1024,
  /* Maximum size of an event that is not complete yet. */
  EVENT_BYTES_MAX = 256 * 1024
};

static const char *const outcome_names[] = {
  [EXCHANGE_ANSWERED] = "answered", [EXCHANGE_NOT_CONNECTED] = "not_connected",
  [EXCHANGE_NOT_RUN] = "not_run",   [EXCHANGE_CUT] = "cut",
  [EXCHANGE_FOREIGN] = "foreign",   [EXCHANGE_SILENT] = "silent",
  [EXCHANGE_OUTDATED] = "outdated", [EXCHANGE_NOT_CONTINUED] = "not_continued",
};

const char *
exchange_outcome_name (enum exchange_outcome outcome)
{
  return outcome_names[outcome];
}

void
exchange_init (struct exchange *exchange, struct bytebudget *budget,
               const struct dialect *dialect, const struct clock *clock,
               const struct exchange_ops *ops, void *data)
{
  memset (exchange, 0, sizeof *exchange);
  exchange->budget = budget;
  exchange->fault = "-";
  exchange->dialect = dialect;
  exchange->clock = clock;
  exchange->ops = ops;
  exchange->data = data;
  exchange->header_lines = g_string_new (NULL);
  exchange->buffered_body = g_byte_array_new ();
  eventstream_init (&exchange->events);
}

void
exchange_continue_from (struct exchange *exchange,
                        const struct exchange *present)
{
  exchange->relayed_status = present->relayed_status;
  eventstream_continue_from (&exchange->events, &present->events);
}

static void
exchange_count_bytes (struct exchange *exchange)
{
  bytebudget_update (exchange->budget, &exchange->counted_bytes,
                     exchange->buffered_body->len
                         + exchange->events.pending->len);
}

void
exchange_finish (struct exchange *exchange)
{
  exchange_cancel (exchange);
  bytebudget_update (exchange->budget, &exchange->counted_bytes, 0);
  g_string_free (exchange->header_lines, TRUE);
  g_byte_array_free (exchange->buffered_body, TRUE);
  eventstream_finish (&exchange->events);
}

void
exchange_close (struct exchange *exchange)
{
  if (exchange->conn != NULL)
    serverconn_close (exchange->conn);
  exchange->conn = NULL;
}

bool
exchange_is_sent (const struct exchange *exchange)
{
  return exchange->conn != NULL && exchange->sent_ns != 0;
}

bool
exchange_has_begun (const struct exchange *exchange)
{
  return exchange->first_output_ns != 0 || exchange->buffered_body->len > 0;
}

void
exchange_cancel (struct exchange *exchange)
{
  exchange_close (exchange);
  server_unref (exchange->server);
  exchange->server = NULL;
}

/* Close the connection and report OUTCOME. The reference to the server is kept
 * until the next attempt or exchange_finish, so that the owner can still log
 * the server. */
static void
exchange_close_with (struct exchange *exchange, enum exchange_outcome outcome)
{
  exchange_close (exchange);
  exchange->ops->ended (exchange->data, exchange, outcome);
}

static void
request_sent (void *data)
{
  struct exchange *exchange = data;

  if (exchange->ops->may_send != NULL
      && !exchange->ops->may_send (exchange->data, exchange))
    {
      exchange->withheld = true;
      exchange_close_with (exchange, EXCHANGE_NOT_CONNECTED);
      return;
    }
  exchange->sent_ns = clock_now (exchange->clock);
}

/* Whether RESPONSE must not be relayed. A successful response is accepted only
 * if a backend server made it for this request and without a content encoding.
 */
static bool
response_is_foreign (const struct response *response)
{
  return response->owner != RESPONSE_OWN
         || (response->success
             && (!response->from_backend_server || response->encoded));
}

bool
exchange_relays_events (const struct exchange *exchange)
{
  return exchange->is_stream && exchange->response.success
         && exchange->response.is_event_stream;
}

/* Whether the head of the response allows that it continues the stream whose
 * head the caller has. */
static bool
continues_events (const struct exchange *exchange)
{
  return exchange_relays_events (exchange)
         && exchange->response.status == exchange->relayed_status;
}

static void
head_received (void *data, struct serverconn *conn)
{
  struct exchange *exchange = data;

  exchange->dialect->response_decode (
      serverconn_status (conn), &conn->response.head, exchange->request_id,
      exchange->server->entry.id, &exchange->response);
  if (exchange->response.owner != RESPONSE_OWN)
    {
      exchange->passed_over++;
      exchange->ops->passed_over (exchange->data, exchange);
      if (exchange->response.owner != RESPONSE_OF_ANOTHER
          || !serverconn_pass_over (conn))
        exchange_close_with (exchange, EXCHANGE_FOREIGN);
      return;
    }
  exchange->has_head = true;
  exchange->framing = httpresponse_framing (&conn->response);
  exchange->last_received_ns = clock_now (exchange->clock);
  exchange->ops->head_received (exchange->data, exchange);
  if (exchange->response.not_run)
    exchange_close_with (exchange, EXCHANGE_NOT_RUN);
  else if (response_is_foreign (&exchange->response))
    exchange_close_with (exchange, EXCHANGE_FOREIGN);
  else if (exchange->continues && !continues_events (exchange))
    exchange_close_with (exchange, EXCHANGE_NOT_CONTINUED);
  else
    {
      g_string_truncate (exchange->header_lines, 0);
      exchange->dialect->response_headers_encode (exchange->header_lines,
                                                  &conn->response.head);
    }
}

static void
exchange_relay (struct exchange *exchange, const char *bytes, size_t size)
{
  if (size == 0)
    return;
  exchange->relayed = true;
  if (!exchange->continues)
    exchange->relayed_status = exchange->response.status;
  if (exchange->first_output_ns == 0)
    exchange->first_output_ns = clock_now (exchange->clock);
  exchange->ops->bytes_received (exchange->data, exchange, bytes, size);
}

static void
buffered_body_add (struct exchange *exchange, const char *bytes, size_t size)
{
  g_byte_array_append (exchange->buffered_body, (const guint8 *)bytes,
                       (guint)size);
  exchange_count_bytes (exchange);
  if (exchange->buffered_body->len <= BUFFERED_BODY_MAX
      && !bytebudget_is_overrun (exchange->budget, exchange->counted_bytes))
    return;
  exchange_relay (exchange, (const char *)exchange->buffered_body->data,
                  exchange->buffered_body->len);
  g_byte_array_set_size (exchange->buffered_body, 0);
  exchange_count_bytes (exchange);
}

static void
body_received (void *data, const char *bytes, size_t size)
{
  struct exchange *exchange = data;
  size_t whole_size;

  exchange->last_received_ns = clock_now (exchange->clock);
  if (!exchange_relays_events (exchange))
    {
      buffered_body_add (exchange, bytes, size);
      return;
    }
  whole_size = eventstream_append (&exchange->events, bytes, size);
  exchange_count_bytes (exchange);
  if (exchange->events.is_misplaced)
    {
      exchange->fault = "event";
      exchange_close_with (exchange, EXCHANGE_FOREIGN);
      return;
    }
  if (whole_size == 0
      && (exchange->events.pending->len > EVENT_BYTES_MAX
          || bytebudget_is_overrun (exchange->budget,
                                    exchange->counted_bytes)))
    {
      exchange_close_with (exchange, EXCHANGE_FOREIGN);
      return;
    }
  if (whole_size == 0)
    return;
  exchange_relay (exchange, exchange->events.pending->str, whole_size);
  eventstream_consume (&exchange->events, whole_size);
  exchange_count_bytes (exchange);
}

/* Whether the end of the body is not the end of the stream. The connection of
 * an unframed response also closes in order if the server's run crashed. */
static bool
stream_was_cut (const struct exchange *exchange)
{
  return exchange_relays_events (exchange)
         && (eventstream_is_inside_event (&exchange->events)
             || (exchange->framing == HTTPRESPONSE_UNTIL_CLOSE
                 && exchange->events.event_count == 0));
}

static void
response_complete (struct exchange *exchange)
{
  if (stream_was_cut (exchange))
    {
      exchange_close_with (exchange, EXCHANGE_CUT);
      return;
    }
  /* Whether the stream ended where it broke off isn't known. */
  if (exchange->continues && exchange->events.event_count == 0)
    {
      exchange_close_with (exchange, EXCHANGE_NOT_CONTINUED);
      return;
    }
  if (exchange->relayed && !exchange_relays_events (exchange))
    exchange_relay (exchange, (const char *)exchange->buffered_body->data,
                    exchange->buffered_body->len);
  if (exchange->first_output_ns == 0)
    exchange->first_output_ns = clock_now (exchange->clock);
  exchange_close_with (exchange, EXCHANGE_ANSWERED);
}

static void
conn_ended (void *data, enum serverconn_result conn_end)
{
  static const enum exchange_outcome outcomes[] = {
    [SERVERCONN_NOT_CONNECTED] = EXCHANGE_NOT_CONNECTED,
    [SERVERCONN_CUT] = EXCHANGE_CUT,
    [SERVERCONN_GARBLED] = EXCHANGE_FOREIGN,
  };
  struct exchange *exchange = data;

  if (conn_end == SERVERCONN_GARBLED)
    exchange->fault = httpresponse_fault (&exchange->conn->response);
  exchange->conn = NULL;
  if (conn_end == SERVERCONN_COMPLETE)
    response_complete (exchange);
  /* A server that answers other requests is at fault, not the request. */
  else if (exchange->passed_over > 0 && !exchange->has_head)
    exchange_close_with (exchange, EXCHANGE_FOREIGN);
  else
    exchange_close_with (exchange, outcomes[conn_end]);
}

static const struct serverconn_ops conn_ops
    = { request_sent, head_received, body_received, conn_ended };

void
exchange_send (struct exchange *exchange, uv_loop_t *loop,
               struct server *server, const struct exchange_request *request,
               int64_t connect_timeout_ns)
{
  exchange_cancel (exchange);
  exchange->server = server_ref (server);
  exchange->request_id = request->id;
  exchange->is_stream = request->is_stream;
  exchange->continues = request->continues;
  exchange->has_head = false;
  exchange->withheld = false;
  exchange->passed_over = 0;
  exchange->framing = HTTPRESPONSE_NO_BODY;
  exchange->fault = "-";
  exchange->relayed = false;
  exchange->sent_ns = 0;
  exchange->first_output_ns = 0;
  exchange->last_received_ns = 0;
  memset (&exchange->response, 0, sizeof exchange->response);
  g_byte_array_set_size (exchange->buffered_body, 0);
  eventstream_restart (&exchange->events, request->continues);
  exchange_count_bytes (exchange);
  exchange->conn = serverconn_open (loop, server->entry.address,
                                    request->bytes, request->is_head,
                                    connect_timeout_ns, &conn_ops, exchange);
}
