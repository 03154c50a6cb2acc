#ifndef PRESENCE_H
#define PRESENCE_H

#include "clock.h"
#include "kv.h"
#include "status.h"

#include <glib.h>
#include <stdbool.h>

/** @file
 * The hosts that serve now: each keeps a key of its own in the KV service
 * under a lease, and reads the keys of the others.
 */

enum
{
  PRESENCE_TEXT_MAX = 64,      /**< bytes, with the final NUL */
  PRESENCE_ADDRESSES_MAX = 64, /**< in an answer to callers */
  PRESENCE_MODELS_MAX = 8      /**< Weights of more models are not told. */
};

/** A host fetches no cached parts of a model's weights before this version. */
struct presence_weights
{
  char model[PRESENCE_TEXT_MAX];
  uint64_t version;
};

struct presence_host
{
  char address[PRESENCE_TEXT_MAX]; /**< for callers */
  char peer[PRESENCE_TEXT_MAX];    /**< for other hosts */
  char data_centre[PRESENCE_TEXT_MAX];
  bool leaving;
  struct presence_weights weights[PRESENCE_MODELS_MAX];
  unsigned weights_count;
};

struct presence
{
  struct kv *kv;
  const struct clock *clock;
  char *key; /**< of this host */
  struct presence_host self;
  int64_t ttl_ns;
  uint64_t lease;   /**< 0: none */
  int64_t valid_ns; /**< boot time at which the lease may end */
  int64_t renew_ns; /**< next renewal */
  bool in_call;
  bool written;      /**< The key holds what `self` says. */
  GHashTable *hosts; /**< key to struct presence_host, without this host */
};

/** @param key under which this host is listed, unique to it */
void presence_init (struct presence *presence, struct kv *kv,
                    const struct clock *clock, const char *key,
                    const struct presence_host *self, int64_t ttl_ns);
void presence_finish (struct presence *presence);

/** This host takes no new callers from now on. */
void presence_leave (struct presence *presence);

/** The key of a host has a new value, or is gone. */
enum status presence_put (struct presence *presence, const char *key,
                          const char *value, struct error *error);
void presence_removed (struct presence *presence, const char *key);

void presence_tick (struct presence *presence);

/** Tell the other hosts that this one fetches no cached parts of MODEL's
 * weights before VERSION. */
void presence_tell_weights (struct presence *presence, const char *model,
                            uint64_t version);

/** What HOST has told of MODEL; 0: nothing. */
uint64_t presence_host_weights (const struct presence_host *host,
                                const char *model);

/** Whether the lease surely holds for SPAN_NS more. */
bool presence_lease_holds (const struct presence *presence, int64_t span_ns);

/** Hosts that serve, this one included. */
unsigned presence_count (const struct presence *presence);

/** The place of this host among all in the order of their data centres and
 * keys. */
unsigned presence_index (const struct presence *presence);

/** All hosts in the order of their data centres and keys, NULL for this one;
 * the caller frees the array. */
GPtrArray *presence_ordered (const struct presence *presence);

/** Append the callers' addresses of hosts that serve, at most
 * PRESENCE_ADDRESSES_MAX; this one's is there only if it serves or no other
 * does. The strings live as long as the
 * hosts do. */
void presence_addresses (const struct presence *presence,
                         GPtrArray *addresses);

#endif
