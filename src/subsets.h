#ifndef SUBSETS_H
#define SUBSETS_H

#include "clock.h"
#include "presence.h"
#include "servers.h"

/** @file
 * Subsets of a large fleet: the hosts are divided into subsets, and so are the
 * backend servers of each service. In a large fleet there are too many hosts
 * for all of them to report their requests in flight to each other. Only the
 * hosts of one subset do, so that each of them knows the backlog of all
 * servers of its subset. A host uses servers of other subsets only if no
 * server of its own subset is usable. If the servers of its own subset are at
 * capacity, a request waits: the other servers are at capacity too, and
 * their backlog is not known.
 *
 * Most hosts of a subset are in the same data centre, so that their reports
 * cost little. The servers of a subset are spread over all data centres, so
 * that KV cache can be fetched from stores nearby.
 */

enum
{
  SUBSETS_HOSTS_MAX = 20, /**< Maximum number of hosts in one subset. */
  /** The same if the subsets have enough servers with it. */
  SUBSETS_HOSTS_USUAL = 10,
  /** Number of servers of the largest service for each subset that are enough.
   * With fewer, some subsets wait for servers while others have free ones. */
  SUBSETS_SERVERS_ENOUGH = 10,
  /** The same, as hosts of an earlier form have it. */
  SUBSETS_SERVERS_ENOUGH_EARLIER = 8,
  /** Number of servers down to which subsets keep their usual size. If servers
   * fail, larger subsets would move most servers and hosts to other subsets,
   * where the requests in flight are not known. */
  SUBSETS_SERVERS_KEPT = 5,
  /** Minimum number of servers per subset; a service with fewer is not
   * divided. */
  SUBSETS_SERVERS_MIN = 4,
};

struct subsets
{
  const struct clock *clock;
  struct presence *presence;
  struct servers *servers;
  unsigned count;      /**< Number of subsets. */
  unsigned own_index;  /**< Index of the subset of this host. */
  unsigned host_count; /**< Number of hosts in the subset of this host,
                          including this host. */
  /** Hashes of the addresses of the other hosts in the subset of this host. */
  uint64_t peer_hashes[SUBSETS_HOSTS_MAX];
  uint64_t own_hash; /**< Hash of this host's address. */
  int64_t next_assign_ns;
  /** Generations of `presence` and `servers` that the subsets are made of. */
  uint64_t hosts_generation;
  uint64_t servers_generation;
  bool assigned;
  /** Number of subsets of the usual size that had enough servers last; 0 if
   * none had. A fleet that has grown since decides anew, since its other hosts
   * may have seen it only now. */
  unsigned usual_count;
};

void subsets_init (struct subsets *subsets, const struct clock *clock,
                   struct presence *presence, struct servers *servers);

/** Assigns hosts and servers to subsets again when this is due, so that
 * changes of the fleet take effect. */
void subsets_tick (struct subsets *subsets);

/** Whether this host is responsible for the task NAME. One host of each subset
 * is. */
bool subsets_is_responsible (const struct subsets *subsets, const char *name);

/** Sets FIRST to the index of the first host, and SIZE to the number of hosts,
 * of the subset that the host at INDEX among all hosts belongs to. */
void subsets_of_host (const struct subsets *subsets, unsigned index,
                      unsigned *first, unsigned *size);

/** Whether the host at INDEX of presence_sorted_hosts is in this host's
 * subset. */
bool subsets_host_is_local (const struct subsets *subsets, unsigned index);

#endif
