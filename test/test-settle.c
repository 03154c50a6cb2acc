#include "rng.h"
#include "settle.h"
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
  struct settle settle;
  bool granted;
  unsigned runs;        /* attempts that a backend server may have started */
  unsigned handed;      /* attempts handed over */
  bool current_may_run; /* the current attempt was handed over */
};

/* One event of a request's life, allowed or late. */
static void
truth_step (struct truth *truth, struct rng *rng)
{
  struct settle *settle = &truth->settle;
  unsigned attempt = settle->attempt;

  /* Sometimes the event is one of an earlier attempt. */
  if (attempt > 1 && rng_below (rng, 4) == 0)
    attempt--;
  switch (rng_below (rng, 8))
    {
    case 0:
      if (settle->state == SETTLE_RECEIVED)
        settle_admit (settle);
      break;
    case 1:
      if (settle->state == SETTLE_ADMITTED && !settle->idempotent)
        settle_ask (settle);
      break;
    case 2:
      truth->granted |= settle_grant (settle) == STATUS_OK;
      break;
    case 3:
      if (settle_may_connect (settle))
        settle_connect (settle);
      break;
    case 4:
      if (settle_hand_over (settle, attempt) == STATUS_OK)
        {
          truth->handed++;
          truth->current_may_run = true;
        }
      break;
    case 5:
      if (settle_not_started (settle, attempt) == STATUS_OK)
        truth->current_may_run = false;
      break;
    case 6:
      settle_answering (settle, attempt);
      break;
    default:
      if (settle_cut (settle, attempt) == STATUS_OK && truth->current_may_run)
        {
          truth->runs += settle->idempotent ? 1 : 0;
          truth->current_may_run = !settle->idempotent;
        }
    }
}

static void
truth_check (const struct truth *truth)
{
  const struct settle *settle = &truth->settle;
  bool may_have_run = truth->runs > 0 || truth->current_may_run;

  CU_ASSERT_TRUE (settle->attempt <= settle->attempt_max);
  if (settle_allows (settle, SETTLE_REFUSED_NOT_RUN))
    CU_ASSERT_FALSE (may_have_run);
  if (settle_allows (settle, SETTLE_COMPLETE))
    CU_ASSERT_EQUAL (settle->state, SETTLE_RUNNING);
  CU_ASSERT_TRUE (settle_allows (settle, settle_give_up (settle)));
  if (!settle->idempotent && settle->state >= SETTLE_GRANTED)
    CU_ASSERT_TRUE (truth->granted);
  if (!settle->idempotent && may_have_run)
    CU_ASSERT_FALSE (settle_may_connect (settle));
}

static void
test_random_lives (void)
{
  struct rng rng;
  struct truth truth = { 0 };
  unsigned seen[SETTLE_STATE_COUNT] = { 0 };

  rng_init (&rng, 11);
  settle_init (&truth.settle, false, 2);
  for (int i = 0; i < STEPS; i++)
    {
      truth_step (&truth, &rng);
      truth_check (&truth);
      seen[truth.settle.state]++;
      if (rng_below (&rng, 30) != 0)
        continue;
      settle_finish (&truth.settle, settle_give_up (&truth.settle));
      CU_ASSERT_EQUAL (settle_grant (&truth.settle), STATUS_STALE);
      CU_ASSERT_EQUAL (settle_cut (&truth.settle, truth.settle.attempt),
                       STATUS_STALE);
      truth = (struct truth){ 0 };
      settle_init (&truth.settle, rng_below (&rng, 2) == 0, 2);
    }
  for (int i = 0; i < SETTLE_FINISHED; i++)
    CU_ASSERT_TRUE (seen[i] > 1000);
}

/* Bring a request that is not idempotent into STATE. */
static void
settle_bring (struct settle *settle, enum settle_state state)
{
  settle_init (settle, false, 2);
  if (state >= SETTLE_ADMITTED)
    settle_admit (settle);
  if (state >= SETTLE_GRANT_WAIT)
    settle_ask (settle);
  if (state >= SETTLE_GRANTED)
    settle_grant (settle);
  if (state >= SETTLE_CONNECTING)
    settle_connect (settle);
  if (state >= SETTLE_HANDED_OVER)
    settle_hand_over (settle, 1);
  if (state >= SETTLE_RUNNING)
    settle_answering (settle, 1);
  if (state == SETTLE_FINISHED)
    settle_finish (settle, SETTLE_COMPLETE);
}

static bool
finish_aborts (enum settle_state state, enum settle_outcome outcome)
{
  struct settle settle;
  int status = 0;
  pid_t child = fork ();

  if (child == 0)
    {
      close (STDERR_FILENO);
      settle_bring (&settle, state);
      settle_finish (&settle, outcome);
      _exit (0);
    }
  waitpid (child, &status, 0);
  return !WIFEXITED (status) || WEXITSTATUS (status) != 0;
}

/* Each state with each outcome: what the table does not allow aborts. */
static void
test_wrong_outcome_aborts (void)
{
  static const char *const expected[SETTLE_STATE_COUNT] = {
    [SETTLE_RECEIVED] = "-R---",   [SETTLE_ADMITTED] = "-R---",
    [SETTLE_GRANT_WAIT] = "-RMIP", [SETTLE_GRANTED] = "-R---",
    [SETTLE_CONNECTING] = "-R---", [SETTLE_HANDED_OVER] = "--M--",
    [SETTLE_RUNNING] = "C-M--",    [SETTLE_FINISHED] = "-----",
  };

  for (int state = 0; state < SETTLE_STATE_COUNT; state++)
    for (int outcome = 0; outcome < SETTLE_OUTCOME_COUNT; outcome++)
      CU_ASSERT_EQUAL (finish_aborts ((enum settle_state)state,
                                      (enum settle_outcome)outcome),
                       expected[state][outcome] == '-');
}

static void
test_what_the_owner_is_told (void)
{
  static const struct
  {
    enum settle_state state;
    enum settle_outcome outcome;
    enum settle_record record;
  } rows[] = {
    { SETTLE_ADMITTED, SETTLE_REFUSED_NOT_RUN, SETTLE_RECORD_NONE },
    { SETTLE_GRANT_WAIT, SETTLE_REFUSED_NOT_RUN, SETTLE_RECORD_RELEASE },
    { SETTLE_GRANT_WAIT, SETTLE_REPLAYED, SETTLE_RECORD_NONE },
    { SETTLE_GRANT_WAIT, SETTLE_IN_PROGRESS, SETTLE_RECORD_NONE },
    { SETTLE_CONNECTING, SETTLE_REFUSED_NOT_RUN, SETTLE_RECORD_RELEASE },
    { SETTLE_HANDED_OVER, SETTLE_FAILED_MAY_HAVE_RUN, SETTLE_RECORD_END },
    { SETTLE_RUNNING, SETTLE_COMPLETE, SETTLE_RECORD_END },
  };

  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      struct settle settle;

      settle_bring (&settle, rows[i].state);
      CU_ASSERT_EQUAL (settle_finish (&settle, rows[i].outcome),
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
