#ifndef REQUESTSTATE_H
#define REQUESTSTATE_H

#include "status.h"

#include <stdbool.h>

/** @file
 * The state of one request at its gateway, and which outcomes and attempts it
 * allows.
 *
 * A request that is not idempotent has an idempotency key. The owner of the
 * key is the shard that keeps the at-most-once record for it (see once.h); an
 * attempt may begin only after the owner has given a grant.
 *
 * An event that comes too late or belongs to another attempt returns
 * STATUS_STALE and changes nothing. An event that the gateway itself must not
 * cause in the present state fails an assertion.
 */

enum requeststate_phase
{
  REQUESTSTATE_RECEIVED,
  REQUESTSTATE_ADMITTED,
  REQUESTSTATE_GRANT_WAIT, /**< The gateway waits for a grant from the owner of
                              the key. */
  REQUESTSTATE_GRANTED,    /**< Only this gateway may run the request. */
  REQUESTSTATE_CONNECTING, /**< A backend server is chosen; nothing was sent.
                            */
  REQUESTSTATE_HANDED_OVER, /**< The first byte may have been sent. */
  REQUESTSTATE_RUNNING,     /**< The backend server's response has started. */
  REQUESTSTATE_FINISHED,
  REQUESTSTATE_PHASE_COUNT
};

enum requeststate_outcome
{
  REQUESTSTATE_COMPLETE,
  REQUESTSTATE_REFUSED_NOT_RUN,
  REQUESTSTATE_FAILED_MAY_HAVE_RUN,
  REQUESTSTATE_IN_PROGRESS,
  REQUESTSTATE_REPLAYED,
  REQUESTSTATE_OUTCOME_COUNT
};

/** What the gateway reports to the owner of the key when a request ends. */
enum requeststate_record
{
  REQUESTSTATE_RECORD_NONE,
  REQUESTSTATE_RECORD_END,    /**< The gateway reports how the request ended,
                                 or that it is unknown. */
  REQUESTSTATE_RECORD_RELEASE /**< The gateway releases the grant or cancels
                                 its acquisition: the request was not run. */
};

struct requeststate
{
  enum requeststate_phase phase;
  bool idempotent;
  bool grant_requested; /**< Whether a grant was requested from the owner of
                           the key. */
  bool may_have_run; /**< Whether the connection of an attempt was lost after
                        the first byte may have been sent. */
  unsigned attempt_number; /**< Number of the latest attempt, starting at 1; 0
                              if there is none. */
  unsigned attempts_max;
  enum requeststate_outcome outcome; /**< Outcome of the request; valid in the
                                        phase REQUESTSTATE_FINISHED. */
};

void requeststate_init (struct requeststate *request_state, bool idempotent,
                        unsigned attempt_max);

void requeststate_admitted (struct requeststate *request_state);

/** Record that a grant is requested from the owner of the key. To be called
 * only for a request that is not idempotent. */
void requeststate_grant_requested (struct requeststate *request_state);

/** Record that the owner of the key gave the grant.
 * @return STATUS_STALE if the grant came too late and must not be used. */
enum status requeststate_granted (struct requeststate *request_state);

/** Whether another attempt may begin now. */
bool requeststate_may_begin_attempt (const struct requeststate *request_state);

/** Begin an attempt; requeststate_may_begin_attempt must hold.
 * @return the number of the attempt. */
unsigned requeststate_begin_attempt (struct requeststate *request_state);

/** Record that ATTEMPT got no connection, so that nothing was sent. */
enum status requeststate_not_connected (struct requeststate *request_state,
                                        unsigned attempt);

/** Record that the first byte of ATTEMPT is about to be written. */
enum status requeststate_handed_over (struct requeststate *request_state,
                                      unsigned attempt);

/** Record that the backend server of ATTEMPT reported that it did not run the
 * request. */
enum status requeststate_not_run (struct requeststate *request_state,
                                  unsigned attempt);

/** Record that the response of ATTEMPT's backend server has started. */
enum status requeststate_response_started (struct requeststate *request_state,
                                           unsigned attempt);

/** Record that the connection of ATTEMPT was lost, or closed because it was
 * silent, and that its stream, if any, could not be resumed. Afterwards
 * requeststate_may_begin_attempt tells whether another attempt is allowed. */
enum status requeststate_connection_lost (struct requeststate *request_state,
                                          unsigned attempt);

/** Whether the request may end with OUTCOME now. */
bool requeststate_allows (const struct requeststate *request_state,
                          enum requeststate_outcome outcome);

/** End the request with OUTCOME; requeststate_allows must hold.
 * @return what to report to the owner of the key. */
enum requeststate_record
requeststate_finish (struct requeststate *request_state,
                     enum requeststate_outcome outcome);

/** Return the outcome of the request if it ends now without being
 * completed. */
enum requeststate_outcome
requeststate_incomplete_outcome (const struct requeststate *request_state);

const char *requeststate_phase_name (enum requeststate_phase phase);

/** The name of OUTCOME in responses to callers and in log lines. */
const char *requeststate_outcome_name (enum requeststate_outcome outcome);

#endif
