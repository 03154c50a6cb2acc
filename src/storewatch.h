#ifndef STOREWATCH_H
#define STOREWATCH_H

#include "clock.h"
#include "copy.h"
#include "hostlist.h"
#include "roster.h"
#include "store.h"

/** @file
 * A shard's watch over the store hosts: their listings rebuild and refresh
 * its part of the block index, and a store that does not answer is taken out.
 */

struct storewatch
{
  const struct clock *clock;
  struct storeclient *client;
  const struct roster *roster;
  const struct hostlist *hostlist;
  struct copy_table *copies;
  uint64_t self;      /**< roster id of this process */
  int64_t listing_ns; /**< between two listings of a store */
  void *stores;       /**< hash table: name to struct watched_store */
};

void storewatch_init (struct storewatch *watch, const struct clock *clock,
                      struct storeclient *client, const struct roster *roster,
                      const struct hostlist *hostlist,
                      struct copy_table *copies, uint64_t self,
                      int64_t listing_ns);
void storewatch_finish (struct storewatch *watch);

/** The host list changed. */
void storewatch_sync (struct storewatch *watch);

/** The live shards changed: list all stores anew. */
void storewatch_relist (struct storewatch *watch);

void storewatch_tick (struct storewatch *watch);

/** What is known of one store that is listed. */
struct storewatch_store
{
  uint64_t id;
  const char *address;
  int64_t free_bytes[COPY_TIERS]; /**< as last reported; less is known by
                                       nobody */
};

/** Write the listed stores to STORES, at most MAX.
 * @return their number. */
size_t storewatch_stores (const struct storewatch *watch,
                          struct storewatch_store *stores, size_t max);

/** Count BYTES as taken from a tier until the next report. */
void storewatch_take (struct storewatch *watch, uint64_t store,
                      enum copy_tier tier, int64_t bytes);

/** The address of STORE, or NULL. */
const char *storewatch_address (const struct storewatch *watch,
                                uint64_t store);

#endif
