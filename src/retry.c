#include "retry.h"

#include <assert.h>
#include <glib.h>

/* The buckets of the retry budgets are full at the start, and refill at these
 * rates even if no request completes. */
enum
{
  GATEWAY_BURST_RETRIES = 20,
  /* Refill rate in thousandths of a retry per second. */
  GATEWAY_RATE_MILLI = 1000,
  SERVER_BURST_RETRIES = 5,
  /* Refill rate in thousandths of a retry per second. */
  SERVER_RATE_MILLI = 200,
  BACKOFF_DOUBLINGS_MAX = 16,
  /* The delay before a retry is at most the time left until the deadline
   * divided by this number. */
  BACKOFF_TIME_LEFT_DIVISOR = 2
};

/* What an outcome means for the request. */
struct outcome_rule
{
  bool may_have_run;  /* Whether the request may have run at least in part. */
  bool may_resume;    /* Whether the engine may still have the run, so that a
                         resume call can continue it. */
  bool may_be_poison; /* Whether the request may have crashed the backend
                         server. */
};

static const struct outcome_rule rules[RETRY_OUTCOME_COUNT] = {
  [RETRY_NOT_SENT] = { false, false, false },
  [RETRY_NOT_RUN] = { false, false, false },
  [RETRY_LOST_UNANSWERED] = { true, true, false },
  [RETRY_LOST_MIDWAY] = { true, true, false },
  [RETRY_SILENT] = { true, true, false },
  [RETRY_FAILED] = { true, false, false },
  [RETRY_CRASHED] = { true, false, true },
};

static const char *const outcome_names[RETRY_OUTCOME_COUNT] = {
  [RETRY_NOT_SENT] = "not_sent",
  [RETRY_NOT_RUN] = "not_run",
  [RETRY_LOST_UNANSWERED] = "lost_unanswered",
  [RETRY_LOST_MIDWAY] = "lost_midway",
  [RETRY_SILENT] = "silent",
  [RETRY_FAILED] = "failed",
  [RETRY_CRASHED] = "crashed",
};

static const char *const reason_names[RETRY_REASON_COUNT] = {
  [RETRY_REASON_NONE] = "none",
  [RETRY_REASON_MAY_HAVE_RUN] = "may_have_run",
  [RETRY_REASON_RELAYED] = "answer_cut",
  [RETRY_REASON_SERVERS_TRIED] = "backend_servers_tried",
  [RETRY_REASON_BUDGET] = "retry_budget",
  [RETRY_REASON_DEADLINE] = "deadline_passed",
};

static gboolean
bucket_is_full (gpointer name, gpointer bucket, gpointer now)
{
  const struct bucket *full = bucket;

  return bucket_ready_ns (bucket, SERVER_BURST_RETRIES, *(int64_t *)now)
             <= *(int64_t *)now
         && full->level == full->level_max;
}

/* Returns the budget of SERVER and creates it if needed. A new budget is full,
 * so when there are too many budgets, the full ones are dropped without a
 * loss. If that is not enough, all are dropped. */
static struct bucket *
server_budget (struct retry *retry, const char *server)
{
  struct bucket *bucket = g_hash_table_lookup (retry->server_budgets, server);
  int64_t now = clock_now (retry->clock);

  if (bucket != NULL)
    return bucket;
  if (g_hash_table_size (retry->server_budgets) >= RETRY_SERVER_BUDGETS_MAX)
    g_hash_table_foreach_remove (retry->server_budgets, bucket_is_full, &now);
  if (g_hash_table_size (retry->server_budgets) >= RETRY_SERVER_BUDGETS_MAX)
    g_hash_table_remove_all (retry->server_budgets);
  bucket = g_new0 (struct bucket, 1);
  bucket_init (bucket, SERVER_RATE_MILLI, SERVER_BURST_RETRIES, now);
  g_hash_table_insert (retry->server_budgets, g_strdup (server), bucket);
  return bucket;
}

/* Exponential backoff with full jitter: a random delay between 0 and a limit
 * that doubles with each delay. */
static int64_t
backoff_delay_ns (const struct retry *retry,
                  const struct retry_request *request)
{
  unsigned doublings
      = MIN (request->backoff_count, (unsigned)BACKOFF_DOUBLINGS_MAX);
  int64_t limit_ns = retry->settings.backoff_base_ns << doublings;
  int64_t time_left_ns = request->deadline_ns - clock_now (retry->clock);

  limit_ns = MIN (limit_ns, retry->settings.backoff_max_ns);
  limit_ns = MIN (limit_ns, time_left_ns / BACKOFF_TIME_LEFT_DIVISOR);
  return (int64_t)(rng_uniform (retry->rng) * (double)limit_ns);
}

static bool
request_may_resume (const struct retry_request *request,
                    const struct outcome_rule *rule)
{
  return request->resumable && rule->may_resume
         && request->resume_count < RETRY_RESUMES_MAX;
}

/* Returns why no other backend server may be tried, or RETRY_REASON_NONE if
 * one may be tried. Does not check the budgets and the deadline. */
static enum retry_reason
other_server_refusal (const struct retry *retry,
                      const struct retry_request *request)
{
  if (request->may_have_run && !request->idempotent)
    return RETRY_REASON_MAY_HAVE_RUN;
  if (request->relayed)
    return RETRY_REASON_RELAYED;
  if (request->servers_tried >= retry->settings.servers_max)
    return RETRY_REASON_SERVERS_TRIED;
  return RETRY_REASON_NONE;
}

static void
decision_stop (struct retry *retry, const struct retry_request *request,
               enum retry_reason reason, struct retry_decision *decision)
{
  int64_t now = clock_now (retry->clock);
  bool caller_may_retry = request->idempotent || decision->not_run;

  decision->action = RETRY_STOP;
  decision->reason = reason;
  if (!caller_may_retry)
    return;
  decision->retry_after_ns = retry->settings.backoff_max_ns;
  if (reason == RETRY_REASON_BUDGET)
    decision->retry_after_ns
        = MAX (bucket_ready_ns (&retry->gateway_budget, 1, now) - now,
               retry->settings.backoff_max_ns);
}

const char *
retry_reason_name (enum retry_reason reason)
{
  assert ((unsigned)reason < RETRY_REASON_COUNT);
  return reason_names[reason];
}

const char *
retry_outcome_name (enum retry_outcome outcome)
{
  assert ((unsigned)outcome < RETRY_OUTCOME_COUNT);
  return outcome_names[outcome];
}

void
retry_init (struct retry *retry, const struct retry_settings *settings,
            const struct clock *clock, struct rng *rng)
{
  *retry = (struct retry){ .clock = clock, .rng = rng, .settings = *settings };
  bucket_init (&retry->gateway_budget, GATEWAY_RATE_MILLI,
               GATEWAY_BURST_RETRIES, clock_now (clock));
  retry->server_budgets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
retry_finish (struct retry *retry)
{
  g_hash_table_destroy (retry->server_budgets);
}

void
retry_begin_attempt (const struct retry *retry, struct retry_request *request)
{
  assert (request->servers_tried < retry->settings.servers_max);
  assert (request->idempotent || !request->may_have_run);
  request->servers_tried++;
}

void
retry_record_success (struct retry *retry, const char *server)
{
  int64_t share
      = (int64_t)(retry->settings.budget_share * BUCKET_MILLI_PER_TOKEN);
  int64_t now = clock_now (retry->clock);
  struct bucket *bucket = g_hash_table_lookup (retry->server_budgets, server);

  bucket_add (&retry->gateway_budget, share, now);
  if (bucket != NULL)
    bucket_add (bucket, share, now);
}

struct retry_decision
retry_decide (struct retry *retry, struct retry_request *request,
              enum retry_outcome outcome)
{
  const struct outcome_rule *rule = &rules[outcome];
  struct retry_decision decision = { .action = RETRY_ANOTHER_SERVER };
  int64_t now = clock_now (retry->clock);
  enum retry_reason reason;

  request->may_have_run = request->may_have_run || rule->may_have_run;
  /* A server that refused the connection did no work, and its refusal says
   * nothing about the request: up to RETRY_NOT_SENT_MAX such attempts do not
   * count against the limit of servers. */
  if (outcome == RETRY_NOT_SENT
      && request->not_sent_count < RETRY_NOT_SENT_MAX)
    {
      request->not_sent_count++;
      request->servers_tried--;
    }
  decision.not_run = !request->may_have_run;
  reason = other_server_refusal (retry, request);
  if (request_may_resume (request, rule))
    decision.action = RETRY_RESUME;
  else if (rule->may_be_poison)
    decision.action = RETRY_ANOTHER_IF_CLEARED;
  if (decision.action == RETRY_RESUME)
    reason = RETRY_REASON_NONE;
  if (reason == RETRY_REASON_NONE && now >= request->deadline_ns)
    reason = RETRY_REASON_DEADLINE;
  if (reason == RETRY_REASON_NONE
      && !bucket_take (&retry->gateway_budget, 1, now))
    reason = RETRY_REASON_BUDGET;
  if (reason != RETRY_REASON_NONE)
    {
      decision_stop (retry, request, reason, &decision);
      return decision;
    }
  decision.delay_ns = backoff_delay_ns (retry, request);
  request->backoff_count++;
  request->resume_count += decision.action == RETRY_RESUME;
  return decision;
}

bool
retry_server_has_budget (struct retry *retry, const char *server)
{
  struct bucket *bucket = g_hash_table_lookup (retry->server_budgets, server);
  int64_t now = clock_now (retry->clock);

  return bucket == NULL || bucket_ready_ns (bucket, 1, now) <= now;
}

void
retry_server_charge (struct retry *retry, const char *server)
{
  bucket_take (server_budget (retry, server), 1, clock_now (retry->clock));
}
