#ifndef POISONCOUNT_H
#define POISONCOUNT_H

#include "leasedkeys.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * Counts the backend servers that each request has crashed, over all hosts
 * through the KV service, and blocks poison requests. Otherwise a request that
 * callers repeat could crash one server after another.
 *
 * Each crash is one key, made of the request's fingerprint and the server.
 * Hosts therefore need not update a shared count, and a key that is written
 * twice counts once.
 */

struct poisoncount
{
  /** Writes the keys, which outlast the session within which callers repeat a
   * request. */
  struct leasedkeys keys;
  /** Maps fingerprints to the number of crashed servers. */
  GHashTable *crash_counts;
  GHashTable *counted_keys; /**< Set of the keys that crash_counts includes. */
  /** Maps the servers whose crashes have another cause than the requests to
   * the times until which that holds. */
  GHashTable *forgiven;
  GHashTable *cleared; /**< Set of the fingerprints of requests that a server
                          has run without a crash. */
  const char *prefix;
};

/** Initialise POISONCOUNT with the prefix of its keys, PREFIX, which must
 * outlive it. */
void poisoncount_init (struct poisoncount *poisoncount, struct kv *kv,
                       const struct clock *clock, const char *prefix);
void poisoncount_finish (struct poisoncount *poisoncount);

/** Return the fingerprint of a request, which is the same for equal requests
 * of one organisation. */
uint64_t poisoncount_fingerprint (const char *organisation, const char *target,
                                  const void *body, size_t size);

/** Count that SERVER crashed while it ran the request. */
void poisoncount_report_crash (struct poisoncount *poisoncount,
                               uint64_t fingerprint, const char *server);

/** Record that the crash of SERVER had another cause than most of the requests
 * that it ran, so that it does not count against them. Crashes of a later
 * start of SERVER count again after two minutes. */
void poisoncount_forgive_server (struct poisoncount *poisoncount,
                                 const char *server);

/** Record that a server ran the request without a crash, so that this host no
 * longer counts its crashes. */
void poisoncount_clear (struct poisoncount *poisoncount, uint64_t fingerprint);

/** Return the number of servers that have crashed while they ran the request,
 * as far as this host knows. */
unsigned poisoncount_crashes (const struct poisoncount *poisoncount,
                              uint64_t fingerprint);

/** Whether the request has crashed too many servers to be run again. */
bool poisoncount_is_blocked (const struct poisoncount *poisoncount,
                             uint64_t fingerprint);

/** Update the crash counts after KEY, which has the prefix, was written or
 * removed in the KV service. */
void poisoncount_key_put (struct poisoncount *poisoncount, const char *key);
void poisoncount_key_removed (struct poisoncount *poisoncount,
                              const char *key);

/** The KV service has come back from a backup: write the keys of all crashes
 * again that count. */
void poisoncount_era_changed (struct poisoncount *poisoncount);

/** Write the keys of new crashes to the KV service. */
void poisoncount_tick (struct poisoncount *poisoncount);

#endif
