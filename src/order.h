#ifndef ORDER_H
#define ORDER_H

#include "orderplan.h"
#include "permit.h"

/** @file
 * The orders of one shard process to engines: what they report is brought to
 * what the configuration declares.
 *
 * An engine falls to a partition; only the process that holds the partition
 * sends it orders, with the partition's fencing number, and looks at its own
 * clock directly before each. There is one order at a time to an engine. It
 * keeps its id until a report shows its effect or it is given up, so that an
 * order whose reply was lost is sent again without harm.
 */

enum
{
  ORDER_NAME_MAX = 64, /**< bytes of an engine's name, with the final NUL */
  ORDER_ID_MAX = 320   /**< bytes, with the final NUL */
};

struct order_settings
{
  int64_t flight_ns;  /**< An order arrives by then or never. */
  int64_t load_ns;    /**< The lease must last so long after a load is sent. */
  int64_t retry_ns;   /**< Mean wait until an order is sent again. */
  int64_t give_up_ns; /**< over FLIGHT_NS; of an order without effect */
  int64_t linger_ns;  /**< A version stays so long after its declaration. */
  int64_t report_ns;  /**< Older reports are not acted on. */
};

/** What is declared about an engine besides its versions. */
struct order_engine
{
  const char *name;
  const char *service; /**< of the engine; also the pool of its permits */
  const char *role;    /**< "" for any */
  bool checks_fencing; /**< It refuses an old fencing number. */
  unsigned load_limit; /**< loads at a time in the service */
};

enum order_note
{
  ORDER_NOTE_SENT,
  ORDER_NOTE_DONE,    /**< A report shows the effect. */
  ORDER_NOTE_REFUSED, /**< The engine has seen a higher fencing number. */
  ORDER_NOTE_WAITING, /**< Something is to be done, but not yet. */
  ORDER_NOTE_GIVEN_UP,
  ORDER_NOTE_COUNT
};

struct order;

struct order_ops
{
  /** Send WHAT to ENGINE; the answer goes to order_replied with NUMBER, never
   * from inside this call. */
  void (*send) (void *data, const char *engine, uint64_t number,
                const struct engine_order *what);
  /** WHAT names the order by its id, or why it waits. */
  void (*note) (void *data, enum order_note note, const char *engine,
                const char *what);
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
  uint64_t last_number;
  uint64_t notes[ORDER_NOTE_COUNT]; /**< how often each was made */
  uint64_t kv_calls;                /**< of permits */
};

/** OWNER, KV, CLOCK and RNG outlive ORDER. */
void order_init (struct order *order, const struct order_settings *settings,
                 struct owner *owner, struct kv *kv, const struct clock *clock,
                 struct rng *rng, const struct order_ops *ops, void *data);
/** No KV call may be open: finish the KV interface before. */
void order_finish (struct order *order);

/** CONFIG is in force. */
void order_configure (struct order *order, const struct config *config);

/** ENGINE exists, with these declarations. */
void order_engine_set (struct order *order, const struct order_engine *engine);
/** It is no longer on the list of hosts. */
void order_engine_gone (struct order *order, const char *name);

/** Whether this process issues the orders of the engine NAME now. */
bool order_engine_ours (const struct order *order, const char *name);

/** The engine NAME reports LOAD. */
void order_report (struct order *order, const char *name,
                   const struct engine_load *load);

/** The answer to the order sent with NUMBER; the statuses of engine_ops. */
void order_replied (struct order *order, const char *name, uint64_t number,
                    enum status status);

/** Send nothing more. */
void order_stop (struct order *order);
/** Whether no load that we sent can still run: only then may the lease be
 * given back, and the permits with it. */
bool order_idle (const struct order *order);

void order_tick (struct order *order);
int64_t order_next (const struct order *order);

#endif
