#ifndef CELLS_H
#define CELLS_H

#include "clock.h"
#include "presence.h"
#include "servers.h"

/** @file
 * In a large fleet hosts form cells, and the backend servers of a service are
 * dealt out among them. Answers the load of many hosts that can't all tell
 * each other what they have under way: the hosts of a cell do, so that each
 * knows what waits at the servers of its cell. Servers of other cells are
 * used only if none of these can be; a request waits for those that are full,
 * since the others are as full and what waits there is not known.
 *
 * The hosts of a cell mostly share a data centre, so that what they tell each
 * other costs little. Its servers stand in all of them, so that contexts can
 * be fetched from stores nearby.
 */

enum
{
  CELLS_HOSTS_MAX = 10,  /**< Hosts of a cell. */
  CELLS_SERVERS_MIN = 4, /**< A service with fewer for a cell is not dealt. */
};

struct cells
{
  const struct clock *clock;
  const struct presence *presence;
  struct servers *servers;
  unsigned count;                  /**< of cells */
  unsigned own;                    /**< the cell of this host */
  unsigned hosts;                  /**< of the own cell, this one included */
  uint64_t peers[CELLS_HOSTS_MAX]; /**< hashes of its other hosts' addresses */
  uint64_t self;                   /**< the same of this host */
  int64_t next_ns;
};

void cells_init (struct cells *cells, const struct clock *clock,
                 const struct presence *presence, struct servers *servers);

/** Follow changes of hosts and servers. */
void cells_tick (struct cells *cells);

/** Whether this host does what one host of each cell does for NAME. */
bool cells_does (const struct cells *cells, const char *name);

/** Whether the host at INDEX of presence_ordered is of this host's cell. */
bool cells_has (const struct cells *cells, unsigned index);

#endif
