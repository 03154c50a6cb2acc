#ifndef BACKENDS_H
#define BACKENDS_H

#include "health.h"
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
  uint32_t in_flight; /**< requests of this gateway */
  uint64_t sent;      /**< requests of this gateway, ever */
  bool usable;        /**< gets new work */
};

struct backends
{
  struct process *process;
  struct load load;
  struct health health;
  const struct config *config; /**< in force; NULL before the first */
  GHashTable *by_id;           /**< id to item */
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

/** Something was seen of BACKEND: it gets no new work until it answers a
 * probe. */
void backends_sign (struct backends *backends, const struct backend *backend,
                    enum health_sign sign);

/** The configuration in force is CONFIG: what it drains gets no new work. */
void backends_configure (struct backends *backends,
                         const struct config *config);

#endif
