#ifndef FORWARDSTOP_H
#define FORWARDSTOP_H

#include "forward.h"

/** @file
 * What becomes of the requests of a host that stops: none of them ends without
 * an answer.
 */

enum
{
  /** Base of the Retry-After time in ms. Callers find another host at once. */
  FORWARDSTOP_RETRY_AFTER_MS = 50
};

/** From now on take only requests that are expected to be completed before
 * END_NS, at which forwardstop_end_all follows. */
void forwardstop_begin (struct forwarder *forwarder, int64_t end_ns);

/** Return the time in ms since forwardstop_begin; -1 before it. */
double forwardstop_since_ms (const struct forwarder *forwarder);

/** Whether the request is not bound to this host, which stops before the
 * request is expected to be completed, or may be if another host passed it on
 * and it has not run. */
bool forwardstop_lacks_time (const struct forward *forward);

/** Whether another host can't take the request over, since its caller has a
 * part of the response, or can't be told that it has not run. */
bool forwardstop_is_bound_here (const struct forward *forward);

/** Refuse the requests that wait, and from now on those that would have to, so
 * that their callers go to other hosts. Those that are bound to this
 * host still wait. */
void forwardstop_refuse_waiting (struct forwarder *forwarder);

/** Answer all requests: those that have not run are refused, the others fail.
 * From now on requests are refused. */
void forwardstop_end_all (struct forwarder *forwarder);

#endif
