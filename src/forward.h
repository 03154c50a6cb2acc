#ifndef FORWARD_H
#define FORWARD_H

#include "exchange.h"
#include "callerconn.h"
#include "choose.h"
#include "dialect.h"
#include "kvstores.h"
#include "retire.h"
#include "log.h"
#include "metrics.h"
#include "poison.h"
#include "resend.h"
#include "retrywindow.h"
#include "routes.h"
#include "weights.h"

/** @file
 * One request in flight, and what all requests of a process share: the data
 * that the steps of forwarder.h work on.
 */

struct forward_settings
{
  int64_t connect_ns; /**< for opening a connection to a server */
  int64_t silence_ns; /**< A repeatable request whose server has sent nothing
                           to anyone for so long is sent elsewhere. */
  bool use_stores;    /**< Keep KV cache in stores and fetch it from them. */
  int64_t version_ns; /**< From a new weight version on until only servers
                           that have it get requests. */
  struct retrywindow_settings retry;
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
  struct poison *poison;
  struct kvstores *kvstores;
  const struct retire *retire;
  struct routes *routes; /**< NULL: none known yet */
  GHashTable *weights;   /**< model to struct wanted_weights */
  GHashTable *windows;   /**< service to struct retrywindow */
  struct list requests;  /**< in flight, those that wait included */
  struct list waiting;   /**< for room at a server, in order of arrival */
  size_t waiting_count;
  size_t request_count;
  unsigned hosts; /**< that send work to the same servers */
};

/** One request in flight. */
struct forward
{
  struct list node;
  struct list waiting_node; /**< on no list unless it waits */
  struct forwarder *forwarder;
  struct callerconn *conn;
  struct call call;
  struct routes *routes;
  const struct route *route;
  const struct organisation *organisation; /**< NULL on an open route */
  const char *service;
  int64_t arrived_ns;
  int64_t end_ns; /**< The final answer is due. */
  struct exchange exchange;
  const struct server *tried[CHOOSE_EXCLUDED_MAX];
  unsigned tried_count;
  struct server *server; /**< that the request counts at; NULL: none */
  unsigned tokens_counted;
  unsigned runs;
  unsigned not_run;
  bool relaying; /**< The head of the answer is with the caller. */
  bool first_noted;
  uint64_t fingerprint;
  char *fetch_store;  /**< name of the store of the largest part fetched */
  double expected_ms; /**< time to the first event of the present send */
  double delay_ms;    /**< the part of it that is delay of the store's link */
  double backlog_ms;  /**< the part of it that is work of others */
  char scope[CACHE_SCOPE_MAX]; /**< of cached parts, in the present send */
};

#endif
