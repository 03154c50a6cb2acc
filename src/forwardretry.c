#include "forwardretry.h"

static const char *const action_names[] = {
  [FORWARDRETRY_PASS_ON] = "pass_on", [FORWARDRETRY_RETRY] = "again",
  [FORWARDRETRY_RESUME] = "resume",   [FORWARDRETRY_REFUSE] = "refuse",
  [FORWARDRETRY_FAIL] = "fail",       [FORWARDRETRY_BREAK] = "break",
  [FORWARDRETRY_KEEP] = "keep",
};

const char *
forwardretry_action_name (enum forwardretry_action action)
{
  return action_names[action];
}

enum forwardretry_action
forwardretry_decide_without_retry (const struct forwardretry_state *state)
{
  if (state->relayed)
    return state->outcome == EXCHANGE_ANSWERED ? FORWARDRETRY_PASS_ON
                                               : FORWARDRETRY_BREAK;
  if (state->outcome == EXCHANGE_ANSWERED)
    return FORWARDRETRY_PASS_ON;
  return state->run_count == state->earlier_runs ? FORWARDRETRY_REFUSE
                                                 : FORWARDRETRY_FAIL;
}

static bool
server_failed (const struct forwardretry_state *state)
{
  return state->outcome == EXCHANGE_ANSWERED && state->response->status >= 500;
}

enum forwardretry_action
forwardretry_decide (const struct forwardretry_state *state)
{
  bool may_rerun = route_allows_retry (state->route);
  bool not_run = state->outcome == EXCHANGE_NOT_CONNECTED
                 || state->outcome == EXCHANGE_NOT_RUN;

  if ((state->outcome == EXCHANGE_ANSWERED && !server_failed (state))
      || !state->has_time_left)
    return forwardretry_decide_without_retry (state);
  if (state->run_count > 0 && !may_rerun)
    return forwardretry_decide_without_retry (state);
  if (state->run_count >= state->route->servers_max
      || (not_run && state->not_run_count > FORWARDRETRY_NOT_RUN_MAX))
    return forwardretry_decide_without_retry (state);
  if (!state->relayed)
    return FORWARDRETRY_RETRY;
  return state->route->kind == ROUTE_STREAM && state->is_resumable
             ? FORWARDRETRY_RESUME
             : FORWARDRETRY_BREAK;
}
