#include "callerconn.h"
#include "callerserver.h"
#include "unit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  /* More than the socket of a caller that does not read takes. */
  UNREAD_BYTES = 3 * 1024 * 1024
};

#define FIRST_REQUEST_NS NS_PER_S

static struct
{
  uv_loop_t loop;
  struct clock clock;
  struct callerserver server;
  struct callerconn *conn; /* Connection of the last request. */
  unsigned requests;
  int caller;
  GString *answer;
  bool ended;
  char unsent_reason[32]; /* of the last response that was not all sent */
  size_t unsent;
} drain;

static void
request_received (void *data, struct callerconn *conn)
{
  drain.requests++;
  drain.conn = conn;
  callerconn_stream_begin (conn, 200, "");
}

static void
caller_gone (void *data, struct callerconn *conn)
{
}

static void
request_refused (void *data, struct callerconn *conn, int status,
                 const char *reason)
{
}

static void
response_unsent (void *data, struct callerconn *conn, const char *reason,
                 size_t unsent, size_t unacknowledged)
{
  g_strlcpy (drain.unsent_reason, reason, sizeof drain.unsent_reason);
  drain.unsent = unsent + unacknowledged;
}

static const struct callerserver_ops server_ops
    = { request_received, caller_gone, request_refused, response_unsent };

static void
run (void)
{
  char bytes[1024];

  for (unsigned i = 0; i < 50; i++)
    {
      ssize_t size;

      uv_run (&drain.loop, UV_RUN_NOWAIT);
      size = read (drain.caller, bytes, sizeof bytes);
      if (size > 0)
        g_string_append_len (drain.answer, bytes, size);
      drain.ended = drain.ended || size == 0;
      g_usleep (200);
    }
}

static void
request_send (void)
{
  static const char request[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

  CU_ASSERT_EQUAL (
      send (drain.caller, request, strlen (request), MSG_NOSIGNAL),
      (ssize_t)strlen (request));
  run ();
}

static void
setup (void)
{
  struct sockaddr_in address;
  int size = sizeof address;
  struct error error;

  memset (&drain, 0, sizeof drain);
  uv_loop_init (&drain.loop);
  clock_system_init (&drain.clock);
  drain.answer = g_string_new (NULL);
  CU_ASSERT_EQUAL_FATAL (callerserver_init (&drain.server, &drain.loop,
                                            &drain.clock, "127.0.0.1", 0,
                                            &server_ops, NULL, &error),
                         STATUS_OK);
  drain.server.limits
      = (struct callerconn_limits){ 4000, 1000, NS_PER_S, 10 * NS_PER_S };
  uv_tcp_getsockname (&drain.server.listener, (struct sockaddr *)&address,
                      &size);
  drain.caller = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (
      connect (drain.caller, (struct sockaddr *)&address, sizeof address), 0);
  fcntl (drain.caller, F_SETFL, O_NONBLOCK);
}

static void
finish (void)
{
  close (drain.caller);
  callerserver_finish (&drain.server);
  uv_run (&drain.loop, UV_RUN_DEFAULT);
  uv_loop_close (&drain.loop);
  g_string_free (drain.answer, TRUE);
}

/* A connection whose stream began before a planned stop stayed open after the
 * stream's end; the next request there was taken, and cut off by the stop. */
static void
test_stream_that_began_before_the_stop (void)
{
  setup ();
  request_send ();
  callerserver_drain (&drain.server);
  callerconn_stream_write (drain.conn, "data", 4);
  callerconn_stream_end (drain.conn);
  run ();
  CU_ASSERT_TRUE (g_str_has_suffix (drain.answer->str, "0\r\n\r\n"));
  CU_ASSERT_TRUE (drain.ended);
  CU_ASSERT_EQUAL (drain.requests, 1);
  finish ();
}

/* Without a stop the connection is kept. */
static void
test_connection_is_kept (void)
{
  setup ();
  request_send ();
  callerconn_stream_end (drain.conn);
  run ();
  CU_ASSERT_FALSE (drain.ended);
  request_send ();
  CU_ASSERT_EQUAL (drain.requests, 2);
  callerconn_stream_end (drain.conn);
  finish ();
}

/* A request that was sent ahead of the end of a stream is not read once the
 * stop has begun, so that its caller may send it elsewhere. */
static void
test_request_sent_ahead (void)
{
  setup ();
  request_send ();
  request_send ();
  callerserver_drain (&drain.server);
  callerconn_stream_end (drain.conn);
  run ();
  CU_ASSERT_EQUAL (drain.requests, 1);
  CU_ASSERT_TRUE (drain.ended);
  finish ();
}

static const char request[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

static void
answer_check (unsigned requests)
{
  CU_ASSERT_EQUAL (drain.requests, requests);
  if (drain.requests != requests)
    return;
  callerconn_stream_end (drain.conn);
  run ();
  CU_ASSERT_PTR_NOT_NULL (strstr (drain.answer->str, "Connection: close"));
  CU_ASSERT_TRUE (g_str_has_suffix (drain.answer->str, "0\r\n\r\n"));
}

/* A stop closed a connection that had just been opened while its first request
 * was on the way. */
static void
test_first_request_on_its_way (void)
{
  setup ();
  run ();
  callerserver_drain (&drain.server);
  run ();
  CU_ASSERT_FALSE (drain.ended);
  request_send ();
  answer_check (1);
  finish ();
}

/* So it did if the request had arrived but was not read yet. */
static void
test_request_that_was_not_read_yet (void)
{
  setup ();
  request_send ();
  callerconn_stream_end (drain.conn);
  run ();
  CU_ASSERT_EQUAL (send (drain.caller, request, strlen (request), 0),
                   (ssize_t)strlen (request));
  g_string_truncate (drain.answer, 0);
  callerserver_drain (&drain.server);
  run ();
  answer_check (2);
  finish ();
}

/* A caller that had sent much ahead lost the end of its response: the stop
 * closed the connection with bytes that it had not read, which resets it. */
static void
test_bytes_sent_ahead_reset_nothing (void)
{
  enum
  {
    AHEAD_BYTES = 256 * 1024,
    RESPONSE_BYTES = 512 * 1024
  };
  char *bytes = g_malloc0 (RESPONSE_BYTES);
  ssize_t size = 0;
  ssize_t received = 0;
  int64_t start_ns;

  setup ();
  request_send ();
  for (ssize_t sent = 0; sent < AHEAD_BYTES && size >= 0; sent += size)
    {
      size = send (drain.caller, bytes, (size_t)(AHEAD_BYTES - sent),
                   MSG_NOSIGNAL);
      uv_run (&drain.loop, UV_RUN_NOWAIT);
    }
  callerserver_drain (&drain.server);
  callerconn_stream_write (drain.conn, bytes, RESPONSE_BYTES);
  callerconn_stream_end (drain.conn);
  start_ns = clock_now (&drain.clock);
  while (clock_now (&drain.clock) - start_ns < FIRST_REQUEST_NS)
    {
      uv_run (&drain.loop, UV_RUN_NOWAIT);
      g_usleep (200);
    }
  CU_ASSERT_EQUAL (drain.server.conn_count, 0);
  do
    {
      size = read (drain.caller, bytes, RESPONSE_BYTES);
      received += MAX (size, 0);
    }
  while (size > 0
         || (size < 0 && errno == EAGAIN
             && clock_now (&drain.clock) - start_ns < 2 * FIRST_REQUEST_NS));
  CU_ASSERT_EQUAL (size, 0);
  CU_ASSERT_TRUE (received > RESPONSE_BYTES);
  g_free (bytes);
  finish ();
}

/* Connections that waited to be accepted were reset when the listener was
 * closed. */
static void
test_connections_that_wait_are_accepted (void)
{
  setup ();
  CU_ASSERT_EQUAL (send (drain.caller, request, strlen (request), 0),
                   (ssize_t)strlen (request));
  callerserver_drain (&drain.server);
  callerserver_stop_listening (&drain.server);
  run ();
  answer_check (1);
  finish ();
}

/* A connection without a request keeps no process from its end. */
static void
test_connection_without_a_request_ends (void)
{
  int64_t start_ns;

  setup ();
  run ();
  start_ns = clock_now (&drain.clock);
  callerserver_drain (&drain.server);
  while (!drain.ended
         && clock_now (&drain.clock) - start_ns < 2 * FIRST_REQUEST_NS)
    run ();
  CU_ASSERT_TRUE (drain.ended);
  finish ();
}

/* Nothing told that a stop closed a connection while the end of a response
 * waited to be sent. */
static void
test_unsent_responses_are_reported (void)
{
  char *bytes = g_malloc0 (UNREAD_BYTES);

  setup ();
  request_send ();
  callerconn_stream_write (drain.conn, bytes, UNREAD_BYTES);
  callerconn_stream_end (drain.conn);
  callerserver_finish (&drain.server);
  CU_ASSERT_STRING_EQUAL (drain.unsent_reason, "stop");
  CU_ASSERT_TRUE (drain.unsent > 0);
  g_free (bytes);
  uv_run (&drain.loop, UV_RUN_NOWAIT);
  finish ();
  setup ();
  request_send ();
  callerconn_stream_end (drain.conn);
  run ();
  callerserver_drain (&drain.server);
  CU_ASSERT_STRING_EQUAL (drain.unsent_reason, "");
  finish ();
}

static const struct unit_case cases[] = {
  { "stream-that-began-before-the-stop",
    test_stream_that_began_before_the_stop },
  { "connection-is-kept", test_connection_is_kept },
  { "request-sent-ahead", test_request_sent_ahead },
  { "first-request-on-its-way", test_first_request_on_its_way },
  { "request-that-was-not-read-yet", test_request_that_was_not_read_yet },
  { "bytes-sent-ahead-reset-nothing", test_bytes_sent_ahead_reset_nothing },
  { "connections-that-wait-are-accepted",
    test_connections_that_wait_are_accepted },
  { "connection-without-a-request-ends",
    test_connection_without_a_request_ends },
  { "unsent-responses-are-reported", test_unsent_responses_are_reported },
};

int
main (void)
{
  return unit_run ("callerdrain", cases, G_N_ELEMENTS (cases));
}
