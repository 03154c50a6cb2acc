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
  /** Size of the KV key of an owner record, including the final NUL. */
  OWNER_KEY_MAX = 16
};

struct owner_settings
{
  unsigned partition_count; /**< Number of partitions, equal in all processes;
                               1 to OWNER_PARTITIONS_MAX. */
  int64_t lease_ttl_ns;     /**< Time to live of the lease. */
  int64_t lease_margin_ns;  /**< Time before the lease expires at which
                               ownership ends. */
  int64_t keepalive_interval_ns; /**< Interval between two keepalives. */
  int64_t poll_interval_ns; /**< Interval between two polls of the records. */
  int64_t claim_poll_interval_ns; /**< Interval between two polls while this
                                     process has partitions to claim or to
                                     release. */
  int64_t rebalance_delay_ns;     /**< Time for which the set of live processes
                                     must be unchanged before a partition is
                                     released to its preferred owner. */
};

struct owner;

struct owner_ops
{
  /** Called when this process has acquired PARTITION, with a new fencing
   * token. */
  void (*gained) (struct owner *owner, unsigned partition);
  /** Called when this process has lost PARTITION, but not when the lease
   * expires by this process's own clock alone; owner_holds checks that. */
  void (*lost) (struct owner *owner, unsigned partition);
};

struct owner_record
{
  uint64_t node; /* The node that owns the partition; 0 if there is none. */
  uint64_t lease;
  uint64_t revision; /* Revision of the record; 0 if there is no record. */
  bool held; /* Whether ops.gained was called for the partition and ops.lost
                was not called since. */
};

struct owner
{
  struct owner_settings settings;
  const struct owner_ops *ops;
  struct kv *kv;
  const struct clock *clock;
  struct rng *rng;
  uint64_t node;
  uint64_t lease;           /* Id of the lease; 0 if there is none. */
  int64_t lease_expires_ns; /* Earliest time at which the lease may expire. */
  int64_t lease_call_ns;    /* Time at which the last lease call was sent. */
  int64_t lease_due_ns;     /* Time at which the next lease call is due. */
  bool lease_call_open;     /* Whether a lease call is in flight. */
  int64_t range_due_ns; /* Time at which the next range call, which polls the
                           records, is due. */
  bool range_call_open; /* Whether a range call that polls the records is in
                           flight. */
  bool txn_call_open;   /* Whether a transaction is in flight. */
  bool stopping;
  bool stopped;
  unsigned claim_max;     /* Maximum number of partitions in one claim. */
  unsigned call_failures; /* Number of consecutive failed KV calls. */
  int64_t live_since_ns;  /* Time at which live_nodes last changed. */
  uint64_t *live_nodes;
  size_t live_node_count;
  struct owner_record *records; /* Owner records, indexed by partition. */
};

/** KV, CLOCK and RNG must outlive OWNER. */
void owner_init (struct owner *owner, const struct owner_settings *settings,
                 const struct owner_ops *ops, uint64_t node, struct kv *kv,
                 const struct clock *clock, struct rng *rng);
/** No KV call may be in flight: finish the KV interface first. */
void owner_finish (struct owner *owner);

void owner_tick (struct owner *owner);
/** Return the time at which owner_tick is due next. */
int64_t owner_next_tick_ns (const struct owner *owner);

/** Set the live shard processes, as the membership protocol reports them. */
void owner_set_live_nodes (struct owner *owner, const uint64_t *nodes,
                           size_t count);

/** Poll the records at the next tick. */
void owner_refresh (struct owner *owner);

/** Release all partitions and stop acquiring any. */
void owner_stop (struct owner *owner);
/** Whether owner_stop is complete: the lease was revoked, which deletes the
 * owner records, or must have expired. */
bool owner_is_stopped (const struct owner *owner);

/** Whether this process owns PARTITION now.
 * @param fencing_token receives the fencing token, which is the revision of
 * the owner record; may be NULL. */
bool owner_holds (const struct owner *owner, unsigned partition,
                  uint64_t *fencing_token);

/** Write the KV key of PARTITION's owner record to KEY. A transaction that
 * compares the key's revision with the fencing token takes effect only while
 * the ownership with that token lasts. */
void owner_record_key (unsigned partition, char key[OWNER_KEY_MAX]);

/** Return the partition of the pair of ORGANISATION and KEY. */
unsigned owner_partition_of_key (const char *organisation, const char *key,
                                 unsigned partitions);

/** Return the index in NODES of the preferred owner of PARTITION, or -1 if
 * COUNT is 0. With two nodes or more, the partitions 2k and 2k + 1 have
 * different preferred owners. */
int owner_preferred_index (const uint64_t *nodes, size_t count,
                           unsigned partition);

#endif
