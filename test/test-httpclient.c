#include "clock.h"
#include "dialect-platform.h"
#include "fake-upstream.h"
#include "httpclient.h"
#include "platformkv.h"
#include "unit.h"

#include <string.h>

enum
{
  IO_TIMEOUT_MS = 2000,
  MANY_CALLS = 200,
  ENDLESS_BYTES = 3 * 1024 * 1024
};

/* Static in each test: the client's library keeps memory at the loop until the
 * process ends, and the leak check must find that memory reachable. */
struct client_fixture
{
  uv_loop_t loop;
  struct httpclient client;
  struct fake_upstream upstream;
  GString *body;
  enum status status;
  bool ended;
};

static struct client_fixture *fixture;

static void
fixture_init (struct client_fixture *own)
{
  fixture = own;
  uv_loop_init (&fixture->loop);
  httpclient_init (&fixture->client, &fixture->loop, IO_TIMEOUT_MS);
}

static void
head_received (void *data, const struct httpclient_response_head *head)
{
}

static void
body_received (void *data, const char *bytes, size_t size)
{
  g_string_append_len (fixture->body, bytes, (gssize)size);
}

static void
call_ended (void *data, const struct httpclient_result *result)
{
  fixture->status = result->status;
  fixture->ended = true;
}

static const struct httpclient_ops call_ops
    = { head_received, body_received, call_ended };

/* Handles that are closed are let go. */
static void
loop_settle (void)
{
  for (int i = 0; i < 5; i++)
    uv_run (&fixture->loop, UV_RUN_NOWAIT);
}

static enum status
call_status (const struct fake_upstream_step *step)
{
  struct httpclient_request request
      = { .method = "GET", .path = "/", .new_connection = true };

  fake_upstream_init (&fixture->upstream, &fixture->loop, step, 1);
  fixture->body = g_string_new (NULL);
  fixture->ended = false;
  request.address = fixture->upstream.address;
  httpclient_call (&fixture->client, &request, &call_ops, NULL);
  while (!fixture->ended)
    uv_run (&fixture->loop, UV_RUN_ONCE);
  fake_upstream_finish (&fixture->upstream);
  loop_settle ();
  g_string_free (fixture->body, TRUE);
  return fixture->status;
}

/* A body without its last chunk, or one without a length or chunks that was
 * reset, looked complete. */
static void
test_cut_body_is_not_complete (void)
{
  static const struct fake_upstream_step whole[] = {
    { "HTTP/1.1 200 OK\r\n\r\nhello", FAKE_UPSTREAM_CLOSE },
    { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
      FAKE_UPSTREAM_RESET },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n",
      FAKE_UPSTREAM_KEEP },
    { "HTTP/1.1 204 x\r\n\r\n", FAKE_UPSTREAM_KEEP },
  };
  static const struct fake_upstream_step cut[] = {
    { "HTTP/1.1 200 OK\r\n\r\nhello", FAKE_UPSTREAM_RESET },
    { "HTTP/1.1 200 OK\r\n\r\n", FAKE_UPSTREAM_RESET },
    { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
      FAKE_UPSTREAM_CLOSE },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
      FAKE_UPSTREAM_CLOSE },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
      FAKE_UPSTREAM_CLOSE },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      FAKE_UPSTREAM_CLOSE },
  };
  static struct client_fixture own;

  fixture_init (&own);
  for (unsigned i = 0; i < G_N_ELEMENTS (whole); i++)
    CU_ASSERT_EQUAL (call_status (&whole[i]), STATUS_OK);
  for (unsigned i = 0; i < G_N_ELEMENTS (cut); i++)
    CU_ASSERT_EQUAL (call_status (&cut[i]), STATUS_UNKNOWN);
  httpclient_finish (&fixture->client);
  uv_run (&fixture->loop, UV_RUN_NOWAIT);
}

static void
cache_list_received (void *data, const struct cache_report *report)
{
  fixture->status = report->replied ? STATUS_OK : STATUS_UNKNOWN;
  fixture->ended = true;
}

/* A list of blocks that was cut looked like an empty list. */
static void
test_cut_block_list_is_no_reply (void)
{
  static const struct fake_upstream_step cut = {
    "HTTP/1.1 200 OK\r\n\r\n{\"bootEpoch\":7,\"next\":9,\"heldCount\":[[",
    FAKE_UPSTREAM_CLOSE
  };
  static struct client_fixture own;
  struct httpjson httpjson;

  fixture_init (&own);
  httpjson_init (&httpjson, &fixture->client);
  fake_upstream_init (&fixture->upstream, &fixture->loop, &cut, 1);
  fixture->ended = false;
  dialect_platform.cache_list (&httpjson, fixture->upstream.address, NS_PER_S,
                               cache_list_received, NULL);
  while (!fixture->ended)
    uv_run (&fixture->loop, UV_RUN_ONCE);
  CU_ASSERT_EQUAL (fixture->status, STATUS_UNKNOWN);
  fake_upstream_finish (&fixture->upstream);
  httpjson_finish (&httpjson);
  httpclient_finish (&fixture->client);
  loop_settle ();
}

/* Bytes without end in the head of a response, or in the body of one, were
 * kept until the timeout of the call. */
static void
test_bytes_without_end (void)
{
  static struct client_fixture own;
  char *filler = g_strnfill (ENDLESS_BYTES, '[');
  char *head = g_strdup_printf ("HTTP/1.1 200 OK\r\nX: %s", filler);
  char *body = g_strdup_printf ("HTTP/1.1 200 OK\r\n\r\n%s", filler);
  struct fake_upstream_step steps[]
      = { { head, FAKE_UPSTREAM_KEEP }, { body, FAKE_UPSTREAM_KEEP } };
  struct clock clock;
  struct httpjson httpjson;
  int64_t start_ns;

  clock_system_init (&clock);
  fixture_init (&own);
  httpjson_init (&httpjson, &fixture->client);
  for (unsigned i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      start_ns = clock_now (&clock);
      fake_upstream_init (&fixture->upstream, &fixture->loop, &steps[i], 1);
      fixture->ended = false;
      dialect_platform.cache_list (&httpjson, fixture->upstream.address,
                                   10 * NS_PER_S, cache_list_received, NULL);
      while (!fixture->ended)
        uv_run (&fixture->loop, UV_RUN_ONCE);
      CU_ASSERT_EQUAL (fixture->status, STATUS_UNKNOWN);
      CU_ASSERT_TRUE (clock_now (&clock) - start_ns
                      < IO_TIMEOUT_MS * NS_PER_MS / 2);
      CU_ASSERT_EQUAL (httpjson.bytes, 0);
      fake_upstream_finish (&fixture->upstream);
      loop_settle ();
    }
  httpjson_finish (&httpjson);
  httpclient_finish (&fixture->client);
  loop_settle ();
  g_free (body);
  g_free (head);
  g_free (filler);
}

static void
tick (uv_timer_t *timer)
{
}

/* With more calls in flight than are checked at a time, the one whose reply
 * has no end was found late. The loop has the tick of a process. */
static void
test_bytes_without_end_among_many_calls (void)
{
  static const struct fake_upstream_step silent = { "", FAKE_UPSTREAM_KEEP };
  static struct client_fixture own;
  static struct fake_upstream other;
  static uv_timer_t timer;
  char *filler = g_strnfill (ENDLESS_BYTES, '[');
  char *head = g_strdup_printf ("HTTP/1.1 200 OK\r\nX: %s", filler);
  struct fake_upstream_step step = { head, FAKE_UPSTREAM_KEEP };
  struct httpclient_request request
      = { .method = "GET", .path = "/", .new_connection = true };
  struct clock clock;
  int64_t start_ns;

  clock_system_init (&clock);
  fixture_init (&own);
  uv_timer_init (&fixture->loop, &timer);
  uv_timer_start (&timer, tick, 20, 20);
  fixture->body = g_string_new (NULL);
  fake_upstream_init (&other, &fixture->loop, &silent, 1);
  fake_upstream_init (&fixture->upstream, &fixture->loop, &step, 1);
  request.address = other.address;
  /* One after the other, since the queue of new connections is short. */
  for (unsigned i = 0; i < MANY_CALLS; i++)
    {
      httpclient_call (&fixture->client, &request, &call_ops, NULL);
      while (other.requests <= i)
        uv_run (&fixture->loop, UV_RUN_ONCE);
    }
  fixture->ended = false;
  start_ns = clock_now (&clock);
  request.address = fixture->upstream.address;
  httpclient_call (&fixture->client, &request, &call_ops, NULL);
  while (!fixture->ended)
    uv_run (&fixture->loop, UV_RUN_ONCE);
  CU_ASSERT_EQUAL (fixture->status, STATUS_UNKNOWN);
  CU_ASSERT_TRUE (clock_now (&clock) - start_ns
                  < IO_TIMEOUT_MS * NS_PER_MS / 2);
  CU_ASSERT_EQUAL (fixture->client.call_count, MANY_CALLS);
  uv_close ((uv_handle_t *)&timer, NULL);
  httpclient_finish (&fixture->client);
  CU_ASSERT_EQUAL (fixture->client.call_count, 0);
  fake_upstream_finish (&fixture->upstream);
  fake_upstream_finish (&other);
  loop_settle ();
  g_string_free (fixture->body, TRUE);
  g_free (head);
  g_free (filler);
}

static struct httpjson control;

static void
weights_reported (void *data, const struct weights_report *report)
{
  fixture->status = report->replied ? STATUS_OK : STATUS_UNKNOWN;
  fixture->ended = true;
}

static void
order_replied (void *data, enum weights_reply reply,
               const struct statement *statement)
{
  fixture->status
      = reply == WEIGHTS_REPLY_UNKNOWN ? STATUS_UNKNOWN : STATUS_OK;
  fixture->ended = true;
}

static void
kv_replied (void *data, const struct kv_reply *reply)
{
  fixture->status = reply->status;
  fixture->ended = true;
}

static void
report_start (void)
{
  dialect_platform.weights_query (&control, fixture->upstream.address, "i-0",
                                  10 * NS_PER_S, weights_reported, NULL);
}

static void
order_start (void)
{
  const struct weights_order order
      = { .server_id = "i-0", .model = "m", .leader = "l" };

  dialect_platform.weights_order_send (&control, fixture->upstream.address,
                                       &order, 10 * NS_PER_S, order_replied,
                                       NULL);
}

static void
list_start (void)
{
  dialect_platform.cache_list (&control, fixture->upstream.address,
                               10 * NS_PER_S, cache_list_received, NULL);
}

static void
events_start (void)
{
  dialect_platform.cache_events (&control, fixture->upstream.address, 7, 0,
                                 10 * NS_PER_S, cache_list_received, NULL);
}

static struct kv *
kv_service (void)
{
  static struct platformkv platformkv;

  platformkv_init (&platformkv, &control, fixture->upstream.address,
                   10 * NS_PER_S);
  return &platformkv.kv;
}

static void
kv_range_start (void)
{
  struct kv *kv = kv_service ();

  kv->ops->range (kv, "op/", kv_replied, NULL);
}

static void
kv_watch_start (void)
{
  struct kv *kv = kv_service ();

  kv->ops->watch (kv, "op/", 7, NS_PER_S, kv_replied, NULL);
}

/* Each call of control kept the bytes of a reply without end. */
static void
test_bytes_without_end_on_each_call (void)
{
  static const struct
  {
    void (*start) (void);
    bool bounds_body; /* below ENDLESS_BYTES */
  } calls[] = { { report_start, true },    { order_start, true },
                { list_start, true },      { events_start, true },
                { kv_range_start, false }, { kv_watch_start, false } };
  static struct client_fixture own;
  char *filler = g_strnfill (ENDLESS_BYTES, '[');
  char *head = g_strdup_printf ("HTTP/1.1 200 OK\r\nX: %s", filler);
  char *body = g_strdup_printf ("HTTP/1.1 200 OK\r\n\r\n%s", filler);
  struct clock clock;

  clock_system_init (&clock);
  fixture_init (&own);
  httpjson_init (&control, &fixture->client);
  for (unsigned i = 0; i < 2 * G_N_ELEMENTS (calls); i++)
    {
      struct fake_upstream_step step
          = { i % 2 == 0 ? head : body, FAKE_UPSTREAM_KEEP };
      int64_t start_ns = clock_now (&clock);

      if (i % 2 != 0 && !calls[i / 2].bounds_body)
        continue;
      fake_upstream_init (&fixture->upstream, &fixture->loop, &step, 1);
      fixture->upstream.state = step.answer;
      fixture->ended = false;
      calls[i / 2].start ();
      while (!fixture->ended)
        uv_run (&fixture->loop, UV_RUN_ONCE);
      CU_ASSERT_NOT_EQUAL (fixture->status, STATUS_OK);
      CU_ASSERT_TRUE (clock_now (&clock) - start_ns
                      < IO_TIMEOUT_MS * NS_PER_MS / 2);
      CU_ASSERT_EQUAL (control.bytes, 0);
      fake_upstream_finish (&fixture->upstream);
      loop_settle ();
    }
  httpjson_finish (&control);
  httpclient_finish (&fixture->client);
  loop_settle ();
  g_free (body);
  g_free (head);
  g_free (filler);
}

static const struct unit_case cases[] = {
  { "bytes-without-end", test_bytes_without_end },
  { "bytes-without-end-among-many-calls",
    test_bytes_without_end_among_many_calls },
  { "bytes-without-end-on-each-call", test_bytes_without_end_on_each_call },
  { "cut-body-is-not-complete", test_cut_body_is_not_complete },
  { "cut-block-list-is-no-reply", test_cut_block_list_is_no_reply },
};

int
main (void)
{
  return unit_run ("httpclient", cases, G_N_ELEMENTS (cases));
}
