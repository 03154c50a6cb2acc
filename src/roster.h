#ifndef ROSTER_H
#define ROSTER_H

#include "clock.h"
#include "settings.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * The processes of this system that one process knows: whom to ask first. No
 * agreement is drawn from it.
 */

enum
{
  ROSTER_ENTRIES_MAX = 4096
};

struct roster_entry
{
  uint64_t id; /**< hash of the name */
  uint64_t incarnation;
  uint64_t config_revision;
  char name[SETTINGS_TEXT_MAX];
  char data_centre[SETTINGS_TEXT_MAX];
  char peer_address[SETTINGS_TEXT_MAX];
  char http_address[SETTINGS_TEXT_MAX];
  enum settings_role role;
  bool alive;
  bool leaving;
};

struct roster
{
  struct roster_entry *entries;
  size_t count;
  uint64_t change; /**< rises with each change of who is alive */
  void *by_id;     /**< hash table: id to index in entries */
  void *by_node;   /**< hash table: node of a live shard to index */
  size_t *shards;  /**< indices of the live shards */
  size_t shard_count;
};

void roster_init (struct roster *roster);
void roster_finish (struct roster *roster);

/** The id of the process NAME. */
uint64_t roster_id (const char *name);

/** Take in what is known of a process; an older incarnation changes nothing.
 * A full roster forgets one that is not alive for a new one.
 * @return STATUS_STALE for that, STATUS_LIMITED if all are alive. */
enum status roster_update (struct roster *roster,
                           const struct roster_entry *entry);

/** The process ID, or NULL. */
struct roster_entry *roster_find (const struct roster *roster, uint64_t id);

/** Mark the process ID as alive or not. */
void roster_set_alive (struct roster *roster, uint64_t id, bool alive);

/** The id of one run of a process: differs between two of its starts. */
uint64_t roster_node (const struct roster_entry *entry);

/** Write the nodes of the live shards to NODES, at most MAX.
 * @return their number. */
size_t roster_shard_nodes (const struct roster *roster, uint64_t *nodes,
                           size_t max);

/** The live shard of NODE, or NULL. */
const struct roster_entry *roster_by_node (const struct roster *roster,
                                           uint64_t node);

/** The live shard that ought to own PARTITION (owner.h), or NULL. */
const struct roster_entry *roster_owner (const struct roster *roster,
                                         unsigned partition);

/** The process of INCARNATION, or NULL. */
const struct roster_entry *roster_by_incarnation (const struct roster *roster,
                                                  uint64_t incarnation);

/** The live shard process that KEY falls to, or NULL. */
const struct roster_entry *roster_shard (const struct roster *roster,
                                         const void *key, size_t size);

#endif
