#ifndef SERVERSPEED_H
#define SERVERSPEED_H

#include <stdbool.h>
#include <stdint.h>

/** @file
 * How long work takes at one backend server, as a multiple of the usual time.
 *
 * Some servers state their slowness in each response. The figure is current
 * for a few hundred ms, so its weight falls with its age. For the others, the
 * measured time to the first event is compared with the estimated one. Both
 * count only for services whose capacity varies: a server of the service has
 * stated its slowness, or the configuration has a cold rate.
 *
 * Times are those of the monotonic clock, which stands still while the machine
 * is suspended. Figures from before a suspension have an unknown age and are
 * not used.
 */

enum
{
  /** Range of a stated slowness, in percent. */
  SERVERSPEED_PERCENT_MIN = 1,
  SERVERSPEED_PERCENT_MAX = 100000,
  /** Age from which a figure is not told to other hosts. Its weight is below a
   * fifth by then. */
  SERVERSPEED_TOLD_MS = 1000
};

/** What the servers of a service have in common. */
struct serverspeed_service
{
  bool states_slowness; /**< Whether any of them has stated its slowness. */
  bool has_cold_rate;   /**< Whether they are limited while they are cold. */
  /** Moving averages of the logarithm of the measured over the estimated time
   * to the first event: the typical one, and a low one for the prefill rate.
   */
  double typical_log;
  double prefill_log;
  double prefill_factor; /**< exp (prefill_log) */
  int64_t suspended_ns;  /**< Time for which this host was suspended so far. */
  int64_t resumed_ns; /**< Time at which the last suspension was noticed; 0 if
                         there was none. */
};

struct serverspeed
{
  struct serverspeed_service *service; /**< NULL: the speed never varies. */
  double slowness;     /**< Last stated slowness; valid if stated_ns is. */
  int64_t stated_ns;   /**< When it was stated, here or to another host; 0 if
                          never. */
  int64_t heard_ns;    /**< The same for responses to this host. */
  double mean;         /**< Moving average of the stated slowness over some
                          seconds, for the log. */
  double measured_log; /**< Moving average of the same logarithm, less the
                          typical one of the service. */
  int64_t measured_ns; /**< Time of the last measurement; 0 if there was
                          none. */
  bool is_slow;        /**< Whether the server is reported as slow. */
};

void serverspeed_service_init (struct serverspeed_service *service,
                               int64_t now_ns, int64_t boottime_ns);

void serverspeed_init (struct serverspeed *speed,
                       struct serverspeed_service *service);

/** Note the time by two clocks, of which only that of BOOTTIME_NS runs while
 * the machine is suspended. */
void serverspeed_service_note_time (struct serverspeed_service *service,
                                    int64_t now_ns, int64_t boottime_ns);

/** Whether the capacity of the service varies, so that the factors below may
 * differ from 1. */
bool serverspeed_varies (const struct serverspeed *speed);

/** Record that the server stated SLOWNESS at STATED_NS. A figure that is no
 * newer than the last one or from before a suspension has no effect.
 * @param here whether it was stated to this host
 * @return whether is_slow has changed */
bool serverspeed_record (struct serverspeed *speed, double slowness,
                         int64_t stated_ns, bool here);

/** Record that the first event of a request arrived after MEASURED_MS, where
 * EXPECTED_MS were estimated without the factors learned here.
 * @return whether is_slow has changed */
bool serverspeed_record_first_event (struct serverspeed *speed,
                                     double measured_ms, double expected_ms,
                                     int64_t now_ns);

/** Return the slowness that the stated figure lets expect at NOW_NS; 1 if
 * there is none. */
double serverspeed_stated_factor (const struct serverspeed *speed,
                                  int64_t now_ns);

/** Return the factor on the time that work takes at the server: the stated
 * slowness or, if the server states none, the measured one. */
double serverspeed_factor (const struct serverspeed *speed, int64_t now_ns);

/** Return the factor on the estimated prefill times of all servers of the
 * service, whose rate the settings may state wrongly. */
double serverspeed_prefill_factor (const struct serverspeed *speed);

/** Whether other hosts are to be told the figure: it was stated to this host
 * last, a short time ago. */
bool serverspeed_is_news (const struct serverspeed *speed, int64_t now_ns);

#endif
