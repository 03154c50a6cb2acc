#ifndef COPY_H
#define COPY_H

#include "blockentry.h"
#include "clock.h"
#include "list.h"
#include "status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * Copies of blocks on store hosts and their life: asked, reserved (slot and
 * generation), written, sealed (length and checksum), condemned, freed. Only
 * sealed copies are handed out, with a read lease that is shorter than the
 * wait between condemned and freed. One copy of a block per store.
 */

enum copy_state
{
  COPY_ASKED,     /**< The store was asked for a slot. */
  COPY_RESERVED,  /**< Slot and generation are known. */
  COPY_WRITTEN,   /**< The writer said length and checksum. */
  COPY_SEALED,    /**< The store said the same: readable. */
  COPY_CONDEMNED, /**< Never handed out again; leases run out. */
  COPY_FREED      /**< Remembered, so that an old listing can't revive it. */
};

enum copy_tier
{
  COPY_MEMORY,
  COPY_DISK,
  COPY_TIERS
};

struct copy_settings
{
  int64_t read_lease_ns;    /**< from lookup to the last byte read */
  int64_t free_wait_ns;     /**< from condemned to freed; the longer one */
  int64_t write_timeout_ns; /**< from asked to sealed */
  int64_t full_ns;          /**< no reservations after "full" */
};

extern const struct copy_settings copy_settings_default;

struct copy_ops
{
  /** Send the store the order to free a slot. A lost order is harmless: the
   * next listing shows the slot again. */
  void (*free_slot) (void *data, uint64_t store, uint64_t slot,
                     uint64_t generation);
};

struct copy_store
{
  uint64_t id;
  uint32_t epoch; /**< Copies of an earlier one are void. */
  uint32_t pass;  /**< of the listing that is read */
  int64_t listing_ns;
  bool alive;
  bool listing;
  int64_t full_until_ns[COPY_TIERS];
  struct list sealed[COPY_TIERS]; /**< least recently used first */
};

struct copy
{
  struct blockentry *entry; /**< NULL once condemned */
  struct copy_store *store;
  uint64_t slot;
  uint64_t generation;
  uint64_t checksum;
  int64_t length;   /**< bytes */
  int64_t since_ns; /**< asked, condemned or freed */
  uint32_t epoch;
  uint32_t pass;
  uint8_t state;       /**< enum copy_state */
  uint8_t tier;        /**< enum copy_tier */
  struct list sibling; /**< on the entry's copies */
  struct list node;    /**< on the list of its state */
};

struct copy_table
{
  struct blockentry_table *entries;
  const struct clock *clock;
  struct copy_settings settings;
  const struct copy_ops *ops;
  void *data;
  GHashTable *stores;
  GHashTable *condemned; /**< by store, slot and generation */
  struct list writing;   /**< asked, reserved, written; oldest first */
  struct list ending;    /**< condemned and freed; oldest first */
  struct list lost;      /**< copies on stores that are gone */
  uint64_t mismatches;   /**< Length or checksum differed: condemned. */
};

/** Names one copy. */
struct copy_ref
{
  const struct block_scope *scope;
  struct block_id block;
  uint64_t store;
};

/** One line of a store's listing. */
struct copy_item
{
  uint64_t slot;
  uint64_t generation;
  struct block_id block;
  struct block_scope scope;
  uint16_t position;
  enum copy_tier tier;
  bool sealed;
  int64_t length;
  uint64_t checksum;
};

void copy_table_init (struct copy_table *table,
                      struct blockentry_table *entries,
                      const struct clock *clock,
                      const struct copy_settings *settings,
                      const struct copy_ops *ops, void *data);
void copy_table_finish (struct copy_table *table);

/** Begin a copy, before the store is asked for a slot.
 * @return STATUS_CONFLICT if there is one already or the id belongs to another
 * scope; STATUS_LIMITED if the store or the table is full; STATUS_UNAVAILABLE
 * for a store that is gone or not listed yet. */
enum status copy_reserve (struct copy_table *table, const struct copy_ref *ref,
                          enum copy_tier tier, int64_t length);

/** The store gave a slot. STATUS_NOT_FOUND: given up meanwhile; the slot is
 * freed. */
enum status copy_reserved (struct copy_table *table,
                           const struct copy_ref *ref, uint64_t slot,
                           uint64_t generation);

/** The store gave no slot; FULL if that was the reason. */
void copy_refused (struct copy_table *table, const struct copy_ref *ref,
                   bool full);

/** The writer's word. STATUS_STALE for another generation; STATUS_CORRUPT if
 * LENGTH is not the reserved one: condemned. */
enum status copy_written (struct copy_table *table, const struct copy_ref *ref,
                          uint64_t generation, int64_t length,
                          uint64_t checksum);

/** The store's word, after the writer's. Statuses as copy_written;
 * STATUS_CONFLICT if it is not written. */
enum status copy_sealed (struct copy_table *table, const struct copy_ref *ref,
                         uint64_t generation, int64_t length,
                         uint64_t checksum);

/** Never hand the copy out again: evicted, or a reader found it wrong.
 * GENERATION 0 means any. STATUS_STALE for another generation. */
enum status copy_condemn (struct copy_table *table, const struct copy_ref *ref,
                          uint64_t generation);

/** Whether COPY may be handed out now. */
bool copy_readable (const struct copy *copy);

/** COPY was handed out: it becomes the most recently used of its tier. */
void copy_touch (struct copy *copy);

/** Whether a copy exists or is being made on any store that is there. */
bool copy_held (struct copy_table *table, const struct block_scope *scope,
                const struct block_id *id);

/** Whether TIER of STORE may be asked for a slot now. */
bool copy_may_reserve (struct copy_table *table, uint64_t store,
                       enum copy_tier tier);

void copy_store_full (struct copy_table *table, uint64_t store,
                      enum copy_tier tier);

/** The store died: all its copies are void at once. */
void copy_store_gone (struct copy_table *table, uint64_t store);

/** A listing was asked for; what was sealed before and is not named until
 * copy_listing_end is dropped. */
void copy_listing_begin (struct copy_table *table, uint64_t store);
void copy_listing_item (struct copy_table *table, uint64_t store,
                        const struct copy_item *item);
void copy_listing_end (struct copy_table *table, uint64_t store);

/** The least recently used sealed copies of a tier, as candidates to evict.
 * @return their number, at most MAX. */
size_t copy_oldest (const struct copy_table *table, uint64_t store,
                    enum copy_tier tier, const struct copy **copies,
                    size_t max);

/** Free what was condemned long enough ago, give up late writers, drop a
 * bounded number of lost copies. */
void copy_tick (struct copy_table *table);
int64_t copy_next (const struct copy_table *table);

#endif
