#ifndef FORWARD_H
#define FORWARD_H

#include "exchange.h"
#include "callerconn.h"
#include "choose.h"
#include "dialect.h"
#include "kvstores.h"
#include "cacheretire.h"
#include "log.h"
#include "metrics.h"
#include "poisoncount.h"
#include "forwardretry.h"
#include "retrybudget.h"
#include "routes.h"
#include "weights.h"

/** @file
 * The state of one request in flight and the state that all requests of the
 * process share. The forward* modules work on both.
 */

struct forward_settings
{
  int64_t
      connect_timeout_ns; /**< Timeout for opening a connection to a server. */
  int64_t silence_timeout_ns; /**< A request that may run more than once is
                           retried elsewhere when its server has sent nothing
                           for this time on top of the route's target. */
  bool use_stores; /**< Save KV cache to stores and fetch it from them. */
  int64_t version_grace_ns; /**< Time after a new wanted weight version from
                           which on only servers that have it get requests. */
  struct retrybudget_settings retry;
  struct choose_settings choose;
};

struct forwarder
{
  uv_loop_t *loop;
  const struct clock *clock;
  struct rng *rng;
  struct log *log;
  struct metrics *metrics;
  const struct dialect *dialect;
  struct forward_settings settings;
  struct servers *servers;
  struct poisoncount *poisoncount;
  struct kvstores *kvstores;
  const struct cacheretire *retire;
  struct routes *routes;      /**< NULL until a configuration is loaded. */
  GHashTable *wanted_weights; /**< Model to struct wanted_weights. */
  GHashTable *retry_budgets;  /**< Service to its retry budget. */
  struct list requests; /**< Requests in flight, waiting ones included. */
  struct list waiting;  /**< Requests that wait for capacity at a server,
                             in order of arrival. */
  size_t waiting_count;
  size_t request_count;
  unsigned host_count; /**< Number of hosts that send work to the same servers,
                       this one included. */
};

/** One request in flight. */
struct forward
{
  struct list node;
  struct list waiting_node; /**< On no list unless the request waits. */
  struct forwarder *forwarder;
  struct callerconn *conn;
  struct call call;
  struct routes *routes;
  const struct route *route;
  const struct organisation *organisation; /**< NULL on an open route. */
  const char *service;
  int64_t arrived_ns;
  int64_t deadline_ns;
  struct exchange exchange;
  const struct server *tried[CHOOSE_EXCLUDED_MAX];
  unsigned tried_count;
  struct server *counted_server;   /**< Server whose load includes the request;
                                        NULL: none. */
  unsigned counted_prefill_tokens; /**< The request's tokens in that server's
                                        prefill load. */
  unsigned run_count;     /**< Attempts that may have run the request. */
  unsigned not_run_count; /**< Attempts that certainly did not run it. */
  bool relaying; /**< The response head has been sent to the caller. */
  bool first_event_recorded;
  uint64_t fingerprint;
  char *fetch_store_name; /**< Store of the largest block that is fetched. */
  double expected_ms;     /**< Expected time from the start of the present
                               attempt to its first event. */
  double store_delay_ms;  /**< Part of expected_ms caused by delay of the
                               store's link. */
  double backlog_ms;      /**< Part of expected_ms caused by other requests'
                               work. */
  char cache_scope[CACHE_SCOPE_MAX];
};

#endif
