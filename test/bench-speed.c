#include "fake-speedfleet.h"

#include <stdio.h>
#include <stdlib.h>

/* Times to the first event at engines of varying speed, without the figure,
 * with it, and with several values of near_ms: bench-speed [SEEDS [LATE_MS]].
 */

static void
print_run (const struct speedfleet_settings *settings, const char *name,
           unsigned seeds)
{
  struct speedfleet_result result;

  speedfleet_run (settings, seeds, &result);
  printf ("%4.2f %-16s %7.1f %7.1f %7.1f %6.3f %6.3f %5.1f\n", settings->load,
          name, result.median_ms, result.p90_ms, result.p99_ms,
          result.slow_sent, result.remote_sent, result.herd);
  fflush (stdout);
}

/* Services that state no slowness: two engines stay slow, or all prefill
 * faster than the settings say. */
static void
print_measured (struct speedfleet_settings settings, const char *name,
                unsigned seeds)
{
  struct speedfleet_result result;

  settings.states = false;
  settings.change_ms = 0;
  for (int varies = 0; varies < 2; varies++)
    {
      settings.varies = varies;
      speedfleet_run (&settings, seeds, &result);
      printf ("%4.2f %-12s %-3s %7.1f %7.1f %7.1f %6.3f; factor of the "
              "prefill %.2f, of the first engine %.2f\n",
              settings.load, name, varies ? "yes" : "no", result.median_ms,
              result.p90_ms, result.p99_ms, result.slow_sent,
              result.prefill_factor, result.factor_first);
    }
}

int
main (int argc, char **argv)
{
  static const double loads[] = { 0.5, 0.8, 0.9, 0.95 };
  static const double spreads[] = { 0, 100, 200, 300, 400, 1e9 };
  unsigned seeds = argc > 1 ? (unsigned)atoi (argv[1]) : 3;

  printf (
      "load run              median     p90     p99   slow remote  herd\n");
  for (unsigned i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      struct speedfleet_settings settings = speedfleet_default;
      char name[32];

      settings.load = loads[i];
      settings.near_ms = 0;
      settings.late_ms = argc > 2 ? atoi (argv[2]) : 150;
      settings.states = false;
      print_run (&settings, "without", seeds);
      settings.varies = true;
      settings.near_ms = speedfleet_default.near_ms;
      print_run (&settings, "spread only", seeds);
      settings.states = true;
      for (unsigned j = 0; j < G_N_ELEMENTS (spreads); j++)
        {
          settings.near_ms = spreads[j];
          g_snprintf (name, sizeof name, "near %.0f", spreads[j]);
          print_run (&settings, name, seeds);
        }
    }
  printf ("load run        measured median     p90     p99   slow\n");
  for (unsigned i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      struct speedfleet_settings settings = speedfleet_default;

      settings.load = loads[i];
      print_measured (settings, "two slow", seeds);
      settings.slowness = 1;
      settings.real_rate = 112;
      print_measured (settings, "112 per ms", seeds);
    }
  return 0;
}
