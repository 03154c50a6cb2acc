#include "limitshare.h"
#include "loadshare.h"
#include "otherhosts.h"
#include "presence.h"
#include "serverprobe.h"
#include "unit.h"
#include "weightsnews.h"

#include <string.h>
#include <time.h>

enum
{
  FEW_SERVERS = 30,
  MANY_SERVERS = 10000,
  TICKS = 500,
  ROUNDS = 7,
  /* A tick that visits all servers takes hundreds of times longer. */
  GROWTH_MAX = 3
};

/* A host that knows some servers and ticks without news but that one of them
 * is brittle. */
struct host
{
  uv_loop_t loop;
  struct clock_fake clock;
  struct log log;
  struct servers servers;
  struct serverprobes probes;
  struct limitshare limitshare;
  struct loadshare loadshare;
  struct loadshare peer;
  struct weightsnews news;
  struct kvview view;
  GHashTable *wanted;
};

static void
server_changed (void *data, const struct server *server, const char *what)
{
}

static const struct servers_ops servers_ops = { server_changed, NULL };
static const struct serverprobes_ops probes_ops = { NULL, NULL };

static bool
reports_weights (void *data)
{
  return false;
}

static const struct loadshare_ops share_ops
    = { reports_weights, NULL, NULL, NULL, NULL, NULL };

static void
server_add (struct host *host, unsigned index)
{
  struct server_entry entry = { .slots = 4, .model_count = 1 };

  g_snprintf (entry.id, sizeof entry.id, "i-%u", index);
  g_strlcpy (entry.service, "svc", sizeof entry.service);
  g_strlcpy (entry.address, "127.0.0.1:1", sizeof entry.address);
  g_strlcpy (entry.models[0].name, "m", sizeof entry.models[0].name);
  entry.models[0].weight_version = 1;
  servers_update (&host->servers, &entry, 1);
}

static void
host_init (struct host *host, unsigned server_count)
{
  uv_loop_init (&host->loop);
  clock_fake_init (&host->clock, 10 * NS_PER_S);
  servers_init (&host->servers, &host->loop, &host->clock.clock, "dc",
                NS_PER_S, &servers_ops, NULL);
  for (unsigned i = 0; i < server_count; i++)
    server_add (host, i);
  serverprobes_init (&host->probes, &host->servers, &probes_ops, NULL);
  limitshare_init (&host->limitshare, &host->servers, &host->clock.clock, 1);
  loadshare_init (&host->loadshare, &host->servers, &host->clock.clock, "a", 1,
                  &share_ops, NULL);
  loadshare_init (&host->peer, &host->servers, &host->clock.clock, "b", 1,
                  &share_ops, NULL);
  host->view = (struct kvview){ .initial_read_done = true };
  host->wanted = g_hash_table_new (g_str_hash, g_str_equal);
  weightsnews_init (&host->news, &host->servers, &host->log, &host->view,
                    host->wanted);
}

static void
host_finish (struct host *host)
{
  weightsnews_finish (&host->news);
  g_hash_table_destroy (host->wanted);
  loadshare_finish (&host->peer);
  loadshare_finish (&host->loadshare);
  limitshare_finish (&host->limitshare);
  serverprobes_finish (&host->probes);
  servers_finish (&host->servers);
  uv_loop_close (&host->loop);
}

/* A report of the other host has arrived before each tick. */
static void
host_tick (struct host *host)
{
  uint8_t bytes[MAX (LIMITSHARE_BYTES_MAX, LOADSHARE_BYTES_MAX)];

  clock_fake_advance (&host->clock, 20 * NS_PER_MS);
  servers_record_brittle (&host->servers, servers_find (&host->servers, "i-3"),
                          1, clock_now (&host->clock.clock), true);
  host->loadshare.sums_stale = true;
  weightsnews_tick (&host->news);
  serverprobes_tick (&host->probes);
  loadshare_tick (&host->loadshare);
  limitshare_encode (&host->limitshare, bytes);
  loadshare_encode (&host->loadshare, bytes);
}

static int64_t
processor_ns (void)
{
  struct timespec used;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &used);
  return (int64_t)used.tv_sec * NS_PER_S + used.tv_nsec;
}

/* Returns the processor time of TICKS ticks, in the quickest of some rounds.
 */
static int64_t
ticks_cost (struct host *host)
{
  int64_t least = INT64_MAX;

  for (unsigned round = 0; round < ROUNDS; round++)
    {
      int64_t start = processor_ns ();

      for (unsigned i = 0; i < TICKS; i++)
        host_tick (host);
      least = MIN (least, processor_ns () - start);
    }
  return least;
}

/* Most of the processor time of a host before 3,002 servers went into visits
 * of all servers, of which nothing had changed, in each tick. */
static void
test_ticks_do_not_grow (void)
{
  struct host few, many;
  int64_t few_ns, many_ns;

  host_init (&few, FEW_SERVERS);
  host_init (&many, MANY_SERVERS);
  few_ns = ticks_cost (&few);
  many_ns = ticks_cost (&many);
  printf ("# a tick takes %ld ns with %d servers, %ld ns with %d\n",
          (long)(few_ns / TICKS), FEW_SERVERS, (long)(many_ns / TICKS),
          MANY_SERVERS);
  CU_ASSERT_TRUE (many_ns < GROWTH_MAX * few_ns);
  host_finish (&few);
  host_finish (&many);
}

/* Load that another host no longer reports stayed at its server. */
static void
test_load_that_is_gone (void)
{
  struct host host;
  struct server *server;
  uint8_t bytes[LOADSHARE_BYTES_MAX];
  size_t size;

  host_init (&host, FEW_SERVERS);
  server = servers_find (&host.servers, "i-7");
  for (unsigned i = 0; i < 3; i++)
    server_request_begun (&host.servers, server);
  for (unsigned requests = 3; requests < 4; requests--)
    {
      size = loadshare_encode (&host.peer, bytes);
      CU_ASSERT_TRUE (loadshare_receive (&host.loadshare, bytes, size));
      loadshare_tick (&host.loadshare);
      CU_ASSERT_EQUAL (server->other_hosts_requests, requests);
      server_request_ended (server);
    }
  host_finish (&host);
}

/* A server that fails is probed until it recovers, also if it failed before,
 * and one that is gone is not. */
static void
test_failing_servers_are_kept (void)
{
  struct host host;
  struct server *server;

  host_init (&host, FEW_SERVERS);
  server = servers_find (&host.servers, "i-7");
  for (unsigned i = 0; i < 2; i++)
    {
      server_set_unreachable (&host.servers, server);
      serverprobes_tick (&host.probes);
      CU_ASSERT_EQUAL (host.servers.failing->len, 1);
      server_record_reached (&host.servers, server, false);
      server_record_cut (&host.servers, server);
      CU_ASSERT_EQUAL (host.servers.failing->len, 1);
      server->doubted_ns = 0;
      serverprobes_tick (&host.probes);
      CU_ASSERT_EQUAL (host.servers.failing->len, 0);
    }
  server_set_unreachable (&host.servers, server);
  servers_remove (&host.servers, "i-7", "entry_gone");
  serverprobes_tick (&host.probes);
  CU_ASSERT_EQUAL (host.servers.failing->len, 0);
  CU_ASSERT_PTR_NULL (servers_find_hash (&host.servers, g_str_hash ("i-7")));
  host_finish (&host);
}

static void
host_put (struct presence *presence, unsigned index, const char *data_centre)
{
  char *key = g_strdup_printf ("host/%05u", index);
  char *value = g_strdup_printf (
      "{\"address\":\"a%u\",\"peer\":\"127.0.0.1:1\",\"data_centre\":\"%s\","
      "\"form\":%d}",
      index, data_centre, PRESENCE_FORM_OWN);
  struct error error;

  CU_ASSERT_EQUAL (presence_key_put (presence, key, value, &error), STATUS_OK);
  g_free (value);
  g_free (key);
}

/* Returns the processor time of TICKS look-ups of the order of hosts. */
static int64_t
order_cost (const struct presence *presence)
{
  int64_t least = INT64_MAX;

  for (unsigned round = 0; round < ROUNDS; round++)
    {
      int64_t start = processor_ns ();

      for (unsigned i = 0; i < TICKS; i++)
        CU_ASSERT_TRUE (presence_sorted_hosts (presence)->len
                        > presence_own_index (presence));
      least = MIN (least, processor_ns () - start);
    }
  return least;
}

/* All hosts were sorted for each datagram and each list of addresses. */
static void
test_hosts_are_sorted_once (void)
{
  const struct presence_host self = { .address = "self", .data_centre = "b" };
  struct presence few, many;
  struct clock_fake clock;

  clock_fake_init (&clock, 0);
  presence_init (&few, NULL, &clock.clock, "host/00001", &self, NS_PER_S);
  presence_init (&many, NULL, &clock.clock, "host/00001", &self, NS_PER_S);
  for (unsigned i = 0; i < 2234; i++)
    {
      host_put (&many, i, "b");
      if (i < FEW_SERVERS)
        host_put (&few, i, "b");
    }
  CU_ASSERT_TRUE (order_cost (&many) < GROWTH_MAX * order_cost (&few));
  CU_ASSERT_EQUAL (presence_own_index (&few), 1);
  host_put (&few, 7, "a");
  CU_ASSERT_EQUAL (presence_own_index (&few), 2);
  CU_ASSERT_PTR_NULL (presence_sorted_hosts (&few)->pdata[2]);
  presence_key_removed (&few, "host/00007");
  CU_ASSERT_EQUAL (presence_own_index (&few), 1);
  CU_ASSERT_EQUAL (presence_sorted_hosts (&few)->len, FEW_SERVERS - 1);
  presence_finish (&few);
  presence_finish (&many);
}

/* Returns the processor time of TICKS look-ups of a host that holds room. */
static int64_t
holder_cost (struct otherhosts *others)
{
  int64_t least = INT64_MAX;

  for (unsigned round = 0; round < ROUNDS; round++)
    {
      int64_t start = processor_ns ();

      for (unsigned i = 0; i < TICKS; i++)
        otherhosts_of_rank (others, "i-3", i % 8);
      least = MIN (least, processor_ns () - start);
    }
  return least;
}

/* For each request that was passed on, all hosts were visited once for each
 * rank. */
static void
test_holders_are_sorted_once (void)
{
  static const unsigned counts[] = { FEW_SERVERS, 2234 };
  const struct presence_host self = { .address = "self", .data_centre = "b" };
  struct presence presences[2];
  struct otherhosts others[2];
  struct clock_fake clock;
  const char *id = "i-3";

  clock_fake_init (&clock, 0);
  for (unsigned i = 0; i < 2; i++)
    {
      presence_init (&presences[i], NULL, &clock.clock, "host/self", &self,
                     NS_PER_S);
      otherhosts_init (&others[i], &presences[i], NULL);
      for (unsigned j = 0; j < counts[i]; j++)
        host_put (&presences[i], j, "b");
    }
  CU_ASSERT_TRUE (holder_cost (&others[1])
                  < GROWTH_MAX * holder_cost (&others[0]));
  for (unsigned rank = 0; rank < 3; rank++)
    {
      const struct otherhost *first = otherhosts_of_rank (&others[0], id, 0);
      unsigned own = presence_rank_of_all (&presences[0], id, strlen (id));
      char *key;

      CU_ASSERT_PTR_NULL (otherhosts_of_rank (&others[0], id, own));
      if (first == NULL)
        break;
      key = g_strdup_printf ("host/%s", first->server->entry.id);
      presence_key_removed (&presences[0], key);
      g_free (key);
      CU_ASSERT_PTR_NOT_EQUAL (otherhosts_of_rank (&others[0], id, 0), first);
    }
  for (unsigned i = 0; i < 2; i++)
    {
      otherhosts_finish (&others[i]);
      presence_finish (&presences[i]);
    }
}

static const struct unit_case cases[] = {
  { "holders-are-sorted-once", test_holders_are_sorted_once },
  { "hosts-are-sorted-once", test_hosts_are_sorted_once },
  { "ticks-do-not-grow", test_ticks_do_not_grow },
  { "load-that-is-gone", test_load_that_is_gone },
  { "failing-servers-are-kept", test_failing_servers_are_kept },
};

int
main (void)
{
  return unit_run ("fleetticks", cases, G_N_ELEMENTS (cases));
}
