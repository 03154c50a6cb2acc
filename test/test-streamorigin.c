#include "address.h"
#include "rng.h"
#include "softwarespan.h"
#include "streamorigin.h"
#include "streamorigin.pb-c.h"
#include "unit.h"

#include <string.h>

/* A fleet of hosts whose datagrams are delivered in memory. */

enum
{
  HOSTS = 8,
  MESSAGES_MAX = 4096,
  SERVICE = 9
};

struct host
{
  unsigned index;
  bool alive;
  bool cut_off; /* No datagram from or to the host arrives. */
  uint64_t only_software;
  bool sees_several; /* It sees several softwares of the service now. */
  struct presence presence;
  struct streamorigin origin;
};

struct message
{
  unsigned from;
  unsigned to;
  size_t size;
  uint8_t bytes[STREAMORIGIN_BYTES_MAX];
};

static struct clock_fake fake_clock;
static struct rng rng;
static struct host hosts[HOSTS];
static struct message messages[MESSAGES_MAX];
static unsigned message_count;
static double loss;

static struct streamorigin_query query;
static uint64_t found;
static bool ended;

static void
fleet_send (void *data, const struct sockaddr_in *to, const uint8_t *bytes,
            size_t size)
{
  const struct host *from = data;
  struct message *message = &messages[message_count];

  if (message_count == MESSAGES_MAX || rng_uniform (&rng) < loss)
    return;
  message->from = from->index;
  message->to = (unsigned)ntohs (to->sin_port) - 1;
  message->size = size;
  memcpy (message->bytes, bytes, size);
  message_count++;
}

static uint64_t
fleet_only_software (void *data, uint64_t service)
{
  return service == SERVICE ? ((const struct host *)data)->only_software : 0;
}

static bool
fleet_sees_only (void *data, uint64_t service, uint64_t software)
{
  return !((const struct host *)data)->sees_several;
}

static bool
fleet_sees_other (void *data, uint64_t service, uint64_t software)
{
  return ((const struct host *)data)->sees_several;
}

static const struct streamorigin_ops fleet_ops
    = { fleet_send, fleet_only_software, fleet_sees_only, fleet_sees_other };

static void
host_address (unsigned index, char *text, size_t size)
{
  g_snprintf (text, size, "127.0.0.1:%u", index + 1);
}

static void
host_start (unsigned index)
{
  struct host *host = &hosts[index];

  memset (host, 0, sizeof *host);
  host->index = index;
  host->alive = true;
  host->presence.hosts
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  for (unsigned i = 0; i < HOSTS; i++)
    {
      struct presence_host *other;

      if (i == index)
        continue;
      other = g_new0 (struct presence_host, 1);
      host_address (i, other->peer, sizeof other->peer);
      g_hash_table_insert (host->presence.hosts, GUINT_TO_POINTER (i + 1),
                           other);
    }
  streamorigin_init (&host->origin, &fake_clock.clock, &host->presence,
                     &fleet_ops, host);
}

static void
host_kill (unsigned index)
{
  streamorigin_finish (&hosts[index].origin);
  g_hash_table_destroy (hosts[index].presence.hosts);
  hosts[index].alive = false;
}

static void
fleet_start (void)
{
  clock_fake_init (&fake_clock, 100 * NS_PER_S);
  rng_init (&rng, 1);
  message_count = 0;
  loss = 0;
  for (unsigned i = 0; i < HOSTS; i++)
    host_start (i);
}

static void
fleet_finish (void)
{
  for (unsigned i = 0; i < HOSTS; i++)
    if (hosts[i].alive)
      host_kill (i);
}

static void
fleet_deliver (void)
{
  for (unsigned i = 0; i < message_count; i++)
    {
      const struct message *message = &messages[i];
      struct sockaddr_in from;
      char text[32];

      host_address (message->from, text, sizeof text);
      CU_ASSERT_EQUAL (address_parse (text, &from), STATUS_OK);
      if (hosts[message->to].alive && !hosts[message->to].cut_off
          && !hosts[message->from].cut_off)
        CU_ASSERT_TRUE (streamorigin_receive (
            &hosts[message->to].origin, &from, message->bytes, message->size));
    }
  message_count = 0;
}

static void
query_done (struct streamorigin_query *done_query, uint64_t software)
{
  CU_ASSERT_FALSE (ended);
  ended = true;
  found = software;
}

/* What the host at INDEX learns about STREAM. */
static uint64_t
software_found (unsigned index, uint64_t stream)
{
  uint64_t local = streamorigin_find (&hosts[index].origin, stream);

  if (local != 0)
    return local;
  ended = false;
  streamorigin_query (&hosts[index].origin, &query, stream, SERVICE,
                      query_done);
  for (unsigned i = 0; i < 20 && !ended; i++)
    {
      fleet_deliver ();
      clock_fake_advance (&fake_clock, 20 * NS_PER_MS);
      if (!ended)
        streamorigin_tick (&hosts[index].origin);
    }
  CU_ASSERT_TRUE (ended);
  return found;
}

static unsigned
living_host (void)
{
  unsigned index;

  do
    index = (unsigned)rng_below (&rng, HOSTS);
  while (!hosts[index].alive);
  return index;
}

/* A caller that came back after its host was killed found no host that knew
 * its stream. */
static void
test_streams_of_killed_hosts (void)
{
  unsigned known = 0;
  unsigned asked = 0;

  for (unsigned round = 0; round < 200; round++)
    {
      unsigned first;

      fleet_start ();
      rng_init (&rng, round);
      loss = 0.05;
      first = living_host ();
      for (uint64_t stream = 1; stream <= 5; stream++)
        streamorigin_record (&hosts[first].origin, stream, 100 + stream);
      fleet_deliver ();
      host_kill (first);
      for (unsigned i = 0; i < HOSTS / 2 - 1; i++)
        host_kill (living_host ());
      /* One of them is back, without its records. */
      host_start (first);
      for (uint64_t stream = 1; stream <= 5; stream++)
        {
          uint64_t software = software_found (living_host (), stream);

          asked++;
          if (software == 0)
            continue;
          known++;
          CU_ASSERT_EQUAL (software, 100 + stream);
        }
      fleet_finish ();
    }
  printf ("# half of the hosts killed: %u of %u streams known\n", known,
          asked);
  CU_ASSERT_TRUE (known * 2 > asked);
}

/* A host that was cut off took an old view of the servers for the software of
 * a stream. */
static void
test_cut_off_host_knows_nothing (void)
{
  fleet_start ();
  hosts[3].only_software = 7;
  hosts[3].cut_off = true;
  CU_ASSERT_EQUAL (software_found (3, 1), 0);
  hosts[3].cut_off = false;
  CU_ASSERT_EQUAL (software_found (3, 1), 7);
  fleet_finish ();
}

/* A host that has just started knows the only software of a service from
 * others, but a record goes before that. */
static void
test_only_software (void)
{
  fleet_start ();
  for (unsigned i = 1; i < HOSTS; i++)
    hosts[i].only_software = 7;
  CU_ASSERT_EQUAL (software_found (0, 1), 7);
  CU_ASSERT_EQUAL (software_found (0, 0), 7);
  streamorigin_record (&hosts[5].origin, 2, 8);
  fleet_deliver ();
  CU_ASSERT_EQUAL (software_found (0, 2), 8);
  fleet_finish ();
}

/* Another host's view of one software outweighed this host's view of several.
 */
static void
test_several_softwares_in_own_view (void)
{
  fleet_start ();
  for (unsigned i = 1; i < HOSTS; i++)
    hosts[i].only_software = 7;
  hosts[0].sees_several = true;
  CU_ASSERT_EQUAL (software_found (0, 1), 0);
  hosts[0].sees_several = false;
  CU_ASSERT_EQUAL (software_found (0, 1), 7);
  fleet_finish ();
}

/* After all hosts were killed, streams went on with any software. */
static void
test_all_hosts_killed (void)
{
  fleet_start ();
  streamorigin_record (&hosts[0].origin, 1, 8);
  fleet_deliver ();
  for (unsigned i = 0; i < HOSTS; i++)
    host_kill (i);
  for (unsigned i = 0; i < HOSTS; i++)
    host_start (i);
  for (unsigned i = 0; i < HOSTS; i++)
    CU_ASSERT_EQUAL (software_found (i, 1), 0);
  fleet_finish ();
}

/* A host that was cut off or stood still while engines of other software
 * joined took its old view for the software of a stream whose record was lost.
 */
static void
test_out_of_step_host (void)
{
  fleet_start ();
  hosts[3].only_software = 7;
  for (unsigned i = 0; i < HOSTS; i++)
    hosts[i].sees_several = i != 3;
  CU_ASSERT_EQUAL (software_found (3, 1), 0);
  loss = 0.3;
  CU_ASSERT_EQUAL (software_found (3, 2), 0);
  for (unsigned i = 0; i < HOSTS; i++)
    hosts[i].sees_several = false;
  CU_ASSERT_EQUAL (software_found (3, 3), 7);
  fleet_finish ();
}

/* A host that was not asked gave the reply to a query. */
static void
test_reply_of_a_host_not_asked (void)
{
  Trefoilspar__StreamOrigin reply = TREFOILSPAR__STREAM_ORIGIN__INIT;
  uint8_t bytes[STREAMORIGIN_BYTES_MAX];
  struct sockaddr_in from;

  fleet_start ();
  ended = false;
  streamorigin_query (&hosts[0].origin, &query, 1, SERVICE, query_done);
  reply.kind = TREFOILSPAR__STREAM_ORIGIN_KIND__REPLY;
  reply.stream = 1;
  reply.software = 66;
  reply.number = query.number;
  CU_ASSERT_EQUAL (address_parse ("127.0.0.1:999", &from), STATUS_OK);
  streamorigin_receive (&hosts[0].origin, &from, bytes,
                        trefoilspar__stream_origin__pack (&reply, bytes));
  CU_ASSERT_FALSE (ended);
  CU_ASSERT_EQUAL (streamorigin_find (&hosts[0].origin, 1), 0);
  streamorigin_cancel (&query);
  message_count = 0;
  fleet_finish ();
}

/* Bad datagrams changed what a host knows. */
static void
test_bad_datagrams (void)
{
  struct sockaddr_in from;
  uint8_t bytes[STREAMORIGIN_BYTES_MAX];

  fleet_start ();
  CU_ASSERT_EQUAL (address_parse ("127.0.0.1:2", &from), STATUS_OK);
  CU_ASSERT_FALSE (streamorigin_receive (&hosts[0].origin, &from,
                                         (const uint8_t *)"\x11\x01", 2));
  for (unsigned round = 0; round < 20000; round++)
    {
      size_t size = rng_below (&rng, sizeof bytes);

      for (size_t i = 0; i < size; i++)
        bytes[i] = (uint8_t)rng_below (&rng, 256);
      streamorigin_receive (&hosts[0].origin, &from, bytes, size);
      message_count = 0;
    }
  /* A record is never replaced by another one. */
  streamorigin_record (&hosts[0].origin, 4, 5);
  streamorigin_record (&hosts[0].origin, 4, 6);
  CU_ASSERT_EQUAL (streamorigin_find (&hosts[0].origin, 4), 5);
  fleet_finish ();
}

/* Records of old streams filled the memory. */
static void
test_records_are_bounded (void)
{
  const uint64_t records = STREAMORIGIN_RECORDS_MAX + 100;

  fleet_start ();
  for (uint64_t stream = 1; stream <= records; stream++)
    {
      streamorigin_record (&hosts[0].origin, stream, 1);
      message_count = 0;
    }
  CU_ASSERT_EQUAL (g_hash_table_size (hosts[0].origin.records),
                   STREAMORIGIN_RECORDS_MAX);
  clock_fake_advance (&fake_clock, 120 * NS_PER_S);
  streamorigin_tick (&hosts[0].origin);
  CU_ASSERT_EQUAL (g_hash_table_size (hosts[0].origin.records), 0);
  fleet_finish ();
}

/* A service whose software has just changed counted as one that always had
 * it. */
static void
test_span_of_software (void)
{
  struct softwarespan span;

  clock_fake_init (&fake_clock, NS_PER_S);
  softwarespan_init (&span, &fake_clock.clock);
  CU_ASSERT_EQUAL (softwarespan_only (&span, SERVICE, 0), 0);
  softwarespan_set (&span, SERVICE, 7);
  CU_ASSERT_EQUAL (softwarespan_only (&span, SERVICE, NS_PER_S), 0);
  clock_fake_advance (&fake_clock, NS_PER_S);
  softwarespan_set (&span, SERVICE, 7);
  CU_ASSERT_EQUAL (softwarespan_only (&span, SERVICE, NS_PER_S), 7);
  softwarespan_set (&span, SERVICE, 0);
  softwarespan_set (&span, SERVICE, 7);
  CU_ASSERT_EQUAL (softwarespan_only (&span, SERVICE, NS_PER_S), 0);
  softwarespan_finish (&span);
}

static const struct unit_case cases[] = {
  { "streams-of-killed-hosts", test_streams_of_killed_hosts },
  { "cut-off-host-knows-nothing", test_cut_off_host_knows_nothing },
  { "only-software", test_only_software },
  { "several-softwares-in-own-view", test_several_softwares_in_own_view },
  { "all-hosts-killed", test_all_hosts_killed },
  { "out-of-step-host", test_out_of_step_host },
  { "reply-of-a-host-not-asked", test_reply_of_a_host_not_asked },
  { "bad-datagrams", test_bad_datagrams },
  { "records-are-bounded", test_records_are_bounded },
  { "span-of-software", test_span_of_software },
};

int
main (void)
{
  return unit_run ("streamorigin", cases, G_N_ELEMENTS (cases));
}
