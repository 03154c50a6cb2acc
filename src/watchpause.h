#ifndef WATCHPAUSE_H
#define WATCHPAUSE_H

#include <stdint.h>

/** @file
 * The pause that a host makes between two watches of the KV service. Each
 * change makes every host that watches send a new watch, so that the calls of
 * a fleet grow with its size and with the number of its servers. With a pause,
 * a host receives several changes in one reply.
 */

/** Return the pause of each of HOSTS hosts.
 * @param within_ns the time within which a change must be known; the pause is
 * at most half of it */
int64_t watchpause_ns (unsigned hosts, int64_t within_ns);

#endif
