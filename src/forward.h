#ifndef FORWARD_H
#define FORWARD_H

#include "exchange.h"
#include "blameshare.h"
#include "callerconn.h"
#include "choose.h"
#include "dialect.h"
#include "kvstores.h"
#include "otherhosts.h"
#include "cacheretire.h"
#include "log.h"
#include "metrics.h"
#include "poisoncount.h"
#include "forwardretry.h"
#include "retrybudget.h"
#include "streamorigin.h"
#include "routes.h"
#include "runtimes.h"
#include "waitqueue.h"
#include "weights.h"

/** @file
 * The state of one request in flight and the state that all requests of the
 * process share. The forward* modules work on both.
 */

enum
{
  /** Maximum number of other hosts that a request is passed on to. */
  FORWARD_HOST_TRIES_MAX = 2
};

struct forward_settings
{
  /** Timeout for opening a connection to a server. */
  int64_t connect_timeout_ns;
  /** A request that may run more than once is retried at another server if
   * its server sends nothing for the route's latency target plus this time. */
  int64_t silence_timeout_ns;
  bool use_stores; /**< Whether KV cache is saved to stores and fetched from
                      them. */
  int64_t version_grace_ns; /**< Grace period after the operator sets a weight
                               version. After it, requests go only to servers
                               that have this version or a newer one. */
  int64_t version_begin_ns; /**< Time after the operator sets a weight version
                               from which on no request may begin on an older
                               one; longer than version_grace_ns. */
  struct retrybudget_settings retry;
  struct choose_settings choose;
  int queue_mode; /**< Value of enum forwardqueue_mode. */
  struct waitqueue_settings queue;
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
  struct blameshare *blameshare;
  struct kvstores *kvstores;
  const struct places *places; /**< NULL if no regions are known. */
  const char *region; /**< Region of this host; NULL or "" if unknown. */
  const struct cacheretire *retire;
  struct streamorigin *origin;
  /** Hosts that requests are passed on to while their servers can't be
   * reached; NULL if none are. */
  struct otherhosts *hosts;
  /** Requests in flight that other hosts have passed on. */
  unsigned from_host_count;
  /** Routing configuration; NULL until one is loaded. */
  struct routes *routes;
  /** Maps model names to struct wanted_weights. */
  GHashTable *wanted_weights;
  GHashTable *retry_budgets; /**< Maps service names to struct retrybudget. */
  struct list requests; /**< Requests in flight, including those that wait. */
  struct list waiting;  /**< Requests that wait for capacity at a server,
                             in order of arrival. */
  size_t waiting_count;
  /** Maps names of services whose capacity varies to struct waitqueue; NULL
   * before the first request for one. */
  GHashTable *queues;
  struct runtimes runtimes;
  struct bytebudget responses; /**< What is kept of responses. */
  int64_t stop_ns; /**< Time at which this host was told to stop; valid if
                        end_ns is not 0. */
  /** Time at which a host that stops ends what is still in flight; 0 while it
   * does not stop. */
  int64_t end_ns;
  int64_t last_tick_ns; /**< Time of the last forwarder_tick; 0 before it. */
  bool skipped_tick;    /**< Whether that one did nothing. */
  bool is_ending;       /**< Whether no request is taken any more. */
  bool is_stopping; /**< Whether no request waits any more, see forwardstop. */
  bool is_placing;  /**< Whether waiting requests are being placed. */
  size_t request_count;
  unsigned host_count; /**< Number of hosts that send work to the same servers,
                       this one included. */
};

struct forward;

/** One attempt to have a request run by a server, or by another host. */
struct forward_attempt
{
  struct forward *forward;
  struct exchange exchange;
  struct otherhost *host; /**< Host that the request was passed on to; NULL if
                             it was sent to a server. */
  struct server *counted_server; /**< Server whose load includes the request;
                                    NULL if there is none. */
  /** Number of the request's tokens that the prefill load of counted_server
   * includes. */
  unsigned counted_prefill_tokens;
  bool silence_recorded;  /**< Whether it was recorded that the server has not
                             responded. */
  uint64_t software_hash; /**< Hash of the software of the server. */
  /** Version of the weights that the server was believed to have; 0 if
   * unknown. */
  uint64_t weight_version;
  char *fetch_store_name; /**< Name of the store that the largest fetched block
                             comes from; NULL if no block is fetched. */
  double expected_ms; /**< Expected time from the start of the attempt to its
                         first event. */
  double store_delay_ms; /**< Part of expected_ms that the delay of the store
                            causes. */
  double backlog_ms; /**< Part of expected_ms that the work on other requests
                        causes. */
  double comparable_ms; /**< As in struct choosecost. */
  char cache_scope[CACHE_SCOPE_MAX];
};

/** One request in flight. */
struct forward
{
  struct list node;
  /** Entry in the forwarder's list of waiting requests; on no list unless
   * the request waits. */
  struct list waiting_node;
  struct waitqueue_request queued; /**< State in the queue of its service. */
  bool is_evicted; /**< Whether a full queue has no place for it any more. */
  struct forwarder *forwarder;
  struct callerconn *conn;
  struct call call;
  struct routes *routes;
  const struct route *route;
  /** Organisation that the API key belongs to; NULL if no API key is
   * needed. */
  const struct organisation *organisation;
  const char *service;
  int64_t arrived_ns;
  /** By clock_boottime, since the caller's time runs while this host is
   * suspended; 0 before the route is known. */
  int64_t deadline_ns;
  struct forward_attempt *attempt; /**< The present attempt, or the last. */
  struct forward_attempt *standby; /**< Attempt beside the present one; NULL if
                                      there is none. */
  int64_t standby_start_ns;        /**< Time at which it was started. */
  const char *standby_reason;      /**< Why there was none, at the last try. */
  int64_t standby_next_ns; /**< Time from which a standby may be tried again.
                            */
  const struct server *tried[CHOOSE_EXCLUDED_MAX];
  unsigned tried_count;
  struct call_refusals refusals; /**< Servers that have refused the request. */
  bool origin_known; /**< Whether the software that the stream needs has been
                        looked for, or the request does not resume one. */
  bool from_host;    /**< Whether another host has passed the request on. */
  uint32_t tried_hosts[FORWARD_HOST_TRIES_MAX]; /**< Hashes of their ids. */
  unsigned host_tries;
  unsigned run_count; /**< Number of attempts that may have run the request. */
  unsigned not_run_count; /**< Number of attempts that certainly did not run
                             the request. */
  unsigned unconnected_count; /**< Those of them without a connection. */
  bool retry_denied; /**< Whether the retry budget had nothing left for the
                        retry after the last attempt. */
  bool relaying; /**< Whether the response head has been sent to the caller. */
  bool relays_events; /**< Whether the caller is sent an event stream, of which
                         it has whole events only. */
  bool first_event_recorded;
  /** Query for the software that began the stream; open while the caller's
   * request to resume waits for it. */
  struct streamorigin_query origin_query;
  /** Called when origin_query ends. */
  void (*origin_found) (struct forward *forward, bool known);
  /** Hash of the software that the stream goes on with; 0 before its first
   * event. What two versions write doesn't fit together. */
  uint64_t software_hash;
  /** Software version of the server that sent the first event; empty if there
   * is none or it is unknown. */
  char began_software[SERVER_NAME_MAX];
  uint64_t fingerprint;
  struct blame_part parts[BLAME_PARTS_MAX];
  unsigned part_count;
  bool tries_blocked; /**< Whether the request is tried after a block. */
};

/** Return the time until the deadline of the request, which may be over. */
static inline int64_t
forward_time_left_ns (const struct forward *forward)
{
  return forward->deadline_ns - clock_boottime (forward->forwarder->clock);
}

/** Return the number of attempts that may have run the request before another
 * host passed it on, which that host knows of; 0 if none did. */
static inline unsigned
forward_earlier_runs (const struct forward *forward)
{
  return forward->from_host ? forward->call.earlier_runs : 0;
}

/** Whether an attempt of this host may have run the request. */
static inline bool
forward_may_have_run_here (const struct forward *forward)
{
  return forward->run_count > forward_earlier_runs (forward);
}

#endif
