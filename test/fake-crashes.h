#ifndef FAKE_CRASHES_H
#define FAKE_CRASHES_H

#include "blameshare.h"
#include "fake-kv.h"
#include "rng.h"

/** @file
 * Hosts with the real blameshare, engines that crash, and callers, on a fake
 * clock. Engines crash when they begin to respond to a request with a guilty
 * part, or for a reason of their own, and lose all runs that they have.
 */

enum
{
  FAKE_CRASHES_HOSTS = 8,
  FAKE_CRASHES_ENGINES = 18,
  FAKE_CRASHES_GUILTY_MAX = 4,
  FAKE_CRASHES_MODEL = 7 /**< Scope of the parts. */
};

/** A part that crashes engines. */
struct fake_crashes_guilty
{
  uint64_t id;
  double per_s;     /**< requests with it */
  int host;         /**< the only host that gets them; -1: any */
  unsigned crashes; /**< engines that ended on it */
  unsigned lost;    /**< engines that ended with a run of it */
  int64_t fifth_ns; /**< time of the fifth of them; 0: not yet */
  unsigned late;    /**< requests that reached an engine more than 3 s later */
  bool harmless;    /**< It crashes engines no longer. */
  bool same_request; /**< All its requests are equal. */
};

struct fake_crashes
{
  struct fake_kv kv;
  struct clock_fake clock;
  struct rng rng;
  double loss;        /**< Share of datagrams that are lost. */
  double other_per_s; /**< engines that end for another reason */
  double sound_per_s; /**< requests that crash nothing */
  unsigned firsts;    /**< first blocks that all requests have one of */
  unsigned sessions;  /**< second blocks; the first ones are used most */
  struct fake_crashes_guilty guilty[FAKE_CRASHES_GUILTY_MAX];
  unsigned guilty_count;
  unsigned sent;    /**< sound requests */
  unsigned refused; /**< of them, for a blocked part */
  unsigned blamed_blocks;
  unsigned blamed_requests;
  unsigned released;
};

extern struct fake_crashes crashes;

void fake_crashes_setup (uint64_t seed);
void fake_crashes_finish (void);

/** Let MS pass. */
void fake_crashes_run (int64_t ms);

/** The process of the host at INDEX ends, and starts anew. */
void fake_crashes_restart (unsigned index);

/** All engines end at once. */
void fake_crashes_end_all (void);

/** The host at INDEX gets a datagram from nowhere. */
void fake_crashes_receive (unsigned index, const uint8_t *bytes, size_t size);

/** The number of hosts that block ID. */
unsigned fake_crashes_blocking (uint64_t id);

#endif
