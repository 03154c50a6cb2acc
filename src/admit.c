#include "admit.h"

#include <assert.h>
#include <glib.h>
#include <math.h>

enum
{
  TIMING_SAMPLES = 64, /* Number of samples over which the times of a priority
                          class are averaged. */
  /* Number of samples over which the rate of a flow is averaged. */
  FLOW_RATE_SAMPLES = 16,
  /* Divisor of the expected wait that gives the margin added to it. */
  WAIT_MARGIN_DIVISOR = 4,
  /* Divisor of Retry-After that gives the maximum random increase. */
  RETRY_AFTER_SPREAD_DIVISOR = 4,
  DEADLINE_DEVIATIONS = 4, /* Number of mean deviations of the response time
                              that are kept as a margin before a deadline. */
  URGENT_CLASS_MASK = 1 << PRIORITY_URGENT,
  ALL_CLASSES_MASK = (1 << PRIORITY_COUNT) - 1
};

static const int64_t retry_after_min_ns = 100 * NS_PER_MS;

/* Measured rate at which a flow is served, since the flow was last empty. */
struct flow_rate
{
  double cost; /* Decaying sum of the cost ahead of each request of the flow,
                  including the request's own cost. */
  double seconds; /* Decaying sum of the times that these requests waited. */
};

struct admit_organisation
{
  struct fairqueue_flow flows[PRIORITY_COUNT];
  struct flow_rate rates[PRIORITY_COUNT];
  struct bucket bucket;
  bool has_rate_limit; /* Whether bucket limits the rate. */
  unsigned running;
  unsigned queued;
};

static const char *const code_names[] = {
  [ADMIT_QUEUE_FULL] = "queue_full",
  [ADMIT_ORGANISATION_QUEUE_FULL] = "organisation_queue_full",
  [ADMIT_ORGANISATION_RATE] = "organisation_rate",
  [ADMIT_DEADLINE_UNREACHABLE] = "deadline_unreachable",
  [ADMIT_DEADLINE_PASSED] = "deadline_passed",
};

static struct admit_organisation *
organisation_get (struct admit *admit, const char *name)
{
  struct admit_organisation *organisation
      = g_hash_table_lookup (admit->organisations, name);

  if (organisation != NULL)
    return organisation;
  organisation = g_new0 (struct admit_organisation, 1);
  for (int i = 0; i < PRIORITY_COUNT; i++)
    fairqueue_flow_init (&organisation->flows[i], (enum priority)i, 1);
  g_hash_table_insert (admit->organisations, g_strdup (name), organisation);
  return organisation;
}

/* Maximum number of running requests that are not urgent. */
static unsigned
concurrency_not_urgent (const struct admit *admit)
{
  unsigned limit = admit->concurrency;
  unsigned reserved = (unsigned)(limit * admit->settings.urgent_share);

  return MAX (1U, limit - reserved);
}

static unsigned
concurrency_per_organisation (const struct admit *admit)
{
  double limit = admit->concurrency * admit->settings.organisation_share;

  return MAX (1U, (unsigned)limit);
}

static double
timing_run_s (const struct admit_timing *timing)
{
  return timing->run_cost > 0 ? timing->run_s / timing->run_cost : 0;
}

static void
timing_add_run (struct admit_timing *timing, double cost, double seconds)
{
  const double kept = 1 - 1.0 / TIMING_SAMPLES;

  timing->run_cost = timing->run_cost * kept + cost;
  timing->run_s = timing->run_s * kept + seconds;
}

static void
timing_add_response (struct admit_timing *timing, double s_per_cost)
{
  const double gain = 1.0 / TIMING_SAMPLES;

  if (!timing->has_response)
    {
      timing->has_response = true;
      timing->response_s = s_per_cost;
      timing->response_deviation_s = s_per_cost / 2;
      return;
    }
  timing->response_deviation_s += gain
                                  * (fabs (s_per_cost - timing->response_s)
                                     - timing->response_deviation_s);
  timing->response_s += gain * (s_per_cost - timing->response_s);
}

static double
request_response_cost (const struct admit_request *request)
{
  return request->response_cost > 0 ? request->response_cost : request->cost;
}

/* Latest time at which REQUEST can start so that its response is expected
 * before its deadline. */
static int64_t
latest_start_ns (const struct admit *admit,
                 const struct admit_request *request)
{
  const struct admit_timing *timing = &admit->timing[request->priority];
  double seconds = timing->response_s
                   + DEADLINE_DEVIATIONS * timing->response_deviation_s;

  return request->deadline_ns
         - (int64_t)(seconds * request_response_cost (request)
                     * (double)NS_PER_S);
}

/* Expected wait of REQUEST if it were queued now: the longer of two estimates.
 * One follows from the queued cost and the fair shares, the other from the
 * measured rate of the request's own flow, which also accounts for requests
 * that will be submitted meanwhile. */
static int64_t
expected_wait_ns (const struct admit *admit, struct admit_request *request)
{
  const struct admit_organisation *organisation = request->organisation_state;
  const struct fairqueue_flow *flow = &organisation->flows[request->priority];
  const struct flow_rate *rate = &organisation->rates[request->priority];
  unsigned slots = request->priority == PRIORITY_URGENT
                       ? admit->concurrency
                       : concurrency_not_urgent (admit);
  double ahead[PRIORITY_COUNT];
  double seconds = 0;

  request->cost_ahead = fairqueue_cost_ahead (
      &admit->queue, flow, request->item.deadline_ns, ahead);
  for (int i = 0; i < PRIORITY_COUNT; i++)
    seconds += ahead[i] * timing_run_s (&admit->timing[i]) / slots;
  if (rate->cost > 0)
    seconds = fmax (seconds, request->cost_ahead * rate->seconds / rate->cost);
  return (int64_t)(seconds * (double)NS_PER_S);
}

/* Updates the rate of REQUEST's flow when REQUEST leaves the queue to run. */
static void
flow_rate_measure (struct admit *admit, const struct admit_request *request)
{
  struct admit_organisation *organisation = request->organisation_state;
  struct flow_rate *rate = &organisation->rates[request->priority];
  int64_t waited_ns = clock_now (admit->clock) - request->submitted_ns;
  const double kept = 1 - 1.0 / FLOW_RATE_SAMPLES;

  if (organisation->flows[request->priority].count == 0)
    {
      *rate = (struct flow_rate){ 0 };
      return;
    }
  rate->cost = rate->cost * kept + request->cost_ahead + request->cost;
  rate->seconds = rate->seconds * kept + (double)waited_ns / (double)NS_PER_S;
}

static struct admit_refusal
refusal_make (const struct admit *admit, enum admit_code code,
              int64_t after_ns)
{
  const int64_t max_ns = ADMIT_RETRY_AFTER_MAX_S * NS_PER_S;
  struct admit_refusal refusal = { .code = code };

  after_ns = CLAMP (after_ns, retry_after_min_ns, max_ns);
  after_ns += (int64_t)(rng_uniform (admit->rng) * (double)after_ns
                        / RETRY_AFTER_SPREAD_DIVISOR);
  refusal.retry_after_ns = after_ns;
  return refusal;
}

static void
organisation_update_blocked (struct admit *admit,
                             struct admit_organisation *organisation)
{
  bool full = organisation->running >= concurrency_per_organisation (admit);

  for (int i = 0; i < PRIORITY_COUNT; i++)
    if (organisation->flows[i].blocked != full)
      fairqueue_set_blocked (&admit->queue, &organisation->flows[i], full);
}

static unsigned
runnable_classes (const struct admit *admit)
{
  if (admit->running >= admit->concurrency)
    return 0;
  if (admit->running - admit->running_urgent >= concurrency_not_urgent (admit))
    return URGENT_CLASS_MASK;
  return ALL_CLASSES_MASK;
}

static void
request_start (struct admit *admit, struct admit_request *request)
{
  request->state = ADMIT_RUNNING;
  request->started_ns = clock_now (admit->clock);
  flow_rate_measure (admit, request);
  request->organisation_state->queued--;
  request->organisation_state->running++;
  admit->running++;
  if (request->priority == PRIORITY_URGENT)
    admit->running_urgent++;
  organisation_update_blocked (admit, request->organisation_state);
}

/* Removes the next request that may run now from the queue and starts it. */
static struct admit_request *
queue_start_next (struct admit *admit)
{
  unsigned classes = runnable_classes (admit);
  struct fairqueue_item *item;
  struct admit_request *request;

  if (classes == 0)
    return NULL;
  item = fairqueue_pop (&admit->queue, classes);
  if (item == NULL)
    return NULL;
  request = LIST_ENTRY (item, struct admit_request, item);
  request_start (admit, request);
  return request;
}

static void
queue_start_all (struct admit *admit)
{
  struct admit_request *request = queue_start_next (admit);

  while (request != NULL)
    {
      admit->ops->start (admit->data, request);
      request = queue_start_next (admit);
    }
}

static void
queue_remove (struct admit *admit, struct admit_request *request)
{
  fairqueue_remove (&admit->queue, &request->item);
  request->organisation_state->queued--;
  request->state = ADMIT_IDLE;
}

static void
queue_refuse (struct admit *admit, struct admit_request *request,
              enum admit_code code)
{
  struct admit_refusal refusal;

  queue_remove (admit, request);
  refusal = refusal_make (admit, code, expected_wait_ns (admit, request));
  admit->ops->refuse (admit->data, request, &refusal);
}

/* Queues REQUEST. If the queue is full, a queued request of an organisation
 * that exceeds its share is refused instead.
 * @return whether REQUEST was queued. */
static bool
queue_add (struct admit *admit, struct admit_request *request)
{
  struct fairqueue_flow *flow
      = &request->organisation_state->flows[request->priority];
  struct fairqueue_item *victim;

  if (fairqueue_push (&admit->queue, flow, &request->item) != STATUS_OK)
    {
      victim = fairqueue_choose_victim (&admit->queue, flow, request->cost);
      if (victim == NULL)
        return false;
      queue_refuse (admit, LIST_ENTRY (victim, struct admit_request, item),
                    ADMIT_QUEUE_FULL);
      if (fairqueue_push (&admit->queue, flow, &request->item) != STATUS_OK)
        return false;
    }
  request->state = ADMIT_WAITING;
  request->organisation_state->queued++;
  return true;
}

static enum admit_decision
refuse_at_once (const struct admit *admit, enum admit_code code,
                int64_t after_ns, struct admit_refusal *refusal)
{
  *refusal = refusal_make (admit, code, after_ns);
  return ADMIT_REFUSED;
}

/* Queues REQUEST and starts it if it may run now. Refuses it if its expected
 * wait is too long for its deadline. */
static enum admit_decision
queue_submit (struct admit *admit, struct admit_request *request,
              struct admit_refusal *refusal)
{
  int64_t wait_ns = expected_wait_ns (admit, request);
  int64_t start_ns
      = clock_now (admit->clock) + wait_ns + wait_ns / WAIT_MARGIN_DIVISOR;
  const struct admit_request *started;

  if (request->organisation_state->queued
      >= admit->settings.organisation_queue_limit)
    return refuse_at_once (admit, ADMIT_ORGANISATION_QUEUE_FULL, wait_ns,
                           refusal);
  if (!queue_add (admit, request))
    return refuse_at_once (admit, ADMIT_QUEUE_FULL, wait_ns, refusal);
  started = queue_start_next (admit);
  if (started == request)
    return ADMIT_RUN_NOW;
  assert (started == NULL);
  if (start_ns <= request->item.deadline_ns)
    return ADMIT_QUEUED;
  queue_remove (admit, request);
  return refuse_at_once (admit, ADMIT_DEADLINE_UNREACHABLE,
                         start_ns - request->item.deadline_ns, refusal);
}

const char *
admit_code_name (enum admit_code code)
{
  assert ((unsigned)code < ADMIT_CODE_COUNT);
  return code_names[code];
}

void
admit_init (struct admit *admit, const struct admit_settings *settings,
            const struct clock *clock, struct rng *rng,
            const struct admit_ops *ops, void *data)
{
  *admit = (struct admit){ .clock = clock,
                           .rng = rng,
                           .ops = ops,
                           .data = data,
                           .settings = *settings,
                           .concurrency = settings->concurrency };
  fairqueue_init (&admit->queue, settings->class_weights,
                  settings->class_queue_limits, settings->queue_limit);
  admit->organisations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
admit_finish (struct admit *admit)
{
  assert (admit->running == 0 && admit->queue.count == 0);
  g_hash_table_destroy (admit->organisations);
}

void
admit_set_organisation (struct admit *admit, const char *name, double weight,
                        int64_t rate_milli, int64_t burst)
{
  struct admit_organisation *organisation = organisation_get (admit, name);
  struct bucket bucket;

  assert (weight > 0);
  for (int i = 0; i < PRIORITY_COUNT; i++)
    organisation->flows[i].weight = weight;
  organisation->has_rate_limit = rate_milli > 0;
  bucket_init (&bucket, rate_milli, burst, clock_now (admit->clock));
  /* Setting the same rate again does not refill the bucket. */
  if (bucket.rate_milli_per_s != organisation->bucket.rate_milli_per_s
      || bucket.level_max != organisation->bucket.level_max)
    organisation->bucket = bucket;
}

enum admit_decision
admit_submit (struct admit *admit, struct admit_request *request,
              struct admit_refusal *refusal)
{
  struct admit_organisation *organisation;
  int64_t now = clock_now (admit->clock);

  assert (request->state == ADMIT_IDLE);
  if (request->status_lookup)
    {
      request->state = ADMIT_LOOKUP;
      return ADMIT_RUN_NOW;
    }
  assert (request->cost > 0);
  organisation = organisation_get (admit, request->organisation);
  request->organisation_state = organisation;
  request->submitted_ns = now;
  request->response_started = false;
  request->item = (struct fairqueue_item){ .cost = request->cost };
  request->item.deadline_ns = latest_start_ns (admit, request);
  if (request->deadline_ns <= now)
    return refuse_at_once (admit, ADMIT_DEADLINE_PASSED, 0, refusal);
  if (organisation->has_rate_limit
      && !bucket_take (&organisation->bucket, 1, now))
    return refuse_at_once (
        admit, ADMIT_ORGANISATION_RATE,
        bucket_ready_ns (&organisation->bucket, 1, now) - now, refusal);
  return queue_submit (admit, request, refusal);
}

void
admit_response_started (struct admit *admit, struct admit_request *request)
{
  struct admit_timing *timing = &admit->timing[request->priority];
  int64_t elapsed_ns = clock_now (admit->clock) - request->started_ns;

  if (request->state != ADMIT_RUNNING || request->response_started)
    return;
  request->response_started = true;
  timing_add_response (timing, (double)elapsed_ns / (double)NS_PER_S
                                   / request_response_cost (request));
}

void
admit_ended (struct admit *admit, struct admit_request *request, bool complete)
{
  int64_t elapsed_ns = clock_now (admit->clock) - request->started_ns;
  enum admit_state state = request->state;

  assert (state == ADMIT_RUNNING || state == ADMIT_LOOKUP);
  if (state == ADMIT_RUNNING && complete)
    {
      admit_response_started (admit, request);
      timing_add_run (&admit->timing[request->priority], request->cost,
                      (double)elapsed_ns / (double)NS_PER_S);
    }
  request->state = ADMIT_IDLE;
  if (state == ADMIT_LOOKUP)
    return;
  admit->running--;
  request->organisation_state->running--;
  if (request->priority == PRIORITY_URGENT)
    admit->running_urgent--;
  organisation_update_blocked (admit, request->organisation_state);
  queue_start_all (admit);
}

void
admit_cancel (struct admit *admit, struct admit_request *request)
{
  if (request->state == ADMIT_WAITING)
    queue_remove (admit, request);
  else if (request->state != ADMIT_IDLE)
    admit_ended (admit, request, false);
}

void
admit_set_concurrency (struct admit *admit, unsigned concurrency)
{
  GHashTableIter at;
  gpointer organisation;

  assert (concurrency > 0);
  admit->concurrency = concurrency;
  g_hash_table_iter_init (&at, admit->organisations);
  while (g_hash_table_iter_next (&at, NULL, &organisation))
    organisation_update_blocked (admit, organisation);
  queue_start_all (admit);
}

void
admit_tick (struct admit *admit)
{
  int64_t now = clock_now (admit->clock);
  struct fairqueue_item *item = fairqueue_earliest_deadline (&admit->queue);

  while (item != NULL && item->deadline_ns < now)
    {
      queue_refuse (admit, LIST_ENTRY (item, struct admit_request, item),
                    ADMIT_DEADLINE_PASSED);
      item = fairqueue_earliest_deadline (&admit->queue);
    }
}

int64_t
admit_next_tick_ns (const struct admit *admit)
{
  const struct fairqueue_item *item
      = fairqueue_earliest_deadline (&admit->queue);

  return item != NULL ? item->deadline_ns + 1 : CLOCK_NEVER;
}
