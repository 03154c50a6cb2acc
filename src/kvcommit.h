#ifndef KVCOMMIT_H
#define KVCOMMIT_H

#include "clock.h"
#include "kv.h"
#include "rng.h"

#include <stdbool.h>

/** @file
 * One transaction at a time whose outcome becomes certain.
 *
 * The transaction writes a marker, which no other write carries, as the first
 * line of one of its values. When a reply is lost, the marker is looked for;
 * while it is missing the same transaction is sent again. Its comparisons must
 * fail once it has taken effect, so that it takes effect once at most.
 */

struct kvcommit;

/** Tells the outcome, exactly once a start and never from inside it:
 * STATUS_OK: it took effect. STATUS_UNAVAILABLE: surely no effect, later can
 * help. STATUS_CONFLICT: a comparison failed; nothing of it is in place.
 * STATUS_TOO_LARGE: surely no effect.
 * @param revision of the keys written, for STATUS_OK. */
typedef void (*kvcommit_done) (void *data, enum status status,
                               uint64_t revision);

struct kvcommit
{
  uint64_t lost;      /**< Replies lost. */
  uint64_t recovered; /**< Found in place after a lost reply. */

  struct kv *kv;
  const struct clock *clock;
  struct rng *rng;
  kvcommit_done done;
  void *data;
  struct kv_txn txn; /* with own copies */
  char *marker_key;
  char *marker;
  bool running;
  bool uncertain; /* an attempt may have taken effect, or may yet */
  bool conflict;  /* a later attempt cannot take effect any more */
  unsigned failures;
  int64_t retry_at; /* when to read back; CLOCK_NEVER while a call is open */
};

void kvcommit_init (struct kvcommit *commit, struct kv *kv,
                    const struct clock *clock, struct rng *rng,
                    kvcommit_done done, void *data);
/** No call may be open: finish the KV interface before. */
void kvcommit_finish (struct kvcommit *commit);

/** Start TXN, of which the value of MARKER_KEY begins with the line MARKER.
 * The commit takes over the arrays and strings of TXN (g_malloc). */
void kvcommit_start (struct kvcommit *commit, const struct kv_txn *txn,
                     const char *marker_key, const char *marker);

bool kvcommit_running (const struct kvcommit *commit);

void kvcommit_tick (struct kvcommit *commit);
int64_t kvcommit_next (const struct kvcommit *commit);

/** Free the arrays and strings of TXN (g_free). */
void kvcommit_txn_free (struct kv_txn *txn);

#endif
