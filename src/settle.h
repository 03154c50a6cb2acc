#ifndef SETTLE_H
#define SETTLE_H

#include "status.h"

#include <stdbool.h>

/** @file
 * The state of one request at its gateway, and which outcomes and retries it
 * allows.
 *
 * An event that comes too late or belongs to another attempt answers
 * STATUS_STALE and changes nothing. An event that the gateway itself must not
 * cause in this state trips an assertion.
 */

enum settle_state
{
  SETTLE_RECEIVED,
  SETTLE_ADMITTED,
  SETTLE_GRANT_WAIT,  /**< Asked the owner of the key. */
  SETTLE_GRANTED,     /**< This gateway alone may run it. */
  SETTLE_CONNECTING,  /**< Chose a backend server, sent nothing. */
  SETTLE_HANDED_OVER, /**< A first byte may have left. */
  SETTLE_RUNNING,     /**< The backend server answered. */
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

/** What the owner of the key is to be told after the end. */
enum settle_record
{
  SETTLE_RECORD_NONE,
  SETTLE_RECORD_END,    /**< once_end, with the outcome or as unknown. */
  SETTLE_RECORD_RELEASE /**< once_release */
};

struct settle
{
  enum settle_state state;
  bool idempotent;
  bool asked;        /**< The owner of the key heard of this request. */
  bool may_have_run; /**< Some attempt was handed over and not disowned. */
  unsigned attempt;  /**< Number of the current one, from 1; 0: none yet. */
  unsigned attempt_max;
  enum settle_outcome outcome; /**< When FINISHED. */
};

void settle_init (struct settle *settle, bool idempotent,
                  unsigned attempt_max);

void settle_admit (struct settle *settle);

/** Ask the owner; only for a request that is not idempotent. */
void settle_ask (struct settle *settle);

/** The owner granted. STATUS_STALE: too late, the grant must not be used. */
enum status settle_grant (struct settle *settle);

/** Whether one more attempt may begin now. */
bool settle_may_connect (const struct settle *settle);

/** Begin an attempt; settle_may_connect holds.
 * @return its number. */
unsigned settle_connect (struct settle *settle);

/** ATTEMPT found no connection; nothing was sent. */
enum status settle_not_connected (struct settle *settle, unsigned attempt);

/** The first byte of ATTEMPT is about to be written. */
enum status settle_hand_over (struct settle *settle, unsigned attempt);

/** The backend server of ATTEMPT says that it did not start it. */
enum status settle_not_started (struct settle *settle, unsigned attempt);

/** The backend server of ATTEMPT answers. */
enum status settle_answering (struct settle *settle, unsigned attempt);

/** The connection of ATTEMPT is lost or condemned, and its stream, if any,
 * could not be resumed. Afterwards settle_may_connect tells whether another
 * attempt is allowed. */
enum status settle_cut (struct settle *settle, unsigned attempt);

/** Whether OUTCOME would be true now. */
bool settle_allows (const struct settle *settle, enum settle_outcome outcome);

/** End the request; settle_allows holds. */
enum settle_record settle_finish (struct settle *settle,
                                  enum settle_outcome outcome);

/** The outcome of a request that is given up now. */
enum settle_outcome settle_give_up (const struct settle *settle);

const char *settle_state_name (enum settle_state state);
/** The stable name for callers and logs. */
const char *settle_outcome_name (enum settle_outcome outcome);

#endif
