#include "settle.h"

#include <assert.h>

static const char *const state_names[] = {
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

/* Which outcomes a state allows. A refusal also needs that no earlier attempt
 * may have run, a failure that one may. */
static const bool allowed[SETTLE_STATE_COUNT][SETTLE_OUTCOME_COUNT] = {
  [SETTLE_RECEIVED] = { [SETTLE_REFUSED_NOT_RUN] = true },
  [SETTLE_ADMITTED]
  = { [SETTLE_REFUSED_NOT_RUN] = true, [SETTLE_FAILED_MAY_HAVE_RUN] = true },
  [SETTLE_GRANT_WAIT] = { [SETTLE_REFUSED_NOT_RUN] = true,
                          [SETTLE_FAILED_MAY_HAVE_RUN] = true,
                          [SETTLE_IN_PROGRESS] = true,
                          [SETTLE_REPLAYED] = true },
  [SETTLE_GRANTED] = { [SETTLE_REFUSED_NOT_RUN] = true },
  [SETTLE_CONNECTING]
  = { [SETTLE_REFUSED_NOT_RUN] = true, [SETTLE_FAILED_MAY_HAVE_RUN] = true },
  [SETTLE_HANDED_OVER] = { [SETTLE_FAILED_MAY_HAVE_RUN] = true },
  [SETTLE_RUNNING]
  = { [SETTLE_COMPLETE] = true, [SETTLE_FAILED_MAY_HAVE_RUN] = true },
};

/* The state from which the next attempt may begin. */
static enum settle_state
state_between_attempts (const struct settle *settle)
{
  return settle->idempotent ? SETTLE_ADMITTED : SETTLE_GRANTED;
}

/* After the cut of a request that is not idempotent no word of the backend
 * server counts any more. */
static bool
attempt_is (const struct settle *settle, unsigned attempt,
            enum settle_state state)
{
  return settle->state == state && settle->attempt == attempt
         && (settle->idempotent || !settle->may_have_run);
}

void
settle_init (struct settle *settle, bool idempotent, unsigned attempt_max)
{
  *settle = (struct settle){
    .state = SETTLE_RECEIVED,
    .idempotent = idempotent,
    .attempt_max = attempt_max,
  };
}

void
settle_admit (struct settle *settle)
{
  assert (settle->state == SETTLE_RECEIVED);
  settle->state = SETTLE_ADMITTED;
}

void
settle_ask (struct settle *settle)
{
  assert (settle->state == SETTLE_ADMITTED
          || settle->state == SETTLE_GRANT_WAIT);
  assert (!settle->idempotent);
  settle->state = SETTLE_GRANT_WAIT;
  settle->asked = true;
}

enum status
settle_grant (struct settle *settle)
{
  if (settle->state != SETTLE_GRANT_WAIT)
    return STATUS_STALE;
  settle->state = SETTLE_GRANTED;
  return STATUS_OK;
}

bool
settle_may_connect (const struct settle *settle)
{
  if (settle->attempt >= settle->attempt_max)
    return false;
  return settle->state == state_between_attempts (settle);
}

unsigned
settle_connect (struct settle *settle)
{
  assert (settle_may_connect (settle));
  assert (settle->idempotent || !settle->may_have_run);
  settle->state = SETTLE_CONNECTING;
  return ++settle->attempt;
}

enum status
settle_not_connected (struct settle *settle, unsigned attempt)
{
  if (!attempt_is (settle, attempt, SETTLE_CONNECTING))
    return STATUS_STALE;
  settle->state = state_between_attempts (settle);
  return STATUS_OK;
}

enum status
settle_hand_over (struct settle *settle, unsigned attempt)
{
  if (!attempt_is (settle, attempt, SETTLE_CONNECTING))
    return STATUS_STALE;
  settle->state = SETTLE_HANDED_OVER;
  return STATUS_OK;
}

enum status
settle_not_started (struct settle *settle, unsigned attempt)
{
  if (!attempt_is (settle, attempt, SETTLE_HANDED_OVER))
    return STATUS_STALE;
  settle->state = state_between_attempts (settle);
  return STATUS_OK;
}

enum status
settle_answering (struct settle *settle, unsigned attempt)
{
  if (!attempt_is (settle, attempt, SETTLE_HANDED_OVER))
    return STATUS_STALE;
  settle->state = SETTLE_RUNNING;
  return STATUS_OK;
}

enum status
settle_cut (struct settle *settle, unsigned attempt)
{
  if (attempt_is (settle, attempt, SETTLE_CONNECTING))
    return settle_not_connected (settle, attempt);
  if (!attempt_is (settle, attempt, SETTLE_HANDED_OVER)
      && !attempt_is (settle, attempt, SETTLE_RUNNING))
    return STATUS_STALE;
  settle->may_have_run = true;
  if (settle->idempotent)
    settle->state = SETTLE_ADMITTED;
  else
    settle->state = SETTLE_HANDED_OVER;
  return STATUS_OK;
}

bool
settle_allows (const struct settle *settle, enum settle_outcome outcome)
{
  bool handed_over
      = settle->state == SETTLE_HANDED_OVER || settle->state == SETTLE_RUNNING;

  if (!allowed[settle->state][outcome])
    return false;
  if (outcome == SETTLE_REFUSED_NOT_RUN)
    return !settle->may_have_run;
  /* While the owner is asked, it may say so of an earlier request. */
  if (outcome == SETTLE_FAILED_MAY_HAVE_RUN)
    return handed_over || settle->may_have_run
           || settle->state == SETTLE_GRANT_WAIT;
  return true;
}

enum settle_record
settle_finish (struct settle *settle, enum settle_outcome outcome)
{
  enum settle_state state = settle->state;

  assert (settle_allows (settle, outcome));
  settle->state = SETTLE_FINISHED;
  settle->outcome = outcome;
  if (!settle->asked)
    return SETTLE_RECORD_NONE;
  if (outcome == SETTLE_REFUSED_NOT_RUN)
    return SETTLE_RECORD_RELEASE;
  /* The answer was about another request's run. */
  if (state == SETTLE_GRANT_WAIT)
    return SETTLE_RECORD_NONE;
  return SETTLE_RECORD_END;
}

enum settle_outcome
settle_give_up (const struct settle *settle)
{
  if (settle_allows (settle, SETTLE_REFUSED_NOT_RUN))
    return SETTLE_REFUSED_NOT_RUN;
  return SETTLE_FAILED_MAY_HAVE_RUN;
}

const char *
settle_state_name (enum settle_state state)
{
  return state_names[state];
}

const char *
settle_outcome_name (enum settle_outcome outcome)
{
  return outcome_names[outcome];
}
