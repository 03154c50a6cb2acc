#ifndef BLOCKCOPY_H
#define BLOCKCOPY_H

#include "blockentry.h"
#include "clock.h"
#include "list.h"
#include "status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * Copies of blocks on store hosts and their life cycle, enum blockcopy_state.
 * Lookups return only sealed copies, with a read lease that is shorter than
 * the delay between the states withdrawn and freed. A store has at most one
 * copy of a block.
 */

enum blockcopy_state
{
  BLOCKCOPY_REQUESTED, /**< A slot was requested from the store. */
  BLOCKCOPY_RESERVED,  /**< The store assigned a slot and its generation. */
  BLOCKCOPY_WRITTEN,   /**< The writer reported length and checksum. */
  BLOCKCOPY_SEALED,    /**< The store confirmed both; the copy is readable. */
  BLOCKCOPY_WITHDRAWN, /**< Lookups no longer return the copy; read leases may
                       not have expired yet. */
  BLOCKCOPY_FREED /**< The slot was freed; the record remains so that an old
                  listing can't add the copy again. */
};

enum blockcopy_tier
{
  BLOCKCOPY_MEMORY,
  BLOCKCOPY_DISK,
  BLOCKCOPY_TIER_COUNT
};

struct blockcopy_settings
{
  int64_t read_lease_ns; /**< Time after a lookup within which a reader has to
                            finish reading the copy. */
  /** Time that a copy stays in BLOCKCOPY_WITHDRAWN before its slot is freed;
   * longer than read_lease_ns. */
  int64_t free_delay_ns;
  int64_t write_timeout_ns; /**< Maximum time from BLOCKCOPY_REQUESTED to
                               BLOCKCOPY_SEALED. */
  /** Time for which reservations in a tier are refused after the store
   * reported that the tier is full. */
  int64_t full_backoff_ns;
};

extern const struct blockcopy_settings blockcopy_settings_default;

struct blockcopy_ops
{
  /** Order the store to free a slot. A lost order is harmless: the next
   * listing has the slot again. */
  void (*free_slot) (void *data, uint64_t store, uint64_t slot,
                     uint64_t generation);
};

struct blockcopy_store
{
  uint64_t id;
  uint32_t
      epoch; /**< Epoch of the store; copies of an earlier epoch are void. */
  /** Number of the latest listing that was requested. */
  uint32_t listing_number;
  int64_t listing_started_ns; /**< Time at which the latest listing was
                                 requested. */
  bool available; /**< Whether the store is up and a listing was requested. */
  bool listing_active; /**< Whether a listing is being received. */
  /** Time until which reservations in each tier are refused. */
  int64_t full_until_ns[BLOCKCOPY_TIER_COUNT];
  /** Sealed copies of each tier, the least recently used first. */
  struct list sealed[BLOCKCOPY_TIER_COUNT];
};

struct blockcopy
{
  struct blockentry *entry; /**< Entry of the block; NULL in the states
                               withdrawn and freed. */
  struct blockcopy_store *store;
  uint64_t slot;
  uint64_t generation;
  uint64_t checksum;
  int64_t length;          /**< Length in bytes. */
  int64_t timer_start_ns;  /**< Time at which the copy was requested, withdrawn
                              or freed, whichever was last. */
  uint32_t epoch;          /**< Epoch of the store when the copy was added. */
  uint32_t listing_number; /**< Number of the last listing of the store that
                              contained the copy. */
  uint8_t state;           /**< Value of enum blockcopy_state. */
  uint8_t tier;            /**< Value of enum blockcopy_tier. */
  struct list sibling;     /**< Node in the entry's list of copies. */
  struct list node;        /**< Node in the table's or store's list for the
                                state. */
};

struct blockcopy_table
{
  struct blockentry_table *entries;
  const struct clock *clock;
  struct blockcopy_settings settings;
  const struct blockcopy_ops *ops;
  void *data;
  GHashTable *stores;
  GHashTable *withdrawn_by_slot; /**< Set of the withdrawn and freed copies,
                                    hashed by store, slot and generation. */
  struct list unsealed_copies;   /**< Copies in the states requested, reserved
                                    and written, the oldest first. */
  struct list withdrawn_by_age;  /**< Copies in the states withdrawn and freed,
                                    the oldest first. */
  struct list void_copies; /**< Copies that became void because their store
                              went down. */
  uint64_t mismatch_count; /**< Number of copies withdrawn because a report had
                          a different length or checksum. */
};

/** Identifies one copy. */
struct blockcopy_ref
{
  const struct block_scope *scope;
  struct block_id block;
  uint64_t store;
};

/** One copy in a store's listing. */
struct blockcopy_listed
{
  uint64_t slot;
  uint64_t generation;
  struct block_id block;
  struct block_scope scope;
  uint16_t position;
  enum blockcopy_tier tier;
  bool sealed;
  int64_t length;
  uint64_t checksum;
};

void blockcopy_table_init (struct blockcopy_table *table,
                           struct blockentry_table *entries,
                           const struct clock *clock,
                           const struct blockcopy_settings *settings,
                           const struct blockcopy_ops *ops, void *data);
void blockcopy_table_finish (struct blockcopy_table *table);

/** Add a copy, before a slot is requested from the store.
 * @return STATUS_CONFLICT if the store has a copy already or the entry of the
 * block has another scope; STATUS_LIMITED if the store or the table is full;
 * STATUS_UNAVAILABLE if the store is down or its first listing has not begun
 * yet. */
enum status blockcopy_reserve (struct blockcopy_table *table,
                               const struct blockcopy_ref *ref,
                               enum blockcopy_tier tier, int64_t length);

/** Process the store's reply that assigns a slot.
 * @return STATUS_NOT_FOUND if no request for a slot is pending; the slot is
 * freed unless the copy has it already. */
enum status blockcopy_slot_assigned (struct blockcopy_table *table,
                                     const struct blockcopy_ref *ref,
                                     uint64_t slot, uint64_t generation);

/** Process the store's reply that refuses a slot. FULL says whether the store
 * refused because the tier is full. */
void blockcopy_slot_refused (struct blockcopy_table *table,
                             const struct blockcopy_ref *ref, bool full);

/** Process the writer's report that it wrote the copy.
 * @return STATUS_NOT_FOUND if there is no copy or it has no slot; STATUS_STALE
 * for another generation; STATUS_CORRUPT if LENGTH is not the reserved one or
 * CHECKSUM differs from an earlier report, which withdraws the copy. */
enum status blockcopy_written (struct blockcopy_table *table,
                               const struct blockcopy_ref *ref,
                               uint64_t generation, int64_t length,
                               uint64_t checksum);

/** Process the store's report that it sealed the copy, after the writer's
 * report.
 * @return a status of blockcopy_written, or STATUS_CONFLICT if the writer's
 * report is missing. */
enum status blockcopy_sealed (struct blockcopy_table *table,
                              const struct blockcopy_ref *ref,
                              uint64_t generation, int64_t length,
                              uint64_t checksum);

/** Exclude a copy, which is evicted or was found corrupt by a reader, from all
 * later lookups, and free its slot once the read leases have expired.
 * GENERATION 0 matches any generation.
 * @return STATUS_NOT_FOUND if there is no copy; STATUS_STALE for another
 * generation. */
enum status blockcopy_withdraw (struct blockcopy_table *table,
                                const struct blockcopy_ref *ref,
                                uint64_t generation);

/** Whether lookups may return COPY. */
bool blockcopy_is_readable (const struct blockcopy *copy);

/** Make COPY, which a lookup returned, the most recently used copy of its
 * tier. */
void blockcopy_touch (struct blockcopy *copy);

/** Whether a copy exists or is being written on any store that is not down. */
bool blockcopy_exists (struct blockcopy_table *table,
                       const struct block_scope *scope,
                       const struct block_id *id);

/** Whether a slot may be requested from TIER of STORE now. */
bool blockcopy_store_has_capacity (struct blockcopy_table *table,
                                   uint64_t store, enum blockcopy_tier tier);

/** Record that TIER of STORE is full: reservations in it are refused for
 * full_backoff_ns. */
void blockcopy_store_full (struct blockcopy_table *table, uint64_t store,
                           enum blockcopy_tier tier);

/** Record that STORE is down, which makes all its copies void. */
void blockcopy_store_down (struct blockcopy_table *table, uint64_t store);

/** Record that a listing of STORE was requested. Sealed copies that the
 * listing does not have are removed by blockcopy_listing_end. */
void blockcopy_listing_begin (struct blockcopy_table *table, uint64_t store);
void blockcopy_listing_item (struct blockcopy_table *table, uint64_t store,
                             const struct blockcopy_listed *item);
void blockcopy_listing_end (struct blockcopy_table *table, uint64_t store);

/** Write the least recently used sealed copies of a tier, which are the
 * candidates for eviction, to COPIES.
 * @return the number of copies, at most MAX. */
size_t blockcopy_least_recent (const struct blockcopy_table *table,
                               uint64_t store, enum blockcopy_tier tier,
                               const struct blockcopy **copies, size_t max);

/** Free the slots of copies that were withdrawn at least free_delay_ns ago,
 * withdraw copies whose writer timed out, and remove a bounded number of
 * copies on stores that are down. */
void blockcopy_tick (struct blockcopy_table *table);

/** Time at which blockcopy_tick has to be called next, or CLOCK_NEVER. */
int64_t blockcopy_next_tick_ns (const struct blockcopy_table *table);

#endif
