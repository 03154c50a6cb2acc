#ifndef FORWARDER_H
#define FORWARDER_H

#include "forward.h"

/** @file
 * Forwards callers' requests to backend servers: finds the route, checks the
 * API key, waits until a server has capacity, sends the request, relays the
 * response, and reports a failure to the caller, including whether the
 * request may have run.
 */

void forwarder_init (struct forwarder *forwarder, uv_loop_t *loop,
                     const struct clock *clock, struct rng *rng,
                     struct log *log, struct metrics *metrics,
                     const struct dialect *dialect,
                     const struct forward_settings *settings,
                     struct servers *servers, struct poisoncount *poisoncount,
                     struct blameshare *blameshare, struct kvstores *kvstores,
                     const struct cacheretire *retire,
                     struct streamorigin *origin);
void forwarder_finish (struct forwarder *forwarder);

/** Apply the KV cache capacity that the present configuration sets for
 * SERVER's service. */
void forwarder_configure_server (const struct forwarder *forwarder,
                                 struct server *server);

/** Replace the configuration. The forwarder takes a reference to ROUTES. */
void forwarder_set_routes (struct forwarder *forwarder, struct routes *routes);

/** Set the wanted weight version of MODEL; an older VERSION is ignored.
 * @param since_ns earliest time, by clock_boottime, at which the operator can
 * have set VERSION */
void forwarder_set_wanted_version (struct forwarder *forwarder,
                                   const char *model, uint64_t version,
                                   int64_t since_ns);

/** Return how long ago the newest wanted weight version of MODEL counts as
 * set; MODEL must have one. */
int64_t forwarder_wanted_age_ns (const struct forwarder *forwarder,
                                 const char *model);

/** Handle the complete request that CONN has received. */
void forwarder_request_received (struct forwarder *forwarder,
                                 struct callerconn *conn);

/** Cancel the request of CONN, whose caller has disconnected. */
void forwarder_caller_disconnected (struct forwarder *forwarder,
                                    struct callerconn *conn);

/** Send waiting requests to servers with capacity, end requests past their
 * deadline, and end attempts at silent servers. */
void forwarder_tick (struct forwarder *forwarder);

#endif
