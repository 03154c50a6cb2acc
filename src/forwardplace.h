#ifndef FORWARDPLACE_H
#define FORWARDPLACE_H

#include "forward.h"

/** @file
 * Finds a server for a request: sends it there, lets it wait, passes it on to
 * another host, or gives it up.
 */

enum
{
  /** Base of the Retry-After time of a request that crashes servers. */
  FORWARDPLACE_RETRY_AFTER_POISON_MS = 10000
};

/** Choose a server for the request, without effect on the request.
 * @param query set to what the servers were compared by
 * @param choice set to the result */
void forwardplace_choose (struct forward *forward, struct choose_query *query,
                          struct choose_result *choice);

/** Finds a server for the request, which may end meanwhile. */
void forward_place (struct forward *forward);

#endif
