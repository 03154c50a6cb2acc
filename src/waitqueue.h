#ifndef WAITQUEUE_H
#define WAITQUEUE_H

#include "clock.h"
#include "fairqueue.h"
#include "rng.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * Decides which requests for one service are sent now, which wait at this
 * host, and which are refused, while the servers of the service have less room
 * than is asked for.
 *
 * The load it answers: more requests than the servers can begin within the
 * latency target, for seconds. If all are sent as soon as memory allows, the
 * backlog of the servers grows until no request is in time. So a request is
 * sent if its first event is expected in time. One that can't be in time is
 * late: it waits, and is sent when the backlog of a server is so small that it
 * delays no request that is in time, or from a small share of all work that is
 * kept for late requests. What can't begin before its caller gives up is
 * refused at once.
 *
 * Requests in time come before late ones. Among each of these, priority
 * classes and then organisations have weighted shares of the work that
 * requests need (fairqueue.h), so that none of them starves, and the request
 * whose caller gives up first goes first.
 */

struct waitqueue;
struct waitqueue_organisation;

/** What is known of a request. The caller embeds it and sets all of it to zero
 * before the first use. */
struct waitqueue_request
{
  /** Organisation of the request; only used while it is added. */
  const char *organisation;
  enum priority priority;
  double work_ms;     /**< Time of a server that the request needs; more than
                         0. */
  int64_t arrived_ns; /**< Time of arrival at this host. */
  int64_t target_ns;  /**< Time until which its first event is in time. */
  int64_t give_up_ns; /**< Time at which its caller gives up without a first
                         event. */
  int64_t waited_ns;  /**< Time that the caller has spent on earlier tries. */

  /* The members below are private to waitqueue.c. */
  struct fairqueue_item item;
  struct waitqueue_organisation *flows;
  bool is_late;
};

/** What a server promises to a request. */
struct waitqueue_outlook
{
  bool has_server;   /**< Whether a server has room now. */
  double backlog_ms; /**< Time that the server needs for other requests
                        before. */
  double prompt_ms;  /**< Time that it needs for the prompt. */
};

enum waitqueue_action
{
  WAITQUEUE_SEND,
  WAITQUEUE_WAIT,
  WAITQUEUE_REFUSE /**< The caller would give up before the first event. */
};

struct waitqueue_settings
{
  double class_weights[PRIORITY_COUNT];
  unsigned limit;             /**< Maximum number of waiting requests. */
  double late_backlog_share;  /**< Backlog up to which a server gets late
                                 requests, as a share of their target. */
  double late_work_share;     /**< Share of the work that late requests get in
                                 any case. */
  double urgent_target_share; /**< Backlog up to which a server gets requests
                                 of the other classes, as a share of the
                                 target of a more urgent class. */
  double prompt_target_share; /**< The prompt's time counts as at most this
                                 share of the target, so that a long prompt
                                 can be in time. */
};

extern const struct waitqueue_settings waitqueue_settings_default;

/** The work of requests that were sent, as a rate. */
struct waitqueue_rate
{
  double work_ms; /**< Decaying sum. */
  int64_t updated_ns;
};

struct waitqueue
{
  const struct waitqueue_settings *settings;
  struct rng *rng;
  struct fairqueue in_time;
  struct fairqueue late;
  GHashTable *organisations; /**< Maps names to struct
                                waitqueue_organisation. */
  /** Shortest target of each class, and when a request with it was last seen.
   */
  double target_ms[PRIORITY_COUNT];
  int64_t target_seen_ns[PRIORITY_COUNT];
  struct waitqueue_rate sent;      /**< All requests that were sent. */
  struct waitqueue_rate sent_late; /**< The late ones among them. */
  double late_credit_ms;  /**< Work that late requests may be sent now. */
  int64_t next_return_ns; /**< Time from which on there is room for callers
                             that are refused now. */
};

/** Sends the request with ITEM if a server takes it.
 * @return whether it still waits as before */
typedef bool (*waitqueue_try) (void *data, struct waitqueue_request *request);

/** @param settings lives as long as the queue */
void waitqueue_init (struct waitqueue *queue,
                     const struct waitqueue_settings *settings,
                     struct rng *rng);
/** No request may be waiting. */
void waitqueue_finish (struct waitqueue *queue);

/** Returns the number of waiting requests. */
unsigned waitqueue_count (const struct waitqueue *queue);

/** Whether REQUEST waits. */
bool waitqueue_is_waiting (const struct waitqueue_request *request);

/** Whether a request of PRIORITY that has just arrived must wait, since others
 * that are as urgent wait. */
bool waitqueue_must_wait (const struct waitqueue *queue,
                          enum priority priority);

/** Decides what to do with REQUEST, which may wait, and whether it is late. */
enum waitqueue_action
waitqueue_decide (struct waitqueue *queue, struct waitqueue_request *request,
                  const struct waitqueue_outlook *outlook, int64_t now_ns);

/** Returns the time that REQUEST is expected to wait if it is added now. */
int64_t waitqueue_expected_wait_ns (const struct waitqueue *queue,
                                    const struct waitqueue_request *request,
                                    int64_t now_ns);

/** Adds REQUEST; has no effect if it waits. If the queue is full, a request of
 * the least urgent class that has requests, from the organisation whose
 * requests there need the most work, has to make way.
 * @param victim receives the request that the caller shall refuse, which may
 * be REQUEST; NULL if there is none */
void waitqueue_add (struct waitqueue *queue, struct waitqueue_request *request,
                    struct waitqueue_request **victim);

/** Removes REQUEST; has no effect unless it waits. */
void waitqueue_remove (struct waitqueue *queue,
                       struct waitqueue_request *request);

/** Records that REQUEST is sent to a server now, and removes it. */
void waitqueue_sent (struct waitqueue *queue,
                     struct waitqueue_request *request, int64_t now_ns);

/** Whether the caller of REQUEST gives up before a request that is sent at
 * NOW_NS could be answered. */
bool waitqueue_is_lost (const struct waitqueue_request *request,
                        int64_t now_ns);

/** Calls TRY for the waiting requests in their order. A class whose first
 * request finds no server is left out until it is behind its share by more
 * than a while's work; then the other classes wait for it. */
void waitqueue_serve (struct waitqueue *queue, int64_t now_ns,
                      waitqueue_try try_request, void *data);

/** Returns the Retry-After time of REQUEST, which is refused: when there is
 * room by the present estimate, after the callers that were refused before,
 * and at most MAX_NS. */
int64_t waitqueue_retry_after_ns (struct waitqueue *queue,
                                  const struct waitqueue_request *request,
                                  int64_t max_ns, int64_t now_ns);

#endif
