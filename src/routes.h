#ifndef ROUTES_H
#define ROUTES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * One revision of the routing configuration: an immutable, reference-counted
 * snapshot. Each request keeps the snapshot that it was routed with.
 */

enum route_kind
{
  ROUTE_IDEMPOTENT,     /**< Requests of the route may run more than once. */
  ROUTE_NON_IDEMPOTENT, /**< A request that may have run is not retried. */
  ROUTE_STREAM /**< The response is an event stream. A request that may
                    have run is retried only if the route is
                    resumable. */
};

struct route_share
{
  char *service;
  double weight; /**< Weight relative to the other shares of the route. */
};

struct route
{
  char *name;
  char *host;
  char *prefix; /**< Path prefix that begins and ends with a slash. */
  enum route_kind kind;
  bool resumable; /**< Whether another backend server can continue a stream. */
  bool is_public; /**< Whether callers need no API key. */
  /** Priority of the route's requests; 0 is the most urgent. */
  unsigned priority;
  unsigned servers_max; /**< Maximum number of backend servers that may run one
                           request. */
  int64_t timeout_ns;   /**< Maximum time until the response is complete. */
  int64_t latency_target_ns; /**< Latency target: time to the response, or to
                          the first event of a stream. */
  int64_t gap_target_ns; /**< Target for the longest gap between two events of
                            a stream; 0 if there is none. */
  GArray *shares;        /**< Array of struct route_share. */
  double weight_total;
  char **homes; /**< Regions in which requests may be served, up to a NULL;
                     NULL if they may be anywhere. */
};

struct service
{
  char *name;
  unsigned connections_max; /**< Maximum number of connections to one backend
                               server, over all callers. */
  bool is_store; /**< Whether the service is a KV cache store, which receives
                    no requests of callers. */
  char *address; /**< Address of a KV cache store; otherwise "". */
  char *data_centre; /**< Data centre of a KV cache store; otherwise "". */
  char *health_path; /**< Target of a health check; "" if there is none. */
  bool is_engine;
  /** Number of requests that one engine runs at the same time. */
  unsigned slots;
  uint64_t kv_capacity_tokens; /**< Number of tokens that fit into the KV cache
                                  of one engine, or into the store. */
  double cold_per_s; /**< Requests per second that a server tolerates while it
                        is cold; 0 if its servers are never cold. */
  int64_t
      cold_span_ns; /**< Time for which a server is cold after its start. */
};

struct organisation
{
  char *name;
  bool isolated; /**< Whether the organisation's cached blocks are not shared
                    with other organisations. */
  bool has_priority;
  unsigned priority; /**< Priority that counts before the priority of the
                        route, if has_priority is set. */
  char **homes;      /**< As in struct route. */
};

struct routes
{
  unsigned reference_count;
  uint64_t version;  /**< Configuration version that the operator wrote. */
  uint64_t revision; /**< KV service revision of the configuration's key. */
  size_t header_bytes_max;
  size_t body_bytes_max;
  /** Timeout for receiving the head of a request. */
  int64_t header_timeout_ns;
  int64_t idle_timeout_ns;    /**< Timeout of an idle caller connection. */
  GPtrArray *all_routes;      /**< Array of struct route. */
  GHashTable *routes_by_host; /**< Maps host names to GPtrArray of struct
                                   route, sorted by longest prefix first. */
  GHashTable *services;       /**< Maps names to struct service. */
  GHashTable *organisations;  /**< Maps names to struct organisation. */
  /** Maps API keys to struct organisation. */
  GHashTable *organisations_by_key;
  /** Stands for the set of isolated organisations, the same on all hosts; 0 if
   * there are none. Blocks that organisations share under one set were made by
   * none of its members. */
  uint64_t isolation;
};

/** Creates an empty snapshot with one reference. */
struct routes *routes_new (void);
struct routes *routes_ref (struct routes *routes);
void routes_unref (struct routes *routes); /**< ROUTES may be NULL. */

/** Adds an empty route that ROUTES owns. The caller fills it in, then calls
 * routes_build_index. */
struct route *routes_add_route (struct routes *routes);
void route_add_share (struct route *route, const char *service, double weight);
struct service *routes_add_service (struct routes *routes, const char *name);
struct organisation *routes_add_organisation (struct routes *routes,
                                              const char *name);
void routes_add_key (struct routes *routes, const char *key,
                     struct organisation *organisation);

/** Sets `isolation` after organisations of ROUTES were changed. */
void routes_update_isolation (struct routes *routes);

/** Builds the index of hosts and prefixes that routes_find_route uses, and
 * sets `isolation`. */
void routes_build_index (struct routes *routes);

/** Returns the route of HOST whose prefix is the longest that matches PATH,
 * or NULL. */
const struct route *routes_find_route (const struct routes *routes,
                                       const char *host, const char *path);

/** Returns the service called NAME, or NULL. */
const struct service *routes_find_service (const struct routes *routes,
                                           const char *name);

/** Returns the organisation that the API key KEY belongs to, or NULL. */
const struct organisation *
routes_find_organisation (const struct routes *routes, const char *key);

/** Picks a service of ROUTE in proportion to the weights of its shares.
 * @param random_unit uniformly distributed over [0, 1)
 * @return NULL if no share has a weight */
const char *route_pick_service (const struct route *route, double random_unit);

/** Returns the time for which callers of ROUTE, which is a stream, wait for
 * its next event, the first one included. */
int64_t route_caller_patience_ns (const struct route *route);

/** Whether a request of ROUTE that may have run may be retried. */
bool route_allows_retry (const struct route *route);

#endif
