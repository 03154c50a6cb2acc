#include "dialect-platform.h"
#include "fake-upstream.h"
#include "httpclient.h"
#include "unit.h"

#include <string.h>

#define OK "HTTP/1.1 200 OK\r\n"
#define SIZED "Content-Length: 2\r\n\r\n{}"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define CHUNKS "2\r\n{}\r\n0\r\n\r\n"

enum
{
  IO_TIMEOUT_MS = 300
};

/* Static: the client's library keeps memory at the loop until the process
 * ends. */
static struct
{
  uv_loop_t loop;
  struct httpclient client;
  struct fake_upstream upstream;
  GString *body;
  bool has_head;
  bool ended;
  enum status status;
} reply;

static void
head_received (void *data, const struct httpclient_response_head *head)
{
  reply.has_head = true;
}

static void
body_received (void *data, const char *bytes, size_t size)
{
  g_string_append_len (reply.body, bytes, (gssize)size);
}

static void
call_ended (void *data, const struct httpclient_result *result)
{
  reply.status = result->status;
  reply.ended = true;
}

static const struct httpclient_ops call_ops
    = { head_received, body_received, call_ended };

static void
setup (void)
{
  static bool is_set_up;

  if (is_set_up)
    return;
  is_set_up = true;
  uv_loop_init (&reply.loop);
  httpclient_init (&reply.client, &reply.loop, IO_TIMEOUT_MS);
  reply.body = g_string_new (NULL);
}

static enum status
status_of (const char *answer)
{
  struct fake_upstream_step step = { answer, FAKE_UPSTREAM_CLOSE };
  struct httpclient_request request
      = { .method = "GET", .path = "/", .new_connection = true };

  setup ();
  fake_upstream_init (&reply.upstream, &reply.loop, &step, 1);
  g_string_truncate (reply.body, 0);
  reply.has_head = false;
  reply.ended = false;
  request.address = reply.upstream.address;
  httpclient_call (&reply.client, &request, &call_ops, NULL);
  while (!reply.ended)
    uv_run (&reply.loop, UV_RUN_ONCE);
  fake_upstream_finish (&reply.upstream);
  for (unsigned i = 0; i < 5; i++)
    uv_run (&reply.loop, UV_RUN_NOWAIT);
  return reply.status;
}

/* Replies that HTTP does not allow were believed by the client of the KV
 * service, of orders, reports and cached blocks, and of gateways. */
static void
test_broken_heads (void)
{
  static const char *const broken[] = {
    "HTTP/1.1 000 x\r\n" SIZED,
    "HTTP/1.1 0 x\r\n" SIZED,
    "HTTP/1.1 20 x\r\n" SIZED,
    "HTTP/1.1 099 x\r\n" SIZED,
    "HTTP/1.1 600 x\r\n" SIZED,
    "HTTP/1.1 999 x\r\n" SIZED,
    "HTTP/1.1 0200 x\r\n" SIZED,
    "HTTP/1.1 2000 x\r\n" SIZED,
    "HTTP/1.1  200 x\r\n" SIZED,
    "HTTP/1.1 101 x\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" OK SIZED,
    "HTTP/0.9 200 x\r\n" SIZED,
    "HTTP/1.7 200 x\r\n" SIZED,
    "HTTP/2.0 200 x\r\n" SIZED,
    "\r\n" OK SIZED,
    "HTTP/1.1 200 O\x01K\r\n" SIZED,
    "HTTP/1.1 200 OK\rX" SIZED,
    OK "X A: 1\r\n" SIZED,
    OK "XA : 1\r\n" SIZED,
    OK " XA: 1\r\n" SIZED,
    OK "X\x01"
       "A: 1\r\n" SIZED,
    OK "X\xe4"
       "A: 1\r\n" SIZED,
    OK "X(A: 1\r\n" SIZED,
    OK ": 1\r\n" SIZED,
    OK "XA\r\n" SIZED,
    OK "XA: 1\r\n 2\r\n" SIZED,
    OK "XA: 1\r\n\t2\r\n" SIZED,
    OK "XA: 1\x01\r\n" SIZED,
    OK "XA:\rXB: 2\r\n" SIZED,
    OK "Content-Length : 2\r\n\r\n{}",
    OK "Content-Length: 2\r\n" SIZED,
    OK "Content-Length: 1\r\n" SIZED,
    OK "Content-Length: +2\r\n\r\n{}",
    OK "Content-Length: 0x2\r\n\r\n{}",
    OK "Content-Length: 2, 2\r\n\r\n{}",
    OK "Content-Length:\r\n\r\n{}",
    OK "Content-Length: 2\r\n" CHUNKED CHUNKS,
    OK "Transfer-Encoding: chunked\r\n" SIZED,
    OK "Transfer-Encoding: gzip\r\n\r\n{}",
    OK "Transfer-Encoding: identity\r\n\r\n{}",
    OK "Transfer-Encoding:\r\n\r\n{}",
    OK "Transfer-Encoding: gzip, chunked\r\n\r\n" CHUNKS,
    OK "Transfer-Encoding: chunked, chunked\r\n\r\n" CHUNKS,
    OK "Transfer-Encoding: gzip\r\n" CHUNKED CHUNKS,
    OK "Transfer-Encoding: chunked\r\n" CHUNKED CHUNKS,
    "HTTP/1.0 200 OK\r\n" CHUNKED CHUNKS,
    "HTTP/1.1 204 x\r\n" SIZED,
    "HTTP/1.1 204 x\r\n" CHUNKED CHUNKS,
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (broken); i++)
    {
      unit_expect (status_of (broken[i]) == STATUS_UNKNOWN, "status",
                   broken[i]);
      unit_expect (!reply.has_head, "head", broken[i]);
      unit_expect (reply.body->len == 0, "body", broken[i]);
    }
}

/* Broken chunks were skipped, and what was left looked complete. */
static void
test_broken_chunks (void)
{
  static const char *const broken[] = {
    OK CHUNKED "2\r\n{}XX0\r\n\r\n",     OK CHUNKED "2\r\n{}X\n0\r\n\r\n",
    OK CHUNKED "1\r\n{}\r\n0\r\n\r\n",   OK CHUNKED "3\r\n{}\r\n0\r\n\r\n",
    OK CHUNKED "+2\r\n{}\r\n0\r\n\r\n",  OK CHUNKED "\r\n2\r\n{}\r\n0\r\n\r\n",
    OK CHUNKED ";a\r\n{}\r\n0\r\n\r\n",  OK CHUNKED "0x2\r\n{}\r\n0\r\n\r\n",
    OK CHUNKED "2 2\r\n{}\r\n0\r\n\r\n", OK CHUNKED "2\r\n{}\r\n0x\r\n\r\n",
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (broken); i++)
    unit_expect (status_of (broken[i]) == STATUS_UNKNOWN, "status", broken[i]);
}

/* Unusual but sound replies must not be refused. */
static void
test_unusual_replies (void)
{
  static const char *const unusual[] = {
    OK SIZED,
    OK "XA:\r\nXB: \xe4\tb \r\n" SIZED,
    OK "transfer-encoding: chunked\r\n\r\n" CHUNKS,
    OK CHUNKED "02;a=\"b\"\r\n{}\r\n0\r\nXA: 1\r\n\r\n",
    OK "\r\n{}",
    "HTTP/1.0 200 OK\r\n\r\n{}",
    "HTTP/1.1 100 x\r\n\r\n" OK SIZED,
    "HTTP/1.1 599 x\r\n" SIZED,
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (unusual); i++)
    {
      unit_expect (status_of (unusual[i]) == STATUS_OK, "status", unusual[i]);
      unit_expect (strcmp (reply.body->str, "{}") == 0, "body", unusual[i]);
    }
  unit_expect (status_of ("HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n")
                   == STATUS_OK,
               "status", "204");
  httpclient_finish (&reply.client);
  uv_run (&reply.loop, UV_RUN_NOWAIT);
  g_string_free (reply.body, TRUE);
}

static const struct unit_case cases[] = {
  { "broken-heads", test_broken_heads },
  { "broken-chunks", test_broken_chunks },
  { "unusual-replies", test_unusual_replies },
};

int
main (void)
{
  return unit_run ("brokenreply", cases, G_N_ELEMENTS (cases));
}
