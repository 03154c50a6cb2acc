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
 * Each process of a test has a client of its own, whose `kv` it is given.
 * Nothing happens but in fake_kv_step: a call takes effect after half of its
 * latency and is answered after all of it, in the order of time.
 */

enum fake_kv_kind
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

/** May be changed at any time; holds for calls made from then on. */
struct fake_kv_faults
{
  bool down;          /**< STATUS_UNAVAILABLE, without effect. */
  int64_t latency_ns; /**< From call to reply; 2 ms at first. */
  int64_t jitter_ns;  /**< Up to this much more, at random. */
  double late;        /**< Share of calls with LATE_NS more latency. */
  int64_t late_ns;
  unsigned late_kinds;  /**< Bit set of enum fake_kv_kind; 0: all. */
  double lost_before;   /**< Share answered STATUS_UNKNOWN, without effect. */
  double lost_after;    /**< Share answered STATUS_UNKNOWN, with effect. */
  double limited;       /**< Share answered STATUS_LIMITED. */
  unsigned lose_before; /**< The next so many transactions, then none. */
  unsigned lose_after;  /**< The same, after the effect. */
  double rate;          /**< Calls a second over which is STATUS_LIMITED;
                             0: none. */
  size_t value_max;     /**< bytes; KV_VALUE_MAX at first. */
};

struct fake_kv
{
  struct fake_kv_faults faults;
  uint64_t calls[FAKE_KV_KIND_COUNT]; /**< Whatever their outcome. */
  uint64_t refused;                   /**< Answered STATUS_LIMITED. */
  uint64_t revision;
  size_t waiting; /**< Watches that wait now. */

  const struct clock *clock;
  struct rng rng;
  void *items; /* sorted tree: key to item */
  struct list calls_open;
  struct list leases;
  uint64_t last_lease;
  uint64_t last_call;
  double tokens; /* of the rate limit */
  int64_t tokens_at;
};

/** One process's access to the service. */
struct fake_kv_client
{
  struct kv kv; /**< Give this to the module under test. */
  struct fake_kv *service;
  bool down;   /**< Cut off from the service: as faults.down. */
  bool paused; /**< Replies wait until it is false again. */
};

void fake_kv_init (struct fake_kv *fake, const struct clock *clock,
                   uint64_t seed);
/** Calls still open are dropped without an answer. */
void fake_kv_finish (struct fake_kv *fake);

void fake_kv_client_init (struct fake_kv_client *client, struct fake_kv *fake);
/** Answer the client's open calls with STATUS_CANCELLED; those that are under
 * way still take effect. */
void fake_kv_client_finish (struct fake_kv_client *client);
/** The client's process died: its open calls are never answered, but those
 * that are under way still take effect. */
void fake_kv_client_kill (struct fake_kv_client *client);

/** Do what is due at the clock's time.
 * @return the number of replies given. */
size_t fake_kv_step (struct fake_kv *fake);
/** The time of the next thing due, or CLOCK_NEVER. */
int64_t fake_kv_next_tick_ns (const struct fake_kv *fake);

/** The value of KEY or NULL; valid until its next change. */
const char *fake_kv_value (const struct fake_kv *fake, const char *key);
/** The revision of KEY, 0 if there is none. */
uint64_t fake_kv_revision (const struct fake_kv *fake, const char *key);
/** Write KEY at once, past all faults; VALUE NULL deletes it. */
void fake_kv_put (struct fake_kv *fake, const char *key, const char *value);
/** Let LEASE end now, or all of them if it is 0. */
void fake_kv_lapse (struct fake_kv *fake, uint64_t lease);
/** The sum of all calls. */
uint64_t fake_kv_total (const struct fake_kv *fake);

#endif
