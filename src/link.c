#include "link.h"

#include <assert.h>
#include <math.h>

/** The inflow is computed for at most this time: a longer one fills every
 * bucket anyway. */
#define INFLOW_SECONDS_MAX INT64_C (100000)
#define RECOVERY_HALF_NS (10 * NS_PER_S)
/** Weight of one transfer in the moving average of the speed. */
#define SPEED_WEIGHT 0.25
#define SPEED_MIN 0.01
/** From this speed on, the link counts as fully recovered. */
#define SPEED_FULL_MIN 0.995
/** Shorter transfers are not used to measure the speed. */
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

/* Whole bytes of inflow in ELAPSED_NS. The remainder is kept for the next
 * call. */
static int64_t
linkbudget_inflow (struct link *link, int64_t elapsed_ns)
{
  int64_t seconds = elapsed_ns / NS_PER_S;
  uint64_t part = (uint64_t)link->rate * (uint64_t)(elapsed_ns % NS_PER_S)
                  + (uint64_t)link->fraction;

  link->fraction = (int64_t)(part % NS_PER_S);
  return min_int64 (seconds, INFLOW_SECONDS_MAX) * link->rate
         + (int64_t)(part / NS_PER_S);
}

static void
linkbudget_recover (struct link *link, int64_t elapsed_ns)
{
  if (link->speed >= 1.0)
    return;
  link->speed = 1.0
                - (1.0 - link->speed)
                      * exp2 (-(double)elapsed_ns / (double)RECOVERY_HALF_NS);
  if (link->speed > SPEED_FULL_MIN)
    link->speed = 1.0;
}

static void
linkbudget_set_speed (struct link *link, double speed)
{
  link->speed = speed;
  link->rate = (int64_t)((double)link->configured * speed);
  if (link->rate < 1)
    link->rate = 1;
}

/* Adds BYTES to the bucket of PRIORITY. Returns the bytes that exceed its
 * capacity. */
static int64_t
linkbudget_refill (struct link *link, enum link_priority priority,
                   int64_t bytes)
{
  int64_t part = min_int64 (bytes, link->burst - link->level[priority]);

  link->level[priority] += part;
  return bytes - part;
}

/* The exports' share of BYTES. The remainder is kept for the next call. */
static int64_t
linkbudget_export_bytes (struct link *link, int64_t bytes)
{
  int64_t whole = bytes / PERCENT * link->export_percent;
  int64_t part
      = bytes % PERCENT * link->export_percent + link->export_fraction;

  link->export_fraction = part % PERCENT;
  return whole + part / PERCENT;
}

static void
linkbudget_record_transfer (struct link *link, int64_t bytes)
{
  double span_ns = (double)bytes / (double)link->rate * (double)NS_PER_S;

  link->residual_ns += span_ns * span_ns / (2 * (double)RESIDUAL_WINDOW_NS);
}

static void
linkbudget_refresh (struct link *link)
{
  int64_t now = clock_now (link->clock);
  int64_t elapsed_ns = now - link->refreshed_ns;
  int64_t inflow;
  int64_t exports;

  if (elapsed_ns <= 0)
    return;
  inflow = linkbudget_refill (link, LINK_URGENT,
                              linkbudget_inflow (link, elapsed_ns));
  link->refreshed_ns = now;
  link->residual_ns *= exp (-(double)elapsed_ns / (double)RESIDUAL_WINDOW_NS);
  exports = linkbudget_export_bytes (link, inflow);
  inflow = linkbudget_refill (link, LINK_IMPORT, inflow - exports);
  exports = linkbudget_refill (link, LINK_EXPORT, exports + inflow);
  linkbudget_refill (link, LINK_IMPORT, exports);
  if (link->speed < 1.0)
    {
      linkbudget_recover (link, elapsed_ns);
      linkbudget_set_speed (link, link->speed);
    }
}

/* Bytes of urgent imports that a transfer at PRIORITY has to wait for. */
static int64_t
linkbudget_urgent_debt (const struct link *link, enum link_priority priority)
{
  int64_t debt = -link->level[LINK_URGENT];

  return priority != LINK_URGENT && debt > 0 ? debt : 0;
}

/* Share of the inflow that the bucket of PRIORITY gets while its level is
 * negative. */
static double
linkbudget_inflow_share (const struct link *link, enum link_priority priority)
{
  double exports = (double)link->export_percent / PERCENT;

  if (priority == LINK_IMPORT && link->level[LINK_EXPORT] < link->burst)
    return 1 - exports;
  if (priority == LINK_EXPORT && link->level[LINK_IMPORT] < link->burst)
    return exports > 0 ? exports : 1;
  return 1;
}

/* Bytes of inflow before a transfer at PRIORITY can begin. */
static double
linkbudget_backlog_bytes (const struct link *link, enum link_priority priority)
{
  double own = -(double)link->level[priority];

  if (own <= 0)
    return (double)linkbudget_urgent_debt (link, priority);
  if (priority == LINK_URGENT)
    return own;
  return own / linkbudget_inflow_share (link, priority)
         + (double)(link->burst - link->level[LINK_URGENT]);
}

static bool
linkbudget_covers (const struct link *link, enum link_priority priority,
                   int64_t bytes)
{
  if (linkbudget_urgent_debt (link, priority) > 0)
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
  linkbudget_refresh (link);
  link->configured = rate;
  linkbudget_set_speed (link, link->speed);
}

struct link_quote
link_quote (struct link *link, enum link_priority priority)
{
  struct link_quote quote;

  linkbudget_refresh (link);
  quote.ns_per_byte = (double)NS_PER_S / (double)link->rate;
  quote.backlog_ns
      = linkbudget_backlog_bytes (link, priority) * quote.ns_per_byte;
  return quote;
}

double
link_residual_ns (struct link *link)
{
  linkbudget_refresh (link);
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
  linkbudget_record_transfer (link, bytes);
  return wait_ns;
}

bool
link_try (struct link *link, enum link_priority priority, int64_t bytes)
{
  linkbudget_refresh (link);
  if (!linkbudget_covers (link, priority, bytes))
    return false;
  link->level[priority] -= bytes;
  linkbudget_record_transfer (link, bytes);
  return true;
}

void
link_return (struct link *link, enum link_priority priority, int64_t bytes)
{
  linkbudget_refresh (link);
  link->level[priority]
      = min_int64 (link->level[priority] + bytes, link->burst);
}

void
link_observe (struct link *link, int64_t expected_ns, int64_t actual_ns)
{
  double seen;
  double speed;

  linkbudget_refresh (link);
  if (actual_ns < TRANSFER_MIN_NS || expected_ns <= 0)
    return;
  /* EXPECTED_NS was computed with the current speed, not the configured
   * rate. */
  seen = link->speed * (double)expected_ns / (double)actual_ns;
  speed = link->speed + SPEED_WEIGHT * (seen - link->speed);
  linkbudget_set_speed (link, fmin (fmax (speed, SPEED_MIN), 1.0));
}
