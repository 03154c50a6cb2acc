#ifndef MEMBERTABLE_H
#define MEMBERTABLE_H

#include "clock.h"
#include "list.h"
#include "rng.h"
#include "settings.h"
#include "status.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * The rows of all other processes, as one process has received them, and the
 * rule that decides which of two rows about a process is newer.
 */

enum
{
  /** Size of a process name, including the final NUL. */
  MEMBER_NAME_MAX = 48,
  /** Size of a data centre name, including the final NUL. */
  MEMBER_CENTRE_MAX = 24,
  /** Size of an address "IP:PORT", including the final NUL. */
  MEMBER_ADDRESS_MAX = 24,
  MEMBER_ENTRIES_MAX = 4096 /**< Maximum number of processes in one table. */
};

/** Of two rows with the same incarnation and version, the one with the higher
 * state wins. */
enum member_state
{
  MEMBER_ALIVE,
  MEMBER_SUSPECT,
  MEMBER_DEAD,
  MEMBER_LEFT, /**< The process announced its exit, or another process with a
                * higher incarnation has its address. */
  MEMBER_STATE_COUNT
};

const char *member_state_name (enum member_state state);

/** Information about one process, which the processes exchange. A row
 * without the fixed fields (role, name, data centre and addresses) is
 * smaller; it is for receivers that already have these fields. */
struct member_row
{
  uint64_t id; /**< Id of the process, which roster_id_from_name computes from
                  its name. */
  uint64_t incarnation; /**< Number of this run of the process; a later run has
                           a higher number. */
  /** Configuration revision that the process has in force. */
  uint64_t revision;
  uint32_t version; /**< Version of this row. The process raises it when it
                       refutes a row, is leaving or exits. */
  uint8_t state;    /**< Value of enum member_state. */
  uint8_t role;     /**< Value of enum settings_role. */
  bool leaving; /**< Whether the process takes no new callers; it still serves
                   the present ones. */
  char name[MEMBER_NAME_MAX]; /**< Name of the process, or "" in a row without
                                 the fixed fields. */
  char data_centre[MEMBER_CENTRE_MAX];
  char peer_address[MEMBER_ADDRESS_MAX];
  char http_address[MEMBER_ADDRESS_MAX];
};

struct member_entry
{
  struct member_row row;
  struct list update_node; /**< Node in the queue of rows to send. */
  struct list state_node;  /**< Node in the list of suspects or dead. */
  int64_t state_since_ns;
  uint32_t group_index; /**< Index in member_group.live. */
  uint32_t table_index; /**< Index in membertable.entries. */
  uint8_t sends_left; /**< Number of times that the row is still to be sent. */
  bool needs_full_row; /**< Whether to send the fixed fields too, as other
                          processes may not have received them. */
  bool live;           /**< Whether the process is alive or suspect. */
};

/** The live processes of one data centre. */
struct member_group
{
  char data_centre[MEMBER_CENTRE_MAX];
  GPtrArray *live; /**< Array of struct member_entry. */
};

struct membertable
{
  uint64_t self_id;
  GPtrArray *entries;     /**< Array of struct member_entry, one for each other
                             process. */
  GHashTable *by_id;      /**< Map from process id to entry. */
  GHashTable *by_address; /**< Map from peer address to entry. */
  GArray *groups;         /**< Array of struct member_group. */
  struct list suspects;   /**< Suspect processes, the one that is suspect the
                             longest first. */
  struct list dead; /**< Processes that are dead or have left, the next to
                       probe first. */
  size_t live_count;
  struct member_entry *replaced; /**< Entry that lost its address to another
                                  * process in the last merge, or NULL. */
};

void membertable_init (struct membertable *table, uint64_t self_id);
void membertable_finish (struct membertable *table);

struct member_entry *membertable_find (const struct membertable *table,
                                       uint64_t id);
struct member_entry *membertable_find_address (const struct membertable *table,
                                               const char *peer_address);

/** Merge ROW into the table.
 * @param changed receives the entry of the process, or NULL if the table has
 * none
 * @return STATUS_OK (the entry changed), STATUS_STALE (ROW is not newer),
 * STATUS_NOT_FOUND (ROW lacks the fixed fields, which are needed),
 * STATUS_LIMITED (the table is full). */
enum status membertable_merge (struct membertable *table,
                               const struct member_row *row, int64_t now_ns,
                               struct member_entry **changed);

/** Remove ENTRY from the table and free it. */
void membertable_remove (struct membertable *table,
                         struct member_entry *entry);

/** @return a random live process, of DATA_CENTRE if LOCAL is true,
 * otherwise of another data centre; NULL if there is none. */
struct member_entry *membertable_pick (const struct membertable *table,
                                       struct rng *rng,
                                       const char *data_centre, bool local);

#endif
