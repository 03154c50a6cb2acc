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
  ADMIT_DEADLINE_UNREACHABLE, /**< The response would come too late. */
  ADMIT_DEADLINE_PASSED,      /**< The request waited until it was too late. */
  ADMIT_CODE_COUNT
};

/** The stable name of CODE for callers, logs and metrics. */
const char *admit_code_name (enum admit_code code);

struct admit_refusal
{
  enum admit_code code;
  int64_t retry_after_ns; /**< Estimated from the backlog and randomly raised
                             by up to a quarter. */
};

enum admit_decision
{
  ADMIT_RUN_NOW, /**< The request runs now. */
  ADMIT_QUEUED,  /**< The start or refuse callback will be called. */
  ADMIT_REFUSED  /**< The request is not run. */
};

enum admit_state
{
  ADMIT_IDLE,
  ADMIT_WAITING,
  ADMIT_RUNNING,
  ADMIT_LOOKUP /**< A status lookup, which is not counted. */
};

struct admit_organisation;

/** Embedded in a request; zeroed by the caller before admit_submit. */
struct admit_request
{
  const char *organisation; /**< Only used during admit_submit. */
  enum priority priority;
  double cost;          /**< Cost of the whole run, over 0. */
  double response_cost; /**< Cost until the response or the first event of a
                         stream; 0: equal to COST. */
  int64_t deadline_ns;  /**< Deadline of the response, or of the first event of
                           a stream. */
  bool status_lookup;   /**< Always runs at once and is not counted. */

  /* The rest is private to admit.c. */
  struct fairqueue_item item;
  struct admit_organisation *organisation_state;
  enum admit_state state;
  bool response_started;
  double cost_ahead; /**< Cost ahead of it in its own flow when it was
                        queued. */
  int64_t submitted_ns;
  int64_t started_ns;
};

/** The callbacks are called from inside admit_ended, admit_cancel, admit_tick
 * and admit_set_concurrency. REFUSE is also called from inside admit_submit,
 * for another request. */
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
  double organisation_share; /**< Largest share of the concurrency for one
                                organisation, (0, 1]. */
  double urgent_share;       /**< Share of the concurrency reserved for urgent
                                requests, [0, 1). */
  double class_weights[PRIORITY_COUNT];
  unsigned class_queue_limits[PRIORITY_COUNT]; /**< Queue limits. */
};

/** Measured times of one priority class, as decaying sums or means. */
struct admit_timing
{
  double run_cost;
  double run_s;                /**< Time from start to end of the runs. */
  double response_s;           /**< Mean time from start to the response for
                                  one unit of cost. */
  double response_deviation_s; /**< Mean deviation of that time. */
  bool has_response;           /**< At least one response was measured. */
};

struct admit
{
  const struct clock *clock;
  struct rng *rng;
  const struct admit_ops *ops;
  void *data;
  struct admit_settings settings;
  struct fairqueue queue;
  void *organisations; /**< Hash table: name to admit_organisation. */
  struct admit_timing timing[PRIORITY_COUNT];
  unsigned concurrency; /**< Requests that may run at once now. */
  unsigned running;
  unsigned running_urgent;
};

void admit_init (struct admit *admit, const struct admit_settings *settings,
                 const struct clock *clock, struct rng *rng,
                 const struct admit_ops *ops, void *data);

/** No request may be waiting or running. */
void admit_finish (struct admit *admit);

/** Set the weight and the rate limit of an organisation. Until then its weight
 * is 1 and its rate is not limited.
 * @param rate_milli thousandths of a request per second; 0: no limit
 * @param burst requests */
void admit_set_organisation (struct admit *admit, const char *name,
                             double weight, int64_t rate_milli, int64_t burst);

/** Submit REQUEST.
 * @param refusal is filled if the result is ADMIT_REFUSED */
enum admit_decision admit_submit (struct admit *admit,
                                  struct admit_request *request,
                                  struct admit_refusal *refusal);

/** The response of a running request, or the first event of its stream, has
 * arrived. */
void admit_response_started (struct admit *admit,
                             struct admit_request *request);

/** A request that was started has ended.
 * @param complete it ran to its end, so its time is used as a sample */
void admit_ended (struct admit *admit, struct admit_request *request,
                  bool complete);

/** The caller disconnected: remove a waiting request from the queue; end a
 * running one like admit_ended. */
void admit_cancel (struct admit *admit, struct admit_request *request);

/** Change the concurrency when backend servers are added or removed. */
void admit_set_concurrency (struct admit *admit, unsigned concurrency);

/** Refuse the requests that have waited too long to meet their deadlines. */
void admit_tick (struct admit *admit);

/** Time at which admit_tick is due next. */
int64_t admit_next (const struct admit *admit);

#endif
