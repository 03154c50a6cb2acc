#ifndef ADMIT_H
#define ADMIT_H

#include "bucket.h"
#include "clock.h"
#include "fairqueue.h"
#include "rng.h"

#include <stdbool.h>
#include <stdint.h>

/** @file
 * Admission of one gateway: which request runs now, which waits, and which is
 * refused at once because it can't make its deadline. A request is refused
 * only while it has not been started, so every refusal means "not run".
 *
 * Cost is any unit that is in proportion to the work, tokens for instance;
 * the time per cost is measured by class.
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
  ADMIT_DEADLINE_UNREACHABLE, /**< it would be answered too late */
  ADMIT_DEADLINE_PASSED,      /**< it became too late while it waited */
  ADMIT_CODE_COUNT
};

/** The stable code for callers, logs and metrics. */
const char *admit_code_name (enum admit_code code);

struct admit_refusal
{
  enum admit_code code;
  int64_t retry_after_ns; /**< from the backlog, spread by up to a quarter */
};

enum admit_answer
{
  ADMIT_PASS,   /**< it runs now */
  ADMIT_WAIT,   /**< start or refuse will be called */
  ADMIT_REFUSED /**< not run */
};

enum admit_state
{
  ADMIT_IDLE,
  ADMIT_WAITING,
  ADMIT_RUNNING,
  ADMIT_LOOKUP
};

struct admit_organisation;

/** Embedded in a request; zeroed by the caller before admit_ask. */
struct admit_request
{
  const char *organisation; /**< only used during admit_ask */
  enum priority priority;
  double cost;         /**< of the whole run, over 0 */
  double answer_cost;  /**< until its answer or first piece; 0: as COST */
  int64_t deadline_ns; /**< of its answer, or the first piece of a stream */
  bool status_lookup;  /**< always passes and takes no place */

  /* The rest is admit's own. */
  struct fairqueue_item item;
  struct admit_organisation *account;
  enum admit_state state;
  bool answered;
  double ahead; /**< cost of its own flow before it */
  int64_t asked_ns;
  int64_t started_ns;
};

/** Calls from inside admit_done, admit_cancel, admit_tick and
 * admit_set_concurrency; refuse also from admit_ask, for another request. */
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
  double organisation_share; /**< of the concurrency, (0, 1] */
  double urgent_share;       /**< of the concurrency, [0, 1) */
  double weights[PRIORITY_COUNT];
  unsigned limits[PRIORITY_COUNT];
};

/** Decaying sums of the samples of one class. */
struct admit_pace
{
  double run_cost;
  double run_s;      /**< from start to done */
  double answer_s;   /**< mean from start to the answer, per cost */
  double answer_dev; /**< mean deviation of that */
  bool known;
};

struct admit
{
  const struct clock *clock;
  struct rng *rng;
  const struct admit_ops *ops;
  void *data;
  struct admit_settings settings;
  struct fairqueue queue;
  void *organisations; /**< hash table: name to admit_organisation */
  struct admit_pace pace[PRIORITY_COUNT];
  unsigned limit; /**< concurrency in force */
  unsigned running;
  unsigned running_urgent;
};

void admit_init (struct admit *admit, const struct admit_settings *settings,
                 const struct clock *clock, struct rng *rng,
                 const struct admit_ops *ops, void *data);

/** No request may be waiting or running. */
void admit_finish (struct admit *admit);

/** Give an organisation its weight and its rate; one that was never set has
 * weight 1 and no limit of rate.
 * @param rate_milli thousandths of a request per second; 0: no limit
 * @param burst requests */
void admit_set_organisation (struct admit *admit, const char *organisation,
                             double weight, int64_t rate_milli, int64_t burst);

/** @param refusal is filled if the answer is ADMIT_REFUSED */
enum admit_answer admit_ask (struct admit *admit,
                             struct admit_request *request,
                             struct admit_refusal *refusal);

/** A running request got its answer or the first piece of its stream. */
void admit_answered (struct admit *admit, struct admit_request *request);

/** A request that passed or was started has ended.
 * @param measured it ran to its end, so that its time says something */
void admit_done (struct admit *admit, struct admit_request *request,
                 bool measured);

/** The caller went away: give up waiting, or end as admit_done. */
void admit_cancel (struct admit *admit, struct admit_request *request);

/** Change the concurrency, when backend servers come or go. */
void admit_set_concurrency (struct admit *admit, unsigned concurrency);

/** Refuse what has waited too long. */
void admit_tick (struct admit *admit);

/** When admit_tick is next due. */
int64_t admit_next (const struct admit *admit);

#endif
