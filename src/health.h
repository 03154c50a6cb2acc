#ifndef HEALTH_H
#define HEALTH_H

#include "clock.h"
#include "list.h"
#include "rng.h"

#include <stdbool.h>
#include <stdint.h>

/** @file
 * Which backend servers get new work. The first sign that one leaves or fails
 * takes it out at once; it comes back when it answers a probe that it is
 * ready, and not while the host list calls it leaving. What runs on it goes
 * on.
 */

enum health_sign
{
  HEALTH_LISTED_LEAVING, /**< by the host list, or not in it any more */
  HEALTH_REFUSED,        /**< it refused a connection */
  HEALTH_UNREACHABLE,    /**< no connection gets an answer */
  HEALTH_OWN_WORD,       /**< it said that it leaves */
  HEALTH_DIED,           /**< it died, or started anew, under a request */
  HEALTH_HEARSAY,        /**< another process saw a sign */
  HEALTH_SIGN_COUNT
};

const char *health_sign_name (enum health_sign sign);

struct health_ops
{
  /** Ask NAME whether it is ready and say so by health_probed; not from
   * inside. */
  void (*probe) (void *data, const char *name);
  /** NAME gets no new work, or gets it again. An own sign is to be told to
   * others, hearsay is not. */
  void (*changed) (void *data, const char *name, bool usable,
                   enum health_sign sign);
};

struct health_settings
{
  int64_t probe_base_ns; /**< longest wait before the first probe */
  int64_t probe_max_ns;  /**< longest wait before any probe */
  int64_t probe_end_ns;  /**< a probe without an answer has failed by then */
};

struct health
{
  const struct clock *clock;
  struct rng *rng;
  const struct health_ops *ops;
  void *data;
  struct health_settings settings;
  void *servers;   /**< hash table: name to those that are out */
  struct list out; /**< the same ones */
};

void health_init (struct health *health,
                  const struct health_settings *settings,
                  const struct clock *clock, struct rng *rng,
                  const struct health_ops *ops, void *data);
void health_finish (struct health *health);

/** NAME may get new work; a server that was never heard of may. */
bool health_usable (const struct health *health, const char *name);

void health_sign (struct health *health, const char *name,
                  enum health_sign sign);

/** What the host list now says of NAME: live or leaving. */
void health_listed (struct health *health, const char *name, bool live);

/** The host list has dropped NAME, and nobody asks about it any more. */
void health_forget (struct health *health, const char *name);

/** The answer to a probe. */
void health_probed (struct health *health, const char *name, bool ready);

void health_tick (struct health *health);
int64_t health_next (const struct health *health);

#endif
