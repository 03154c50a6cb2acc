#include "poisoncount.h"

#include <string.h>
#include <xxhash.h>

enum
{
  /* Number of crashed servers at which a request is blocked. */
  CRASHES_MAX = 2,
  /* Keys expire 60 to 120 s after they are written, since callers repeat a
   * request within their session. */
  LEASE_S = 120,
  WRITES_MAX = 32, /* Maximum number of keys written in one transaction. */
  /* Maximum number of cleared fingerprints that are kept. All are removed
   * when this number is reached. */
  CLEARED_MAX = 8192
};

void
poisoncount_init (struct poisoncount *poisoncount, struct kv *kv,
                  const struct clock *clock, const char *prefix)
{
  memset (poisoncount, 0, sizeof *poisoncount);
  poisoncount->kv = kv;
  poisoncount->clock = clock;
  poisoncount->prefix = prefix;
  poisoncount->pending_keys = g_ptr_array_new_with_free_func (g_free);
  poisoncount->crash_counts
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  poisoncount->counted_keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  poisoncount->cleared
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

void
poisoncount_finish (struct poisoncount *poisoncount)
{
  g_ptr_array_free (poisoncount->pending_keys, TRUE);
  g_hash_table_destroy (poisoncount->crash_counts);
  g_hash_table_destroy (poisoncount->counted_keys);
  g_hash_table_destroy (poisoncount->cleared);
}

uint64_t
poisoncount_fingerprint (const char *organisation, const char *target,
                         const void *body, size_t size)
{
  XXH64_hash_t hash = XXH64 (organisation, strlen (organisation), 0);

  hash = XXH64 (target, strlen (target), hash);
  return XXH64 (body, size, hash);
}

/* A key consists of the prefix, the fingerprint in 16 hexadecimal digits, a
 * slash and the server. */
static uint64_t
key_fingerprint (const struct poisoncount *poisoncount, const char *key)
{
  return g_ascii_strtoull (key + strlen (poisoncount->prefix), NULL, 16);
}

static void
crash_count_add (struct poisoncount *poisoncount, uint64_t fingerprint,
                 int amount)
{
  gpointer value
      = g_hash_table_lookup (poisoncount->crash_counts, &fingerprint);
  int count = GPOINTER_TO_INT (value) + amount;
  uint64_t *key;

  if (count <= 0)
    {
      g_hash_table_remove (poisoncount->crash_counts, &fingerprint);
      return;
    }
  key = g_new (uint64_t, 1);
  *key = fingerprint;
  g_hash_table_replace (poisoncount->crash_counts, key,
                        GINT_TO_POINTER (count));
}

void
poisoncount_key_put (struct poisoncount *poisoncount, const char *key)
{
  if (g_hash_table_add (poisoncount->counted_keys, g_strdup (key)))
    crash_count_add (poisoncount, key_fingerprint (poisoncount, key), 1);
}

void
poisoncount_key_removed (struct poisoncount *poisoncount, const char *key)
{
  if (g_hash_table_remove (poisoncount->counted_keys, key))
    crash_count_add (poisoncount, key_fingerprint (poisoncount, key), -1);
}

void
poisoncount_report_crash (struct poisoncount *poisoncount,
                          uint64_t fingerprint, const char *server)
{
  char *key;

  if (g_hash_table_contains (poisoncount->cleared, &fingerprint))
    return;
  key = g_strdup_printf ("%s%016" G_GINT64_MODIFIER "x/%s",
                         poisoncount->prefix, fingerprint, server);

  poisoncount_key_put (poisoncount, key);
  g_ptr_array_add (poisoncount->pending_keys, key);
}

void
poisoncount_clear (struct poisoncount *poisoncount, uint64_t fingerprint)
{
  uint64_t *key;

  if (g_hash_table_contains (poisoncount->cleared, &fingerprint))
    return;
  if (g_hash_table_size (poisoncount->cleared) >= CLEARED_MAX)
    g_hash_table_remove_all (poisoncount->cleared);
  key = g_new (uint64_t, 1);
  *key = fingerprint;
  g_hash_table_add (poisoncount->cleared, key);
}

unsigned
poisoncount_crashes (const struct poisoncount *poisoncount,
                     uint64_t fingerprint)
{
  return GPOINTER_TO_UINT (
      g_hash_table_lookup (poisoncount->crash_counts, &fingerprint));
}

bool
poisoncount_is_blocked (const struct poisoncount *poisoncount,
                        uint64_t fingerprint)
{
  if (g_hash_table_contains (poisoncount->cleared, &fingerprint))
    return false;
  return poisoncount_crashes (poisoncount, fingerprint) >= CRASHES_MAX;
}

static void
lease_granted (void *data, const struct kv_reply *reply)
{
  struct poisoncount *poisoncount = data;

  poisoncount->lease_requested = false;
  if (reply->status != STATUS_OK)
    return;
  poisoncount->lease_id = reply->lease;
  poisoncount->lease_granted_ns = clock_now (poisoncount->clock);
}

static void
keys_written (void *data, const struct kv_reply *reply)
{
  struct poisoncount *poisoncount = data;

  /* The lease has expired and the keys were not written. This host still
   * counts these crashes, but other hosts learn only of later ones. */
  if (reply->status == STATUS_NOT_FOUND)
    poisoncount->lease_id = 0;
}

static void
pending_keys_write (struct poisoncount *poisoncount)
{
  struct kv_write writes[WRITES_MAX];
  size_t count = MIN (poisoncount->pending_keys->len, (guint)WRITES_MAX);
  struct kv_txn txn = { .writes = writes, .write_count = count };

  for (size_t i = 0; i < count; i++)
    writes[i] = (struct kv_write){ poisoncount->pending_keys->pdata[i], "1",
                                   poisoncount->lease_id };
  poisoncount->kv->ops->txn (poisoncount->kv, &txn, keys_written, poisoncount);
  g_ptr_array_remove_range (poisoncount->pending_keys, 0, (guint)count);
}

void
poisoncount_tick (struct poisoncount *poisoncount)
{
  int64_t age = clock_now (poisoncount->clock) - poisoncount->lease_granted_ns;

  if (poisoncount->pending_keys->len == 0 || poisoncount->lease_requested)
    return;
  /* A lease gets no new keys in its second half, so that each key exists for
   * at least half the duration of the lease. */
  if (poisoncount->lease_id != 0 && age < LEASE_S * NS_PER_S / 2)
    {
      pending_keys_write (poisoncount);
      return;
    }
  poisoncount->lease_requested = true;
  poisoncount->kv->ops->lease_grant (poisoncount->kv, LEASE_S * NS_PER_S,
                                     lease_granted, poisoncount);
}
