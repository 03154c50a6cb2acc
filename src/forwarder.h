#ifndef FORWARDER_H
#define FORWARDER_H

#include "forwardstate.h"

/** @file
 * Forwards callers' requests to backend servers: finds the route, checks the
 * API key, waits until a server has capacity, sends the request, relays the
 * response, and reports a failure to the caller, including whether the
 * request may have run.
 */

/** Handle the complete request that CONN has received. */
void forwarder_request_received (struct forwarder *forwarder,
                                 struct callerconn *conn);

/** Handle the complete request that CONN has received from another host. */
void forwarder_request_from_host (struct forwarder *forwarder,
                                  struct callerconn *conn);

/** Cancel the request of CONN, whose caller has disconnected. */
void forwarder_caller_disconnected (struct forwarder *forwarder,
                                    struct callerconn *conn);

/** Send waiting requests to servers with capacity, end requests past their
 * deadline, and end attempts at silent servers. */
void forwarder_tick (struct forwarder *forwarder);

#endif
