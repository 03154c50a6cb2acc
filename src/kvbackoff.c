#include "kvbackoff.h"

#include <glib.h>

enum
{
  /* Number of calls in a row that lose their replies from which on the service
   * counts as down. */
  LOST_REPLIES_MAX = 3
};

void
kvbackoff_init (struct kvbackoff *backoff,
                const struct kvbackoff_settings *settings,
                const struct clock *clock, struct rng *rng)
{
  *backoff = (struct kvbackoff){
    .settings = *settings,
    .clock = clock,
    .rng = rng,
  };
}

static void
backoff_extend (struct kvbackoff *backoff)
{
  int64_t now = clock_now (backoff->clock);
  int64_t mean = backoff->settings.min_ns;

  for (unsigned i = 0; i < backoff->failures; i++)
    mean = MIN (mean * 2, backoff->settings.max_ns);
  backoff->failures++;
  backoff->start_ns = now;
  /* The jitter of 0.5 to 1.5 times the mean keeps processes that failed at
   * the same time from retrying at the same time. */
  backoff->end_ns
      = now + mean / 2 + (int64_t)((double)mean * rng_uniform (backoff->rng));
}

/* @return true if there was a backoff */
static bool
backoff_end (struct kvbackoff *backoff)
{
  int64_t now = clock_now (backoff->clock);
  bool was_active = backoff->failures > 0;

  if (backoff->last_reply_ns != 0
      && now - backoff->last_reply_ns >= backoff->settings.outage_min_ns)
    backoff->outage_end_ns = now;
  backoff->last_reply_ns = now;
  backoff->failures = 0;
  backoff->is_lost = false;
  return was_active;
}

static bool *
probe_flag (struct kvbackoff *backoff, bool urgent)
{
  return urgent ? &backoff->urgent_probe_in_flight : &backoff->probe_in_flight;
}

void
kvbackoff_note_probe (struct kvbackoff *backoff, bool urgent)
{
  *probe_flag (backoff, urgent) = true;
}

bool
kvbackoff_record (struct kvbackoff *backoff,
                  const struct kvbackoff_result *result)
{
  enum status status = result->status;
  bool failed = status == STATUS_UNAVAILABLE || status == STATUS_LIMITED
                || status == STATUS_TIMEOUT;

  if (result->was_probe)
    *probe_flag (backoff, result->was_urgent) = false;
  if (status == STATUS_CANCELLED)
    return false;
  backoff->lost_replies
      = status == STATUS_UNKNOWN ? backoff->lost_replies + 1 : 0;
  failed = failed || backoff->lost_replies >= LOST_REPLIES_MAX;
  if (!failed && status != STATUS_UNKNOWN)
    return backoff_end (backoff);
  if (result->was_probe || (failed && result->sent_ns >= backoff->start_ns))
    {
      backoff->is_lost = backoff->is_lost || status != STATUS_LIMITED;
      backoff_extend (backoff);
    }
  return false;
}

bool
kvbackoff_is_active (const struct kvbackoff *backoff)
{
  return backoff->failures > 0;
}

bool
kvbackoff_allows_call (const struct kvbackoff *backoff, bool urgent)
{
  return !kvbackoff_is_active (backoff)
         || (!(urgent ? backoff->urgent_probe_in_flight
                      : backoff->probe_in_flight)
             && clock_now (backoff->clock) >= backoff->end_ns);
}
