#ifndef SERVERSTART_H
#define SERVERSTART_H

#include "serverpause.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * What backend servers stated of themselves in responses. It belongs to one
 * start of a server and holds whatever the registry says, so it outlasts the
 * registry entry: an entry may vanish and come back while the server runs.
 */

/** Identifies one start of a server. */
struct serverstart_key
{
  const char *id;
  const char *service;
  const char *address;
  uint64_t started_ms; /**< Unix time of the start; 0 if unknown. */
};

struct serverstart
{
  char *service;
  char *address;
  uint64_t started_ms;
  int64_t recorded_ns; /**< Time of the first statement. */
  bool leaving;        /**< Whether the server stated that it leaves. */
  struct serverpause pause;
};

struct serverstart_table
{
  GHashTable *by_id; /**< Maps ids to struct serverstart. */
};

void serverstart_table_init (struct serverstart_table *table);
void serverstart_table_finish (struct serverstart_table *table);

/** Return what was stated by the start KEY or by a later one of the same
 * server, or NULL. An entry of an earlier start is out of date. */
const struct serverstart *
serverstart_find (const struct serverstart_table *table,
                  const struct serverstart_key *key);

/** Return the record of the start KEY, which is added if there is none and
 * replaces that of an earlier start; NULL if a later start has a record. */
struct serverstart *serverstart_obtain (struct serverstart_table *table,
                                        const struct serverstart_key *key,
                                        int64_t now_ns);

#endif
