#include "leasedkeys.h"

#include <string.h>

enum
{
  LEASE_S = 120,
  WRITES_MAX = 32 /* Maximum number of keys written in one transaction. */
};

struct pending_write
{
  char *key;
  char *value;
};

static void
pending_write_free (void *data)
{
  struct pending_write *write = data;

  g_free (write->key);
  g_free (write->value);
  g_free (write);
}

void
leasedkeys_init (struct leasedkeys *keys, struct kv *kv,
                 const struct clock *clock)
{
  memset (keys, 0, sizeof *keys);
  keys->kv = kv;
  keys->clock = clock;
  keys->pending = g_ptr_array_new_with_free_func (pending_write_free);
}

void
leasedkeys_finish (struct leasedkeys *keys)
{
  g_ptr_array_free (keys->pending, TRUE);
}

void
leasedkeys_add (struct leasedkeys *keys, const char *key, const char *value)
{
  struct pending_write *write = g_new0 (struct pending_write, 1);

  write->key = g_strdup (key);
  write->value = g_strdup (value);
  g_ptr_array_add (keys->pending, write);
}

static void
lease_granted (void *data, const struct kv_reply *reply)
{
  struct leasedkeys *keys = data;

  keys->lease_requested = false;
  if (reply->status != STATUS_OK)
    return;
  keys->lease_id = reply->lease;
  keys->lease_granted_ns = clock_now (keys->clock);
}

static void
keys_written (void *data, const struct kv_reply *reply)
{
  struct leasedkeys *keys = data;

  /* The lease has expired and the keys were not written. */
  if (reply->status == STATUS_NOT_FOUND)
    keys->lease_id = 0;
}

static void
pending_send (struct leasedkeys *keys)
{
  struct kv_write writes[WRITES_MAX];
  size_t count = MIN (keys->pending->len, (guint)WRITES_MAX);
  struct kv_txn txn = { .writes = writes, .write_count = count };

  for (size_t i = 0; i < count; i++)
    {
      const struct pending_write *write = keys->pending->pdata[i];

      writes[i]
          = (struct kv_write){ write->key, write->value, keys->lease_id };
    }
  keys->kv->ops->txn (keys->kv, &txn, keys_written, keys);
  g_ptr_array_remove_range (keys->pending, 0, (guint)count);
}

void
leasedkeys_tick (struct leasedkeys *keys)
{
  int64_t age = clock_now (keys->clock) - keys->lease_granted_ns;

  if (keys->pending->len == 0 || keys->lease_requested)
    return;
  /* A lease gets no new keys in its second half, so that each key exists for
   * at least half the duration of the lease. */
  if (keys->lease_id != 0 && age < LEASE_S * NS_PER_S / 2)
    {
      pending_send (keys);
      return;
    }
  keys->lease_requested = true;
  keys->kv->ops->lease_grant (keys->kv, LEASE_S * NS_PER_S, lease_granted,
                              keys);
}
