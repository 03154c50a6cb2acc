#include "roster.h"
#include "owner.h"
#include "rendezvous.h"

#include <assert.h>
#include <glib.h>
#include <string.h>
#include <xxhash.h>

static bool
is_live_shard (const struct roster_entry *entry)
{
  return entry->role == ROLE_SHARD && entry->alive && !entry->leaving;
}

void
roster_init (struct roster *roster)
{
  memset (roster, 0, sizeof *roster);
  roster->by_id
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  roster->by_node
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

void
roster_finish (struct roster *roster)
{
  g_hash_table_unref (roster->by_id);
  g_hash_table_unref (roster->by_node);
  g_free (roster->serving_shard_indices);
  g_free (roster->entries);
  memset (roster, 0, sizeof *roster);
}

uint64_t
roster_id_from_name (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

/* Returns the entry whose index TABLE contains for KEY, or NULL if there is
 * none. */
static struct roster_entry *
find_in_table (const struct roster *roster, GHashTable *table, uint64_t key)
{
  gpointer index;

  if (!g_hash_table_lookup_extended (table, &key, NULL, &index))
    return NULL;
  return &roster->entries[GPOINTER_TO_SIZE (index)];
}

static void
set_index (GHashTable *table, uint64_t key, size_t index)
{
  g_hash_table_replace (table, g_memdup2 (&key, sizeof key),
                        GSIZE_TO_POINTER (index));
}

/* Rebuild the list of live shards after an entry changed. */
static void
rebuild_shards (struct roster *roster)
{
  roster->change_count++;
  roster->serving_shard_count = 0;
  g_hash_table_remove_all (roster->by_node);
  for (size_t i = 0; i < roster->count; i++)
    {
      const struct roster_entry *entry = &roster->entries[i];

      if (!is_live_shard (entry))
        continue;
      roster->serving_shard_indices[roster->serving_shard_count++] = i;
      set_index (roster->by_node, roster_node_id (entry), i);
    }
}

struct roster_entry *
roster_find (const struct roster *roster, uint64_t id)
{
  return find_in_table (roster, roster->by_id, id);
}

/* Returns a new entry or, if the roster is full, the entry of a process that
 * is not alive; NULL if all processes are alive. */
static struct roster_entry *
allocate_entry (struct roster *roster)
{
  if (roster->count < ROSTER_ENTRIES_MAX)
    {
      roster->count++;
      roster->entries
          = g_renew (struct roster_entry, roster->entries, roster->count);
      roster->serving_shard_indices
          = g_renew (size_t, roster->serving_shard_indices, roster->count);
      return &roster->entries[roster->count - 1];
    }
  assert (roster->entries != NULL);
  for (size_t i = 0; i < roster->count; i++)
    if (!roster->entries[i].alive)
      {
        g_hash_table_remove (roster->by_id, &roster->entries[i].id);
        return &roster->entries[i];
      }
  return NULL;
}

static struct roster_entry *
add_entry (struct roster *roster, uint64_t id)
{
  struct roster_entry *entry = allocate_entry (roster);

  if (entry == NULL)
    return NULL;
  memset (entry, 0, sizeof *entry);
  set_index (roster->by_id, id, (size_t)(entry - roster->entries));
  return entry;
}

enum status
roster_update (struct roster *roster, const struct roster_entry *entry)
{
  struct roster_entry *existing = roster_find (roster, entry->id);
  uint64_t revision = entry->config_revision;
  bool changed;

  if (existing == NULL)
    existing = add_entry (roster, entry->id);
  else if (entry->incarnation < existing->incarnation)
    return STATUS_STALE;
  else if (entry->incarnation == existing->incarnation
           && existing->config_revision > revision)
    revision = existing->config_revision;
  if (existing == NULL)
    return STATUS_LIMITED;
  changed = existing->alive != entry->alive
            || existing->leaving != entry->leaving
            || existing->incarnation != entry->incarnation;
  *existing = *entry;
  existing->config_revision = revision;
  if (changed)
    rebuild_shards (roster);
  return STATUS_OK;
}

void
roster_set_alive (struct roster *roster, uint64_t id, bool alive)
{
  struct roster_entry *entry = roster_find (roster, id);

  if (entry == NULL || entry->alive == alive)
    return;
  entry->alive = alive;
  rebuild_shards (roster);
}

uint64_t
roster_node_id (const struct roster_entry *entry)
{
  return XXH3_64bits_withSeed (&entry->id, sizeof entry->id,
                               entry->incarnation)
         | 1;
}

size_t
roster_shard_node_ids (const struct roster *roster, uint64_t *nodes,
                       size_t max)
{
  size_t count = 0;

  for (size_t i = 0; i < roster->serving_shard_count && count < max; i++)
    nodes[count++]
        = roster_node_id (&roster->entries[roster->serving_shard_indices[i]]);
  return count;
}

const struct roster_entry *
roster_find_node (const struct roster *roster, uint64_t node)
{
  return find_in_table (roster, roster->by_node, node);
}

const struct roster_entry *
roster_preferred_owner (const struct roster *roster, unsigned partition)
{
  uint64_t *nodes = g_new (uint64_t, roster->count + 1);
  size_t count = roster_shard_node_ids (roster, nodes, roster->count);
  int index = owner_preferred_index (nodes, count, partition);
  const struct roster_entry *entry = NULL;

  if (index >= 0)
    entry = roster_find_node (roster, nodes[index]);
  g_free (nodes);
  return entry;
}

const struct roster_entry *
roster_find_incarnation (const struct roster *roster, uint64_t incarnation)
{
  for (size_t i = 0; i < roster->count; i++)
    if (roster->entries[i].incarnation == incarnation)
      return &roster->entries[i];
  return NULL;
}

const struct roster_entry *
roster_find_shard_for_key (const struct roster *roster, const void *key,
                           size_t size)
{
  const struct roster_entry *best = NULL;
  uint64_t best_weight = 0;

  for (size_t i = 0; i < roster->serving_shard_count; i++)
    {
      const struct roster_entry *entry
          = &roster->entries[roster->serving_shard_indices[i]];
      uint64_t weight = rendezvous_weight (entry->id, key, size);

      if (best == NULL || weight > best_weight)
        {
          best = entry;
          best_weight = weight;
        }
    }
  return best;
}
