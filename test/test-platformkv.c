#include "clock.h"
#include "fake-upstream.h"
#include "platformkv.h"
#include "unit.h"

#include <string.h>

#define JSON_RESPONSE(status, body)                                           \
  {                                                                           \
    "HTTP/1.1 " status "\r\nContent-Type: application/json\r\n"               \
    "Connection: close\r\n\r\n" body,                                         \
        FAKE_UPSTREAM_CLOSE                                                   \
  }

#define ERA_RESPONSE(status, field)                                           \
  {                                                                           \
    "HTTP/1.1 " status "\r\n" field "Connection: close\r\n\r\n{}",            \
        FAKE_UPSTREAM_CLOSE                                                   \
  }

#define ERA_RESPONSE_OF_PAGE(era, key, more)                                  \
  {                                                                           \
    "HTTP/1.1 200 OK\r\nStore-Era: " era                                      \
    "\r\nConnection: close\r\n\r\n{\"items\":[{\"key\":\"p/" key              \
    "\",\"value\":\"MQ==\",\"modRevision\":3}],\"hasMore\":" more             \
    ",\"at\":9}",                                                             \
        FAKE_UPSTREAM_CLOSE                                                   \
  }

enum
{
  REPLY_WAIT_MAX_MS = 3000
};

static uv_loop_t loop;
static struct clock system_clock;
static struct fake_upstream upstream;
static struct httpclient client;
static struct httpjson httpjson;
static struct platformkv service;

/* A copy of the last reply. */
static struct
{
  bool received;
  enum status status;
  uint64_t revision;
  uint64_t lease;
  uint64_t era;
  GString *items;
} last_reply;

static void
setup (const struct fake_upstream_step *steps, unsigned count)
{
  uv_loop_init (&loop);
  clock_system_init (&system_clock);
  fake_upstream_init (&upstream, &loop, steps, count);
  httpclient_init (&client, &loop, 5000);
  httpjson_init (&httpjson, &client);
  platformkv_init (&service, &httpjson, upstream.address, 400 * NS_PER_MS);
  last_reply.items = g_string_new (NULL);
}

static void
close_handle (uv_handle_t *handle, void *data)
{
  if (!uv_is_closing (handle))
    uv_close (handle, NULL);
}

static void
finish (void)
{
  httpjson_finish (&httpjson);
  httpclient_finish (&client);
  fake_upstream_finish (&upstream);
  for (int i = 0; i < 20; i++)
    uv_run (&loop, UV_RUN_NOWAIT);
  uv_walk (&loop, close_handle, NULL);
  uv_run (&loop, UV_RUN_DEFAULT);
  CU_ASSERT_EQUAL (uv_loop_close (&loop), 0);
  g_string_free (last_reply.items, TRUE);
}

static void
reply_received (void *data, const struct kv_reply *reply)
{
  last_reply.received = true;
  last_reply.status = reply->status;
  last_reply.revision = reply->revision;
  last_reply.lease = reply->lease;
  last_reply.era = reply->era;
  g_string_truncate (last_reply.items, 0);
  for (size_t i = 0; i < reply->item_count; i++)
    g_string_append_printf (last_reply.items, "%s=%s@%d%s ",
                            reply->items[i].key, reply->items[i].value,
                            (int)reply->items[i].revision,
                            reply->items[i].deleted ? "-" : "");
}

static void
wait_for_reply (void)
{
  int64_t give_up_ns
      = clock_now (&system_clock) + REPLY_WAIT_MAX_MS * NS_PER_MS;

  while (!last_reply.received && clock_now (&system_clock) < give_up_ns)
    {
      uv_run (&loop, UV_RUN_NOWAIT);
      g_usleep (500);
    }
  CU_ASSERT_TRUE (last_reply.received);
  last_reply.received = false;
}

static void
test_one_key (void)
{
  static const struct fake_upstream_step steps[]
      = { JSON_RESPONSE (
              "200 OK",
              "{\"key\":\"my/l\",\"value\":\"bm9kZS0x\",\"modRevision\":412,"
              "\"lease\":7,\"at\":530}"),
          JSON_RESPONSE ("404 Not Found", "{}") };

  setup (steps, 2);
  service.kv.ops->get (&service.kv, "my/l", reply_received, NULL);
  wait_for_reply ();
  CU_ASSERT_EQUAL (last_reply.status, STATUS_OK);
  CU_ASSERT_EQUAL (last_reply.revision, 530);
  CU_ASSERT_STRING_EQUAL (last_reply.items->str, "my/l=node-1@412 ");
  CU_ASSERT_PTR_NOT_NULL (
      strstr (upstream.last->str, "GET /kv-key?key=my/l HTTP/1.1"));
  service.kv.ops->get (&service.kv, "my/l", reply_received, NULL);
  wait_for_reply ();
  CU_ASSERT_EQUAL (last_reply.status, STATUS_NOT_FOUND);
  finish ();
}

/* The pages of a range are not a snapshot: the reply has the revision of the
 * first page, so that a watch from there misses no change. */
static void
test_pages (void)
{
  static const struct fake_upstream_step steps[] = {
    JSON_RESPONSE ("200 OK", "{\"items\":[{\"key\":\"p/a\",\"value\":\"MQ==\","
                             "\"modRevision\":3}],\"hasMore\":true,\"at\":9}"),
    JSON_RESPONSE ("200 OK",
                   "{\"items\":[{\"key\":\"p/b\",\"value\":\"Mg==\","
                   "\"modRevision\":12}],\"hasMore\":false,\"at\":12}")
  };

  setup (steps, 2);
  service.kv.ops->range (&service.kv, "p/", reply_received, NULL);
  wait_for_reply ();
  CU_ASSERT_STRING_EQUAL (last_reply.items->str, "p/a=1@3 p/b=2@12 ");
  CU_ASSERT_EQUAL (last_reply.revision, 9);
  CU_ASSERT_EQUAL (upstream.requests, 2);
  CU_ASSERT_PTR_NOT_NULL (strstr (upstream.last->str, "after=p/a"));
  finish ();
}

static void
test_watch (void)
{
  static const struct fake_upstream_step steps[] = {
    JSON_RESPONSE ("200 OK",
                   "{\"events\":[{\"key\":\"p/a\",\"value\":\"MQ==\","
                   "\"modRevision\":12},{\"key\":\"p/b\",\"modRevision\":13,"
                   "\"deleted\":true}],\"at\":13}"),
    JSON_RESPONSE ("410 Gone", "{}")
  };

  setup (steps, 2);
  service.kv.ops->watch (&service.kv, "p/", 11, 50 * NS_PER_MS, reply_received,
                         NULL);
  wait_for_reply ();
  CU_ASSERT_STRING_EQUAL (last_reply.items->str, "p/a=1@12 p/b=@13- ");
  CU_ASSERT_EQUAL (last_reply.revision, 13);
  CU_ASSERT_PTR_NOT_NULL (strstr (upstream.last->str, "after=11&waitMs=50"));
  service.kv.ops->watch (&service.kv, "p/", 13, 50 * NS_PER_MS, reply_received,
                         NULL);
  wait_for_reply ();
  CU_ASSERT_EQUAL (last_reply.status, STATUS_STALE);
  finish ();
}

static void
test_transaction_conditions (void)
{
  static const struct fake_upstream_step steps[]
      = { JSON_RESPONSE ("200 OK", "{\"modRevision\":412}"),
          JSON_RESPONSE ("412 Precondition Failed", "{\"items\":[]}"),
          JSON_RESPONSE ("404 Not Found", "{}") };
  const struct kv_compare compare = { "k", 0 };
  const struct kv_write writes[] = { { "k", "node-1", 7 }, { "o", NULL, 0 } };
  const struct kv_txn txn = { &compare, 1, writes, 2 };

  setup (steps, 3);
  service.kv.ops->txn (&service.kv, &txn, reply_received, NULL);
  wait_for_reply ();
  CU_ASSERT_EQUAL (last_reply.status, STATUS_OK);
  CU_ASSERT_EQUAL (last_reply.revision, 412);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (upstream.last->str,
              "\"expected\":[{\"key\":\"k\",\"modRevision\":0}],\"puts\":[{"
              "\"key\":\"k\",\"value\":\"bm9kZS0x\",\"lease\":7}],\"remove\":["
              "\"o\"]"));
  service.kv.ops->txn (&service.kv, &txn, reply_received, NULL);
  wait_for_reply ();
  CU_ASSERT_EQUAL (last_reply.status, STATUS_CONFLICT);
  service.kv.ops->txn (&service.kv, &txn, reply_received, NULL);
  wait_for_reply ();
  CU_ASSERT_EQUAL (last_reply.status, STATUS_NOT_FOUND);
  finish ();
}

static void
test_leases (void)
{
  static const struct fake_upstream_step steps[]
      = { JSON_RESPONSE ("200 OK", "{\"lease\":77120,\"ttlMs\":3000}"),
          JSON_RESPONSE ("404 Not Found", "{}") };

  setup (steps, 2);
  service.kv.ops->lease_grant (&service.kv, 3 * NS_PER_S, reply_received,
                               NULL);
  wait_for_reply ();
  CU_ASSERT_EQUAL (last_reply.lease, 77120);
  service.kv.ops->lease_keepalive (&service.kv, 77120, reply_received, NULL);
  wait_for_reply ();
  CU_ASSERT_EQUAL (last_reply.status, STATUS_NOT_FOUND);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (upstream.last->str, "POST /kv-keep/77120 HTTP/1.1"));
  finish ();
}

/* A refused write had no effect; a write without a valid reply may have had
 * one. */
static void
test_refusals_and_lost_replies (void)
{
  static const struct
  {
    struct fake_upstream_step step;
    enum status status;
  } cases[] = {
    { JSON_RESPONSE ("503 Service Unavailable", "{}"), STATUS_UNAVAILABLE },
    { JSON_RESPONSE ("429 Too Many Requests", "{}"), STATUS_LIMITED },
    { JSON_RESPONSE ("403 Forbidden", "{}"), STATUS_DENIED },
    { JSON_RESPONSE ("200 OK", "{\"modRev"), STATUS_UNKNOWN },
    { { "", FAKE_UPSTREAM_RESET }, STATUS_UNKNOWN },
    { { "", FAKE_UPSTREAM_KEEP }, STATUS_UNKNOWN },
  };
  const struct kv_write write = { "k", "v", 0 };
  const struct kv_txn txn = { .writes = &write, .write_count = 1 };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      setup (&cases[i].step, 1);
      service.kv.ops->txn (&service.kv, &txn, reply_received, NULL);
      wait_for_reply ();
      CU_ASSERT_EQUAL (last_reply.status, cases[i].status);
      finish ();
    }
}

/* A store that came back from a copy was taken for the one before it. A field
 * that is no number must not count as an era either. */
static void
test_era_of_each_reply (void)
{
  static const struct
  {
    struct fake_upstream_step step;
    uint64_t era;
  } cases[] = {
    { ERA_RESPONSE ("200 OK", "Store-Era: 7\r\n"), 7 },
    { ERA_RESPONSE ("200 OK", "store-era: 12\r\n"), 12 },
    { ERA_RESPONSE ("404 Not Found", "Store-Era: 7\r\n"), 7 },
    { ERA_RESPONSE ("410 Gone", "Store-Era: 8\r\n"), 8 },
    { ERA_RESPONSE ("412 Precondition Failed", "Store-Era: 8\r\n"), 8 },
    { ERA_RESPONSE ("503 Service Unavailable", "Store-Era: 8\r\n"), 8 },
    { ERA_RESPONSE ("200 OK", "Store-Era: 9007199254740993\r\n"),
      9007199254740993 },
    { ERA_RESPONSE ("200 OK", ""), 0 },
    { ERA_RESPONSE ("200 OK", "Store-Era:\r\n"), 0 },
    { ERA_RESPONSE ("200 OK", "Store-Era: 0\r\n"), 0 },
    { ERA_RESPONSE ("200 OK", "Store-Era: -1\r\n"), 0 },
    { ERA_RESPONSE ("200 OK", "Store-Era: +7\r\n"), 0 },
    { ERA_RESPONSE ("200 OK", "Store-Era: 7.5\r\n"), 0 },
    { ERA_RESPONSE ("200 OK", "Store-Era: 0x7\r\n"), 0 },
    { ERA_RESPONSE ("200 OK", "Store-Era: 7 8\r\n"), 0 },
    { ERA_RESPONSE ("200 OK", "Store-Era: seven\r\n"), 0 },
    { ERA_RESPONSE ("200 OK", "Store-Era: 18446744073709551616\r\n"), 0 },
    { ERA_RESPONSE ("200 OK", "Store-Era: 99999999999999999999999999999999999"
                              "9999999999999999999999999999999999\r\n"),
      0 },
    { ERA_RESPONSE ("200 OK", "Old-Store-Era: 7\r\n"), 0 },
    { { "", FAKE_UPSTREAM_RESET }, 0 },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      setup (&cases[i].step, 1);
      service.kv.ops->get (&service.kv, "k", reply_received, NULL);
      wait_for_reply ();
      CU_ASSERT_EQUAL (last_reply.era, cases[i].era);
      finish ();
    }
}

/* Pages that were read before and after the store came back from a copy looked
 * like one range, with keys that the copy does not have. */
static void
test_pages_of_two_eras (void)
{
  static const struct fake_upstream_step steps[]
      = { ERA_RESPONSE_OF_PAGE ("3", "a", "true"),
          ERA_RESPONSE_OF_PAGE ("4", "b", "false") };

  setup (steps, 2);
  service.kv.ops->range (&service.kv, "p/", reply_received, NULL);
  wait_for_reply ();
  CU_ASSERT_EQUAL (last_reply.status, STATUS_UNKNOWN);
  CU_ASSERT_EQUAL (last_reply.era, 4);
  CU_ASSERT_STRING_EQUAL (last_reply.items->str, "");
  finish ();
}

static const struct unit_case cases[] = {
  { "one-key", test_one_key },
  { "pages", test_pages },
  { "watch", test_watch },
  { "conditions", test_transaction_conditions },
  { "leases", test_leases },
  { "refusals-and-lost-replies", test_refusals_and_lost_replies },
  { "era-of-each-reply", test_era_of_each_reply },
  { "pages-of-two-eras", test_pages_of_two_eras },
};

int
main (void)
{
  return unit_run ("platformkv", cases, G_N_ELEMENTS (cases));
}
