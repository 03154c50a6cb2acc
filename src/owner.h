#ifndef OWNER_H
#define OWNER_H

#include "clock.h"
#include "kv.h"
#include "rng.h"

#include <stdbool.h>
#include <stddef.h>

/** @file
 * The ownership of partitions of the key space by one shard process.
 *
 * The key space is divided into a fixed number of partitions. A partition is
 * owned by the process that is named in the partition's owner record in the KV
 * service; all owner records of a process are tied to its only lease. Each
 * partition has a preferred owner by rendezvous hashing over the live
 * processes. That is a hint; the record decides. The record's revision is the
 * fencing token: revisions only rise, also over claims by different processes.
 *
 * A node is the id of one run of a shard process. It is not 0 and changes with
 * each restart.
 */

enum
{
  OWNER_PARTITIONS_MAX = 4096,
  OWNER_KEY_MAX = 16 /**< Bytes, including the final NUL. */
};

struct owner_settings
{
  unsigned partition_count;      /**< Equal in all processes; 1 to
                                 OWNER_PARTITIONS_MAX. */
  int64_t lease_ttl_ns;          /**< Time to live of the lease. */
  int64_t lease_margin_ns;       /**< Ownership ends this long before the lease
                                expires. */
  int64_t keepalive_interval_ns; /**< Interval between two keepalives. */
  int64_t poll_interval_ns; /**< Interval between two polls of the records. */
  int64_t claim_poll_interval_ns; /**< Poll interval while this process has
                              partitions to claim or to release. */
  int64_t rebalance_delay_ns;     /**< A partition is released to its preferred
                                 owner     only after the set of live processes has
                                 been     unchanged for this long. */
};

struct owner;

struct owner_ops
{
  /** This process has acquired PARTITION, with a new fencing token. */
  void (*gained) (struct owner *owner, unsigned partition);
  /** This process has lost PARTITION. Not called if the lease has expired
   * only by this process's own clock: check owner_holds for that. */
  void (*lost) (struct owner *owner, unsigned partition);
};

struct owner_record
{
  uint64_t node; /* The owner; 0: none. */
  uint64_t lease;
  uint64_t revision; /* 0: there is no record. */
  bool held;         /* True after ops.gained, false after ops.lost. */
};

struct owner
{
  struct owner_settings settings;
  const struct owner_ops *ops;
  struct kv *kv;
  const struct clock *clock;
  struct rng *rng;
  uint64_t node;
  uint64_t lease;           /* 0: there is no lease. */
  int64_t lease_expires_ns; /* Earliest time at which the lease may expire. */
  int64_t lease_call_ns;    /* When the last lease call was sent. */
  int64_t lease_due_ns;     /* When the next lease call is due. */
  bool lease_call_open;     /* A lease call is in flight. */
  int64_t range_due_ns;     /* When the next poll of the records is due. */
  bool range_call_open;     /* A range call is in flight. */
  bool txn_call_open;       /* A transaction is in flight. */
  bool stopping;
  bool stopped;
  unsigned claim_max;     /* Largest number of partitions in one claim. */
  unsigned call_failures; /* Consecutive failed KV calls. */
  int64_t live_since_ns;  /* When live_nodes last changed. */
  uint64_t *live_nodes;
  size_t live_node_count;
  struct owner_record *records; /* Indexed by partition. */
};

/** KV, CLOCK and RNG must outlive OWNER. */
void owner_init (struct owner *owner, const struct owner_settings *settings,
                 const struct owner_ops *ops, uint64_t node, struct kv *kv,
                 const struct clock *clock, struct rng *rng);
/** No KV call may be in flight: finish the KV interface first. */
void owner_finish (struct owner *owner);

void owner_tick (struct owner *owner);
/** The time at which owner_tick is due next. */
int64_t owner_next (const struct owner *owner);

/** Set the live shard processes, as the membership protocol reports them. */
void owner_set_live_nodes (struct owner *owner, const uint64_t *nodes,
                           size_t count);

/** Poll the records at the next tick. */
void owner_refresh (struct owner *owner);

/** Release all partitions and stop acquiring any. */
void owner_stop (struct owner *owner);
/** Whether the lease is revoked, which deletes the records, or must have
 * expired. */
bool owner_is_stopped (const struct owner *owner);

/** Whether this process owns PARTITION now.
 * @param fencing_token receives the fencing token, which is the revision of
 * the owner record; may be NULL. */
bool owner_holds (const struct owner *owner, unsigned partition,
                  uint64_t *fencing_token);

/** The key of PARTITION's owner record. A transaction that compares its
 * revision with the fencing token takes effect only under that ownership. */
void owner_record_key (unsigned partition, char key[OWNER_KEY_MAX]);

/** The partition that the pair of ORGANISATION and KEY falls into. */
unsigned owner_partition_of_key (const char *organisation, const char *key,
                                 unsigned partitions);

/** The index in NODES of the preferred owner of PARTITION, or -1 if COUNT is
 * 0. With two nodes or more, the partitions 2k and 2k + 1 have different
 * preferred owners. */
int owner_preferred_index (const uint64_t *nodes, size_t count,
                           unsigned partition);

#endif
