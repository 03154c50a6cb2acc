#ifndef POISON_GATEWAY_H
#define POISON_GATEWAY_H

#include "clock.h"
#include "list.h"
#include "poison.h"

#include <stdbool.h>

/** @file
 * The gateway's side of poison.h: acquires a slot before a request is sent to
 * a backend server, and reports how the run ended.
 */

enum
{
  POISON_REPORTS_MAX = 4096 /**< Maximum number of unacknowledged reports that
                               one gateway keeps. */
};

enum poison_decision
{
  POISON_DECISION_RUN,
  POISON_DECISION_RUN_ALONE, /**< The request runs on a backend server that
                                runs nothing else. */
  POISON_DECISION_REFUSE, /**< The request is not run: all its slots are used
                             up. */
  POISON_DECISION_UNAVAILABLE /**< The request is not run: no slot could be
                                 acquired before the deadline, but a later
                                 retry may succeed. */
};

enum poison_outcome
{
  POISON_OUTCOME_COMPLETED, /**< The backend server sent its whole response. */
  POISON_OUTCOME_INCONCLUSIVE, /**< The request was not run, was cancelled, or
                                  failed without a crash of the backend server.
                                */
  POISON_OUTCOME_CRASHED /**< The backend server crashed during the run. */
};

enum poison_run_state
{
  POISON_RUN_IDLE,
  POISON_RUN_ACQUIRING, /**< A slot was requested; the owner's reply is
                           pending. */
  POISON_RUN_WAITING,   /**< No slot could be acquired; the run retries at
                           due_ns. */
  POISON_RUN_DECIDED
};

/** The state of one attempt; embedded in a request and zeroed by the
 * caller. */
struct poison_run
{
  struct list node;
  struct poison_request_fingerprint fingerprint;
  int64_t deadline_ns;
  enum poison_run_state state;
  uint64_t id;
  uint64_t partition;   /**< Partition that was tried last. */
  unsigned slot;        /**< Slot that was tried last. */
  unsigned tried_count; /**< Number of slots tried in the current round, in
                           which each slot is tried at most once. */
  bool holds_slot;
  bool may_free_up[POISON_SLOT_COUNT]; /**< Whether the owner of each slot
                                          replied that the slot is busy or that
                                          the owner is recovering. */
  bool used_up[POISON_SLOT_COUNT]; /**< Whether each slot was found used up in
                                      this round. */
  bool tainted; /**< Whether a crash used up a slot, or the request has to run
                   alone for another reason. */
  int64_t hold_ns; /**< Shortest time for which one of the used-up slots stays
                      used up. */
  int64_t due_ns;  /**< Time of the next timeout or retry. */
};

struct poison_gateway_ops
{
  /** Returns the partition that keeps SLOT of FINGERPRINT; not 0. */
  uint64_t (*partition_of) (
      void *data, unsigned slot,
      const struct poison_request_fingerprint *fingerprint);
  /** Whether the owner of PARTITION runs on the same host as this gateway. */
  bool (*owner_on_same_host) (void *data, uint64_t partition);
  /** Sends MESSAGE to the owner of PARTITION; the message may be lost. */
  void (*send) (void *data, uint64_t partition,
                const struct poison_message *message);
  /** Receives the decision whether RUN may start. May be called from inside
   * poison_gateway_run_begin, poison_gateway_tick and poison_gateway_receive;
   * must not call poison_gateway_run_end for another run.
   * @param retry_after_ns the time after which a retry may succeed; 0 if the
   * request runs. */
  void (*decided) (void *data, struct poison_run *run,
                   enum poison_decision decision, int64_t retry_after_ns);
};

struct poison_gateway
{
  const struct clock *clock;
  const struct poison_gateway_ops *ops;
  void *data;
  uint64_t gateway_id; /**< Number of this gateway process; differs after each
                          start. */
  unsigned slot_count; /**< Number of slots that each fingerprint has, 1 to
                          POISON_SLOT_COUNT. A request can crash at most this
                          many backend servers. */
  bool unchecked;      /**< Whether requests run without a slot when no owner
                          replies to them. */
  struct list runs;    /**< Runs that are not idle. */
  struct list reports; /**< Unacknowledged reports, the oldest first. */
  struct list syncs;   /**< Syncs (see poison_gateway_sync_partition) that the
                            owners have not yet confirmed. */
  unsigned report_count;
  uint64_t last_id; /**< Last number that was given to a run or a sync. */
};

/** Initialises GATEWAY.
 * @param gateway_id the number of this gateway process, which must differ
 * after each start. */
void poison_gateway_init (struct poison_gateway *gateway, uint64_t gateway_id,
                          unsigned slot_count, bool unchecked,
                          const struct clock *clock,
                          const struct poison_gateway_ops *ops, void *data);
void poison_gateway_finish (struct poison_gateway *gateway);

/** Starts to acquire a slot for RUN, whose fingerprint and deadline are set;
 * the result is passed to poison_gateway_ops.decided. */
void poison_gateway_run_begin (struct poison_gateway *gateway,
                               struct poison_run *run);

/** Ends RUN and reports OUTCOME to the owner. May also be called before the
 * decision. */
void poison_gateway_run_end (struct poison_gateway *gateway,
                             struct poison_run *run,
                             enum poison_outcome outcome);

void poison_gateway_receive (struct poison_gateway *gateway,
                             const struct poison_message *message);

/** To be called when PARTITION has a new owner or a new connection. Sends the
 * owner all slots held and all reports that are not durable yet, and repeats
 * that until the owner confirms it. May be called at any time; it releases
 * slots that stayed acquired because messages were lost. */
void poison_gateway_sync_partition (struct poison_gateway *gateway,
                                    uint64_t partition);

void poison_gateway_tick (struct poison_gateway *gateway);

/** Returns the time at which poison_gateway_tick is due next. */
int64_t poison_gateway_next_tick_ns (const struct poison_gateway *gateway);

#endif
