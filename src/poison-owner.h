#ifndef POISON_OWNER_H
#define POISON_OWNER_H

#include "clock.h"
#include "list.h"
#include "status.h"
#include "poison.h"

#include <stdbool.h>

/** @file
 * The owner's side of poison.h: the slots of one partition.
 *
 * Used-up slots are durable: the KV service keeps one text per partition that
 * lists them. The text is written with a comparison of the partition's owner
 * record, so that a former owner can't write. Runs are not durable: a new
 * owner grants nothing during a grace period in which gateways report the runs
 * that hold slots.
 */

enum
{
  POISON_ENTRIES_MAX = 8192, /**< Maximum number of entries in one partition
                                that are not cleared. */
  /** Maximum number of cleared entries in one partition. */
  POISON_CLEARED_MAX = 2048,
  POISON_ALONE_RUNS_MAX = 4 /**< Maximum number of slots in one partition that
                               are reserved or acquired for runs alone. */
};

struct poison_owner_settings
{
  int64_t hold_ns;  /**< Time for which a slot stays used up. */
  int64_t grace_ns; /**< Duration of the grace period; longer than gateways
                       take to notice a new owner. */
  bool run_alone;   /**< Whether a tainted fingerprint may run alone; otherwise
                       it does not run at all. */
};

struct poison_owner_ops
{
  void (*send) (void *data, uint64_t gateway,
                const struct poison_message *message);
  /** Writes TEXT as the partition's record. The result must be passed to
   * poison_owner_persisted after this function has returned. */
  void (*persist) (void *data, const char *text);
};

struct poison_owner
{
  const struct clock *clock;
  const struct poison_owner_ops *ops;
  void *data;
  struct poison_owner_settings settings;
  void *entries; /**< GLib hash table that maps a fingerprint to its struct
                    poison_entry. */
  struct list cleared; /**< Cleared entries; the most recently used entry comes
                          first. */
  unsigned cleared_count;
  unsigned alone_run_count; /**< Number of slots that are reserved or acquired
                           for runs alone. */
  bool loaded; /**< Whether the partition's record has been read. */
  bool write_pending;
  int64_t grace_end_ns;
  int64_t write_due_ns;  /**< Time at which a failed write is retried. */
  uint64_t last_change;  /**< Number of changes so far that must be durable. */
  uint64_t write_change; /**< Value of last_change in the pending write. */
  uint64_t durable_change; /**< Value of last_change in the last successful
                              write. */
  uint64_t conflict_count; /**< Number of slots found held by two runs; must
                              stay 0. */
};

/** Initialises OWNER for one partition; poison_owner_load must follow. */
void poison_owner_init (struct poison_owner *owner,
                        const struct poison_owner_settings *settings,
                        const struct clock *clock,
                        const struct poison_owner_ops *ops, void *data);
void poison_owner_finish (struct poison_owner *owner);

/** Loads the partition's record, which must have been read after the process
 * became the owner, and begins the grace period.
 * @param text the record; NULL or empty if there is none.
 * @return STATUS_CORRUPT if TEXT can't be parsed, else STATUS_OK. */
enum status poison_owner_load (struct poison_owner *owner, const char *text);

void poison_owner_receive (struct poison_owner *owner,
                           const struct poison_message *message);

/** Handles that GATEWAY is down. Its runs may still crash backend servers, and
 * nobody would report that, so their slots count as used up until the hold
 * time ends or the fingerprint is cleared. */
void poison_owner_gateway_lost (struct poison_owner *owner, uint64_t gateway);

/** Handles the result of poison_owner_ops.persist. */
void poison_owner_persisted (struct poison_owner *owner, enum status status);

/** Removes expired entries and retries failed writes. */
void poison_owner_tick (struct poison_owner *owner);

/** Returns the time at which poison_owner_tick is due next. */
int64_t poison_owner_next_tick_ns (const struct poison_owner *owner);

#endif
