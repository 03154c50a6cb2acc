#ifndef BACKENDS_H
#define BACKENDS_H

#include "health.h"
#include "hostlist.h"
#include "load.h"
#include "peer.h"
#include "process.h"

/** @file
 * A gateway's view of its backend servers: the engines of its subset with the
 * load that the shards report for them, and the plain services.
 */

struct backend
{
  /** Result of roster_id_from_name for the name of the server. */
  uint64_t id;
  struct hostlist_entry host;
  uint32_t in_flight;  /**< Number of requests of this gateway that are in
                          flight at the server. */
  uint64_t sent_count; /**< Number of requests that this gateway has sent to
                          the server. */
  bool usable;         /**< Whether the server gets new requests. */
};

struct backends
{
  struct process *process;
  struct load load;
  struct health health;
  const struct config *config; /**< The current configuration, or NULL before
                                    the first one. */
  GHashTable *by_id; /**< Hash table from id to an element of items. */
  struct backend *items;
  size_t count;
  int64_t next_query_ns;
  int64_t listed_ns; /**< Time at which the first host list was received; 0
                        before that. */
  /** Whether load reports of all usable engines of this gateway arrived, or
   * their time since the first host list is over. Once true, it stays true. */
  bool engines_known;
};

void backends_init (struct backends *backends, struct process *process);
void backends_finish (struct backends *backends);

/** Query the shards for load reports when that is due, and run the timers of
 * load and health. */
void backends_tick (struct backends *backends);

/** Replace the backend servers by those of the host list, after the list was
 * read again. */
void backends_update_hosts (struct backends *backends);

/** Find the backend server with ID.
 * @return NULL if there is none. */
struct backend *backends_find (struct backends *backends, uint64_t id);

/** Numbers of engines of one service. */
struct backends_engine_counts
{
  unsigned listed; /**< Engines that the host list names. */
  unsigned usable; /**< Listed engines that may get new requests. */
};

struct backends_engine_counts
backends_count_engines (const struct backends *backends, const char *service);

/** The usable plain backend server of SERVICE that has the fewest requests of
 * this gateway in flight, or NULL if there is none. AVOID, if not NULL, is not
 * considered. */
struct backend *backends_pick_service_server (struct backends *backends,
                                              const char *service,
                                              const struct backend *avoid);

/** Record EVIDENCE that BACKEND is leaving or down. BACKEND gets no new
 * requests until a probe finds it ready. */
void backends_report_evidence (struct backends *backends,
                               const struct backend *backend,
                               enum health_evidence evidence);

/** Make CONFIG the current configuration. Backend servers that CONFIG drains
 * get no new requests. */
void backends_set_config (struct backends *backends,
                          const struct config *config);

#endif
