#include "retry.h"
#include "unit.h"

static struct
{
  struct clock_fake clock;
  struct rng rng;
  struct retry retry;
} world;

static void
world_init (void)
{
  const struct retry_settings settings = { .budget_share = 0.1,
                                           .servers_max = 2,
                                           .backoff_base_ns = 50 * NS_PER_MS,
                                           .backoff_max_ns = 2 * NS_PER_S };

  clock_fake_init (&world.clock, 1);
  rng_init (&world.rng, 61);
  retry_init (&world.retry, &settings, &world.clock.clock, &world.rng);
}

/* The action after the first attempt, by its outcome: for a request that is
 * not idempotent, one that is, and one that is also resumable. */
static const enum retry_action first_actions[RETRY_OUTCOME_COUNT][3] = {
  [RETRY_NOT_SENT]
  = { RETRY_ANOTHER_SERVER, RETRY_ANOTHER_SERVER, RETRY_ANOTHER_SERVER },
  [RETRY_NOT_RUN]
  = { RETRY_ANOTHER_SERVER, RETRY_ANOTHER_SERVER, RETRY_ANOTHER_SERVER },
  [RETRY_LOST_UNANSWERED] = { RETRY_STOP, RETRY_ANOTHER_SERVER, RETRY_RESUME },
  [RETRY_LOST_MIDWAY] = { RETRY_STOP, RETRY_ANOTHER_SERVER, RETRY_RESUME },
  [RETRY_SILENT] = { RETRY_STOP, RETRY_ANOTHER_SERVER, RETRY_RESUME },
  [RETRY_FAILED] = { RETRY_STOP, RETRY_ANOTHER_SERVER, RETRY_ANOTHER_SERVER },
  [RETRY_CRASHED]
  = { RETRY_STOP, RETRY_ANOTHER_IF_CLEARED, RETRY_ANOTHER_IF_CLEARED },
};

static void
test_table (void)
{
  for (int outcome = 0; outcome < RETRY_OUTCOME_COUNT; outcome++)
    for (int kind = 0; kind < 3; kind++)
      {
        struct retry_request request = { .idempotent = kind > 0,
                                         .resumable = kind == 2,
                                         .deadline_ns = CLOCK_NEVER };
        struct retry_decision decision;

        world_init ();
        retry_begin_attempt (&world.retry, &request);
        decision = retry_decide (&world.retry, &request,
                                 (enum retry_outcome)outcome);
        CU_ASSERT_EQUAL (decision.action, first_actions[outcome][kind]);
        CU_ASSERT_EQUAL (decision.not_run, outcome <= RETRY_NOT_RUN);
        CU_ASSERT_TRUE (decision.delay_ns <= 50 * NS_PER_MS);
        retry_finish (&world.retry);
      }
}

/* Runs a request with random outcomes. It must never use more than two
 * servers, never run twice if it is not idempotent, and never be reported as
 * not run after an attempt that may have run. */
static void
run_random_request (void)
{
  struct retry_request request
      = { .idempotent = rng_below (&world.rng, 2),
          .resumable = rng_below (&world.rng, 2),
          .deadline_ns = world.clock.now_ns + 5 * NS_PER_S };
  struct retry_decision decision = { .action = RETRY_ANOTHER_SERVER };
  unsigned run_count = 0;

  while (decision.action != RETRY_STOP)
    {
      enum retry_outcome outcome
          = (enum retry_outcome)rng_below (&world.rng, RETRY_OUTCOME_COUNT);

      if (decision.action != RETRY_RESUME)
        {
          retry_begin_attempt (&world.retry, &request);
          run_count += outcome > RETRY_NOT_RUN;
        }
      else if (outcome <= RETRY_NOT_RUN)
        outcome = RETRY_SILENT;
      request.relayed |= outcome == RETRY_LOST_MIDWAY;
      decision = retry_decide (&world.retry, &request, outcome);
      CU_ASSERT_EQUAL (decision.not_run, run_count == 0);
      CU_ASSERT_TRUE (request.servers_tried <= 2);
      CU_ASSERT_TRUE (request.idempotent || run_count <= 1);
      CU_ASSERT_FALSE (request.relayed
                       && decision.action >= RETRY_ANOTHER_SERVER);
      clock_fake_advance (&world.clock, decision.delay_ns);
    }
  CU_ASSERT_NOT_EQUAL (decision.reason, RETRY_REASON_NONE);
  CU_ASSERT_EQUAL (decision.retry_after_ns == 0,
                   run_count > 0 && !request.idempotent);
}

static void
test_random_requests (void)
{
  world_init ();
  for (int i = 0; i < 20000; i++)
    {
      run_random_request ();
      clock_fake_advance (&world.clock, NS_PER_S);
    }
  retry_finish (&world.retry);
}

/* When nine of ten attempts fail, retries must stay within the sum of the
 * budget's share of successes, the initial burst (20 for the gateway, 5 for a
 * server) and the refill over the 100 s (1 and 0.2 retries per second). */
static void
test_retry_storm (void)
{
  const int requests = 20000;
  unsigned retries = 0;
  unsigned successes = 0;
  unsigned attempts_to_one = 0;

  world_init ();
  for (int i = 0; i < requests; i++)
    {
      struct retry_request request
          = { .idempotent = true, .deadline_ns = CLOCK_NEVER };
      bool fails = rng_below (&world.rng, 10) > 0;

      clock_fake_advance (&world.clock, 5 * NS_PER_MS);
      retry_begin_attempt (&world.retry, &request);
      successes += !fails;
      if (!fails)
        retry_record_success (&world.retry, "other");
      else if (retry_decide (&world.retry, &request, RETRY_NOT_SENT).action
               == RETRY_ANOTHER_SERVER)
        retries++;
      if (retry_server_has_budget (&world.retry, "one"))
        {
          retry_server_charge (&world.retry, "one");
          attempts_to_one++;
        }
    }
  CU_ASSERT_TRUE (retries <= successes / 10 + 20 + 100 + 1);
  CU_ASSERT_TRUE (retries >= successes / 10);
  CU_ASSERT_TRUE (attempts_to_one <= 5 + 20 + 1);
  retry_finish (&world.retry);
}

/* Servers that refuse the connection do not count against servers_max: after
 * two of them, a third server may run the request. RETRY_NOT_SENT_MAX limits
 * the number of such attempts. */
static void
test_refused_connections_are_no_attempts (void)
{
  struct retry_request request
      = { .idempotent = true, .deadline_ns = CLOCK_NEVER };
  unsigned attempts = 0;

  world_init ();
  do
    {
      clock_fake_advance (&world.clock, 60 * NS_PER_S);
      retry_record_success (&world.retry, "other");
      retry_begin_attempt (&world.retry, &request);
      attempts++;
    }
  while (attempts < 20
         && retry_decide (&world.retry, &request, RETRY_NOT_SENT).action
                == RETRY_ANOTHER_SERVER);
  CU_ASSERT_TRUE (attempts > 3);
  CU_ASSERT_TRUE (attempts <= 2 + RETRY_NOT_SENT_MAX);
  retry_finish (&world.retry);
}

static const struct unit_case cases[] = {
  { "table", test_table },
  { "random-lives", test_random_requests },
  { "storm", test_retry_storm },
  { "refused-connections-are-no-tries",
    test_refused_connections_are_no_attempts },
};

int
main (void)
{
  return unit_run ("retry", cases, sizeof cases / sizeof *cases);
}
