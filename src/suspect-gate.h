#ifndef SUSPECT_GATE_H
#define SUSPECT_GATE_H

#include "clock.h"
#include "list.h"
#include "suspect.h"

#include <stdbool.h>

/** @file
 * The gateway's side of suspect.h: takes a slot before a request is handed to
 * a backend server, and reports how the run ended.
 */

enum
{
  SUSPECT_REPORTS_MAX = 4096 /**< reports kept until they are durable */
};

enum suspect_decision
{
  SUSPECT_GO,
  SUSPECT_GO_ALONE,   /**< on a backend server that runs nothing else */
  SUSPECT_REFUSE,     /**< two backend servers died: not run this time */
  SUSPECT_UNAVAILABLE /**< no owner could say: not run, later can help */
};

enum suspect_end
{
  SUSPECT_END_WELL,    /**< the backend server gave its whole answer */
  SUSPECT_END_NOTHING, /**< not run, cancelled, or failed without a death */
  SUSPECT_END_DIED     /**< the backend server died while running it */
};

enum suspect_run_state
{
  SUSPECT_RUN_IDLE,
  SUSPECT_RUN_ASKING,
  SUSPECT_RUN_WAITING, /**< asks again at due_ns */
  SUSPECT_RUN_DECIDED
};

/** Embedded in a request; zeroed by the caller. */
struct suspect_run
{
  struct list node;
  struct suspect_fingerprint fingerprint;
  int64_t deadline_ns;
  enum suspect_run_state state;
  uint64_t id;
  uint64_t partition;          /**< that was asked */
  unsigned slot;               /**< that was asked */
  unsigned asked;              /**< slots asked in this round */
  bool holding;                /**< the slot is taken */
  bool open[SUSPECT_SLOTS];    /**< the slot may come free */
  bool used_up[SUSPECT_SLOTS]; /**< seen in the last round */
  bool tainted;                /**< a death was seen on one of them */
  int64_t hold_ns;             /**< least time left of a used-up slot */
  int64_t due_ns;
};

struct suspect_gate_ops
{
  /** The partition that keeps SLOT of FINGERPRINT; not 0. */
  uint64_t (*partition) (void *data, unsigned slot,
                         const struct suspect_fingerprint *fingerprint);
  /** The owner of PARTITION runs on the host of this gateway. */
  bool (*same_host) (void *data, uint64_t partition);
  /** To the owner of PARTITION; may be lost. */
  void (*send) (void *data, uint64_t partition,
                const struct suspect_message *message);
  /** May be called from inside suspect_gate_begin, tick and receive; must not
   * call suspect_gate_end for another run.
   * @param retry_after_ns 0 unless refused or unavailable */
  void (*decided) (void *data, struct suspect_run *run,
                   enum suspect_decision decision, int64_t retry_after_ns);
};

struct suspect_gate
{
  const struct clock *clock;
  const struct suspect_gate_ops *ops;
  void *data;
  uint64_t gateway;
  unsigned slots;      /**< 1 or SUSPECT_SLOTS: backend servers to lose */
  bool unchecked;      /**< go if no owner answers */
  struct list runs;    /**< all that are not idle */
  struct list reports; /**< the oldest first */
  struct list syncs;   /**< that no owner has confirmed yet */
  unsigned report_count;
  uint64_t last_id;
};

/** @param gateway must differ after each start of the process */
void suspect_gate_init (struct suspect_gate *gate, uint64_t gateway,
                        unsigned slots, bool unchecked,
                        const struct clock *clock,
                        const struct suspect_gate_ops *ops, void *data);
void suspect_gate_finish (struct suspect_gate *gate);

/** Ask whether RUN, with its fingerprint and deadline set, may run. */
void suspect_gate_begin (struct suspect_gate *gate, struct suspect_run *run);

/** The run is over, or given up before the decision. */
void suspect_gate_end (struct suspect_gate *gate, struct suspect_run *run,
                       enum suspect_end end);

void suspect_gate_receive (struct suspect_gate *gate,
                           const struct suspect_message *message);

/** PARTITION has a new owner or a new connection: name to it what is held and
 * not yet durable, again and again until it confirms. Harmless at any time;
 * gives back what lost messages left taken. */
void suspect_gate_sync (struct suspect_gate *gate, uint64_t partition);

void suspect_gate_tick (struct suspect_gate *gate);
int64_t suspect_gate_next (const struct suspect_gate *gate);

#endif
