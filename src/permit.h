#ifndef PERMIT_H
#define PERMIT_H

#include "owner.h"

/** @file
 * A permit for one weight load out of a pool that all processes share.
 *
 * The pool has as many keys as loads may run at a time. A permit is one of
 * these keys, created only where none stands and tied to the lease of its
 * process, so that it lapses with it. One record with all holders was weighed
 * against it: every grant would conflict with every other, and somebody would
 * have to judge that a holder is dead.
 */

enum
{
  PERMIT_POOL_MAX = 64, /**< bytes of a name, with the final NUL */
  PERMIT_LIMIT_MAX = 256
};

enum permit_state
{
  PERMIT_NONE,
  PERMIT_WAITING,  /**< looks for a free key */
  PERMIT_CLAIMING, /**< has found one */
  PERMIT_HELD,
  PERMIT_RELEASING
};

struct permit
{
  struct owner *owner; /* whose lease it is tied to */
  struct kv *kv;
  const struct clock *clock;
  struct rng *rng;
  enum permit_state state;
  char pool[PERMIT_POOL_MAX];
  char name[PERMIT_POOL_MAX];
  char mark[PERMIT_POOL_MAX + 48]; /* the value that only it writes */
  unsigned limit;
  char key[KV_KEY_MAX]; /* the one that is claimed or held */
  uint64_t key_revision;
  uint64_t lease;
  bool doubtful; /* a claim without an answer may yet take effect */
  bool open;     /* a KV call is under way */
  unsigned failures;
  int64_t due_ns;
  uint64_t calls; /**< KV calls made */
};

/** OWNER, CLOCK, RNG and KV outlive PERMIT. NAME differs between all permits
 * of the process. */
void permit_init (struct permit *permit, const char *name, struct owner *owner,
                  struct kv *kv, const struct clock *clock, struct rng *rng);

/** Ask for a load in POOL, of which LIMIT may run at a time; nothing happens
 * unless the state is PERMIT_NONE. */
void permit_ask (struct permit *permit, const char *pool, unsigned limit);

/** Give it back, or stop asking. */
void permit_release (struct permit *permit);

/** Whether it is held for SPAN_NS from now by our own clock. */
bool permit_held (const struct permit *permit, int64_t span_ns);

/** Whether a KV call is open: PERMIT must stay where it is. */
bool permit_busy (const struct permit *permit);

void permit_tick (struct permit *permit);
int64_t permit_next (const struct permit *permit);

#endif
