#include "httpserver.h"
#include "unit.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  CALLER_COUNT = 3
};

static const char request[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/* One for each test: a server that is finished keeps what h2o allocated. */
static struct fixture
{
  uv_loop_t loop;
  struct httpserver server;
  int callers[CALLER_COUNT];
} waiting, kept;

static void
serve (void *data, struct httpserver_request *served)
{
  httpserver_respond (served, 200, "text/plain", NULL, 0, "whole", 5);
}

static void
run (struct fixture *fixture)
{
  for (unsigned i = 0; i < 50; i++)
    {
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
      g_usleep (200);
    }
}

static void
caller_send (int caller)
{
  CU_ASSERT_EQUAL (send (caller, request, strlen (request), MSG_NOSIGNAL),
                   (ssize_t)strlen (request));
}

static void
expect_answer (int caller, bool closes)
{
  char answer[1024] = "";
  ssize_t size = recv (caller, answer, sizeof answer - 1, MSG_DONTWAIT);

  CU_ASSERT_TRUE (size > 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "\r\n\r\nwhole"));
  CU_ASSERT_EQUAL (strstr (answer, "onnection: close") != NULL, closes);
}

static void
setup (struct fixture *fixture)
{
  static const struct httpserver_limits limits = { 1 << 20, 1000 };
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct error error;

  uv_loop_init (&fixture->loop);
  CU_ASSERT_EQUAL_FATAL (httpserver_init (&fixture->server, &fixture->loop,
                                          "127.0.0.1:0", &limits, serve, NULL,
                                          &error),
                         STATUS_OK);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)httpserver_port (&fixture->server));
  for (unsigned i = 0; i < CALLER_COUNT; i++)
    {
      fixture->callers[i] = socket (AF_INET, SOCK_STREAM, 0);
      CU_ASSERT_EQUAL (connect (fixture->callers[i],
                                (struct sockaddr *)&address, sizeof address),
                       0);
    }
}

static void
finish (struct fixture *fixture)
{
  for (unsigned i = 0; i < CALLER_COUNT; i++)
    close (fixture->callers[i]);
  run (fixture);
  CU_ASSERT_EQUAL (fixture->server.connection_count, 0);
  httpserver_finish (&fixture->server);
  run (fixture);
}

/* A stop reset the connections that waited to be accepted, with requests that
 * had been sent. */
static void
test_connections_that_wait_are_accepted (void)
{
  struct fixture *fixture = &waiting;

  setup (fixture);
  for (unsigned i = 0; i < CALLER_COUNT; i++)
    caller_send (fixture->callers[i]);
  httpserver_stop_listening (&fixture->server);
  run (fixture);
  for (unsigned i = 0; i < CALLER_COUNT; i++)
    expect_answer (fixture->callers[i], true);
  finish (fixture);
}

/* Nothing told a caller to leave a kept connection before the process ended,
 * so that its next request was lost. */
static void
test_kept_connection_is_closed_after_its_response (void)
{
  struct fixture *fixture = &kept;

  setup (fixture);
  caller_send (fixture->callers[0]);
  run (fixture);
  expect_answer (fixture->callers[0], false);
  httpserver_stop_listening (&fixture->server);
  caller_send (fixture->callers[0]);
  run (fixture);
  expect_answer (fixture->callers[0], true);
  finish (fixture);
}

static const struct unit_case cases[] = {
  { "connections-that-wait-are-accepted",
    test_connections_that_wait_are_accepted },
  { "kept-connection-is-closed-after-its-response",
    test_kept_connection_is_closed_after_its_response },
};

int
main (void)
{
  return unit_run ("httpserver", cases, G_N_ELEMENTS (cases));
}
