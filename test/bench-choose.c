#include "choose.h"

#include <stdio.h>
#include <stdlib.h>

/* Time of one choice with 300 servers of a service, 20 of them in the subset
 * of this host, with and without varying speeds: bench-choose [CHOICES]. */

enum
{
  SERVERS = 300,
  SUBSET = 20,
  WARM_UP = 1000
};

static void
on_changed (void *data, const struct server *server, const char *change)
{
}

static const struct servers_ops servers_ops = { on_changed, NULL };

static int
double_order (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;

  return (x > y) - (x < y);
}

static void
servers_fill (struct servers *servers, bool varies, int64_t now)
{
  for (unsigned i = 0; i < SERVERS; i++)
    {
      struct server_entry entry = { .service = "llm", .slots = 64 };
      struct server *server;

      g_snprintf (entry.id, sizeof entry.id, "e%u", i);
      servers_update (servers, &entry, 1);
      server = servers_find (servers, entry.id);
      server->in_other_subset = i >= SUBSET;
      server->kv_capacity_tokens = 100000;
      server->in_flight_requests = i % 7;
      server->pending_prefill_tokens = UINT64_C (1000) * (i % 5);
      if (varies)
        serverspeed_record (&server->speed, 1 + i % 3, now, true);
    }
}

static void
measure (bool varies, unsigned count)
{
  struct clock clock;
  struct servers servers;
  struct rng rng;
  struct call call = { .prompt_tokens = 12000, .block_count = 6 };
  struct choose_query query
      = { .service = "llm", .model = "m", .call = &call };
  double *times = g_new (double, count);

  clock_system_init (&clock);
  rng_init (&rng, 1);
  servers_init (&servers, NULL, &clock, "dc", NS_PER_S, &servers_ops, NULL);
  servers_fill (&servers, varies, clock_now (&clock));
  for (unsigned i = 0; i < call.block_count; i++)
    call.blocks[i].tokens = 2000;
  for (unsigned i = 0; i < count + WARM_UP; i++)
    {
      struct choose_result result;
      int64_t began_ns;

      for (unsigned j = 0; j < call.block_count; j++)
        call.blocks[j].id = rng_next (&rng);
      began_ns = clock_now (&clock);
      choose_server (&servers, &choose_settings_default, &query, &rng,
                     &result);
      if (i >= WARM_UP)
        times[i - WARM_UP]
            = (double)(clock_now (&clock) - began_ns) / NS_PER_US;
    }
  qsort (times, count, sizeof *times, double_order);
  printf ("%-8s median %.2f us, p99 %.2f us\n", varies ? "varying" : "even",
          times[count / 2], times[count * 99 / 100]);
  g_free (times);
  servers_finish (&servers);
}

int
main (int argc, char **argv)
{
  unsigned count = argc > 1 ? (unsigned)atoi (argv[1]) : 20000;

  if (count == 0)
    return 2;
  measure (false, count);
  measure (true, count);
  return 0;
}
