#include "frame.h"
#include "httpclient.h"
#include "httpserver.h"
#include "kvhttp.h"
#include "peer.h"
#include "unit.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Frames are read complete wherever the byte stream is split. */
static void
test_split_frames (void)
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

/* Each test has a static fixture: the libraries keep memory at the loop and
 * the server until the process ends, and the leak check must find that memory
 * reachable. */
struct http_fixture
{
  uv_loop_t loop;
  struct httpserver server;
  struct httpclient client;
  uv_timer_t timer;
  char address[32];
  GString *body;
  enum status status;
  int http_status;
  int ended_count;
  int disconnected_count;
  struct httpclient_call *call;
};

static void
caller_disconnected (void *data)
{
  ((struct http_fixture *)data)->disconnected_count++;
}

static void
http_serve (void *data, struct httpserver_request *request)
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
    httpserver_request_on_disconnect (request, caller_disconnected, data);
  else
    {
      httpserver_stream_begin (request, 200, "text/plain", NULL, 0);
      for (int i = 0; i < 1000; i++)
        httpserver_stream_write (request, "0123456789", 10);
      httpserver_stream_end (request, strcmp (path, "/stream") == 0);
    }
}

static void
head_received (void *data, const struct httpclient_response_head *head)
{
  ((struct http_fixture *)data)->http_status = head->status;
}

static void
body_received (void *data, const char *bytes, size_t size)
{
  g_string_append_len (((struct http_fixture *)data)->body, bytes, size);
}

static void
call_ended (void *data, const struct httpclient_result *result)
{
  struct http_fixture *fixture = data;

  fixture->status = result->status;
  fixture->ended_count++;
}

static const struct httpclient_ops client_ops
    = { head_received, body_received, call_ended };

static void
timer_fired (uv_timer_t *timer)
{
}

static void
http_fixture_init (struct http_fixture *fixture)
{
  struct httpserver_limits limits = { 1 << 20, 1000 };
  struct error error;

  memset (fixture, 0, sizeof *fixture);
  uv_loop_init (&fixture->loop);
  CU_ASSERT_EQUAL_FATAL (httpserver_init (&fixture->server, &fixture->loop,
                                          "127.0.0.1:0", &limits, http_serve,
                                          fixture, &error),
                         STATUS_OK);
  httpclient_init (&fixture->client, &fixture->loop, 5000);
  snprintf (fixture->address, sizeof fixture->address, "127.0.0.1:%u",
            httpserver_port (&fixture->server));
  fixture->body = g_string_new (NULL);
  uv_timer_init (&fixture->loop, &fixture->timer);
  uv_timer_start (&fixture->timer, timer_fired, 10, 10);
}

static void
http_fixture_finish (struct http_fixture *fixture)
{
  httpclient_finish (&fixture->client);
  httpserver_finish (&fixture->server);
  for (int i = 0; i < 5; i++)
    uv_run (&fixture->loop, UV_RUN_ONCE);
  g_string_free (fixture->body, TRUE);
}

static void
http_fixture_call (struct http_fixture *fixture, const char *path,
                   bool new_connection)
{
  struct httpclient_request request = { .address = fixture->address,
                                        .method = "POST",
                                        .path = path,
                                        .body = "hello",
                                        .body_size = 5,
                                        .new_connection = new_connection };

  g_string_truncate (fixture->body, 0);
  fixture->ended_count = 0;
  fixture->call
      = httpclient_call (&fixture->client, &request, &client_ops, fixture);
}

static void
http_fixture_wait (struct http_fixture *fixture)
{
  for (int i = 0; i < 500 && fixture->ended_count == 0; i++)
    uv_run (&fixture->loop, UV_RUN_ONCE);
}

/* Read the response to an HTTP/1.0 request.
 * @return 0 if it ended with an orderly close, else the error of reading */
static int
http_1_0_read (struct http_fixture *fixture, const char *path)
{
  struct sockaddr_in address;
  char bytes[4096];
  ssize_t size;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int error = EAGAIN;

  uv_ip4_addr ("127.0.0.1", (int)httpserver_port (&fixture->server), &address);
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *)&address, sizeof address),
                   0);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  size = snprintf (bytes, sizeof bytes, "GET %s HTTP/1.0\r\n\r\n", path);
  CU_ASSERT_EQUAL (write (fd, bytes, (size_t)size), size);
  for (int i = 0; i < 200 && error == EAGAIN; i++)
    {
      uv_run (&fixture->loop, UV_RUN_ONCE);
      size = read (fd, bytes, sizeof bytes);
      if (size <= 0)
        error = size == 0 ? 0 : errno;
    }
  close (fd);
  return error;
}

static void
test_http_round_trip (void)
{
  static struct http_fixture fixture;

  http_fixture_init (&fixture);
  for (int i = 0; i < 10; i++)
    {
      http_fixture_call (&fixture, "/echo", i % 2 == 0);
      http_fixture_wait (&fixture);
      CU_ASSERT_EQUAL (fixture.status, STATUS_OK);
      CU_ASSERT_STRING_EQUAL (fixture.body->str, "hello");
      http_fixture_call (&fixture, "/stream", i % 2 == 0);
      http_fixture_wait (&fixture);
      CU_ASSERT_EQUAL (fixture.status, STATUS_OK);
      CU_ASSERT_EQUAL (fixture.body->len, 10000);
    }
  http_fixture_finish (&fixture);
}

/* The client must not take a stream that the server aborts as complete. */
static void
test_http_aborted_stream (void)
{
  static struct http_fixture fixture;

  http_fixture_init (&fixture);
  http_fixture_call (&fixture, "/broken", false);
  http_fixture_wait (&fixture);
  CU_ASSERT_EQUAL (fixture.ended_count, 1);
  CU_ASSERT_EQUAL (fixture.status, STATUS_UNKNOWN);
  http_fixture_finish (&fixture);
}

/* A body over the limit gets a response that a program can parse. */
/* A caller without chunks took a broken stream for a complete one. */
static void
test_http_unframed_stream (void)
{
  static struct http_fixture fixture;

  http_fixture_init (&fixture);
  CU_ASSERT_EQUAL (http_1_0_read (&fixture, "/stream"), 0);
  CU_ASSERT_EQUAL (http_1_0_read (&fixture, "/broken"), ECONNRESET);
  http_fixture_finish (&fixture);
}

static void
test_http_body_too_large (void)
{
  static char large[(1 << 20) + 1];
  static struct http_fixture fixture;
  struct httpclient_request request = {
    .method = "POST", .path = "/echo", .body = large, .body_size = sizeof large
  };

  http_fixture_init (&fixture);
  request.address = fixture.address;
  httpclient_call (&fixture.client, &request, &client_ops, &fixture);
  http_fixture_wait (&fixture);
  CU_ASSERT_EQUAL (fixture.http_status, 413);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.body->str, "body_too_large"));
  http_fixture_finish (&fixture);
}

static void
test_http_refused_connection (void)
{
  static struct http_fixture fixture;

  http_fixture_init (&fixture);
  strcpy (fixture.address, "127.0.0.1:1");
  http_fixture_call (&fixture, "/echo", false);
  http_fixture_wait (&fixture);
  CU_ASSERT_EQUAL (fixture.status, STATUS_UNAVAILABLE);
  strcpy (fixture.address, "nonsense");
  http_fixture_call (&fixture, "/echo", false);
  http_fixture_wait (&fixture);
  CU_ASSERT_EQUAL (fixture.status, STATUS_UNAVAILABLE);
  http_fixture_finish (&fixture);
}

/* The server detects that a caller disconnects while its request waits. */
static void
test_http_caller_disconnects (void)
{
  static struct http_fixture fixture;

  http_fixture_init (&fixture);
  http_fixture_call (&fixture, "/wait", true);
  for (int i = 0; i < 20; i++)
    uv_run (&fixture.loop, UV_RUN_ONCE);
  httpclient_cancel (fixture.call);
  for (int i = 0; i < 100 && fixture.disconnected_count == 0; i++)
    uv_run (&fixture.loop, UV_RUN_ONCE);
  CU_ASSERT_EQUAL (fixture.disconnected_count, 1);
  CU_ASSERT_EQUAL (fixture.ended_count, 0);
  http_fixture_finish (&fixture);
}

static void
kv_reply_received (void *data, const struct kv_reply *reply)
{
  struct http_fixture *fixture = data;

  fixture->status = reply->status;
  fixture->ended_count++;
}

/* For a key that does not exist the service responds 200 without items. */
static void
test_kv_missing_key (void)
{
  static struct http_fixture fixture;
  struct httpjson json;
  struct kvhttp kvhttp;
  const char *addresses[1];

  http_fixture_init (&fixture);
  addresses[0] = fixture.address;
  httpjson_init (&json, &fixture.client);
  kvhttp_init (&kvhttp, &json, addresses, 1, NS_PER_S);
  kvhttp.kv.ops->get (&kvhttp.kv, "missing", kv_reply_received, &fixture);
  http_fixture_wait (&fixture);
  CU_ASSERT_EQUAL (fixture.status, STATUS_NOT_FOUND);
  fixture.ended_count = 0;
  kvhttp.kv.ops->range (&kvhttp.kv, "missing", kv_reply_received, &fixture);
  http_fixture_wait (&fixture);
  CU_ASSERT_EQUAL (fixture.status, STATUS_OK);
  httpjson_finish (&json);
  http_fixture_finish (&fixture);
}

struct peer_fixture
{
  uv_loop_t loop;
  uv_timer_t timer;
  struct clock_fake clock;
  struct peer_endpoint sender;
  struct peer_endpoint receiver;
  char address[32];
  bool sends_replies;
  int ended_count;
  enum status status;
  uint64_t retry_after_ms;
};

static void
peer_serve (void *data, struct peer_conn *conn, const Peer__Envelope *request)
{
  struct peer_fixture *fixture = data;
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__Refused refused = PEER__REFUSED__INIT;

  refused.retry_after_ms = 7;
  reply.body_case = PEER__ENVELOPE__BODY_REFUSED;
  reply.refused = &refused;
  if (fixture->sends_replies)
    peer_conn_reply (conn, request->request_id, &reply);
}

static void
peer_reply_received (void *data, enum status status,
                     const Peer__Envelope *reply)
{
  struct peer_fixture *fixture = data;

  fixture->ended_count++;
  fixture->status = status;
  if (reply != NULL)
    fixture->retry_after_ms = reply->refused->retry_after_ms;
}

static void
peer_fixture_init (struct peer_fixture *fixture)
{
  struct error error;

  memset (fixture, 0, sizeof *fixture);
  fixture->sends_replies = true;
  uv_loop_init (&fixture->loop);
  clock_fake_init (&fixture->clock, 0);
  peer_endpoint_init (&fixture->sender, &fixture->loop, &fixture->clock.clock,
                      NULL, "127.0.0.1:0", 1, NULL, peer_serve, fixture,
                      &error);
  peer_endpoint_init (&fixture->receiver, &fixture->loop,
                      &fixture->clock.clock, NULL, "127.0.0.1:0", 2, NULL,
                      peer_serve, fixture, &error);
  snprintf (fixture->address, sizeof fixture->address, "127.0.0.1:%u",
            peer_endpoint_port (&fixture->receiver));
  uv_timer_init (&fixture->loop, &fixture->timer);
  uv_timer_start (&fixture->timer, timer_fired, 10, 10);
}

static void
peer_fixture_finish (struct peer_fixture *fixture)
{
  peer_endpoint_finish (&fixture->sender);
  peer_endpoint_finish (&fixture->receiver);
  uv_close ((uv_handle_t *)&fixture->timer, NULL);
  uv_run (&fixture->loop, UV_RUN_DEFAULT);
  CU_ASSERT_EQUAL (uv_loop_close (&fixture->loop), 0);
}

static void
peer_fixture_request (struct peer_fixture *fixture)
{
  Peer__Envelope request = PEER__ENVELOPE__INIT;
  Peer__ConfigFetch fetch = PEER__CONFIG_FETCH__INIT;

  request.body_case = PEER__ENVELOPE__BODY_CONFIG_FETCH;
  request.config_fetch = &fetch;
  fixture->ended_count = 0;
  peer_endpoint_request (&fixture->sender, fixture->address, &request,
                         NS_PER_S, peer_reply_received, fixture);
}

static void
peer_fixture_wait (struct peer_fixture *fixture, int iterations_max)
{
  for (int i = 0; i < iterations_max && fixture->ended_count == 0; i++)
    uv_run (&fixture->loop, UV_RUN_ONCE);
}

static void
test_peer_request (void)
{
  struct peer_fixture fixture;

  peer_fixture_init (&fixture);
  for (int i = 0; i < 20; i++)
    {
      peer_fixture_request (&fixture);
      peer_fixture_wait (&fixture, 100);
      CU_ASSERT_EQUAL (fixture.status, STATUS_OK);
      CU_ASSERT_EQUAL (fixture.retry_after_ms, 7);
    }
  strcpy (fixture.address, "127.0.0.1:1");
  peer_fixture_request (&fixture);
  peer_fixture_wait (&fixture, 100);
  CU_ASSERT_EQUAL (fixture.status, STATUS_UNAVAILABLE);
  peer_fixture_finish (&fixture);
}

/* Without a reply, the request ends at its timeout. A connection on which
 * nothing arrives for PEER_SILENCE_TIMEOUT_NS is closed. */
static void
test_peer_timeout (void)
{
  struct peer_fixture fixture;

  peer_fixture_init (&fixture);
  fixture.sends_replies = false;
  peer_fixture_request (&fixture);
  peer_fixture_wait (&fixture, 20);
  CU_ASSERT_EQUAL (fixture.ended_count, 0);
  clock_fake_advance (&fixture.clock, 1500 * NS_PER_MS);
  peer_fixture_wait (&fixture, 100);
  CU_ASSERT_EQUAL (fixture.status, STATUS_TIMEOUT);
  peer_fixture_request (&fixture);
  peer_fixture_wait (&fixture, 5);
  clock_fake_advance (&fixture.clock, PEER_SILENCE_TIMEOUT_NS + NS_PER_S);
  peer_fixture_wait (&fixture, 100);
  CU_ASSERT_EQUAL (fixture.status, STATUS_UNKNOWN);
  peer_fixture_finish (&fixture);
}

/* A connection without requests is closed after PEER_IDLE_TIMEOUT_NS; the next
 * request opens a new one. */
static void
test_peer_idle (void)
{
  struct peer_fixture fixture;

  peer_fixture_init (&fixture);
  peer_fixture_request (&fixture);
  peer_fixture_wait (&fixture, 100);
  for (int i = 0; i < 30; i++)
    {
      clock_fake_advance (&fixture.clock, PEER_IDLE_TIMEOUT_NS / 20);
      for (int j = 0; j < 15; j++)
        uv_run (&fixture.loop, UV_RUN_ONCE);
    }
  CU_ASSERT (list_empty (&fixture.sender.conns));
  CU_ASSERT (list_empty (&fixture.receiver.conns));
  peer_fixture_request (&fixture);
  peer_fixture_wait (&fixture, 100);
  CU_ASSERT_EQUAL (fixture.status, STATUS_OK);
  peer_fixture_finish (&fixture);
}

static const struct unit_case cases[] = {
  { "frames-in-pieces", test_split_frames },
  { "frame-too-large", test_frame_too_large },
  { "http-round-trip", test_http_round_trip },
  { "http-broken-stream", test_http_aborted_stream },
  { "http-unframed-stream", test_http_unframed_stream },
  { "http-refused-connection", test_http_refused_connection },
  { "http-body-too-large", test_http_body_too_large },
  { "http-caller-gone", test_http_caller_disconnects },
  { "kv-no-such-key", test_kv_missing_key },
  { "peer-request", test_peer_request },
  { "peer-timeout", test_peer_timeout },
  { "peer-idle", test_peer_idle },
};

int
main (void)
{
  return unit_run ("edges", cases, sizeof cases / sizeof *cases);
}
