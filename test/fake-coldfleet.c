#include "fake-coldfleet.h"
#include "choose.h"
#include "fake-brittlehost.h"

#include <stdlib.h>
#include <string.h>

enum
{
  SERVERS = 60,
  SLOTS = 4,
  TOKENS = 10000,
  WORK_MS = 200,
  STEP_MS = 5,
  STEPS_MAX = 256, /* Steps ahead of now that an event may be due in. */
  TICK_MS = 20,
  PLAY_MS = 14000,
  FIRST_CRASH_MS = 4000, /* Hosts know each other by then. */
  CRASH_PERIOD_MS = 3500,
  CRASHES = 3,
  DOWN_MS = 900,
  COLD_MS = 3000,
  READ_MS = 400, /* Longest pause of a host between reads of the registry. */
  TTL_MS = 1000, /* brittle_host_start gives hosts leases of a second. */
  RENEW_MS = 300,
  LINK_MS = 12, /* Longest time from a send to the arrival. */
  FAULT_MS = 2500,
  FAULT_PERIOD_MS = 700
};

static const double load = 0.9;
static const double burst = 1.7;

enum fault
{
  FAULT_NONE,
  FAULT_KILLED,
  FAULT_CUT,
  FAULT_SUSPENDED
};

/* A change of the registry: of a server if ID is set, else of a host. */
struct change
{
  unsigned index;
  unsigned starts; /* 0: the host's record was removed. */
  bool is_server;
};

struct fake_host
{
  enum fault fault;
  int64_t fault_end_ns;
  guint read;      /* Changes of the registry that the host has read. */
  int64_t read_ns; /* Time of the next read. */
  int64_t renew_ns;
  bool listed; /* Whether its record is in the registry. */
};

struct fake_server
{
  unsigned starts;
  bool down;
  int64_t back_ns;
  int64_t cold_until_ns;
  unsigned in_flight;
  GArray *arrivals; /* Times of what arrived while it was cold. */
};

/* A request on its way, or one that runs. */
struct flight
{
  struct list node;
  unsigned host, host_starts, index, starts;
  struct server *server;
  bool runs;
};

static struct clock_fake fake_clock;
static struct rng rng;
static struct brittle_play fleet;
static struct coldfleet_play play;
static struct coldfleet_result *counts;
static struct fake_host hosts[BRITTLE_HOSTS_MAX];
static unsigned host_starts[BRITTLE_HOSTS_MAX];
static struct fake_server servers[SERVERS];
static struct list due[STEPS_MAX];
static int64_t step;
static GArray *changes;

static int64_t
now_ns (void)
{
  return clock_now (&fake_clock.clock);
}

static int64_t
ms_ns (double ms)
{
  return (int64_t)(ms * NS_PER_MS);
}

static void
change_add (unsigned index, unsigned starts, bool is_server)
{
  struct change change = { index, starts, is_server };

  g_array_append_val (changes, change);
}

static void
server_id (char *id, size_t size, unsigned index, unsigned starts)
{
  g_snprintf (id, size, "s%u-%u", index, starts);
}

/* HOST reads the entry of the server at INDEX. */
static void
server_read (struct brittle_host *host, unsigned index, unsigned starts)
{
  const struct fake_server *fake = &servers[index];
  struct server_entry entry
      = { .slots = SLOTS, .started_ms = starts, .heartbeat = 1 };
  struct server *server;
  char old[SERVER_NAME_MAX];

  server_id (old, sizeof old, index, starts - 1);
  servers_remove (&host->servers, old, "gone");
  server_id (entry.id, sizeof entry.id, index, starts);
  g_strlcpy (entry.service, "svc", sizeof entry.service);
  g_strlcpy (entry.address, "127.0.0.1:1", sizeof entry.address);
  g_strlcpy (entry.data_centre, "dc", sizeof entry.data_centre);
  if (starts > 1)
    {
      entry.cold = STATEMENT_VALID;
      entry.cold_left_ns = MAX (fake->cold_until_ns - now_ns (), 0);
    }
  servers_update (&host->servers, &entry, 1);
  server = servers_find (&host->servers, entry.id);
  server->kv_capacity_tokens = (uint64_t)TOKENS * (SLOTS + 1);
  servers_configure_cold (&host->servers, server, 12, ms_ns (COLD_MS));
}

static void
host_list (unsigned index)
{
  struct presence *presence = &brittle_hosts[index].presence;

  presence->lease = presence->listed_lease = 1;
  presence->lease_expiry_ns = now_ns () + ms_ns (TTL_MS);
  presence->listed_ns = now_ns ();
  hosts[index].listed = true;
  hosts[index].renew_ns = now_ns () + ms_ns (RENEW_MS);
  change_add (index, 1, false);
}

static void
host_start (unsigned index)
{
  struct brittle_host *host = &brittle_hosts[index];

  brittle_host_start (index, &fleet, &fake_clock.clock);
  servers_set_cold_bound (&host->servers, 1.5, 5);
  host->servers.cold.window_ns = ms_ns (1250);
  for (unsigned i = 0; i < SERVERS; i++)
    server_read (host, i, servers[i].starts);
  host->down = false;
  host_starts[index]++;
  host_list (index);
  hosts[index].read = changes->len;
}

static bool
host_works (unsigned index)
{
  return hosts[index].fault != FAULT_KILLED
         && hosts[index].fault != FAULT_SUSPENDED;
}

static void
host_read (unsigned index)
{
  struct fake_host *fake = &hosts[index];

  if (fake->fault != FAULT_NONE || now_ns () < fake->read_ns)
    return;
  fake->read_ns = now_ns () + ms_ns (rng_uniform (&rng) * READ_MS);
  for (; fake->read < changes->len; fake->read++)
    {
      const struct change *change
          = &g_array_index (changes, struct change, fake->read);

      if (change->is_server)
        {
          if (change->starts == servers[change->index].starts)
            server_read (&brittle_hosts[index], change->index, change->starts);
        }
      else if (change->index != index)
        brittle_host_tell_one (&brittle_hosts[index], change->index,
                               change->starts > 0);
    }
}

/* The registry keeps a record for the lifetime of its lease. */
static void
host_renew (unsigned index)
{
  struct fake_host *fake = &hosts[index];
  struct presence *presence = &brittle_hosts[index].presence;

  if (fake->fault != FAULT_NONE)
    {
      if (fake->listed
          && now_ns () >= fake->renew_ns - ms_ns (RENEW_MS) + ms_ns (TTL_MS))
        {
          fake->listed = false;
          change_add (index, 0, false);
        }
      return;
    }
  if (now_ns () < fake->renew_ns)
    return;
  if (!fake->listed)
    host_list (index);
  fake->renew_ns = now_ns () + ms_ns (RENEW_MS);
  presence->lease_expiry_ns = now_ns () + ms_ns (TTL_MS);
}

static void
host_fault (unsigned index, enum fault fault)
{
  struct fake_host *fake = &hosts[index];

  if (fake->fault != FAULT_NONE)
    return;
  fake->fault = fault;
  fake->fault_end_ns = now_ns () + ms_ns (rng_uniform (&rng) * FAULT_MS);
  if (fault != FAULT_KILLED)
    return;
  brittle_host_finish (index);
  brittle_hosts[index].down = true;
}

static void
faults_step (int64_t ms)
{
  unsigned index = (unsigned)rng_below (&rng, play.hosts);

  for (unsigned i = 0; i < play.hosts; i++)
    if (hosts[i].fault != FAULT_NONE && now_ns () >= hosts[i].fault_end_ns)
      {
        if (hosts[i].fault == FAULT_KILLED)
          host_start (i);
        hosts[i].fault = FAULT_NONE;
        /* What a suspended host sends first, it sends before it has read or
         * renewed anything. */
        hosts[i].read_ns = now_ns () + ms_ns (rng_uniform (&rng) * READ_MS);
      }
  if (ms % FAULT_PERIOD_MS != 0)
    return;
  if (play.kills && rng_below (&rng, 3) == 0)
    host_fault (index, FAULT_KILLED);
  else if (play.cuts && rng_below (&rng, 2) == 0)
    host_fault (index, FAULT_CUT);
  else if (play.suspends)
    host_fault (index, FAULT_SUSPENDED);
}

static void
flight_set_due (struct flight *flight, double ms)
{
  int64_t steps = (int64_t)MAX (ms / STEP_MS, 1);

  list_append (&due[(step + steps) % STEPS_MAX], &flight->node);
}

static void
flight_end (struct flight *flight)
{
  struct brittle_host *host = &brittle_hosts[flight->host];
  struct fake_server *fake = &servers[flight->index];

  if (flight->runs && fake->starts == flight->starts)
    fake->in_flight--;
  if (!host->down && host_starts[flight->host] == flight->host_starts)
    {
      flight->server->in_flight_requests--;
      flight->server->in_flight_tokens -= TOKENS;
      if (!flight->runs && fake->starts != flight->starts)
        servers_remove (&host->servers, flight->server->entry.id,
                        "other_at_address");
      else if (!flight->runs)
        server_record_connection_failure (&host->servers, flight->server);
      else
        server_record_reached (&host->servers, flight->server, false);
    }
  server_unref (flight->server);
  g_free (flight);
}

/* A later start at the address answers with 421 what was sent to an earlier
 * one. */
static void
flight_arrive (struct flight *flight)
{
  struct fake_server *fake = &servers[flight->index];
  int64_t now = now_ns ();

  if (fake->down || fake->starts != flight->starts)
    {
      flight_end (flight);
      return;
    }
  if (now < fake->cold_until_ns)
    {
      g_array_append_val (fake->arrivals, now);
      counts->to_cold++;
    }
  else
    counts->to_warm++;
  flight->runs = true;
  fake->in_flight++;
  flight_set_due (flight, WORK_MS * (0.5 + rng_uniform (&rng)));
}

static void
flights_step (void)
{
  struct list *head = &due[++step % STEPS_MAX];

  while (!list_empty (head))
    {
      struct flight *flight = LIST_ENTRY (head->next, struct flight, node);

      list_remove (&flight->node);
      if (flight->runs)
        flight_end (flight);
      else
        flight_arrive (flight);
    }
}

static void
request_send (unsigned index)
{
  struct brittle_host *host = &brittle_hosts[index];
  struct call call = { .model = "m",
                       .prompt_tokens = TOKENS,
                       .block_count = 1,
                       .blocks = { { rng_next (&rng), TOKENS } } };
  struct choose_query query
      = { .service = "svc", .model = "m", .call = &call };
  struct choose_result result;
  struct flight *flight;
  char id[SERVER_NAME_MAX];

  /* What other hosts report of their requests. */
  for (unsigned i = 0; i < SERVERS; i++)
    {
      struct server *server;

      server_id (id, sizeof id, i, servers[i].starts);
      server = servers_find (&host->servers, id);
      if (server != NULL)
        server->other_hosts_memory_tokens
            = (uint64_t)TOKENS
              * (servers[i].in_flight
                 - MIN (servers[i].in_flight, server->in_flight_requests));
    }
  choose_server (&host->servers, &choose_settings_default, &query, &rng,
                 &result);
  if (result.server == NULL)
    {
      counts->refused++;
      return;
    }
  servercold_take (&result.server->cold, now_ns ());
  result.server->in_flight_requests++;
  result.server->in_flight_tokens += TOKENS;
  flight = g_new0 (struct flight, 1);
  flight->host = index;
  flight->host_starts = host_starts[index];
  sscanf (result.server->entry.id, "s%u-%u", &flight->index, &flight->starts);
  flight->server = server_ref (result.server);
  list_init (&flight->node);
  flight_set_due (flight, rng_uniform (&rng) * LINK_MS);
}

static void
servers_step (int64_t ms)
{
  int64_t since_ms = ms - FIRST_CRASH_MS;
  unsigned first = (unsigned)rng_below (&rng, SERVERS);
  bool is_crash = since_ms >= 0 && since_ms % CRASH_PERIOD_MS == 0
                  && since_ms < (int64_t)CRASHES * CRASH_PERIOD_MS;

  for (unsigned i = 0; is_crash && i < SERVERS / 3; i++)
    {
      struct fake_server *fake = &servers[(first + i) % SERVERS];

      fake->down = true;
      fake->back_ns = now_ns () + ms_ns (DOWN_MS);
    }
  for (unsigned i = 0; i < SERVERS; i++)
    if (servers[i].down && now_ns () >= servers[i].back_ns)
      {
        servers[i].down = false;
        servers[i].in_flight = 0;
        servers[i].cold_until_ns = now_ns () + ms_ns (COLD_MS);
        change_add (i, ++servers[i].starts, true);
      }
}

static void
hosts_step (int64_t ms)
{
  for (unsigned i = 0; i < play.hosts; i++)
    {
      host_renew (i);
      if (!host_works (i))
        continue;
      host_read (i);
      if ((ms + (int64_t)i * STEP_MS) % TICK_MS < STEP_MS)
        subsets_tick (&brittle_hosts[i].subsets);
    }
}

static void
requests_arrive (int64_t ms)
{
  double per_s = load * SERVERS * SLOTS * 1000 / WORK_MS;
  double expected
      = per_s * (ms >= FIRST_CRASH_MS ? burst : 1) * STEP_MS / 1000;

  for (; expected > 0; expected--)
    {
      unsigned index = (unsigned)rng_below (&rng, play.hosts);

      if (rng_uniform (&rng) < expected && host_works (index))
        request_send (index);
    }
}

static void
arrivals_count (const GArray *arrivals)
{
  for (guint i = 0, end = 0; i < arrivals->len; i++)
    {
      while (end < arrivals->len
             && g_array_index (arrivals, int64_t, end)
                    < g_array_index (arrivals, int64_t, i) + NS_PER_S)
        end++;
      counts->most = MAX (counts->most, end - i);
      counts->seconds_over += end - i > COLDFLEET_BOUND;
    }
}

static void
fleet_start (void)
{
  clock_fake_init (&fake_clock, 100 * NS_PER_S);
  rng_init (&rng, play.seed);
  step = 0;
  changes = g_array_new (FALSE, FALSE, sizeof (struct change));
  memset (hosts, 0, sizeof hosts);
  memset (servers, 0, sizeof servers);
  fleet = (struct brittle_play){ .hosts = play.hosts };
  for (unsigned i = 0; i < STEPS_MAX; i++)
    list_init (&due[i]);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      servers[i].starts = 1;
      servers[i].arrivals = g_array_new (FALSE, FALSE, sizeof (int64_t));
    }
  for (unsigned i = 0; i < play.hosts; i++)
    brittle_hosts[i].down = true;
  for (unsigned i = 0; i < play.hosts; i++)
    host_start (i);
}

static void
fleet_finish (void)
{
  for (unsigned i = 0; i < STEPS_MAX; i++)
    while (!list_empty (&due[i]))
      {
        struct flight *flight = LIST_ENTRY (due[i].next, struct flight, node);

        list_remove (&flight->node);
        flight_end (flight);
      }
  for (unsigned i = 0; i < play.hosts; i++)
    if (!brittle_hosts[i].down)
      brittle_host_finish (i);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      arrivals_count (servers[i].arrivals);
      g_array_free (servers[i].arrivals, TRUE);
    }
  g_array_free (changes, TRUE);
}

void
coldfleet_play (const struct coldfleet_play *played,
                struct coldfleet_result *result)
{
  play = *played;
  counts = result;
  memset (result, 0, sizeof *result);
  fleet_start ();
  for (int64_t ms = 0; ms < PLAY_MS; ms += STEP_MS)
    {
      clock_fake_advance (&fake_clock, STEP_MS * NS_PER_MS);
      servers_step (ms);
      faults_step (ms);
      flights_step ();
      hosts_step (ms);
      requests_arrive (ms);
    }
  fleet_finish ();
}
