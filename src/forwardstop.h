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

/** Refuse the requests that wait, and from now on those that would have to, so
 * that their callers go to other hosts. */
void forwardstop_refuse_waiting (struct forwarder *forwarder);

/** Answer all requests: those that have not run are refused, the others fail.
 * From now on requests are refused. */
void forwardstop_end_all (struct forwarder *forwarder);

#endif
