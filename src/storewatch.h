#ifndef STOREWATCH_H
#define STOREWATCH_H

#include "clock.h"
#include "blockcopy.h"
#include "hostlist.h"
#include "roster.h"
#include "store.h"

/** @file
 * Polls the KV cache stores. Their listings rebuild and refresh this shard's
 * part of the block index; the copies on a store that stops replying are
 * dropped from it.
 */

struct storewatch
{
  const struct clock *clock;
  struct storeclient *client;
  const struct roster *roster;
  const struct hostlist *hostlist;
  struct blockcopy_table *copies;
  uint64_t self_id;            /**< Roster id of this process. */
  int64_t listing_interval_ns; /**< Time between two listings of one store. */
  void *stores; /**< Hash table that maps a store's name to its struct
                   watched_store. */
};

void storewatch_init (struct storewatch *watch, const struct clock *clock,
                      struct storeclient *client, const struct roster *roster,
                      const struct hostlist *hostlist,
                      struct blockcopy_table *copies, uint64_t self_id,
                      int64_t listing_interval_ns);
void storewatch_finish (struct storewatch *watch);

/** Add and remove stores after a change of the host list. */
void storewatch_sync (struct storewatch *watch);

/** List all stores again, because a change in the set of live shards also
 * changes which blocks are assigned to this shard. */
void storewatch_relist (struct storewatch *watch);

/** Start the listings and status queries that are due. */
void storewatch_tick (struct storewatch *watch);

/** One store that is in the host list and not leaving. */
struct storewatch_store
{
  uint64_t id;
  const char *address;
  /** Free bytes of each tier in the last status report, less the bytes that
   * storewatch_count_reserved has subtracted since. */
  int64_t free_bytes[BLOCKCOPY_TIER_COUNT];
};

/** Copy the watched stores to STORES, at most MAX.
 * @return the number of stores copied. */
size_t storewatch_copy_stores (const struct storewatch *watch,
                               struct storewatch_store *stores, size_t max);

/** Subtract BYTES from the free bytes of a tier until the next status
 * report. */
void storewatch_count_reserved (struct storewatch *watch, uint64_t store,
                                enum blockcopy_tier tier, int64_t bytes);

/** Return the address of STORE, or NULL if STORE is not watched. */
const char *storewatch_find_address (const struct storewatch *watch,
                                     uint64_t store);

#endif
