#ifndef BLAMESTORE_H
#define BLAMESTORE_H

#include "blame.h"
#include "leasedkeys.h"
#include "presence.h"

/** @file
 * Keeps the blocks of blame.h in the KV service, one key each, for processes
 * that start later. The keys expire, and are written again while the block
 * lasts.
 */

struct blamestore
{
  struct blame *blame;
  struct leasedkeys keys;
  const struct clock *clock;
  const struct presence *presence;
  const char *prefix;
};

/** @param prefix prefix of the keys, which must outlive BLAMESTORE */
void blamestore_init (struct blamestore *blamestore, struct blame *blame,
                      struct kv *kv, const struct clock *clock,
                      const struct presence *presence, const char *prefix);
void blamestore_finish (struct blamestore *blamestore);

/** Handle that KEY, which has the prefix, was written or removed. */
void blamestore_key_put (struct blamestore *blamestore, const char *key,
                         const char *value);
void blamestore_key_removed (struct blamestore *blamestore, const char *key);

/** Remove the key of PART, whose block has ended. */
void blamestore_remove (struct blamestore *blamestore,
                        const struct blame_part *part);

/** The KV service has come back from a backup: write the keys of all blocks
 * again. */
void blamestore_era_changed (struct blamestore *blamestore);

/** Write the keys of new blocks. */
void blamestore_tick (struct blamestore *blamestore);

#endif
