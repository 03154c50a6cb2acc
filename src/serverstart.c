#include "serverstart.h"

#include <string.h>

enum
{
  /* Maximum number of starts; the oldest record is dropped first. It exceeds
   * the servers that leave in a day by far. */
  STARTS_MAX = 4096
};

static void
start_free (void *data)
{
  struct serverstart *start = data;

  g_free (start->service);
  g_free (start->address);
  g_free (start);
}

void
serverstart_table_init (struct serverstart_table *table)
{
  table->by_id
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, start_free);
}

void
serverstart_table_finish (struct serverstart_table *table)
{
  g_hash_table_destroy (table->by_id);
}

/* Whether START is the start KEY. If neither has a time, the address and the
 * service tell two starts apart. */
static bool
is_start (const struct serverstart *start, const struct serverstart_key *key)
{
  if (start->started_ms != 0 || key->started_ms != 0)
    return start->started_ms == key->started_ms;
  return strcmp (start->address, key->address) == 0
         && strcmp (start->service, key->service) == 0;
}

const struct serverstart *
serverstart_find (const struct serverstart_table *table,
                  const struct serverstart_key *key)
{
  const struct serverstart *start
      = g_hash_table_lookup (table->by_id, key->id);

  if (start == NULL)
    return NULL;
  return is_start (start, key) || key->started_ms < start->started_ms ? start
                                                                      : NULL;
}

static void
drop_oldest (struct serverstart_table *table)
{
  const char *oldest_id = NULL;
  int64_t oldest_ns = INT64_MAX;
  GHashTableIter iter;
  gpointer id;
  gpointer value;

  g_hash_table_iter_init (&iter, table->by_id);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const struct serverstart *start = value;

      if (start->recorded_ns >= oldest_ns)
        continue;
      oldest_ns = start->recorded_ns;
      oldest_id = id;
    }
  g_hash_table_remove (table->by_id, oldest_id);
}

struct serverstart *
serverstart_obtain (struct serverstart_table *table,
                    const struct serverstart_key *key, int64_t now_ns)
{
  struct serverstart *start = g_hash_table_lookup (table->by_id, key->id);

  if (start != NULL && is_start (start, key))
    return start;
  if (start != NULL && key->started_ms < start->started_ms)
    return NULL;
  if (start == NULL && g_hash_table_size (table->by_id) >= STARTS_MAX)
    drop_oldest (table);
  start = g_new0 (struct serverstart, 1);
  start->service = g_strdup (key->service);
  start->address = g_strdup (key->address);
  start->started_ms = key->started_ms;
  start->recorded_ns = now_ns;
  g_hash_table_replace (table->by_id, g_strdup (key->id), start);
  return start;
}
