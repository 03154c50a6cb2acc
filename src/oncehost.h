#ifndef ONCEHOST_H
#define ONCEHOST_H

#include "once.h"
#include "owner.h"
#include "process.h"
#include "suspect-shard.h"

/** @file
 * A shard's at-most-once records and the ownership under them, joined with
 * the messages of the gateways.
 */

enum
{
  ONCEHOST_PARTITIONS = 64 /**< The same in all processes. */
};

struct oncehost
{
  struct owner owner; /**< first: its callbacks get it */
  struct once once;
  struct process *process;
  struct poison_shard *suspects;
  void *asks; /**< hash table: who waits for what answer */
  bool keep;  /**< The lease is still needed: do not stop. */
  bool stopping;
  int64_t started_ns;
};

/** SUSPECTS is told which partitions come and go. */
void oncehost_init (struct oncehost *host, struct process *process,
                    struct poison_shard *suspects);

/** The KV interface must have been finished before. */
void oncehost_finish (struct oncehost *host);

/** The live shards changed. */
void oncehost_sync (struct oncehost *host);

void oncehost_tick (struct oncehost *host);

/** A gateway's OnceBegin or OnceEnd; answered on LINK. */
void oncehost_begin (struct oncehost *host, struct peerlink *link,
                     const Peer__Envelope *message);
void oncehost_end (struct oncehost *host, struct peerlink *link,
                   const Peer__Envelope *message);

/** After a planned stop began: whether all is written and given back. */
bool oncehost_stopped (struct oncehost *host);

#endif
