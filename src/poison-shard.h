#ifndef POISON_SHARD_H
#define POISON_SHARD_H

#include "kv.h"
#include "poison-owner.h"

/** @file
 * The partitions of poison.h that one shard process owns, and their records
 * in the KV service. Each partition has one key, "suspect/PARTITION". A write
 * compares the revisions of the partition's owner record and of the key.
 */

struct poison_shard_ops
{
  /** Sends MESSAGE to GATEWAY. */
  void (*send) (void *data, uint64_t gateway,
                const struct poison_message *message);
  /** Whether this process owns PARTITION. If so, sets KEY and REVISION to
   * those of the partition's owner record. */
  bool (*owns_partition) (void *data, unsigned partition, char key[KV_KEY_MAX],
                          uint64_t *revision);
};

struct poison_shard
{
  struct kv *kv;
  const struct clock *clock;
  const struct poison_shard_ops *ops;
  void *data;
  struct poison_owner_settings settings;
  void *partitions;    /**< GLib hash table that maps a partition number + 1 to
                          its struct owned_partition. */
  struct list calls;   /**< Pending calls to the KV service. */
  uint64_t last_epoch; /**< Number of times that a partition was gained. */
};

/** Initialises SHARD. KV, CLOCK and OPS must outlive SHARD. */
void poison_shard_init (struct poison_shard *shard,
                        const struct poison_owner_settings *settings,
                        struct kv *kv, const struct clock *clock,
                        const struct poison_shard_ops *ops, void *data);
/** Frees what SHARD uses. The KV interface must have been finished before, so
 * that no reply to a pending call comes later. */
void poison_shard_finish (struct poison_shard *shard);

/** Handles that this process now owns PARTITION. */
void poison_shard_partition_gained (struct poison_shard *shard,
                                    unsigned partition);
/** Handles that this process no longer owns PARTITION. */
void poison_shard_partition_lost (struct poison_shard *shard,
                                  unsigned partition);

/** Passes MESSAGE to the owner of PARTITION.
 * @return STATUS_STALE if this process does not own PARTITION; the gateway
 * retries once it has learned the new owner. */
enum status poison_shard_receive (struct poison_shard *shard,
                                  unsigned partition,
                                  const struct poison_message *message);

/** Handles that GATEWAY is down: calls poison_owner_gateway_lost for all
 * partitions. */
void poison_shard_gateway_lost (struct poison_shard *shard, uint64_t gateway);

void poison_shard_tick (struct poison_shard *shard);

/** Returns the time at which poison_shard_tick is due next. */
int64_t poison_shard_next_tick_ns (const struct poison_shard *shard);

#endif
