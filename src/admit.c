#include "admit.h"

#include <assert.h>
#include <glib.h>
#include <math.h>

enum
{
  PACE_SAMPLES = 64,  /**< weight of the past against a new sample */
  DRAIN_SAMPLES = 16, /**< the same for the drain of a flow */
  WAIT_MARGIN = 4,    /**< one part in this is added to an expected wait */
  RETRY_SPREAD = 4,   /**< Retry-After grows by up to one part in this */
  DEVIATIONS = 4,     /**< margin kept before a deadline */
  URGENT_BIT = 1 << PRIORITY_URGENT,
  ALL_BITS = (1 << PRIORITY_COUNT) - 1
};

static const int64_t retry_after_min_ns = 100 * NS_PER_MS;

/* How fast a flow drains: cost that stood ahead of its requests and the time
 * they waited, as decaying sums since it was last empty. */
struct drain
{
  double cost;
  double seconds;
};

struct admit_organisation
{
  struct fairqueue_flow flows[PRIORITY_COUNT];
  struct drain drains[PRIORITY_COUNT];
  struct bucket bucket;
  bool limited; /**< the bucket counts */
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
  struct admit_organisation *account
      = g_hash_table_lookup (admit->organisations, name);

  if (account != NULL)
    return account;
  account = g_new0 (struct admit_organisation, 1);
  for (int i = 0; i < PRIORITY_COUNT; i++)
    fairqueue_flow_init (&account->flows[i], (enum priority)i, 1);
  g_hash_table_insert (admit->organisations, g_strdup (name), account);
  return account;
}

/* How many requests that are not urgent may run. */
static unsigned
limit_others (const struct admit *admit)
{
  unsigned limit = admit->limit;
  unsigned kept = (unsigned)(limit * admit->settings.urgent_share);

  return MAX (1U, limit - kept);
}

static unsigned
limit_organisation (const struct admit *admit)
{
  double limit = admit->limit * admit->settings.organisation_share;

  return MAX (1U, (unsigned)limit);
}

static double
pace_run (const struct admit_pace *pace)
{
  return pace->run_cost > 0 ? pace->run_s / pace->run_cost : 0;
}

static void
pace_add_run (struct admit_pace *pace, double cost, double seconds)
{
  const double kept = 1 - 1.0 / PACE_SAMPLES;

  pace->run_cost = pace->run_cost * kept + cost;
  pace->run_s = pace->run_s * kept + seconds;
}

static void
pace_add_answer (struct admit_pace *pace, double per_cost)
{
  const double gain = 1.0 / PACE_SAMPLES;

  if (!pace->known)
    {
      pace->known = true;
      pace->answer_s = per_cost;
      pace->answer_dev = per_cost / 2;
      return;
    }
  pace->answer_dev
      += gain * (fabs (per_cost - pace->answer_s) - pace->answer_dev);
  pace->answer_s += gain * (per_cost - pace->answer_s);
}

static double
answer_cost (const struct admit_request *request)
{
  return request->answer_cost > 0 ? request->answer_cost : request->cost;
}

/* The latest start at which the answer is in time as far as is known. */
static int64_t
latest_start (const struct admit *admit, const struct admit_request *request)
{
  const struct admit_pace *pace = &admit->pace[request->priority];
  double seconds = pace->answer_s + DEVIATIONS * pace->answer_dev;

  return request->deadline_ns
         - (int64_t)(seconds * answer_cost (request) * (double)NS_PER_S);
}

/* Expected wait of REQUEST, were it queued now: by what is queued and the
 * shares, and by how fast its own flow has been draining, which counts what
 * others will still send. */
static int64_t
wait_estimate (const struct admit *admit, struct admit_request *request)
{
  const struct admit_organisation *account = request->account;
  const struct fairqueue_flow *flow = &account->flows[request->priority];
  const struct drain *drain = &account->drains[request->priority];
  unsigned slots = request->priority == PRIORITY_URGENT ? admit->limit
                                                        : limit_others (admit);
  double ahead[PRIORITY_COUNT];
  double seconds = 0;

  request->ahead = fairqueue_ahead (&admit->queue, flow,
                                    request->item.deadline_ns, ahead);
  for (int i = 0; i < PRIORITY_COUNT; i++)
    seconds += ahead[i] * pace_run (&admit->pace[i]) / slots;
  if (drain->cost > 0)
    seconds = fmax (seconds, request->ahead * drain->seconds / drain->cost);
  return (int64_t)(seconds * (double)NS_PER_S);
}

/* REQUEST leaves the queue to run: what its wait tells about its flow. */
static void
drain_measure (struct admit *admit, const struct admit_request *request)
{
  struct admit_organisation *account = request->account;
  struct drain *drain = &account->drains[request->priority];
  int64_t waited = clock_now (admit->clock) - request->asked_ns;
  const double kept = 1 - 1.0 / DRAIN_SAMPLES;

  if (account->flows[request->priority].count == 0)
    {
      *drain = (struct drain){ 0 };
      return;
    }
  drain->cost = drain->cost * kept + request->ahead + request->cost;
  drain->seconds = drain->seconds * kept + (double)waited / (double)NS_PER_S;
}

static struct admit_refusal
refusal_make (const struct admit *admit, enum admit_code code,
              int64_t after_ns)
{
  const int64_t most = ADMIT_RETRY_AFTER_MAX_S * NS_PER_S;
  struct admit_refusal refusal = { .code = code };

  after_ns = CLAMP (after_ns, retry_after_min_ns, most);
  after_ns
      += (int64_t)(rng_uniform (admit->rng) * (double)after_ns / RETRY_SPREAD);
  refusal.retry_after_ns = after_ns;
  return refusal;
}

static void
organisation_update (struct admit *admit, struct admit_organisation *account)
{
  bool full = account->running >= limit_organisation (admit);

  for (int i = 0; i < PRIORITY_COUNT; i++)
    if (account->flows[i].blocked != full)
      fairqueue_block (&admit->queue, &account->flows[i], full);
}

static unsigned
open_classes (const struct admit *admit)
{
  if (admit->running >= admit->limit)
    return 0;
  if (admit->running - admit->running_urgent >= limit_others (admit))
    return URGENT_BIT;
  return ALL_BITS;
}

static void
request_run (struct admit *admit, struct admit_request *request)
{
  request->state = ADMIT_RUNNING;
  request->started_ns = clock_now (admit->clock);
  drain_measure (admit, request);
  request->account->queued--;
  request->account->running++;
  admit->running++;
  if (request->priority == PRIORITY_URGENT)
    admit->running_urgent++;
  organisation_update (admit, request->account);
}

/* Take the next request that may run now off the queue. */
static struct admit_request *
queue_next (struct admit *admit)
{
  unsigned classes = open_classes (admit);
  struct fairqueue_item *item;
  struct admit_request *request;

  if (classes == 0)
    return NULL;
  item = fairqueue_pop (&admit->queue, classes);
  if (item == NULL)
    return NULL;
  request = LIST_ENTRY (item, struct admit_request, item);
  request_run (admit, request);
  return request;
}

static void
queue_run (struct admit *admit)
{
  struct admit_request *request = queue_next (admit);

  while (request != NULL)
    {
      admit->ops->start (admit->data, request);
      request = queue_next (admit);
    }
}

static void
queue_leave (struct admit *admit, struct admit_request *request)
{
  fairqueue_remove (&admit->queue, &request->item);
  request->account->queued--;
  request->state = ADMIT_IDLE;
}

static void
queue_refuse (struct admit *admit, struct admit_request *request,
              enum admit_code code)
{
  struct admit_refusal refusal;

  queue_leave (admit, request);
  refusal = refusal_make (admit, code, wait_estimate (admit, request));
  admit->ops->refuse (admit->data, request, &refusal);
}

/* Queue REQUEST, at the cost of one of an organisation over its share if the
 * queue is full. */
static bool
queue_enter (struct admit *admit, struct admit_request *request)
{
  struct fairqueue_flow *flow = &request->account->flows[request->priority];
  struct fairqueue_item *victim;

  if (fairqueue_push (&admit->queue, flow, &request->item) != STATUS_OK)
    {
      victim = fairqueue_victim (&admit->queue, flow, request->cost);
      if (victim == NULL)
        return false;
      queue_refuse (admit, LIST_ENTRY (victim, struct admit_request, item),
                    ADMIT_QUEUE_FULL);
      if (fairqueue_push (&admit->queue, flow, &request->item) != STATUS_OK)
        return false;
    }
  request->state = ADMIT_WAITING;
  request->account->queued++;
  return true;
}

static enum admit_answer
refuse_at_once (const struct admit *admit, enum admit_code code,
                int64_t after_ns, struct admit_refusal *refusal)
{
  *refusal = refusal_make (admit, code, after_ns);
  return ADMIT_REFUSED;
}

/* Queue REQUEST and see whether it comes out at once. */
static enum admit_answer
ask_queue (struct admit *admit, struct admit_request *request,
           struct admit_refusal *refusal)
{
  int64_t wait_ns = wait_estimate (admit, request);
  int64_t start_ns
      = clock_now (admit->clock) + wait_ns + wait_ns / WAIT_MARGIN;
  const struct admit_request *started;

  if (request->account->queued >= admit->settings.organisation_queue_limit)
    return refuse_at_once (admit, ADMIT_ORGANISATION_QUEUE_FULL, wait_ns,
                           refusal);
  if (!queue_enter (admit, request))
    return refuse_at_once (admit, ADMIT_QUEUE_FULL, wait_ns, refusal);
  started = queue_next (admit);
  if (started == request)
    return ADMIT_PASS;
  assert (started == NULL);
  if (start_ns <= request->item.deadline_ns)
    return ADMIT_WAIT;
  queue_leave (admit, request);
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
                           .limit = settings->concurrency };
  fairqueue_init (&admit->queue, settings->weights, settings->limits,
                  settings->queue_limit);
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
admit_set_organisation (struct admit *admit, const char *organisation,
                        double weight, int64_t rate_milli, int64_t burst)
{
  struct admit_organisation *account = organisation_get (admit, organisation);
  struct bucket bucket;

  assert (weight > 0);
  for (int i = 0; i < PRIORITY_COUNT; i++)
    account->flows[i].weight = weight;
  account->limited = rate_milli > 0;
  bucket_init (&bucket, rate_milli, burst, clock_now (admit->clock));
  /* Saying the same again fills no bucket. */
  if (bucket.rate_milli_per_s != account->bucket.rate_milli_per_s
      || bucket.level_max != account->bucket.level_max)
    account->bucket = bucket;
}

enum admit_answer
admit_ask (struct admit *admit, struct admit_request *request,
           struct admit_refusal *refusal)
{
  struct admit_organisation *account;
  int64_t now = clock_now (admit->clock);

  assert (request->state == ADMIT_IDLE);
  if (request->status_lookup)
    {
      request->state = ADMIT_LOOKUP;
      return ADMIT_PASS;
    }
  assert (request->cost > 0);
  account = organisation_get (admit, request->organisation);
  request->account = account;
  request->asked_ns = now;
  request->answered = false;
  request->item = (struct fairqueue_item){ .cost = request->cost };
  request->item.deadline_ns = latest_start (admit, request);
  if (request->deadline_ns <= now)
    return refuse_at_once (admit, ADMIT_DEADLINE_PASSED, 0, refusal);
  if (account->limited && !bucket_take (&account->bucket, 1, now))
    return refuse_at_once (admit, ADMIT_ORGANISATION_RATE,
                           bucket_ready_ns (&account->bucket, 1, now) - now,
                           refusal);
  return ask_queue (admit, request, refusal);
}

void
admit_answered (struct admit *admit, struct admit_request *request)
{
  struct admit_pace *pace = &admit->pace[request->priority];
  int64_t elapsed = clock_now (admit->clock) - request->started_ns;

  if (request->state != ADMIT_RUNNING || request->answered)
    return;
  request->answered = true;
  pace_add_answer (pace,
                   (double)elapsed / (double)NS_PER_S / answer_cost (request));
}

void
admit_done (struct admit *admit, struct admit_request *request, bool measured)
{
  int64_t elapsed = clock_now (admit->clock) - request->started_ns;
  enum admit_state state = request->state;

  assert (state == ADMIT_RUNNING || state == ADMIT_LOOKUP);
  if (state == ADMIT_RUNNING && measured)
    {
      admit_answered (admit, request);
      pace_add_run (&admit->pace[request->priority], request->cost,
                    (double)elapsed / (double)NS_PER_S);
    }
  request->state = ADMIT_IDLE;
  if (state == ADMIT_LOOKUP)
    return;
  admit->running--;
  request->account->running--;
  if (request->priority == PRIORITY_URGENT)
    admit->running_urgent--;
  organisation_update (admit, request->account);
  queue_run (admit);
}

void
admit_cancel (struct admit *admit, struct admit_request *request)
{
  if (request->state == ADMIT_WAITING)
    queue_leave (admit, request);
  else if (request->state != ADMIT_IDLE)
    admit_done (admit, request, false);
}

void
admit_set_concurrency (struct admit *admit, unsigned concurrency)
{
  GHashTableIter at;
  gpointer account;

  assert (concurrency > 0);
  admit->limit = concurrency;
  g_hash_table_iter_init (&at, admit->organisations);
  while (g_hash_table_iter_next (&at, NULL, &account))
    organisation_update (admit, account);
  queue_run (admit);
}

void
admit_tick (struct admit *admit)
{
  int64_t now = clock_now (admit->clock);
  struct fairqueue_item *item = fairqueue_earliest (&admit->queue);

  while (item != NULL && item->deadline_ns < now)
    {
      queue_refuse (admit, LIST_ENTRY (item, struct admit_request, item),
                    ADMIT_DEADLINE_PASSED);
      item = fairqueue_earliest (&admit->queue);
    }
}

int64_t
admit_next (const struct admit *admit)
{
  const struct fairqueue_item *item = fairqueue_earliest (&admit->queue);

  return item != NULL ? item->deadline_ns + 1 : CLOCK_NEVER;
}
