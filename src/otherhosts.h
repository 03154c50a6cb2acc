#ifndef OTHERHOSTS_H
#define OTHERHOSTS_H

#include "loadshare.h"
#include "presence.h"

/** @file
 * The other hosts as places that requests can be passed on to.
 */

enum
{
  /** Maximum number of the first hosts in the order of a server that
   * otherhosts_of_rank knows. */
  OTHERHOSTS_RANKS_MAX = 64
};

struct otherhost
{
  /** Stands for the host where an attempt names its server. */
  struct server *server;
  unsigned in_flight; /**< Requests that this host has passed on to it. */
  /** It has refused a request of the service with this hash; it gets no others
   * of the service until then. */
  uint64_t refused_service;
  int64_t refused_until_ns;
  int64_t avoid_until_ns; /**< No request is passed on to it before then. */
};

struct otherhosts
{
  const struct presence *presence;
  const struct loadshare *loadshare;
  /** Maps keys of hosts to struct otherhost. A host that is no longer
   * registered keeps its place while requests are in flight there. */
  GHashTable *hosts;
  /** Maps ids of servers to the keys of their first hosts, as of a generation
   * of the hosts. */
  GHashTable *orders;
  uint64_t orders_generation;
};

void otherhosts_init (struct otherhosts *others,
                      const struct presence *presence,
                      const struct loadshare *loadshare);
void otherhosts_finish (struct otherhosts *others);

/** Return the host that RANK others come before in the order of hosts for the
 * server ID, see presence_first_hosts; NULL if it is this one, is leaving or
 * not registered, comes too late in the order, or is of an earlier version
 * that keeps to no room. */
struct otherhost *otherhosts_of_rank (struct otherhosts *others,
                                      const char *id, unsigned rank);

/** Call VISIT for each registered host that is not leaving, with what it has
 * reported of its links to the service with the hash SERVICE. */
void otherhosts_visit (struct otherhosts *others, uint64_t service,
                       void (*visit) (void *data, struct otherhost *host,
                                      enum loadshare_reach reach),
                       void *data);

#endif
