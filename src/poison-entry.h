#ifndef POISON_ENTRY_H
#define POISON_ENTRY_H

#include "poison-owner.h"

/** @file
 * The entries of a poison_owner, one per fingerprint, and their state
 * transitions.
 */

enum poison_entry_state
{
  POISON_ENTRY_FREE,     /**< No run holds the slot. The entry is kept only
                            while the fingerprint is tainted. */
  POISON_ENTRY_RESERVED, /**< The slot is reserved for a run that must be the
                            only one on its backend server. The run starts
                            when the reservation is durable and its gateway
                            has repeated the request. */
  POISON_ENTRY_RUNNING,  /**< A run holds the slot. */
  POISON_ENTRY_USED_UP,  /**< A run crashed its backend server, or the gateway
                            of the run is down. */
  POISON_ENTRY_CLEARED   /**< A run ended well; later runs need no slot. */
};

/** The slot of one fingerprint in one partition. */
struct poison_entry
{
  struct poison_request_fingerprint fingerprint;
  struct list node; /**< Position of the entry in poison_owner.cleared. */
  enum poison_entry_state state;
  bool tainted; /**< Whether the fingerprint is tainted, so that its next run
                   is a run alone; see poison.h. */
  bool runs_alone; /**< Whether the slot is reserved or held for a run that
                      must be the only one on its backend server. */
  bool orphan; /**< Whether the slot is used up because the gateway of the run
                  is down. */
  bool confirmed; /**< Whether the run was listed in the gateway's latest sync
                     or started after that sync began. */
  uint64_t gateway;     /**< Number of the gateway that runs the request. */
  uint64_t run;         /**< Number that the gateway gave to the run. */
  uint64_t last_change; /**< Number of the entry's last change that must be
                           durable; see poison_owner.last_change. */
  int64_t expires_ns; /**< Time at which the entry's used-up state or its taint
                         ends. */
  int64_t reservation_expires_ns;
};

/** Returns a new GLib hash table of entries by fingerprint. */
void *poison_entry_table_new (void);

/** Returns the entry of FINGERPRINT, or NULL if there is none. */
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

/** Puts ENTRY into the used-up state.
 * @param orphan whether the slot is used up because the gateway of the run is
 * down, without a reported crash. */
void poison_entry_use_up (struct poison_owner *owner,
                          struct poison_entry *entry, bool orphan);

void poison_entry_taint (struct poison_owner *owner,
                         struct poison_entry *entry);

/** Reserves the slot for a run alone through GATEWAY. */
void poison_entry_reserve (struct poison_owner *owner,
                           struct poison_entry *entry, uint64_t gateway);

/** Whether the partition's record counts the slot as used up. It does so if
 * the slot is used up, or acquired or reserved for a run alone, which may
 * crash its backend server. */
bool poison_entry_is_recorded_as_used (const struct poison_entry *entry);

/** Whether MESSAGE comes from the run to which ENTRY was granted.
 * @param entry the entry to check; may be NULL. */
bool poison_entry_is_held_by (const struct poison_entry *entry,
                              const struct poison_message *message);

#endif
