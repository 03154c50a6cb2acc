#include "serverspeed.h"
#include "clock.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* The weight of a stated figure halves in this time. Servers change their
 * speed about every 600 ms. */
static const double stated_half_life_ms = 400;
/* The same for the average that decides what is logged. It is much longer than
 * a change lasts, so that only servers that stay slow are logged. */
static const double mean_half_life_ms = 2000;
/* The measured factor of a server falls back to 1 with this half-life, since a
 * server that is taken to be slow gets few requests that could show that it is
 * not. */
static const double measured_half_life_ms = 30000;
/* Weight of the newest measurement in the averages of a server and of its
 * service. With the bound below, one late response moves a factor by 15 in 100
 * at most. */
static const double measured_gain = 0.2;
static const double typical_gain = 0.05;
/* Weight of a measurement in the average for the prefill rate. Work of other
 * hosts that this host does not know yet makes responses late, never early, so
 * that a plain average would rise with the load: at 0.9 of the capacity it was
 * three times too high. Measurements below the average therefore weigh more,
 * and it never exceeds what the settings say. */
static const double prefill_gain_down = 0.1;
static const double prefill_gain_up = 0.01;
static const double deviation_max = 0.693; /* a factor of 2 */
/* Shortest estimate from which the prefill rate is learned; in shorter ones
 * the network and this host's own delays prevail. */
static const double prefill_expected_min_ms = 25;
/* Bounds of the factors. */
static const double measured_factor_min = 0.5;
static const double measured_factor_max = 4;
static const double prefill_factor_min = 0.25;
static const double prefill_factor_max = 1;
/* Slowness from which a server is reported as slow, and below which it no
 * longer is. */
static const double slow_from = 1.5;
static const double slow_until = 1.2;

enum
{
  /* Shorter suspensions make no difference to the age of a figure. */
  SUSPENSION_MIN_MS = 50
};

void
serverspeed_service_init (struct serverspeed_service *service, int64_t now_ns,
                          int64_t boottime_ns)
{
  memset (service, 0, sizeof *service);
  service->prefill_factor = 1;
  service->suspended_ns = boottime_ns - now_ns;
}

void
serverspeed_init (struct serverspeed *speed,
                  struct serverspeed_service *service)
{
  memset (speed, 0, sizeof *speed);
  speed->service = service;
  speed->mean = 1;
}

void
serverspeed_service_note_time (struct serverspeed_service *service,
                               int64_t now_ns, int64_t boottime_ns)
{
  int64_t suspended_ns = boottime_ns - now_ns;

  if (suspended_ns - service->suspended_ns > SUSPENSION_MIN_MS * NS_PER_MS)
    service->resumed_ns = now_ns;
  service->suspended_ns = suspended_ns;
}

bool
serverspeed_varies (const struct serverspeed *speed)
{
  return speed->service != NULL
         && (speed->service->states_slowness || speed->service->has_cold_rate);
}

static double
half_life_weight (int64_t age_ns, double half_life_ms)
{
  return exp2 (-(double)MAX (age_ns, 0) / (half_life_ms * NS_PER_MS));
}

/* Return the measured factor of the server, whatever it states. */
static double
measured_factor (const struct serverspeed *speed, int64_t now_ns)
{
  return exp (
      speed->measured_log
      * half_life_weight (now_ns - speed->measured_ns, measured_half_life_ms));
}

static bool
is_slow_update (struct serverspeed *speed, double slowness)
{
  bool was_slow = speed->is_slow;

  speed->is_slow = slowness >= (was_slow ? slow_until : slow_from);
  return speed->is_slow != was_slow;
}

bool
serverspeed_record (struct serverspeed *speed, double slowness,
                    int64_t stated_ns, bool here)
{
  if (speed->service == NULL)
    return false;
  speed->service->states_slowness = true;
  if (stated_ns < speed->service->resumed_ns || stated_ns <= speed->stated_ns)
    return false;
  if (speed->stated_ns > 0)
    speed->mean += (slowness - speed->mean)
                   * (1
                      - half_life_weight (stated_ns - speed->stated_ns,
                                          mean_half_life_ms));
  speed->slowness = slowness;
  speed->stated_ns = stated_ns;
  if (here)
    speed->heard_ns = stated_ns;
  return is_slow_update (speed, speed->mean);
}

double
serverspeed_stated_factor (const struct serverspeed *speed, int64_t now_ns)
{
  if (speed->stated_ns == 0 || speed->stated_ns < speed->service->resumed_ns)
    return 1;
  return 1
         + (speed->slowness - 1)
               * half_life_weight (now_ns - speed->stated_ns,
                                   stated_half_life_ms);
}

/* Return the move of AVERAGE by GAIN towards VALUE, of which the part beyond
 * deviation_max does not count. */
static double
average_move (double average, double value, double gain)
{
  return gain * CLAMP (value - average, -deviation_max, deviation_max);
}

static void
prefill_record (struct serverspeed_service *service, double value)
{
  double average = service->prefill_log;
  double gain = value < average ? prefill_gain_down : prefill_gain_up;

  service->prefill_log
      = CLAMP (average + average_move (average, value, gain),
               log (prefill_factor_min), log (prefill_factor_max));
  service->prefill_factor = exp (service->prefill_log);
}

/* Compare VALUE with what is typical of the service, which rises with the load
 * like that of this server. */
static void
measured_record (struct serverspeed *speed, double value, int64_t now_ns)
{
  double average = log (measured_factor (speed, now_ns));

  value -= speed->service->typical_log;
  speed->measured_log
      = CLAMP (average + average_move (average, value, measured_gain),
               log (measured_factor_min), log (measured_factor_max));
  speed->measured_ns = now_ns;
}

bool
serverspeed_record_first_event (struct serverspeed *speed, double measured_ms,
                                double expected_ms, int64_t now_ns)
{
  struct serverspeed_service *service = speed->service;
  double value;

  if (!serverspeed_varies (speed) || !(measured_ms > 0) || !(expected_ms > 0))
    return false;
  value = log (measured_ms / expected_ms);
  if (expected_ms >= prefill_expected_min_ms)
    prefill_record (service, value);
  if (speed->stated_ns != 0)
    return false;
  service->typical_log
      += average_move (service->typical_log, value, typical_gain);
  measured_record (speed, value, now_ns);
  return is_slow_update (speed, measured_factor (speed, now_ns));
}

double
serverspeed_factor (const struct serverspeed *speed, int64_t now_ns)
{
  if (!serverspeed_varies (speed))
    return 1;
  if (speed->stated_ns != 0)
    return serverspeed_stated_factor (speed, now_ns);
  return speed->measured_ns != 0 ? measured_factor (speed, now_ns) : 1;
}

double
serverspeed_prefill_factor (const struct serverspeed *speed)
{
  return serverspeed_varies (speed) ? speed->service->prefill_factor : 1;
}

bool
serverspeed_is_news (const struct serverspeed *speed, int64_t now_ns)
{
  return speed->heard_ns != 0 && speed->heard_ns == speed->stated_ns
         && speed->heard_ns >= speed->service->resumed_ns
         && now_ns - speed->heard_ns < SERVERSPEED_TOLD_MS * NS_PER_MS;
}
