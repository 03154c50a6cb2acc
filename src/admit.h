#ifndef ADMIT_H
#define ADMIT_H

#include "bucket.h"
#include "clock.h"
#include "fairqueue.h"
#include "rng.h"

#include <stdbool.h>
#include <stdint.h>

/** @file
 * Admission queue of a gateway: decides which request runs now, which waits,
 * and which is refused at once because it can't meet its deadline. A request
 * is refused only before it is started, so every refusal means "not run".
 *
 * Cost is any unit that is proportional to the work, tokens for instance; the
 * time for one unit of cost is measured by priority class.
 */

enum
{
  ADMIT_RETRY_AFTER_MAX_S = 600
};

enum admit_code
{
  ADMIT_QUEUE_FULL,
  ADMIT_ORGANISATION_QUEUE_FULL,
  ADMIT_ORGANISATION_RATE,
  ADMIT_DEADLINE_UNREACHABLE, /**< The response would miss the deadline. */
  ADMIT_DEADLINE_PASSED, /**< The request waited so long that its deadline can
                            no longer be met. */
  ADMIT_CODE_COUNT
};

/** Name of CODE in error responses, logs and metrics; it never changes. */
const char *admit_code_name (enum admit_code code);

struct admit_refusal
{
  enum admit_code code;
  int64_t retry_after_ns; /**< Time until the caller should retry: estimated
                             from the backlog and randomly increased by up to a
                             quarter. */
};

enum admit_decision
{
  ADMIT_RUN_NOW, /**< The request runs now. */
  ADMIT_QUEUED,  /**< The request waits; the start or refuse callback is called
                    later. */
  ADMIT_REFUSED  /**< The request is not run. */
};

enum admit_state
{
  ADMIT_IDLE,
  ADMIT_WAITING,
  ADMIT_RUNNING,
  ADMIT_LOOKUP /**< The request is a status lookup, which does not count
                  against the concurrency. */
};

struct admit_organisation;

/** Admission state of one request. The caller embeds it in the request and
 * sets all of it to zero before admit_submit. */
struct admit_request
{
  const char *organisation; /**< Name of the organisation; only used during
                               admit_submit. */
  enum priority priority;
  double cost;          /**< Cost of the whole run; more than 0. */
  double response_cost; /**< Cost until the response or the first event of a
                           stream; 0 means that it equals cost. */
  int64_t deadline_ns;  /**< Deadline of the response, or of the first event of
                           a stream. */
  bool status_lookup; /**< Whether the request is a status lookup, which always
                         runs at once and does not count against the
                         concurrency. */

  /* The members below are private to admit.c. */
  struct fairqueue_item item;
  struct admit_organisation *organisation_state;
  enum admit_state state;
  bool response_started; /**< Whether admit_response_started was called. */
  double cost_ahead; /**< Cost of the requests ahead of this one in its flow at
                        the time it was queued. */
  int64_t submitted_ns;
  int64_t started_ns;
};

/** Callbacks of the admission queue. They are called from inside admit_ended,
 * admit_cancel, admit_tick and admit_set_concurrency. admit_submit also calls
 * refuse, for a request other than the submitted one. */
struct admit_ops
{
  void (*start) (void *data, struct admit_request *request);
  void (*refuse) (void *data, struct admit_request *request,
                  const struct admit_refusal *refusal);
};

struct admit_settings
{
  unsigned concurrency;
  unsigned queue_limit;
  unsigned organisation_queue_limit;
  double organisation_share; /**< Maximum share of the concurrency that one
                                organisation may use, in (0, 1]. */
  double urgent_share;       /**< Share of the concurrency that is reserved for
                                urgent requests, in [0, 1). */
  double class_weights[PRIORITY_COUNT];
  unsigned class_queue_limits[PRIORITY_COUNT]; /**< Maximum number of queued
                                                  requests of each priority
                                                  class. */
};

/** Measured run and response times of one priority class, as decaying sums or
 * means. */
struct admit_timing
{
  double run_cost;   /**< Decaying sum of the costs of the runs. */
  double run_s;      /**< Decaying sum of the durations of the runs. */
  double response_s; /**< Mean time from the start of a run to its response,
                        divided by the response cost. */
  double response_deviation_s; /**< Mean absolute deviation of response_s. */
  bool has_response; /**< Whether at least one response was measured. */
};

struct admit
{
  const struct clock *clock;
  struct rng *rng;
  const struct admit_ops *ops;
  void *data;
  struct admit_settings settings;
  struct fairqueue queue;
  /** Hash table from name to struct admit_organisation. */
  void *organisations;
  struct admit_timing timing[PRIORITY_COUNT];
  unsigned concurrency; /**< Number of requests that may run at once now. */
  unsigned running;
  unsigned running_urgent;
};

void admit_init (struct admit *admit, const struct admit_settings *settings,
                 const struct clock *clock, struct rng *rng,
                 const struct admit_ops *ops, void *data);

/** Free what ADMIT holds. No request may be waiting or running. */
void admit_finish (struct admit *admit);

/** Set the weight and the rate limit of an organisation. By default the weight
 * is 1 and the rate is not limited.
 * @param rate_milli rate limit in thousandths of a request per second; 0 means
 * no limit
 * @param burst size of the token bucket, in requests */
void admit_set_organisation (struct admit *admit, const char *name,
                             double weight, int64_t rate_milli, int64_t burst);

/** Submit REQUEST.
 * @param refusal receives the reason if the result is ADMIT_REFUSED */
enum admit_decision admit_submit (struct admit *admit,
                                  struct admit_request *request,
                                  struct admit_refusal *refusal);

/** Record that the response of a running request, or the first event of its
 * stream, has arrived. */
void admit_response_started (struct admit *admit,
                             struct admit_request *request);

/** Record that a request that was started has ended.
 * @param complete whether the request ran to its end, so that its duration is
 * used as a sample */
void admit_ended (struct admit *admit, struct admit_request *request,
                  bool complete);

/** Cancel REQUEST because its caller disconnected: remove a waiting request
 * from the queue, and end a running one like admit_ended. */
void admit_cancel (struct admit *admit, struct admit_request *request);

/** Change the number of requests that may run at once, because backend servers
 * were added or removed. */
void admit_set_concurrency (struct admit *admit, unsigned concurrency);

/** Refuse the requests that have waited too long to meet their deadlines. */
void admit_tick (struct admit *admit);

/** Time at which admit_tick has to be called next. */
int64_t admit_next_tick_ns (const struct admit *admit);

#endif
