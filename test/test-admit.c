#include "admit.h"
#include "unit.h"

#include <math.h>
#include <string.h>

/* A load with open arrivals against backend servers that work on at most
 * SLOTS requests at full speed and share their time beyond that. */
enum
{
  ORGANISATIONS = 10,
  KINDS = PRIORITY_COUNT,
  REQUESTS = 4096,
  SLOTS = 32,
  STEP_MS = 5
};

struct kind
{
  double cost; /**< seconds of one slot */
  double share;
  int64_t deadline_ns;
};

static const struct kind kinds[KINDS] = {
  [PRIORITY_URGENT] = { 0.1, 0.1, 2 * NS_PER_S },
  [PRIORITY_STANDARD] = { 1, 0.5, 20 * NS_PER_S },
  [PRIORITY_BULK] = { 5, 0.4, 120 * NS_PER_S },
};

static const char *const names[ORGANISATIONS]
    = { "large-1", "large-2", "o2", "o3", "o4", "o5", "o6", "o7", "o8", "o9" };
static const double demand[ORGANISATIONS]
    = { 0.35, 0.25, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05 };

struct load_request
{
  struct admit_request admit;
  int organisation;
  double left; /**< seconds of work */
  bool used;
};

struct result
{
  double offered[KINDS][ORGANISATIONS];
  double good[KINDS][ORGANISATIONS]; /**< cost answered in time */
  unsigned started[KINDS];
  unsigned late[KINDS];
  unsigned waited_out[KINDS]; /**< refused after waiting */
  unsigned refused;
};

static struct
{
  struct clock_fake clock;
  struct rng rng;
  struct admit admit;
  struct load_request requests[REQUESTS];
  struct result *result;
  double work; /**< slots of work that the backend servers do at once */
  double seconds;
} world;

static void
on_start (void *data, struct admit_request *request)
{
  struct load_request *load = (struct load_request *)request;

  load->left = request->cost * (0.8 + 0.4 * rng_uniform (&world.rng));
  world.result->started[request->priority]++;
}

static void
on_refuse (void *data, struct admit_request *request,
           const struct admit_refusal *refusal)
{
  CU_ASSERT_TRUE (refusal->retry_after_ns > 0);
  CU_ASSERT_EQUAL (request->state, ADMIT_IDLE);
  world.result->waited_out[request->priority]++;
  ((struct load_request *)request)->used = false;
}

static const struct admit_ops ops = { on_start, on_refuse };

static void
load_arrive (int kind, int organisation)
{
  struct load_request *load = world.requests;
  struct admit_refusal refusal = { 0 };
  enum admit_decision answer;

  while (load->used)
    load++;
  CU_ASSERT_TRUE_FATAL (load < world.requests + REQUESTS);
  memset (load, 0, sizeof *load);
  load->used = true;
  load->organisation = organisation;
  load->admit.organisation = names[organisation];
  load->admit.priority = (enum priority)kind;
  load->admit.cost = kinds[kind].cost;
  load->admit.deadline_ns = world.clock.now_ns + kinds[kind].deadline_ns;
  world.result->offered[kind][organisation] += kinds[kind].cost;
  answer = admit_submit (&world.admit, &load->admit, &refusal);
  if (answer == ADMIT_RUN_NOW)
    on_start (NULL, &load->admit);
  if (answer == ADMIT_REFUSED)
    {
      CU_ASSERT_TRUE (refusal.retry_after_ns > 0);
      world.result->refused++;
      load->used = false;
    }
}

static void
load_finish (struct load_request *load)
{
  int kind = (int)load->admit.priority;

  if (world.clock.now_ns <= load->admit.deadline_ns)
    world.result->good[kind][load->organisation] += load->admit.cost;
  else
    world.result->late[kind]++;
  load->used = false;
  admit_ended (&world.admit, &load->admit, true);
}

static void
load_step (double load, double step_s)
{
  double speed = fmin (1, world.work / (double)world.admit.running);

  for (int i = 0; i < REQUESTS; i++)
    {
      struct load_request *at = &world.requests[i];

      if (!at->used || at->admit.state != ADMIT_RUNNING)
        continue;
      at->left -= step_s * speed;
      if (at->left <= 0)
        load_finish (at);
    }
  for (int k = 0; k < KINDS; k++)
    for (int o = 0; o < ORGANISATIONS; o++)
      {
        double rate = load * SLOTS * kinds[k].share * demand[o];

        if (rng_uniform (&world.rng) < rate / kinds[k].cost * step_s)
          load_arrive (k, o);
      }
  admit_tick (&world.admit);
}

static void
load_run (double load, double seconds, unsigned concurrency,
          struct result *result)
{
  const struct admit_settings settings
      = { .concurrency = concurrency,
          .queue_limit = 2000,
          .organisation_queue_limit = 500,
          .organisation_share = 1,
          .urgent_share = 0.1,
          .class_weights = { 8, 4, 1 },
          .class_queue_limits = { 256, 1024, 1024 } };

  memset (result, 0, sizeof *result);
  memset (world.requests, 0, sizeof world.requests);
  clock_fake_init (&world.clock, 1);
  rng_init (&world.rng, 51);
  admit_init (&world.admit, &settings, &world.clock.clock, &world.rng, &ops,
              NULL);
  world.result = result;
  for (int i = 0; i * STEP_MS < seconds * 1000; i++)
    {
      load_step (load, STEP_MS / 1000.0);
      clock_fake_advance (&world.clock, STEP_MS * NS_PER_MS);
    }
  for (int i = 0; i < REQUESTS; i++)
    if (world.requests[i].used)
      admit_cancel (&world.admit, &world.requests[i].admit);
  admit_finish (&world.admit);
}

static double
sum (const double *values)
{
  double total = 0;

  for (int o = 0; o < ORGANISATIONS; o++)
    total += values[o];
  return total;
}

static double
goodput (const struct result *result)
{
  double total = 0;

  for (int k = 0; k < KINDS; k++)
    total += sum (result->good[k]);
  return total;
}

/* The fair share by max-min among equal weights: the level L at which the
 * sum of min (offered, L) is what the class got. */
static double
fair_level (const double *offered, double total)
{
  double low = 0;
  double high = total;

  for (int i = 0; i < 60; i++)
    {
      double level = (low + high) / 2;
      double taken = 0;

      for (int o = 0; o < ORGANISATIONS; o++)
        taken += fmin (offered[o], level);
      if (taken < total)
        low = level;
      else
        high = level;
    }
  return high;
}

static double
least_share (const struct result *result)
{
  double least = 1;

  for (int k = 0; k < KINDS; k++)
    {
      double level = fair_level (result->offered[k], sum (result->good[k]));

      for (int o = 0; o < ORGANISATIONS; o++)
        least = fmin (least, result->good[k][o]
                                 / fmin (result->offered[k][o], level));
    }
  return least;
}

static double
urgent_in_time (const struct result *result)
{
  unsigned admitted
      = result->started[PRIORITY_URGENT] + result->waited_out[PRIORITY_URGENT];
  unsigned missed
      = result->late[PRIORITY_URGENT] + result->waited_out[PRIORITY_URGENT];

  return 1 - (double)missed / admitted;
}

static void
print_result (const char *name, const struct result *r, double seconds)
{
  printf ("  %s: goodput %.3f of capacity, least share %.3f, urgent in time "
          "%.5f of %u, late %u %u %u, waited out %u %u %u, refused %u\n",
          name, goodput (r) / seconds / SLOTS, least_share (r),
          urgent_in_time (r), r->started[0], r->late[0], r->late[1],
          r->late[2], r->waited_out[0], r->waited_out[1], r->waited_out[2],
          r->refused);
}

static void
test_overload (void)
{
  const double seconds = 1200;
  struct result full, twice;

  world.work = SLOTS;
  load_run (1.0, seconds, SLOTS, &full);
  load_run (2.0, seconds, SLOTS, &twice);
  print_result ("load 1.0", &full, seconds);
  print_result ("load 2.0", &twice, seconds);
  CU_ASSERT_TRUE (goodput (&twice) >= 0.95 * goodput (&full));
  CU_ASSERT_TRUE (least_share (&twice) >= 0.8);
  CU_ASSERT_TRUE (urgent_in_time (&twice) >= 0.999);
}

/* Small steps: one place for all, one of two queue places per class. */
static struct admit_request steps[8];
static struct admit_refusal last_refusal;
static int starts;

static void
on_step_start (void *data, struct admit_request *request)
{
  starts++;
}

static void
on_step_refuse (void *data, struct admit_request *request,
                const struct admit_refusal *refusal)
{
  last_refusal = *refusal;
}

static const struct admit_ops step_ops = { on_step_start, on_step_refuse };

static enum admit_decision
step_ask (int index, const char *organisation, enum priority priority,
          int64_t deadline_ns)
{
  struct admit_request *request = &steps[index];

  memset (request, 0, sizeof *request);
  request->organisation = organisation;
  request->priority = priority;
  request->cost = 1;
  request->deadline_ns = deadline_ns;
  return admit_submit (&world.admit, request, &last_refusal);
}

static void
steps_init (unsigned concurrency)
{
  const struct admit_settings settings = { .concurrency = concurrency,
                                           .queue_limit = 4,
                                           .organisation_queue_limit = 2,
                                           .organisation_share = 1,
                                           .urgent_share = 0.5,
                                           .class_weights = { 8, 4, 1 },
                                           .class_queue_limits = { 3, 3, 3 } };

  clock_fake_init (&world.clock, 1);
  rng_init (&world.rng, 52);
  admit_init (&world.admit, &settings, &world.clock.clock, &world.rng,
              &step_ops, NULL);
  starts = 0;
}

static void
steps_finish (void)
{
  for (int i = 0; i < 8; i++)
    admit_cancel (&world.admit, &steps[i]);
  admit_finish (&world.admit);
  memset (steps, 0, sizeof steps);
}

static void
test_limits (void)
{
  steps_init (1);
  CU_ASSERT_EQUAL (step_ask (0, "a", 1, CLOCK_NEVER), ADMIT_RUN_NOW);
  CU_ASSERT_EQUAL (step_ask (1, "a", 1, CLOCK_NEVER), ADMIT_QUEUED);
  CU_ASSERT_EQUAL (step_ask (2, "a", 1, CLOCK_NEVER), ADMIT_QUEUED);
  CU_ASSERT_EQUAL (step_ask (3, "a", 1, CLOCK_NEVER), ADMIT_REFUSED);
  CU_ASSERT_EQUAL (last_refusal.code, ADMIT_ORGANISATION_QUEUE_FULL);
  CU_ASSERT_EQUAL (step_ask (3, "b", 1, CLOCK_NEVER), ADMIT_QUEUED);
  /* The class is full: the longest flow gives up its last place. */
  CU_ASSERT_EQUAL (step_ask (4, "c", 1, CLOCK_NEVER), ADMIT_QUEUED);
  CU_ASSERT_EQUAL (last_refusal.code, ADMIT_QUEUE_FULL);
  CU_ASSERT_EQUAL (steps[2].state, ADMIT_IDLE);
  CU_ASSERT_EQUAL (step_ask (5, "d", 1, CLOCK_NEVER), ADMIT_REFUSED);
  CU_ASSERT_EQUAL (step_ask (5, "d", 0, CLOCK_NEVER), ADMIT_QUEUED);
  /* The whole queue is full: urgent work drives out other work. */
  CU_ASSERT_EQUAL (step_ask (6, "e", 0, CLOCK_NEVER), ADMIT_QUEUED);
  CU_ASSERT_EQUAL (world.admit.queue.count, 4);
  steps[7].status_lookup = true;
  CU_ASSERT_EQUAL (admit_submit (&world.admit, &steps[7], &last_refusal),
                   ADMIT_RUN_NOW);
  steps_finish ();
}

static void
test_deadlines_and_rate (void)
{
  steps_init (2);
  admit_set_organisation (&world.admit, "slow", 1, 500, 1);
  CU_ASSERT_EQUAL (step_ask (0, "slow", 1, CLOCK_NEVER), ADMIT_RUN_NOW);
  admit_set_organisation (&world.admit, "slow", 1, 500, 1);
  CU_ASSERT_EQUAL (step_ask (1, "slow", 1, CLOCK_NEVER), ADMIT_REFUSED);
  CU_ASSERT_EQUAL (last_refusal.code, ADMIT_ORGANISATION_RATE);
  CU_ASSERT_TRUE (last_refusal.retry_after_ns >= 2 * NS_PER_S);
  /* One of two places is kept for urgent work. */
  CU_ASSERT_EQUAL (step_ask (1, "a", 1, 5 * NS_PER_S), ADMIT_QUEUED);
  CU_ASSERT_EQUAL (step_ask (2, "a", 0, 5 * NS_PER_S), ADMIT_RUN_NOW);
  CU_ASSERT_EQUAL (admit_next_tick_ns (&world.admit), 5 * NS_PER_S + 1);
  clock_fake_advance (&world.clock, 5 * NS_PER_S);
  admit_tick (&world.admit);
  CU_ASSERT_EQUAL (last_refusal.code, ADMIT_DEADLINE_PASSED);
  CU_ASSERT_EQUAL (admit_next_tick_ns (&world.admit), CLOCK_NEVER);
  CU_ASSERT_EQUAL (step_ask (3, "a", 1, NS_PER_S), ADMIT_REFUSED);
  CU_ASSERT_EQUAL (step_ask (4, "a", 1, CLOCK_NEVER), ADMIT_QUEUED);
  admit_ended (&world.admit, &steps[0], true);
  CU_ASSERT_EQUAL (starts, 1);
  /* Five seconds a piece are known now: one ahead is too much for six. */
  CU_ASSERT_EQUAL (step_ask (5, "b", 1, CLOCK_NEVER), ADMIT_QUEUED);
  CU_ASSERT_EQUAL (step_ask (6, "b", 1, world.clock.now_ns + 6 * NS_PER_S),
                   ADMIT_REFUSED);
  CU_ASSERT_EQUAL (last_refusal.code, ADMIT_DEADLINE_UNREACHABLE);
  /* Five seconds a piece and a deviation of half that, four times. */
  steps[6].response_cost = 0.01;
  steps[6].deadline_ns = world.clock.now_ns + 30 * NS_PER_S;
  CU_ASSERT_EQUAL (admit_submit (&world.admit, &steps[6], &last_refusal),
                   ADMIT_QUEUED);
  CU_ASSERT_EQUAL (steps[6].item.deadline_ns,
                   steps[6].deadline_ns - 150 * NS_PER_MS);
  steps_finish ();
}

static const struct unit_case cases[] = {
  { "overload", test_overload },
  { "limits", test_limits },
  { "deadlines-and-rate", test_deadlines_and_rate },
};

int
main (void)
{
  return unit_run ("admit", cases, sizeof cases / sizeof *cases);
}
