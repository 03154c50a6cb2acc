#ifndef ROSTER_H
#define ROSTER_H

#include "clock.h"
#include "settings.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * The processes of this system that one process has received rows about. It
 * is used to choose which process to contact first. The rosters of two
 * processes may differ, so nothing that needs agreement may depend on them.
 */

enum
{
  ROSTER_ENTRIES_MAX = 4096
};

struct roster_entry
{
  uint64_t id; /**< Id of the process: roster_id_from_name of its name. */
  uint64_t incarnation; /**< Number of this run of the process; a later run has
                           a higher number. */
  uint64_t config_revision; /**< Revision of the configuration in force at the
                               process. */
  char name[SETTINGS_TEXT_MAX];
  char data_centre[SETTINGS_TEXT_MAX];
  char peer_address[SETTINGS_TEXT_MAX];
  char http_address[SETTINGS_TEXT_MAX];
  enum settings_role role;
  bool alive;
  bool leaving; /**< Whether the process is leaving: it still serves, but takes
                   no new callers. */
};

struct roster
{
  struct roster_entry *entries;
  size_t count;
  uint64_t change_count; /**< Number of changes of any process's incarnation,
                            alive or leaving. */
  void *by_id;   /**< GHashTable that maps the id of a process to its index in
                    entries. */
  void *by_node; /**< GHashTable that maps the roster_node_id of a live shard
                    to an index in entries. */
  size_t *serving_shard_indices; /**< Indices in entries of the live shards
                     that are not leaving. */
  size_t serving_shard_count;
};

void roster_init (struct roster *roster);
void roster_finish (struct roster *roster);

/** Return the id of the process or backend server NAME, a hash of NAME. */
uint64_t roster_id_from_name (const char *name);

/** Add or update the entry of a process. In a full roster a new process
 * replaces one that is not alive.
 * @return STATUS_STALE if ENTRY has an older incarnation and is ignored,
 * STATUS_LIMITED if the roster is full and all processes are alive. */
enum status roster_update (struct roster *roster,
                           const struct roster_entry *entry);

/** Return the entry of the process ID, or NULL if there is none. */
struct roster_entry *roster_find (const struct roster *roster, uint64_t id);

/** Mark the process ID as alive or not alive. */
void roster_set_alive (struct roster *roster, uint64_t id, bool alive);

/** @return the id of one run of a process, never 0; it differs between two
 * runs of one process. */
uint64_t roster_node_id (const struct roster_entry *entry);

/** Write the roster_node_id of at most MAX live shards to NODES.
 * @return the number of ids written. */
size_t roster_shard_node_ids (const struct roster *roster, uint64_t *nodes,
                              size_t max);

/** Return the live shard whose roster_node_id is NODE, or NULL if there is
 * none. */
const struct roster_entry *roster_find_node (const struct roster *roster,
                                             uint64_t node);

/** @return the live shard that should own PARTITION by rendezvous hashing (see
 * owner.h), or NULL. The record in the KV service names the actual owner. */
const struct roster_entry *roster_preferred_owner (const struct roster *roster,
                                                   unsigned partition);

/** Return the process with INCARNATION, or NULL if there is none. */
const struct roster_entry *
roster_find_incarnation (const struct roster *roster, uint64_t incarnation);

/** @return the live shard that is responsible for KEY by rendezvous hashing,
 * or NULL. */
const struct roster_entry *
roster_find_shard_for_key (const struct roster *roster, const void *key,
                           size_t size);

#endif
