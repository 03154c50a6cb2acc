#include "poisoncount.h"

#include <string.h>
#include <xxhash.h>

enum
{
  /* Number of crashed servers at which a request is blocked. */
  CRASHES_MAX = 2,
  /* Maximum number of servers whose crashes are forgiven. All are removed when
   * this number is reached. */
  FORGIVEN_MAX = 4096,
  /* Time for which crashes of a server are forgiven, after which the keys of
   * the crash have expired. */
  FORGIVEN_S = 120,
  /* Maximum number of cleared fingerprints that are kept. All are removed
   * when this number is reached. */
  CLEARED_MAX = 8192
};

void
poisoncount_init (struct poisoncount *poisoncount, struct kv *kv,
                  const struct clock *clock, const char *prefix)
{
  memset (poisoncount, 0, sizeof *poisoncount);
  leasedkeys_init (&poisoncount->keys, kv, clock);
  poisoncount->prefix = prefix;
  poisoncount->crash_counts
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  poisoncount->counted_keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  poisoncount->forgiven
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  poisoncount->cleared
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

void
poisoncount_finish (struct poisoncount *poisoncount)
{
  leasedkeys_finish (&poisoncount->keys);
  g_hash_table_destroy (poisoncount->crash_counts);
  g_hash_table_destroy (poisoncount->counted_keys);
  g_hash_table_destroy (poisoncount->forgiven);
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

/* Return the server of KEY. */
static const char *
key_server (const struct poisoncount *poisoncount, const char *key)
{
  const char *slash = strchr (key + strlen (poisoncount->prefix), '/');

  return slash != NULL ? slash + 1 : "";
}

static bool
server_is_forgiven (const struct poisoncount *poisoncount, const char *server)
{
  const int64_t *until_ns
      = g_hash_table_lookup (poisoncount->forgiven, server);

  return until_ns != NULL && clock_now (poisoncount->keys.clock) < *until_ns;
}

void
poisoncount_key_put (struct poisoncount *poisoncount, const char *key)
{
  if (server_is_forgiven (poisoncount, key_server (poisoncount, key)))
    return;
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
  leasedkeys_add (&poisoncount->keys, key, "1");
  g_free (key);
}

void
poisoncount_forgive_server (struct poisoncount *poisoncount,
                            const char *server)
{
  int64_t *until_ns = g_new (int64_t, 1);
  GHashTableIter iter;
  gpointer key;

  *until_ns = clock_now (poisoncount->keys.clock) + FORGIVEN_S * NS_PER_S;
  if (g_hash_table_size (poisoncount->forgiven) >= FORGIVEN_MAX)
    g_hash_table_remove_all (poisoncount->forgiven);
  g_hash_table_replace (poisoncount->forgiven, g_strdup (server), until_ns);
  g_hash_table_iter_init (&iter, poisoncount->counted_keys);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      if (strcmp (key_server (poisoncount, key), server) != 0)
        continue;
      crash_count_add (poisoncount, key_fingerprint (poisoncount, key), -1);
      g_hash_table_iter_remove (&iter);
    }
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

void
poisoncount_era_changed (struct poisoncount *poisoncount)
{
  GHashTableIter iter;
  gpointer key;

  leasedkeys_era_changed (&poisoncount->keys);
  g_hash_table_iter_init (&iter, poisoncount->counted_keys);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    leasedkeys_add (&poisoncount->keys, key, "1");
}

void
poisoncount_tick (struct poisoncount *poisoncount)
{
  leasedkeys_tick (&poisoncount->keys);
}
