#include "kvbudget.h"

#include <assert.h>
#include <glib.h>

enum call_kind
{
  CALL_GET,
  CALL_RANGE,
  CALL_TXN,
  CALL_LEASE_GRANT,
  CALL_LEASE_KEEPALIVE,
  CALL_LEASE_REVOKE,
  CALL_WATCH
};

struct call
{
  struct list node;
  struct kvbudget *budget; /* NULL: answered, only the late reply is due */
  enum call_kind kind;
  char *key;
  uint64_t number; /* a lease or a revision */
  int64_t span_ns;
  struct kv_txn txn; /* with own copies */
  kv_done done;
  void *data;
  bool probe;
  int64_t sent_ns;
  int64_t deadline_ns;
};

static void
call_free (struct call *call)
{
  for (size_t i = 0; i < call->txn.compare_count; i++)
    g_free ((char *)call->txn.compares[i].key);
  for (size_t i = 0; i < call->txn.write_count; i++)
    {
      g_free ((char *)call->txn.writes[i].key);
      g_free ((char *)call->txn.writes[i].value);
    }
  g_free ((void *)call->txn.compares);
  g_free ((void *)call->txn.writes);
  g_free (call->key);
  g_free (call);
}

static void
call_copy_txn (struct call *call, const struct kv_txn *txn)
{
  struct kv_compare *compares = g_new0 (struct kv_compare, txn->compare_count);
  struct kv_write *writes = g_new0 (struct kv_write, txn->write_count);

  for (size_t i = 0; i < txn->compare_count; i++)
    {
      compares[i] = txn->compares[i];
      compares[i].key = g_strdup (txn->compares[i].key);
    }
  for (size_t i = 0; i < txn->write_count; i++)
    {
      writes[i] = txn->writes[i];
      writes[i].key = g_strdup (txn->writes[i].key);
      writes[i].value = g_strdup (txn->writes[i].value);
    }
  call->txn = (struct kv_txn){ compares, txn->compare_count, writes,
                               txn->write_count };
}

static bool
call_is_urgent (const struct call *call)
{
  return call->kind == CALL_LEASE_GRANT || call->kind == CALL_LEASE_KEEPALIVE
         || call->kind == CALL_LEASE_REVOKE;
}

static void
budget_refill (struct kvbudget *budget)
{
  int64_t now = clock_now (budget->clock);
  double seconds = (double)(now - budget->tokens_at) / (double)NS_PER_S;
  double rate = budget->settings.rate - (double)budget->watch_count;

  budget->tokens_at = now;
  budget->tokens += rate * seconds;
  budget->tokens = MIN (budget->tokens, budget->settings.burst);
}

static void
budget_hold (struct kvbudget *budget)
{
  int64_t now = clock_now (budget->clock);
  int64_t span = budget->settings.backoff_min_ns;

  for (unsigned i = 0; i < budget->failures; i++)
    span = MIN (span * 2, budget->settings.backoff_max_ns);
  budget->failures++;
  budget->hold_since = now;
  /* Half to one and a half of the span: processes that failed together do
   * not come back together. */
  budget->hold_until
      = now + span / 2 + (int64_t)((double)span * rng_unit (budget->rng));
}

static void
budget_release (struct kvbudget *budget)
{
  if (budget->failures == 0)
    return;
  budget->failures = 0;
  budget_refill (budget);
  budget->tokens = MIN (budget->tokens, 1.0);
}

/* Only calls sent since the last failure tell something new. */
static void
budget_learn (struct kvbudget *budget, const struct call *call,
              enum status status)
{
  bool failed = status == STATUS_UNAVAILABLE || status == STATUS_LIMITED
                || status == STATUS_TIMEOUT;

  if (call->probe)
    budget->probing = false;
  if (!failed && status != STATUS_UNKNOWN)
    budget_release (budget);
  else if (call->probe || (failed && call->sent_ns >= budget->hold_since))
    budget_hold (budget);
}

/* Take the call out of the budget's lists and counts. */
static void
call_close (struct call *call)
{
  if (call->kind == CALL_WATCH)
    {
      budget_refill (call->budget);
      call->budget->watch_count--;
    }
  list_remove (&call->node);
  call->budget = NULL;
}

static void
call_replied (void *data, const struct kv_reply *reply)
{
  struct call *call = data;

  if (call->budget != NULL)
    {
      budget_learn (call->budget, call, reply->status);
      call_close (call);
      call->done (call->data, reply);
    }
  call_free (call);
}

static void
call_pass_on (struct call *call, struct kv *service)
{
  const struct kv_ops *ops = service->ops;

  switch (call->kind)
    {
    case CALL_GET:
      ops->get (service, call->key, call_replied, call);
      break;
    case CALL_RANGE:
      ops->range (service, call->key, call_replied, call);
      break;
    case CALL_TXN:
      ops->txn (service, &call->txn, call_replied, call);
      break;
    case CALL_LEASE_GRANT:
      ops->lease_grant (service, call->span_ns, call_replied, call);
      break;
    case CALL_LEASE_KEEPALIVE:
      ops->lease_keepalive (service, call->number, call_replied, call);
      break;
    case CALL_LEASE_REVOKE:
      ops->lease_revoke (service, call->number, call_replied, call);
      break;
    case CALL_WATCH:
      ops->watch (service, call->key, call->number, call->span_ns,
                  call_replied, call);
      break;
    }
}

static void
budget_send (struct kvbudget *budget, struct call *call)
{
  int64_t now = clock_now (budget->clock);

  list_remove (&call->node);
  list_append (&budget->open, &call->node);
  budget->queue_count--;
  budget->sent++;
  budget->tokens -= 1;
  call->sent_ns = now;
  call->deadline_ns = now + budget->settings.call_timeout_ns;
  if (call->kind == CALL_WATCH)
    call->deadline_ns += call->span_ns;
  if (budget->failures > 0)
    {
      call->probe = true;
      budget->probing = true;
      budget->probes++;
    }
  call_pass_on (call, budget->service);
}

static bool
budget_may_send (struct kvbudget *budget)
{
  budget_refill (budget);
  if (budget->tokens < 1)
    return false;
  if (budget->failures == 0)
    return true;
  return !budget->probing && clock_now (budget->clock) >= budget->hold_until;
}

/* A watch that waits for long is no probe. */
static struct call *
queue_first (struct kvbudget *budget)
{
  if (!list_empty (&budget->urgent))
    return LIST_ENTRY (budget->urgent.next, struct call, node);
  for (struct list *at = budget->queued.next; at != &budget->queued;
       at = at->next)
    {
      struct call *call = LIST_ENTRY (at, struct call, node);

      if (budget->failures == 0 || call->kind != CALL_WATCH)
        return call;
    }
  return NULL;
}

static void
budget_send_due (struct kvbudget *budget)
{
  struct call *call;

  while (budget_may_send (budget) && (call = queue_first (budget)) != NULL)
    budget_send (budget, call);
}

static void
budget_refuse (struct kvbudget *budget, struct call *call)
{
  struct kv_reply reply = { .status = STATUS_LIMITED };

  if (budget->failures > 0)
    reply.status = STATUS_UNAVAILABLE;
  budget->refused++;
  call_close (call);
  call->done (call->data, &reply);
  call_free (call);
}

/* Queues are in the order of their deadlines. */
static void
queue_expire (struct kvbudget *budget, struct list *queue)
{
  int64_t now = clock_now (budget->clock);

  for (struct list *at = queue->next, *next; at != queue; at = next)
    {
      next = at->next;
      if (LIST_ENTRY (at, struct call, node)->deadline_ns > now)
        return;
      budget->queue_count--;
      list_remove (at);
      list_append (&budget->refusals, at);
    }
}

static void
list_take (struct list *from, struct list *taken)
{
  list_init (taken);
  for (struct list *at = from->next, *next; at != from; at = next)
    {
      next = at->next;
      list_remove (at);
      list_append (taken, at);
    }
}

/* Answers may submit new calls; those are refused by the next tick. */
static void
refusals_answer (struct kvbudget *budget)
{
  struct list taken;

  list_take (&budget->refusals, &taken);
  for (struct list *at = taken.next, *next; at != &taken; at = next)
    {
      next = at->next;
      budget_refuse (budget, LIST_ENTRY (at, struct call, node));
    }
}

/* The late reply frees the call. */
static void
open_expire (struct kvbudget *budget)
{
  int64_t now = clock_now (budget->clock);
  struct kv_reply reply = { .status = STATUS_UNKNOWN };
  struct list overdue;

  list_init (&overdue);
  for (struct list *at = budget->open.next, *next; at != &budget->open;
       at = next)
    {
      next = at->next;
      if (LIST_ENTRY (at, struct call, node)->deadline_ns > now)
        continue;
      list_remove (at);
      list_append (&overdue, at);
    }
  for (struct list *at = overdue.next, *next; at != &overdue; at = next)
    {
      struct call *call = LIST_ENTRY (at, struct call, node);

      next = at->next;
      budget->timeouts++;
      budget_learn (budget, call, STATUS_TIMEOUT);
      call_close (call);
      call->done (call->data, &reply);
    }
}

static struct call *
call_new (struct kv *kv, enum call_kind kind, const char *key, kv_done done,
          void *data)
{
  struct kvbudget *budget = LIST_ENTRY (kv, struct kvbudget, kv);
  struct call *call = g_new0 (struct call, 1);

  call->budget = budget;
  call->kind = kind;
  call->key = g_strdup (key);
  call->done = done;
  call->data = data;
  call->deadline_ns
      = clock_now (budget->clock) + budget->settings.queue_wait_ns;
  return call;
}

/* Send CALL, queue it, or leave its refusal to the next tick. */
static void
call_submit (struct call *call)
{
  struct kvbudget *budget = call->budget;
  bool full = budget->queue_count >= budget->settings.queue_max;

  if (call->kind == CALL_WATCH)
    {
      full = full || budget->watch_count >= budget->settings.watch_max;
      budget_refill (budget);
      budget->watch_count++;
    }
  if (full)
    {
      list_append (&budget->refusals, &call->node);
      return;
    }
  list_append (call_is_urgent (call) ? &budget->urgent : &budget->queued,
               &call->node);
  budget->queue_count++;
  budget_send_due (budget);
}

static void
op_get (struct kv *kv, const char *key, kv_done done, void *data)
{
  call_submit (call_new (kv, CALL_GET, key, done, data));
}

static void
op_range (struct kv *kv, const char *prefix, kv_done done, void *data)
{
  call_submit (call_new (kv, CALL_RANGE, prefix, done, data));
}

static void
op_txn (struct kv *kv, const struct kv_txn *txn, kv_done done, void *data)
{
  struct call *call = call_new (kv, CALL_TXN, NULL, done, data);

  call_copy_txn (call, txn);
  call_submit (call);
}

static void
op_lease_grant (struct kv *kv, int64_t ttl_ns, kv_done done, void *data)
{
  struct call *call = call_new (kv, CALL_LEASE_GRANT, NULL, done, data);

  call->span_ns = ttl_ns;
  call_submit (call);
}

static void
op_lease_keepalive (struct kv *kv, uint64_t lease, kv_done done, void *data)
{
  struct call *call = call_new (kv, CALL_LEASE_KEEPALIVE, NULL, done, data);

  call->number = lease;
  call_submit (call);
}

static void
op_lease_revoke (struct kv *kv, uint64_t lease, kv_done done, void *data)
{
  struct call *call = call_new (kv, CALL_LEASE_REVOKE, NULL, done, data);

  call->number = lease;
  call_submit (call);
}

static void
op_watch (struct kv *kv, const char *prefix, uint64_t after, int64_t wait_ns,
          kv_done done, void *data)
{
  struct call *call = call_new (kv, CALL_WATCH, prefix, done, data);

  call->number = after;
  call->span_ns = wait_ns;
  call_submit (call);
}

static const struct kv_ops budget_ops = {
  .get = op_get,
  .range = op_range,
  .txn = op_txn,
  .lease_grant = op_lease_grant,
  .lease_keepalive = op_lease_keepalive,
  .lease_revoke = op_lease_revoke,
  .watch = op_watch,
};

static void
list_cancel (struct list *calls, bool sent)
{
  struct kv_reply reply = { .status = STATUS_CANCELLED };
  struct list taken;

  list_take (calls, &taken);
  for (struct list *at = taken.next, *next; at != &taken; at = next)
    {
      struct call *call = LIST_ENTRY (at, struct call, node);

      next = at->next;
      call_close (call);
      call->done (call->data, &reply);
      if (!sent)
        call_free (call);
    }
}

/* When the queue can go on, if nothing is answered before. */
static int64_t
queue_next (const struct kvbudget *budget)
{
  double rate = budget->settings.rate - (double)budget->watch_count;
  double missing = MAX (1 - budget->tokens, 0);
  int64_t at = budget->tokens_at + (int64_t)(missing / rate * 1e9) + 1;

  if (budget->failures == 0)
    return at;
  return budget->probing ? CLOCK_NEVER : MAX (at, budget->hold_until);
}

static int64_t
list_next (const struct list *calls, int64_t next)
{
  for (struct list *at = calls->next; at != calls; at = at->next)
    next = MIN (next, LIST_ENTRY (at, struct call, node)->deadline_ns);
  return next;
}

void
kvbudget_init (struct kvbudget *budget, struct kv *service,
               const struct clock *clock, struct rng *rng,
               const struct kvbudget_settings *settings)
{
  assert (settings->rate > (double)settings->watch_max);
  assert (settings->burst >= 1);
  *budget = (struct kvbudget){
    .kv.ops = &budget_ops,
    .settings = *settings,
    .service = service,
    .clock = clock,
    .rng = rng,
    .tokens = settings->burst,
    .tokens_at = clock_now (clock),
  };
  list_init (&budget->urgent);
  list_init (&budget->queued);
  list_init (&budget->refusals);
  list_init (&budget->open);
}

void
kvbudget_finish (struct kvbudget *budget)
{
  list_cancel (&budget->urgent, false);
  list_cancel (&budget->queued, false);
  list_cancel (&budget->refusals, false);
  list_cancel (&budget->open, true);
}

void
kvbudget_tick (struct kvbudget *budget)
{
  open_expire (budget);
  queue_expire (budget, &budget->urgent);
  queue_expire (budget, &budget->queued);
  refusals_answer (budget);
  budget_send_due (budget);
}

int64_t
kvbudget_next (const struct kvbudget *budget)
{
  int64_t next = CLOCK_NEVER;

  if (!list_empty (&budget->refusals))
    return clock_now (budget->clock);
  next = list_next (&budget->open, next);
  next = list_next (&budget->urgent, next);
  next = list_next (&budget->queued, next);
  if (budget->queue_count > 0)
    next = MIN (next, queue_next (budget));
  return next;
}

bool
kvbudget_down (const struct kvbudget *budget)
{
  return budget->failures > 0;
}
