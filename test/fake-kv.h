#ifndef FAKE_KV_H
#define FAKE_KV_H

#include "clock.h"
#include "kv.h"
#include "list.h"
#include "rng.h"

#include <stdbool.h>

/** @file
 * An in-process KV service with a fake clock and seeded faults.
 *
 * Each simulated process of a test has a client of its own and uses its `kv`.
 * Calls and leases advance only in fake_kv_step, in the order of their times:
 * a call takes effect after half of its latency, and its reply arrives after
 * the whole latency.
 */

enum fake_kv_call_kind
{
  FAKE_KV_GET,
  FAKE_KV_RANGE,
  FAKE_KV_TXN,
  FAKE_KV_LEASE_GRANT,
  FAKE_KV_LEASE_KEEPALIVE,
  FAKE_KV_LEASE_REVOKE,
  FAKE_KV_WATCH,
  FAKE_KV_KIND_COUNT
};

/** Faults of the service. A change applies to the calls that start later. */
struct fake_kv_faults
{
  /** Whether calls fail with STATUS_UNAVAILABLE, without effect. */
  bool down;
  int64_t latency_ns; /**< Time from call to reply; initially 2 ms. */
  int64_t jitter_ns;  /**< Maximum of a random addition to the latency. */
  /** Share of calls whose latency is increased by late_ns. */
  double late_share;
  int64_t late_latency_ns;
  /** Bit set of the kinds (enum fake_kv_call_kind) that late applies to; 0
   * means all kinds. */
  unsigned late_kinds;
  /** Share of calls that fail with STATUS_UNKNOWN and have no effect. */
  double lost_before_effect_share;
  /** Share of calls that fail with STATUS_UNKNOWN but take effect. */
  double lost_after_effect_share;
  double limited_share; /**< Share of calls that fail with STATUS_LIMITED. */
  /** Number of next transactions that fail with STATUS_UNKNOWN and have no
   * effect. */
  unsigned txns_lost_before_effect;
  /** Number of next transactions that fail with STATUS_UNKNOWN but take
   * effect. */
  unsigned txns_lost_after_effect;
  /** Calls per second; calls above it fail with STATUS_LIMITED. 0 means no
   * limit. */
  double calls_per_s_max;
  /** Maximum size of a value in bytes; initially KV_VALUE_MAX. */
  size_t value_max_bytes;
};

struct fake_kv
{
  struct fake_kv_faults faults;
  /** Number of calls of each kind, including failed calls. */
  uint64_t call_counts[FAKE_KV_KIND_COUNT];
  uint64_t
      limited_count; /**< Number of calls that failed with STATUS_LIMITED. */
  uint64_t revision;
  /** Era that the replies state; 0 means that they state none. */
  uint64_t era;
  /** Whether watches report the deletion of keys; otherwise only a range shows
   * that they are gone. */
  bool reports_deletions;
  size_t pending_watch_count; /**< Number of pending watches. */

  const struct clock *clock;
  struct rng rng;
  void *items;     /* GTree from key to struct fake_kv_item, sorted by key. */
  void *deletions; /* GHashTable from deleted key to revision, as a pointer. */
  struct list pending_calls;
  struct list leases;
  void *backup; /* struct fake_kv_backup, or NULL. */
  uint64_t last_lease_id;
  uint64_t last_call_number;
  double allowed_calls; /* Calls that the rate limit allows now. */
  int64_t allowed_calls_updated_ns;
};

/** Client of the service that one simulated process uses. */
struct fake_kv_client
{
  struct kv kv; /**< Interface that the module under test uses. */
  struct fake_kv *service;
  bool down;   /**< Whether the service is down for this client only. */
  bool paused; /**< Whether replies are delayed until this is false. */
};

void fake_kv_init (struct fake_kv *fake, const struct clock *clock,
                   uint64_t seed);
/** Free the service. Pending calls get no reply. */
void fake_kv_finish (struct fake_kv *fake);

void fake_kv_client_init (struct fake_kv_client *client, struct fake_kv *fake);
/** End the pending calls of CLIENT with STATUS_CANCELLED. They still take
 * effect in the service. */
void fake_kv_client_finish (struct fake_kv_client *client);
/** Simulate a crash of the process of CLIENT: its pending calls get no reply,
 * but still take effect in the service. */
void fake_kv_client_kill (struct fake_kv_client *client);

/** Execute the calls, send the replies and expire the leases that are due at
 * the clock's time.
 *
 * @return The number of calls that ended. */
size_t fake_kv_step (struct fake_kv *fake);
/** @return The time at which the next call or lease is due, or CLOCK_NEVER. */
int64_t fake_kv_next_tick_ns (const struct fake_kv *fake);

/** @return The value of KEY, valid until its next change, or NULL if KEY does
 * not exist. */
const char *fake_kv_key_value (const struct fake_kv *fake, const char *key);
/** @return The revision of KEY, or 0 if KEY does not exist. */
uint64_t fake_kv_key_revision (const struct fake_kv *fake, const char *key);
/** Write KEY immediately, unaffected by the faults. A VALUE of NULL deletes
 * it. */
void fake_kv_put (struct fake_kv *fake, const char *key, const char *value);
/** Expire LEASE now; 0 expires all leases. */
void fake_kv_lease_expire (struct fake_kv *fake, uint64_t lease);
/** Make a backup of the keys, leases and revision, in place of an earlier one.
 */
void fake_kv_back_up (struct fake_kv *fake);
/** Bring the service back from the backup: what was written since is gone, the
 * revisions and lease ids since are given out again, and the era rises unless
 * the service states none. Leases of the backup run anew. Calls that have not
 * taken effect do so in the new era; replies that are on their way still state
 * the older one. */
void fake_kv_restore (struct fake_kv *fake);
/** @return The number of calls of all kinds. */
uint64_t fake_kv_call_count (const struct fake_kv *fake);

#endif
