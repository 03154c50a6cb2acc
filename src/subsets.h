#ifndef SUBSETS_H
#define SUBSETS_H

#include "clock.h"
#include "presence.h"
#include "servers.h"

/** @file
 * Subsets of a large fleet: the hosts are divided into subsets, and so are
 * the backend servers of each service. The hosts of a large fleet can't all
 * report their requests in flight to each other. The hosts of one subset do,
 * so that each has the backlog of all servers of its subset. Servers of other
 * subsets are used only if no server of the own subset can be used. If the
 * own servers are at capacity a request waits: the others are at capacity
 * too, and their backlog is not known.
 *
 * Most hosts of a subset are in the same data centre, so that their reports
 * cost little. The servers of a subset are spread over all data centres, so
 * that KV cache can be fetched from stores nearby.
 */

enum
{
  SUBSETS_HOSTS_MAX = 10, /**< Most hosts of one subset. */
  /** A service with fewer servers per subset is not divided. */
  SUBSETS_SERVERS_MIN = 4,
};

struct subsets
{
  const struct clock *clock;
  const struct presence *presence;
  struct servers *servers;
  unsigned count;      /**< Number of subsets. */
  unsigned own_index;  /**< Index of the subset of this host. */
  unsigned host_count; /**< Hosts of the own subset, this one included. */
  /** Hashes of the addresses of the other hosts of the own subset. */
  uint64_t peer_hashes[SUBSETS_HOSTS_MAX];
  uint64_t own_hash; /**< Hash of this host's address. */
  int64_t next_assign_ns;
};

void subsets_init (struct subsets *subsets, const struct clock *clock,
                   const struct presence *presence, struct servers *servers);

/** Assigns hosts and servers to subsets again, so that changes take effect. */
void subsets_tick (struct subsets *subsets);

/** Whether this host is responsible for the task NAME, which one host of each
 * subset does. */
bool subsets_is_responsible (const struct subsets *subsets, const char *name);

/** Whether the host at INDEX of presence_sorted_hosts is in this host's
 * subset. */
bool subsets_host_is_local (const struct subsets *subsets, unsigned index);

#endif
