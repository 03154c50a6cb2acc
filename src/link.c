#include "link.h"

#include <assert.h>
#include <math.h>

/** A longer time without a look at the link fills every bucket anyway. */
#define ELAPSED_MAX_S INT64_C (100000)
#define RECOVERY_HALF_NS (10 * NS_PER_S)
#define SPEED_WEIGHT 0.25
#define SPEED_MIN 0.01
#define SPEED_WHOLE 0.995
#define TRANSFER_MIN_NS NS_PER_MS
/** Time over which transfers are remembered. */
#define RESIDUAL_NS (5 * NS_PER_S)

enum
{
  PERCENT = 100
};

static int64_t
min_int64 (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

/* Whole bytes that came in during ELAPSED_NS; the fraction is kept. */
static int64_t
link_inflow (struct link *link, int64_t elapsed_ns)
{
  int64_t seconds = elapsed_ns / NS_PER_S;
  uint64_t part = (uint64_t)link->rate * (uint64_t)(elapsed_ns % NS_PER_S)
                  + (uint64_t)link->fraction;

  link->fraction = (int64_t)(part % NS_PER_S);
  return min_int64 (seconds, ELAPSED_MAX_S) * link->rate
         + (int64_t)(part / NS_PER_S);
}

static void
link_recover (struct link *link, int64_t elapsed_ns)
{
  if (link->speed >= 1.0)
    return;
  link->speed = 1.0
                - (1.0 - link->speed)
                      * exp2 (-(double)elapsed_ns / (double)RECOVERY_HALF_NS);
  if (link->speed > SPEED_WHOLE)
    link->speed = 1.0;
}

static void
link_set_speed (struct link *link, double speed)
{
  link->speed = speed;
  link->rate = (int64_t)((double)link->configured * speed);
  if (link->rate < 1)
    link->rate = 1;
}

/* Pour BYTES into the bucket of PRIORITY. Return what it can't hold. */
static int64_t
link_pour (struct link *link, enum link_priority priority, int64_t bytes)
{
  int64_t part = min_int64 (bytes, link->burst - link->level[priority]);

  link->level[priority] += part;
  return bytes - part;
}

/* The exports' part of BYTES; the fraction is kept. */
static int64_t
link_export_part (struct link *link, int64_t bytes)
{
  int64_t whole = bytes / PERCENT * link->export_percent;
  int64_t part
      = bytes % PERCENT * link->export_percent + link->export_fraction;

  link->export_fraction = part % PERCENT;
  return whole + part / PERCENT;
}

static void
link_remember (struct link *link, int64_t bytes)
{
  double span_ns = (double)bytes / (double)link->rate * (double)NS_PER_S;

  link->residual_ns += span_ns * span_ns / (2 * (double)RESIDUAL_NS);
}

static void
link_refresh (struct link *link)
{
  int64_t now = clock_now (link->clock);
  int64_t elapsed_ns = now - link->refreshed_ns;
  int64_t inflow;
  int64_t exports;

  if (elapsed_ns <= 0)
    return;
  inflow = link_pour (link, LINK_URGENT, link_inflow (link, elapsed_ns));
  link->refreshed_ns = now;
  link->residual_ns *= exp (-(double)elapsed_ns / (double)RESIDUAL_NS);
  exports = link_export_part (link, inflow);
  inflow = link_pour (link, LINK_IMPORT, inflow - exports);
  exports = link_pour (link, LINK_EXPORT, exports + inflow);
  link_pour (link, LINK_IMPORT, exports);
  if (link->speed < 1.0)
    {
      link_recover (link, elapsed_ns);
      link_set_speed (link, link->speed);
    }
}

/* Bytes of urgent imports that are taken and not yet paid. */
static int64_t
link_debt_above (const struct link *link, enum link_priority priority)
{
  int64_t debt = -link->level[LINK_URGENT];

  return priority != LINK_URGENT && debt > 0 ? debt : 0;
}

/* The part of the inflow that a bucket in debt gets. */
static double
link_share (const struct link *link, enum link_priority priority)
{
  double exports = (double)link->export_percent / PERCENT;

  if (priority == LINK_IMPORT && link->level[LINK_EXPORT] < link->burst)
    return 1 - exports;
  if (priority == LINK_EXPORT && link->level[LINK_IMPORT] < link->burst)
    return exports > 0 ? exports : 1;
  return 1;
}

/* Bytes that must come in before a transfer at PRIORITY begins. */
static double
link_backlog (const struct link *link, enum link_priority priority)
{
  double own = -(double)link->level[priority];

  if (own <= 0)
    return (double)link_debt_above (link, priority);
  if (priority == LINK_URGENT)
    return own;
  return own / link_share (link, priority)
         + (double)(link->burst - link->level[LINK_URGENT]);
}

static bool
link_covers (const struct link *link, enum link_priority priority,
             int64_t bytes)
{
  if (link_debt_above (link, priority) > 0)
    return false;
  return link->level[priority] >= bytes
         || link->level[priority] == link->burst;
}

void
link_init (struct link *link, const struct clock *clock, int64_t rate,
           int64_t burst, int64_t export_percent)
{
  assert (rate >= 1 && rate <= LINK_RATE_MAX && burst >= 0);
  assert (export_percent >= 0 && export_percent < PERCENT);
  link->clock = clock;
  link->configured = rate;
  link->rate = rate;
  link->burst = burst;
  for (int p = 0; p < LINK_PRIORITIES; p++)
    link->level[p] = burst;
  link->fraction = 0;
  link->export_percent = export_percent;
  link->export_fraction = 0;
  link->refreshed_ns = clock_now (clock);
  link->speed = 1.0;
  link->residual_ns = 0;
}

void
link_set_rate (struct link *link, int64_t rate)
{
  assert (rate >= 1 && rate <= LINK_RATE_MAX);
  link_refresh (link);
  link->configured = rate;
  link_set_speed (link, link->speed);
}

struct link_quote
link_quote (struct link *link, enum link_priority priority)
{
  struct link_quote quote;

  link_refresh (link);
  quote.ns_per_byte = (double)NS_PER_S / (double)link->rate;
  quote.backlog_ns = link_backlog (link, priority) * quote.ns_per_byte;
  return quote;
}

double
link_residual_ns (struct link *link)
{
  link_refresh (link);
  return link->residual_ns;
}

int64_t
link_wait (struct link *link, enum link_priority priority, int64_t bytes)
{
  struct link_quote quote = link_quote (link, priority);

  return (int64_t)ceil (quote.backlog_ns + (double)bytes * quote.ns_per_byte);
}

int64_t
link_take (struct link *link, enum link_priority priority, int64_t bytes)
{
  int64_t wait_ns = link_wait (link, priority, bytes);

  link->level[priority] -= bytes;
  link_remember (link, bytes);
  return wait_ns;
}

bool
link_try (struct link *link, enum link_priority priority, int64_t bytes)
{
  link_refresh (link);
  if (!link_covers (link, priority, bytes))
    return false;
  link->level[priority] -= bytes;
  link_remember (link, bytes);
  return true;
}

void
link_return (struct link *link, enum link_priority priority, int64_t bytes)
{
  link_refresh (link);
  link->level[priority]
      = min_int64 (link->level[priority] + bytes, link->burst);
}

void
link_observe (struct link *link, int64_t expected_ns, int64_t actual_ns)
{
  double seen;
  double speed;

  link_refresh (link);
  if (actual_ns < TRANSFER_MIN_NS || expected_ns <= 0)
    return;
  /* EXPECTED_NS was foreseen at the speed in force, not the configured one. */
  seen = link->speed * (double)expected_ns / (double)actual_ns;
  speed = link->speed + SPEED_WEIGHT * (seen - link->speed);
  link_set_speed (link, fmin (fmax (speed, SPEED_MIN), 1.0));
}
