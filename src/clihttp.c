#include "clihttp.h"

#include "clock.h"

#include <string.h>

enum
{
  MS_PER_S = 1000,
  IO_TIMEOUT_MS = 60000
};

/* A call to a gateway and the part of the response that has arrived. */
struct http_exchange
{
  GString *body;
  int http_status;
  enum status status;
  bool finished;
};

static void
head_received (void *data, const struct httpclient_response_head *head)
{
  struct http_exchange *exchange = data;

  exchange->http_status = head->status;
}

static void
body_received (void *data, const char *bytes, size_t size)
{
  struct http_exchange *exchange = data;

  g_string_append_len (exchange->body, bytes, (gssize)size);
}

static void
call_ended (void *data, const struct httpclient_result *result)
{
  struct http_exchange *exchange = data;

  exchange->status = result->status;
  exchange->finished = true;
}

static const struct httpclient_ops exchange_ops
    = { head_received, body_received, call_ended };

static void
timeout_fired (uv_timer_t *timer)
{
  bool *timed_out = timer->data;

  *timed_out = true;
}

static char *
header_lines (const struct cli *cli, const char *body)
{
  GString *lines = g_string_new (NULL);

  if (cli->operator_key != NULL)
    g_string_append_printf (lines, "authorization: Bearer %s\r\n",
                            cli->operator_key);
  g_string_append_printf (lines, "x-operator: %s\r\n", cli->operator_name);
  if (body != NULL)
    g_string_append_printf (lines, "content-type: %s\r\n",
                            body[0] == '{' ? "application/json" : "text/csv");
  return g_string_free (lines, FALSE);
}

static void
exchange_run (struct clihttp *http, struct http_exchange *exchange,
              struct httpclient_call *call, uint64_t timeout_ms)
{
  uv_timer_t timer;
  bool timed_out = false;

  uv_timer_init (&http->loop, &timer);
  timer.data = &timed_out;
  uv_timer_start (&timer, timeout_fired, timeout_ms, 0);
  while (!exchange->finished && !timed_out)
    uv_run (&http->loop, UV_RUN_ONCE);
  if (!exchange->finished)
    {
      exchange->status = httpclient_may_have_sent (call) ? STATUS_UNKNOWN
                                                         : STATUS_UNAVAILABLE;
      httpclient_cancel (call);
    }
  uv_timer_stop (&timer);
  uv_close ((uv_handle_t *)&timer, NULL);
  uv_run (&http->loop, UV_RUN_NOWAIT);
}

static void
clihttp_call (struct cli *cli, const char *address, const char *method,
              const char *path, const char *body,
              struct cli_response *response)
{
  struct clihttp *http = cli->context;
  struct http_exchange exchange = { .body = g_string_new (NULL) };
  char *lines = header_lines (cli, body);
  struct httpclient_request request = { .address = address,
                                        .method = method,
                                        .path = path,
                                        .header_lines = lines,
                                        .body = body };
  struct httpclient_call *call;

  request.body_size = body == NULL ? 0 : strlen (body);
  /* The loop has not run since the last call, so its cached time is stale. */
  uv_update_time (&http->loop);
  call = httpclient_call (&http->client, &request, &exchange_ops, &exchange);
  exchange_run (http, &exchange, call, (uint64_t)cli->timeout_s * MS_PER_S);
  response->status = exchange.status;
  response->http_status = exchange.http_status;
  response->body = g_string_free (exchange.body, FALSE);
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
