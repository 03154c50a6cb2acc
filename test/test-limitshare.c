#include "limitshare.h"
#include "rng.h"
#include "unit.h"

#include <math.h>
#include <string.h>

enum
{
  HOSTS_MAX = 60,
  SERVERS = 6,
  STEP_MS = 10,
  ANSWER_MS = 120, /* from a request to the head of its response, at most */
  TOLD_MS = 500,   /* after which a host that was told counts */
  KEPT_MS = 3000,  /* after which a limit must be kept */
  WINDOW_MS = 4000,
  WINDOW_SLACK = 5,
  LIMITED_MS = 20000,
  FREE_MS = 4000,
  MESSAGES_MAX = 4000,
  REQUESTS_MAX = 20000
};

struct host
{
  struct servers servers;
  struct limitshare share;
  int64_t told_ns[SERVERS]; /* first response with the limit; 0: none */
};

struct message
{
  unsigned from;
  size_t size;
  uint8_t bytes[LIMITSHARE_BYTES_MAX];
};

/* A request that has arrived at a server. */
struct request
{
  unsigned host;
  unsigned server;
  int64_t arrived_ns;
  int64_t answered_ns;
  bool is_answered;
  bool counts; /* The host had been told of the limit. */
};

static struct clock_fake fake_clock;
static struct rng rng;
static struct host hosts[HOSTS_MAX];
static unsigned host_count;
static struct message messages[MESSAGES_MAX];
static unsigned message_count;
static struct request requests[REQUESTS_MAX];
static unsigned request_count;
static double limits[SERVERS]; /* negative: none */
static unsigned in_flight[SERVERS];
static double loss;
static double per_s; /* requests of all hosts */

static int64_t
now_ns (void)
{
  return clock_now (&fake_clock.clock);
}

static void
on_changed (void *data, const struct server *server, const char *change)
{
}

static const struct servers_ops servers_ops = { on_changed, NULL };

static struct server *
server_at (unsigned host, unsigned index)
{
  char id[16];

  g_snprintf (id, sizeof id, "s%u", index);
  return servers_find (&hosts[host].servers, id);
}

static void
host_start (unsigned index)
{
  struct host *host = &hosts[index];

  memset (host, 0, sizeof *host);
  servers_init (&host->servers, NULL, &fake_clock.clock, "dc", NS_PER_S,
                &servers_ops, NULL);
  limitshare_init (&host->share, &host->servers, &fake_clock.clock, index + 1);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      struct server_entry entry = { .slots = 4 };

      g_snprintf (entry.id, sizeof entry.id, "s%u", i);
      g_strlcpy (entry.service, "svc", sizeof entry.service);
      servers_update (&host->servers, &entry, 1);
      serverlimit_set_hosts (&server_at (index, i)->limit, host_count,
                             (index + i) % host_count);
    }
}

static void
fleet_start (unsigned count, double requests_per_s)
{
  clock_fake_init (&fake_clock, 100 * NS_PER_S);
  rng_init (&rng, 1);
  host_count = count;
  message_count = request_count = 0;
  memset (in_flight, 0, sizeof in_flight);
  per_s = requests_per_s;
  for (unsigned i = 0; i < SERVERS; i++)
    limits[i] = -1;
  for (unsigned i = 0; i < count; i++)
    host_start (i);
}

static void
fleet_finish (void)
{
  for (unsigned i = 0; i < host_count; i++)
    {
      limitshare_finish (&hosts[i].share);
      servers_finish (&hosts[i].servers);
    }
}

/* The server that takes a request of HOST and has the fewest of all; -1: none
 * does. */
static int
server_choose (unsigned host)
{
  unsigned first = (unsigned)rng_below (&rng, SERVERS);
  int best = -1;

  for (unsigned i = 0; i < SERVERS; i++)
    {
      unsigned index = (first + i) % SERVERS;

      if (server_accepts_requests (server_at (host, index), now_ns ())
          && (best < 0 || in_flight[index] < in_flight[best]))
        best = (int)index;
    }
  return best;
}

static void
request_send (unsigned host)
{
  int index = server_choose (host);
  int64_t now = now_ns ();
  int64_t told_ns;

  if (index < 0)
    return;
  told_ns = hosts[host].told_ns[index];
  serverlimit_take (&server_at (host, (unsigned)index)->limit, now);
  in_flight[index]++;
  CU_ASSERT_FATAL (request_count < REQUESTS_MAX);
  requests[request_count++] = (struct request){
    .host = host,
    .server = (unsigned)index,
    .arrived_ns = now,
    .answered_ns = now + (int64_t)rng_below (&rng, ANSWER_MS) * NS_PER_MS,
    .counts = told_ns != 0 && now - told_ns >= TOLD_MS * NS_PER_MS,
  };
}

static void
requests_step (void)
{
  for (unsigned i = 0; i < request_count; i++)
    {
      struct request *request = &requests[i];
      struct host *host = &hosts[request->host];

      if (request->is_answered || now_ns () < request->answered_ns)
        continue;
      request->is_answered = true;
      in_flight[request->server]--;
      if (limits[request->server] >= 0 && host->told_ns[request->server] == 0)
        host->told_ns[request->server] = now_ns ();
      servers_record_limit (&host->servers,
                            server_at (request->host, request->server),
                            limits[request->server], now_ns (), true);
    }
}

static void
messages_step (void)
{
  for (unsigned i = 0; i < message_count; i++)
    for (unsigned to = 0; to < host_count; to++)
      if (to != messages[i].from && rng_uniform (&rng) >= loss)
        CU_ASSERT_TRUE (limitshare_receive (
            &hosts[to].share, messages[i].bytes, messages[i].size));
  message_count = 0;
  for (unsigned i = 0; i < host_count; i++)
    {
      struct message *message = &messages[message_count];

      message->from = i;
      message->size = limitshare_encode (&hosts[i].share, message->bytes);
      message_count += message->size > 0;
    }
}

static void
run_for (int64_t ms)
{
  for (int64_t i = 0; i < ms; i += STEP_MS)
    {
      double due = per_s * STEP_MS / 1000;

      clock_fake_advance (&fake_clock, STEP_MS * NS_PER_MS);
      for (; due > 0; due--)
        if (rng_uniform (&rng) < due)
          request_send ((unsigned)rng_below (&rng, host_count));
      requests_step ();
      messages_step ();
    }
}

/* Return the greatest number of counted requests to the server at INDEX in a
 * window that ends after FROM_NS. */
static unsigned
window_max (unsigned index, int64_t from_ns)
{
  unsigned most = 0;

  for (unsigned i = 0; i < request_count; i++)
    {
      int64_t end_ns = requests[i].arrived_ns;
      unsigned count = 0;

      if (end_ns < from_ns || requests[i].server != index)
        continue;
      for (unsigned j = 0; j <= i; j++)
        count += requests[j].server == index && requests[j].counts
                 && end_ns - requests[j].arrived_ns <= WINDOW_MS * NS_PER_MS;
      most = MAX (most, count);
    }
  return most;
}

static unsigned
arrivals (unsigned index, int64_t from_ns)
{
  unsigned count = 0;

  for (unsigned i = 0; i < request_count; i++)
    count += requests[i].server == index && requests[i].arrived_ns >= from_ns;
  return count;
}

/* A limit was kept by each host alone, not by all together; a limited server
 * got far less than it takes; no load came back after the limit. */
static void
limit_is_kept (unsigned count, unsigned limited, double limit, double lost)
{
  double allowed = 1.5 * limit * WINDOW_MS / 1000 + WINDOW_SLACK;
  double taken = limit * (LIMITED_MS - KEPT_MS) / 1000;
  int64_t named_ns;

  loss = lost;
  fleet_start (count, 150);
  run_for (2000);
  named_ns = now_ns ();
  for (unsigned i = 0; i < limited; i++)
    limits[i] = limit;
  run_for (LIMITED_MS);
  for (unsigned i = 0; i < limited; i++)
    {
      int64_t kept_ns = named_ns + KEPT_MS * NS_PER_MS;

      CU_ASSERT_TRUE (window_max (i, kept_ns) <= allowed);
      if (lost < 1 && limit >= 1)
        CU_ASSERT_TRUE (arrivals (i, kept_ns) >= 0.7 * taken);
      limits[i] = -1;
    }
  run_for (FREE_MS);
  named_ns = now_ns ();
  run_for (FREE_MS);
  for (unsigned i = 0; lost < 1 && limit >= 1 && i < limited; i++)
    CU_ASSERT_TRUE (arrivals (i, named_ns)
                    >= 0.5 * per_s / SERVERS * FREE_MS / 1000);
  fleet_finish ();
}

static const unsigned host_counts[] = { 1, 3, 8, HOSTS_MAX };
static const double limit_values[] = { 0, 0.3, 1, 1.3, 4, 15 };

static void
test_limit_over_all_hosts (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (host_counts); i++)
    for (unsigned j = 0; j < G_N_ELEMENTS (limit_values); j++)
      limit_is_kept (host_counts[i], 1, limit_values[j], 0);
}

static void
test_all_servers_limited (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (host_counts); i++)
    for (unsigned j = 0; j < G_N_ELEMENTS (limit_values); j++)
      limit_is_kept (host_counts[i], SERVERS, limit_values[j], 0);
}

static void
test_datagrams_lost (void)
{
  for (unsigned j = 0; j < G_N_ELEMENTS (limit_values); j++)
    {
      limit_is_kept (8, 2, limit_values[j], 0.3);
      limit_is_kept (8, 2, limit_values[j], 1);
    }
}

/* Bytes from anybody ended the process, or limited a server for ever. */
static void
test_bad_datagrams (void)
{
  uint8_t bytes[200];

  loss = 0;
  fleet_start (1, 50);
  for (unsigned i = 0; i < 20000; i++)
    {
      size_t size = rng_below (&rng, sizeof bytes);

      for (size_t j = 0; j < size; j++)
        bytes[j] = (uint8_t)rng_next (&rng);
      if (size > 2)
        {
          bytes[0] = 0x0a;
          bytes[1] = (uint8_t)(size - 2);
        }
      limitshare_receive (&hosts[0].share, bytes, size);
    }
  run_for (10000);
  CU_ASSERT_TRUE (arrivals (0, now_ns () - 2 * NS_PER_S) > 0);
  fleet_finish ();
}

/* A host that had been suspended told of old responses as if they were new. */
static void
test_suspended_host_tells_nothing_old (void)
{
  uint8_t bytes[LIMITSHARE_BYTES_MAX];

  fleet_start (2, 0);
  servers_record_limit (&hosts[0].servers, server_at (0, 0), 2, now_ns (),
                        true);
  servers_record_brittle (&hosts[0].servers, server_at (0, 1), 3, now_ns (),
                          true);
  CU_ASSERT_TRUE (limitshare_encode (&hosts[0].share, bytes) > 0);
  fake_clock.suspended_ns += 10 * NS_PER_S;
  clock_fake_advance (&fake_clock, NS_PER_S);
  CU_ASSERT_EQUAL (limitshare_encode (&hosts[0].share, bytes), 0);
  clock_fake_advance (&fake_clock, 300 * NS_PER_MS);
  servers_record_brittle (&hosts[0].servers, server_at (0, 1), 3, now_ns (),
                          true);
  CU_ASSERT_TRUE (limitshare_encode (&hosts[0].share, bytes) > 0);
  fleet_finish ();
}

/* What was on its way, or waited at a host that stood still, while servers
 * stated something newer hid that. */
static void
test_late_datagrams_hide_nothing (void)
{
  uint8_t bytes[LIMITSHARE_BYTES_MAX];
  const struct server *limited, *brittle;
  size_t size;

  for (int suspended = 0; suspended <= 1; suspended++)
    {
      fleet_start (2, 0);
      limited = server_at (1, 0);
      brittle = server_at (1, 1);
      for (int ends = 0; ends <= 1; ends++)
        {
          clock_fake_advance (&fake_clock, NS_PER_S);
          servers_record_limit (&hosts[0].servers, server_at (0, 0),
                                ends ? -1 : 2, now_ns (), true);
          servers_record_brittle (&hosts[0].servers, server_at (0, 1),
                                  ends ? -1 : 3, now_ns (), true);
          size = limitshare_encode (&hosts[0].share, bytes);
          CU_ASSERT_TRUE (size > 0);
          if (!ends)
            limitshare_receive (&hosts[1].share, bytes, size);
        }
      clock_fake_advance (&fake_clock, 50 * NS_PER_MS);
      servers_record_limit (&hosts[1].servers, server_at (1, 0), 2, now_ns (),
                            true);
      servers_record_brittle (&hosts[1].servers, server_at (1, 1), 3,
                              now_ns (), true);
      clock_fake_advance (&fake_clock, 100 * NS_PER_MS);
      if (suspended)
        fake_clock.suspended_ns += 5 * NS_PER_S;
      else
        clock_fake_advance (&fake_clock, 500 * NS_PER_MS);
      limitshare_receive (&hosts[1].share, bytes, size);
      CU_ASSERT_TRUE (limited->limit.limited);
      CU_ASSERT_TRUE (brittle->brittle.brittle);
      fleet_finish ();
    }
}

/* Rejections were not told by a host with many brittle servers. */
static void
test_rejections_are_told_first (void)
{
  uint8_t bytes[LIMITSHARE_BYTES_MAX];
  struct server *rejects = NULL;
  size_t size;

  fleet_start (2, 0);
  for (unsigned i = 0; i < 400; i++)
    for (unsigned host = 0; host < 2; host++)
      {
        struct server_entry entry = { .slots = 4 };

        g_snprintf (entry.id, sizeof entry.id, "b%u", i);
        g_strlcpy (entry.service, "svc", sizeof entry.service);
        servers_update (&hosts[host].servers, &entry, 1);
      }
  for (unsigned i = 0; i < 400; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "b%u", i);
      rejects = servers_find (&hosts[0].servers, id);
      servers_record_brittle (&hosts[0].servers, rejects, 3, now_ns (), true);
    }
  for (unsigned i = 0; i < 400; i += 40)
    {
      char id[16];

      g_snprintf (id, sizeof id, "b%u", i);
      serverbrittle_record_rejection (
          &servers_find (&hosts[0].servers, id)->brittle, now_ns (), true);
    }
  size = limitshare_encode (&hosts[0].share, bytes);
  CU_ASSERT_TRUE (limitshare_receive (&hosts[1].share, bytes, size));
  for (unsigned i = 0; i < 400; i += 40)
    {
      char id[16];

      g_snprintf (id, sizeof id, "b%u", i);
      CU_ASSERT_TRUE (
          serverbrittle_hold_ns (
              &servers_find (&hosts[1].servers, id)->brittle, now_ns ())
          > 0);
    }
  fleet_finish ();
}

static const struct unit_case cases[] = {
  { "suspended-host-tells-nothing-old",
    test_suspended_host_tells_nothing_old },
  { "late-datagrams-hide-nothing", test_late_datagrams_hide_nothing },
  { "rejections-are-told-first", test_rejections_are_told_first },
  { "limit-over-all-hosts", test_limit_over_all_hosts },
  { "all-servers-limited", test_all_servers_limited },
  { "datagrams-lost", test_datagrams_lost },
  { "bad-datagrams", test_bad_datagrams },
};

int
main (void)
{
  return unit_run ("limitshare", cases, G_N_ELEMENTS (cases));
}
