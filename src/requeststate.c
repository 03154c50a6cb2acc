#include "requeststate.h"

#include <assert.h>

static const char *const phase_names[] = {
  [REQUESTSTATE_RECEIVED] = "received",
  [REQUESTSTATE_ADMITTED] = "admitted",
  [REQUESTSTATE_GRANT_WAIT] = "grant_wait",
  [REQUESTSTATE_GRANTED] = "granted",
  [REQUESTSTATE_CONNECTING] = "connecting",
  [REQUESTSTATE_HANDED_OVER] = "handed_over",
  [REQUESTSTATE_RUNNING] = "running",
  [REQUESTSTATE_FINISHED] = "finished",
};

static const char *const outcome_names[] = {
  [REQUESTSTATE_COMPLETE] = "complete",
  [REQUESTSTATE_REFUSED_NOT_RUN] = "refused_not_run",
  [REQUESTSTATE_FAILED_MAY_HAVE_RUN] = "failed_may_have_run",
  [REQUESTSTATE_IN_PROGRESS] = "in_progress",
  [REQUESTSTATE_REPLAYED] = "replayed",
};

/* The outcomes that a phase allows. REQUESTSTATE_REFUSED_NOT_RUN also requires
 * that no earlier attempt may have run, and REQUESTSTATE_FAILED_MAY_HAVE_RUN
 * that an earlier attempt may have run; requeststate_allows checks both. */
static const bool allowed_outcomes[REQUESTSTATE_PHASE_COUNT]
                                  [REQUESTSTATE_OUTCOME_COUNT]
    = {
        [REQUESTSTATE_RECEIVED] = { [REQUESTSTATE_REFUSED_NOT_RUN] = true },
        [REQUESTSTATE_ADMITTED]
        = { [REQUESTSTATE_REFUSED_NOT_RUN] = true,
            [REQUESTSTATE_FAILED_MAY_HAVE_RUN] = true },
        [REQUESTSTATE_GRANT_WAIT]
        = { [REQUESTSTATE_REFUSED_NOT_RUN] = true,
            [REQUESTSTATE_FAILED_MAY_HAVE_RUN] = true,
            [REQUESTSTATE_IN_PROGRESS] = true,
            [REQUESTSTATE_REPLAYED] = true },
        [REQUESTSTATE_GRANTED] = { [REQUESTSTATE_REFUSED_NOT_RUN] = true },
        [REQUESTSTATE_CONNECTING]
        = { [REQUESTSTATE_REFUSED_NOT_RUN] = true,
            [REQUESTSTATE_FAILED_MAY_HAVE_RUN] = true },
        [REQUESTSTATE_HANDED_OVER]
        = { [REQUESTSTATE_FAILED_MAY_HAVE_RUN] = true },
        [REQUESTSTATE_RUNNING] = { [REQUESTSTATE_COMPLETE] = true,
                                   [REQUESTSTATE_FAILED_MAY_HAVE_RUN] = true },
      };

/* Returns the phase in which the next attempt may begin: a request that is not
 * idempotent needs a grant first. */
static enum requeststate_phase
phase_between_attempts (const struct requeststate *request_state)
{
  return request_state->idempotent ? REQUESTSTATE_ADMITTED
                                   : REQUESTSTATE_GRANTED;
}

/* Whether ATTEMPT is the latest attempt, the request is in PHASE, and events
 * of the attempt still count. Once the connection of a request that is not
 * idempotent was lost after the handover, later events of its attempt are
 * ignored. */
static bool
attempt_is_in_phase (const struct requeststate *request_state,
                     unsigned attempt, enum requeststate_phase phase)
{
  return request_state->phase == phase
         && request_state->attempt_number == attempt
         && (request_state->idempotent || !request_state->may_have_run);
}

void
requeststate_init (struct requeststate *request_state, bool idempotent,
                   unsigned attempt_max)
{
  *request_state = (struct requeststate){
    .phase = REQUESTSTATE_RECEIVED,
    .idempotent = idempotent,
    .attempts_max = attempt_max,
  };
}

void
requeststate_admitted (struct requeststate *request_state)
{
  assert (request_state->phase == REQUESTSTATE_RECEIVED);
  request_state->phase = REQUESTSTATE_ADMITTED;
}

void
requeststate_grant_requested (struct requeststate *request_state)
{
  assert (request_state->phase == REQUESTSTATE_ADMITTED
          || request_state->phase == REQUESTSTATE_GRANT_WAIT);
  assert (!request_state->idempotent);
  request_state->phase = REQUESTSTATE_GRANT_WAIT;
  request_state->grant_requested = true;
}

enum status
requeststate_granted (struct requeststate *request_state)
{
  if (request_state->phase != REQUESTSTATE_GRANT_WAIT)
    return STATUS_STALE;
  request_state->phase = REQUESTSTATE_GRANTED;
  return STATUS_OK;
}

bool
requeststate_may_begin_attempt (const struct requeststate *request_state)
{
  if (request_state->attempt_number >= request_state->attempts_max)
    return false;
  return request_state->phase == phase_between_attempts (request_state);
}

unsigned
requeststate_begin_attempt (struct requeststate *request_state)
{
  assert (requeststate_may_begin_attempt (request_state));
  assert (request_state->idempotent || !request_state->may_have_run);
  request_state->phase = REQUESTSTATE_CONNECTING;
  return ++request_state->attempt_number;
}

enum status
requeststate_not_connected (struct requeststate *request_state,
                            unsigned attempt)
{
  if (!attempt_is_in_phase (request_state, attempt, REQUESTSTATE_CONNECTING))
    return STATUS_STALE;
  request_state->phase = phase_between_attempts (request_state);
  return STATUS_OK;
}

enum status
requeststate_handed_over (struct requeststate *request_state, unsigned attempt)
{
  if (!attempt_is_in_phase (request_state, attempt, REQUESTSTATE_CONNECTING))
    return STATUS_STALE;
  request_state->phase = REQUESTSTATE_HANDED_OVER;
  return STATUS_OK;
}

enum status
requeststate_not_run (struct requeststate *request_state, unsigned attempt)
{
  if (!attempt_is_in_phase (request_state, attempt, REQUESTSTATE_HANDED_OVER))
    return STATUS_STALE;
  request_state->phase = phase_between_attempts (request_state);
  return STATUS_OK;
}

enum status
requeststate_response_started (struct requeststate *request_state,
                               unsigned attempt)
{
  if (!attempt_is_in_phase (request_state, attempt, REQUESTSTATE_HANDED_OVER))
    return STATUS_STALE;
  request_state->phase = REQUESTSTATE_RUNNING;
  return STATUS_OK;
}

enum status
requeststate_connection_lost (struct requeststate *request_state,
                              unsigned attempt)
{
  if (attempt_is_in_phase (request_state, attempt, REQUESTSTATE_CONNECTING))
    return requeststate_not_connected (request_state, attempt);
  if (!attempt_is_in_phase (request_state, attempt, REQUESTSTATE_HANDED_OVER)
      && !attempt_is_in_phase (request_state, attempt, REQUESTSTATE_RUNNING))
    return STATUS_STALE;
  request_state->may_have_run = true;
  if (request_state->idempotent)
    request_state->phase = REQUESTSTATE_ADMITTED;
  else
    request_state->phase = REQUESTSTATE_HANDED_OVER;
  return STATUS_OK;
}

bool
requeststate_allows (const struct requeststate *request_state,
                     enum requeststate_outcome outcome)
{
  bool handed_over = request_state->phase == REQUESTSTATE_HANDED_OVER
                     || request_state->phase == REQUESTSTATE_RUNNING;

  if (!allowed_outcomes[request_state->phase][outcome])
    return false;
  if (outcome == REQUESTSTATE_REFUSED_NOT_RUN)
    return !request_state->may_have_run;
  /* While the grant is pending, the owner of the request's idempotency key may
   * reply that an earlier request with the same key may have run. */
  if (outcome == REQUESTSTATE_FAILED_MAY_HAVE_RUN)
    return handed_over || request_state->may_have_run
           || request_state->phase == REQUESTSTATE_GRANT_WAIT;
  return true;
}

enum requeststate_record
requeststate_finish (struct requeststate *request_state,
                     enum requeststate_outcome outcome)
{
  enum requeststate_phase phase = request_state->phase;

  assert (requeststate_allows (request_state, outcome));
  request_state->phase = REQUESTSTATE_FINISHED;
  request_state->outcome = outcome;
  if (!request_state->grant_requested)
    return REQUESTSTATE_RECORD_NONE;
  if (outcome == REQUESTSTATE_REFUSED_NOT_RUN)
    return REQUESTSTATE_RECORD_RELEASE;
  /* The owner replied how an earlier request with the same idempotency key
   * ended, so there is nothing to record for this one. */
  if (phase == REQUESTSTATE_GRANT_WAIT)
    return REQUESTSTATE_RECORD_NONE;
  return REQUESTSTATE_RECORD_END;
}

enum requeststate_outcome
requeststate_incomplete_outcome (const struct requeststate *request_state)
{
  if (requeststate_allows (request_state, REQUESTSTATE_REFUSED_NOT_RUN))
    return REQUESTSTATE_REFUSED_NOT_RUN;
  return REQUESTSTATE_FAILED_MAY_HAVE_RUN;
}

const char *
requeststate_phase_name (enum requeststate_phase phase)
{
  return phase_names[phase];
}

const char *
requeststate_outcome_name (enum requeststate_outcome outcome)
{
  return outcome_names[outcome];
}
