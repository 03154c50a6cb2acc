#include "forwardqueue.h"
#include "forwardlog.h"
#include "forwardrespond.h"
#include "forwardsend.h"

enum
{
  /* Priorities of requests (see forward_priority) up to which they are in the
   * first class and in the second one: organisations that come before others,
   * and the most urgent routes of the others; then their next routes. */
  URGENT_PRIORITY_MAX = 3,
  STANDARD_PRIORITY_MAX = 4,
  /* Maximum size of the key of a queue, with the NUL. */
  QUEUE_KEY_MAX = 512
};

/* Share of the blocks that requests share which servers are expected to have
 * cached. */
static const double cached_share = 0.8;
/* Time of a server that one token of the output takes, in ms. */
static const double output_token_ms = 0.1;
/* Work of the smallest request, in ms. */
static const double work_min_ms = 1;
/* Maximum Retry-After time, as a share of the request's time left. */
static const double return_share_max = 0.32;

/* A queue, and what its requests are placed by. */
struct queue_turn
{
  void (*place) (struct forward *forward);
};

/* Return the key of the queue of the request: its service, and its route and
 * organisation if they restrict the servers that it may get, since only
 * requests that compete for the same servers can wait for each other.
 * TEXT: space for the key */
static const char *
queue_key (const struct forward *forward, char text[QUEUE_KEY_MAX])
{
  const struct organisation *organisation = forward->organisation;
  bool has_homes = organisation != NULL && organisation->homes != NULL;

  if (forward->route->homes == NULL && !has_homes)
    return forward->service;
  g_snprintf (text, QUEUE_KEY_MAX, "%s\n%s\n%s", forward->service,
              forward->route->homes != NULL ? forward->route->name : "",
              has_homes ? organisation->name : "");
  return text;
}

static struct waitqueue *
queue_find (const struct forward *forward)
{
  char text[QUEUE_KEY_MAX];

  return g_hash_table_lookup (forward->forwarder->queues,
                              queue_key (forward, text));
}

static void
queue_free (void *data)
{
  waitqueue_finish (data);
  g_free (data);
}

static struct waitqueue *
queue_obtain (struct forward *forward)
{
  struct forwarder *forwarder = forward->forwarder;
  struct waitqueue *queue;
  char text[QUEUE_KEY_MAX];

  if (forwarder->queues == NULL)
    forwarder->queues
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, queue_free);
  queue = queue_find (forward);
  if (queue != NULL)
    return queue;
  queue = g_new0 (struct waitqueue, 1);
  waitqueue_init (queue, &forwarder->settings.queue, forwarder->rng);
  g_hash_table_insert (forwarder->queues, g_strdup (queue_key (forward, text)),
                       queue);
  return queue;
}

void
forwardqueue_finish (struct forwarder *forwarder)
{
  if (forwarder->queues != NULL)
    g_hash_table_destroy (forwarder->queues);
  forwarder->queues = NULL;
}

/* Whether a server of the request's service has stated how long work takes,
 * which all servers of a service share. */
static bool
any_states_slowness (const struct forward *forward)
{
  const GPtrArray *list
      = servers_of_service (forward->forwarder->servers, forward->service);
  const struct server *server
      = list != NULL && list->len > 0 ? list->pdata[0] : NULL;

  return server != NULL && server->speed.service != NULL
         && server->speed.service->states_slowness;
}

static bool
capacity_varies (const struct forward *forward)
{
  const struct service *service
      = routes_find_service (forward->routes, forward->service);

  return (service != NULL && service->cold_per_s > 0)
         || any_states_slowness (forward);
}

bool
forwardqueue_is_used (const struct forward *forward)
{
  enum forwardqueue_mode mode = forward->forwarder->settings.queue_mode;

  if (forward->call.model == NULL || forward->relaying
      || !list_empty (&forward->waiting_node) || forward->software_hash != 0
      || mode == FORWARDQUEUE_NEVER)
    return false;
  return mode == FORWARDQUEUE_ALWAYS || forwardqueue_is_waiting (forward)
         || capacity_varies (forward);
}

bool
forwardqueue_is_waiting (const struct forward *forward)
{
  return waitqueue_is_waiting (&forward->queued);
}

static enum priority
request_class (const struct forward *forward)
{
  unsigned priority = forward_priority (forward);

  if (priority <= URGENT_PRIORITY_MAX)
    return PRIORITY_URGENT;
  return priority <= STANDARD_PRIORITY_MAX ? PRIORITY_STANDARD : PRIORITY_BULK;
}

/* Return the time of a server that the request needs. */
static double
request_work_ms (const struct forward *forward)
{
  const struct call *call = &forward->call;
  double tokens = call->prompt_tokens;

  for (unsigned i = 0; i + 1 < call->block_count; i++)
    tokens -= cached_share * call->blocks[i].tokens;
  return MAX (
      MAX (tokens, 0)
              / forward->forwarder->settings.choose.prefill_tokens_per_ms
          + call->output_tokens * output_token_ms,
      work_min_ms);
}

/* Return the time that the caller has spent on earlier tries, as far as its
 * time left shows. */
static int64_t
caller_waited_ns (const struct forward *forward)
{
  int64_t timeout_ns = forward->call.timeout_ns;

  return timeout_ns >= 0 ? MAX (forward->route->timeout_ns - timeout_ns, 0)
                         : 0;
}

static void
request_prepare (struct forward *forward)
{
  struct waitqueue_request *request = &forward->queued;
  const struct route *route = forward->route;
  int64_t now = clock_now (forward->forwarder->clock);
  int64_t give_up_ns = now + forward_time_left_ns (forward);

  if (request->work_ms > 0)
    return;
  if (route->kind == ROUTE_STREAM)
    give_up_ns = MIN (give_up_ns,
                      forward->arrived_ns + route_caller_patience_ns (route));
  request->organisation
      = forward->organisation != NULL ? forward->organisation->name : "";
  request->priority = request_class (forward);
  request->work_ms = request_work_ms (forward);
  request->arrived_ns = forward->arrived_ns;
  request->target_ns = forward->arrived_ns + route->latency_target_ns;
  request->give_up_ns = give_up_ns;
  request->waited_ns = caller_waited_ns (forward);
}

static struct waitqueue_outlook
outlook_of (const struct choose_result *choice)
{
  return (struct waitqueue_outlook){
    .has_server = choice->server != NULL,
    .backlog_ms = choice->backlog_ms,
    .prompt_ms = choice->prompt_ms,
  };
}

static void
refuse (struct forward *forward, const char *reason)
{
  struct forwarder *forwarder = forward->forwarder;
  struct waitqueue *queue = queue_obtain (forward);
  int64_t left_ns = MAX (forward_time_left_ns (forward), 0);
  int64_t retry_after_ns = waitqueue_retry_after_ns (
      queue, &forward->queued, (int64_t)(return_share_max * (double)left_ns),
      clock_now (forwarder->clock));
  char labels[64];

  g_snprintf (labels, sizeof labels, "reason=\"%s\"", reason);
  metrics_add (forwarder->metrics, "trefoilspar_queue_refusals_total", labels,
               1);
  forwardqueue_remove (forward);
  if (forward_may_have_run_here (forward))
    forward_give_up (forward, reason, 0);
  else
    forward_respond (forward, 503, reason, retry_after_ns);
}

void
forwardqueue_add (struct forward *forward)
{
  struct forwarder *forwarder = forward->forwarder;
  struct waitqueue *queue = queue_obtain (forward);
  struct waitqueue_request *victim;
  int64_t now = clock_now (forwarder->clock);
  int64_t wait_ns;

  if (forwardqueue_is_waiting (forward))
    return;
  request_prepare (forward);
  wait_ns = waitqueue_expected_wait_ns (queue, &forward->queued, now);
  if (now + wait_ns >= forward->queued.give_up_ns)
    {
      refuse (forward, "no_time");
      return;
    }
  forward_log_queue (forward, queue, wait_ns);
  waitqueue_add (queue, &forward->queued, &victim);
  if (victim == &forward->queued)
    refuse (forward, "queue_full");
  else if (victim != NULL)
    /* Ended by its own tick: callers of this function may walk the list of
     * all requests. */
    LIST_ENTRY (victim, struct forward, queued)->is_evicted = true;
}

void
forwardqueue_remove (struct forward *forward)
{
  if (forwardqueue_is_waiting (forward))
    waitqueue_remove (queue_find (forward), &forward->queued);
}

bool
forwardqueue_must_wait (struct forward *forward)
{
  return waitqueue_must_wait (queue_obtain (forward), request_class (forward));
}

bool
forwardqueue_hold_back (struct forward *forward)
{
  if (forwardqueue_is_waiting (forward) || !forwardqueue_is_used (forward)
      || forward->run_count + forward->not_run_count > 0
      || !forwardqueue_must_wait (forward))
    return false;
  forwardqueue_add (forward);
  return true;
}

bool
forwardqueue_allows (struct forward *forward,
                     const struct choose_result *choice)
{
  struct forwarder *forwarder = forward->forwarder;
  struct waitqueue *queue = queue_obtain (forward);
  struct waitqueue_outlook outlook = outlook_of (choice);

  request_prepare (forward);
  switch (waitqueue_decide (queue, &forward->queued, &outlook,
                            clock_now (forwarder->clock)))
    {
    case WAITQUEUE_SEND:
      return true;
    case WAITQUEUE_REFUSE:
      refuse (forward, "no_time");
      return false;
    case WAITQUEUE_WAIT:
      break;
    }
  forwardqueue_add (forward);
  return false;
}

void
forwardqueue_sent (struct forward *forward)
{
  struct forwarder *forwarder = forward->forwarder;

  if (!forwardqueue_is_used (forward))
    return;
  request_prepare (forward);
  forwarder->servers->load_is_news = true;
  waitqueue_sent (queue_obtain (forward), &forward->queued,
                  clock_now (forwarder->clock));
}

bool
forwardqueue_refuse_lost (struct forward *forward, int64_t now_ns)
{
  bool is_evicted = forward->is_evicted;

  if (!is_evicted
      && (!forwardqueue_is_waiting (forward)
          || !waitqueue_is_lost (&forward->queued, now_ns)))
    return false;
  refuse (forward, is_evicted ? "queue_full" : "no_time");
  return true;
}

unsigned
forwardqueue_count (const struct forward *forward)
{
  const struct waitqueue *queue
      = forward->forwarder->queues != NULL ? queue_find (forward) : NULL;

  return queue != NULL ? waitqueue_count (queue) : 0;
}

unsigned
forwardqueue_count_ahead (const struct forward *forward)
{
  const struct waitqueue *queue
      = forward->forwarder->queues != NULL ? queue_find (forward) : NULL;
  unsigned count = 0;

  if (queue == NULL)
    return 0;
  for (int i = 0; i <= (int)request_class (forward); i++)
    count += queue->in_time.classes[i].count;
  return count;
}

unsigned
forwardqueue_total (const struct forwarder *forwarder)
{
  GHashTableIter iter;
  gpointer queue;
  unsigned count = 0;

  if (forwarder->queues == NULL)
    return 0;
  g_hash_table_iter_init (&iter, forwarder->queues);
  while (g_hash_table_iter_next (&iter, NULL, &queue))
    count += waitqueue_count (queue);
  return count;
}

enum waitqueue_action
forwardqueue_foresee (struct forward *forward,
                      const struct choose_result *choice, int64_t *wait_ns)
{
  struct forwarder *forwarder = forward->forwarder;
  int64_t now = clock_now (forwarder->clock);
  struct waitqueue_outlook outlook = outlook_of (choice);
  const struct waitqueue *present = queue_obtain (forward);
  /* The decision notes figures of the queue. The lists of a copy can't be
   * walked. */
  struct waitqueue queue = *present;
  enum waitqueue_action action;

  request_prepare (forward);
  action = waitqueue_must_wait (&queue, forward->queued.priority)
               ? WAITQUEUE_WAIT
               : waitqueue_decide (&queue, &forward->queued, &outlook, now);
  if (action != WAITQUEUE_WAIT)
    return action;
  *wait_ns = waitqueue_expected_wait_ns (present, &forward->queued, now);
  return now + *wait_ns >= forward->queued.give_up_ns ? WAITQUEUE_REFUSE
                                                      : WAITQUEUE_WAIT;
}

static bool
request_try (void *data, struct waitqueue_request *request)
{
  const struct queue_turn *turn = data;
  struct forward *forward = LIST_ENTRY (request, struct forward, queued);
  struct forwarder *forwarder = forward->forwarder;
  struct waitqueue *queue = queue_find (forward);
  unsigned count = waitqueue_count (queue);
  bool was_late = request->is_late;

  turn->place (forward);
  /* FORWARD may have ended; then fewer requests wait. */
  return forwarder->queues != NULL && waitqueue_count (queue) == count
         && request->is_late == was_late;
}

void
forwardqueue_serve (struct forwarder *forwarder, int64_t now_ns,
                    void (*place) (struct forward *forward))
{
  struct queue_turn turn = { place };
  GHashTableIter iter;
  gpointer queue;

  if (forwarder->queues == NULL)
    return;
  g_hash_table_iter_init (&iter, forwarder->queues);
  while (g_hash_table_iter_next (&iter, NULL, &queue))
    waitqueue_serve (queue, now_ns, request_try, &turn);
}
