#ifndef ASK_H
#define ASK_H

#include "clock.h"
#include "list.h"
#include "once.h"
#include "settle.h"

#include <stdbool.h>

/** @file
 * The gateway's side of the at-most-once records: requests a grant from the
 * owner of a key until the owner replies or the deadline passes, and reports
 * afterwards how the request ended until the owner has recorded that.
 *
 * A grant request outlives the caller's request, so that a grant that arrives
 * late is released.
 */

enum ask_state
{
  ASK_WAITING, /**< Waits for the owner's reply. */
  ASK_HOLDING, /**< The grant is held; the caller's request runs. */
  ASK_TELLING, /**< The owner has not recorded the end or release yet. */
  ASK_CLOSED   /**< Only kept to release a late grant. */
};

struct ask_settings
{
  int64_t again_ns; /**< Interval at which an unanswered message is resent. */
  int64_t tell_ns;  /**< Longest time to report an end or a release; then the
                       report is dropped. */
  int64_t keep_ns;  /**< How long a closed grant request is kept. */
};

struct ask
{
  struct list node;
  enum ask_state state;
  struct once_request request; /**< The strings are copies. */
  struct once_digest fingerprint;
  unsigned partition;          /**< Partition of the key. */
  bool ends;                   /**< The report is an end, not a release. */
  struct once_outcome outcome; /**< Outcome of the end that is reported; the
                                  body is a copy. */
  int64_t deadline_ns;         /**< The caller's deadline. */
  void *data;           /**< The caller's request; NULL once it ended. */
  int64_t next_step_ns; /**< Time of the next message or of the timeout, or
                           time at which the closed grant request is freed. */
  int64_t expiry_ns;    /**< End of the time to report or to keep it. */
};

struct asks;

struct ask_ops
{
  /** Send the message for GRANT's state (once_begin, once_end or
   * once_release) to the process that should own its partition. */
  void (*send) (struct asks *grants, const struct ask *grant);
  /** The owner's reply for a waiting request; at most one for each request,
   * and never from inside asks_begin. If the owner did not reply in time,
   * this is called with a refusal. */
  void (*answer) (struct asks *grants, struct ask *grant,
                  const struct once_answer *reply);
};

struct asks
{
  uint64_t late_grant_count; /**< Late grants that were released. */
  uint64_t unrecorded_count; /**< Ends and releases that were dropped before
                                the owner recorded them. */

  struct ask_settings settings;
  const struct ask_ops *ops;
  const struct clock *clock;
  unsigned partition_count;
  struct list requests;
  void *requests_by_id; /**< Hash table: request id to grant request. */
  int64_t next_due_ns;  /**< Nothing is due before this time. */
};

/** @param partition_count as in owner_settings. */
void asks_init (struct asks *grants, const struct ask_settings *settings,
                const struct ask_ops *ops, const struct clock *clock,
                unsigned partition_count);
void asks_finish (struct asks *grants);

/** Request a grant. The strings of REQUEST are copied.
 * @param data kept in the grant request for the callbacks; not NULL. */
struct ask *asks_begin (struct asks *grants,
                        const struct once_request *request,
                        const struct once_digest *fingerprint,
                        int64_t deadline_ns, void *data);

/** The caller's request ended; its DATA is not used any more.
 * @param record what settle_finish returned.
 * @param outcome for SETTLE_RECORD_END; copied. */
void asks_end (struct asks *grants, struct ask *grant,
               enum settle_record record, const struct once_outcome *outcome);

/** The owner replied to once_begin. */
void asks_answer (struct asks *grants, const struct once_answer *reply);

/** The owner replied to once_end or once_release of the request with id
 * REQUEST; after STATUS_UNAVAILABLE the report is sent again. */
void asks_recorded (struct asks *grants, uint64_t request, enum status status);

/** Send, time out and free what is due. */
void asks_tick (struct asks *grants);

/** Time of the next asks_tick that has something to do. */
int64_t asks_next (const struct asks *grants);

/** Whether all grant requests are closed, so that a planned stop need not
 * wait for them. */
bool asks_idle (const struct asks *grants);

#endif
