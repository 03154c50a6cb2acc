#ifndef FAKE_SPEEDFLEET_H
#define FAKE_SPEEDFLEET_H

#include "choose.h"
#include "loadshare.h"

/** @file
 * A model of entry hosts that send streams to engines of varying speed. Each
 * engine prefills one prompt at a time, in the order of arrival, then streams
 * for a while. The hosts choose with choose_server and exchange real load
 * reports, which are delivered late.
 */

enum
{
  SPEEDFLEET_SERVERS = 9,
  SPEEDFLEET_HOSTS = 10
};

struct speedfleet_settings
{
  double load;       /**< Offered work as a share of the mean capacity. */
  double slow_share; /**< Probability that an engine is slow. */
  double slowness;   /**< How much longer work takes at a slow engine. */
  int64_t change_ms; /**< Interval at which each engine's speed is drawn anew;
                        0: the first engines stay slow. */
  bool states;       /**< Whether responses state the slowness. */
  bool varies;       /**< Whether the service has a cold rate. */
  double lost;       /**< Share of the load reports that are lost. */
  int64_t late_ms;   /**< Delay of the load reports. */
  double real_rate;  /**< Tokens that an engine prefills per ms. */
  double near_ms;    /**< As in struct choose_settings. */
  int64_t span_ms;
  uint64_t seed;
};

struct speedfleet_result
{
  double median_ms, p90_ms, p99_ms;
  double slow_sent;   /**< Share of the requests sent to slow engines. */
  double remote_sent; /**< The same to engines of other data centres. */
  /** Largest number of hosts that sent to the same engine within 10 ms, in
   * 99 of 100 such spans. */
  double herd;
  double prefill_factor; /**< Mean over the hosts at the end. */
  double factor_first;   /**< The factor of the first engine, which is slow if
                            speeds don't change. */
};

extern const struct speedfleet_settings speedfleet_default;

/** Set RESULT to the means over COUNT runs, with the seeds from that of
 * SETTINGS on. */
void speedfleet_run (const struct speedfleet_settings *settings,
                     unsigned count, struct speedfleet_result *result);

#endif
