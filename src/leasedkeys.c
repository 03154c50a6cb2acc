#include "leasedkeys.h"

#include <string.h>

enum
{
  LEASE_S = 120,
  WRITES_MAX = 32, /* Maximum number of keys written in one transaction. */
  /* Maximum number of pending writes; the oldest ones are dropped. */
  PENDING_MAX = 1024,
  RETRY_MS = 250 /* Time from a failed call to the next one. */
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

/* Whether the last pending write of KEY writes VALUE. */
static bool
is_pending (const struct leasedkeys *keys, const char *key, const char *value)
{
  for (guint i = keys->pending->len; i > 0; i--)
    {
      const struct pending_write *write = keys->pending->pdata[i - 1];

      if (strcmp (write->key, key) == 0)
        return g_strcmp0 (write->value, value) == 0;
    }
  return false;
}

void
leasedkeys_add (struct leasedkeys *keys, const char *key, const char *value)
{
  struct pending_write *write;

  /* A transaction should not write a key twice. */
  if (is_pending (keys, key, value))
    return;
  if (keys->pending->len >= PENDING_MAX)
    g_ptr_array_remove_index (keys->pending, keys->sent_count);
  write = g_new0 (struct pending_write, 1);
  write->key = g_strdup (key);
  write->value = g_strdup (value);
  g_ptr_array_add (keys->pending, write);
}

static void
call_failed (struct leasedkeys *keys)
{
  keys->next_call_ns = clock_now (keys->clock) + RETRY_MS * NS_PER_MS;
}

static void
lease_granted (void *data, const struct kv_reply *reply)
{
  struct leasedkeys *keys = data;

  keys->lease_requested = false;
  if (reply->status != STATUS_OK)
    {
      call_failed (keys);
      return;
    }
  keys->lease_id = reply->lease;
  keys->lease_granted_ns = clock_now (keys->clock);
}

static void
keys_written (void *data, const struct kv_reply *reply)
{
  struct leasedkeys *keys = data;
  unsigned count = keys->sent_count;

  keys->sent_count = 0;
  switch (reply->status)
    {
    case STATUS_NOT_FOUND:
    case STATUS_CONFLICT:
      /* Without comparisons, only an expired lease is a conflict. */
      keys->lease_id = 0;
      call_failed (keys);
      break;
    case STATUS_UNAVAILABLE:
    case STATUS_UNKNOWN:
    case STATUS_LIMITED:
      call_failed (keys);
      break;
    default:
      g_ptr_array_remove_range (keys->pending, 0, count);
    }
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
          = (struct kv_write){ write->key, write->value,
                               write->value != NULL ? keys->lease_id : 0 };
    }
  keys->sent_count = (unsigned)count;
  keys->kv->ops->txn (keys->kv, &txn, keys_written, keys);
}

void
leasedkeys_era_changed (struct leasedkeys *keys)
{
  keys->lease_id = 0;
}

void
leasedkeys_tick (struct leasedkeys *keys)
{
  int64_t now = clock_now (keys->clock);
  int64_t age = now - keys->lease_granted_ns;

  if (keys->pending->len == 0 || keys->lease_requested || keys->sent_count > 0
      || now < keys->next_call_ns)
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
