#include "fake-fleet-parts.h"

struct filtered
{
  struct fleet *fleet;
  kv_done done;
  void *data;
};

static struct fleet_shard *
filter_shard (struct kv *kv)
{
  return LIST_ENTRY (kv, struct fleet_shard, filter);
}

static struct filtered *
filtered_new (struct kv *kv, kv_done done, void *data)
{
  struct filtered *call = g_new0 (struct filtered, 1);

  *call = (struct filtered){ filter_shard (kv)->fleet, done, data };
  return call;
}

static void
filtered_txn_done (void *data, const struct kv_reply *reply)
{
  struct filtered *call = data;
  struct kv_reply changed = *reply;

  if (call->fleet->mutant == FLEET_TRUST_LOST_REPLY
      && reply->status == STATUS_UNKNOWN)
    changed.status = STATUS_OK;
  call->done (call->data, &changed);
  g_free (call);
}

static void
filtered_not_sent (void *data, const struct kv_reply *reply)
{
  struct filtered *call = data;
  struct kv_reply changed = { .status = STATUS_OK };

  call->done (call->data, &changed);
  g_free (call);
}

static void
filtered_empty (void *data, const struct kv_reply *reply)
{
  struct filtered *call = data;
  struct kv_reply changed = *reply;

  changed.item_count = 0;
  call->done (call->data, &changed);
  g_free (call);
}

static void
filter_txn (struct kv *kv, const struct kv_txn *txn, kv_done done, void *data)
{
  struct fleet_shard *shard = filter_shard (kv);
  struct kv *below = &shard->client.kv;
  enum fleet_mutant mutant = shard->fleet->mutant;
  bool records = g_str_has_prefix (txn->writes[0].key, "once/");
  struct kv_compare *compares = g_new0 (struct kv_compare, txn->compare_count);
  struct kv_txn changed = *txn;

  changed.compares = compares;
  changed.compare_count = 0;
  for (size_t i = 0; i < txn->compare_count; i++)
    {
      bool owner = g_str_has_prefix (txn->compares[i].key, "owner/");

      if (records
          && (mutant == FLEET_NO_OWNER_COMPARE
                  ? owner
                  : mutant == FLEET_NO_SEGMENT_COMPARE && !owner))
        continue;
      compares[changed.compare_count++] = txn->compares[i];
    }
  if (records && mutant == FLEET_GRANT_NOT_DURABLE)
    below->ops->get (below, "none", filtered_not_sent,
                     filtered_new (kv, done, data));
  else
    below->ops->txn (below, &changed, filtered_txn_done,
                     filtered_new (kv, done, data));
  g_free (compares);
}

static void
filter_range (struct kv *kv, const char *prefix, kv_done done, void *data)
{
  struct fleet_shard *shard = filter_shard (kv);
  struct kv *below = &shard->client.kv;

  if (shard->fleet->mutant == FLEET_NO_LOAD
      && g_str_has_prefix (prefix, "once/"))
    below->ops->range (below, prefix, filtered_empty,
                       filtered_new (kv, done, data));
  else
    below->ops->range (below, prefix, done, data);
}

static void
filter_get (struct kv *kv, const char *key, kv_done done, void *data)
{
  struct kv *below = &filter_shard (kv)->client.kv;

  below->ops->get (below, key, done, data);
}

static void
filter_lease_grant (struct kv *kv, int64_t ttl_ns, kv_done done, void *data)
{
  struct kv *below = &filter_shard (kv)->client.kv;

  below->ops->lease_grant (below, ttl_ns, done, data);
}

static void
filter_lease_keepalive (struct kv *kv, uint64_t lease, kv_done done,
                        void *data)
{
  struct kv *below = &filter_shard (kv)->client.kv;

  below->ops->lease_keepalive (below, lease, done, data);
}

static void
filter_lease_revoke (struct kv *kv, uint64_t lease, kv_done done, void *data)
{
  struct kv *below = &filter_shard (kv)->client.kv;

  below->ops->lease_revoke (below, lease, done, data);
}

const struct kv_ops fleet_filter_ops = {
  .get = filter_get,
  .range = filter_range,
  .txn = filter_txn,
  .lease_grant = filter_lease_grant,
  .lease_keepalive = filter_lease_keepalive,
  .lease_revoke = filter_lease_revoke,
};
