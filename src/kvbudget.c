#include "kvbudget.h"
#include "kvrequest.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

struct budget_call
{
  struct list node;
  struct kvbudget *budget; /* NULL once the caller has its reply. */
  struct kvbudget *owner;  /* The same, until the call is freed. */
  struct kvrequest request;
  kv_done done;
  void *data;
  bool is_probe;
  bool timed_out; /* Whether the caller was told so; the reply is dropped. */
  int64_t submitted_ns;
  int64_t sent_ns;     /* 0 until the call is sent. */
  int64_t deadline_ns; /* Time limit for sending the call or, once it is sent,
                          for its reply. */
};

static void
call_free (struct budget_call *call)
{
  kvrequest_finish (&call->request);
  g_free (call);
}

static void
budget_refill (struct kvbudget *budget)
{
  int64_t now = clock_now (budget->clock);
  double seconds
      = (double)(now - budget->tokens_updated_ns) / (double)NS_PER_S;
  double rate = budget->settings.rate - (double)budget->watch_count;

  budget->tokens_updated_ns = now;
  budget->tokens += rate * seconds;
  budget->tokens = MIN (budget->tokens, budget->settings.burst);
}

static bool
is_urgent (const struct kvbudget *budget, const struct kvrequest *request)
{
  return budget->settings.urgent_prefix != NULL && request->key != NULL
         && strcmp (request->key, budget->settings.urgent_prefix) == 0;
}

static void
budget_record_result (struct kvbudget *budget, const struct budget_call *call,
                      enum status status)
{
  const struct kvbackoff_result result
      = { status, call->is_probe, is_urgent (budget, &call->request),
          call->sent_ns };

  if (!kvbackoff_record (&budget->backoff, &result))
    return;
  budget_refill (budget);
  budget->tokens = MIN (budget->tokens, 1.0);
}

/* Remove CALL from the lists and counts of its budget. */
static void
call_detach (struct budget_call *call)
{
  if (call->request.kind == KVREQUEST_WATCH)
    {
      budget_refill (call->budget);
      call->budget->watch_count--;
    }
  list_remove (&call->node);
  call->budget = NULL;
}

static bool
is_usable (enum status status)
{
  return status == STATUS_OK || status == STATUS_NOT_FOUND
         || status == STATUS_STALE || status == STATUS_CONFLICT;
}

/* Tells the owner of the budget if CALL ended in STAGE with a STATUS that
 * says nothing about the keys. */
static void
call_report (const struct budget_call *call, enum status status,
             enum kv_stage stage)
{
  const struct kvbudget *budget = call->owner;
  const char *key = call->request.key;
  int64_t now = clock_now (budget->clock);

  if (is_usable (status) || status == STATUS_CANCELLED || budget->ops == NULL)
    return;
  budget->ops->call_failed (
      budget->ops_data,
      &(struct kvbudget_failure){
          .kind = kvrequest_kind_name (call->request.kind),
          .key = key != NULL ? key : "-",
          .status = status,
          .stage = stage,
          .queued_ns
          = (call->sent_ns != 0 ? call->sent_ns : now) - call->submitted_ns,
          .sent_ns = call->sent_ns != 0 ? now - call->sent_ns : 0,
          .was_probe = call->is_probe,
      });
}

/* The reply to a call that has timed out here tells the stage that the call
 * had reached. */
static void
call_replied (void *data, const struct kv_reply *reply)
{
  struct budget_call *call = data;

  call_report (call, call->timed_out ? STATUS_UNKNOWN : reply->status,
               reply->stage);
  if (call->budget != NULL)
    {
      budget_record_result (call->budget, call, reply->status);
      call_detach (call);
      call->done (call->data, reply);
    }
  call_free (call);
}

/* Returns the maximum time until the whole reply to REQUEST. */
static int64_t
reply_timeout_ns (const struct kvbudget *budget,
                  const struct kvrequest *request)
{
  const struct kvbudget_settings *settings = &budget->settings;
  bool is_read
      = request->kind == KVREQUEST_RANGE || request->kind == KVREQUEST_WATCH;
  int64_t timeout_ns = is_read && settings->read_timeout_ns > 0
                           ? settings->read_timeout_ns
                           : settings->call_timeout_ns;

  if (request->kind == KVREQUEST_WATCH)
    timeout_ns += request->duration_ns;
  return timeout_ns;
}

static void
budget_send (struct kvbudget *budget, struct budget_call *call)
{
  int64_t now = clock_now (budget->clock);

  list_remove (&call->node);
  list_append (&budget->in_flight, &call->node);
  budget->queued_count--;
  budget->sent_count++;
  budget->tokens -= 1;
  call->sent_ns = now;
  call->deadline_ns = now + reply_timeout_ns (budget, &call->request);
  if (kvbackoff_is_active (&budget->backoff))
    {
      call->is_probe = true;
      kvbackoff_note_probe (&budget->backoff,
                            is_urgent (budget, &call->request));
      budget->probe_call_count++;
    }
  kvrequest_send (&call->request, budget->service, call_replied, call);
}

/* Whether CALL may be sent now. In a backoff watches may not: a watch is
 * unsuitable as the probe, since the service may take long to reply to it. */
static bool
call_is_sendable (const struct kvbudget *budget,
                  const struct budget_call *call)
{
  if (kvbackoff_is_active (&budget->backoff)
      && call->request.kind == KVREQUEST_WATCH)
    return false;
  return kvbackoff_allows_call (&budget->backoff,
                                is_urgent (budget, &call->request));
}

/* Return the first call of QUEUE that may be sent, or NULL. */
static struct budget_call *
queue_first_sendable (const struct kvbudget *budget, const struct list *queue)
{
  for (struct list *at = queue->next; at != queue; at = at->next)
    {
      struct budget_call *call = LIST_ENTRY (at, struct budget_call, node);

      if (call_is_sendable (budget, call))
        return call;
    }
  return NULL;
}

static void
budget_send_queued (struct kvbudget *budget)
{
  struct budget_call *call;

  budget_refill (budget);
  while (budget->tokens >= 1)
    {
      call = queue_first_sendable (budget, &budget->urgent_queue);
      if (call == NULL)
        call = queue_first_sendable (budget, &budget->queue);
      if (call == NULL)
        return;
      budget_send (budget, call);
    }
}

static void
budget_refuse (struct kvbudget *budget, struct budget_call *call)
{
  struct kv_reply reply = { .status = STATUS_LIMITED };

  if (kvbudget_service_is_down (budget))
    reply.status = STATUS_UNAVAILABLE;
  budget->refused_count++;
  call_report (call, reply.status, KV_STAGE_QUEUED);
  call_detach (call);
  call->done (call->data, &reply);
  call_free (call);
}

/* Move the calls of QUEUE that are due by DEADLINE_NS to the pending refusals.
 * Calls in a queue are ordered by deadline. */
static void
queue_refuse (struct kvbudget *budget, struct list *queue, int64_t deadline_ns)
{
  for (struct list *at = queue->next, *next; at != queue; at = next)
    {
      next = at->next;
      if (LIST_ENTRY (at, struct budget_call, node)->deadline_ns > deadline_ns)
        return;
      budget->queued_count--;
      list_remove (at);
      list_append (&budget->pending_refusals, at);
    }
}

static void
calls_move (struct list *from, struct list *to)
{
  list_init (to);
  for (struct list *at = from->next, *next; at != from; at = next)
    {
      next = at->next;
      list_remove (at);
      list_append (to, at);
    }
}

/* Reply to the calls that are to be refused. Their callbacks may submit new
 * calls; if these have to be refused too, the next tick does so. */
static void
refusals_reply (struct kvbudget *budget)
{
  struct list calls;

  calls_move (&budget->pending_refusals, &calls);
  for (struct list *at = calls.next, *next; at != &calls; at = next)
    {
      next = at->next;
      budget_refuse (budget, LIST_ENTRY (at, struct budget_call, node));
    }
}

/* Ends CALL, which was sent, at the service, or else lets it go on until its
 * late reply, which frees it. */
static void
call_give_up (struct budget_call *call, struct kv *service)
{
  if (service->ops->cancel != NULL)
    service->ops->cancel (service, call);
}

/* End the calls in flight that have timed out. */
static void
in_flight_expire (struct kvbudget *budget)
{
  int64_t now = clock_now (budget->clock);
  struct kv_reply reply = { .status = STATUS_UNKNOWN };
  struct list expired;

  list_init (&expired);
  for (struct list *at = budget->in_flight.next, *next;
       at != &budget->in_flight; at = next)
    {
      next = at->next;
      if (LIST_ENTRY (at, struct budget_call, node)->deadline_ns > now)
        continue;
      list_remove (at);
      list_append (&expired, at);
    }
  for (struct list *at = expired.next, *next; at != &expired; at = next)
    {
      struct budget_call *call = LIST_ENTRY (at, struct budget_call, node);

      next = at->next;
      budget->timeout_count++;
      budget_record_result (budget, call, STATUS_TIMEOUT);
      call_detach (call);
      call->timed_out = true;
      call->done (call->data, &reply);
      call_give_up (call, budget->service);
    }
}

static struct budget_call *
call_new (struct kv *kv, enum kvrequest_kind kind, const char *key,
          kv_done done, void *data)
{
  struct kvbudget *budget = LIST_ENTRY (kv, struct kvbudget, kv);
  struct budget_call *call = g_new0 (struct budget_call, 1);

  call->budget = budget;
  call->owner = budget;
  call->submitted_ns = clock_now (budget->clock);
  kvrequest_init (&call->request, kind, key);
  call->done = done;
  call->data = data;
  call->deadline_ns
      = clock_now (budget->clock) + budget->settings.queue_timeout_ns;
  return call;
}

/* Send CALL or queue it. If the queue is full, the next tick refuses CALL. */
static void
call_submit (struct budget_call *call)
{
  struct kvbudget *budget = call->budget;
  bool full = budget->queued_count >= budget->settings.queue_max;

  if (call->request.kind == KVREQUEST_WATCH)
    {
      full = full || budget->watch_count >= budget->settings.watch_max;
      budget_refill (budget);
      budget->watch_count++;
    }
  if (full)
    {
      list_append (&budget->pending_refusals, &call->node);
      return;
    }
  list_append (kvrequest_is_for_lease (&call->request)
                       || is_urgent (budget, &call->request)
                   ? &budget->urgent_queue
                   : &budget->queue,
               &call->node);
  budget->queued_count++;
  budget_send_queued (budget);
}

static void
kvbudget_get (struct kv *kv, const char *key, kv_done done, void *data)
{
  call_submit (call_new (kv, KVREQUEST_GET, key, done, data));
}

static void
kvbudget_range (struct kv *kv, const char *prefix, kv_done done, void *data)
{
  call_submit (call_new (kv, KVREQUEST_RANGE, prefix, done, data));
}

static void
kvbudget_txn (struct kv *kv, const struct kv_txn *txn, kv_done done,
              void *data)
{
  struct budget_call *call = call_new (kv, KVREQUEST_TXN, NULL, done, data);

  kvrequest_copy_txn (&call->request, txn);
  call_submit (call);
}

static void
lease_call_submit (struct kv *kv, enum kvrequest_kind kind, uint64_t lease,
                   int64_t ttl_ns, kv_done done, void *data)
{
  struct budget_call *call = call_new (kv, kind, NULL, done, data);

  call->request.lease_or_revision = lease;
  call->request.duration_ns = ttl_ns;
  call_submit (call);
}

static void
kvbudget_lease_grant (struct kv *kv, int64_t ttl_ns, kv_done done, void *data)
{
  lease_call_submit (kv, KVREQUEST_LEASE_GRANT, 0, ttl_ns, done, data);
}

static void
kvbudget_lease_keepalive (struct kv *kv, uint64_t lease, kv_done done,
                          void *data)
{
  lease_call_submit (kv, KVREQUEST_LEASE_KEEPALIVE, lease, 0, done, data);
}

static void
kvbudget_lease_revoke (struct kv *kv, uint64_t lease, kv_done done, void *data)
{
  lease_call_submit (kv, KVREQUEST_LEASE_REVOKE, lease, 0, done, data);
}

static void
kvbudget_watch (struct kv *kv, const char *prefix, uint64_t after,
                int64_t wait_ns, kv_done done, void *data)
{
  struct budget_call *call
      = call_new (kv, KVREQUEST_WATCH, prefix, done, data);

  call->request.lease_or_revision = after;
  call->request.duration_ns = wait_ns;
  call_submit (call);
}

static struct budget_call *
calls_find (const struct list *calls, const void *data)
{
  for (struct list *at = calls->next; at != calls; at = at->next)
    {
      struct budget_call *call = LIST_ENTRY (at, struct budget_call, node);

      if (call->data == data)
        return call;
    }
  return NULL;
}

static void
call_cancel (struct budget_call *call)
{
  struct kvbudget *budget = call->budget;
  struct kv_reply reply = { .status = STATUS_CANCELLED };

  budget_record_result (budget, call, STATUS_CANCELLED);
  call_detach (call);
  call->done (call->data, &reply);
  if (call->sent_ns != 0)
    call_give_up (call, budget->service);
  else
    call_free (call);
}

static void
kvbudget_cancel (struct kv *kv, void *data)
{
  struct kvbudget *budget = LIST_ENTRY (kv, struct kvbudget, kv);
  struct list *const queues[] = { &budget->queue, &budget->urgent_queue };
  struct budget_call *call = calls_find (&budget->in_flight, data);

  if (call == NULL)
    call = calls_find (&budget->pending_refusals, data);
  for (size_t i = 0; i < G_N_ELEMENTS (queues) && call == NULL; i++)
    {
      call = calls_find (queues[i], data);
      budget->queued_count -= call != NULL;
    }
  if (call != NULL)
    call_cancel (call);
}

static const struct kv_ops kvbudget_ops = {
  .get = kvbudget_get,
  .range = kvbudget_range,
  .txn = kvbudget_txn,
  .lease_grant = kvbudget_lease_grant,
  .lease_keepalive = kvbudget_lease_keepalive,
  .lease_revoke = kvbudget_lease_revoke,
  .watch = kvbudget_watch,
  .cancel = kvbudget_cancel,
};

static void
calls_cancel (struct list *calls, bool in_flight)
{
  struct kv_reply reply = { .status = STATUS_CANCELLED };
  struct list cancelled;

  calls_move (calls, &cancelled);
  for (struct list *at = cancelled.next, *next; at != &cancelled; at = next)
    {
      struct budget_call *call = LIST_ENTRY (at, struct budget_call, node);

      next = at->next;
      call_detach (call);
      call->done (call->data, &reply);
      if (!in_flight)
        call_free (call);
    }
}

/* Return the time at which the next queued call may be sent unless a reply
 * arrives before. */
static int64_t
queue_next_send_ns (const struct kvbudget *budget)
{
  double rate = budget->settings.rate - (double)budget->watch_count;
  double missing = MAX (1 - budget->tokens, 0);
  int64_t at = budget->tokens_updated_ns + (int64_t)(missing / rate * 1e9) + 1;

  if (!kvbackoff_is_active (&budget->backoff))
    return at;
  if (budget->backoff.probe_in_flight
      && budget->settings.urgent_prefix == NULL)
    return CLOCK_NEVER;
  return MAX (at, budget->backoff.end_ns);
}

static int64_t
calls_earliest_deadline (const struct list *calls, int64_t earliest)
{
  for (struct list *at = calls->next; at != calls; at = at->next)
    earliest = MIN (earliest,
                    LIST_ENTRY (at, struct budget_call, node)->deadline_ns);
  return earliest;
}

void
kvbudget_init (struct kvbudget *budget, struct kv *service,
               const struct clock *clock, struct rng *rng,
               const struct kvbudget_settings *settings)
{
  assert (settings->rate > (double)settings->watch_max);
  assert (settings->burst >= 1);
  *budget = (struct kvbudget){
    .kv.ops = &kvbudget_ops,
    .settings = *settings,
    .service = service,
    .clock = clock,
    .tokens = settings->burst,
    .tokens_updated_ns = clock_now (clock),
  };
  kvbackoff_init (&budget->backoff, &settings->backoff, clock, rng);
  list_init (&budget->urgent_queue);
  list_init (&budget->queue);
  list_init (&budget->pending_refusals);
  list_init (&budget->in_flight);
}

void
kvbudget_set_ops (struct kvbudget *budget, const struct kvbudget_ops *ops,
                  void *data)
{
  budget->ops = ops;
  budget->ops_data = data;
}

void
kvbudget_finish (struct kvbudget *budget)
{
  calls_cancel (&budget->urgent_queue, false);
  calls_cancel (&budget->queue, false);
  calls_cancel (&budget->pending_refusals, false);
  calls_cancel (&budget->in_flight, true);
}

void
kvbudget_tick (struct kvbudget *budget)
{
  int64_t now = clock_now (budget->clock);

  in_flight_expire (budget);
  queue_refuse (budget, &budget->urgent_queue, now);
  queue_refuse (budget, &budget->queue, now);
  refusals_reply (budget);
  budget_send_queued (budget);
}

void
kvbudget_refuse_queued (struct kvbudget *budget)
{
  queue_refuse (budget, &budget->urgent_queue, CLOCK_NEVER);
  queue_refuse (budget, &budget->queue, CLOCK_NEVER);
}

int64_t
kvbudget_next_tick_ns (const struct kvbudget *budget)
{
  int64_t next = CLOCK_NEVER;

  if (!list_empty (&budget->pending_refusals))
    return clock_now (budget->clock);
  next = calls_earliest_deadline (&budget->in_flight, next);
  next = calls_earliest_deadline (&budget->urgent_queue, next);
  next = calls_earliest_deadline (&budget->queue, next);
  if (budget->queued_count > 0)
    next = MIN (next, queue_next_send_ns (budget));
  return next;
}

bool
kvbudget_service_is_down (const struct kvbudget *budget)
{
  return budget->backoff.is_lost;
}
