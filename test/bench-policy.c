#include "fake-model.h"

#include <stdio.h>
#include <stdlib.h>

/* The policies side by side on the model of each fleet, at 0.5, 1 and 2 times
 * capacity: bench-policy [SEED]. */

static const struct fleet_model fleets[] = {
  { "trapani", 20, 150, { 800, 3000 }, { 40, 25, 25, 10 }, 3e-5, 1e-9 },
  { "pawtrace", 10, 100, { 400, 1500 }, { 15, 15, 50, 20 }, 1e-4, 1e-9 }
};

static int
double_order (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static void
print_times (GArray *times)
{
  static const double shares[] = { 0.5, 0.95, 0.99 };

  g_array_sort (times, double_order);
  for (int i = 0; i < 3; i++)
    printf (" %8.3f",
            g_array_index (times, double, (guint)(times->len * shares[i])));
}

static void
run (const struct fleet_model *fleet, double load, const char *policy,
     bool keep_all, uint64_t seed)
{
  struct model *m = g_new0 (struct model, 1);

  model_init (m, fleet, policy, keep_all, load, seed);
  model_run (m);
  printf ("%-8s %4.1f %-15s %-5s", fleet->name, load, policy,
          keep_all ? "all" : "value");
  print_times (m->times[0]);
  print_times (m->times[1]);
  printf (" %6u %6.1f %8.1f\n", m->times[0]->len + m->times[1]->len,
          100 * m->computed / m->tokens, m->link_bytes / 1e9);
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  static const char *const policies[]
      = { "cost", "round_robin", "least_loaded", "prefix_affinity" };
  static const double loads[] = { 0.5, 1, 2 };
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;

  printf ("seed %llu; seconds to first token, urgent then others; share"
          " recomputed in 100; link GB\n"
          "fleet    load policy          keep       p50      p95      p99"
          "      p50      p95      p99   done  recom     link\n",
          (unsigned long long)seed);
  for (int f = 0; f < 2; f++)
    for (int l = 0; l < 3; l++)
      for (int p = 0; p < 4; p++)
        for (int keep_all = 0; keep_all < 2; keep_all++)
          run (&fleets[f], loads[l], policies[p], keep_all, seed);
  return 0;
}
