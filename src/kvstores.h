#ifndef KVSTORES_H
#define KVSTORES_H

#include "call.h"
#include "clock.h"
#include "dialect.h"
#include "log.h"
#include "routes.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * Tracks which prompt blocks the KV cache stores hold. An engine that has
 * evicted the blocks of a prompt can fetch them from a store instead of
 * recomputing them.
 *
 * A block is fetched only if the store itself has reported it complete since
 * the store's last restart, and this process is still in sync with the store.
 * In doubt a block counts as not stored: recomputing it is always correct.
 */

enum
{
  KVSTORES_FETCH_TIMEOUT_MAX_MS
  = 1000 /**< Upper limit of a fetch's timeout. */
};

/** The changes at a store after event SINCE up to event NEXT. */
struct kvstore_update
{
  const char *store;
  uint64_t epoch; /**< Epoch of the store, which changes when it restarts. */
  uint64_t since;
  uint64_t next;
  const struct cache_block *blocks;
  unsigned block_count;
};

struct kvstore;

/** Shares the polling of stores among hosts. */
struct kvstores_ops
{
  /** Whether this host polls STORE for other hosts. A host that does not
   * receives updates from the one that does, and polls the store itself only
   * at intervals. */
  bool (*is_poller) (void *data, const struct kvstore *store);
  /** A store that this host polls for other hosts reported changes. */
  void (*update_received) (void *data, const struct kvstore_update *update);
};

struct kvstores_settings
{
  unsigned concurrent_pollers_max; /**< Hosts that may poll one store at a
                                        time. */
  int64_t rotation_slot_ns;        /**< Length of a rotation slot; longer than
                                        `check_wait_ns`. */
  int64_t check_wait_ns;           /**< How long a store may hold a poll of a
                                        host that is not its poller. */
  int64_t poll_wait_ns;            /**< How long a store may hold a poll of its
                                        poller. */
  int64_t poller_interval_ns; /**< Least interval of the polls of a store's
                                   poller. */
  int64_t check_interval_ns;  /**< Least interval of the polls of another host
                                   if hosts need no rotation. */
  int64_t restart_grace_ns;   /**< Nothing is saved to a restarted store for
                                   this time, so that every host notices the
                                   restart first. */
  double fill_share_max; /**< Nothing is saved to a store that would be filled
                              beyond this share of its capacity. */
};

extern const struct kvstores_settings kvstores_settings_default;

struct kvstore
{
  struct kvstores *kvstores;
  char *name;
  char *address;
  char *data_centre;
  uint64_t capacity_tokens;
  uint64_t epoch;      /**< Changes when the store restarts; 0: unknown. */
  uint64_t next_event; /**< The next poll asks for events after this one. */
  bool in_sync;        /**< All events up to `next_event` were applied. */
  bool needs_listing;  /**< Events were missed: the next poll asks for a list
                            of all blocks. */
  bool call_is_pending;
  bool removed; /**< The store is no longer configured; it is freed once no
                     call is pending. */
  int64_t fill_allowed_ns; /**< Blocks may be saved to it from then on. */
  int64_t no_poll_before_ns;
  int64_t poll_sent_ns;       /**< Time of the last poll. */
  uint64_t poll_since_event;  /**< `next_event` at the time of that poll. */
  int64_t last_report_ns;     /**< Time of the last report from the store
                                   itself. */
  int64_t last_rotation_slot; /**< Last rotation slot that was used. */
  uint64_t stored_tokens;
  double fetch_delay_ms; /**< Moving average of the delay of fetches. */
  int64_t fetch_delay_updated_ns;
  GHashTable *blocks; /**< Maps "SCOPE ID", the id in hex, to tokens. */
};

struct kvstores
{
  const struct clock *clock;
  struct log *log;
  const struct dialect *dialect;
  struct httpjson *httpjson;
  struct kvstores_settings settings;
  const struct kvstores_ops *ops; /**< NULL: this host polls all stores and
                                       shares no updates. */
  void *data;
  GPtrArray *stores;          /**< Array of struct kvstore. */
  unsigned rotation_slots;    /**< Slots of one rotation; 1: no rotation. */
  unsigned own_rotation_slot; /**< Slot in which this host polls. */
  bool engine_clock_is_known;
  int64_t engine_clock_offset_ns; /**< The engines' clock minus the clock of
                                       this process. */
};

void kvstores_init (struct kvstores *kvstores,
                    const struct kvstores_settings *settings,
                    const struct clock *clock, struct log *log,
                    const struct dialect *dialect, struct httpjson *httpjson);

/** Requires that HTTPJSON was finished before. */
void kvstores_finish (struct kvstores *kvstores);

/** Adds and removes stores to match the configuration ROUTES. */
void kvstores_configure (struct kvstores *kvstores,
                         const struct routes *routes);

/** Shares the polling of stores with other hosts through OPS. */
void kvstores_set_ops (struct kvstores *kvstores,
                       const struct kvstores_ops *ops, void *data);

/** Applies UPDATE, which another host received from a store. It is ignored if
 * it does not continue what is known of the store's current epoch. */
void kvstores_apply_update (struct kvstores *kvstores,
                            const struct kvstore_update *update);

/** Polls the stores that are due. */
void kvstores_tick (struct kvstores *kvstores);

/** Sets the rotation in which HOSTS hosts poll the stores. A store accepts
 * only a few calls at a time.
 * @param index of this host among them */
void kvstores_set_rotation (struct kvstores *kvstores, unsigned hosts,
                            unsigned index);

/** Returns a store that holds all tokens of BLOCK, preferably one in
 * DATA_CENTRE; NULL if there is none. */
struct kvstore *kvstores_find_block (const struct kvstores *kvstores,
                                     const char *scope,
                                     const struct call_block *block,
                                     const char *data_centre);

/** Returns the store called NAME, or NULL. */
struct kvstore *kvstores_find_store (const struct kvstores *kvstores,
                                     const char *name);

/** Records that a fetch from STORE took DELAY_MS longer than over an idle
 * network link. */
void kvstore_record_delay (struct kvstore *store, double delay_ms);

/** Returns the expected delay of a fetch from STORE, in ms. */
double kvstore_expected_delay_ms (const struct kvstore *store);

/** Returns the store that the block with the id BLOCK should be saved to,
 * preferably one in DATA_CENTRE; NULL if no store has the capacity. All hosts
 * choose the same store. */
const struct kvstore *
kvstores_choose_save_target (const struct kvstores *kvstores, uint64_t block,
                             unsigned tokens, const char *data_centre);

/** Returns the time TIMEOUT_NS from now on the engines' clock, in ms, after
 * which an engine must not use a fetched block; 0 if that clock is unknown.
 * @param timeout_ns is limited to KVSTORES_FETCH_TIMEOUT_MAX_MS */
uint64_t kvstores_fetch_deadline_ms (const struct kvstores *kvstores,
                                     int64_t timeout_ns);

/** Moves up to MAX blocks whose scopes begin with PREFIX from the known blocks
 * of STORE to BLOCKS, so that the store can be asked to free them.
 * @return the number of blocks */
unsigned kvstore_take_blocks (struct kvstore *store, const char *prefix,
                              struct cache_block *blocks, unsigned max);

#endif
