#ifndef KVERA_H
#define KVERA_H

#include "kv.h"
#include "list.h"

/** @file
 * A KV interface that passes calls on to another one and notices when the
 * service has come back from a backup, by the era that its replies state.
 *
 * Revisions and lease ids of different eras can't be compared. When a reply
 * states a higher era than any before, the users are told first. Then all
 * calls that were sent before end with STATUS_UNKNOWN, since whether their
 * effect lasts is unknown, and are cancelled. A reply of an older
 * era ends its call in the same way. Replies that state no era are passed on.
 */

struct kvera_ops
{
  /** The service is in ERA. OLD_ERA is the era before; 0 if none was known, so
   * that nothing is lost. */
  void (*era_changed) (void *data, uint64_t old_era, uint64_t era);
};

struct kvera
{
  struct kv kv; /**< The interface that the users call. */
  struct kv *service;
  const struct kvera_ops *ops;
  void *data;
  uint64_t era;             /**< Highest era of any reply; 0 if none. */
  uint64_t rise_count;      /**< Number of rises since the start. */
  uint64_t old_reply_count; /**< Number of replies of an older era. */
  struct list calls;        /* Calls without a reply. */
};

/** SERVICE must outlive KVERA. All calls must have ended before the memory of
 * KVERA is reused. */
void kvera_init (struct kvera *kvera, struct kv *service,
                 const struct kvera_ops *ops, void *data);

#endif
