#include "forwardretry.h"
#include "unit.h"

static struct route route;
static struct response answer;

static struct forwardretry_state
state_of (enum route_kind kind, bool resumable, enum exchange_outcome end,
          unsigned runs, unsigned not_run)
{
  struct forwardretry_state state = {
    .route = &route,
    .outcome = end,
    .response = &answer,
    .run_count = runs,
    .not_run_count = not_run,
    .has_time_left = true,
  };

  route.kind = kind;
  route.resumable = resumable;
  route.servers_max = 2;
  answer.status = 200;
  return state;
}

/* Whatever the route and the end: what may have run once is never sent again,
 * and "did not run" is told only if no server may have run it. */
static void
test_truth_of_every_end (void)
{
  for (int kind = ROUTE_IDEMPOTENT; kind <= ROUTE_STREAM; kind++)
    for (int end = EXCHANGE_NOT_CONNECTED; end <= EXCHANGE_SILENT; end++)
      for (unsigned runs = 0; runs < 4; runs++)
        for (int relayed = 0; relayed < 2; relayed++)
          {
            bool surely
                = end == EXCHANGE_NOT_CONNECTED || end == EXCHANGE_NOT_RUN;
            unsigned all = runs + (surely ? 0 : 1);
            struct forwardretry_state state = state_of (
                (enum route_kind)kind, kind == ROUTE_STREAM && runs % 2 == 0,
                (enum exchange_outcome)end, all, surely ? 1 : 0);
            enum forwardretry_action action;

            state.relayed = relayed != 0;
            state.ends_with_event = true;
            action = forwardretry_decide (&state);
            if (action == FORWARDRETRY_REFUSE)
              CU_ASSERT_EQUAL (all, 0);
            if (all > 0 && !route_allows_retry (&route))
              CU_ASSERT_TRUE (action == FORWARDRETRY_FAIL
                              || action == FORWARDRETRY_BREAK);
            if (relayed != 0)
              CU_ASSERT_TRUE (action == FORWARDRETRY_BREAK
                              || action == FORWARDRETRY_RESUME);
            if (all >= route.servers_max)
              CU_ASSERT_TRUE (action != FORWARDRETRY_RETRY
                              && action != FORWARDRETRY_RESUME);
          }
}

static void
test_a_servers_failure (void)
{
  struct forwardretry_state state
      = state_of (ROUTE_IDEMPOTENT, false, EXCHANGE_ANSWERED, 1, 0);

  answer.status = 500;
  CU_ASSERT_EQUAL (forwardretry_decide (&state), FORWARDRETRY_RETRY);
  state.run_count = 2;
  CU_ASSERT_EQUAL (forwardretry_decide (&state), FORWARDRETRY_PASS_ON);
  state = state_of (ROUTE_NON_IDEMPOTENT, false, EXCHANGE_ANSWERED, 1, 0);
  answer.status = 500;
  CU_ASSERT_EQUAL (forwardretry_decide (&state), FORWARDRETRY_PASS_ON);
}

static void
test_no_time_left (void)
{
  struct forwardretry_state state
      = state_of (ROUTE_IDEMPOTENT, false, EXCHANGE_NOT_CONNECTED, 0, 1);

  CU_ASSERT_EQUAL (forwardretry_decide (&state), FORWARDRETRY_RETRY);
  state.has_time_left = false;
  CU_ASSERT_EQUAL (forwardretry_decide (&state), FORWARDRETRY_REFUSE);
}

static void
test_disowned_sends_are_limited (void)
{
  struct forwardretry_state state
      = state_of (ROUTE_NON_IDEMPOTENT, false, EXCHANGE_NOT_RUN, 0,
                  FORWARDRETRY_NOT_RUN_MAX);

  CU_ASSERT_EQUAL (forwardretry_decide (&state), FORWARDRETRY_RETRY);
  state.not_run_count++;
  CU_ASSERT_EQUAL (forwardretry_decide (&state), FORWARDRETRY_REFUSE);
}

static const struct unit_case cases[] = {
  { "truth-of-every-end", test_truth_of_every_end },
  { "a-servers-failure", test_a_servers_failure },
  { "no-time-left", test_no_time_left },
  { "disowned-sends-are-limited", test_disowned_sends_are_limited },
};

int
main (void)
{
  return unit_run ("resend", cases, G_N_ELEMENTS (cases));
}
