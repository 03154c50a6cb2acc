#ifndef KVSTORETURN_H
#define KVSTORETURN_H

#include "kvstores.h"

/** @file
 * When a host queries which KV cache store.
 */

/** Return the time in nanoseconds within which every host polls each store at
 * least once. */
int64_t kvstoreturn_period_ns (const struct kvstores *kvstores);

/** Whether this host is a poller of STORE. */
bool kvstoreturn_is_polled_here (struct kvstore *store);

/** Whether the next reply of STORE has all that it holds, not only what has
 * changed. */
bool kvstoreturn_catches_up (const struct kvstore *store);

/** Whether STORE is to be queried at NOW, by clock_now. A rotation slot counts
 * as used then. */
bool kvstoreturn_is_due (struct kvstore *store, int64_t now);

#endif
