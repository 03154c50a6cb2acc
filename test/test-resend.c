#include "forwardretry.h"
#include "unit.h"

static struct route route;
static struct response response;

static struct forwardretry_state
make_state (enum route_kind kind, bool resumable,
            enum exchange_outcome outcome, unsigned run_count,
            unsigned not_run_count)
{
  struct forwardretry_state state = {
    .route = &route,
    .outcome = outcome,
    .response = &response,
    .run_count = run_count,
    .not_run_count = not_run_count,
    .has_time_left = true,
  };

  route.kind = kind;
  route.resumable = resumable;
  route.servers_max = 2;
  response.status = 200;
  return state;
}

/* For every route and outcome: a request that may have run is retried only if
 * its route allows it, and the caller is told that it did not run only if no
 * server may have run it. */
static void
test_every_outcome (void)
{
  for (int kind = ROUTE_IDEMPOTENT; kind <= ROUTE_STREAM; kind++)
    for (int outcome = EXCHANGE_NOT_CONNECTED; outcome <= EXCHANGE_OUTDATED;
         outcome++)
      for (unsigned earlier_runs = 0; earlier_runs < 4; earlier_runs++)
        for (int relayed = 0; relayed < 2; relayed++)
          {
            bool is_not_run = outcome == EXCHANGE_NOT_CONNECTED
                              || outcome == EXCHANGE_NOT_RUN;
            unsigned run_total = earlier_runs + (is_not_run ? 0 : 1);
            struct forwardretry_state state = make_state (
                (enum route_kind)kind,
                kind == ROUTE_STREAM && earlier_runs % 2 == 0,
                (enum exchange_outcome)outcome, run_total, is_not_run ? 1 : 0);
            enum forwardretry_action action;

            state.relayed = relayed != 0;
            state.is_resumable = true;
            action = forwardretry_decide (&state);
            if (action == FORWARDRETRY_REFUSE)
              CU_ASSERT_EQUAL (run_total, 0);
            if (run_total > 0 && !route_allows_retry (&route))
              CU_ASSERT_TRUE (action == FORWARDRETRY_FAIL
                              || action == FORWARDRETRY_BREAK);
            if (relayed != 0)
              CU_ASSERT_TRUE (action == FORWARDRETRY_BREAK
                              || action == FORWARDRETRY_RESUME);
            if (run_total >= route.servers_max)
              CU_ASSERT_TRUE (action != FORWARDRETRY_RETRY
                              && action != FORWARDRETRY_RESUME);
          }
}

static void
test_server_error (void)
{
  struct forwardretry_state state
      = make_state (ROUTE_IDEMPOTENT, false, EXCHANGE_ANSWERED, 1, 0);

  response.status = 500;
  CU_ASSERT_EQUAL (forwardretry_decide (&state), FORWARDRETRY_RETRY);
  state.run_count = 2;
  CU_ASSERT_EQUAL (forwardretry_decide (&state), FORWARDRETRY_PASS_ON);
  state = make_state (ROUTE_NON_IDEMPOTENT, false, EXCHANGE_ANSWERED, 1, 0);
  response.status = 500;
  CU_ASSERT_EQUAL (forwardretry_decide (&state), FORWARDRETRY_PASS_ON);
}

static void
test_no_time_left (void)
{
  struct forwardretry_state state
      = make_state (ROUTE_IDEMPOTENT, false, EXCHANGE_NOT_CONNECTED, 0, 1);

  CU_ASSERT_EQUAL (forwardretry_decide (&state), FORWARDRETRY_RETRY);
  state.has_time_left = false;
  CU_ASSERT_EQUAL (forwardretry_decide (&state), FORWARDRETRY_REFUSE);
}

static void
test_not_run_retries_are_limited (void)
{
  struct forwardretry_state state
      = make_state (ROUTE_NON_IDEMPOTENT, false, EXCHANGE_NOT_RUN, 0,
                    FORWARDRETRY_NOT_RUN_MAX);

  CU_ASSERT_EQUAL (forwardretry_decide (&state), FORWARDRETRY_RETRY);
  state.not_run_count++;
  CU_ASSERT_EQUAL (forwardretry_decide (&state), FORWARDRETRY_REFUSE);
}

static const struct unit_case cases[] = {
  { "truth-of-every-end", test_every_outcome },
  { "a-servers-failure", test_server_error },
  { "no-time-left", test_no_time_left },
  { "disowned-sends-are-limited", test_not_run_retries_are_limited },
};

int
main (void)
{
  return unit_run ("resend", cases, G_N_ELEMENTS (cases));
}
