#ifndef SETTLE_H
#define SETTLE_H

#include "status.h"

#include <stdbool.h>

/** @file
 * The state of one request at its gateway, and which outcomes and attempts it
 * allows.
 *
 * An event that comes too late or belongs to another attempt returns
 * STATUS_STALE and changes nothing. An event that the gateway itself must not
 * cause in the present state fails an assertion.
 */

enum settle_state
{
  SETTLE_RECEIVED,
  SETTLE_ADMITTED,
  SETTLE_GRANT_WAIT,  /**< Waits for a grant from the owner of the key. */
  SETTLE_GRANTED,     /**< Only this gateway may run the request. */
  SETTLE_CONNECTING,  /**< A backend server is chosen; nothing was sent. */
  SETTLE_HANDED_OVER, /**< The first byte may have been sent. */
  SETTLE_RUNNING,     /**< The backend server's response has started. */
  SETTLE_FINISHED,
  SETTLE_STATE_COUNT
};

enum settle_outcome
{
  SETTLE_COMPLETE,
  SETTLE_REFUSED_NOT_RUN,
  SETTLE_FAILED_MAY_HAVE_RUN,
  SETTLE_IN_PROGRESS,
  SETTLE_REPLAYED,
  SETTLE_OUTCOME_COUNT
};

/** What the gateway reports to the owner of the key when a request ends. */
enum settle_record
{
  SETTLE_RECORD_NONE,
  SETTLE_RECORD_END,    /**< once_end, with the outcome or as unknown. */
  SETTLE_RECORD_RELEASE /**< once_release, which releases the grant. */
};

struct settle
{
  enum settle_state state;
  bool idempotent;
  bool grant_requested; /**< A grant was requested from the owner. */
  bool may_have_run;    /**< The connection of an attempt was lost after the
                           attempt was handed over. */
  unsigned attempt;     /**< Number of the latest attempt, from 1; 0: none. */
  unsigned attempt_max;
  enum settle_outcome outcome; /**< Valid in SETTLE_FINISHED. */
};

void settle_init (struct settle *requeststate, bool idempotent,
                  unsigned attempt_max);

void settle_admit (struct settle *requeststate);

/** A grant is requested from the owner of the key; only for a request that is
 * not idempotent. */
void settle_ask (struct settle *requeststate);

/** The owner of the key gave the grant.
 * @return STATUS_STALE if it is too late: the grant must not be used. */
enum status settle_grant (struct settle *requeststate);

/** Whether another attempt may begin now. */
bool settle_may_connect (const struct settle *requeststate);

/** Begin an attempt; settle_may_connect must hold.
 * @return the number of the attempt. */
unsigned settle_connect (struct settle *requeststate);

/** ATTEMPT got no connection; nothing was sent. */
enum status settle_not_connected (struct settle *requeststate,
                                  unsigned attempt);

/** The first byte of ATTEMPT is about to be written. */
enum status settle_hand_over (struct settle *requeststate, unsigned attempt);

/** The backend server of ATTEMPT reported that it did not run the request. */
enum status settle_not_started (struct settle *requeststate, unsigned attempt);

/** The response of ATTEMPT's backend server has started. */
enum status settle_answering (struct settle *requeststate, unsigned attempt);

/** The connection of ATTEMPT was lost, or closed because it was silent, and
 * its stream, if any, could not be resumed. Afterwards settle_may_connect
 * tells whether another attempt is allowed. */
enum status settle_cut (struct settle *requeststate, unsigned attempt);

/** Whether the request may end with OUTCOME now. */
bool settle_allows (const struct settle *requeststate,
                    enum settle_outcome outcome);

/** End the request with OUTCOME; settle_allows must hold. */
enum settle_record settle_finish (struct settle *requeststate,
                                  enum settle_outcome outcome);

/** The outcome of the request if it ends now without being completed. */
enum settle_outcome settle_give_up (const struct settle *requeststate);

const char *settle_state_name (enum settle_state phase);

/** The stable name of OUTCOME for callers and logs. */
const char *settle_outcome_name (enum settle_outcome outcome);

#endif
