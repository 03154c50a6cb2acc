#ifndef POISONCOUNT_H
#define POISONCOUNT_H

#include "clock.h"
#include "kv.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * Counts the crashes of backend servers for each request, over all hosts and
 * through the KV service, and blocks poison requests. Otherwise one request
 * that is repeated again and again would crash a server each time.
 *
 * Each crash is one key, made of the request's fingerprint and the server, so
 * that hosts need not agree on a count and a repeated write counts once.
 */

struct poisoncount
{
  struct kv *kv;
  const struct clock *clock;
  uint64_t lease_id; /**< Lease of the keys written; 0: none granted. */
  int64_t lease_granted_ns;
  bool lease_requested;
  GPtrArray *pending_keys;  /**< Keys that are not written yet. */
  GHashTable *crash_counts; /**< Fingerprint to number of crashed servers. */
  GHashTable *counted_keys; /**< Set of the keys in crash_counts. */
  GHashTable *cleared;      /**< Set of fingerprints that a server has run
                                 without a crash. */
  const char *prefix;
};

/** Initialise with the key prefix PREFIX, which outlives POISONCOUNT. */
void poisoncount_init (struct poisoncount *poisoncount, struct kv *kv,
                       const struct clock *clock, const char *prefix);
void poisoncount_finish (struct poisoncount *poisoncount);

/** Return a value that identifies equal requests of an organisation. */
uint64_t poisoncount_fingerprint (const char *organisation, const char *target,
                                  const void *body, size_t size);

/** Count that SERVER crashed while it ran the request. */
void poisoncount_report_crash (struct poisoncount *poisoncount,
                               uint64_t fingerprint, const char *server);

/** Record that a server ran the request without a crash. */
void poisoncount_clear (struct poisoncount *poisoncount, uint64_t fingerprint);

/** Whether the request has crashed too many servers to be run again. */
bool poisoncount_is_blocked (const struct poisoncount *poisoncount,
                             uint64_t fingerprint);

/** Handle that a key under the prefix was written or removed. */
void poisoncount_key_put (struct poisoncount *poisoncount, const char *key);
void poisoncount_key_removed (struct poisoncount *poisoncount,
                              const char *key);

/** Write pending keys, or request a lease for them. */
void poisoncount_tick (struct poisoncount *poisoncount);

#endif
