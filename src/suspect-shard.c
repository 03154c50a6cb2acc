#include "suspect-shard.h"

#include <assert.h>
#include <glib.h>

static const int64_t read_again_ns = 200 * NS_PER_MS;

struct held
{
  struct suspect_owner owner;
  struct suspect_shard *shard;
  unsigned partition;
  uint64_t epoch;
  uint64_t revision; /**< of the record; 0: there is none */
  bool reading;
  bool known;         /**< REVISION is what the KV service has */
  int64_t read_ns;    /**< when to read again */
  enum status failed; /**< of the write that made it unknown */
};

/* A call to the KV service may outlive what it is for. */
struct call
{
  struct list node;
  struct suspect_shard *shard;
  unsigned partition;
  uint64_t epoch;
};

static struct held *
held_find (const struct suspect_shard *shard, unsigned partition)
{
  return g_hash_table_lookup (shard->partitions,
                              GUINT_TO_POINTER (partition + 1));
}

static struct call *
call_make (const struct held *held)
{
  struct call *call = g_new0 (struct call, 1);

  call->shard = held->shard;
  call->partition = held->partition;
  call->epoch = held->epoch;
  list_append (&held->shard->calls, &call->node);
  return call;
}

/* What CALL was for, or NULL; frees CALL. */
static struct held *
call_end (struct call *call)
{
  struct held *held = held_find (call->shard, call->partition);

  if (held != NULL && held->epoch != call->epoch)
    held = NULL;
  list_remove (&call->node);
  g_free (call);
  return held;
}

static void
record_key (unsigned partition, char key[KV_KEY_MAX])
{
  g_snprintf (key, KV_KEY_MAX, "suspect/%u", partition);
}

static void
read_done (void *data, const struct kv_reply *reply)
{
  struct held *held = call_end (data);
  bool found;

  if (held == NULL)
    return;
  held->reading = false;
  found = reply->status == STATUS_OK && reply->item_count > 0;
  if (!found && reply->status != STATUS_NOT_FOUND)
    {
      held->read_ns = clock_now (held->shard->clock) + read_again_ns;
      return;
    }
  held->known = true;
  held->revision = found ? reply->items[0].revision : 0;
  if (held->owner.loaded)
    suspect_owner_persisted (&held->owner, held->failed);
  else if (suspect_owner_load (&held->owner,
                               found ? reply->items[0].value : NULL)
           != STATUS_OK)
    {
      /* Nothing is granted on a record that can't be read. */
      held->known = false;
      held->read_ns = clock_now (held->shard->clock) + read_again_ns;
    }
}

static void
record_read (struct held *held)
{
  char key[KV_KEY_MAX];

  record_key (held->partition, key);
  held->reading = true;
  held->shard->kv->ops->get (held->shard->kv, key, read_done,
                             call_make (held));
}

/* After a failure only a fresh read tells the record's revision; a write that
 * comes late can then not overwrite a newer one. */
static void
write_done (void *data, const struct kv_reply *reply)
{
  struct held *held = call_end (data);

  if (held == NULL)
    return;
  if (reply->status == STATUS_OK)
    {
      held->revision = reply->revision;
      suspect_owner_persisted (&held->owner, STATUS_OK);
      return;
    }
  held->known = false;
  held->failed = reply->status;
  if (reply->status != STATUS_CANCELLED)
    record_read (held);
}

static void
owner_persist (void *data, const char *text)
{
  struct held *held = data;
  const struct suspect_shard *shard = held->shard;
  char key[KV_KEY_MAX];
  char owner_key[KV_KEY_MAX];
  struct kv_compare compares[2] = { { .key = owner_key }, { .key = key } };
  const struct kv_write write = { .key = key, .value = text };
  const struct kv_txn txn = { compares, 2, &write, 1 };

  assert (held->known);
  record_key (held->partition, key);
  compares[1].revision = held->revision;
  if (!shard->ops->holds (shard->data, held->partition, owner_key,
                          &compares[0].revision))
    {
      held->known = false;
      held->failed = STATUS_STALE;
      held->read_ns = clock_now (shard->clock) + read_again_ns;
      return;
    }
  shard->kv->ops->txn (shard->kv, &txn, write_done, call_make (held));
}

static void
owner_send (void *data, uint64_t gateway,
            const struct suspect_message *message)
{
  const struct held *held = data;

  held->shard->ops->send (held->shard->data, gateway, message);
}

static const struct suspect_owner_ops owner_ops
    = { owner_send, owner_persist };

static void
held_free (gpointer pointer)
{
  struct held *held = pointer;

  suspect_owner_finish (&held->owner);
  g_free (held);
}

void
suspect_shard_init (struct suspect_shard *shard,
                    const struct suspect_owner_settings *settings,
                    struct kv *kv, const struct clock *clock,
                    const struct suspect_shard_ops *ops, void *data)
{
  *shard = (struct suspect_shard){
    .kv = kv, .clock = clock, .ops = ops, .data = data, .settings = *settings
  };
  list_init (&shard->calls);
  shard->partitions = g_hash_table_new_full (NULL, NULL, NULL, held_free);
}

void
suspect_shard_finish (struct suspect_shard *shard)
{
  struct list *at = shard->calls.next;

  while (at != &shard->calls)
    {
      struct call *call = LIST_ENTRY (at, struct call, node);

      at = at->next;
      g_free (call);
    }
  g_hash_table_destroy (shard->partitions);
}

void
suspect_shard_gained (struct suspect_shard *shard, unsigned partition)
{
  struct held *held = g_new0 (struct held, 1);

  held->shard = shard;
  held->partition = partition;
  held->epoch = ++shard->epoch;
  suspect_owner_init (&held->owner, &shard->settings, shard->clock, &owner_ops,
                      held);
  g_hash_table_replace (shard->partitions, GUINT_TO_POINTER (partition + 1),
                        held);
  record_read (held);
}

void
suspect_shard_lost (struct suspect_shard *shard, unsigned partition)
{
  g_hash_table_remove (shard->partitions, GUINT_TO_POINTER (partition + 1));
}

enum status
suspect_shard_receive (struct suspect_shard *shard, unsigned partition,
                       const struct suspect_message *message)
{
  struct held *held = held_find (shard, partition);
  char key[KV_KEY_MAX];
  uint64_t revision;

  if (held == NULL
      || !shard->ops->holds (shard->data, partition, key, &revision))
    return STATUS_STALE;
  suspect_owner_receive (&held->owner, message);
  return STATUS_OK;
}

void
suspect_shard_gateway_lost (struct suspect_shard *shard, uint64_t gateway)
{
  GHashTableIter at;
  gpointer value;

  g_hash_table_iter_init (&at, shard->partitions);
  while (g_hash_table_iter_next (&at, NULL, &value))
    suspect_owner_gateway_lost (&((struct held *)value)->owner, gateway);
}

void
suspect_shard_tick (struct suspect_shard *shard)
{
  int64_t now = clock_now (shard->clock);
  GHashTableIter at;
  gpointer value;

  g_hash_table_iter_init (&at, shard->partitions);
  while (g_hash_table_iter_next (&at, NULL, &value))
    {
      struct held *held = value;

      if (!held->known && !held->reading && held->read_ns <= now)
        record_read (held);
      suspect_owner_tick (&held->owner);
    }
}

int64_t
suspect_shard_next (const struct suspect_shard *shard)
{
  int64_t next = CLOCK_NEVER;
  GHashTableIter at;
  gpointer value;

  g_hash_table_iter_init (&at, shard->partitions);
  while (g_hash_table_iter_next (&at, NULL, &value))
    {
      const struct held *held = value;

      next = MIN (next, suspect_owner_next (&held->owner));
      if (!held->known && !held->reading)
        next = MIN (next, held->read_ns);
    }
  return next;
}
