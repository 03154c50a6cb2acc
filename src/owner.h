#ifndef OWNER_H
#define OWNER_H

#include "clock.h"
#include "kv.h"
#include "rng.h"

#include <stdbool.h>
#include <stddef.h>

/** @file
 * One shard process's part of the key space.
 *
 * The key space is cut into a fixed number of partitions. A partition is
 * owned by the process that its record in the KV service names; all records
 * of a process are tied to its one lease. Which process ought to own a
 * partition follows from rendezvous hashing over the live processes; that is
 * a hint, the record decides. The record's revision is the fencing number:
 * revisions only rise, also over claims by different processes.
 */

enum
{
  OWNER_PARTITIONS_MAX = 4096,
  OWNER_KEY_MAX = 16 /**< bytes, with the final NUL */
};

struct owner_settings
{
  unsigned partitions;   /**< The same in all processes; 1 to the maximum. */
  int64_t lease_ns;      /**< Time to live of the lease. */
  int64_t margin_ns;     /**< Ownership ends this long before the lease. */
  int64_t keepalive_ns;  /**< Between two keepalives. */
  int64_t poll_ns;       /**< Between two looks at the records. */
  int64_t claim_poll_ns; /**< The same while a partition is to be claimed. */
  int64_t rebalance_ns;  /**< The live processes must stay the same this
                              long before a partition is given away. */
};

struct owner;

struct owner_ops
{
  /** PARTITION is ours from now on, with a new fencing number. */
  void (*gained) (struct owner *owner, unsigned partition);
  /** It no longer is. Not called when the lease only ran out by our clock:
   * ask owner_holds. */
  void (*lost) (struct owner *owner, unsigned partition);
};

struct owner_record
{
  uint64_t node; /* 0: none */
  uint64_t lease;
  uint64_t revision; /* 0: none */
  bool held;         /* gained was called last, not lost */
};

struct owner
{
  struct owner_settings settings;
  const struct owner_ops *ops;
  struct kv *kv;
  const struct clock *clock;
  struct rng *rng;
  uint64_t node;
  uint64_t lease;      /* 0: none */
  int64_t lease_until; /* of the KV service at the earliest */
  int64_t lease_sent;  /* when the open lease call was made */
  int64_t lease_at;    /* when the next one is due */
  bool lease_open;
  int64_t range_at;
  bool range_open;
  bool txn_open;
  bool stopping;
  bool stopped;
  unsigned claim_limit; /* partitions in one claim */
  unsigned failures;    /* of calls in a row */
  int64_t live_since;
  uint64_t *live;
  size_t live_count;
  struct owner_record *records;
};

/** KV, CLOCK and RNG outlive OWNER. NODE is not 0 and differs between two
 * starts of a process. */
void owner_init (struct owner *owner, const struct owner_settings *settings,
                 const struct owner_ops *ops, uint64_t node, struct kv *kv,
                 const struct clock *clock, struct rng *rng);
/** No KV call may be open: finish the KV interface before. */
void owner_finish (struct owner *owner);

void owner_tick (struct owner *owner);
int64_t owner_next (const struct owner *owner);

/** The live shard processes as membership sees them. */
void owner_live (struct owner *owner, const uint64_t *nodes, size_t count);

/** Look at the records soon. */
void owner_refresh (struct owner *owner);

/** Give all partitions back at once; nothing is held from here on. */
void owner_stop (struct owner *owner);
/** Whether the records are gone, or the lease must have run out. */
bool owner_stopped (const struct owner *owner);

/** Whether PARTITION is ours now.
 * @param fencing receives its fencing number, which is also the revision of
 * its record; may be NULL. */
bool owner_holds (const struct owner *owner, unsigned partition,
                  uint64_t *fencing);

/** The key of PARTITION's record, to be compared with its fencing number. */
void owner_key (unsigned partition, char key[OWNER_KEY_MAX]);

/** The partition of (ORGANISATION, KEY). */
unsigned owner_partition (const char *organisation, const char *key,
                          unsigned partitions);

/** The index in NODES of the process that ought to own PARTITION, or -1. Of
 * two processes or more, partitions 2k and 2k + 1 never fall to the same. */
int owner_pick (const uint64_t *nodes, size_t count, unsigned partition);

#endif
