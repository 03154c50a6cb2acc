#include "admit.h"
#include "unit.h"

#include <math.h>
#include <string.h>

/* Simulated load with open arrivals: the arrival rate does not depend on how
 * fast requests finish. The backend servers run up to SLOTS requests at full
 * speed; beyond that, the requests share their capacity. */
enum
{
  ORGANISATIONS = 10,
  CLASSES = PRIORITY_COUNT,
  REQUESTS = 4096,
  SLOTS = 32,
  STEP_MS = 5
};

/* The simulated load of one priority class. */
struct class_load
{
  double cost;  /**< Work of one request, in seconds of one slot. */
  double share; /**< Share of the total work. */
  int64_t deadline_ns;
};

static const struct class_load classes[CLASSES] = {
  [PRIORITY_URGENT] = { 0.1, 0.1, 2 * NS_PER_S },
  [PRIORITY_STANDARD] = { 1, 0.5, 20 * NS_PER_S },
  [PRIORITY_BULK] = { 5, 0.4, 120 * NS_PER_S },
};

static const char *const organisation_names[ORGANISATIONS]
    = { "large-1", "large-2", "o2", "o3", "o4", "o5", "o6", "o7", "o8", "o9" };
/* Each organisation's share of the total work. */
static const double organisation_demand[ORGANISATIONS]
    = { 0.35, 0.25, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05 };

struct load_request
{
  struct admit_request admit;
  int organisation;
  double remaining_s; /**< Remaining work, in seconds of one slot. */
  bool used;
};

struct result
{
  double offered[CLASSES][ORGANISATIONS]; /**< Cost of all requests. */
  /** Cost of the requests that finished before their deadlines. */
  double in_time[CLASSES][ORGANISATIONS];
  unsigned started[CLASSES];
  unsigned finished_late[CLASSES];
  unsigned refused_after_wait[CLASSES];
  unsigned refused_on_arrival;
};

static struct
{
  struct clock_fake clock;
  struct rng rng;
  struct admit admit;
  struct load_request requests[REQUESTS];
  struct result *result;
  /** Number of requests that the backend servers run at full speed. */
  double capacity_slots;
  double seconds;
} world;

static void
request_started (void *data, struct admit_request *request)
{
  struct load_request *load = (struct load_request *)request;

  load->remaining_s = request->cost * (0.8 + 0.4 * rng_uniform (&world.rng));
  world.result->started[request->priority]++;
}

static void
request_refused (void *data, struct admit_request *request,
                 const struct admit_refusal *refusal)
{
  CU_ASSERT_TRUE (refusal->retry_after_ns > 0);
  CU_ASSERT_EQUAL (request->state, ADMIT_IDLE);
  world.result->refused_after_wait[request->priority]++;
  ((struct load_request *)request)->used = false;
}

static const struct admit_ops ops = { request_started, request_refused };

static void
load_arrive (int priority, int organisation)
{
  struct load_request *load = world.requests;
  struct admit_refusal refusal = { 0 };
  enum admit_decision decision;

  while (load->used)
    load++;
  CU_ASSERT_TRUE_FATAL (load < world.requests + REQUESTS);
  memset (load, 0, sizeof *load);
  load->used = true;
  load->organisation = organisation;
  load->admit.organisation = organisation_names[organisation];
  load->admit.priority = (enum priority)priority;
  load->admit.cost = classes[priority].cost;
  load->admit.deadline_ns = world.clock.now_ns + classes[priority].deadline_ns;
  world.result->offered[priority][organisation] += classes[priority].cost;
  decision = admit_submit (&world.admit, &load->admit, &refusal);
  if (decision == ADMIT_RUN_NOW)
    request_started (NULL, &load->admit);
  if (decision == ADMIT_REFUSED)
    {
      CU_ASSERT_TRUE (refusal.retry_after_ns > 0);
      world.result->refused_on_arrival++;
      load->used = false;
    }
}

static void
load_finish (struct load_request *load)
{
  int priority = (int)load->admit.priority;

  if (world.clock.now_ns <= load->admit.deadline_ns)
    world.result->in_time[priority][load->organisation] += load->admit.cost;
  else
    world.result->finished_late[priority]++;
  load->used = false;
  admit_ended (&world.admit, &load->admit, true);
}

static void
load_step (double load, double step_s)
{
  double speed = fmin (1, world.capacity_slots / (double)world.admit.running);

  for (int i = 0; i < REQUESTS; i++)
    {
      struct load_request *request = &world.requests[i];

      if (!request->used || request->admit.state != ADMIT_RUNNING)
        continue;
      request->remaining_s -= step_s * speed;
      if (request->remaining_s <= 0)
        load_finish (request);
    }
  for (int k = 0; k < CLASSES; k++)
    for (int o = 0; o < ORGANISATIONS; o++)
      {
        double rate = load * SLOTS * classes[k].share * organisation_demand[o];

        if (rng_uniform (&world.rng) < rate / classes[k].cost * step_s)
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

  for (int k = 0; k < CLASSES; k++)
    total += sum (result->in_time[k]);
  return total;
}

/* Returns the max-min fair share for equal weights: the level L at which the
 * sum of min (offered, L) equals TOTAL, the work done for the class. */
static double
max_min_level (const double *offered, double total)
{
  double low = 0;
  double high = total;

  for (int i = 0; i < 60; i++)
    {
      double level = (low + high) / 2;
      double allocated = 0;

      for (int o = 0; o < ORGANISATIONS; o++)
        allocated += fmin (offered[o], level);
      if (allocated < total)
        low = level;
      else
        high = level;
    }
  return high;
}

/* Returns the smallest ratio of an organisation's goodput to its max-min fair
 * share, over all classes. */
static double
smallest_fair_ratio (const struct result *result)
{
  double smallest = 1;

  for (int k = 0; k < CLASSES; k++)
    {
      double level
          = max_min_level (result->offered[k], sum (result->in_time[k]));

      for (int o = 0; o < ORGANISATIONS; o++)
        smallest = fmin (smallest, result->in_time[k][o]
                                       / fmin (result->offered[k][o], level));
    }
  return smallest;
}

static double
urgent_in_time_share (const struct result *result)
{
  unsigned admitted = result->started[PRIORITY_URGENT]
                      + result->refused_after_wait[PRIORITY_URGENT];
  unsigned missed = result->finished_late[PRIORITY_URGENT]
                    + result->refused_after_wait[PRIORITY_URGENT];

  return 1 - (double)missed / admitted;
}

static void
print_result (const char *name, const struct result *r, double seconds)
{
  printf (
      "  %s: goodput %.3f of capacity, smallest fair ratio %.3f, urgent in "
      "time %.5f of %u, late %u %u %u, refused after wait %u %u %u, "
      "refused on arrival %u\n",
      name, goodput (r) / seconds / SLOTS, smallest_fair_ratio (r),
      urgent_in_time_share (r), r->started[0], r->finished_late[0],
      r->finished_late[1], r->finished_late[2], r->refused_after_wait[0],
      r->refused_after_wait[1], r->refused_after_wait[2],
      r->refused_on_arrival);
}

static void
test_overload (void)
{
  const double seconds = 1200;
  struct result full, twice;

  world.capacity_slots = SLOTS;
  load_run (1.0, seconds, SLOTS, &full);
  load_run (2.0, seconds, SLOTS, &twice);
  print_result ("load 1.0", &full, seconds);
  print_result ("load 2.0", &twice, seconds);
  CU_ASSERT_TRUE (goodput (&twice) >= 0.95 * goodput (&full));
  CU_ASSERT_TRUE (smallest_fair_ratio (&twice) >= 0.8);
  CU_ASSERT_TRUE (urgent_in_time_share (&twice) >= 0.999);
}

/* State of the tests below, which submit single requests under small limits.
 */
static struct admit_request step_requests[8];
static struct admit_refusal last_refusal;
static int start_count;

static void
step_started (void *data, struct admit_request *request)
{
  start_count++;
}

static void
step_refused (void *data, struct admit_request *request,
              const struct admit_refusal *refusal)
{
  last_refusal = *refusal;
}

static const struct admit_ops step_ops = { step_started, step_refused };

static enum admit_decision
step_submit (int index, const char *organisation, enum priority priority,
             int64_t deadline_ns)
{
  struct admit_request *request = &step_requests[index];

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
  start_count = 0;
}

static void
steps_finish (void)
{
  for (int i = 0; i < 8; i++)
    admit_cancel (&world.admit, &step_requests[i]);
  admit_finish (&world.admit);
  memset (step_requests, 0, sizeof step_requests);
}

static void
test_limits (void)
{
  steps_init (1);
  CU_ASSERT_EQUAL (step_submit (0, "a", 1, CLOCK_NEVER), ADMIT_RUN_NOW);
  CU_ASSERT_EQUAL (step_submit (1, "a", 1, CLOCK_NEVER), ADMIT_QUEUED);
  CU_ASSERT_EQUAL (step_submit (2, "a", 1, CLOCK_NEVER), ADMIT_QUEUED);
  CU_ASSERT_EQUAL (step_submit (3, "a", 1, CLOCK_NEVER), ADMIT_REFUSED);
  CU_ASSERT_EQUAL (last_refusal.code, ADMIT_ORGANISATION_QUEUE_FULL);
  CU_ASSERT_EQUAL (step_submit (3, "b", 1, CLOCK_NEVER), ADMIT_QUEUED);
  /* The class's queue is full: the last request of the longest flow is
   * refused to make room. */
  CU_ASSERT_EQUAL (step_submit (4, "c", 1, CLOCK_NEVER), ADMIT_QUEUED);
  CU_ASSERT_EQUAL (last_refusal.code, ADMIT_QUEUE_FULL);
  CU_ASSERT_EQUAL (step_requests[2].state, ADMIT_IDLE);
  CU_ASSERT_EQUAL (step_submit (5, "d", 1, CLOCK_NEVER), ADMIT_REFUSED);
  CU_ASSERT_EQUAL (step_submit (5, "d", 0, CLOCK_NEVER), ADMIT_QUEUED);
  /* The whole queue is full: an urgent request displaces one of another
   * class. */
  CU_ASSERT_EQUAL (step_submit (6, "e", 0, CLOCK_NEVER), ADMIT_QUEUED);
  CU_ASSERT_EQUAL (world.admit.queue.count, 4);
  step_requests[7].status_lookup = true;
  CU_ASSERT_EQUAL (
      admit_submit (&world.admit, &step_requests[7], &last_refusal),
      ADMIT_RUN_NOW);
  steps_finish ();
}

static void
test_deadlines_and_rate (void)
{
  steps_init (2);
  admit_set_organisation (&world.admit, "slow", 1, 500, 1);
  CU_ASSERT_EQUAL (step_submit (0, "slow", 1, CLOCK_NEVER), ADMIT_RUN_NOW);
  admit_set_organisation (&world.admit, "slow", 1, 500, 1);
  CU_ASSERT_EQUAL (step_submit (1, "slow", 1, CLOCK_NEVER), ADMIT_REFUSED);
  CU_ASSERT_EQUAL (last_refusal.code, ADMIT_ORGANISATION_RATE);
  CU_ASSERT_TRUE (last_refusal.retry_after_ns >= 2 * NS_PER_S);
  /* One of the two slots is reserved for urgent requests. */
  CU_ASSERT_EQUAL (step_submit (1, "a", 1, 5 * NS_PER_S), ADMIT_QUEUED);
  CU_ASSERT_EQUAL (step_submit (2, "a", 0, 5 * NS_PER_S), ADMIT_RUN_NOW);
  CU_ASSERT_EQUAL (admit_next_tick_ns (&world.admit), 5 * NS_PER_S + 1);
  clock_fake_advance (&world.clock, 5 * NS_PER_S);
  admit_tick (&world.admit);
  CU_ASSERT_EQUAL (last_refusal.code, ADMIT_DEADLINE_PASSED);
  CU_ASSERT_EQUAL (admit_next_tick_ns (&world.admit), CLOCK_NEVER);
  CU_ASSERT_EQUAL (step_submit (3, "a", 1, NS_PER_S), ADMIT_REFUSED);
  CU_ASSERT_EQUAL (step_submit (4, "a", 1, CLOCK_NEVER), ADMIT_QUEUED);
  admit_ended (&world.admit, &step_requests[0], true);
  CU_ASSERT_EQUAL (start_count, 1);
  /* The measured time per request is 5 s: with one request ahead, a deadline
   * in 6 s cannot be met. */
  CU_ASSERT_EQUAL (step_submit (5, "b", 1, CLOCK_NEVER), ADMIT_QUEUED);
  CU_ASSERT_EQUAL (step_submit (6, "b", 1, world.clock.now_ns + 6 * NS_PER_S),
                   ADMIT_REFUSED);
  CU_ASSERT_EQUAL (last_refusal.code, ADMIT_DEADLINE_UNREACHABLE);
  /* The queue deadline leaves time for the response: its cost of 0.01 times
   * the sum of 5 s per unit of cost and four deviations of 2.5 s, that is
   * 150 ms. */
  step_requests[6].response_cost = 0.01;
  step_requests[6].deadline_ns = world.clock.now_ns + 30 * NS_PER_S;
  CU_ASSERT_EQUAL (
      admit_submit (&world.admit, &step_requests[6], &last_refusal),
      ADMIT_QUEUED);
  CU_ASSERT_EQUAL (step_requests[6].item.deadline_ns,
                   step_requests[6].deadline_ns - 150 * NS_PER_MS);
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
