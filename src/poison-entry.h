#ifndef POISON_ENTRY_H
#define POISON_ENTRY_H

#include "poison-owner.h"

/** @file
 * The entries of an owner (poison-owner.h) and their state transitions.
 */

enum poison_entry_state
{
  POISON_ENTRY_FREE,     /**< The entry is kept only because it is tainted. */
  POISON_ENTRY_RESERVED, /**< For a run alone, until the reservation is durable
                            and the gateway asks again. */
  POISON_ENTRY_RUNNING,
  POISON_ENTRY_USED_UP,
  POISON_ENTRY_CLEARED
};

/** The slot of one fingerprint in one partition. */
struct poison_entry
{
  struct poison_request_fingerprint fingerprint;
  struct list node; /**< In poison_owner.cleared. */
  enum poison_entry_state state;
  bool tainted;
  bool runs_alone;
  bool orphan;          /**< Used up since the gateway of the run is down. */
  bool confirmed;       /**< The run was listed in the gateway's latest sync or
                           started after that sync began. */
  uint64_t gateway;     /**< Gateway that runs the request. */
  uint64_t run;         /**< Number that the gateway gave to the run. */
  uint64_t last_change; /**< Number of the entry's last change that must be
                           durable, see poison_owner.last_change. */
  int64_t expires_ns;   /**< When the used-up state or the taint ends. */
  int64_t reservation_expires_ns;
};

/** Returns a new GLib hash table of entries by fingerprint. */
void *poison_entry_table_new (void);

/** @return the entry of FINGERPRINT, or NULL */
struct poison_entry *
poison_entry_find (const struct poison_owner *owner,
                   const struct poison_request_fingerprint *fingerprint);

/** Returns the entry of FINGERPRINT; creates a free one if there is none. */
struct poison_entry *poison_entry_find_or_create (
    struct poison_owner *owner,
    const struct poison_request_fingerprint *fingerprint);

void poison_entry_remove (struct poison_owner *owner,
                          struct poison_entry *entry);

/** Whether POISON_ENTRIES_MAX entries exist, not counting cleared ones. */
bool poison_owner_is_full (const struct poison_owner *owner);

/** Puts ENTRY into the free state from any other state; keeps its taint. */
void poison_entry_reset (struct poison_owner *owner,
                         struct poison_entry *entry);

void poison_entry_start_run (struct poison_owner *owner,
                             struct poison_entry *entry, uint64_t gateway,
                             uint64_t run);

/** Releases the slot. Removes ENTRY unless it is tainted. */
void poison_entry_release (struct poison_owner *owner,
                           struct poison_entry *entry);

/** Clears ENTRY. Removes the least recently used cleared entry if there are
 * more than POISON_CLEARED_MAX. */
void poison_entry_clear (struct poison_owner *owner,
                         struct poison_entry *entry);

/** @param orphan the gateway of the run is down; nobody saw a crash */
void poison_entry_use_up (struct poison_owner *owner,
                          struct poison_entry *entry, bool orphan);

void poison_entry_taint (struct poison_owner *owner,
                         struct poison_entry *entry);

/** Reserves the slot for a run alone through GATEWAY. */
void poison_entry_reserve (struct poison_owner *owner,
                           struct poison_entry *entry, uint64_t gateway);

/** Whether the partition's record counts the slot as used up: it is, or it is
 * acquired or reserved for a run alone, which may crash its backend server. */
bool poison_entry_is_recorded_as_used (const struct poison_entry *entry);

/** Whether MESSAGE comes from the run to which ENTRY was granted.
 * @param entry may be NULL */
bool poison_entry_is_held_by (const struct poison_entry *entry,
                              const struct poison_message *message);

#endif
