#ifndef GRANTREQUEST_H
#define GRANTREQUEST_H

#include "clock.h"
#include "list.h"
#include "once.h"
#include "requeststate.h"

#include <stdbool.h>

/** @file
 * The gateway's side of the at-most-once records: requests a grant from the
 * owner of a key until the owner replies or the deadline passes, and reports
 * afterwards how the request ended until the owner has recorded that.
 *
 * A grant request outlives the caller's request, so that a grant that arrives
 * late is released.
 */

enum grantrequest_state
{
  GRANTREQUEST_WAITING,   /**< Waits for the owner's reply. */
  GRANTREQUEST_GRANTED,   /**< The grant is held; the caller's request runs. */
  GRANTREQUEST_REPORTING, /**< The owner has not recorded the end or release
                             yet. */
  GRANTREQUEST_CLOSED     /**< Only kept to release a late grant. */
};

struct grantrequest_settings
{
  int64_t retry_interval_ns;  /**< Interval at which an unanswered message is
                                 resent. */
  int64_t report_timeout_ns;  /**< Longest time to report an end or a release;
                       then the  report is dropped. */
  int64_t late_grant_wait_ns; /**< How long a closed grant request is kept. */
};

struct grantrequest
{
  struct list node;
  enum grantrequest_state state;
  struct once_request request; /**< The strings are copies. */
  struct once_digest fingerprint;
  unsigned partition;          /**< Partition of the key. */
  bool reports_end;            /**< The report is an end, not a release. */
  struct once_outcome outcome; /**< Outcome of the end that is reported; the
                                  body is a copy. */
  int64_t deadline_ns;         /**< The caller's deadline. */
  void *data;           /**< The caller's request; NULL once it ended. */
  int64_t next_step_ns; /**< Time of the next message or of the timeout, or
                           time at which the closed grant request is freed. */
  int64_t expiry_ns;    /**< End of the time to report or to keep it. */
};

struct grantrequests;

struct grantrequest_ops
{
  /** Send the message for GRANT's state (once_acquire, once_set_outcome or
   * once_release) to the process that should own its partition. */
  void (*send) (struct grantrequests *grants,
                const struct grantrequest *grant);
  /** The owner's reply for a waiting request; at most one for each request,
   * and never from inside grantrequests_begin. If the owner did not reply in
   * time, this is called with a refusal. */
  void (*reply_received) (struct grantrequests *grants,
                          struct grantrequest *grant,
                          const struct once_reply *reply);
};

struct grantrequests
{
  uint64_t late_grant_count; /**< Late grants that were released. */
  uint64_t unrecorded_count; /**< Ends and releases that were dropped before
                                the owner recorded them. */

  struct grantrequest_settings settings;
  const struct grantrequest_ops *ops;
  const struct clock *clock;
  unsigned partition_count;
  struct list requests;
  void *requests_by_id; /**< Hash table: request id to grant request. */
  int64_t next_due_ns;  /**< Nothing is due before this time. */
};

/** @param partition_count as in owner_settings. */
void grantrequests_init (struct grantrequests *grants,
                         const struct grantrequest_settings *settings,
                         const struct grantrequest_ops *ops,
                         const struct clock *clock, unsigned partition_count);
void grantrequests_finish (struct grantrequests *grants);

/** Request a grant. The strings of REQUEST are copied.
 * @param data kept in the grant request for the callbacks; not NULL. */
struct grantrequest *grantrequests_begin (
    struct grantrequests *grants, const struct once_request *request,
    const struct once_digest *fingerprint, int64_t deadline_ns, void *data);

/** The caller's request ended; its DATA is not used any more.
 * @param record what requeststate_finish returned.
 * @param outcome for REQUESTSTATE_RECORD_END; copied. */
void grantrequests_end (struct grantrequests *grants,
                        struct grantrequest *grant,
                        enum requeststate_record record,
                        const struct once_outcome *outcome);

/** The owner replied to once_acquire. */
void grantrequests_reply_received (struct grantrequests *grants,
                                   const struct once_reply *reply);

/** The owner replied to once_set_outcome or once_release of the request with
 * id REQUEST; after STATUS_UNAVAILABLE the report is sent again. */
void grantrequests_recorded (struct grantrequests *grants, uint64_t request,
                             enum status status);

/** Send, time out and free what is due. */
void grantrequests_tick (struct grantrequests *grants);

/** Time of the next grantrequests_tick that has something to do. */
int64_t grantrequests_next (const struct grantrequests *grants);

/** Whether all grant requests are closed, so that a planned stop need not
 * wait for them. */
bool grantrequests_are_closed (const struct grantrequests *grants);

#endif
