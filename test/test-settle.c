#include "rng.h"
#include "requeststate.h"
#include "unit.h"

#include <sys/wait.h>
#include <unistd.h>

enum
{
  STEPS = 200000
};

/* What the backend servers did with a request, against its state. */
struct truth
{
  struct requeststate settle;
  bool granted;
  unsigned runs;        /* attempts that a backend server may have started */
  unsigned handed;      /* attempts handed over */
  bool current_may_run; /* the current attempt was handed over */
};

/* One event of a request's life, allowed or late. */
static void
truth_step (struct truth *truth, struct rng *rng)
{
  struct requeststate *settle = &truth->settle;
  unsigned attempt = settle->attempt_number;

  /* Sometimes the event is one of an earlier attempt. */
  if (attempt > 1 && rng_below (rng, 4) == 0)
    attempt--;
  switch (rng_below (rng, 8))
    {
    case 0:
      if (settle->phase == REQUESTSTATE_RECEIVED)
        requeststate_admitted (settle);
      break;
    case 1:
      if (settle->phase == REQUESTSTATE_ADMITTED && !settle->idempotent)
        requeststate_grant_requested (settle);
      break;
    case 2:
      truth->granted |= requeststate_granted (settle) == STATUS_OK;
      break;
    case 3:
      if (requeststate_may_begin_attempt (settle))
        requeststate_begin_attempt (settle);
      break;
    case 4:
      if (requeststate_handed_over (settle, attempt) == STATUS_OK)
        {
          truth->handed++;
          truth->current_may_run = true;
        }
      break;
    case 5:
      if (requeststate_not_run (settle, attempt) == STATUS_OK)
        truth->current_may_run = false;
      break;
    case 6:
      requeststate_response_started (settle, attempt);
      break;
    default:
      if (requeststate_connection_lost (settle, attempt) == STATUS_OK
          && truth->current_may_run)
        {
          truth->runs += settle->idempotent ? 1 : 0;
          truth->current_may_run = !settle->idempotent;
        }
    }
}

static void
truth_check (const struct truth *truth)
{
  const struct requeststate *settle = &truth->settle;
  bool may_have_run = truth->runs > 0 || truth->current_may_run;

  CU_ASSERT_TRUE (settle->attempt_number <= settle->attempts_max);
  if (requeststate_allows (settle, REQUESTSTATE_REFUSED_NOT_RUN))
    CU_ASSERT_FALSE (may_have_run);
  if (requeststate_allows (settle, REQUESTSTATE_COMPLETE))
    CU_ASSERT_EQUAL (settle->phase, REQUESTSTATE_RUNNING);
  CU_ASSERT_TRUE (
      requeststate_allows (settle, requeststate_incomplete_outcome (settle)));
  if (!settle->idempotent && settle->phase >= REQUESTSTATE_GRANTED)
    CU_ASSERT_TRUE (truth->granted);
  if (!settle->idempotent && may_have_run)
    CU_ASSERT_FALSE (requeststate_may_begin_attempt (settle));
}

static void
test_random_lives (void)
{
  struct rng rng;
  struct truth truth = { 0 };
  unsigned seen[REQUESTSTATE_PHASE_COUNT] = { 0 };

  rng_init (&rng, 11);
  requeststate_init (&truth.settle, false, 2);
  for (int i = 0; i < STEPS; i++)
    {
      truth_step (&truth, &rng);
      truth_check (&truth);
      seen[truth.settle.phase]++;
      if (rng_below (&rng, 30) != 0)
        continue;
      requeststate_finish (&truth.settle,
                           requeststate_incomplete_outcome (&truth.settle));
      CU_ASSERT_EQUAL (requeststate_granted (&truth.settle), STATUS_STALE);
      CU_ASSERT_EQUAL (requeststate_connection_lost (
                           &truth.settle, truth.settle.attempt_number),
                       STATUS_STALE);
      truth = (struct truth){ 0 };
      requeststate_init (&truth.settle, rng_below (&rng, 2) == 0, 2);
    }
  for (int i = 0; i < REQUESTSTATE_FINISHED; i++)
    CU_ASSERT_TRUE (seen[i] > 1000);
}

/* Bring a request that is not idempotent into STATE. */
static void
settle_bring (struct requeststate *settle, enum requeststate_phase state)
{
  requeststate_init (settle, false, 2);
  if (state >= REQUESTSTATE_ADMITTED)
    requeststate_admitted (settle);
  if (state >= REQUESTSTATE_GRANT_WAIT)
    requeststate_grant_requested (settle);
  if (state >= REQUESTSTATE_GRANTED)
    requeststate_granted (settle);
  if (state >= REQUESTSTATE_CONNECTING)
    requeststate_begin_attempt (settle);
  if (state >= REQUESTSTATE_HANDED_OVER)
    requeststate_handed_over (settle, 1);
  if (state >= REQUESTSTATE_RUNNING)
    requeststate_response_started (settle, 1);
  if (state == REQUESTSTATE_FINISHED)
    requeststate_finish (settle, REQUESTSTATE_COMPLETE);
}

static bool
finish_aborts (enum requeststate_phase state,
               enum requeststate_outcome outcome)
{
  struct requeststate settle;
  int status = 0;
  pid_t child = fork ();

  if (child == 0)
    {
      close (STDERR_FILENO);
      settle_bring (&settle, state);
      requeststate_finish (&settle, outcome);
      _exit (0);
    }
  waitpid (child, &status, 0);
  return !WIFEXITED (status) || WEXITSTATUS (status) != 0;
}

/* Each state with each outcome: what the table does not allow aborts. */
static void
test_wrong_outcome_aborts (void)
{
  static const char *const expected[REQUESTSTATE_PHASE_COUNT] = {
    [REQUESTSTATE_RECEIVED] = "-R---",   [REQUESTSTATE_ADMITTED] = "-R---",
    [REQUESTSTATE_GRANT_WAIT] = "-RMIP", [REQUESTSTATE_GRANTED] = "-R---",
    [REQUESTSTATE_CONNECTING] = "-R---", [REQUESTSTATE_HANDED_OVER] = "--M--",
    [REQUESTSTATE_RUNNING] = "C-M--",    [REQUESTSTATE_FINISHED] = "-----",
  };

  for (int state = 0; state < REQUESTSTATE_PHASE_COUNT; state++)
    for (int outcome = 0; outcome < REQUESTSTATE_OUTCOME_COUNT; outcome++)
      CU_ASSERT_EQUAL (finish_aborts ((enum requeststate_phase)state,
                                      (enum requeststate_outcome)outcome),
                       expected[state][outcome] == '-');
}

static void
test_what_the_owner_is_told (void)
{
  static const struct
  {
    enum requeststate_phase state;
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
      struct requeststate settle;

      settle_bring (&settle, rows[i].state);
      CU_ASSERT_EQUAL (requeststate_finish (&settle, rows[i].outcome),
                       rows[i].record);
    }
}

static const struct unit_case cases[] = {
  { "random-lives", test_random_lives },
  { "wrong-outcome-aborts", test_wrong_outcome_aborts },
  { "what-the-owner-is-told", test_what_the_owner_is_told },
};

int
main (void)
{
  return unit_run ("settle", cases, sizeof cases / sizeof *cases);
}
