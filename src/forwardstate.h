#ifndef FORWARDSTATE_H
#define FORWARDSTATE_H

#include "forward.h"

/** @file
 * The state that all requests of a process share: the configuration, the
 * wanted weights, and the modules that the forwarder works with.
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

/** Return the budget of retries of requests for SERVICE. */
struct retrybudget *forwarder_retry_budget (struct forwarder *forwarder,
                                            const char *service);

#endif
