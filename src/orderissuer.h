#ifndef ORDERISSUER_H
#define ORDERISSUER_H

#include "orderplan.h"
#include "permit.h"

/** @file
 * Issues the orders of one shard process to engines, so that the weight
 * versions and roles that they report come to match the configuration.
 *
 * Each engine belongs to a partition. Only the process that owns the partition
 * sends orders to the engine, with the partition's fencing token, and directly
 * before each send it checks by its own clock that it is still the owner. At
 * most one order to an engine is pending at a time. An order keeps its id
 * until a report shows its effect or it is given up, so that an order whose
 * reply was lost can safely be retried.
 */

enum
{
  /** Size of an engine's name, including the final NUL. */
  ORDERISSUER_NAME_MAX = 64,
  /** Size of an order's id, including the final NUL. */
  ORDERISSUER_ID_MAX = 320
};

struct orderissuer_settings
{
  int64_t delivery_timeout_ns;  /**< Time after which an order that has not
                                   reached the engine never does. */
  int64_t load_duration_max_ns; /**< Maximum time in which an engine finishes a
                                   load after it received the order. A load
                                   order is sent only if the lease lasts for
                                   both delivery_timeout_ns and this time. */
  int64_t retry_mean_ns;        /**< Mean delay before an order is retried. */
  int64_t give_up_ns; /**< Time after which an order without effect is given
                         up; longer than delivery_timeout_ns. Also the mean
                         delay before the next order to that engine. */
  int64_t unload_grace_ns; /**< Minimum time that a version stays loaded after
                              it is found to be no longer declared. */
  int64_t report_max_age_ns; /**< Maximum age of a report that is used to
                                decide on orders. */
};

/** The declaration of an engine, without its weight versions. */
struct orderissuer_engine
{
  const char *name;
  const char *service; /**< Service of the engine; also the name of the pool
                        * that its load permits come from. */
  const char *role;    /**< Declared role; "" for any role. */
  bool checks_fencing; /**< Whether the engine refuses orders with an old
                          fencing token. */
  unsigned load_limit; /**< Maximum number of concurrent weight loads in the
                          service. */
};

enum orderissuer_event
{
  ORDERISSUER_EVENT_SENT,
  ORDERISSUER_EVENT_DONE,    /**< A report shows the effect of the order. */
  ORDERISSUER_EVENT_REFUSED, /**< The engine has received a higher fencing
                                token. */
  ORDERISSUER_EVENT_WAITING, /**< An order is needed but cannot be sent yet. */
  ORDERISSUER_EVENT_GIVEN_UP,
  ORDERISSUER_EVENT_COUNT
};

struct orderissuer;

struct orderissuer_ops
{
  /** Send the order WHAT to ENGINE. Pass the reply to
   * orderissuer_reply_received with the same ATTEMPT, but never from
   * inside this call. */
  void (*send) (void *data, const char *engine, uint64_t attempt,
                const struct engine_order *what);
  /** Log and count EVENT. DETAIL is the order's id, or for
   * ORDERISSUER_EVENT_WAITING the reason. */
  void (*record) (void *data, enum orderissuer_event event, const char *engine,
                  const char *detail);
};

struct orderissuer
{
  struct orderissuer_settings settings;
  const struct orderissuer_ops *ops;
  void *data;
  struct owner *owner;
  struct kv *kv;
  const struct clock *clock;
  struct rng *rng;
  GHashTable *engines; /* Map from name to struct engine. */
  GHashTable *plans;   /* Map from service to struct orderplan. */
  bool stopping;
  uint64_t last_attempt; /**< Number of the latest attempt to any engine. */
  uint64_t event_counts[ORDERISSUER_EVENT_COUNT];
  uint64_t permit_kv_calls; /**< Number of KV calls made to acquire and release
                               permits. */
};

/** OWNER, KV, CLOCK and RNG must outlive ISSUER. */
void orderissuer_init (struct orderissuer *issuer,
                       const struct orderissuer_settings *settings,
                       struct owner *owner, struct kv *kv,
                       const struct clock *clock, struct rng *rng,
                       const struct orderissuer_ops *ops, void *data);
/** No KV call may be in flight: finish the KV interface first. */
void orderissuer_finish (struct orderissuer *issuer);

/** Use the declarations of CONFIG from now on. */
void orderissuer_configure (struct orderissuer *issuer,
                            const struct config *config);

/** Add the engine that DECLARED names, or update its declaration. */
void orderissuer_engine_set (struct orderissuer *issuer,
                             const struct orderissuer_engine *declared);
/** The engine NAME is no longer on the host list. It is removed once its
 * pending order is done or given up and its permit is released. */
void orderissuer_engine_remove (struct orderissuer *issuer, const char *name);

/** Whether this process currently issues the orders to the engine NAME. */
bool orderissuer_issues_to (const struct orderissuer *issuer,
                            const char *name);

/** Handle the load report LOAD of the engine NAME. */
void orderissuer_report_received (struct orderissuer *issuer, const char *name,
                                  const struct engine_load *load);

/** Handle the reply of the engine NAME to the attempt with the number ATTEMPT.
 * STATUS is as in engine_order_done. */
void orderissuer_reply_received (struct orderissuer *issuer, const char *name,
                                 uint64_t attempt, enum status status);

/** Stop sending orders. */
void orderissuer_stop (struct orderissuer *issuer);
/** Whether no load that this process ordered can still be running. Only then
 * may the process release its lease, and its permits with it. */
bool orderissuer_loads_ended (const struct orderissuer *issuer);

void orderissuer_tick (struct orderissuer *issuer);
/** @return the time at which orderissuer_tick must be called next. */
int64_t orderissuer_next_due_ns (const struct orderissuer *issuer);

#endif
