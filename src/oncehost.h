#ifndef ONCEHOST_H
#define ONCEHOST_H

#include "once.h"
#include "owner.h"
#include "process.h"
#include "suspect-shard.h"

/** @file
 * Connects the at-most-once records of a shard process, and its ownership of
 * partitions, with the messages of the gateways.
 */

enum
{
  ONCEHOST_PARTITIONS = 64 /**< Must be equal in all processes. */
};

struct oncehost
{
  struct owner owner; /**< First, as its callbacks cast it to the
                           enclosing struct. */
  struct once once;
  struct process *process;
  struct poison_shard *poison;
  void *calls; /**< Hash table of the messages that have no reply yet. */
  bool keep;   /**< Set by the user of this module while the lease is still
                    needed; it delays the stop. */
  bool stopping;
  int64_t started_ns;
};

/** POISON is notified of each partition that is gained or lost. */
void oncehost_init (struct oncehost *shard, struct process *process,
                    struct poison_shard *poison);

/** Finish the KV interface first. */
void oncehost_finish (struct oncehost *shard);

/** The set of live shard processes in the roster changed. */
void oncehost_sync (struct oncehost *shard);

void oncehost_tick (struct oncehost *shard);

/** MESSAGE, a gateway's OnceBegin or OnceEnd, was received. The reply is sent
 * on CONN. */
void oncehost_begin (struct oncehost *shard, struct peerlink *conn,
                     const Peer__Envelope *message);
void oncehost_end (struct oncehost *shard, struct peerlink *conn,
                   const Peer__Envelope *message);

/** Whether a planned stop is complete: all changes are written and the
 * ownership of all partitions is released. */
bool oncehost_stopped (struct oncehost *shard);

#endif
