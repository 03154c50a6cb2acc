#ifndef PRESENCE_H
#define PRESENCE_H

#include "clock.h"
#include "kv.h"
#include "status.h"

#include <glib.h>
#include <stdbool.h>

/** @file
 * The registry of the hosts that serve now: each host keeps a record under a
 * key of its own in the KV service, tied to a lease, and reads the records of
 * the others.
 */

enum
{
  PRESENCE_TEXT_MAX = 64,      /**< Size of a text with its NUL, in bytes. */
  PRESENCE_ADDRESSES_MAX = 64, /**< Addresses in one directory response. */
  PRESENCE_MODELS_MAX = 8      /**< Models with weights in one record. */
};

/** The host fetches no KV cache that older weights of the model made. */
struct presence_weights
{
  char model[PRESENCE_TEXT_MAX];
  uint64_t oldest_version;
};

struct presence_host
{
  char address[PRESENCE_TEXT_MAX]; /**< Address for callers. */
  char peer[PRESENCE_TEXT_MAX];    /**< Address for other hosts. */
  char data_centre[PRESENCE_TEXT_MAX];
  bool leaving;
  struct presence_weights weights[PRESENCE_MODELS_MAX];
  unsigned weights_count;
};

struct presence
{
  struct kv *kv;
  const struct clock *clock;
  char *key; /**< Key of this host's record. */
  struct presence_host self;
  int64_t ttl_ns;
  uint64_t lease;          /**< Lease of this host; 0: none. */
  int64_t lease_expiry_ns; /**< Boot time at which the lease may expire. */
  int64_t next_renewal_ns;
  bool call_pending;
  bool key_is_current; /**< The key holds the values of `self`. */
  GHashTable *hosts;   /**< Key to struct presence_host of the other hosts. */
};

/** @param key of this host's record, used by no other host */
void presence_init (struct presence *presence, struct kv *kv,
                    const struct clock *clock, const char *key,
                    const struct presence_host *self, int64_t ttl_ns);
void presence_finish (struct presence *presence);

/** Registers this host as leaving: it takes no new callers from now on. */
void presence_leave (struct presence *presence);

/** The key of a host was written. */
enum status presence_key_put (struct presence *presence, const char *key,
                              const char *value, struct error *error);
/** The key of a host was removed. */
void presence_key_removed (struct presence *presence, const char *key);

void presence_tick (struct presence *presence);

/** Announces that this host fetches no KV cache that weights of MODEL older
 * than VERSION made. */
void presence_announce_oldest_version (struct presence *presence,
                                       const char *model, uint64_t version);

/** The version that HOST has announced for MODEL, as in
 * presence_announce_oldest_version; 0: none. */
uint64_t presence_host_oldest_version (const struct presence_host *host,
                                       const char *model);

/** Whether the lease is sure to be valid for SPAN_NS more. */
bool presence_lease_is_valid_for (const struct presence *presence,
                                  int64_t span_ns);

/** The number of hosts that serve, at least 1. A host that is leaving doesn't
 * count; this one counts unless it is leaving. */
unsigned presence_serving_count (const struct presence *presence);

/** The index of this host among all hosts, sorted by data centre and key. */
unsigned presence_own_index (const struct presence *presence);

/** All hosts as pointers to struct presence_host, sorted by data centre and
 * key, with NULL for this host; the caller frees the array. */
GPtrArray *presence_sorted_hosts (const struct presence *presence);

/** Appends the callers' addresses of hosts that are not leaving, at most
 * PRESENCE_ADDRESSES_MAX. If all are leaving, the address of this host is
 * appended alone. The strings live as long as the records of the hosts. */
void presence_list_addresses (const struct presence *presence,
                              GPtrArray *addresses);

#endif
