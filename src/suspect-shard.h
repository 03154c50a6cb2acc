#ifndef SUSPECT_SHARD_H
#define SUSPECT_SHARD_H

#include "kv.h"
#include "suspect-owner.h"

/** @file
 * The partitions of suspect.h that one shard process owns, with their records
 * in the KV service: one key "suspect/PARTITION" each, written only together
 * with a comparison of the partition's owner record and of its own revision.
 */

struct suspect_shard_ops
{
  /** As in struct suspect_owner_ops. */
  void (*send) (void *data, uint64_t gateway,
                const struct suspect_message *message);
  /** Whether PARTITION is ours; its record's KEY and REVISION if so. */
  bool (*holds) (void *data, unsigned partition, char key[KV_KEY_MAX],
                 uint64_t *revision);
};

struct suspect_shard
{
  struct kv *kv;
  const struct clock *clock;
  const struct suspect_shard_ops *ops;
  void *data;
  struct suspect_owner_settings settings;
  void *partitions;  /**< hash table: partition to what is held */
  struct list calls; /**< to the KV service, not yet answered */
  uint64_t epoch;    /**< counts the partitions that were gained */
};

/** KV, CLOCK and OPS outlive SHARD. */
void suspect_shard_init (struct suspect_shard *shard,
                         const struct suspect_owner_settings *settings,
                         struct kv *kv, const struct clock *clock,
                         const struct suspect_shard_ops *ops, void *data);
/** Finish the KV interface before: no call may be answered later. */
void suspect_shard_finish (struct suspect_shard *shard);

/** PARTITION is ours from now on, or no longer. */
void suspect_shard_gained (struct suspect_shard *shard, unsigned partition);
void suspect_shard_lost (struct suspect_shard *shard, unsigned partition);

/** @return STATUS_STALE if PARTITION is not ours: the gateway asks again when
 * it knows the new owner. */
enum status suspect_shard_receive (struct suspect_shard *shard,
                                   unsigned partition,
                                   const struct suspect_message *message);

/** As suspect_owner_gateway_lost, in all partitions. */
void suspect_shard_gateway_lost (struct suspect_shard *shard,
                                 uint64_t gateway);

void suspect_shard_tick (struct suspect_shard *shard);
int64_t suspect_shard_next (const struct suspect_shard *shard);

#endif
