#ifndef KVSTORES_H
#define KVSTORES_H

#include "call.h"
#include "clock.h"
#include "dialect.h"
#include "lateness.h"
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
  KVSTORES_FETCH_TIMEOUT_MAX_MS = 1000 /**< Maximum timeout of a fetch. */
};

/** The changes at a store: those after event number SINCE, up to and including
 * event number NEXT. */
struct kvstore_update
{
  const char *store;
  /** Epoch of the store, which changes when the store restarts. */
  uint64_t epoch;
  uint64_t since_event_number;
  uint64_t last_event_number;
  const struct cache_block *blocks;
  unsigned block_count;
  uint64_t sender; /**< Id of the process that sent the update; 0 if it states
                      none. */
  int64_t sent_ns; /**< When it did, by its clock_boottime. */
};

struct kvstore;

/** Shares the polling of stores among hosts. */
struct kvstores_ops
{
  /** Whether this host is a poller of STORE: it polls the store continuously
   * and sends the changes to other hosts, also that there are none. The other
   * hosts receive these updates and poll the store themselves only at longer
   * intervals. */
  bool (*is_poller) (void *data, const struct kvstore *store);
  /** Sends UPDATE to the other hosts. Called when a store that this host polls
   * for them has replied. */
  void (*update_received) (void *data, const struct kvstore_update *update);
};

struct kvstores_settings
{
  unsigned concurrent_pollers_max; /**< Maximum number of hosts that may poll
                                      one store at the same time. */
  /** Maximum number of stores at a time that are queried for all that they
   * hold. The replies of many stores would fill the link of a host that has
   * just started, and delay what it is told of backend servers. */
  unsigned catch_up_max;
  /** Length of a rotation slot, longer than `check_wait_ns`. In each slot
   * only some of the hosts poll the stores. */
  int64_t rotation_slot_ns;
  /** Maximum time that a store may delay its reply to a host that is not
   * its poller, until a change occurs. */
  int64_t check_wait_ns;
  int64_t poll_wait_ns; /**< Maximum time that a store may delay its reply to
                           its poller, until a change occurs. */
  int64_t poller_interval_ns; /**< Minimum interval between polls by a store's
                                 poller. */
  int64_t check_interval_ns; /**< Minimum interval between polls by a host that
                                is not the store's poller, if there are so few
                                hosts that they poll without rotation slots. */
  int64_t restart_grace_ns;  /**< Time for which nothing is saved to a
                                restarted store, so that every host notices the
                                restart first; at least `poll_age_max_ns` and
                                `confirmed_ns` together. */
  /** Maximum age of a reply that counts as a statement of the store. */
  int64_t poll_age_max_ns;
  /** Time for which a store counts as not restarted after it was confirmed. No
   * block is fetched from it otherwise. */
  int64_t confirmed_ns;
  int64_t sync_spread_ns; /**< Interval between the hosts of two rotation slots
                             that query a store which they are out of sync
                             with. */
  double fill_share_max;  /**< Nothing is saved to a store that would be filled
                               beyond this share of its capacity. */
};

extern const struct kvstores_settings kvstores_settings_default;

struct evacuation;

struct kvstore
{
  struct kvstores *kvstores;
  char *name;
  char *address;
  char *data_centre;
  uint64_t capacity_tokens;
  uint64_t epoch; /**< Epoch of the store, which changes when the store
                     restarts; 0 if unknown. */
  uint64_t last_event_number; /**< Number of the last applied event. The next
                          poll asks for the events after it. */
  bool in_sync; /**< Whether all events up to `next_event` were applied. */
  bool needs_listing; /**< Whether events were missed, so that the next poll
                         asks for a list of all blocks. */
  bool call_is_pending;
  bool removed; /**< Whether the store is no longer configured. It is freed
                   once no call to it is pending. */
  int64_t save_allowed_ns; /**< No blocks are saved to the store before this
                              time. */
  int64_t no_poll_before_ns;
  int64_t confirmed_until_ns; /**< Time, by clock_boottime, until which the
                                 store counts as not restarted. */
  bool needs_sync; /**< Whether this host queries the store out of turn. */
  int64_t sync_ns; /**< Time from which it does. */
  bool is_poller;  /**< Whether this host is a poller of the store. */
  int64_t poller_check_ns;       /**< Time at which that is checked again. */
  int64_t poll_sent_ns;          /**< Time at which the last poll was sent. */
  int64_t poll_sent_boottime_ns; /**< The same by clock_boottime. */
  uint64_t poll_since_event;  /**< Value of `next_event` when the last poll was
                                 sent. */
  int64_t last_report_ns;     /**< Time of the last report from the store
                                   itself. */
  int64_t last_rotation_slot; /**< Last rotation slot in which this host polled
                                 the store. */
  uint64_t stored_tokens;
  double fetch_delay_ms; /**< Moving average of the delay of fetches. */
  int64_t fetch_delay_updated_ns;
  GHashTable *blocks; /**< Maps "SCOPE ID", with the id in hexadecimal, to the
                         number of stored tokens of the block. */
  bool reported_ignored; /**< Whether rows of this run were reported as
                            malformed. */
};

struct kvstores
{
  const struct clock *clock;
  struct log *log;
  const struct dialect *dialect;
  struct httpjson *httpjson;
  struct kvstores_settings settings;
  /** Callbacks that share the polling among hosts; NULL if this host polls all
   * stores and shares no updates. */
  const struct kvstores_ops *ops;
  void *data;
  /** Which data centres are evacuated: nothing is fetched from or saved to
   * their stores. NULL if none ever is. */
  const struct evacuation *evacuation;
  struct lateness lateness; /**< Of updates from other hosts. */
  GPtrArray *stores;        /**< Array of struct kvstore. */
  unsigned rotation_slots;  /**< Number of slots in one rotation; 1 if there is
                               no rotation. */
  unsigned own_rotation_slot; /**< Slot in which this host polls. */
  guint first_turn; /**< Index of the store that may be queried first. */
  /** Whether some hosts notice the restart of a store only with their own
   * polls, since they are of an earlier version. */
  bool restarts_noticed_late;
  bool serves_subsets; /**< Whether pollers serve hosts of other subsets. */
  bool engine_clock_is_known;
  int64_t engine_clock_offset_ns; /**< The engines' clock minus the clock of
                                       this process. */
};

void kvstores_init (struct kvstores *kvstores,
                    const struct kvstores_settings *settings,
                    const struct clock *clock, struct log *log,
                    const struct dialect *dialect, struct httpjson *httpjson);

/** Frees all stores. The httpjson that KVSTORES uses must have been finished
 * before. */
void kvstores_finish (struct kvstores *kvstores);

/** Adds and removes stores to match the configuration ROUTES. */
void kvstores_configure (struct kvstores *kvstores,
                         const struct routes *routes);

/** Shares the polling of stores with other hosts through OPS. */
void kvstores_set_ops (struct kvstores *kvstores,
                       const struct kvstores_ops *ops, void *data);

/** Applies UPDATE, which another host received from a store. UPDATE is ignored
 * if it is of another epoch of the store or if this host lacks changes before
 * it. */
void kvstores_apply_update (struct kvstores *kvstores,
                            const struct kvstore_update *update);

/** Polls the stores that are due. */
void kvstores_tick (struct kvstores *kvstores);

/** Sets the rotation in which the hosts poll the stores, since a store accepts
 * only a few calls at a time.
 * @param hosts the number of hosts
 * @param index the index of this host among all hosts */
void kvstores_set_rotation (struct kvstores *kvstores, unsigned hosts,
                            unsigned index);

/** Whether blocks may be saved to STORE. Until all hosts have noticed a
 * restart of the store, they could fetch a block that is only being saved. */
bool kvstore_accepts_blocks (const struct kvstore *store);

/** Return the number of tokens of BLOCK that STORE holds, as far as that is
 * known for its present epoch. */
unsigned kvstore_block_tokens (const struct kvstore *store, const char *scope,
                               uint64_t block);

/** Returns the store called NAME, or NULL. */
struct kvstore *kvstores_find_store (const struct kvstores *kvstores,
                                     const char *name);

/** Moves up to MAX blocks whose scopes begin with PREFIX from the recorded
 * blocks of STORE to BLOCKS, so that the store can be asked to free them.
 * @return the number of blocks moved */
unsigned kvstore_take_blocks (struct kvstore *store, const char *prefix,
                              struct cache_block *blocks, unsigned max);

#endif
