#ifndef FAKE_BRITTLEHOST_H
#define FAKE_BRITTLEHOST_H

#include "fake-brittle.h"
#include "limitshare.h"
#include "loadshare.h"
#include "otherhosts.h"
#include "presence.h"
#include "rng.h"
#include "subsets.h"

/** @file
 * The hosts of the simulated fleet: what they know of each other and of the
 * engines, and what they tell each other.
 */

enum
{
  BRITTLE_HOSTS_MAX = 300,
  BRITTLE_WAITING_MAX = 60, /**< Requests that may wait at a host. */
  BRITTLE_CAPACITY_TOKENS = 90000
};

struct brittle_host
{
  bool down;
  int64_t back_ns;
  struct servers servers;
  struct presence presence;
  struct subsets subsets;
  struct loadshare loadshare;
  struct otherhosts others;
  struct limitshare limitshare;
  int64_t
      waiting[BRITTLE_WAITING_MAX]; /**< Times until which requests wait. */
  unsigned waiting_count;
};

extern struct brittle_host brittle_hosts[BRITTLE_HOSTS_MAX];

/** Start the host at INDEX; it knows the other hosts, but no engines yet. */
void brittle_host_start (unsigned index, const struct brittle_play *play,
                         const struct clock *clock);
void brittle_host_finish (unsigned index);

/** Tell HOST whether the host at INDEX serves. */
void brittle_host_tell_one (struct brittle_host *host, unsigned index,
                            bool serves);

/** Tell the other hosts whether that at INDEX serves. */
void brittle_host_tell (unsigned index, const struct brittle_play *play,
                        bool serves);

/** Register the engine at INDEX, which started at STARTED_MS, with HOST. */
void brittle_host_register (struct brittle_host *host,
                            const struct brittle_play *play, unsigned index,
                            uint64_t started_ms);

/** Send the datagram of the host at FROM that is due. */
void brittle_host_send (unsigned from, const struct brittle_play *play,
                        bool is_load, struct rng *rng);

#endif
