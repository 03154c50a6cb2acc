#ifndef ORDERER_H
#define ORDERER_H

#include "order.h"
#include "process.h"

/** @file
 * A shard's orders to the engines of the partitions that it holds: gives the
 * state machine of order.h the host list, the configuration and the engines'
 * reports, and sends what it decides.
 */

struct orderer
{
  struct process *process;
  struct owner *owner;
  struct order order;
  GHashTable *engines; /**< name to struct ordered_engine */
  bool configured;
  int64_t next_sync_ns;
};

/** OWNER says which partitions are held; it outlives ORDERER. */
void orderer_init (struct orderer *orderer, struct process *process,
                   struct owner *owner);
/** The interfaces to engines and KV service must have been finished. */
void orderer_finish (struct orderer *orderer);

/** The process has a newer configuration in force. */
void orderer_configure (struct orderer *orderer);

/** A load report came in by another way. */
void orderer_loaded (struct orderer *orderer, const char *name,
                     const struct engine_load *load);

/** After a planned stop began: whether the lease may be given back. */
bool orderer_idle (const struct orderer *orderer);

void orderer_tick (struct orderer *orderer);

#endif
