#ifndef ONCESHARD_H
#define ONCESHARD_H

#include "once.h"
#include "owner.h"
#include "process.h"
#include "poison-shard.h"

/** @file
 * Connects the at-most-once records of a shard process, and its ownership of
 * partitions, with the messages of the gateways.
 */

enum
{
  ONCESHARD_PARTITION_COUNT = 64 /**< Must be equal in all processes. */
};

struct onceshard
{
  struct owner owner; /**< Must be the first field, as its callbacks cast it to
                         the enclosing struct. */
  struct once once;
  struct process *process;
  struct poison_shard *poison_shard;
  /** Hash table of the received messages that have no reply yet. */
  void *pending_calls;
  bool keep_lease; /**< Whether the lease is still needed, which delays the
                      stop; set by the user of this module. */
  bool stopping;
  int64_t started_ns;
};

/** POISON_SHARD is notified of each partition that is gained or lost. */
void onceshard_init (struct onceshard *shard, struct process *process,
                     struct poison_shard *poison_shard);

/** No KV call may be in flight: finish the KV interface first. */
void onceshard_finish (struct onceshard *shard);

/** Adapt to a change of the set of live shard processes in the roster. */
void onceshard_roster_changed (struct onceshard *shard);

void onceshard_tick (struct onceshard *shard);

/** Handle MESSAGE, a gateway's OnceBegin or OnceEnd. The reply is sent on
 * CONN. */
void onceshard_begin_received (struct onceshard *shard, struct peer_conn *conn,
                               const Peer__Envelope *message);
void onceshard_end_received (struct onceshard *shard, struct peer_conn *conn,
                             const Peer__Envelope *message);

/** Whether a planned stop is complete: all changes are written and the
 * ownership of all partitions is released. */
bool onceshard_is_stopped (struct onceshard *shard);

#endif
