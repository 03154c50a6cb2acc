#ifndef PRESENCE_H
#define PRESENCE_H

#include "clock.h"
#include "departures.h"
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
  PRESENCE_TEXT_MAX = 64, /**< Maximum size of a text in a record, in bytes,
                             including the final NUL. */
  /** Maximum number of addresses in one directory response. */
  PRESENCE_ADDRESSES_MAX = 64,
  /** Maximum number of models whose weights one record has. */
  PRESENCE_MODELS_MAX = 8
};

/** What hosts tell each other, in the order in which it was added. */
enum presence_form
{
  /** Hosts fetch only from stores that were confirmed a short time ago. */
  PRESENCE_FORM_STORES_CONFIRMED = 1,
  /** Hosts keep to their room at brittle servers. */
  PRESENCE_FORM_BRITTLE_ROOM = 2,
  /** Hosts divide servers among subsets by subsetdivide. */
  PRESENCE_FORM_STABLE_SUBSETS = 3,
  PRESENCE_FORM_OWN = PRESENCE_FORM_STABLE_SUBSETS
};

/** A model, and the oldest version of its weights whose KV cache the host
 * still fetches. */
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
  /** Version of what the host tells other hosts and relies on, a value of enum
   * presence_form; 0 for a host of an earlier version. */
  unsigned form;
  /** Whether the host keeps subsets of the usual size though it has too few
   * servers for them, see subsets.h. */
  bool keeps_usual_subsets;
  struct presence_weights weights[PRESENCE_MODELS_MAX];
  unsigned weights_count;
};

/** The hosts in their order, as of a generation. */
struct presence_order
{
  uint64_t generation;
  unsigned own_index;
  GPtrArray *hosts; /**< NULL if they were not sorted yet. */
};

struct presence
{
  struct kv *kv;
  const struct clock *clock;
  char *key; /**< Key of this host's record. */
  struct presence_host self;
  int64_t ttl_ns;
  uint64_t lease;        /**< Lease of this host; 0 if it has none. */
  uint64_t listed_lease; /**< Lease with which this host's key was written; 0
                            if the key may be missing. */
  /** Time since which the key has been in the KV service without a break. */
  int64_t listed_ns;
  int64_t lease_expiry_ns; /**< Boot time at which the lease may expire. */
  int64_t next_renewal_ns;
  bool call_pending;
  bool key_is_current; /**< Whether the key in the KV service has the values of
                          `self`. */
  /** Maps the keys of the other hosts to struct presence_host. */
  GHashTable *hosts;
  uint64_t generation; /**< Rises with each change of the other hosts. */
  struct departures departures; /**< Of other hosts. */
  struct presence_order *order;
};

/** @param key the key of this host's record in the KV service; no other host
 * uses it */
void presence_init (struct presence *presence, struct kv *kv,
                    const struct clock *clock, const char *key,
                    const struct presence_host *self, int64_t ttl_ns);
void presence_finish (struct presence *presence);

/** Registers this host as leaving, so that callers stop using it. */
void presence_leave (struct presence *presence);

/** Handles the write of VALUE to the KEY of a host. */
enum status presence_key_put (struct presence *presence, const char *key,
                              const char *value, struct error *error);
/** Handles the removal of the KEY of a host. */
void presence_key_removed (struct presence *presence, const char *key);

/** The KV service has come back from a backup: take a new lease and write the
 * record of this host again. */
void presence_era_changed (struct presence *presence);

void presence_tick (struct presence *presence);

/** Announces that this host fetches no KV cache that was computed with weights
 * of MODEL older than VERSION. */
void presence_announce_oldest_version (struct presence *presence,
                                       const char *model, uint64_t version);

/** Returns the version that HOST has announced for MODEL by
 * presence_announce_oldest_version; 0 if there is none. */
uint64_t presence_host_oldest_version (const struct presence_host *host,
                                       const char *model);

/** Announces whether this host keeps subsets of the usual size. */
void presence_announce_usual_subsets (struct presence *presence, bool keeps);

/** Whether most of the other hosts have announced that they keep subsets of
 * the usual size. */
bool presence_most_keep_usual_subsets (const struct presence *presence);

/** Whether the lease of this host is sure to stay valid for another SPAN_NS.
 */
bool presence_lease_is_valid_for (const struct presence *presence,
                                  int64_t span_ns);

/** Returns the time, by clock_now, since which the record of this host has
 * been in the KV service without a break; 0 if it may not be there now. */
int64_t presence_listed_ns (const struct presence *presence);

/** Returns the name of the host with the key KEY, its last part. */
const char *presence_host_name (const char *key);

/** Returns the number of hosts that are not leaving, but at least 1. This host
 * is counted unless it is leaving. */
unsigned presence_serving_count (const struct presence *presence);

/** Whether all hosts have FORM or a later one. */
bool presence_all_have_form (const struct presence *presence, unsigned form);

/** Returns the index of this host among all hosts, sorted by data centre and
 * key. */
unsigned presence_own_index (const struct presence *presence);

/** Returns the number of other hosts that are not leaving and come before this
 * one in the rendezvous order for the KEY of SIZE bytes, which is the same on
 * all hosts. */
unsigned presence_rank (const struct presence *presence, const void *key,
                        size_t size);

/** The same, counting the hosts that are leaving. */
unsigned presence_rank_of_all (const struct presence *presence,
                               const void *key, size_t size);

/** Returns the keys of the first MAX hosts in the order of
 * presence_rank_of_all, with NULL for this host; to be freed with
 * g_ptr_array_free. */
GPtrArray *presence_first_hosts (const struct presence *presence,
                                 const void *key, size_t size, unsigned max);

/** Returns all hosts as pointers to struct presence_host, sorted by data
 * centre and key, with NULL for this host. The array is valid until a host
 * changes. */
const GPtrArray *presence_sorted_hosts (const struct presence *presence);

/** Appends the addresses for callers of hosts that are not leaving to
 * ADDRESSES, at most PRESENCE_ADDRESSES_MAX, which are spread evenly over all
 * hosts. If all hosts are leaving, only
 * the address of this host is appended. The strings live as long as the
 * records of the hosts. */
void presence_list_addresses (const struct presence *presence,
                              GPtrArray *addresses);

/** Whether HOST may be listed. */
typedef bool (*presence_allows_host) (const void *data,
                                      const struct presence_host *host);

/** The same for the hosts that ALLOWS, or for all if it allows none. */
void presence_list_allowed (const struct presence *presence,
                            presence_allows_host allows, const void *data,
                            GPtrArray *addresses);

#endif
