#ifndef STOREPOLL_H
#define STOREPOLL_H

#include "presence.h"
#include "subsets.h"

/** @file
 * Which hosts poll a KV cache store, and to which hosts they send what it
 * reports. A store holds a few polls at a time only, so that in a large fleet
 * not each subset can have a poller of its own: two hosts poll a store for all
 * subsets. Each sends its updates to the hosts of its own subset and to one
 * host of each other subset, which relays them to the hosts there.
 */

enum
{
  /** Number of subsets that have pollers of their own. */
  STOREPOLL_SUBSETS_MAX = 2,
  /** Number of hosts that poll a store for all subsets. */
  STOREPOLL_POLLERS = 2
};

/** Whether pollers serve the hosts of all subsets. */
bool storepoll_serves_subsets (const struct subsets *subsets);

/** Whether this host polls STORE for others. */
bool storepoll_is_poller (const struct subsets *subsets,
                          const struct presence *presence, const char *store);

/** Whether this host, which polls STORE, sends updates to the host at INDEX
 * among all hosts.
 * @param[out] relays whether that host relays them in its subset */
bool storepoll_sends_to (const struct subsets *subsets, const char *store,
                         unsigned index, bool *relays);

#endif
