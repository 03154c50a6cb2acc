#ifndef SOAK_STORE_H
#define SOAK_STORE_H

#include "callerserver.h"
#include "soak.h"

/** @file
 * A stand-in of the platform's KV service over HTTP: keys with revisions,
 * leases, conditions and watches.
 */

struct soak_store
{
  struct soak *soak;
  struct callerserver server;
  GHashTable *items;  /**< key to struct item */
  GPtrArray *history; /**< of struct change, oldest first */
  GHashTable *leases; /**< number to struct lease */
  struct list watches;
  uint64_t revision;
  uint64_t last_lease;
  uint64_t forgotten; /**< Changes up to this revision are not told. */
  double lost;        /**< Share of writes done and not answered. */
  bool down;          /**< Everything is answered 503. */
  bool is_away;       /**< The same, before it comes back from a backup. */
  unsigned era;       /**< Stated in all answers. */
  /** Of a backup: key to struct item, number to struct lease, and more; the
   * tables are NULL if there is none. */
  GHashTable *backup_items;
  GHashTable *backup_leases;
  uint64_t backup_revision;
  uint64_t backup_last_lease;
};

/** Listen at PORT of SOAK_IP. */
void soak_store_init (struct soak_store *store, struct soak *soak,
                      uint16_t port);
void soak_store_finish (struct soak_store *store);

/** End leases and watches that are due. */
void soak_store_tick (struct soak_store *store);

/** Write KEY past all faults; VALUE NULL removes it. */
void soak_store_put (struct soak_store *store, const char *key,
                     const char *value);

/** Keep what the store has now as a backup. */
void soak_store_back_up (struct soak_store *store);

/** Come back from the backup, in a new era: what was written since is gone,
 * and watches are cut. */
void soak_store_restore (struct soak_store *store);

/** Forget all changes, so that watches begin anew. */
void soak_store_compact (struct soak_store *store);

#endif
