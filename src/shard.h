#ifndef SHARD_H
#define SHARD_H

#include "blockindex.h"
#include "enginewatch.h"
#include "exporter.h"
#include "onceshard.h"
#include "ordershard.h"
#include "process.h"
#include "storewatch.h"

/** @file
 * The process role that owns a part of the key space: its block index, the
 * load reports of its engines, and its durable records.
 */

struct shard
{
  struct process process;
  const struct settings *settings;
  struct blockindex index;
  struct enginewatch engines;
  struct storewatch stores;
  struct exporter exporter;
  struct onceshard once;
  struct ordershard orderer;
  struct poison_shard poison_partitions;
  /** Destination of the reply to the poison-request message that is being
   * handled; NULL if there is none. */
  struct poison_reply *poison_reply;
  uint64_t roster_change; /**< Value of roster.change_count that was handled
                             last. */
};

enum status shard_init (struct shard *shard, const struct settings *settings,
                        struct error *error);
void shard_run (struct shard *shard);
void shard_finish (struct shard *shard);

#endif
