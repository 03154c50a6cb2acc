#include "poison-shard.h"

#include <assert.h>
#include <glib.h>

static const int64_t read_retry_ns = 200 * NS_PER_MS;

struct owned_partition
{
  struct poison_owner owner;
  struct poison_shard *shard;
  unsigned partition;
  uint64_t epoch; /**< Value of poison_shard.last_epoch when the partition was
                     gained. */
  uint64_t revision; /**< Revision of the record; 0 if there is no record. */
  bool read_pending;
  bool revision_known; /**< Whether the field revision equals the revision in
                          the KV service. */
  int64_t read_due_ns; /**< Time at which the record is read again. */
  enum status write_status; /**< Status of the failed write after which the
                               revision is unknown. */
};

/* A call to the KV service. The partition may be lost before the reply
 * comes. */
struct partition_call
{
  struct list node;
  struct poison_shard *shard;
  unsigned partition;
  uint64_t epoch;
};

static struct owned_partition *
partition_find (const struct poison_shard *shard, unsigned partition)
{
  return g_hash_table_lookup (shard->partitions,
                              GUINT_TO_POINTER (partition + 1));
}

static struct partition_call *
call_create (const struct owned_partition *owned)
{
  struct partition_call *kv_call = g_new0 (struct partition_call, 1);

  kv_call->shard = owned->shard;
  kv_call->partition = owned->partition;
  kv_call->epoch = owned->epoch;
  list_append (&owned->shard->calls, &kv_call->node);
  return kv_call;
}

/* Frees KV_CALL and returns its partition, or NULL if the partition was lost
 * since the call began. */
static struct owned_partition *
call_finish (struct partition_call *kv_call)
{
  struct owned_partition *owned
      = partition_find (kv_call->shard, kv_call->partition);

  if (owned != NULL && owned->epoch != kv_call->epoch)
    owned = NULL;
  list_remove (&kv_call->node);
  g_free (kv_call);
  return owned;
}

static void
record_key (unsigned partition, char key[KV_KEY_MAX])
{
  g_snprintf (key, KV_KEY_MAX, "suspect/%u", partition);
}

static void
read_done (void *data, const struct kv_reply *reply)
{
  struct owned_partition *owned = call_finish (data);
  bool found;

  if (owned == NULL)
    return;
  owned->read_pending = false;
  found = reply->status == STATUS_OK && reply->item_count > 0;
  if (!found && reply->status != STATUS_NOT_FOUND)
    {
      owned->read_due_ns = clock_now (owned->shard->clock) + read_retry_ns;
      return;
    }
  owned->revision_known = true;
  owned->revision = found ? reply->items[0].revision : 0;
  if (owned->owner.loaded)
    poison_owner_persisted (&owned->owner, owned->write_status);
  else if (poison_owner_load (&owned->owner,
                              found ? reply->items[0].value : NULL)
           != STATUS_OK)
    {
      /* Without a readable record no slot is granted. */
      owned->revision_known = false;
      owned->read_due_ns = clock_now (owned->shard->clock) + read_retry_ns;
    }
}

static void
record_read (struct owned_partition *owned)
{
  char key[KV_KEY_MAX];

  record_key (owned->partition, key);
  owned->read_pending = true;
  owned->shard->kv->ops->get (owned->shard->kv, key, read_done,
                              call_create (owned));
}

/* After a failed write only a new read can tell the record's revision. If the
 * failed write still takes effect late, it can't overwrite a newer record. */
static void
write_done (void *data, const struct kv_reply *reply)
{
  struct owned_partition *owned = call_finish (data);

  if (owned == NULL)
    return;
  if (reply->status == STATUS_OK)
    {
      owned->revision = reply->revision;
      poison_owner_persisted (&owned->owner, STATUS_OK);
      return;
    }
  owned->revision_known = false;
  owned->write_status = reply->status;
  if (reply->status != STATUS_CANCELLED)
    record_read (owned);
}

static void
owner_persist (void *data, const char *text)
{
  struct owned_partition *owned = data;
  const struct poison_shard *shard = owned->shard;
  char key[KV_KEY_MAX];
  char owner_key[KV_KEY_MAX];
  struct kv_compare compares[2] = { { .key = owner_key }, { .key = key } };
  const struct kv_write write = { .key = key, .value = text };
  const struct kv_txn txn = { compares, 2, &write, 1 };

  assert (owned->revision_known);
  record_key (owned->partition, key);
  compares[1].revision = owned->revision;
  if (!shard->ops->owns_partition (shard->data, owned->partition, owner_key,
                                   &compares[0].revision))
    {
      owned->revision_known = false;
      owned->write_status = STATUS_STALE;
      owned->read_due_ns = clock_now (shard->clock) + read_retry_ns;
      return;
    }
  shard->kv->ops->txn (shard->kv, &txn, write_done, call_create (owned));
}

static void
owner_send (void *data, uint64_t gateway, const struct poison_message *message)
{
  const struct owned_partition *owned = data;

  owned->shard->ops->send (owned->shard->data, gateway, message);
}

static const struct poison_owner_ops owner_ops = { owner_send, owner_persist };

static void
partition_free (gpointer pointer)
{
  struct owned_partition *owned = pointer;

  poison_owner_finish (&owned->owner);
  g_free (owned);
}

void
poison_shard_init (struct poison_shard *shard,
                   const struct poison_owner_settings *settings, struct kv *kv,
                   const struct clock *clock,
                   const struct poison_shard_ops *ops, void *data)
{
  *shard = (struct poison_shard){
    .kv = kv, .clock = clock, .ops = ops, .data = data, .settings = *settings
  };
  list_init (&shard->calls);
  shard->partitions = g_hash_table_new_full (NULL, NULL, NULL, partition_free);
}

void
poison_shard_finish (struct poison_shard *shard)
{
  struct list *at = shard->calls.next;

  while (at != &shard->calls)
    {
      struct partition_call *kv_call
          = LIST_ENTRY (at, struct partition_call, node);

      at = at->next;
      g_free (kv_call);
    }
  g_hash_table_destroy (shard->partitions);
}

void
poison_shard_partition_gained (struct poison_shard *shard, unsigned partition)
{
  struct owned_partition *owned = g_new0 (struct owned_partition, 1);

  owned->shard = shard;
  owned->partition = partition;
  owned->epoch = ++shard->last_epoch;
  poison_owner_init (&owned->owner, &shard->settings, shard->clock, &owner_ops,
                     owned);
  g_hash_table_replace (shard->partitions, GUINT_TO_POINTER (partition + 1),
                        owned);
  record_read (owned);
}

void
poison_shard_partition_lost (struct poison_shard *shard, unsigned partition)
{
  g_hash_table_remove (shard->partitions, GUINT_TO_POINTER (partition + 1));
}

enum status
poison_shard_receive (struct poison_shard *shard, unsigned partition,
                      const struct poison_message *message)
{
  struct owned_partition *owned = partition_find (shard, partition);
  char key[KV_KEY_MAX];
  uint64_t revision;

  if (owned == NULL
      || !shard->ops->owns_partition (shard->data, partition, key, &revision))
    return STATUS_STALE;
  poison_owner_receive (&owned->owner, message);
  return STATUS_OK;
}

void
poison_shard_gateway_lost (struct poison_shard *shard, uint64_t gateway)
{
  GHashTableIter at;
  gpointer value;

  g_hash_table_iter_init (&at, shard->partitions);
  while (g_hash_table_iter_next (&at, NULL, &value))
    poison_owner_gateway_lost (&((struct owned_partition *)value)->owner,
                               gateway);
}

void
poison_shard_tick (struct poison_shard *shard)
{
  int64_t now = clock_now (shard->clock);
  GHashTableIter at;
  gpointer value;

  g_hash_table_iter_init (&at, shard->partitions);
  while (g_hash_table_iter_next (&at, NULL, &value))
    {
      struct owned_partition *owned = value;

      if (!owned->revision_known && !owned->read_pending
          && owned->read_due_ns <= now)
        record_read (owned);
      poison_owner_tick (&owned->owner);
    }
}

int64_t
poison_shard_next_tick_ns (const struct poison_shard *shard)
{
  int64_t next = CLOCK_NEVER;
  GHashTableIter at;
  gpointer value;

  g_hash_table_iter_init (&at, shard->partitions);
  while (g_hash_table_iter_next (&at, NULL, &value))
    {
      const struct owned_partition *owned = value;

      next = MIN (next, poison_owner_next_tick_ns (&owned->owner));
      if (!owned->revision_known && !owned->read_pending)
        next = MIN (next, owned->read_due_ns);
    }
  return next;
}
