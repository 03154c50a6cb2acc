#include "blockentry.h"

#include <string.h>

static struct blockentry_scope *
scope_ref (struct blockentry_table *table, const struct block_scope *scope)
{
  struct blockentry_scope *shared = g_hash_table_lookup (table->scopes, scope);

  if (shared == NULL)
    {
      shared = g_new0 (struct blockentry_scope, 1);
      shared->scope = *scope;
      g_hash_table_insert (table->scopes, &shared->scope, shared);
    }
  shared->entry_count++;
  return shared;
}

static void
scope_unref (struct blockentry_table *table, struct blockentry_scope *shared)
{
  shared->entry_count--;
  if (shared->entry_count == 0)
    g_hash_table_remove (table->scopes, &shared->scope);
}

static void
entry_remove (struct blockentry_table *table, struct blockentry *entry)
{
  list_remove (&entry->node);
  scope_unref (table, entry->scope);
  g_hash_table_remove (table->entries, &entry->id);
}

static bool
ensure_capacity (struct blockentry_table *table)
{
  if (blockentry_count (table) < table->entries_max)
    return true;
  if (list_empty (&table->entries_without_copies))
    {
      table->refused_count++;
      return false;
    }
  entry_remove (table, LIST_ENTRY (table->entries_without_copies.next,
                                   struct blockentry, node));
  return true;
}

void
blockentry_table_init (struct blockentry_table *table, size_t max)
{
  memset (table, 0, sizeof *table);
  table->entries
      = g_hash_table_new_full (block_id_hash, block_id_equal, NULL, g_free);
  table->scopes = g_hash_table_new_full (block_scope_hash, block_scope_equal,
                                         NULL, g_free);
  list_init (&table->entries_without_copies);
  list_init (&table->entries_with_copies);
  table->entries_max = max;
}

void
blockentry_table_finish (struct blockentry_table *table)
{
  g_hash_table_destroy (table->entries);
  g_hash_table_destroy (table->scopes);
}

struct blockentry *
blockentry_find_id (const struct blockentry_table *table,
                    const struct block_id *id)
{
  return g_hash_table_lookup (table->entries, id);
}

struct blockentry *
blockentry_find (struct blockentry_table *table,
                 const struct block_scope *scope, const struct block_id *id)
{
  struct blockentry *entry = blockentry_find_id (table, id);

  if (entry == NULL)
    return NULL;
  if (!block_scope_equal (&entry->scope->scope, scope))
    {
      table->scope_conflict_count++;
      return NULL;
    }
  return entry;
}

struct blockentry *
blockentry_find_or_create (struct blockentry_table *table,
                           const struct block_scope *scope,
                           const struct block_id *id)
{
  struct blockentry *entry = blockentry_find_id (table, id);

  if (entry != NULL)
    return blockentry_find (table, scope, id);
  if (!ensure_capacity (table))
    return NULL;
  entry = g_new0 (struct blockentry, 1);
  entry->id = *id;
  entry->scope = scope_ref (table, scope);
  list_init (&entry->copies);
  list_append (&table->entries_without_copies, &entry->node);
  g_hash_table_insert (table->entries, &entry->id, entry);
  return entry;
}

void
blockentry_touch (struct blockentry_table *table, struct blockentry *entry)
{
  list_remove (&entry->node);
  list_append (list_empty (&entry->copies) ? &table->entries_without_copies
                                           : &table->entries_with_copies,
               &entry->node);
}

size_t
blockentry_count (const struct blockentry_table *table)
{
  return g_hash_table_size (table->entries);
}
