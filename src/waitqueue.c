#include "waitqueue.h"

#include <assert.h>
#include <math.h>
#include <string.h>

enum
{
  ALL_CLASSES_MASK = (1 << PRIORITY_COUNT) - 1,
  /* Time constant of the rates of work. */
  RATE_SPAN_MS = 1000,
  RETRY_AFTER_MIN_MS = 100,
  /* Time by which a refusal, or the first event, must precede the end of the
   * caller's patience: callers count from when they send, and responses take
   * their time to reach them. */
  RESPONSE_MARGIN_MS = 100,
  /* Time for which the target of a class counts after a request of it. */
  TARGET_SPAN_MS = 2000
};

/* Rates that are assumed at least, in ms of work for each ms: a host that had
 * little to do knows nothing of what it could send. */
static const double rate_min = 0.25;
static const double late_rate_min = 0.05;
/* Work by which a class may be behind its share while its first request finds
 * no server, in ms. */
static const double lag_max_ms = 500;
/* Work that late requests may save up, in ms. */
static const double late_credit_max_ms = 400;
/* Random part of a Retry-After time. */
static const double return_spread = 0.25;
/* Callers that can't stay away until there is room return over this share of
 * the time that they may stay away. */
static const double return_latest_spread = 0.5;

const struct waitqueue_settings waitqueue_settings_default = {
  .class_weights = { 16, 4, 1 },
  .limit = 10000,
  .late_backlog_share = 0.3,
  .late_work_share = 0.1,
  .urgent_target_share = 0.75,
  .prompt_target_share = 0.5,
};

struct waitqueue_organisation
{
  struct fairqueue_flow in_time[PRIORITY_COUNT];
  struct fairqueue_flow late[PRIORITY_COUNT];
};

static struct waitqueue_organisation *
organisation_obtain (struct waitqueue *queue, const char *name)
{
  struct waitqueue_organisation *found
      = g_hash_table_lookup (queue->organisations, name);

  if (found != NULL)
    return found;
  found = g_new0 (struct waitqueue_organisation, 1);
  for (int i = 0; i < PRIORITY_COUNT; i++)
    {
      fairqueue_flow_init (&found->in_time[i], (enum priority)i, 1);
      fairqueue_flow_init (&found->late[i], (enum priority)i, 1);
    }
  g_hash_table_insert (queue->organisations, g_strdup (name), found);
  return found;
}

static double
rate_work_ms (const struct waitqueue_rate *rate, int64_t now_ns)
{
  double age_ms = (double)MAX (now_ns - rate->updated_ns, 0) / NS_PER_MS;

  return rate->work_ms * exp (-age_ms / RATE_SPAN_MS);
}

static void
rate_add (struct waitqueue_rate *rate, double work_ms, int64_t now_ns)
{
  rate->work_ms = rate_work_ms (rate, now_ns) + work_ms;
  rate->updated_ns = now_ns;
}

/* Return the rate in ms of work for each ms. */
static double
rate_value (const struct waitqueue_rate *rate, double least, int64_t now_ns)
{
  return MAX (rate_work_ms (rate, now_ns) / RATE_SPAN_MS, least);
}

void
waitqueue_init (struct waitqueue *queue,
                const struct waitqueue_settings *settings, struct rng *rng)
{
  unsigned limits[PRIORITY_COUNT];

  memset (queue, 0, sizeof *queue);
  queue->settings = settings;
  queue->rng = rng;
  for (int i = 0; i < PRIORITY_COUNT; i++)
    limits[i] = settings->limit;
  fairqueue_init (&queue->in_time, settings->class_weights, limits,
                  settings->limit);
  fairqueue_init (&queue->late, settings->class_weights, limits,
                  settings->limit);
  queue->organisations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
waitqueue_finish (struct waitqueue *queue)
{
  assert (waitqueue_count (queue) == 0);
  g_hash_table_destroy (queue->organisations);
}

unsigned
waitqueue_count (const struct waitqueue *queue)
{
  return queue->in_time.count + queue->late.count;
}

bool
waitqueue_is_waiting (const struct waitqueue_request *request)
{
  return request->item.flow != NULL;
}

bool
waitqueue_must_wait (const struct waitqueue *queue, enum priority priority)
{
  for (int i = 0; i <= (int)priority; i++)
    if (queue->in_time.classes[i].count > 0)
      return true;
  for (int i = 0; i < PRIORITY_COUNT; i++)
    if (fairqueue_lag (&queue->in_time, (enum priority)i) > lag_max_ms)
      return true;
  return false;
}

static struct fairqueue *
request_queue (struct waitqueue *queue,
               const struct waitqueue_request *request)
{
  return request->is_late ? &queue->late : &queue->in_time;
}

static struct fairqueue_flow *
request_flow (const struct waitqueue_request *request)
{
  return request->is_late ? &request->flows->late[request->priority]
                          : &request->flows->in_time[request->priority];
}

/* Make REQUEST late; a waiting one moves to the queue of late requests. */
static void
request_set_late (struct waitqueue *queue, struct waitqueue_request *request)
{
  bool waits = waitqueue_is_waiting (request);

  if (request->is_late)
    return;
  fairqueue_remove (&queue->in_time, &request->item);
  request->is_late = true;
  /* Both queues hold as many as may wait in all. */
  if (waits)
    fairqueue_push (&queue->late, request_flow (request), &request->item);
}

static double
target_span_ms (const struct waitqueue_request *request)
{
  return (double)(request->target_ns - request->arrived_ns) / NS_PER_MS;
}

/* Whether late requests may have this one's work in any case. */
static bool
late_credit_allows (const struct waitqueue *queue,
                    const struct waitqueue_request *request)
{
  return queue->late_credit_ms >= MIN (request->work_ms, late_credit_max_ms);
}

static void
target_note (struct waitqueue *queue, const struct waitqueue_request *request,
             int64_t now_ns)
{
  double span_ms = target_span_ms (request);
  int64_t *seen_ns = &queue->target_seen_ns[request->priority];
  double *target_ms = &queue->target_ms[request->priority];

  if (*seen_ns != 0 && now_ns - *seen_ns < TARGET_SPAN_MS * NS_PER_MS
      && span_ms > *target_ms)
    return;
  *target_ms = span_ms;
  *seen_ns = now_ns;
}

/* Whether a server with BACKLOG_MS after it has got a request of PRIORITY can
 * still answer more urgent classes in time. */
static bool
urgent_classes_allow (const struct waitqueue *queue, enum priority priority,
                      double backlog_ms, int64_t now_ns)
{
  for (int i = 0; i < (int)priority; i++)
    if (queue->target_seen_ns[i] != 0
        && now_ns - queue->target_seen_ns[i] < TARGET_SPAN_MS * NS_PER_MS
        && backlog_ms
               > queue->settings->urgent_target_share * queue->target_ms[i])
      return false;
  return true;
}

enum waitqueue_action
waitqueue_decide (struct waitqueue *queue, struct waitqueue_request *request,
                  const struct waitqueue_outlook *outlook, int64_t now_ns)
{
  const struct waitqueue_settings *settings = queue->settings;
  double span_ms = target_span_ms (request);
  double left_ms = (double)(request->target_ns - now_ns) / NS_PER_MS;
  double counted_ms
      = outlook->backlog_ms
        + MIN (outlook->prompt_ms, settings->prompt_target_share * span_ms);
  double expected_ms = outlook->backlog_ms + outlook->prompt_ms;

  target_note (queue, request, now_ns);
  if (left_ms <= 0)
    request_set_late (queue, request);
  if (!outlook->has_server)
    return WAITQUEUE_WAIT;
  if ((double)now_ns + (expected_ms + RESPONSE_MARGIN_MS) * NS_PER_MS
      > (double)request->give_up_ns)
    return WAITQUEUE_REFUSE;
  if (!request->is_late && counted_ms <= left_ms)
    return outlook->backlog_ms <= 0
                   || urgent_classes_allow (queue, request->priority,
                                            counted_ms, now_ns)
               ? WAITQUEUE_SEND
               : WAITQUEUE_WAIT;
  request_set_late (queue, request);
  if (outlook->backlog_ms <= settings->late_backlog_share * span_ms
      || late_credit_allows (queue, request))
    return WAITQUEUE_SEND;
  return WAITQUEUE_WAIT;
}

int64_t
waitqueue_expected_wait_ns (const struct waitqueue *queue,
                            const struct waitqueue_request *request,
                            int64_t now_ns)
{
  struct waitqueue_organisation *flows
      = g_hash_table_lookup (queue->organisations, request->organisation);
  const struct fairqueue *own
      = request->is_late ? &queue->late : &queue->in_time;
  double rate = rate_value (&queue->sent, rate_min, now_ns);
  double ahead[PRIORITY_COUNT];
  double ms = 0;

  if (own->count > 0)
    {
      struct fairqueue_flow newcomer;
      const struct fairqueue_flow *flow = &newcomer;

      fairqueue_flow_init (&newcomer, request->priority, 1);
      if (flows != NULL)
        flow = request->is_late ? &flows->late[request->priority]
                                : &flows->in_time[request->priority];
      fairqueue_cost_ahead (own, flow, request->give_up_ns, ahead);
      for (int i = 0; i < PRIORITY_COUNT; i++)
        ms += ahead[i];
      ms /= request->is_late ? rate_value (
                &queue->sent_late,
                MAX (late_rate_min, queue->settings->late_work_share * rate),
                now_ns)
                             : rate;
    }
  return (int64_t)(ms * NS_PER_MS);
}

/* Return the waiting request that makes way for REQUEST, which is late or
 * comes before late ones, or REQUEST itself. */
static struct waitqueue_request *
victim_choose (struct waitqueue *queue, struct waitqueue_request *request)
{
  const struct fairqueue *own = request_queue (queue, request);
  const struct fairqueue *from
      = queue->late.count > 0 ? &queue->late : &queue->in_time;
  struct fairqueue_flow none;
  struct fairqueue_item *item;

  if (request->is_late && from != own)
    return request;
  fairqueue_flow_init (&none, PRIORITY_URGENT, 1);
  item = fairqueue_choose_victim (
      from, from == own ? request_flow (request) : &none, request->work_ms);
  return item != NULL ? LIST_ENTRY (item, struct waitqueue_request, item)
                      : request;
}

void
waitqueue_add (struct waitqueue *queue, struct waitqueue_request *request,
               struct waitqueue_request **victim)
{
  *victim = NULL;
  if (waitqueue_is_waiting (request))
    return;
  request->flows = organisation_obtain (queue, request->organisation);
  request->item.cost = request->work_ms;
  /* A caller that was refused and returns goes before newcomers. */
  request->item.deadline_ns = request->give_up_ns - request->waited_ns;
  if (waitqueue_count (queue) >= queue->settings->limit)
    *victim = victim_choose (queue, request);
  if (*victim == request)
    return;
  if (*victim != NULL)
    fairqueue_remove (request_queue (queue, *victim), &(*victim)->item);
  fairqueue_push (request_queue (queue, request), request_flow (request),
                  &request->item);
}

/* Forget the organisations while nothing waits, so that names that are no
 * longer configured take no memory. */
static void
organisations_drop (struct waitqueue *queue)
{
  if (waitqueue_count (queue) == 0)
    g_hash_table_remove_all (queue->organisations);
}

void
waitqueue_remove (struct waitqueue *queue, struct waitqueue_request *request)
{
  if (!waitqueue_is_waiting (request))
    return;
  fairqueue_remove (request_queue (queue, request), &request->item);
  organisations_drop (queue);
}

void
waitqueue_sent (struct waitqueue *queue, struct waitqueue_request *request,
                int64_t now_ns)
{
  rate_add (&queue->sent, request->work_ms, now_ns);
  if (request->is_late)
    {
      rate_add (&queue->sent_late, request->work_ms, now_ns);
      queue->late_credit_ms
          = MAX (queue->late_credit_ms - request->work_ms, 0);
    }
  else
    queue->late_credit_ms
        = MIN (queue->late_credit_ms
                   + queue->settings->late_work_share * request->work_ms,
               late_credit_max_ms);
  if (!waitqueue_is_waiting (request))
    {
      fairqueue_charge (request_queue (queue, request), request->priority,
                        request->work_ms);
      return;
    }
  fairqueue_take (request_queue (queue, request), &request->item);
  organisations_drop (queue);
}

bool
waitqueue_is_lost (const struct waitqueue_request *request, int64_t now_ns)
{
  return (double)now_ns + (request->work_ms + RESPONSE_MARGIN_MS) * NS_PER_MS
         >= (double)request->give_up_ns;
}

/* Return the classes of QUEUE that may be served: one that is too far behind
 * its share has to be served first. */
static unsigned
served_classes (const struct fairqueue *queue)
{
  unsigned behind = 0;

  for (int i = 0; i < PRIORITY_COUNT; i++)
    if (fairqueue_lag (queue, (enum priority)i) > lag_max_ms)
      behind |= 1U << i;
  return behind != 0 ? behind : ALL_CLASSES_MASK;
}

static void
queue_serve (struct waitqueue *queue, struct fairqueue *from, int64_t now_ns,
             waitqueue_try try_request, void *data)
{
  unsigned left_out = 0;
  struct fairqueue_item *item;

  while ((item = fairqueue_peek (from, served_classes (from) & ~left_out))
         != NULL)
    {
      struct waitqueue_request *request
          = LIST_ENTRY (item, struct waitqueue_request, item);
      enum priority priority = request->priority;

      if (!request->is_late && now_ns >= request->target_ns)
        request_set_late (queue, request);
      else if (try_request (data, request))
        left_out |= 1U << priority;
    }
}

void
waitqueue_serve (struct waitqueue *queue, int64_t now_ns,
                 waitqueue_try try_request, void *data)
{
  queue_serve (queue, &queue->in_time, now_ns, try_request, data);
  if (served_classes (&queue->in_time) == ALL_CLASSES_MASK)
    queue_serve (queue, &queue->late, now_ns, try_request, data);
}

static double
queue_backlog_ms (const struct fairqueue *queue)
{
  double ms = 0;

  for (int i = 0; i < PRIORITY_COUNT; i++)
    ms += queue->classes[i].backlog;
  return ms;
}

int64_t
waitqueue_retry_after_ns (struct waitqueue *queue,
                          const struct waitqueue_request *request,
                          int64_t max_ns, int64_t now_ns)
{
  double rate = rate_value (&queue->sent, rate_min, now_ns);
  double backlog_ms = queue_backlog_ms (&queue->in_time);
  int64_t room_ns = now_ns + (int64_t)(backlog_ms / rate * NS_PER_MS)
                    + RETRY_AFTER_MIN_MS * NS_PER_MS;
  int64_t return_ns = MAX (room_ns, queue->next_return_ns);
  double after = (double)(return_ns - now_ns);

  if (after * (1 + return_spread) > (double)max_ns)
    return (int64_t)((double)max_ns
                     * (1 - return_latest_spread * rng_uniform (queue->rng)));
  queue->next_return_ns
      = return_ns + (int64_t)(request->work_ms / rate * NS_PER_MS);
  return (int64_t)(after * (1 + return_spread * rng_uniform (queue->rng)));
}
