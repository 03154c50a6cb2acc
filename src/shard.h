#ifndef SHARD_H
#define SHARD_H

#include "blockindex.h"
#include "enginewatch.h"
#include "exporter.h"
#include "oncehost.h"
#include "orderer.h"
#include "process.h"
#include "storewatch.h"

/** @file
 * The role that owns a part of the key space: the block index, the load
 * reports of its engines, and the durable records that fall to it.
 */

struct shard
{
  struct process process;
  const struct settings *settings;
  struct blockindex index;
  struct enginewatch engines;
  struct storewatch stores;
  struct exporter exporter;
  struct oncehost once;
  struct orderer orderer;
  struct suspect_shard suspects;
  struct suspect_reply *suspect_reply; /**< to what is being received */
  uint64_t roster_change; /**< of the roster when it was last looked at */
};

enum status shard_init (struct shard *shard, const struct settings *settings,
                        struct error *error);
void shard_run (struct shard *shard);
void shard_finish (struct shard *shard);

#endif
