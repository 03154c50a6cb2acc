#ifndef FORWARDWAIT_H
#define FORWARDWAIT_H

#include "forward.h"

/** @file
 * Requests that wait at this host until a server has capacity, which happens
 * when the prompts in flight exceed the memory of the engines, or the requests
 * of all hosts the room of brittle servers.
 */

/** Add the request to the waiting requests. Has no effect if the request waits
 * already. */
void forwardwait_add (struct forward *forward);
/** Remove the request from the waiting requests. Has no effect if the request
 * does not wait. */
void forwardwait_remove (struct forward *forward);

/** Whether the request waits at this host. */
bool forwardwait_is_waiting (const struct forward *forward);

/** Return the class of a waiting request. Requests of the lowest class are
 * sent first: those that can still meet their latency target, by priority.
 * Requests that have missed their target get the remaining capacity. */
int forwardwait_class (const struct forward *forward, int64_t now);

/** Call PLACE, which sends a request to a server if it can, for the waiting
 * requests, the lowest class first. If no server has capacity for the first
 * request of a class, the class is skipped, since its other requests would
 * find no capacity either. */
void forwardwait_place (struct forwarder *forwarder, int64_t now,
                        void (*place) (struct forward *forward));

/** Whether the request can be sent in time, as far as the limits of the
 * servers say that CHOICE passed over. */
bool forwardwait_limits_allow (const struct forward *forward,
                               const struct choose_result *choice);

/** Whether the request has waited for less time than a probe of a server may
 * take. */
bool forwardwait_is_early (const struct forward *forward);

/** Whether the caller of a stream still waits for its next event. */
bool forwardwait_pause_allows (const struct forward *forward);

#endif
