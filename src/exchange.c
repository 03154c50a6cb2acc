#include "exchange.h"

#include <string.h>

enum
{
  /* Larger answers are passed on while they come. */
  HELD_MAX = 256 * 1024
};

static const char *const end_names[] = {
  [EXCHANGE_ANSWERED] = "answered", [EXCHANGE_NOT_CONNECTED] = "not_connected",
  [EXCHANGE_NOT_RUN] = "not_run",   [EXCHANGE_CUT] = "cut",
  [EXCHANGE_FOREIGN] = "foreign",   [EXCHANGE_SILENT] = "silent",
};

const char *
exchange_end_name (enum exchange_end end)
{
  return end_names[end];
}

void
exchange_init (struct exchange *exchange, const struct dialect *dialect,
               const struct clock *clock, const struct exchange_ops *ops,
               void *data)
{
  memset (exchange, 0, sizeof *exchange);
  exchange->dialect = dialect;
  exchange->clock = clock;
  exchange->ops = ops;
  exchange->data = data;
  exchange->lines = g_string_new (NULL);
  exchange->held = g_byte_array_new ();
  eventstream_init (&exchange->events);
}

void
exchange_finish (struct exchange *exchange)
{
  exchange_cancel (exchange);
  g_string_free (exchange->lines, TRUE);
  g_byte_array_free (exchange->held, TRUE);
  eventstream_finish (&exchange->events);
}

void
exchange_close (struct exchange *exchange)
{
  if (exchange->link != NULL)
    serverconn_close (exchange->link);
  exchange->link = NULL;
}

bool
exchange_is_sent (const struct exchange *exchange)
{
  return exchange->link != NULL && exchange->sent_ns != 0;
}

void
exchange_cancel (struct exchange *exchange)
{
  exchange_close (exchange);
  server_unref (exchange->server);
  exchange->server = NULL;
}

/* The server stays referenced until the next send or the finish, so that the
 * owner can still name it. */
static void
exchange_end (struct exchange *exchange, enum exchange_end end)
{
  exchange_close (exchange);
  exchange->ops->end (exchange->data, exchange, end);
}

static void
on_sent (void *data)
{
  struct exchange *exchange = data;

  exchange->sent_ns = clock_now (exchange->clock);
}

/* A success counts only from a server, for this request, and unencoded. */
static bool
answer_is_foreign (const struct answer *answer)
{
  if (!answer->own)
    return !answer->not_run;
  return answer->success && (!answer->sealed || answer->encoded);
}

static void
on_head (void *data, const struct serverconn *conn)
{
  struct exchange *exchange = data;

  exchange->answering = true;
  exchange->progress_ns = clock_now (exchange->clock);
  exchange->dialect->answer_decode (
      serverconn_status (conn), &conn->head, exchange->request_id,
      exchange->server->entry.id, &exchange->answer);
  if (exchange->answer.not_run)
    exchange_end (exchange, EXCHANGE_NOT_RUN);
  else if (answer_is_foreign (&exchange->answer))
    exchange_end (exchange, EXCHANGE_FOREIGN);
  else
    {
      g_string_truncate (exchange->lines, 0);
      exchange->dialect->answer_lines (exchange->lines, &conn->head);
    }
}

static void
exchange_relay (struct exchange *exchange, const char *bytes, size_t size)
{
  if (size == 0)
    return;
  exchange->relayed = true;
  if (exchange->first_ns == 0)
    exchange->first_ns = clock_now (exchange->clock);
  exchange->ops->relay (exchange->data, exchange, bytes, size);
}

static void
held_add (struct exchange *exchange, const char *bytes, size_t size)
{
  g_byte_array_append (exchange->held, (const guint8 *)bytes, (guint)size);
  if (exchange->held->len <= HELD_MAX)
    return;
  exchange_relay (exchange, (const char *)exchange->held->data,
                  exchange->held->len);
  g_byte_array_set_size (exchange->held, 0);
}

static void
on_body (void *data, const char *bytes, size_t size)
{
  struct exchange *exchange = data;
  size_t whole;

  exchange->progress_ns = clock_now (exchange->clock);
  if (!exchange->is_stream || !exchange->answer.success)
    {
      held_add (exchange, bytes, size);
      return;
    }
  whole = eventstream_append (&exchange->events, bytes, size);
  if (whole == 0)
    return;
  exchange_relay (exchange, exchange->events.pending->str, whole);
  eventstream_take (&exchange->events, whole);
}

/* What follows the last whole event belongs to the body all the same. */
static void
answer_complete (struct exchange *exchange)
{
  if (exchange->is_stream && exchange->answer.success)
    exchange_relay (exchange, exchange->events.pending->str,
                    exchange->events.pending->len);
  else if (exchange->relayed)
    exchange_relay (exchange, (const char *)exchange->held->data,
                    exchange->held->len);
  if (exchange->first_ns == 0)
    exchange->first_ns = clock_now (exchange->clock);
  exchange_end (exchange, EXCHANGE_ANSWERED);
}

static void
on_end (void *data, enum serverconn_end end)
{
  static const enum exchange_end ends[] = {
    [SERVERCONN_NOT_CONNECTED] = EXCHANGE_NOT_CONNECTED,
    [SERVERCONN_CUT] = EXCHANGE_CUT,
    [SERVERCONN_GARBLED] = EXCHANGE_FOREIGN,
  };
  struct exchange *exchange = data;

  exchange->link = NULL;
  if (end == SERVERCONN_COMPLETE)
    answer_complete (exchange);
  else
    exchange_end (exchange, ends[end]);
}

static const struct serverconn_ops link_ops
    = { on_sent, on_head, on_body, on_end };

void
exchange_send (struct exchange *exchange, uv_loop_t *loop,
               struct server *server, const char *request_id, GString *request,
               bool bodiless, bool is_stream, int64_t connect_ns)
{
  exchange_cancel (exchange);
  exchange->server = server_ref (server);
  exchange->request_id = request_id;
  exchange->is_stream = is_stream;
  exchange->answering = false;
  exchange->relayed = false;
  exchange->sent_ns = 0;
  exchange->first_ns = 0;
  exchange->progress_ns = 0;
  memset (&exchange->answer, 0, sizeof exchange->answer);
  g_byte_array_set_size (exchange->held, 0);
  eventstream_restart (&exchange->events);
  exchange->link = serverconn_open (loop, server->entry.address, request,
                                    bodiless, connect_ns, &link_ops, exchange);
}
