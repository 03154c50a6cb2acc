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
 * Copies of blocks on store hosts and their life cycle, enum copy_state.
 * Lookups return only sealed copies, with a read lease that is shorter than
 * the delay between the states withdrawn and freed. A store has at most one
 * copy of a block.
 */

enum copy_state
{
  COPY_ASKED,     /**< A slot was requested from the store. */
  COPY_RESERVED,  /**< The store assigned a slot and its generation. */
  COPY_WRITTEN,   /**< The writer reported length and checksum. */
  COPY_SEALED,    /**< The store confirmed both; the copy is readable. */
  COPY_CONDEMNED, /**< Lookups no longer return the copy; read leases may not
                       have expired yet. */
  COPY_FREED      /**< The slot was freed; the record remains so that an old
                       listing can't add the copy again. */
};

enum copy_tier
{
  COPY_MEMORY,
  COPY_DISK,
  COPY_TIERS
};

struct copy_settings
{
  int64_t read_lease_ns; /**< Time from the lookup until the last byte has to
                              be read. */
  int64_t free_wait_ns;  /**< Time from COPY_CONDEMNED to COPY_FREED; longer
                              than the read lease. */
  int64_t write_timeout_ns; /**< Timeout from COPY_ASKED to COPY_SEALED. */
  int64_t full_ns;          /**< Time without reservations after a store
                                 reported that a tier is full. */
};

extern const struct copy_settings copy_settings_default;

struct copy_ops
{
  /** Order the store to free a slot. A lost order is harmless: the next
   * listing has the slot again. */
  void (*free_slot) (void *data, uint64_t store, uint64_t slot,
                     uint64_t generation);
};

struct copy_store
{
  uint64_t id;
  uint32_t epoch;     /**< Copies of an earlier epoch are void. */
  uint32_t pass;      /**< Number of the current listing. */
  int64_t listing_ns; /**< Start of the current listing. */
  bool alive;         /**< The store is up, and a listing was requested. */
  bool listing;       /**< A listing is being received. */
  int64_t full_until_ns[COPY_TIERS];
  struct list sealed[COPY_TIERS]; /**< The least recently used first. */
};

struct copy
{
  struct blockentry *entry; /**< NULL from COPY_CONDEMNED on. */
  struct copy_store *store;
  uint64_t slot;
  uint64_t generation;
  uint64_t checksum;
  int64_t length;      /**< Length in bytes. */
  int64_t since_ns;    /**< Time when the copy was last requested, withdrawn or
                            freed. */
  uint32_t epoch;      /**< Epoch of the store when the copy was added. */
  uint32_t pass;       /**< Last listing of the store that had the copy. */
  uint8_t state;       /**< enum copy_state */
  uint8_t tier;        /**< enum copy_tier */
  struct list sibling; /**< Link in the entry's list of copies. */
  struct list node;    /**< Link in the table's or store's list for the
                            state. */
};

struct copy_table
{
  struct blockentry_table *entries;
  const struct clock *clock;
  struct copy_settings settings;
  const struct copy_ops *ops;
  void *data;
  GHashTable *stores;
  GHashTable *condemned; /**< Set of the withdrawn and freed copies, by store,
                              slot and generation. */
  struct list writing;   /**< Copies in the states requested, reserved and
                            written;   the oldest first. */
  struct list ending;    /**< Copies in the states withdrawn and freed; the
                              oldest first. */
  struct list lost;      /**< Void copies, on stores that are down. */
  uint64_t mismatches;   /**< Copies withdrawn after reports of a different
                              length or checksum. */
};

/** Identifies one copy. */
struct copy_ref
{
  const struct block_scope *scope;
  struct block_id block;
  uint64_t store;
};

/** One copy in a store's listing. */
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

/** Add a copy, before a slot is requested from the store.
 * @return STATUS_CONFLICT if the store has a copy already or the entry of the
 * block has another scope; STATUS_LIMITED if the store or the table is full;
 * STATUS_UNAVAILABLE if the store is down or its first listing has not begun
 * yet. */
enum status copy_reserve (struct copy_table *table, const struct copy_ref *ref,
                          enum copy_tier tier, int64_t length);

/** Process the store's reply that assigns a slot.
 * @return STATUS_NOT_FOUND if no request for a slot is pending; the slot is
 * freed unless the copy has it already. */
enum status copy_reserved (struct copy_table *table,
                           const struct copy_ref *ref, uint64_t slot,
                           uint64_t generation);

/** Process the store's reply that refuses a slot. FULL says that the reason is
 * a full tier. */
void copy_refused (struct copy_table *table, const struct copy_ref *ref,
                   bool full);

/** Process the writer's report that it wrote the copy.
 * @return STATUS_NOT_FOUND if there is no copy or it has no slot; STATUS_STALE
 * for another generation; STATUS_CORRUPT if LENGTH is not the reserved one or
 * CHECKSUM differs from an earlier report, which withdraws the copy. */
enum status copy_written (struct copy_table *table, const struct copy_ref *ref,
                          uint64_t generation, int64_t length,
                          uint64_t checksum);

/** Process the store's report that it sealed the copy, after the writer's
 * report.
 * @return a status of copy_written, or STATUS_CONFLICT if the writer's report
 * is missing. */
enum status copy_sealed (struct copy_table *table, const struct copy_ref *ref,
                         uint64_t generation, int64_t length,
                         uint64_t checksum);

/** Exclude the copy from all later lookups, and free its slot once the read
 * leases have expired: for a copy that is evicted or that a reader found
 * corrupt. GENERATION 0 matches any.
 * @return STATUS_NOT_FOUND if there is no copy; STATUS_STALE for another
 * generation. */
enum status copy_condemn (struct copy_table *table, const struct copy_ref *ref,
                          uint64_t generation);

/** Whether lookups may return COPY. */
bool copy_readable (const struct copy *copy);

/** Make COPY, which a lookup returned, the most recently used of its tier. */
void copy_touch (struct copy *copy);

/** Whether a copy exists or is being written on any store that is not down. */
bool copy_held (struct copy_table *table, const struct block_scope *scope,
                const struct block_id *id);

/** Whether a slot may be requested from TIER of STORE now. */
bool copy_may_reserve (struct copy_table *table, uint64_t store,
                       enum copy_tier tier);

/** Refuse reservations in TIER of STORE, which is full, for a while. */
void copy_store_full (struct copy_table *table, uint64_t store,
                      enum copy_tier tier);

/** Record that STORE is down: all its copies become void at once. */
void copy_store_gone (struct copy_table *table, uint64_t store);

/** Record that a listing of STORE was requested. Sealed copies that the
 * listing does not have are removed by copy_listing_end. */
void copy_listing_begin (struct copy_table *table, uint64_t store);
void copy_listing_item (struct copy_table *table, uint64_t store,
                        const struct copy_item *item);
void copy_listing_end (struct copy_table *table, uint64_t store);

/** Write the least recently used sealed copies of a tier, which are the
 * candidates for eviction, to COPIES.
 * @return the number of copies, at most MAX. */
size_t copy_oldest (const struct copy_table *table, uint64_t store,
                    enum copy_tier tier, const struct copy **copies,
                    size_t max);

/** Free the slots of copies that were withdrawn long enough ago, withdraw
 * copies whose writer timed out, and remove a bounded number of copies on
 * stores that are down. */
void copy_tick (struct copy_table *table);

/** Time when copy_tick is due next, or CLOCK_NEVER. */
int64_t copy_next (const struct copy_table *table);

#endif
