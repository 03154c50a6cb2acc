#include "serverlimit.h"
#include "clock.h"

#include <glib.h>
#include <math.h>
#include <string.h>

enum
{
  /* Number of hosts among which a limit of 0 is divided, and by how many it
   * rises with each request per second. Each may have saved a request up, and
   * these may come at once. */
  SHARING_HOSTS_MIN = 3,
  SHARING_HOSTS_PER_RATE = 2,
  /* Least age of the last response from which the other hosts ask whether the
   * limit still holds: the hosts that send to the server may have ended, or
   * what they tell is lost. */
  STALE_MS = 3000,
  /* Time between two requests of all hosts that ask. */
  ASK_INTERVAL_MS = 2000
};

/* The least number of requests per second that is sent to a limited server, to
 * learn when its limit ends. */
static const double rate_min = 0.25;
/* Requests that a host may save up, in seconds of its rate, besides one. */
static const double saved_s = 0.25;
/* Age of the last response from which it is stale, in times between two
 * requests. */
static const double stale_requests = 1.5;

void
serverlimit_init (struct serverlimit *limit)
{
  memset (limit, 0, sizeof *limit);
  limit->host_count = 1;
}

void
serverlimit_set_hosts (struct serverlimit *limit, unsigned host_count,
                       unsigned rank)
{
  limit->host_count = MAX (host_count, 1U);
  limit->rank = rank;
}

static double
fleet_rate (const struct serverlimit *limit)
{
  return MAX (limit->per_s, rate_min);
}

/* Return the number of hosts among which the limit is divided. */
static double
sharing_hosts (const struct serverlimit *limit)
{
  return MIN (
      floor (SHARING_HOSTS_MIN + SHARING_HOSTS_PER_RATE * limit->per_s),
      limit->host_count);
}

static bool
is_stale (const struct serverlimit *limit, int64_t now_ns)
{
  double age_s = (double)(now_ns - limit->stated_ns) / NS_PER_S;

  return age_s >= STALE_MS / 1000.0
         && age_s >= stale_requests / fleet_rate (limit);
}

double
serverlimit_own_rate (const struct serverlimit *limit, int64_t now_ns)
{
  if (limit->rank < sharing_hosts (limit))
    return fleet_rate (limit) / sharing_hosts (limit);
  return is_stale (limit, now_ns)
             ? 1000.0 / ASK_INTERVAL_MS / limit->host_count
             : 0;
}

static double
tokens_at (const struct serverlimit *limit, int64_t now_ns)
{
  double seconds = (double)MAX (now_ns - limit->tokens_ns, 0) / NS_PER_S;
  double rate = serverlimit_own_rate (limit, now_ns);

  return MIN (limit->tokens + seconds * rate, 1 + saved_s * rate);
}

static void
tokens_update (struct serverlimit *limit, int64_t now_ns)
{
  limit->tokens = tokens_at (limit, now_ns);
  limit->tokens_ns = MAX (limit->tokens_ns, now_ns);
}

/* The hosts begin one after the other, also those that ask. */
static void
tokens_start (struct serverlimit *limit, int64_t now_ns)
{
  double hosts = sharing_hosts (limit);

  if (limit->rank >= hosts)
    hosts = limit->host_count;
  limit->tokens = MAX (1 - (limit->rank + 1) / hosts, 0);
  limit->tokens_ns = now_ns;
}

bool
serverlimit_record (struct serverlimit *limit, double per_s, int64_t stated_ns,
                    bool here)
{
  bool limited = per_s >= 0;
  bool changed = limited != limit->limited;

  if (here)
    limit->heard_ns = stated_ns;
  if (stated_ns < limit->stated_ns)
    return false;
  if (limited && !changed && limit->per_s != per_s)
    tokens_update (limit, stated_ns);
  limit->stated_ns = stated_ns;
  limit->limited = limited;
  if (limited)
    limit->per_s = per_s;
  if (!changed)
    return false;
  limit->since_ns = stated_ns;
  if (limited)
    tokens_start (limit, stated_ns);
  return true;
}

int64_t
serverlimit_wait_ns (const struct serverlimit *limit, int64_t now_ns)
{
  double rate = serverlimit_own_rate (limit, now_ns);
  double missing = MAX (1 - tokens_at (limit, now_ns), 0);

  return rate > 0 ? (int64_t)(missing / rate * NS_PER_S) : CLOCK_NEVER;
}

bool
serverlimit_allows (const struct serverlimit *limit, int64_t now_ns)
{
  return !limit->limited || tokens_at (limit, now_ns) >= 1;
}

void
serverlimit_take (struct serverlimit *limit, int64_t now_ns)
{
  if (!limit->limited)
    return;
  tokens_update (limit, now_ns);
  limit->tokens--;
}
