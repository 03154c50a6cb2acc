#include "clihttp.h"

#include "clock.h"

#include <string.h>

enum
{
  MS_PER_S = 1000,
  IO_TIMEOUT_MS = 60000
};

/* One call under way. */
struct exchange
{
  GString *body;
  int http_status;
  enum status status;
  bool ended;
};

static void
on_head (void *data, const struct httpclient_head *head)
{
  struct exchange *exchange = data;

  exchange->http_status = head->status;
}

static void
on_body (void *data, const char *bytes, size_t size)
{
  struct exchange *exchange = data;

  g_string_append_len (exchange->body, bytes, (gssize)size);
}

static void
on_end (void *data, const struct httpclient_end *end)
{
  struct exchange *exchange = data;

  exchange->status = end->status;
  exchange->ended = true;
}

static const struct httpclient_ops exchange_ops = { on_head, on_body, on_end };

static void
on_timer (uv_timer_t *timer)
{
  bool *late = timer->data;

  *late = true;
}

static char *
header_lines (const struct cli *cli, const char *body)
{
  GString *lines = g_string_new (NULL);

  if (cli->key != NULL)
    g_string_append_printf (lines, "authorization: Bearer %s\r\n", cli->key);
  g_string_append_printf (lines, "x-operator: %s\r\n", cli->operator_name);
  if (body != NULL)
    g_string_append_printf (lines, "content-type: %s\r\n",
                            body[0] == '{' ? "application/json" : "text/csv");
  return g_string_free (lines, FALSE);
}

static void
exchange_run (struct clihttp *http, struct exchange *exchange,
              struct httpclient_call *call, uint64_t timeout_ms)
{
  uv_timer_t timer;
  bool late = false;

  uv_timer_init (&http->loop, &timer);
  timer.data = &late;
  uv_timer_start (&timer, on_timer, timeout_ms, 0);
  while (!exchange->ended && !late)
    uv_run (&http->loop, UV_RUN_ONCE);
  if (!exchange->ended)
    {
      exchange->status = httpclient_handed_over (call) ? STATUS_UNKNOWN
                                                       : STATUS_UNAVAILABLE;
      httpclient_cancel (call);
    }
  uv_timer_stop (&timer);
  uv_close ((uv_handle_t *)&timer, NULL);
  uv_run (&http->loop, UV_RUN_NOWAIT);
}

static void
clihttp_call (struct cli *cli, const char *address, const char *method,
              const char *path, const char *body, struct cli_answer *answer)
{
  struct clihttp *http = cli->context;
  struct exchange exchange = { .body = g_string_new (NULL) };
  char *lines = header_lines (cli, body);
  struct httpclient_request request = { .address = address,
                                        .method = method,
                                        .path = path,
                                        .header_lines = lines,
                                        .body = body };
  struct httpclient_call *call;

  request.body_size = body == NULL ? 0 : strlen (body);
  /* The loop did not run since the last call; its time is of then. */
  uv_update_time (&http->loop);
  call = httpclient_call (&http->client, &request, &exchange_ops, &exchange);
  exchange_run (http, &exchange, call, (uint64_t)cli->timeout_s * MS_PER_S);
  answer->status = exchange.status;
  answer->http_status = exchange.http_status;
  answer->body = g_string_free (exchange.body, FALSE);
  g_free (lines);
}

static uint64_t
clihttp_now_ms (struct cli *cli)
{
  return uv_hrtime () / NS_PER_MS;
}

static void
clihttp_sleep (struct cli *cli, unsigned ms)
{
  uv_sleep (ms);
}

const struct cli_ops clihttp_ops
    = { clihttp_call, clihttp_now_ms, clihttp_sleep };

void
clihttp_init (struct clihttp *http)
{
  uv_loop_init (&http->loop);
  httpclient_init (&http->client, &http->loop, IO_TIMEOUT_MS);
}
