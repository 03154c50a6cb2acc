#include "kvera.h"

#include <glib.h>

struct era_call
{
  struct list node;
  struct kvera *kvera;
  bool ended; /* Whether the caller has its reply. */
  kv_done done;
  void *data;
};

static struct era_call *
call_new (struct kv *kv, kv_done done, void *data)
{
  struct kvera *kvera = LIST_ENTRY (kv, struct kvera, kv);
  struct era_call *call = g_new0 (struct era_call, 1);

  call->kvera = kvera;
  call->done = done;
  call->data = data;
  list_append (&kvera->calls, &call->node);
  return call;
}

/* End CALL, whose effect is unknown or does not last. It is freed when its
 * reply arrives. */
static void
call_end_unknown (struct era_call *call)
{
  const struct kv_reply reply = { .status = STATUS_UNKNOWN };

  list_remove (&call->node);
  call->ended = true;
  call->done (call->data, &reply);
}

/* End the calls that were sent before the era rose, also at the service, which
 * frees them. Their callers may send new calls, which stay. */
static void
older_calls_end (struct kvera *kvera)
{
  struct kv *service = kvera->service;
  struct list older;

  list_init (&older);
  while (!list_empty (&kvera->calls))
    {
      struct list *node = kvera->calls.next;

      list_remove (node);
      list_append (&older, node);
    }
  while (!list_empty (&older))
    {
      struct era_call *call = LIST_ENTRY (older.next, struct era_call, node);

      call_end_unknown (call);
      if (service->ops->cancel != NULL)
        service->ops->cancel (service, call);
    }
}

static void
era_rise (struct kvera *kvera, uint64_t era)
{
  uint64_t old_era = kvera->era;

  kvera->era = era;
  if (old_era != 0)
    kvera->rise_count++;
  kvera->ops->era_changed (kvera->data, old_era, era);
  if (old_era != 0)
    older_calls_end (kvera);
}

static void
call_replied (void *data, const struct kv_reply *reply)
{
  struct era_call *call = data;
  struct kvera *kvera = call->kvera;
  bool is_old = reply->era != 0 && reply->era < kvera->era;

  if (reply->era > kvera->era)
    era_rise (kvera, reply->era);
  kvera->old_reply_count += is_old;
  if (!call->ended && is_old)
    call_end_unknown (call);
  else if (!call->ended)
    {
      list_remove (&call->node);
      call->done (call->data, reply);
    }
  g_free (call);
}

static void
kvera_get (struct kv *kv, const char *key, kv_done done, void *data)
{
  struct era_call *call = call_new (kv, done, data);
  struct kv *service = call->kvera->service;

  service->ops->get (service, key, call_replied, call);
}

static void
kvera_range (struct kv *kv, const char *prefix, kv_done done, void *data)
{
  struct era_call *call = call_new (kv, done, data);
  struct kv *service = call->kvera->service;

  service->ops->range (service, prefix, call_replied, call);
}

static void
kvera_txn (struct kv *kv, const struct kv_txn *txn, kv_done done, void *data)
{
  struct era_call *call = call_new (kv, done, data);
  struct kv *service = call->kvera->service;

  service->ops->txn (service, txn, call_replied, call);
}

static void
kvera_lease_grant (struct kv *kv, int64_t ttl_ns, kv_done done, void *data)
{
  struct era_call *call = call_new (kv, done, data);
  struct kv *service = call->kvera->service;

  service->ops->lease_grant (service, ttl_ns, call_replied, call);
}

static void
kvera_lease_keepalive (struct kv *kv, uint64_t lease, kv_done done, void *data)
{
  struct era_call *call = call_new (kv, done, data);
  struct kv *service = call->kvera->service;

  service->ops->lease_keepalive (service, lease, call_replied, call);
}

static void
kvera_lease_revoke (struct kv *kv, uint64_t lease, kv_done done, void *data)
{
  struct era_call *call = call_new (kv, done, data);
  struct kv *service = call->kvera->service;

  service->ops->lease_revoke (service, lease, call_replied, call);
}

static void
kvera_watch (struct kv *kv, const char *prefix, uint64_t after,
             int64_t wait_ns, kv_done done, void *data)
{
  struct era_call *call = call_new (kv, done, data);
  struct kv *service = call->kvera->service;

  service->ops->watch (service, prefix, after, wait_ns, call_replied, call);
}

static void
kvera_cancel (struct kv *kv, void *data)
{
  struct kvera *kvera = LIST_ENTRY (kv, struct kvera, kv);
  struct kv *service = kvera->service;

  if (service->ops->cancel == NULL)
    return;
  for (struct list *at = kvera->calls.next; at != &kvera->calls; at = at->next)
    {
      struct era_call *call = LIST_ENTRY (at, struct era_call, node);

      if (call->data != data)
        continue;
      service->ops->cancel (service, call);
      return;
    }
}

static const struct kv_ops kvera_ops = {
  .get = kvera_get,
  .range = kvera_range,
  .txn = kvera_txn,
  .lease_grant = kvera_lease_grant,
  .lease_keepalive = kvera_lease_keepalive,
  .lease_revoke = kvera_lease_revoke,
  .watch = kvera_watch,
  .cancel = kvera_cancel,
};

void
kvera_init (struct kvera *kvera, struct kv *service,
            const struct kvera_ops *ops, void *data)
{
  *kvera = (struct kvera){
    .kv.ops = &kvera_ops,
    .service = service,
    .ops = ops,
    .data = data,
  };
  list_init (&kvera->calls);
}
