#include "resend.h"

static const char *const action_names[] = {
  [RESEND_PASS_ON] = "pass_on", [RESEND_AGAIN] = "again",
  [RESEND_RESUME] = "resume",   [RESEND_REFUSE] = "refuse",
  [RESEND_FAIL] = "fail",       [RESEND_BREAK] = "break",
};

const char *
resend_action_name (enum resend_action action)
{
  return action_names[action];
}

enum resend_action
resend_last (const struct resend_state *state)
{
  if (state->relayed)
    return state->end == EXCHANGE_ANSWERED ? RESEND_PASS_ON : RESEND_BREAK;
  if (state->end == EXCHANGE_ANSWERED)
    return RESEND_PASS_ON;
  return state->runs == 0 ? RESEND_REFUSE : RESEND_FAIL;
}

static bool
server_failed (const struct resend_state *state)
{
  return state->end == EXCHANGE_ANSWERED && state->answer->status >= 500;
}

enum resend_action
resend_decide (const struct resend_state *state)
{
  bool may_rerun = route_allows_retry (state->route);
  bool not_run
      = state->end == EXCHANGE_NOT_CONNECTED || state->end == EXCHANGE_NOT_RUN;

  if ((state->end == EXCHANGE_ANSWERED && !server_failed (state))
      || !state->time_left)
    return resend_last (state);
  if (state->runs > 0 && !may_rerun)
    return resend_last (state);
  if (state->runs >= state->route->servers_max
      || (not_run && state->not_run > RESEND_NOT_RUN_MAX))
    return resend_last (state);
  if (!state->relayed)
    return RESEND_AGAIN;
  return state->route->kind == ROUTE_STREAM && state->whole_events
             ? RESEND_RESUME
             : RESEND_BREAK;
}
