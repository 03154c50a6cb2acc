#ifndef SUSPECT_GATE_H
#define SUSPECT_GATE_H

#include "clock.h"
#include "list.h"
#include "suspect.h"

#include <stdbool.h>

/** @file
 * The gateway's side of suspect.h: acquires a slot before a request is sent to
 * a backend server, and reports how the run ended.
 */

enum
{
  POISON_REPORTS_MAX = 4096 /**< Unacknowledged reports that are kept. */
};

enum suspect_decision
{
  SUSPECT_GO,
  SUSPECT_GO_ALONE,   /**< Run on a backend server that runs nothing else. */
  SUSPECT_REFUSE,     /**< Not run: all slots of the request are used up. */
  SUSPECT_UNAVAILABLE /**< Not run: no slot could be acquired before the
                         deadline; a later retry may succeed. */
};

enum suspect_end
{
  SUSPECT_END_WELL,    /**< The backend server sent its whole response. */
  SUSPECT_END_NOTHING, /**< Not run, cancelled, or failed without a crash. */
  SUSPECT_END_DIED     /**< The backend server crashed during the run. */
};

enum poison_run_state
{
  POISON_RUN_IDLE,
  POISON_RUN_ACQUIRING, /**< Waits for an owner's reply. */
  POISON_RUN_WAITING,   /**< Tries to acquire a slot again at due_ns. */
  POISON_RUN_DECIDED
};

/** The state of one attempt; embedded in a request and zeroed by the
 * caller. */
struct suspect_run
{
  struct list node;
  struct suspect_fingerprint fingerprint;
  int64_t deadline_ns;
  enum poison_run_state state;
  uint64_t id;
  uint64_t partition;   /**< Partition that was tried last. */
  unsigned slot;        /**< Slot that was tried last. */
  unsigned tried_count; /**< Slots tried in this round. */
  bool holds_slot;
  bool may_free_up[SUSPECT_SLOTS]; /**< The owner replied that the slot is busy
                                      or that it is recovering. */
  bool used_up[SUSPECT_SLOTS];     /**< Slots found used up in this round. */
  bool tainted;                    /**< A crash used up a slot, or the request
                                      has to run alone for another reason. */
  int64_t hold_ns; /**< Shortest time left of the used-up slots. */
  int64_t due_ns;  /**< Time of the next timeout or retry. */
};

struct suspect_gate_ops
{
  /** Returns the partition that keeps SLOT of FINGERPRINT; not 0. */
  uint64_t (*partition_of) (void *data, unsigned slot,
                            const struct suspect_fingerprint *fingerprint);
  /** Whether the owner of PARTITION runs on the same host as this gateway. */
  bool (*owner_on_same_host) (void *data, uint64_t partition);
  /** Sends MESSAGE to the owner of PARTITION; the message may be lost. */
  void (*send) (void *data, uint64_t partition,
                const struct suspect_message *message);
  /** May be called from inside suspect_gate_begin, suspect_gate_tick and
   * suspect_gate_receive; must not call suspect_gate_end for another run.
   * @param retry_after_ns 0 unless refused or unavailable */
  void (*decided) (void *data, struct suspect_run *run,
                   enum suspect_decision decision, int64_t retry_after_ns);
};

struct suspect_gate
{
  const struct clock *clock;
  const struct suspect_gate_ops *ops;
  void *data;
  uint64_t gateway;    /**< Number of this gateway process. */
  unsigned slot_count; /**< Slots of each request that are in use, 1 to
                          SUSPECT_SLOTS: the number of backend servers that a
                          request may crash. */
  bool unchecked;      /**< Run requests without a slot if no owner replies. */
  struct list runs;    /**< Runs that are not idle. */
  struct list reports; /**< Unacknowledged reports, the oldest first. */
  struct list syncs;   /**< Syncs that the owner has not yet confirmed. */
  unsigned report_count;
  uint64_t last_id; /**< Last number given to a run or a sync. */
};

/** @param gateway_id must differ after each start of the process */
void suspect_gate_init (struct suspect_gate *gateway, uint64_t gateway_id,
                        unsigned slot_count, bool unchecked,
                        const struct clock *clock,
                        const struct suspect_gate_ops *ops, void *data);
void suspect_gate_finish (struct suspect_gate *gateway);

/** Starts to acquire a slot for RUN, whose fingerprint and deadline are set;
 * the result is passed to suspect_gate_ops.decided. */
void suspect_gate_begin (struct suspect_gate *gateway,
                         struct suspect_run *run);

/** Ends RUN, also before a decision. */
void suspect_gate_end (struct suspect_gate *gateway, struct suspect_run *run,
                       enum suspect_end outcome);

void suspect_gate_receive (struct suspect_gate *gateway,
                           const struct suspect_message *message);

/** To be called when PARTITION has a new owner or a new connection. Sends the
 * owner all slots held and all reports that are not durable yet, and repeats
 * that until the owner confirms it. May be called at any time; it releases
 * slots that stayed acquired because messages were lost. */
void suspect_gate_sync (struct suspect_gate *gateway, uint64_t partition);

void suspect_gate_tick (struct suspect_gate *gateway);

/** Returns when the next tick is due. */
int64_t poison_gateway_next (const struct suspect_gate *gateway);

#endif
