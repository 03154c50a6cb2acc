#ifndef BACKENDS_H
#define BACKENDS_H

#include "hostlist.h"
#include "load.h"
#include "peer.h"
#include "process.h"

/** @file
 * A gateway's view of its backend servers: the engines of its subset with
 * their load as the shards report it, and the plain services.
 */

struct backend
{
  uint64_t id; /**< roster_id of the name */
  struct hostlist_entry host;
  uint32_t in_flight;   /**< requests of this gateway */
  uint64_t sent;        /**< requests of this gateway, ever */
  int64_t out_until_ns; /**< no new work before */
};

struct backends
{
  struct process *process;
  struct load load;
  struct backend *items;
  size_t count;
  int64_t next_query_ns;
};

void backends_init (struct backends *backends, struct process *process);
void backends_finish (struct backends *backends);

/** Ask the shards for load reports when due. */
void backends_tick (struct backends *backends);

/** The host list was read anew. */
void backends_sync (struct backends *backends);

/** The backend server ID, or NULL. */
struct backend *backends_find (struct backends *backends, uint64_t id);

/** The live plain backend server of SERVICE with the fewest requests of this
 * gateway, other than AVOID (may be NULL); NULL if there is none. */
struct backend *backends_pick_service (struct backends *backends,
                                       const char *service,
                                       const struct backend *avoid);

/** A connection to it was refused or fell silent: no new work for a while. */
void backends_mark_out (struct backends *backends, struct backend *backend);

#endif
