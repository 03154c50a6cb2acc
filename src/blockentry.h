#ifndef BLOCKENTRY_H
#define BLOCKENTRY_H

#include "block.h"
#include "clock.h"
#include "list.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * A bounded table of blocks with their id, their cache scope, and the engines
 * and stores that may have a copy. When the table is full, the least recently
 * used entry without store copies is evicted.
 */

enum
{
  /** Maximum number of hints, each for one engine, in an entry. */
  BLOCKENTRY_HINTS_MAX = 4
};

struct cachehint_engine;

/** Unconfirmed information that an engine caches a block, from the engine's
 * cache events or from a request sent to it. */
struct blockentry_hint
{
  struct cachehint_engine *engine;
  int64_t seen_ns; /**< Time at which the hint was last set. */
  uint32_t epoch;  /**< Epoch of the engine when the hint was set; the hint is
                      void once the engine's epoch differs. */
  bool expected; /**< Whether a request with the block was sent and the engine
                    has not confirmed the block yet. */
};

/** A cache scope, which is shared by all entries in it. */
struct blockentry_scope
{
  struct block_scope scope;
  size_t entry_count;
};

struct blockentry
{
  struct block_id id;
  struct blockentry_scope *scope;
  struct list node;   /**< Node in the table's entries_without_copies or
                         entries_with_copies. */
  struct list copies; /**< List of struct blockcopy. */
  struct blockentry_hint hints[BLOCKENTRY_HINTS_MAX];
  int64_t last_used_ns; /**< Time of the last request with this block, or 0 if
                           unknown. */
  /** Number of the kind of the last request with this block. */
  uint32_t kind;
  /** Index of the block in the prompt of the last request. */
  uint16_t position;
  uint8_t hint_count;
  bool hints_overflow; /**< Whether a valid hint was replaced because hints was
                          full. */
};

struct blockentry_table
{
  GHashTable *entries;
  GHashTable *scopes;
  struct list entries_without_copies; /**< Entries without store copies, the
                                         least recently used first. */
  struct list entries_with_copies;    /**< Entries with store copies. */
  size_t entries_max;                 /**< Maximum number of entries. */
  uint64_t scope_conflict_count; /**< Number of lookups of an id whose entry
                                    has another scope. */
  /** Number of entries that were not added because the table is full and all
   * entries have store copies. */
  uint64_t refused_count;
};

void blockentry_table_init (struct blockentry_table *table, size_t max);
void blockentry_table_finish (struct blockentry_table *table);

/** Find the entry of ID in SCOPE.
 * @return NULL if there is none or the entry of ID has another scope. */
struct blockentry *blockentry_find (struct blockentry_table *table,
                                    const struct block_scope *scope,
                                    const struct block_id *id);

/** Find the entry of ID in any scope, for events that carry no scope.
 * @return NULL if there is none. */
struct blockentry *blockentry_find_id (const struct blockentry_table *table,
                                       const struct block_id *id);

/** Find the entry of ID in SCOPE, or add it if ID has no entry.
 * @return NULL if the table is full or the entry of ID has another scope. */
struct blockentry *blockentry_find_or_create (struct blockentry_table *table,
                                              const struct block_scope *scope,
                                              const struct block_id *id);

/** Make ENTRY the most recently used one: move it to the end of
 * entries_with_copies or entries_without_copies. */
void blockentry_touch (struct blockentry_table *table,
                       struct blockentry *entry);

size_t blockentry_count (const struct blockentry_table *table);

#endif
