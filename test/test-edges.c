#include "frame.h"
#include "httpclient.h"
#include "httpserver.h"
#include "kvhttp.h"
#include "peer.h"
#include "unit.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Frames cut at every place come out whole. */
static void
test_frames_in_pieces (void)
{
  uint8_t stream[64];
  size_t size = 0;

  for (size_t length = 0; length < 4; length++)
    {
      frame_write_header (stream + size, length);
      memset (stream + size + FRAME_HEADER_BYTES, 'a' + (int)length, length);
      size += FRAME_HEADER_BYTES + length;
    }
  for (size_t step = 1; step <= size; step++)
    {
      struct frame_reader reader;
      const uint8_t *body;
      size_t body_size;
      size_t frames = 0;

      frame_reader_init (&reader);
      for (size_t at = 0; at < size; at += step)
        {
          size_t count = at + step > size ? size - at : step;

          memcpy (frame_reader_reserve (&reader, count), stream + at, count);
          frame_reader_commit (&reader, count);
          while (frame_reader_read_frame (&reader, &body, &body_size)
                 == STATUS_OK)
            CU_ASSERT_EQUAL (body_size, frames++);
        }
      CU_ASSERT_EQUAL (frames, 4);
      frame_reader_finish (&reader);
    }
}

static void
test_frame_too_large (void)
{
  struct frame_reader reader;
  const uint8_t *body;
  size_t size;

  frame_reader_init (&reader);
  memset (frame_reader_reserve (&reader, 4), 0xff, 4);
  frame_reader_commit (&reader, 4);
  CU_ASSERT_EQUAL (frame_reader_read_frame (&reader, &body, &size),
                   STATUS_TOO_LARGE);
  frame_reader_finish (&reader);
}

/* Static in each test: what the libraries keep at the loop and the server
 * until the process ends stays reachable for the leak check. */
struct http_world
{
  uv_loop_t loop;
  struct httpserver server;
  struct httpclient client;
  uv_timer_t timer;
  char address[32];
  GString *body;
  enum status status;
  int http_status;
  int ends;
  int gone;
  struct httpclient_call *call;
};

static void
serve_gone (void *data)
{
  ((struct http_world *)data)->gone++;
}

static void
serve (void *data, struct httpserver_request *request)
{
  const char *path = httpserver_request_path (request);
  size_t size;
  const char *body = httpserver_request_body (request, &size);
  static const char no_items[] = "{\"revision\":5,\"items\":[]}";

  if (strcmp (path, "/echo") == 0)
    httpserver_respond (request, 200, "text/plain", NULL, 0, body, size);
  else if (strncmp (path, "/v1/kv/", 7) == 0)
    httpserver_respond (request, 200, "application/json", NULL, 0, no_items,
                        strlen (no_items));
  else if (strcmp (path, "/wait") == 0)
    httpserver_request_on_disconnect (request, serve_gone, data);
  else
    {
      httpserver_stream_begin (request, 200, "text/plain", NULL, 0);
      for (int i = 0; i < 1000; i++)
        httpserver_stream_write (request, "0123456789", 10);
      httpserver_stream_end (request, strcmp (path, "/stream") == 0);
    }
}

static void
client_head (void *data, const struct httpclient_response_head *head)
{
  ((struct http_world *)data)->http_status = head->status;
}

static void
client_body (void *data, const char *bytes, size_t size)
{
  g_string_append_len (((struct http_world *)data)->body, bytes, size);
}

static void
client_end (void *data, const struct httpclient_result *end)
{
  struct http_world *world = data;

  world->status = end->status;
  world->ends++;
}

static const struct httpclient_ops client_ops
    = { client_head, client_body, client_end };

static void
wake (uv_timer_t *timer)
{
}

static void
world_init (struct http_world *world)
{
  struct httpserver_limits limits = { 1 << 20, 1000 };
  struct error error;

  memset (world, 0, sizeof *world);
  uv_loop_init (&world->loop);
  CU_ASSERT_EQUAL_FATAL (httpserver_init (&world->server, &world->loop,
                                          "127.0.0.1:0", &limits, serve, world,
                                          &error),
                         STATUS_OK);
  httpclient_init (&world->client, &world->loop, 5000);
  snprintf (world->address, sizeof world->address, "127.0.0.1:%u",
            httpserver_port (&world->server));
  world->body = g_string_new (NULL);
  uv_timer_init (&world->loop, &world->timer);
  uv_timer_start (&world->timer, wake, 10, 10);
}

static void
world_finish (struct http_world *world)
{
  httpclient_finish (&world->client);
  httpserver_finish (&world->server);
  for (int i = 0; i < 5; i++)
    uv_run (&world->loop, UV_RUN_ONCE);
  g_string_free (world->body, TRUE);
}

static void
world_call (struct http_world *world, const char *path, bool fresh)
{
  struct httpclient_request request = { .address = world->address,
                                        .method = "POST",
                                        .path = path,
                                        .body = "hello",
                                        .body_size = 5,
                                        .new_connection = fresh };

  g_string_truncate (world->body, 0);
  world->ends = 0;
  world->call = httpclient_call (&world->client, &request, &client_ops, world);
}

static void
world_wait (struct http_world *world)
{
  for (int i = 0; i < 500 && world->ends == 0; i++)
    uv_run (&world->loop, UV_RUN_ONCE);
}

static void
test_http_round_trip (void)
{
  static struct http_world world;

  world_init (&world);
  for (int i = 0; i < 10; i++)
    {
      world_call (&world, "/echo", i % 2 == 0);
      world_wait (&world);
      CU_ASSERT_EQUAL (world.status, STATUS_OK);
      CU_ASSERT_STRING_EQUAL (world.body->str, "hello");
      world_call (&world, "/stream", i % 2 == 0);
      world_wait (&world);
      CU_ASSERT_EQUAL (world.status, STATUS_OK);
      CU_ASSERT_EQUAL (world.body->len, 10000);
    }
  world_finish (&world);
}

/* A stream that the server breaks off never looks whole to the client. */
static void
test_http_broken_stream (void)
{
  static struct http_world world;

  world_init (&world);
  world_call (&world, "/broken", false);
  world_wait (&world);
  CU_ASSERT_EQUAL (world.ends, 1);
  CU_ASSERT_EQUAL (world.status, STATUS_UNKNOWN);
  world_finish (&world);
}

/* A body over the limit gets an answer that a program can read. */
static void
test_http_body_too_large (void)
{
  static char large[(1 << 20) + 1];
  static struct http_world world;
  struct httpclient_request request = {
    .method = "POST", .path = "/echo", .body = large, .body_size = sizeof large
  };

  world_init (&world);
  request.address = world.address;
  httpclient_call (&world.client, &request, &client_ops, &world);
  world_wait (&world);
  CU_ASSERT_EQUAL (world.http_status, 413);
  CU_ASSERT_PTR_NOT_NULL (strstr (world.body->str, "body_too_large"));
  world_finish (&world);
}

static void
test_http_refused_connection (void)
{
  static struct http_world world;

  world_init (&world);
  strcpy (world.address, "127.0.0.1:1");
  world_call (&world, "/echo", false);
  world_wait (&world);
  CU_ASSERT_EQUAL (world.status, STATUS_UNAVAILABLE);
  strcpy (world.address, "nonsense");
  world_call (&world, "/echo", false);
  world_wait (&world);
  CU_ASSERT_EQUAL (world.status, STATUS_UNAVAILABLE);
  world_finish (&world);
}

/* A caller that goes away while its request waits is noticed. */
static void
test_http_caller_gone (void)
{
  static struct http_world world;

  world_init (&world);
  world_call (&world, "/wait", true);
  for (int i = 0; i < 20; i++)
    uv_run (&world.loop, UV_RUN_ONCE);
  httpclient_cancel (world.call);
  for (int i = 0; i < 100 && world.gone == 0; i++)
    uv_run (&world.loop, UV_RUN_ONCE);
  CU_ASSERT_EQUAL (world.gone, 1);
  CU_ASSERT_EQUAL (world.ends, 0);
  world_finish (&world);
}

static void
kv_answered (void *data, const struct kv_reply *reply)
{
  struct http_world *world = data;

  world->status = reply->status;
  world->ends++;
}

/* A key that is not there: the service answers 200 without items. */
static void
test_kv_no_such_key (void)
{
  static struct http_world world;
  struct httpjson json;
  struct kvhttp kvhttp;
  const char *addresses[1];

  world_init (&world);
  addresses[0] = world.address;
  httpjson_init (&json, &world.client);
  kvhttp_init (&kvhttp, &json, addresses, 1, NS_PER_S);
  kvhttp.kv.ops->get (&kvhttp.kv, "missing", kv_answered, &world);
  world_wait (&world);
  CU_ASSERT_EQUAL (world.status, STATUS_NOT_FOUND);
  world.ends = 0;
  kvhttp.kv.ops->range (&kvhttp.kv, "missing", kv_answered, &world);
  world_wait (&world);
  CU_ASSERT_EQUAL (world.status, STATUS_OK);
  httpjson_finish (&json);
  world_finish (&world);
}

struct peer_world
{
  uv_loop_t loop;
  uv_timer_t timer;
  struct clock_fake clock;
  struct peer_endpoint a;
  struct peer_endpoint b;
  char address[32];
  bool answers;
  int done;
  enum status status;
  uint64_t number;
};

static void
peer_serve (void *data, struct peer_conn *link, const Peer__Envelope *request)
{
  struct peer_world *world = data;
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__Refused refused = PEER__REFUSED__INIT;

  refused.retry_after_ms = 7;
  reply.body_case = PEER__ENVELOPE__BODY_REFUSED;
  reply.refused = &refused;
  if (world->answers)
    peer_conn_reply (link, request->request_id, &reply);
}

static void
peer_answered (void *data, enum status status, const Peer__Envelope *reply)
{
  struct peer_world *world = data;

  world->done++;
  world->status = status;
  if (reply != NULL)
    world->number = reply->refused->retry_after_ms;
}

static void
peer_world_init (struct peer_world *world)
{
  struct error error;

  memset (world, 0, sizeof *world);
  world->answers = true;
  uv_loop_init (&world->loop);
  clock_fake_init (&world->clock, 0);
  peer_endpoint_init (&world->a, &world->loop, &world->clock.clock, NULL,
                      "127.0.0.1:0", 1, NULL, peer_serve, world, &error);
  peer_endpoint_init (&world->b, &world->loop, &world->clock.clock, NULL,
                      "127.0.0.1:0", 2, NULL, peer_serve, world, &error);
  snprintf (world->address, sizeof world->address, "127.0.0.1:%u",
            peer_endpoint_port (&world->b));
  uv_timer_init (&world->loop, &world->timer);
  uv_timer_start (&world->timer, wake, 10, 10);
}

static void
peer_world_finish (struct peer_world *world)
{
  peer_endpoint_finish (&world->a);
  peer_endpoint_finish (&world->b);
  uv_close ((uv_handle_t *)&world->timer, NULL);
  uv_run (&world->loop, UV_RUN_DEFAULT);
  CU_ASSERT_EQUAL (uv_loop_close (&world->loop), 0);
}

static void
peer_world_ask (struct peer_world *world)
{
  Peer__Envelope request = PEER__ENVELOPE__INIT;
  Peer__ConfigFetch fetch = PEER__CONFIG_FETCH__INIT;

  request.body_case = PEER__ENVELOPE__BODY_CONFIG_FETCH;
  request.config_fetch = &fetch;
  world->done = 0;
  peer_endpoint_request (&world->a, world->address, &request, NS_PER_S,
                         peer_answered, world);
}

static void
peer_world_wait (struct peer_world *world, int turns)
{
  for (int i = 0; i < turns && world->done == 0; i++)
    uv_run (&world->loop, UV_RUN_ONCE);
}

static void
test_peer_request (void)
{
  struct peer_world world;

  peer_world_init (&world);
  for (int i = 0; i < 20; i++)
    {
      peer_world_ask (&world);
      peer_world_wait (&world, 100);
      CU_ASSERT_EQUAL (world.status, STATUS_OK);
      CU_ASSERT_EQUAL (world.number, 7);
    }
  strcpy (world.address, "127.0.0.1:1");
  peer_world_ask (&world);
  peer_world_wait (&world, 100);
  CU_ASSERT_EQUAL (world.status, STATUS_UNAVAILABLE);
  peer_world_finish (&world);
}

/* No answer: the request ends by its timeout; a silent link is condemned. */
static void
test_peer_timeout (void)
{
  struct peer_world world;

  peer_world_init (&world);
  world.answers = false;
  peer_world_ask (&world);
  peer_world_wait (&world, 20);
  CU_ASSERT_EQUAL (world.done, 0);
  clock_fake_advance (&world.clock, 1500 * NS_PER_MS);
  peer_world_wait (&world, 100);
  CU_ASSERT_EQUAL (world.status, STATUS_TIMEOUT);
  peer_world_ask (&world);
  peer_world_wait (&world, 5);
  clock_fake_advance (&world.clock, PEER_SILENCE_TIMEOUT_NS + NS_PER_S);
  peer_world_wait (&world, 100);
  CU_ASSERT_EQUAL (world.status, STATUS_UNKNOWN);
  peer_world_finish (&world);
}

/* A connection that nobody asks on is closed; the next request opens one. */
static void
test_peer_idle (void)
{
  struct peer_world world;

  peer_world_init (&world);
  peer_world_ask (&world);
  peer_world_wait (&world, 100);
  for (int i = 0; i < 30; i++)
    {
      clock_fake_advance (&world.clock, PEER_IDLE_TIMEOUT_NS / 20);
      for (int j = 0; j < 15; j++)
        uv_run (&world.loop, UV_RUN_ONCE);
    }
  CU_ASSERT (list_empty (&world.a.conns));
  CU_ASSERT (list_empty (&world.b.conns));
  peer_world_ask (&world);
  peer_world_wait (&world, 100);
  CU_ASSERT_EQUAL (world.status, STATUS_OK);
  peer_world_finish (&world);
}

static const struct unit_case cases[] = {
  { "frames-in-pieces", test_frames_in_pieces },
  { "frame-too-large", test_frame_too_large },
  { "http-round-trip", test_http_round_trip },
  { "http-broken-stream", test_http_broken_stream },
  { "http-refused-connection", test_http_refused_connection },
  { "http-body-too-large", test_http_body_too_large },
  { "http-caller-gone", test_http_caller_gone },
  { "kv-no-such-key", test_kv_no_such_key },
  { "peer-request", test_peer_request },
  { "peer-timeout", test_peer_timeout },
  { "peer-idle", test_peer_idle },
};

int
main (void)
{
  return unit_run ("edges", cases, sizeof cases / sizeof *cases);
}
