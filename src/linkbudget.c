#include "linkbudget.h"

#include <assert.h>
#include <math.h>

/** Maximum time for which the inflow is computed; a longer time fills every
 * bucket anyway. */
#define INFLOW_SECONDS_MAX INT64_C (100000)
/** Time in which the link recovers half of the speed that it lost. */
#define RECOVERY_HALF_LIFE_NS (10 * NS_PER_S)
/** Weight of one transfer in the moving average of the speed. */
#define SPEED_WEIGHT 0.25
/** Minimum of the measured speed ratio. */
#define SPEED_MIN 0.01
/** Speed ratio above which the link counts as fully recovered. */
#define SPEED_FULL_MIN 0.995
/** Minimum duration of a transfer that is used to measure the speed. */
#define TRANSFER_MIN_NS NS_PER_MS
/** Time constant with which earlier transfers decay in the mean residual. */
#define RESIDUAL_WINDOW_NS (5 * NS_PER_S)

enum
{
  PERCENT = 100
};

static int64_t
min_int64 (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

/* Returns the whole bytes of inflow in ELAPSED_NS. The remainder is kept
 * for the next call. */
static int64_t
linkbudget_inflow (struct linkbudget *link, int64_t elapsed_ns)
{
  int64_t seconds = elapsed_ns / NS_PER_S;
  uint64_t part = (uint64_t)link->rate * (uint64_t)(elapsed_ns % NS_PER_S)
                  + (uint64_t)link->inflow_remainder;

  link->inflow_remainder = (int64_t)(part % NS_PER_S);
  return min_int64 (seconds, INFLOW_SECONDS_MAX) * link->rate
         + (int64_t)(part / NS_PER_S);
}

static void
linkbudget_recover (struct linkbudget *link, int64_t elapsed_ns)
{
  if (link->speed_ratio >= 1.0)
    return;
  link->speed_ratio
      = 1.0
        - (1.0 - link->speed_ratio)
              * exp2 (-(double)elapsed_ns / (double)RECOVERY_HALF_LIFE_NS);
  if (link->speed_ratio > SPEED_FULL_MIN)
    link->speed_ratio = 1.0;
}

static void
linkbudget_set_speed (struct linkbudget *link, double speed)
{
  link->speed_ratio = speed;
  link->rate = (int64_t)((double)link->configured_rate * speed);
  if (link->rate < 1)
    link->rate = 1;
}

/* Adds BYTES to the bucket of PRIORITY. Returns the bytes that exceed its
 * capacity. */
static int64_t
linkbudget_refill (struct linkbudget *link, enum linkbudget_priority priority,
                   int64_t bytes)
{
  int64_t part
      = min_int64 (bytes, link->burst_bytes - link->level_bytes[priority]);

  link->level_bytes[priority] += part;
  return bytes - part;
}

/* Returns the exports' share of BYTES. The remainder is kept for the next
 * call. */
static int64_t
linkbudget_export_bytes (struct linkbudget *link, int64_t bytes)
{
  int64_t whole = bytes / PERCENT * link->export_percent;
  int64_t part
      = bytes % PERCENT * link->export_percent + link->export_remainder;

  link->export_remainder = part % PERCENT;
  return whole + part / PERCENT;
}

static void
linkbudget_record_transfer (struct linkbudget *link, int64_t bytes)
{
  double span_ns = (double)bytes / (double)link->rate * (double)NS_PER_S;

  link->residual_ns += span_ns * span_ns / (2 * (double)RESIDUAL_WINDOW_NS);
}

static void
linkbudget_refresh (struct linkbudget *link)
{
  int64_t now = clock_now (link->clock);
  int64_t elapsed_ns = now - link->refreshed_ns;
  int64_t inflow;
  int64_t exports;

  if (elapsed_ns <= 0)
    return;
  inflow = linkbudget_refill (link, LINKBUDGET_URGENT,
                              linkbudget_inflow (link, elapsed_ns));
  link->refreshed_ns = now;
  link->residual_ns *= exp (-(double)elapsed_ns / (double)RESIDUAL_WINDOW_NS);
  exports = linkbudget_export_bytes (link, inflow);
  inflow = linkbudget_refill (link, LINKBUDGET_IMPORT, inflow - exports);
  exports = linkbudget_refill (link, LINKBUDGET_EXPORT, exports + inflow);
  linkbudget_refill (link, LINKBUDGET_IMPORT, exports);
  if (link->speed_ratio < 1.0)
    {
      linkbudget_recover (link, elapsed_ns);
      linkbudget_set_speed (link, link->speed_ratio);
    }
}

/* Returns the number of bytes of urgent imports that a transfer at PRIORITY
 * has to wait for. */
static int64_t
linkbudget_urgent_debt (const struct linkbudget *link,
                        enum linkbudget_priority priority)
{
  int64_t debt = -link->level_bytes[LINKBUDGET_URGENT];

  return priority != LINKBUDGET_URGENT && debt > 0 ? debt : 0;
}

/* Returns the share of the inflow that the bucket of PRIORITY gets while
 * its level is negative. */
static double
linkbudget_inflow_share (const struct linkbudget *link,
                         enum linkbudget_priority priority)
{
  double exports = (double)link->export_percent / PERCENT;

  if (priority == LINKBUDGET_IMPORT
      && link->level_bytes[LINKBUDGET_EXPORT] < link->burst_bytes)
    return 1 - exports;
  if (priority == LINKBUDGET_EXPORT
      && link->level_bytes[LINKBUDGET_IMPORT] < link->burst_bytes)
    return exports > 0 ? exports : 1;
  return 1;
}

/* Returns the number of bytes that have to flow in before a transfer at
 * PRIORITY can begin. */
static double
linkbudget_backlog_bytes (const struct linkbudget *link,
                          enum linkbudget_priority priority)
{
  double own = -(double)link->level_bytes[priority];

  if (own <= 0)
    return (double)linkbudget_urgent_debt (link, priority);
  if (priority == LINKBUDGET_URGENT)
    return own;
  return own / linkbudget_inflow_share (link, priority)
         + (double)(link->burst_bytes - link->level_bytes[LINKBUDGET_URGENT]);
}

static bool
linkbudget_covers (const struct linkbudget *link,
                   enum linkbudget_priority priority, int64_t bytes)
{
  if (linkbudget_urgent_debt (link, priority) > 0)
    return false;
  return link->level_bytes[priority] >= bytes
         || link->level_bytes[priority] == link->burst_bytes;
}

void
linkbudget_init (struct linkbudget *link, const struct clock *clock,
                 int64_t rate, int64_t burst, int64_t export_percent)
{
  assert (rate >= 1 && rate <= LINKBUDGET_RATE_MAX && burst >= 0);
  assert (export_percent >= 0 && export_percent < PERCENT);
  link->clock = clock;
  link->configured_rate = rate;
  link->rate = rate;
  link->burst_bytes = burst;
  for (int p = 0; p < LINKBUDGET_PRIORITY_COUNT; p++)
    link->level_bytes[p] = burst;
  link->inflow_remainder = 0;
  link->export_percent = export_percent;
  link->export_remainder = 0;
  link->refreshed_ns = clock_now (clock);
  link->speed_ratio = 1.0;
  link->residual_ns = 0;
}

void
linkbudget_set_rate (struct linkbudget *link, int64_t rate)
{
  assert (rate >= 1 && rate <= LINKBUDGET_RATE_MAX);
  linkbudget_refresh (link);
  link->configured_rate = rate;
  linkbudget_set_speed (link, link->speed_ratio);
}

struct linkbudget_estimate
linkbudget_estimate_duration (struct linkbudget *link,
                              enum linkbudget_priority priority)
{
  struct linkbudget_estimate estimate;

  linkbudget_refresh (link);
  estimate.ns_per_byte = (double)NS_PER_S / (double)link->rate;
  estimate.backlog_ns
      = linkbudget_backlog_bytes (link, priority) * estimate.ns_per_byte;
  return estimate;
}

double
linkbudget_residual_ns (struct linkbudget *link)
{
  linkbudget_refresh (link);
  return link->residual_ns;
}

int64_t
linkbudget_wait_ns (struct linkbudget *link, enum linkbudget_priority priority,
                    int64_t bytes)
{
  struct linkbudget_estimate estimate
      = linkbudget_estimate_duration (link, priority);

  return (int64_t)ceil (estimate.backlog_ns
                        + (double)bytes * estimate.ns_per_byte);
}

int64_t
linkbudget_take (struct linkbudget *link, enum linkbudget_priority priority,
                 int64_t bytes)
{
  int64_t wait_ns = linkbudget_wait_ns (link, priority, bytes);

  link->level_bytes[priority] -= bytes;
  linkbudget_record_transfer (link, bytes);
  return wait_ns;
}

bool
linkbudget_try_take (struct linkbudget *link,
                     enum linkbudget_priority priority, int64_t bytes)
{
  linkbudget_refresh (link);
  if (!linkbudget_covers (link, priority, bytes))
    return false;
  link->level_bytes[priority] -= bytes;
  linkbudget_record_transfer (link, bytes);
  return true;
}

void
linkbudget_refund (struct linkbudget *link, enum linkbudget_priority priority,
                   int64_t bytes)
{
  linkbudget_refresh (link);
  link->level_bytes[priority]
      = min_int64 (link->level_bytes[priority] + bytes, link->burst_bytes);
}

void
linkbudget_record_duration (struct linkbudget *link, int64_t expected_ns,
                            int64_t actual_ns)
{
  double measured;
  double speed;

  linkbudget_refresh (link);
  if (actual_ns < TRANSFER_MIN_NS || expected_ns <= 0)
    return;
  /* EXPECTED_NS was computed with the current speed, not the configured
   * rate. */
  measured = link->speed_ratio * (double)expected_ns / (double)actual_ns;
  speed = link->speed_ratio + SPEED_WEIGHT * (measured - link->speed_ratio);
  linkbudget_set_speed (link, fmin (fmax (speed, SPEED_MIN), 1.0));
}
