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
 * The bounded table of known blocks: id, scope, and where copies may be. An
 * entry without store copies is dropped when room is needed, the least
 * recently used first.
 */

enum
{
  BLOCKENTRY_HINTS_MAX = 4 /**< Engines remembered for one block. */
};

struct hint_engine;

/** One engine's copy, as its events or our own dispatch tell. */
struct blockentry_hint
{
  struct hint_engine *engine;
  int64_t seen_ns;
  uint32_t epoch; /**< of the engine; another one: void */
  bool expected;  /**< Only a request was sent; no event yet. */
};

/** A scope that entries share. */
struct blockentry_scope
{
  struct block_scope scope;
  size_t entries;
};

struct blockentry
{
  struct block_id id;
  struct blockentry_scope *scope;
  struct list node;   /**< on the table's unstored or stored list */
  struct list copies; /**< of struct copy */
  struct blockentry_hint hints[BLOCKENTRY_HINTS_MAX];
  int64_t used_ns; /**< of the last request that named it; 0: unknown */
  uint32_t kind;   /**< of that request; the caller's number */
  uint16_t position;
  uint8_t hint_count;
  bool hints_overflow; /**< A hint was dropped for lack of room. */
};

struct blockentry_table
{
  GHashTable *entries;
  GHashTable *scopes;
  struct list unstored; /**< least recently used first */
  struct list stored;
  size_t max;
  uint64_t collisions; /**< Same id, other scope: answered as unknown. */
  uint64_t rejected;   /**< No room: every entry has store copies. */
};

void blockentry_table_init (struct blockentry_table *table, size_t max);
void blockentry_table_finish (struct blockentry_table *table);

/** The entry of ID in SCOPE, or NULL. An entry of the same id in another
 * scope counts as unknown. */
struct blockentry *blockentry_find (struct blockentry_table *table,
                                    const struct block_scope *scope,
                                    const struct block_id *id);

/** The entry of ID whatever its scope, for events that carry no scope. */
struct blockentry *blockentry_find_id (const struct blockentry_table *table,
                                       const struct block_id *id);

/** As blockentry_find, and make it if there is none.
 * @return NULL if there is no room or the id belongs to another scope. */
struct blockentry *blockentry_make (struct blockentry_table *table,
                                    const struct block_scope *scope,
                                    const struct block_id *id);

/** Move ENTRY to the end of the list that fits whether it has copies. */
void blockentry_touch (struct blockentry_table *table,
                       struct blockentry *entry);

size_t blockentry_count (const struct blockentry_table *table);

#endif
