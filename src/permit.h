#ifndef PERMIT_H
#define PERMIT_H

#include "owner.h"

/** @file
 * Permits to load weights. An engine loads weights only while a permit is
 * held, which limits how many loads run at a time over all processes.
 *
 * A pool has as many keys in the KV service as loads may run at a time. A
 * permit is one of these keys. It is created only if the key does not exist,
 * and it is tied to the lease of its process, so that it expires with the
 * lease. A single record that lists all holders would be worse: all
 * acquisitions would conflict with each other, and some process would have to
 * decide that a holder is dead.
 */

enum
{
  PERMIT_NAME_MAX = 64,  /**< Size of the name of a permit or a pool, including
                            the final NUL. */
  PERMIT_LIMIT_MAX = 256 /**< Maximum number of permits in a pool. */
};

enum permit_state
{
  PERMIT_NONE,
  PERMIT_WAITING,  /**< The permit waits until a poll of the pool finds a
                      free key. */
  PERMIT_CLAIMING, /**< The transaction that creates the key is in flight. */
  PERMIT_HELD,
  PERMIT_RELEASING
};

struct permit
{
  struct owner *owner; /* Owner of the lease that the permit is tied to. */
  struct kv *kv;
  const struct clock *clock;
  struct rng *rng;
  enum permit_state state;
  char pool[PERMIT_NAME_MAX];
  char name[PERMIT_NAME_MAX];
  char key_value[PERMIT_NAME_MAX + 48]; /* Value of the key; unique to this
                                           permit and lease. */
  unsigned limit;                       /* Number of permits in the pool. */
  char key[KV_KEY_MAX]; /* Key that is being claimed or is held. */
  uint64_t key_revision;
  uint64_t lease;
  bool claim_uncertain; /* Whether a claim without a reply may still take
                           effect. */
  bool call_open;       /* Whether a KV call is in flight. */
  unsigned failures;    /* Number of consecutive unsuccessful polls, claims and
                           releases. */
  int64_t due_ns;       /* Time at which the next range call is due. */
  uint64_t kv_call_count; /**< Number of KV calls made. */
};

/** OWNER, CLOCK, RNG and KV must outlive PERMIT. NAME must be unique among
 * the permits of the process. */
void permit_init (struct permit *permit, const char *name, struct owner *owner,
                  struct kv *kv, const struct clock *clock, struct rng *rng);

/** Start acquiring a permit of POOL, which has LIMIT permits. Has no effect
 * unless the state is PERMIT_NONE. */
void permit_acquire (struct permit *permit, const char *pool, unsigned limit);

/** Release the permit or cancel its acquisition. */
void permit_release (struct permit *permit);

/** Whether PERMIT is held and, by this process's own clock, will be held for
 * another DURATION_NS. */
bool permit_is_held (const struct permit *permit, int64_t duration_ns);

/** Whether a KV call is in flight. While it is, PERMIT must not be moved or
 * freed. */
bool permit_has_open_call (const struct permit *permit);

void permit_tick (struct permit *permit);
/** Return the time at which permit_tick is due next. */
int64_t permit_next_tick_ns (const struct permit *permit);

#endif
