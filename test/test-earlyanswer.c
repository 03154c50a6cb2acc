#include "clock.h"
#include "serverconn.h"
#include "unit.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  UPLOAD_BYTES = 6 * 1024 * 1024,
  RECEIVE_BYTES = 16 * 1024, /* of the server's socket, and read at once */
  PAUSE_US = 5000
};

/* How a server ends a connection whose request it has not read whole. */
enum ending
{
  RESETS,           /* at once */
  RESETS_LATER,     /* after the answer was read */
  CLOSES,           /* its side in order, and resets later */
  CLOSES_AND_READS, /* its side in order, and reads the rest */
  /* its side in order, after it has read whatever this side has written,
   * which gets no time to write more */
  CLOSES_WHEN_READ
};

static struct
{
  uv_loop_t loop;
  int listener;
  char address[32];
  bool ended;
  enum serverconn_result result;
  GString *body;
} early;

static void
on_connected (void *data)
{
}

static void
on_head (void *data, struct serverconn *conn)
{
}

static void
on_body (void *data, const char *bytes, size_t size)
{
  g_string_append_len (early.body, bytes, (gssize)size);
}

static void
on_ended (void *data, enum serverconn_result result)
{
  early.ended = true;
  early.result = result;
}

static const struct serverconn_ops ops
    = { on_connected, on_head, on_body, on_ended };

static void
setup (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int receive_bytes = RECEIVE_BYTES;

  uv_loop_init (&early.loop);
  early.listener = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (early.listener, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
              sizeof receive_bytes);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (
      bind (early.listener, (struct sockaddr *)&address, sizeof address), 0);
  listen (early.listener, 1);
  getsockname (early.listener, (struct sockaddr *)&address, &size);
  g_snprintf (early.address, sizeof early.address, "127.0.0.1:%u",
              ntohs (address.sin_port));
}

static void
finish (void)
{
  for (unsigned i = 0; i < 5; i++)
    uv_run (&early.loop, UV_RUN_NOWAIT);
  close (early.listener);
  CU_ASSERT_EQUAL (uv_loop_close (&early.loop), 0);
}

static void
run_for_a_while (void)
{
  for (unsigned i = 0; i < 5; i++)
    {
      uv_run (&early.loop, UV_RUN_NOWAIT);
      g_usleep (PAUSE_US / 5);
    }
}

static void
connection_reset (int peer)
{
  const struct linger linger = { 1, 0 };

  setsockopt (peer, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

/* Read up to LIMIT bytes that have arrived. */
static size_t
request_read (int peer, size_t limit)
{
  static char bytes[RECEIVE_BYTES];
  size_t size = 0;
  ssize_t part = 1;

  while (size < limit && part > 0)
    {
      part
          = recv (peer, bytes, MIN (sizeof bytes, limit - size), MSG_DONTWAIT);
      size += part > 0 ? (size_t)part : 0;
    }
  return size;
}

/* Read what the system has taken over, until nothing more arrives. */
static void
request_drain (int peer)
{
  unsigned quiet = 0;

  while (quiet < 3)
    {
      quiet = request_read (peer, SIZE_MAX) > 0 ? 0 : quiet + 1;
      g_usleep (PAUSE_US);
    }
}

/* Send a request of SIZE bytes whose server writes ANSWER once the first bytes
 * have come, and then ends the connection.
 * @return how the request ended */
static enum serverconn_result
answer_early (size_t size, const char *answer, enum ending ending)
{
  GString *request = g_string_new ("POST /safe/ HTTP/1.1\r\n\r\n");
  int64_t waits = 200;
  int peer;

  g_string_set_size (request, size);
  memset (request->str + 24, 'x', size - 24);
  early.ended = false;
  early.body = g_string_new (NULL);
  serverconn_open (&early.loop, early.address, request, false, NS_PER_S, &ops,
                   NULL);
  run_for_a_while ();
  peer = accept (early.listener, NULL, NULL);
  run_for_a_while ();
  CU_ASSERT_TRUE (request_read (peer, RECEIVE_BYTES) > 0);
  CU_ASSERT_EQUAL (write (peer, answer, strlen (answer)),
                   (ssize_t)strlen (answer));
  if (ending == RESETS_LATER || ending == CLOSES_WHEN_READ)
    run_for_a_while ();
  if (ending == CLOSES_WHEN_READ)
    request_drain (peer);
  if (ending >= CLOSES)
    {
      shutdown (peer, SHUT_WR);
      run_for_a_while ();
    }
  else
    {
      connection_reset (peer);
      close (peer);
    }
  while (!early.ended && waits-- > 0)
    {
      if (ending == CLOSES_AND_READS)
        request_read (peer, SIZE_MAX);
      run_for_a_while ();
    }
  if (ending >= CLOSES)
    close (peer);
  CU_ASSERT_TRUE (early.ended);
  return early.result;
}

/* The part of a body that came before a long request was written looked
 * complete, since it had no length and its connection closed. */
static void
test_success_while_the_request_is_written (void)
{
  static const char *const answers[]
      = { "HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\n\r\n",
          "HTTP/1.0 200 OK\r\n\r\npart", "HTTP/1.1 302 x\r\n\r\npart" };

  setup ();
  for (unsigned i = 0; i < G_N_ELEMENTS (answers); i++)
    for (unsigned ending = RESETS; ending <= CLOSES_WHEN_READ; ending++)
      {
        CU_ASSERT_EQUAL (
            answer_early (UPLOAD_BYTES, answers[i], (enum ending)ending),
            SERVERCONN_CUT);
        g_string_free (early.body, TRUE);
      }
  finish ();
}

/* What tells its own end, and what says why a request is not read, are whole
 * answers, also early. So is one to a request that was read. */
static void
test_answers_that_may_be_early (void)
{
  setup ();
  CU_ASSERT_EQUAL (
      answer_early (UPLOAD_BYTES,
                    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
                    CLOSES),
      SERVERCONN_COMPLETE);
  CU_ASSERT_STRING_EQUAL (early.body->str, "hello");
  g_string_free (early.body, TRUE);
  CU_ASSERT_EQUAL (
      answer_early (UPLOAD_BYTES, "HTTP/1.1 413 x\r\n\r\ntoo long", CLOSES),
      SERVERCONN_COMPLETE);
  CU_ASSERT_STRING_EQUAL (early.body->str, "too long");
  g_string_free (early.body, TRUE);
  CU_ASSERT_EQUAL (answer_early (1000, "HTTP/1.1 200 OK\r\n\r\nhello", CLOSES),
                   SERVERCONN_COMPLETE);
  CU_ASSERT_STRING_EQUAL (early.body->str, "hello");
  g_string_free (early.body, TRUE);
  finish ();
}

static const struct unit_case cases[] = {
  { "success-while-the-request-is-written",
    test_success_while_the_request_is_written },
  { "answers-that-may-be-early", test_answers_that_may_be_early },
};

int
main (void)
{
  return unit_run ("earlyanswer", cases, G_N_ELEMENTS (cases));
}
