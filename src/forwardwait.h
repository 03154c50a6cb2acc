#ifndef FORWARDWAIT_H
#define FORWARDWAIT_H

#include "forward.h"

/** @file
 * Requests that wait at this host until a server has capacity. They need to
 * wait when the prompts in flight exceed the memory of the engines.
 */

/** Add the request to the waiting ones. Has no effect if it waits already. */
void forwardwait_add (struct forward *forward);
/** Remove the request. Has no effect if it does not wait. */
void forwardwait_remove (struct forward *forward);

/** Return the class of a waiting request; the lowest class is placed first.
 * Requests that can still meet their target come first, by priority; those
 * that have missed it get the remaining capacity. */
int forwardwait_class (const struct forward *forward, int64_t now);

/** Return the oldest request of the lowest class over ABOVE, or NULL. */
struct forward *forwardwait_next (const struct forwarder *forwarder,
                                  int64_t now, int above);

#endif
