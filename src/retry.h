#ifndef RETRY_H
#define RETRY_H

#include "bucket.h"
#include "clock.h"
#include "rng.h"

#include <stdbool.h>
#include <stdint.h>

/** @file
 * Decides whether a request whose attempt on a backend server failed is
 * retried, and whether it may have run. Each retry takes from two token
 * buckets, the retry budgets: one of the gateway and one of the backend server
 * that the retry goes to. Completed requests refill them.
 */

enum
{
  RETRY_RESUMES_MAX = 3,           /**< Resume calls of one request. */
  RETRY_NOT_SENT_MAX = 4,          /**< Attempts of one request that sent no
                                      byte and do not count as tried. */
  RETRY_SERVER_BUDGETS_MAX = 16384 /**< Budgets of backend servers that are
                                        kept. */
};

/** How an attempt failed. */
enum retry_outcome
{
  RETRY_NOT_SENT,        /**< No byte was written to a connection. */
  RETRY_NOT_RUN,         /**< The backend server reported that the request did
                              not run. */
  RETRY_LOST_UNANSWERED, /**< The connection closed after the request was sent
                              and before any byte of the response. */
  RETRY_LOST_MIDWAY,     /**< The connection closed inside the response. */
  RETRY_SILENT,          /**< The attempt timed out without progress; its
                              connection is not used again. */
  RETRY_FAILED,          /**< The response reports a failure. */
  RETRY_CRASHED,         /**< The backend server crashed while it executed the
                              request. */
  RETRY_OUTCOME_COUNT
};

enum retry_action
{
  RETRY_STOP,           /**< Send the caller a final response. */
  RETRY_RESUME,         /**< Continue the same run through the engine's resume
                             call. */
  RETRY_ANOTHER_SERVER, /**< Try another backend server after the delay. */
  RETRY_ANOTHER_IF_CLEARED, /**< Like RETRY_ANOTHER_SERVER, provided that the
                         check for poison requests allows another run. */
  RETRY_ACTION_COUNT
};

/** Why a request is not retried. */
enum retry_reason
{
  RETRY_REASON_NONE,
  RETRY_REASON_MAY_HAVE_RUN,  /**< The request may have run and is not
                                   idempotent. */
  RETRY_REASON_RELAYED,       /**< The caller has received a part of the
                                   response. */
  RETRY_REASON_SERVERS_TRIED, /**< The limit of backend servers per request is
                                   reached. */
  RETRY_REASON_BUDGET,
  RETRY_REASON_DEADLINE,
  RETRY_REASON_COUNT
};

/** Return stable names for callers, logs and metrics. */
const char *retry_reason_name (enum retry_reason reason);
const char *retry_outcome_name (enum retry_outcome outcome);

/** The state of one request over all its attempts. */
struct retry_request
{
  bool idempotent;
  bool resumable;      /**< Its backend servers support resume calls. */
  bool relayed;        /**< The caller has received a part of the response. */
  int64_t deadline_ns; /**< CLOCK_NEVER if there is none. */
  bool may_have_run;   /**< Set by retry_decide. */
  unsigned servers_tried; /**< Backend servers tried, without the attempts that
                         `not_sent_count` counts. */
  unsigned not_sent_count; /**< Attempts that sent no byte, up to
                                RETRY_NOT_SENT_MAX. */
  unsigned resumes;
  unsigned backoff_count; /**< Delays so far, which determine the length of the
                               next one. */
};

struct retry_decision
{
  enum retry_action action;
  enum retry_reason reason; /**< Set if the action is RETRY_STOP. */
  bool not_run;             /**< No attempt of the request can have run. */
  int64_t delay_ns;
  int64_t retry_after_ns; /**< When the caller may retry; 0: it should not
                               retry. */
};

struct retry_settings
{
  double budget_share;  /**< Retries per completed request, [0, 1]. */
  unsigned servers_max; /**< Backend servers that one request may be tried
                             on. */
  int64_t backoff_base_ns;
  int64_t backoff_max_ns;
};

struct retry
{
  const struct clock *clock;
  struct rng *rng;
  struct retry_settings settings;
  struct bucket gateway_budget;
  void *server_budgets; /**< GHashTable that maps server names to struct
                             bucket. */
};

void retry_init (struct retry *retry, const struct retry_settings *settings,
                 const struct clock *clock, struct rng *rng);
void retry_finish (struct retry *retry);

/** Must be called before each attempt of REQUEST on a backend server that it
 * has not tried, including the first one, and only if retry_decide allowed
 * the attempt. */
void retry_begin_attempt (const struct retry *retry,
                          struct retry_request *request);

/** Records that SERVER completed a request, which refills the budgets. */
void retry_record_success (struct retry *retry, const char *server);

/** Decides what follows after an attempt of REQUEST ended with OUTCOME. A
 * retry takes from the budget of the gateway. */
struct retry_decision retry_decide (struct retry *retry,
                                    struct retry_request *request,
                                    enum retry_outcome outcome);

/** Whether the budget of SERVER allows a retry there. Placement is to
 * exclude the servers where it does not. */
bool retry_server_has_budget (struct retry *retry, const char *server);

/** Takes one retry from the budget of SERVER. */
void retry_server_charge (struct retry *retry, const char *server);

#endif
