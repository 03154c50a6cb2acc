#include "runtimes.h"

#include <math.h>

/* Weights of a new run in the mean and in the mean deviation, and the number
 * of deviations beyond the mean that most runs stay under: those of the
 * retransmission timer of TCP (RFC 6298). */
static const double mean_gain = 1.0 / 8;
static const double deviation_gain = 1.0 / 4;
static const double deviations = 4;

/* Times in ns for each token that a run may generate, and one more. */
struct runtime
{
  double mean;
  double deviation;
};

void
runtimes_init (struct runtimes *runtimes)
{
  runtimes->by_route
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
runtimes_finish (struct runtimes *runtimes)
{
  g_hash_table_destroy (runtimes->by_route);
}

void
runtimes_record (struct runtimes *runtimes, const char *route, unsigned tokens,
                 int64_t span_ns)
{
  struct runtime *runtime = g_hash_table_lookup (runtimes->by_route, route);
  double each_ns = (double)span_ns / (1.0 + tokens);

  if (runtime != NULL)
    {
      runtime->deviation
          += deviation_gain
             * (fabs (each_ns - runtime->mean) - runtime->deviation);
      runtime->mean += mean_gain * (each_ns - runtime->mean);
      return;
    }
  if (g_hash_table_size (runtimes->by_route) >= RUNTIMES_ROUTES_MAX)
    g_hash_table_remove_all (runtimes->by_route);
  runtime = g_new (struct runtime, 1);
  runtime->mean = each_ns;
  runtime->deviation = each_ns / 2;
  g_hash_table_insert (runtimes->by_route, g_strdup (route), runtime);
}

int64_t
runtimes_expect (const struct runtimes *runtimes, const char *route,
                 unsigned tokens, int64_t unknown_ns)
{
  const struct runtime *runtime
      = g_hash_table_lookup (runtimes->by_route, route);

  if (runtime == NULL)
    return unknown_ns;
  return (int64_t)((runtime->mean + deviations * runtime->deviation)
                   * (1.0 + tokens));
}
