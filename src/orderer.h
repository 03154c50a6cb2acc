#ifndef ORDERER_H
#define ORDERER_H

#include "order.h"
#include "process.h"

/** @file
 * Connects the order issuer of a shard (order.h) to the process: passes the
 * host list, the configuration and the engines' load reports to it and sends
 * its orders over HTTP, for the engines of the partitions that this shard
 * owns.
 */

struct orderer
{
  struct process *process;
  struct owner *owner;
  struct order issuer;
  GHashTable *engines; /**< name to struct owned_engine */
  bool configured;     /**< A configuration is in force. */
  int64_t next_sync_ns;
};

/** OWNER tells which partitions this shard owns; it must outlive ORDERS. */
void orderer_init (struct orderer *orders, struct process *process,
                   struct owner *owner);
/** The interfaces to the engines and the KV service must be finished
 * first. */
void orderer_finish (struct orderer *orders);

/** The process has a newer configuration in force. */
void orderer_configure (struct orderer *orders);

/** Handle the load report LOAD of the engine NAME, which the shard's watch on
 * the engine received. */
void orderer_loaded (struct orderer *orders, const char *name,
                     const struct engine_load *load);

/** Whether the lease may be released during a planned stop. */
bool orderer_idle (const struct orderer *orders);

void orderer_tick (struct orderer *orders);

#endif
