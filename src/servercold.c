#include "servercold.h"
#include "clock.h"

#include <math.h>
#include <string.h>

enum
{
  /* Maximum number of sends whose times are kept, and thus the maximum share
   * of one host. */
  SENDS_MAX = 512
};

void
servercold_init (struct servercold *cold, const struct servercold_host *host)
{
  memset (cold, 0, sizeof *cold);
  cold->host = host;
}

void
servercold_finish (struct servercold *cold)
{
  if (cold->sends != NULL)
    g_array_free (cold->sends, TRUE);
  cold->sends = NULL;
}

void
servercold_configure (struct servercold *cold, double per_s, int64_t span_ns)
{
  cold->per_s = per_s;
  cold->span_ns = span_ns;
}

void
servercold_set_position (struct servercold *cold, unsigned host_count,
                         unsigned rank)
{
  cold->host_count = host_count;
  cold->rank = rank;
}

void
servercold_record (struct servercold *cold, int64_t left_ns, int64_t as_of_ns,
                   enum servercold_cause cause, int64_t now_ns)
{
  int64_t until_ns = left_ns > 0 ? now_ns + left_ns : 0;

  if (as_of_ns < cold->assumed_ns)
    {
      if (until_ns <= cold->until_ns)
        return;
    }
  else
    cold->lost = false;
  cold->until_ns = until_ns;
  cold->cause = cause;
}

void
servercold_assume (struct servercold *cold, enum servercold_cause cause,
                   int64_t now_ns)
{
  cold->assumed_ns = now_ns;
  if (now_ns + cold->span_ns <= cold->until_ns)
    return;
  cold->until_ns = now_ns + cold->span_ns;
  cold->cause = cause;
}

void
servercold_lost (struct servercold *cold, int64_t now_ns)
{
  if (cold->lost)
    return;
  cold->lost = true;
  cold->assumed_ns = now_ns;
  cold->cause = SERVERCOLD_RETURN;
}

void
servercold_reached (struct servercold *cold, int64_t now_ns)
{
  if (!cold->lost)
    return;
  cold->lost = false;
  servercold_assume (cold, SERVERCOLD_RETURN, now_ns);
}

/* Whether this host was suspended and has not run its periodic work since. */
static bool
host_is_late (const struct servercold_host *host, int64_t now_ns)
{
  return host->tick_ns != 0
         && now_ns - host->tick_ns >= SERVERCOLD_SUSPENDED_MS * NS_PER_MS;
}

bool
servercold_is_cold (const struct servercold *cold, int64_t now_ns)
{
  return cold->per_s > 0
         && (cold->lost || now_ns < cold->until_ns
             || host_is_late (cold->host, now_ns));
}

/* Return the greatest number of requests that is below the bound, or 1 if the
 * bound allows no more than that. */
static unsigned
room (const struct servercold *cold)
{
  double bound = cold->per_s * cold->host->overage + cold->host->tolerance;

  if (bound < 1)
    return 0;
  return (unsigned)CLAMP (ceil (bound) - 1, 1, (double)UINT32_MAX / 2);
}

unsigned
servercold_share (const struct servercold *cold, int64_t now_ns)
{
  const struct servercold_host *host = cold->host;
  /* Hosts that have left are taken to come before this one. With so many
   * servers each host that holds room holds one unit if there is too little
   * for all, which keeps parts from growing when hosts join. */
  unsigned hosts = cold->host_count + host->departed;
  const struct roomshare_position position
      = { hosts, cold->rank + host->departed, 2 * hosts };

  if (cold->host_count == 0 || host_is_late (host, now_ns)
      || host->listed_ns == 0 || now_ns - host->listed_ns < host->join_ns)
    return 0;
  return MIN (roomshare_part (&position, room (cold)), (unsigned)SENDS_MAX);
}

int64_t
servercold_wait_ns (const struct servercold *cold, int64_t now_ns)
{
  unsigned share = servercold_share (cold, now_ns);
  unsigned sent = cold->sends != NULL ? cold->sends->len : 0;

  if (share == 0)
    return CLOCK_NEVER;
  if (sent < share)
    return 0;
  return MAX (g_array_index (cold->sends, int64_t, sent - share)
                  + cold->host->window_ns - now_ns,
              0);
}

bool
servercold_allows (const struct servercold *cold, int64_t now_ns)
{
  return !servercold_is_cold (cold, now_ns)
         || servercold_wait_ns (cold, now_ns) == 0;
}

double
servercold_own_rate (const struct servercold *cold, int64_t now_ns)
{
  return (double)servercold_share (cold, now_ns) * NS_PER_S
         / (double)cold->host->window_ns;
}

static void
sends_prune (struct servercold *cold, int64_t now_ns)
{
  GArray *sends = cold->sends;
  guint old = sends->len >= SENDS_MAX ? sends->len - SENDS_MAX + 1 : 0;

  while (old < sends->len
         && g_array_index (sends, int64_t, old) + cold->host->window_ns
                <= now_ns)
    old++;
  if (old > 0)
    g_array_remove_range (sends, 0, old);
}

void
servercold_take (struct servercold *cold, int64_t now_ns)
{
  if (cold->per_s <= 0)
    return;
  if (cold->sends == NULL)
    cold->sends = g_array_new (FALSE, FALSE, sizeof (int64_t));
  sends_prune (cold, now_ns);
  g_array_append_val (cold->sends, now_ns);
}

bool
servercold_note (struct servercold *cold, int64_t now_ns)
{
  bool is_cold = servercold_is_cold (cold, now_ns);
  bool changed = is_cold != cold->noted;

  cold->noted = is_cold;
  return changed;
}

GArray *
servercold_take_sends (struct servercold *cold, int64_t now_ns)
{
  GArray *sends = cold->sends;

  if (sends == NULL)
    return NULL;
  sends_prune (cold, now_ns);
  if (sends->len == 0)
    return NULL;
  cold->sends = NULL;
  return sends;
}

void
servercold_restore_sends (struct servercold *cold, GArray *sends)
{
  servercold_finish (cold);
  cold->sends = sends;
}

const char *
servercold_cause_name (const struct servercold *cold, int64_t now_ns)
{
  static const char *const names[] = {
    [SERVERCOLD_WARM] = "-",
    [SERVERCOLD_ENTRY] = "entry",
    [SERVERCOLD_RESPONSE] = "response",
    [SERVERCOLD_RETURN] = "return",
    [SERVERCOLD_SUSPENSION] = "suspension",
    [SERVERCOLD_EVACUATION] = "evacuation",
  };

  if (!servercold_is_cold (cold, now_ns))
    return names[SERVERCOLD_WARM];
  return host_is_late (cold->host, now_ns) ? names[SERVERCOLD_SUSPENSION]
                                           : names[cold->cause];
}
