#ifndef GONESERVERS_H
#define GONESERVERS_H

#include "clock.h"
#include "servers.h"

/** @file
 * Remembers the backend servers whose registry entries were removed. A KV
 * service that comes back from a backup may have these entries again, although
 * the servers have announced that they leave or have ended.
 */

struct goneservers
{
  const struct clock *clock;
  GHashTable *by_id; /**< Maps ids to struct goneserver. */
};

void goneservers_init (struct goneservers *gone, const struct clock *clock);
void goneservers_finish (struct goneservers *gone);

/** Notes that the server with ENTRY was removed in ERA of the KV service. */
void goneservers_add (struct goneservers *gone,
                      const struct server_entry *entry, uint64_t era);

/** Whether ENTRY, which is in a backup that the service came back from in ERA,
 * is no newer than an entry that was removed in an older era. */
bool goneservers_has (const struct goneservers *gone,
                      const struct server_entry *entry, uint64_t era);

#endif
