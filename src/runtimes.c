#include "runtimes.h"

#include <math.h>

enum
{
  /* Sizes of requests, by powers of two of their tokens. */
  SIZES = 24
};

/* Weights of a new run in the mean and in the mean deviation, and the number
 * of deviations beyond the mean that most runs stay under: those of the
 * retransmission timer of TCP (RFC 6298). */
static const double mean_gain = 1.0 / 8;
static const double deviation_gain = 1.0 / 4;
static const double deviations = 4;

/* Times in ns of the runs of one size; 0 if there was none. */
struct runtime
{
  double mean;
  double deviation;
};

/* Times of the runs of one route, by their size. */
struct route_runtimes
{
  struct runtime sizes[SIZES];
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

static unsigned
size_of_tokens (unsigned tokens)
{
  return MIN (g_bit_storage (tokens), SIZES - 1);
}

static struct route_runtimes *
route_obtain (struct runtimes *runtimes, const char *route)
{
  struct route_runtimes *found
      = g_hash_table_lookup (runtimes->by_route, route);

  if (found != NULL)
    return found;
  if (g_hash_table_size (runtimes->by_route) >= RUNTIMES_ROUTES_MAX)
    g_hash_table_remove_all (runtimes->by_route);
  found = g_new0 (struct route_runtimes, 1);
  g_hash_table_insert (runtimes->by_route, g_strdup (route), found);
  return found;
}

void
runtimes_record (struct runtimes *runtimes, const char *route, unsigned tokens,
                 int64_t span_ns)
{
  struct runtime *runtime
      = &route_obtain (runtimes, route)->sizes[size_of_tokens (tokens)];
  double span = (double)MAX (span_ns, 1);

  if (runtime->mean > 0)
    {
      runtime->deviation
          += deviation_gain
             * (fabs (span - runtime->mean) - runtime->deviation);
      runtime->mean += mean_gain * (span - runtime->mean);
      return;
    }
  runtime->mean = span;
  runtime->deviation = span / 2;
}

static double
most_runs_ns (const struct runtime *runtime)
{
  return runtime->mean + deviations * runtime->deviation;
}

int64_t
runtimes_expect (const struct runtimes *runtimes, const char *route,
                 unsigned tokens, int64_t unknown_ns)
{
  const struct route_runtimes *found
      = g_hash_table_lookup (runtimes->by_route, route);
  unsigned size = size_of_tokens (tokens);

  if (found == NULL)
    return unknown_ns;
  for (unsigned larger = size; larger < SIZES; larger++)
    if (found->sizes[larger].mean > 0)
      return (int64_t)most_runs_ns (&found->sizes[larger]);
  for (unsigned smaller = size; smaller-- > 0;)
    if (found->sizes[smaller].mean > 0)
      return (int64_t)ldexp (most_runs_ns (&found->sizes[smaller]),
                             (int)(size - smaller));
  return unknown_ns;
}
