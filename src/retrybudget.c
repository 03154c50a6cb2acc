#include "retrybudget.h"

#include <string.h>

/* Share of the budget that is used. The rest is a margin, because the window
 * moves by whole buckets instead of continuously, and because hosts may
 * briefly disagree on the number of hosts. */
static const double used_share = 0.7;

void
retrybudget_init (struct retrybudget *budget,
                  const struct retrybudget_settings *settings)
{
  memset (budget, 0, sizeof *budget);
  budget->settings = *settings;
}

static void
budget_slide (struct retrybudget *budget, int64_t now_ns)
{
  int64_t span = budget->settings.window_ns / RETRYBUDGET_BUCKETS;
  int64_t bucket = now_ns / span;

  if (bucket - budget->bucket > RETRYBUDGET_BUCKETS)
    budget->bucket = bucket - RETRYBUDGET_BUCKETS;
  while (budget->bucket < bucket)
    {
      budget->bucket++;
      memset (&budget->buckets[budget->bucket % RETRYBUDGET_BUCKETS], 0,
              sizeof budget->buckets[0]);
    }
}

void
retrybudget_count_request (struct retrybudget *budget, int64_t now_ns)
{
  budget_slide (budget, now_ns);
  budget->buckets[budget->bucket % RETRYBUDGET_BUCKETS].requests++;
}

double
retrybudget_left (struct retrybudget *budget, unsigned hosts, int64_t now_ns)
{
  double requests = 0;
  double retries = 0;

  budget_slide (budget, now_ns);
  for (unsigned i = 0; i < RETRYBUDGET_BUCKETS; i++)
    {
      requests += budget->buckets[i].requests;
      retries += budget->buckets[i].retries;
    }
  return used_share
             * (requests * budget->settings.request_share
                + budget->settings.allowance / hosts)
         - retries;
}

bool
retrybudget_acquire (struct retrybudget *budget, unsigned hosts,
                     int64_t now_ns)
{
  if (retrybudget_left (budget, hosts, now_ns) < 1)
    return false;
  budget->buckets[budget->bucket % RETRYBUDGET_BUCKETS].retries++;
  return true;
}
