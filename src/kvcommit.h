#ifndef KVCOMMIT_H
#define KVCOMMIT_H

#include "clock.h"
#include "kv.h"
#include "rng.h"

#include <stdbool.h>

/** @file
 * Runs one transaction at a time and finds out its outcome even if replies are
 * lost.
 *
 * The transaction writes a marker, which no other write contains, as the first
 * line of one of its values. After a lost reply, the marker is read back.
 * While the marker is missing, the same transaction is sent again. The
 * comparisons of the transaction must fail once it has taken effect, so that
 * it takes effect at most once.
 */

struct kvcommit;

/** Receives the outcome of a transaction, exactly once for each
 * kvcommit_start and never before that function has returned.
 * @param status
 * - STATUS_OK: the transaction took effect.
 * - STATUS_UNAVAILABLE: it certainly had no effect; a later retry can succeed.
 * - STATUS_CONFLICT: a comparison failed, and it had no effect.
 * - STATUS_TOO_LARGE: it certainly had no effect.
 * @param revision revision of the written keys, for STATUS_OK */
typedef void (*kvcommit_done) (void *data, enum status status,
                               uint64_t revision);

struct kvcommit
{
  uint64_t lost_reply_count; /**< Number of transaction calls whose reply was
                                lost. */
  uint64_t recovered_count;  /**< Number of transactions that had succeeded
                                although a reply was lost. */

  struct kv *kv;
  const struct clock *clock;
  struct rng *rng;
  kvcommit_done done;
  void *data;
  struct kv_txn txn; /* Owns its arrays and strings. */
  char *marker_key;
  char *marker;
  bool running;
  bool uncertain; /* Whether an attempt may have taken effect or may still do
                     so. */
  bool conflict;  /* Whether a comparison failed, so that no later attempt can
                     succeed. */
  unsigned failures; /* Number of failed calls since kvcommit_start. */
  /* Time at which to read the marker back; CLOCK_NEVER while a call is in
   * flight. */
  int64_t next_read_ns;
};

void kvcommit_init (struct kvcommit *commit, struct kv *kv,
                    const struct clock *clock, struct rng *rng,
                    kvcommit_done done, void *data);

/** Free the memory of COMMIT. Finish the KV interface first, since no call
 * may be in flight. */
void kvcommit_finish (struct kvcommit *commit);

/** Start TXN, which writes to MARKER_KEY a value that begins with the line
 * MARKER. COMMIT becomes the owner of the arrays and strings of TXN, which
 * must come from g_malloc. */
void kvcommit_start (struct kvcommit *commit, const struct kv_txn *txn,
                     const char *marker_key, const char *marker);

/** Whether a started transaction has no outcome yet. */
bool kvcommit_is_running (const struct kvcommit *commit);

/** Read the marker back if the delay before that has passed. */
void kvcommit_tick (struct kvcommit *commit);

/** Return the monotonic time at which kvcommit_tick has to run next, or
 * CLOCK_NEVER. */
int64_t kvcommit_next_tick_ns (const struct kvcommit *commit);

/** Free the arrays and strings of TXN, which must come from g_malloc. */
void kvcommit_txn_free (struct kv_txn *txn);

#endif
