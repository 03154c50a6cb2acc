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
 * What one process knows of all others, and the rule that says which of two
 * words about a process is the newer one.
 */

enum
{
  MEMBER_NAME_MAX = 48,    /**< bytes, with the final NUL */
  MEMBER_CENTRE_MAX = 24,  /**< bytes, with the final NUL */
  MEMBER_ADDRESS_MAX = 24, /**< bytes of "IP:PORT", with the final NUL */
  MEMBER_LIMIT = 4096      /**< processes in a table */
};

/** Later ones win at the same incarnation and version. */
enum member_state
{
  MEMBER_ALIVE,
  MEMBER_SUSPECT,
  MEMBER_DEAD,
  MEMBER_LEFT, /**< ended by its own word, or replaced at its address */
  MEMBER_STATE_COUNT
};

const char *member_state_name (enum member_state state);

/** What is spread about one process. */
struct member_row
{
  uint64_t id;                /**< roster_id of the name */
  uint64_t incarnation;       /**< of this run of the process */
  uint64_t revision;          /**< of the configuration it has in force */
  uint32_t version;           /**< rises when the process refutes or leaves */
  uint8_t state;              /**< enum member_state */
  uint8_t role;               /**< enum settings_role */
  bool leaving;               /**< still serves, takes no new callers */
  char name[MEMBER_NAME_MAX]; /**< "" in a row without the fixed fields */
  char data_centre[MEMBER_CENTRE_MAX];
  char peer_address[MEMBER_ADDRESS_MAX];
  char http_address[MEMBER_ADDRESS_MAX];
};

struct member_entry
{
  struct member_row row;
  struct list queued; /**< among the rows that are to be spread */
  struct list timed;  /**< among the suspects, or the dead */
  int64_t since_ns;   /**< of the state */
  uint32_t slot;      /**< in the group's live ones */
  uint32_t place;     /**< in the table's entries */
  uint8_t sends_left;
  bool fresh; /**< Others may not know its fixed fields. */
  bool live;
};

/** The live processes of one data centre. */
struct member_group
{
  char data_centre[MEMBER_CENTRE_MAX];
  GPtrArray *live; /**< struct member_entry */
};

struct membertable
{
  uint64_t self;
  GPtrArray *entries; /**< struct member_entry, without the process */
  GHashTable *by_id;  /**< id to entry */
  GHashTable *by_address;
  GArray *groups;       /**< struct member_group */
  struct list suspects; /**< longest first */
  struct list dead;     /**< next to probe first */
  size_t live_count;
  struct member_entry *replaced; /**< by the last merge, at its address */
};

void membertable_init (struct membertable *table, uint64_t self);
void membertable_finish (struct membertable *table);

struct member_entry *membertable_find (const struct membertable *table,
                                       uint64_t id);
struct member_entry *membertable_at (const struct membertable *table,
                                     const char *peer_address);

/** Take in ROW.
 * @param changed receives the entry
 * @return STATUS_OK (the entry says more than before), STATUS_STALE (nothing
 * new), STATUS_NOT_FOUND (the fixed fields are needed), STATUS_LIMITED. */
enum status membertable_merge (struct membertable *table,
                               const struct member_row *row, int64_t now_ns,
                               struct member_entry **changed);

void membertable_drop (struct membertable *table, struct member_entry *entry);

/** A live process, or NULL: of DATA_CENTRE if NEAR, else of another one. */
struct member_entry *membertable_pick (const struct membertable *table,
                                       struct rng *rng,
                                       const char *data_centre, bool near);

#endif
