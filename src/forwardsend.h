#ifndef FORWARDSEND_H
#define FORWARDSEND_H

#include "forward.h"

/** @file
 * Sends a request to a chosen server: sets the header fields that are added,
 * decides which stores KV cache is fetched from and saved to, and counts the
 * request in the server's load.
 */

/** Return the request's priority that is sent to the backend server. The
 * organisation's priority counts first, then that of the route.
 * @return a priority from 0, the most urgent, to 9 */
unsigned forward_priority (const struct forward *forward);

/** Add to QUERY the leading blocks of the prompt that stores have, both those
 * computed with VERSION of the weights and those computed with the versions
 * before VERSION, which some engines still have. */
void forward_add_stored (const struct forward *forward, uint64_t version,
                         struct choose_query *query);

/** Whether the request may still be sent on the connection that was just
 * opened: the data centre of its server may have been evacuated, or this host
 * suspended, since the server was chosen. */
bool forward_may_send (void *attempt, struct exchange *exchange);

/** Make ATTEMPT at the chosen server.
 * @param required_version the weight version that the server must have at
 * least; 0 if any version will do */
void forward_send (struct forward_attempt *attempt,
                   const struct choose_result *choice,
                   uint64_t required_version);

/** Let SERVER be chosen again, if it was the last one that was tried. */
void forward_untry (struct forward *forward, const struct server *server);

/** Remove the request from the load of the counted_server of ATTEMPT, if there
 * is one. */
void forward_uncount_load (struct forward_attempt *attempt);

#endif
