#include "clock.h"
#include "fake-slowstore.h"
#include "kvbudget.h"
#include "kvera.h"
#include "kvhttp.h"
#include "kvview.h"
#include "platformkv.h"
#include "rng.h"
#include "unit.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  /* More watches than the views need, as in an entry process. */
  WATCH_MAX = 4
};

static const int64_t timeout_ms = 300;

static uv_loop_t loop;
static struct clock system_clock;
static struct rng rng;
static struct fake_slowstore store;
static struct httpclient client;
static struct httpjson httpjson;
static struct platformkv service;
static struct kvbudget budget;
static struct kvera era;
static struct kvview view;
static unsigned puts_count;
static unsigned lost_count;

static void
count_put (void *data, const char *key, const char *value, uint64_t revision)
{
  puts_count++;
}

static void
ignore_removal (void *data, const char *key)
{
}

static void
count_loss (void *data, bool reachable)
{
  lost_count += !reachable;
}

static void
ignore_era (void *data, uint64_t old_era, uint64_t new_era)
{
}

static const struct kvview_ops view_ops
    = { count_put, ignore_removal, count_loss, NULL };
static const struct kvera_ops era_ops = { ignore_era };

static const struct kvbudget_settings budget_settings = {
  .rate = 40,
  .burst = 60,
  .queue_max = 30,
  .watch_max = WATCH_MAX,
  .queue_timeout_ns = 300 * NS_PER_MS,
  .call_timeout_ns = 300 * NS_PER_MS,
  .read_timeout_ns = 3 * NS_PER_S,
  .backoff.min_ns = 20 * NS_PER_MS,
  .backoff.max_ns = 100 * NS_PER_MS,
  .backoff.outage_min_ns = 4 * NS_PER_S,
};

static void
calls_init (const char *address)
{
  const struct kvview_settings view_settings
      = { .watch_duration_ns = 15 * NS_PER_S, .hold_ns = 2 * NS_PER_S };

  httpclient_init (&client, &loop, 60000);
  httpjson_init (&httpjson, &client);
  platformkv_init (&service, &httpjson, address, timeout_ms * NS_PER_MS);
  kvbudget_init (&budget, &service.kv, &system_clock, &rng, &budget_settings);
  kvera_init (&era, &budget.kv, &era_ops, NULL);
  kvview_init (&view, &era.kv, &system_clock, &view_settings, "op/", &view_ops,
               NULL);
}

static void
setup (void)
{
  uv_loop_init (&loop);
  clock_system_init (&system_clock);
  rng_init (&rng, 1);
  fake_slowstore_init (&store, &loop);
  calls_init (store.address);
  puts_count = 0;
  lost_count = 0;
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
  kvbudget_finish (&budget);
  httpjson_finish (&httpjson);
  httpclient_finish (&client);
  kvview_finish (&view);
  for (int i = 0; i < 50; i++)
    {
      uv_run (&loop, UV_RUN_NOWAIT);
      g_usleep (1000);
    }
  fake_slowstore_finish (&store);
  uv_walk (&loop, close_handle, NULL);
  uv_run (&loop, UV_RUN_DEFAULT);
  CU_ASSERT_EQUAL (uv_loop_close (&loop), 0);
}

static void
run_for_ms (int64_t ms)
{
  int64_t end_ns = clock_now (&system_clock) + ms * NS_PER_MS;

  while (clock_now (&system_clock) < end_ns)
    {
      kvbudget_tick (&budget);
      kvview_tick (&view);
      uv_run (&loop, UV_RUN_NOWAIT);
      g_usleep (500);
    }
}

/* A read whose pages each came in time was given up and begun again, beside
 * the one that went on. */
static void
test_read_of_many_pages (void)
{
  setup ();
  store.pages = 4;
  store.piece_ms = (uint64_t)timeout_ms / 2;
  run_for_ms (4 * timeout_ms);
  CU_ASSERT_EQUAL (store.reads, 1);
  CU_ASSERT_EQUAL (lost_count, 0);
  CU_ASSERT_EQUAL (puts_count, 4);
  finish ();
}

/* A page that took longer than the timeout was given up though its bytes kept
 * coming, so that a large document was never read over a slow link. */
static void
test_page_of_many_pieces (void)
{
  setup ();
  store.pieces = 6;
  store.piece_ms = (uint64_t)timeout_ms / 3;
  run_for_ms (4 * timeout_ms);
  CU_ASSERT_EQUAL (store.reads, 1);
  CU_ASSERT_EQUAL (puts_count, 1);
  finish ();
}

/* Watches that the view no longer waited for went on and counted, until the
 * next one was refused and the view read all keys again and again. */
static void
test_dropped_watches (void)
{
  setup ();
  for (unsigned i = 0; i < 3 * WATCH_MAX; i++)
    {
      run_for_ms (30);
      kvview_restart (&view);
    }
  run_for_ms (100);
  CU_ASSERT_TRUE (budget.watch_count <= 1);
  CU_ASSERT_EQUAL (lost_count, 0);
  CU_ASSERT_TRUE (store.watches_ended + 1 >= store.watches);
  CU_ASSERT_TRUE (store.reads <= 3 * WATCH_MAX + 1);
  finish ();
}

/* Returns a listener whose queue of new connections is full, so that the
 * packet that opens the next one is dropped. CONNECTIONS has COUNT sockets. */
static int
full_listener (char address[32], int *connections, unsigned count)
{
  struct sockaddr_in name = { .sin_family = AF_INET };
  socklen_t size = sizeof name;
  int listener = socket (AF_INET, SOCK_STREAM, 0);

  name.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  (void)bind (listener, (struct sockaddr *)&name, sizeof name);
  (void)listen (listener, 0);
  getsockname (listener, (struct sockaddr *)&name, &size);
  for (unsigned i = 0; i < count; i++)
    {
      connections[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect (connections[i], (struct sockaddr *)&name, sizeof name);
    }
  g_snprintf (address, 32, "127.0.0.1:%u", ntohs (name.sin_port));
  return listener;
}

/* A watch whose connection could not be opened counted as waiting for changes
 * until its whole time was over. */
static void
test_watch_that_is_not_connected (void)
{
  char address[32];
  int connections[4];
  int listener;

  setup ();
  run_for_ms (50);
  CU_ASSERT_TRUE (view.initial_read_done);
  listener = full_listener (address, connections, G_N_ELEMENTS (connections));
  service.address = address;
  kvview_restart (&view);
  view.needs_full_read = false;
  run_for_ms (3 * timeout_ms);
  CU_ASSERT_TRUE (lost_count > 0);
  finish ();
  for (unsigned i = 0; i < G_N_ELEMENTS (connections); i++)
    close (connections[i]);
  close (listener);
}

static void
count_unavailable (void *data, const struct kv_reply *reply)
{
  unsigned *count = data;

  *count += reply->status == STATUS_UNAVAILABLE;
}

/* The same for the watches of gateways and shards. */
static void
test_gateway_watch_that_is_not_connected (void)
{
  char address[32];
  const char *const addresses[] = { address };
  struct kvhttp kvhttp;
  unsigned unavailable = 0;
  int connections[4];
  int listener;

  setup ();
  listener = full_listener (address, connections, G_N_ELEMENTS (connections));
  kvhttp_init (&kvhttp, &httpjson, addresses, 1, timeout_ms * NS_PER_MS);
  kvhttp.kv.ops->watch (&kvhttp.kv, "config/", 1, 15 * NS_PER_S,
                        count_unavailable, &unavailable);
  run_for_ms (2 * timeout_ms);
  CU_ASSERT_EQUAL (unavailable, 1);
  finish ();
  for (unsigned i = 0; i < G_N_ELEMENTS (connections); i++)
    close (connections[i]);
  close (listener);
}

static const struct unit_case cases[] = {
  { "read-of-many-pages-is-begun-again", test_read_of_many_pages },
  { "page-of-many-pieces-is-begun-again", test_page_of_many_pieces },
  { "dropped-watches-go-on", test_dropped_watches },
  { "watch-that-is-not-connected", test_watch_that_is_not_connected },
  { "gateway-watch-that-is-not-connected",
    test_gateway_watch_that_is_not_connected },
};

int
main (void)
{
  return unit_run ("blindview", cases, G_N_ELEMENTS (cases));
}
