#ifndef SUSPECT_ENTRY_H
#define SUSPECT_ENTRY_H

#include "suspect-owner.h"

/** @file
 * The entries of an owner in suspect-owner.h and the steps of their life.
 */

enum suspect_entry_state
{
  SUSPECT_ENTRY_FREE,     /**< only there because it is tainted */
  SUSPECT_ENTRY_RESERVED, /**< for a run alone, until that is durable */
  SUSPECT_ENTRY_RUNNING,
  SUSPECT_ENTRY_USED_UP,
  SUSPECT_ENTRY_PROVED
};

/** One fingerprint in one partition. */
struct suspect_entry
{
  struct suspect_fingerprint fingerprint;
  struct list node; /**< on the list of proved ones */
  enum suspect_entry_state state;
  bool tainted;
  bool alone;
  bool orphan;      /**< used up by a gateway that is gone */
  bool confirmed;   /**< named in the sync under way */
  uint64_t gateway; /**< that runs it */
  uint64_t run;
  uint64_t change;     /**< the last one that has to be durable */
  int64_t until_ns;    /**< end of SUSPECT_ENTRY_USED_UP or of the taint */
  int64_t reserved_ns; /**< end of SUSPECT_ENTRY_RESERVED */
};

/** An empty table of entries by fingerprint; a GLib hash table. */
void *suspect_entry_table (void);

/** The entry of FINGERPRINT, or NULL. */
struct suspect_entry *
suspect_entry_find (const struct suspect_owner *owner,
                    const struct suspect_fingerprint *fingerprint);

/** The entry of FINGERPRINT, a free one if there was none. */
struct suspect_entry *
suspect_entry_make (struct suspect_owner *owner,
                    const struct suspect_fingerprint *fingerprint);

void suspect_entry_drop (struct suspect_owner *owner,
                         struct suspect_entry *entry);

/** There is no room for another entry that is not proved. */
bool suspect_entry_full (const struct suspect_owner *owner);

/** To the free state, whatever it was in. */
void suspect_entry_leave (struct suspect_owner *owner,
                          struct suspect_entry *entry);

void suspect_entry_run (struct suspect_owner *owner,
                        struct suspect_entry *entry, uint64_t gateway,
                        uint64_t run);

/** Give the slot back; may drop ENTRY. */
void suspect_entry_release (struct suspect_owner *owner,
                            struct suspect_entry *entry);

/** Clear ENTRY; may drop the oldest proved one. */
void suspect_entry_prove (struct suspect_owner *owner,
                          struct suspect_entry *entry);

/** @param orphan its gateway is gone, no death was seen */
void suspect_entry_use_up (struct suspect_owner *owner,
                           struct suspect_entry *entry, bool orphan);

void suspect_entry_taint (struct suspect_owner *owner,
                          struct suspect_entry *entry);

/** Keep the slot for a run alone through GATEWAY. */
void suspect_entry_reserve (struct suspect_owner *owner,
                            struct suspect_entry *entry, uint64_t gateway);

/** The record counts the slot as used up: it is, or a run alone may do it. */
bool suspect_entry_written_used (const struct suspect_entry *entry);

/** MESSAGE comes from the run that ENTRY was given to; ENTRY may be NULL. */
bool suspect_entry_holds (const struct suspect_entry *entry,
                          const struct suspect_message *message);

#endif
