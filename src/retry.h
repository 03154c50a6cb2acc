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
  /** Maximum number of resume calls for one request. */
  RETRY_RESUMES_MAX = 3,
  /** Maximum number of attempts of one request that sent no byte and do not
   * count against the limit of servers. */
  RETRY_NOT_SENT_MAX = 4,
  /** Maximum number of backend servers whose budgets are kept. */
  RETRY_SERVER_BUDGETS_MAX = 16384
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
  RETRY_ANOTHER_SERVER, /**< Try another backend server after delay_ns. */
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
  RETRY_REASON_SERVERS_TRIED, /**< The request has been tried on the maximum
                                 number of backend servers. */
  RETRY_REASON_BUDGET,
  RETRY_REASON_DEADLINE,
  RETRY_REASON_COUNT
};

/** Returns the name of REASON or OUTCOME that callers, logs and metrics see.
 * These names do not change. */
const char *retry_reason_name (enum retry_reason reason);
const char *retry_outcome_name (enum retry_outcome outcome);

/** The state of one request over all its attempts. */
struct retry_request
{
  bool idempotent;
  bool resumable; /**< Whether the request's backend servers support resume
                     calls. */
  bool relayed; /**< Whether the caller has received a part of the response. */
  /** Deadline of the request; CLOCK_NEVER if it has none. */
  int64_t deadline_ns;
  bool may_have_run; /**< Whether an attempt may have run the request; set by
                        retry_decide. */
  unsigned servers_tried;  /**< Number of backend servers tried, without the
                              attempts that `not_sent_count` counts. */
  unsigned not_sent_count; /**< Number of attempts that sent no byte, up to
                              RETRY_NOT_SENT_MAX. */
  unsigned resume_count;
  unsigned backoff_count; /**< Number of delays so far, from which the limit of
                             the next delay follows. */
};

struct retry_decision
{
  enum retry_action action;
  enum retry_reason reason; /**< Why the request is not retried, if the action
                               is RETRY_STOP. */
  /** Whether it is certain that no attempt has run the request. */
  bool not_run;
  int64_t delay_ns;
  int64_t retry_after_ns; /**< Time after which the caller may retry; 0 if the
                             caller should not retry. */
};

struct retry_settings
{
  double budget_share; /**< Number of retries allowed per completed request, in
                          [0, 1]. */
  unsigned servers_max; /**< Maximum number of backend servers that one request
                           may be tried on. */
  int64_t backoff_base_ns;
  int64_t backoff_max_ns;
};

struct retry
{
  const struct clock *clock;
  struct rng *rng;
  struct retry_settings settings;
  struct bucket gateway_budget;
  void *server_budgets; /**< A GHashTable that maps server names to struct
                           bucket. */
};

void retry_init (struct retry *retry, const struct retry_settings *settings,
                 const struct clock *clock, struct rng *rng);
void retry_finish (struct retry *retry);

/** Counts one more backend server as tried by REQUEST. Must be called before
 * the first attempt, and before each retry on another server that retry_decide
 * allowed. */
void retry_begin_attempt (const struct retry *retry,
                          struct retry_request *request);

/** Records that SERVER completed a request, and refills the budgets of the
 * gateway and of SERVER in return. */
void retry_record_success (struct retry *retry, const char *server);

/** Decides what follows after an attempt of REQUEST ended with OUTCOME. A
 * retry or a resume call is taken from the budget of the gateway. */
struct retry_decision retry_decide (struct retry *retry,
                                    struct retry_request *request,
                                    enum retry_outcome outcome);

/** Whether the budget of SERVER allows a retry on SERVER. A retry must not be
 * sent to a server whose budget does not allow it. */
bool retry_server_has_budget (struct retry *retry, const char *server);

/** Takes one retry from the budget of SERVER. */
void retry_server_charge (struct retry *retry, const char *server);

#endif
