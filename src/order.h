#ifndef ORDER_H
#define ORDER_H

#include "orderplan.h"
#include "permit.h"

/** @file
 * Issues the orders of one shard process to engines, so that the weight
 * versions and roles that they report come to match the configuration.
 *
 * Each engine belongs to a partition. Only the process that owns the partition
 * sends orders to the engine, with the partition's fencing token, and directly
 * before each send it checks by its own clock that it is still the owner. At
 * most one order to an engine is pending at a time. It keeps its id until a
 * report shows its effect or it is given up, so that an order whose reply was
 * lost can safely be retried.
 */

enum
{
  ORDER_NAME_MAX = 64, /**< Bytes of an engine's name with the final NUL. */
  ORDER_ID_MAX = 320   /**< Bytes of an order's id with the final NUL. */
};

struct order_settings
{
  int64_t flight_ns;  /**< An order reaches the engine within this time or
                       * never. */
  int64_t load_ns;    /**< An engine finishes a load within this time of
                       * receiving the order; a load order is sent only if the
                       * lease lasts for both times. */
  int64_t retry_ns;   /**< Mean delay before an order is retried. */
  int64_t give_up_ns; /**< An order without effect is given up after this
                       * time, which is longer than flight_ns. Also the mean
                       * delay before the next order to that engine. */
  int64_t linger_ns;  /**< A version stays loaded for at least this time after
                       * it is found to be no longer declared. */
  int64_t report_ns;  /**< Older reports are not used to decide on orders. */
};

/** The declaration of an engine, without its weight versions. */
struct order_engine
{
  const char *name;
  const char *service; /**< Service of the engine; also the name of the pool
                        * that its load permits come from. */
  const char *role;    /**< "" for any. */
  bool checks_fencing; /**< The engine refuses orders with an old fencing
                        * token. */
  unsigned load_limit; /**< Concurrent weight loads in the service. */
};

enum order_note
{
  ORDER_NOTE_SENT,
  ORDER_NOTE_DONE,    /**< A report shows the effect of the order. */
  ORDER_NOTE_REFUSED, /**< The engine has received a higher fencing token. */
  ORDER_NOTE_WAITING, /**< An order is needed but cannot be sent yet. */
  ORDER_NOTE_GIVEN_UP,
  ORDER_NOTE_COUNT
};

struct order;

struct order_ops
{
  /** Send WHAT to ENGINE. Pass the reply to order_replied with the same
   * ATTEMPT, but never from inside this call. */
  void (*send) (void *data, const char *engine, uint64_t attempt,
                const struct engine_order *what);
  /** Log and count EVENT. DETAIL is the order's id, or for
   * ORDER_NOTE_WAITING the reason. */
  void (*record) (void *data, enum order_note event, const char *engine,
                  const char *detail);
};

struct order
{
  struct order_settings settings;
  const struct order_ops *ops;
  void *data;
  struct owner *owner;
  struct kv *kv;
  const struct clock *clock;
  struct rng *rng;
  GHashTable *engines; /* name to struct engine */
  GHashTable *plans;   /* service to struct orderplan */
  bool stopping;
  uint64_t last_attempt; /**< Number of the latest attempt to any engine. */
  uint64_t event_counts[ORDER_NOTE_COUNT];
  uint64_t permit_kv_calls; /**< KV calls made to acquire and release
                             * permits. */
};

/** OWNER, KV, CLOCK and RNG must outlive ISSUER. */
void order_init (struct order *issuer, const struct order_settings *settings,
                 struct owner *owner, struct kv *kv, const struct clock *clock,
                 struct rng *rng, const struct order_ops *ops, void *data);
/** No KV call may be in flight: finish the KV interface first. */
void order_finish (struct order *issuer);

/** Use the declarations of CONFIG from now on. */
void order_configure (struct order *issuer, const struct config *config);

/** Add the engine that DECLARED names, or update its declaration. */
void order_engine_set (struct order *issuer,
                       const struct order_engine *declared);
/** The engine NAME is no longer on the host list. It is removed once its
 * pending order is done or given up and its permit is released. */
void order_engine_gone (struct order *issuer, const char *name);

/** Whether this process currently issues the orders to the engine NAME. */
bool order_engine_ours (const struct order *issuer, const char *name);

/** Handle the load report LOAD of the engine NAME. */
void order_report (struct order *issuer, const char *name,
                   const struct engine_load *load);

/** Handle the reply of the engine NAME to the attempt with the number ATTEMPT.
 * STATUS is as in engine_order_done. */
void order_replied (struct order *issuer, const char *name, uint64_t attempt,
                    enum status status);

/** Send no more orders. */
void order_stop (struct order *issuer);
/** Whether no load that this process ordered can still be running. Only then
 * may the process release its lease, and its permits with it. */
bool order_idle (const struct order *issuer);

void order_tick (struct order *issuer);
/** @return the time at which order_tick must be called next. */
int64_t order_next (const struct order *issuer);

#endif
