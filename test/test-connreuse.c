#include "clock.h"
#include "httpclient.h"
#include "unit.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WHOLE "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

enum
{
  IO_TIMEOUT_MS = 400,
  UPLOAD_BYTES = 6 * 1024 * 1024,
  RECEIVE_BYTES = 16 * 1024,
  ADDRESSES = 50
};

/* A client, and a server whose connections the test answers by hand. */
static struct
{
  uv_loop_t loop;
  struct httpclient client;
  int listener;
  char address[32];
  int peer; /* The connection that was accepted last. */
  unsigned accepted;
  unsigned ended;
  enum status status;
} reuse;

static void
on_head (void *data, const struct httpclient_response_head *head)
{
}

static void
on_body (void *data, const char *bytes, size_t size)
{
}

static void
on_ended (void *data, const struct httpclient_result *result)
{
  reuse.ended++;
  reuse.status = result->status;
}

static const struct httpclient_ops ops = { on_head, on_body, on_ended };

static void
run (void)
{
  for (unsigned i = 0; i < 10; i++)
    {
      uv_run (&reuse.loop, UV_RUN_NOWAIT);
      g_usleep (500);
    }
}

static int
listen_anywhere (char *text, size_t text_size)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int receive_bytes = RECEIVE_BYTES;
  int listener = socket (AF_INET, SOCK_STREAM, 0);

  setsockopt (listener, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
              sizeof receive_bytes);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (
      bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  listen (listener, 8);
  fcntl (listener, F_SETFL, O_NONBLOCK);
  getsockname (listener, (struct sockaddr *)&address, &size);
  g_snprintf (text, text_size, "127.0.0.1:%u", ntohs (address.sin_port));
  return listener;
}

static void
setup (void)
{
  memset (&reuse, 0, sizeof reuse);
  reuse.peer = -1;
  uv_loop_init (&reuse.loop);
  httpclient_init (&reuse.client, &reuse.loop, IO_TIMEOUT_MS);
  reuse.listener = listen_anywhere (reuse.address, sizeof reuse.address);
}

static void
finish (void)
{
  httpclient_finish (&reuse.client);
  run ();
  CU_ASSERT_EQUAL (uv_loop_close (&reuse.loop), 0);
  close (reuse.listener);
  close (reuse.peer);
}

/* Accept a connection that has come.
 * @return whether there was one */
static bool
accept_new (void)
{
  int peer = accept (reuse.listener, NULL, NULL);

  if (peer < 0)
    return false;
  if (reuse.peer >= 0)
    close (reuse.peer);
  reuse.peer = peer;
  reuse.accepted++;
  fcntl (peer, F_SETFL, O_NONBLOCK);
  return true;
}

/* Begin a call, and answer it with REPLY on the connection that it uses. */
static void
call_and_reply (const char *reply, bool new_connection)
{
  struct httpclient_request request = { .address = reuse.address,
                                        .method = "GET",
                                        .path = "/",
                                        .new_connection = new_connection };
  char bytes[1024];
  unsigned ended = reuse.ended;

  httpclient_call (&reuse.client, &request, &ops, NULL);
  run ();
  accept_new ();
  run ();
  CU_ASSERT_TRUE (read (reuse.peer, bytes, sizeof bytes) > 0);
  CU_ASSERT_EQUAL (write (reuse.peer, reply, strlen (reply)),
                   (ssize_t)strlen (reply));
  run ();
  CU_ASSERT_EQUAL (reuse.ended, ended + 1);
  CU_ASSERT_EQUAL (reuse.status, STATUS_OK);
}

/* A connection was opened for each call, or one was used again on which more
 * than one whole reply had come. */
static void
test_only_clean_connections_are_kept (void)
{
  static const char *const last[] = {
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}",
    "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n{}",
    WHOLE "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
    WHOLE "x",
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (last); i++)
    {
      setup ();
      call_and_reply (WHOLE, false);
      call_and_reply (WHOLE, false);
      call_and_reply (last[i], false);
      unit_expect (reuse.accepted == 1, "kept", last[i]);
      call_and_reply (WHOLE, false);
      unit_expect (reuse.accepted == 2, "not kept", last[i]);
      call_and_reply (WHOLE, true);
      unit_expect (reuse.accepted == 3, "new", last[i]);
      finish ();
    }
}

/* A late reply, or the end, of an idle connection was read by the next call.
 */
static void
test_idle_connection_that_is_not_quiet (void)
{
  for (unsigned i = 0; i < 4; i++)
    {
      setup ();
      call_and_reply (WHOLE, false);
      if (i % 2 == 0)
        {
          CU_ASSERT_TRUE (write (reuse.peer, WHOLE, strlen (WHOLE)) > 0);
        }
      else
        shutdown (reuse.peer, SHUT_WR);
      if (i < 2)
        run ();
      call_and_reply (WHOLE, false);
      CU_ASSERT_EQUAL (reuse.accepted, 2);
      finish ();
    }
}

/* What is known of an address without idle connections was kept for good. */
static void
test_addresses_are_forgotten (void)
{
  setup ();
  for (unsigned i = 0; i < ADDRESSES; i++)
    {
      close (reuse.listener);
      reuse.listener = listen_anywhere (reuse.address, sizeof reuse.address);
      call_and_reply (WHOLE, false);
      shutdown (reuse.peer, SHUT_WR);
      run ();
    }
  CU_ASSERT_EQUAL (g_hash_table_size (reuse.client.pools), 0);
  CU_ASSERT_TRUE (list_empty (&reuse.client.conns));
  finish ();
}

/* A reply without a length that ended while the call was being written looked
 * complete. */
static void
test_reply_while_the_call_is_written (void)
{
  static const struct
  {
    const char *reply;
    enum status status;
  } replies[] = {
    { "HTTP/1.1 200 OK\r\n\r\n{}", STATUS_UNKNOWN },
    { "HTTP/1.1 413 x\r\n\r\n{}", STATUS_OK },
    { WHOLE, STATUS_OK },
  };
  char *body = g_strnfill (UPLOAD_BYTES, 'x');

  for (unsigned i = 0; i < G_N_ELEMENTS (replies); i++)
    {
      struct httpclient_request request
          = { .method = "POST", .path = "/", .body_size = UPLOAD_BYTES };

      setup ();
      request.address = reuse.address;
      request.body = body;
      httpclient_call (&reuse.client, &request, &ops, NULL);
      run ();
      CU_ASSERT_TRUE (accept_new ());
      CU_ASSERT_TRUE (
          write (reuse.peer, replies[i].reply, strlen (replies[i].reply)) > 0);
      shutdown (reuse.peer, SHUT_WR);
      run ();
      CU_ASSERT_EQUAL (reuse.ended, 1);
      CU_ASSERT_EQUAL (reuse.status, replies[i].status);
      finish ();
    }
  g_free (body);
}

static const struct unit_case cases[] = {
  { "only-clean-connections-are-kept", test_only_clean_connections_are_kept },
  { "idle-connection-that-is-not-quiet",
    test_idle_connection_that_is_not_quiet },
  { "addresses-are-forgotten", test_addresses_are_forgotten },
  { "reply-while-the-call-is-written", test_reply_while_the_call_is_written },
};

int
main (void)
{
  return unit_run ("connreuse", cases, G_N_ELEMENTS (cases));
}
