#ifndef ORDERSHARD_H
#define ORDERSHARD_H

#include "orderissuer.h"
#include "process.h"

/** @file
 * Connects the order issuer of a shard (orderissuer.h) to the process: passes
 * the host list, the configuration and the engines' load reports to it and
 * sends its orders over HTTP, for the engines of the partitions that this
 * shard owns.
 */

struct ordershard
{
  struct process *process;
  struct owner *owner;
  struct orderissuer issuer;
  GHashTable *engines; /**< Map from name to struct owned_engine. */
  bool configured;     /**< Whether a configuration is in force. */
  int64_t next_sync_ns;
};

/** OWNER determines which partitions this shard owns; it must outlive
 * ORDERS. */
void ordershard_init (struct ordershard *orders, struct process *process,
                      struct owner *owner);
/** The interfaces to the engines and the KV service must be finished
 * first. */
void ordershard_finish (struct ordershard *orders);

/** Use the newer configuration that the process has in force. */
void ordershard_configure (struct ordershard *orders);

/** Handle the load report LOAD of the engine NAME, which the shard's watch on
 * the engine received. */
void ordershard_load_received (struct ordershard *orders, const char *name,
                               const struct engine_load *load);

/** Whether no load that this shard ordered can still be running, so that
 * the lease may be released during a planned stop. */
bool ordershard_loads_ended (const struct ordershard *orders);

void ordershard_tick (struct ordershard *orders);

#endif
