#ifndef LEASEDKEYS_H
#define LEASEDKEYS_H

#include "clock.h"
#include "kv.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * Writes keys to the KV service that expire 60 to 120 s later. Many keys share
 * a lease, and keys that are added together are written in one call. A write
 * that fails is repeated.
 */

struct leasedkeys
{
  struct kv *kv;
  const struct clock *clock;
  uint64_t lease_id; /**< Lease that keys are written with; 0 if no lease is
                        granted. */
  int64_t lease_granted_ns;
  bool lease_requested;
  GPtrArray *pending;  /**< Writes that have not succeeded yet, the oldest
                          first. */
  unsigned sent_count; /**< Number of the first writes of `pending` whose reply
                          is outstanding. */
  int64_t next_call_ns; /**< Earliest time of the next call. */
};

void leasedkeys_init (struct leasedkeys *keys, struct kv *kv,
                      const struct clock *clock);
void leasedkeys_finish (struct leasedkeys *keys);

/** Write VALUE to KEY with one of the next calls of leasedkeys_tick, or delete
 * KEY if VALUE is NULL. */
void leasedkeys_add (struct leasedkeys *keys, const char *key,
                     const char *value);

/** The KV service has come back from a backup: use no lease of before. */
void leasedkeys_era_changed (struct leasedkeys *keys);

/** Write the pending keys to the KV service, or request a lease if they need a
 * new one. */
void leasedkeys_tick (struct leasedkeys *keys);

#endif
