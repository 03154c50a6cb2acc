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
  GRANTREQUEST_WAITING,   /**< The owner has not replied yet. */
  GRANTREQUEST_GRANTED,   /**< The grant is held; the caller's request runs. */
  GRANTREQUEST_REPORTING, /**< The owner has not recorded the end of the
                             request or the release yet. */
  GRANTREQUEST_CLOSED     /**< The grant request is only kept to release a late
                             grant. */
};

struct grantrequest_settings
{
  int64_t retry_interval_ns;  /**< Interval at which an unanswered message is
                                 resent. */
  int64_t report_timeout_ns;  /**< Time after which the report of an end or a
                                 release is dropped if the owner has not
                                 recorded it. */
  int64_t late_grant_wait_ns; /**< Time for which a closed grant request is
                                 kept. */
};

struct grantrequest
{
  struct list node;
  enum grantrequest_state state;
  /** Parameters of the grant; the strings are copies. */
  struct once_request request;
  struct once_digest fingerprint;
  unsigned partition; /**< Partition of the idempotency key. */
  bool reports_end; /**< Whether the report is an end rather than a release. */
  struct once_outcome outcome; /**< Outcome of the request, if reports_end is
                                  set; the body is a copy. */
  int64_t deadline_ns;         /**< The caller's deadline. */
  /** The caller's request, or NULL once that request has ended. */
  void *data;
  int64_t next_step_ns; /**< Time of the next message or of the timeout, or
                           time at which the closed grant request is freed. */
  int64_t expiry_ns;    /**< Time at which the report is dropped or the closed
                           grant request is freed. */
};

struct grantrequests;

struct grantrequest_ops
{
  /** Send the message for GRANT's state (once_acquire, once_set_outcome or
   * once_release) to the process that should own its partition. */
  void (*send) (struct grantrequests *grants,
                const struct grantrequest *grant);
  /** The owner replied to a waiting grant request, or did not reply in time;
   * REPLY is a refusal in the latter case. Called at most once for each grant
   * request, and never from inside grantrequests_begin. */
  void (*reply_received) (struct grantrequests *grants,
                          struct grantrequest *grant,
                          const struct once_reply *reply);
};

struct grantrequests
{
  uint64_t late_grant_count; /**< Number of late grants that were released. */
  uint64_t unrecorded_count; /**< Number of ends and releases whose report was
                                dropped before the owner recorded them. */

  struct grantrequest_settings settings;
  const struct grantrequest_ops *ops;
  const struct clock *clock;
  unsigned partition_count;
  struct list requests;
  void *requests_by_id; /**< Hash table from request id to grantrequest. */
  int64_t next_due_ns;  /**< Time before which no grant request has to be
                           handled. */
};

/** Initialise GRANTS.
 * @param partition_count number of partitions, the same as in struct
 * owner_settings. */
void grantrequests_init (struct grantrequests *grants,
                         const struct grantrequest_settings *settings,
                         const struct grantrequest_ops *ops,
                         const struct clock *clock, unsigned partition_count);
void grantrequests_finish (struct grantrequests *grants);

/** Request a grant. The strings of REQUEST are copied.
 * @param data the caller's request, which is stored in the grant request for
 * the callbacks; not NULL. */
struct grantrequest *grantrequests_begin (
    struct grantrequests *grants, const struct once_request *request,
    const struct once_digest *fingerprint, int64_t deadline_ns, void *data);

/** Record that the caller's request has ended. The data of GRANT is not used
 * afterwards.
 * @param record the result of requeststate_finish.
 * @param outcome the outcome to report if RECORD is REQUESTSTATE_RECORD_END;
 * copied. */
void grantrequests_end (struct grantrequests *grants,
                        struct grantrequest *grant,
                        enum requeststate_record record,
                        const struct once_outcome *outcome);

/** Process the owner's REPLY to once_acquire. */
void grantrequests_reply_received (struct grantrequests *grants,
                                   const struct once_reply *reply);

/** Process the owner's reply to once_set_outcome or once_release for the
 * request with id REQUEST. After STATUS_UNAVAILABLE the report is resent. */
void grantrequests_recorded (struct grantrequests *grants, uint64_t request,
                             enum status status);

/** Send the messages that are due, and time out or free grant requests. */
void grantrequests_tick (struct grantrequests *grants);

/** Time at which grantrequests_tick has to be called next. */
int64_t grantrequests_next_tick_ns (const struct grantrequests *grants);

/** Whether all grant requests are closed, so that a planned stop need not
 * wait for them. */
bool grantrequests_are_closed (const struct grantrequests *grants);

#endif
