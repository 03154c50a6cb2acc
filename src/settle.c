#include "settle.h"

#include <assert.h>

static const char *const phase_names[] = {
  [SETTLE_RECEIVED] = "received",     [SETTLE_ADMITTED] = "admitted",
  [SETTLE_GRANT_WAIT] = "grant_wait", [SETTLE_GRANTED] = "granted",
  [SETTLE_CONNECTING] = "connecting", [SETTLE_HANDED_OVER] = "handed_over",
  [SETTLE_RUNNING] = "running",       [SETTLE_FINISHED] = "finished",
};

static const char *const outcome_names[] = {
  [SETTLE_COMPLETE] = "complete",
  [SETTLE_REFUSED_NOT_RUN] = "refused_not_run",
  [SETTLE_FAILED_MAY_HAVE_RUN] = "failed_may_have_run",
  [SETTLE_IN_PROGRESS] = "in_progress",
  [SETTLE_REPLAYED] = "replayed",
};

/* The outcomes that a phase allows. SETTLE_REFUSED_NOT_RUN also requires that
 * no earlier attempt may have run, and SETTLE_FAILED_MAY_HAVE_RUN that one
 * may; settle_allows checks that. */
static const bool allowed_outcomes[SETTLE_STATE_COUNT][SETTLE_OUTCOME_COUNT]
    = {
        [SETTLE_RECEIVED] = { [SETTLE_REFUSED_NOT_RUN] = true },
        [SETTLE_ADMITTED] = { [SETTLE_REFUSED_NOT_RUN] = true,
                              [SETTLE_FAILED_MAY_HAVE_RUN] = true },
        [SETTLE_GRANT_WAIT] = { [SETTLE_REFUSED_NOT_RUN] = true,
                                [SETTLE_FAILED_MAY_HAVE_RUN] = true,
                                [SETTLE_IN_PROGRESS] = true,
                                [SETTLE_REPLAYED] = true },
        [SETTLE_GRANTED] = { [SETTLE_REFUSED_NOT_RUN] = true },
        [SETTLE_CONNECTING] = { [SETTLE_REFUSED_NOT_RUN] = true,
                                [SETTLE_FAILED_MAY_HAVE_RUN] = true },
        [SETTLE_HANDED_OVER] = { [SETTLE_FAILED_MAY_HAVE_RUN] = true },
        [SETTLE_RUNNING]
        = { [SETTLE_COMPLETE] = true, [SETTLE_FAILED_MAY_HAVE_RUN] = true },
      };

/* The phase in which the next attempt may begin. */
static enum settle_state
phase_between_attempts (const struct settle *requeststate)
{
  return requeststate->idempotent ? SETTLE_ADMITTED : SETTLE_GRANTED;
}

/* Once the connection of a request that is not idempotent was lost after the
 * handover, later events of its attempt are ignored. */
static bool
attempt_is_in_phase (const struct settle *requeststate, unsigned attempt,
                     enum settle_state phase)
{
  return requeststate->state == phase && requeststate->attempt == attempt
         && (requeststate->idempotent || !requeststate->may_have_run);
}

void
settle_init (struct settle *requeststate, bool idempotent,
             unsigned attempt_max)
{
  *requeststate = (struct settle){
    .state = SETTLE_RECEIVED,
    .idempotent = idempotent,
    .attempt_max = attempt_max,
  };
}

void
settle_admit (struct settle *requeststate)
{
  assert (requeststate->state == SETTLE_RECEIVED);
  requeststate->state = SETTLE_ADMITTED;
}

void
settle_ask (struct settle *requeststate)
{
  assert (requeststate->state == SETTLE_ADMITTED
          || requeststate->state == SETTLE_GRANT_WAIT);
  assert (!requeststate->idempotent);
  requeststate->state = SETTLE_GRANT_WAIT;
  requeststate->grant_requested = true;
}

enum status
settle_grant (struct settle *requeststate)
{
  if (requeststate->state != SETTLE_GRANT_WAIT)
    return STATUS_STALE;
  requeststate->state = SETTLE_GRANTED;
  return STATUS_OK;
}

bool
settle_may_connect (const struct settle *requeststate)
{
  if (requeststate->attempt >= requeststate->attempt_max)
    return false;
  return requeststate->state == phase_between_attempts (requeststate);
}

unsigned
settle_connect (struct settle *requeststate)
{
  assert (settle_may_connect (requeststate));
  assert (requeststate->idempotent || !requeststate->may_have_run);
  requeststate->state = SETTLE_CONNECTING;
  return ++requeststate->attempt;
}

enum status
settle_not_connected (struct settle *requeststate, unsigned attempt)
{
  if (!attempt_is_in_phase (requeststate, attempt, SETTLE_CONNECTING))
    return STATUS_STALE;
  requeststate->state = phase_between_attempts (requeststate);
  return STATUS_OK;
}

enum status
settle_hand_over (struct settle *requeststate, unsigned attempt)
{
  if (!attempt_is_in_phase (requeststate, attempt, SETTLE_CONNECTING))
    return STATUS_STALE;
  requeststate->state = SETTLE_HANDED_OVER;
  return STATUS_OK;
}

enum status
settle_not_started (struct settle *requeststate, unsigned attempt)
{
  if (!attempt_is_in_phase (requeststate, attempt, SETTLE_HANDED_OVER))
    return STATUS_STALE;
  requeststate->state = phase_between_attempts (requeststate);
  return STATUS_OK;
}

enum status
settle_answering (struct settle *requeststate, unsigned attempt)
{
  if (!attempt_is_in_phase (requeststate, attempt, SETTLE_HANDED_OVER))
    return STATUS_STALE;
  requeststate->state = SETTLE_RUNNING;
  return STATUS_OK;
}

enum status
settle_cut (struct settle *requeststate, unsigned attempt)
{
  if (attempt_is_in_phase (requeststate, attempt, SETTLE_CONNECTING))
    return settle_not_connected (requeststate, attempt);
  if (!attempt_is_in_phase (requeststate, attempt, SETTLE_HANDED_OVER)
      && !attempt_is_in_phase (requeststate, attempt, SETTLE_RUNNING))
    return STATUS_STALE;
  requeststate->may_have_run = true;
  if (requeststate->idempotent)
    requeststate->state = SETTLE_ADMITTED;
  else
    requeststate->state = SETTLE_HANDED_OVER;
  return STATUS_OK;
}

bool
settle_allows (const struct settle *requeststate, enum settle_outcome outcome)
{
  bool handed_over = requeststate->state == SETTLE_HANDED_OVER
                     || requeststate->state == SETTLE_RUNNING;

  if (!allowed_outcomes[requeststate->state][outcome])
    return false;
  if (outcome == SETTLE_REFUSED_NOT_RUN)
    return !requeststate->may_have_run;
  /* The owner of the key may reply that an earlier request with the key may
   * have run. */
  if (outcome == SETTLE_FAILED_MAY_HAVE_RUN)
    return handed_over || requeststate->may_have_run
           || requeststate->state == SETTLE_GRANT_WAIT;
  return true;
}

enum settle_record
settle_finish (struct settle *requeststate, enum settle_outcome outcome)
{
  enum settle_state phase = requeststate->state;

  assert (settle_allows (requeststate, outcome));
  requeststate->state = SETTLE_FINISHED;
  requeststate->outcome = outcome;
  if (!requeststate->grant_requested)
    return SETTLE_RECORD_NONE;
  if (outcome == SETTLE_REFUSED_NOT_RUN)
    return SETTLE_RECORD_RELEASE;
  /* The owner's reply was about another request's run. */
  if (phase == SETTLE_GRANT_WAIT)
    return SETTLE_RECORD_NONE;
  return SETTLE_RECORD_END;
}

enum settle_outcome
settle_give_up (const struct settle *requeststate)
{
  if (settle_allows (requeststate, SETTLE_REFUSED_NOT_RUN))
    return SETTLE_REFUSED_NOT_RUN;
  return SETTLE_FAILED_MAY_HAVE_RUN;
}

const char *
settle_state_name (enum settle_state phase)
{
  return phase_names[phase];
}

const char *
settle_outcome_name (enum settle_outcome outcome)
{
  return outcome_names[outcome];
}
