#ifndef ROOMSHARE_H
#define ROOMSHARE_H

#include <stdbool.h>
#include <stdint.h>

/** @file
 * Divides the room of a backend server, a whole number of requests, among the
 * hosts that send to it. The hosts don't ask each other: each computes its
 * part from its position in an order that is the same on all hosts. If there
 * is too little room for all hosts, the first ones hold it.
 */

/** Which of the hosts that send to a server this one is. */
struct roomshare_position
{
  unsigned host_count; /**< Hosts that send to the server; 0: unknown. */
  unsigned rank;       /**< Position of this host among them, from 0. */
  unsigned servers;    /**< Servers that these hosts divide among them. */
};

struct roomshare
{
  struct roomshare_position position;
  /** Position before the last change, which counts for a while if this host
   * had less room by it. */
  struct roomshare_position former;
  int64_t moved_ns; /**< Time of that change. */
};

/** Return how many of UNITS equal parts of the room a host at POSITION may
 * use; one, if there is one, if its position is unknown. */
unsigned roomshare_part (const struct roomshare_position *position,
                         unsigned units);

/** Set the position of this host at NOW_NS.
 * @param hosts_moved_ns time of the last change of the hosts, from which a
 * first position counts as known
 * @return whether the position changed */
bool roomshare_set_position (struct roomshare *share,
                             const struct roomshare_position *position,
                             int64_t hosts_moved_ns, int64_t now_ns);

/** Return how many of UNITS equal parts of the room this host may use at
 * NOW_NS; none before it knows its position. */
unsigned roomshare_units (const struct roomshare *share, unsigned units,
                          int64_t now_ns);

/** Return how many hosts, the first in the order, hold room for UNITS
 * requests. */
unsigned roomshare_holders (const struct roomshare *share, unsigned units);

#endif
