#ifndef FLEET_PARTS_H
#define FLEET_PARTS_H

#include "fleet.h"

/** @file
 * What the parts of the fleet share. Each failure to set the case up ends the
 * process with status 2.
 */

/** Reserve a port. */
uint16_t port_find (void);

/** Listen at PORT. */
void server_open (struct fleet *fleet, struct callerserver *server,
                  uint16_t port, const struct callerserver_ops *ops,
                  void *data);

/** Answer the calls to the KV cache store. */
void kvstore_open (struct fleet *fleet);

/** Let the hosts reach the store through a proxy. */
void proxy_open (struct fleet *fleet);

/** Tick the store, restart hosts that are due, and look at their memory.
 * @param timer its data is the fleet */
void fleet_tick (uv_timer_t *timer);

#endif
