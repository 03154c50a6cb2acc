#include "rng.h"
#include "requeststate.h"
#include "unit.h"

#include <sys/wait.h>
#include <unistd.h>

enum
{
  STEPS = 200000
};

/* A request's state, and what the backend servers really did with it. */
struct model
{
  struct requeststate state;
  bool granted;
  unsigned run_count; /* Earlier attempts that may have run. */
  unsigned handed_over_count;
  bool current_may_run; /* The current attempt may have run. */
};

/* Applies one random event, which may be invalid in this phase or late. */
static void
model_step (struct model *model, struct rng *rng)
{
  struct requeststate *state = &model->state;
  unsigned attempt = state->attempt_number;

  /* Some events belong to the attempt before the current one. */
  if (attempt > 1 && rng_below (rng, 4) == 0)
    attempt--;
  switch (rng_below (rng, 8))
    {
    case 0:
      if (state->phase == REQUESTSTATE_RECEIVED)
        requeststate_admitted (state);
      break;
    case 1:
      if (state->phase == REQUESTSTATE_ADMITTED && !state->idempotent)
        requeststate_grant_requested (state);
      break;
    case 2:
      model->granted |= requeststate_granted (state) == STATUS_OK;
      break;
    case 3:
      if (requeststate_may_begin_attempt (state))
        requeststate_begin_attempt (state);
      break;
    case 4:
      if (requeststate_handed_over (state, attempt) == STATUS_OK)
        {
          model->handed_over_count++;
          model->current_may_run = true;
        }
      break;
    case 5:
      if (requeststate_not_run (state, attempt) == STATUS_OK)
        model->current_may_run = false;
      break;
    case 6:
      requeststate_response_started (state, attempt);
      break;
    default:
      if (requeststate_connection_lost (state, attempt) == STATUS_OK
          && model->current_may_run)
        {
          model->run_count += state->idempotent ? 1 : 0;
          model->current_may_run = !state->idempotent;
        }
    }
}

static void
model_check (const struct model *model)
{
  const struct requeststate *state = &model->state;
  bool may_have_run = model->run_count > 0 || model->current_may_run;

  CU_ASSERT_TRUE (state->attempt_number <= state->attempts_max);
  if (requeststate_allows (state, REQUESTSTATE_REFUSED_NOT_RUN))
    CU_ASSERT_FALSE (may_have_run);
  if (requeststate_allows (state, REQUESTSTATE_COMPLETE))
    CU_ASSERT_EQUAL (state->phase, REQUESTSTATE_RUNNING);
  CU_ASSERT_TRUE (
      requeststate_allows (state, requeststate_incomplete_outcome (state)));
  if (!state->idempotent && state->phase >= REQUESTSTATE_GRANTED)
    CU_ASSERT_TRUE (model->granted);
  if (!state->idempotent && may_have_run)
    CU_ASSERT_FALSE (requeststate_may_begin_attempt (state));
}

static void
test_random_events (void)
{
  struct rng rng;
  struct model model = { 0 };
  unsigned seen[REQUESTSTATE_PHASE_COUNT] = { 0 };

  rng_init (&rng, 11);
  requeststate_init (&model.state, false, 2);
  for (int i = 0; i < STEPS; i++)
    {
      model_step (&model, &rng);
      model_check (&model);
      seen[model.state.phase]++;
      if (rng_below (&rng, 30) != 0)
        continue;
      requeststate_finish (&model.state,
                           requeststate_incomplete_outcome (&model.state));
      CU_ASSERT_EQUAL (requeststate_granted (&model.state), STATUS_STALE);
      CU_ASSERT_EQUAL (requeststate_connection_lost (
                           &model.state, model.state.attempt_number),
                       STATUS_STALE);
      model = (struct model){ 0 };
      requeststate_init (&model.state, rng_below (&rng, 2) == 0, 2);
    }
  for (int i = 0; i < REQUESTSTATE_FINISHED; i++)
    CU_ASSERT_TRUE (seen[i] > 1000);
}

/* Brings a request that is not idempotent to PHASE. */
static void
state_bring_to_phase (struct requeststate *state,
                      enum requeststate_phase phase)
{
  requeststate_init (state, false, 2);
  if (phase >= REQUESTSTATE_ADMITTED)
    requeststate_admitted (state);
  if (phase >= REQUESTSTATE_GRANT_WAIT)
    requeststate_grant_requested (state);
  if (phase >= REQUESTSTATE_GRANTED)
    requeststate_granted (state);
  if (phase >= REQUESTSTATE_CONNECTING)
    requeststate_begin_attempt (state);
  if (phase >= REQUESTSTATE_HANDED_OVER)
    requeststate_handed_over (state, 1);
  if (phase >= REQUESTSTATE_RUNNING)
    requeststate_response_started (state, 1);
  if (phase == REQUESTSTATE_FINISHED)
    requeststate_finish (state, REQUESTSTATE_COMPLETE);
}

static bool
finish_aborts (enum requeststate_phase phase,
               enum requeststate_outcome outcome)
{
  struct requeststate state;
  int status = 0;
  pid_t child = fork ();

  if (child == 0)
    {
      close (STDERR_FILENO);
      state_bring_to_phase (&state, phase);
      requeststate_finish (&state, outcome);
      _exit (0);
    }
  waitpid (child, &status, 0);
  return !WIFEXITED (status) || WEXITSTATUS (status) != 0;
}

/* requeststate_finish must abort for each pair of phase and outcome that the
 * table does not allow. */
static void
test_wrong_outcome_aborts (void)
{
  static const char *const expected[REQUESTSTATE_PHASE_COUNT] = {
    [REQUESTSTATE_RECEIVED] = "-R---",   [REQUESTSTATE_ADMITTED] = "-R---",
    [REQUESTSTATE_GRANT_WAIT] = "-RMIP", [REQUESTSTATE_GRANTED] = "-R---",
    [REQUESTSTATE_CONNECTING] = "-R---", [REQUESTSTATE_HANDED_OVER] = "--M--",
    [REQUESTSTATE_RUNNING] = "C-M--",    [REQUESTSTATE_FINISHED] = "-----",
  };

  for (int phase = 0; phase < REQUESTSTATE_PHASE_COUNT; phase++)
    for (int outcome = 0; outcome < REQUESTSTATE_OUTCOME_COUNT; outcome++)
      CU_ASSERT_EQUAL (finish_aborts ((enum requeststate_phase)phase,
                                      (enum requeststate_outcome)outcome),
                       expected[phase][outcome] == '-');
}

static void
test_record_for_owner (void)
{
  static const struct
  {
    enum requeststate_phase phase;
    enum requeststate_outcome outcome;
    enum requeststate_record record;
  } rows[] = {
    { REQUESTSTATE_ADMITTED, REQUESTSTATE_REFUSED_NOT_RUN,
      REQUESTSTATE_RECORD_NONE },
    { REQUESTSTATE_GRANT_WAIT, REQUESTSTATE_REFUSED_NOT_RUN,
      REQUESTSTATE_RECORD_RELEASE },
    { REQUESTSTATE_GRANT_WAIT, REQUESTSTATE_REPLAYED,
      REQUESTSTATE_RECORD_NONE },
    { REQUESTSTATE_GRANT_WAIT, REQUESTSTATE_IN_PROGRESS,
      REQUESTSTATE_RECORD_NONE },
    { REQUESTSTATE_CONNECTING, REQUESTSTATE_REFUSED_NOT_RUN,
      REQUESTSTATE_RECORD_RELEASE },
    { REQUESTSTATE_HANDED_OVER, REQUESTSTATE_FAILED_MAY_HAVE_RUN,
      REQUESTSTATE_RECORD_END },
    { REQUESTSTATE_RUNNING, REQUESTSTATE_COMPLETE, REQUESTSTATE_RECORD_END },
  };

  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      struct requeststate state;

      state_bring_to_phase (&state, rows[i].phase);
      CU_ASSERT_EQUAL (requeststate_finish (&state, rows[i].outcome),
                       rows[i].record);
    }
}

static const struct unit_case cases[] = {
  { "random-lives", test_random_events },
  { "wrong-outcome-aborts", test_wrong_outcome_aborts },
  { "what-the-owner-is-told", test_record_for_owner },
};

int
main (void)
{
  return unit_run ("settle", cases, sizeof cases / sizeof *cases);
}
