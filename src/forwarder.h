#ifndef FORWARDER_H
#define FORWARDER_H

#include "forward.h"

/** @file
 * The way of a request through an entry process: routed, checked, held until
 * a backend server has room, sent, its answer passed on; and the truth about
 * it if that fails.
 */

void forwarder_init (struct forwarder *forwarder, uv_loop_t *loop,
                     const struct clock *clock, struct rng *rng,
                     struct log *log, struct metrics *metrics,
                     const struct dialect *dialect,
                     const struct forward_settings *settings,
                     struct servers *servers, struct poison *poison,
                     struct kvstores *kvstores, const struct retire *retire);
void forwarder_finish (struct forwarder *forwarder);

/** Give SERVER what the configuration in force says of its service. */
void forwarder_fit_server (const struct forwarder *forwarder,
                           struct server *server);

/** A newer configuration; the forwarder takes a reference. */
void forwarder_set_routes (struct forwarder *forwarder, struct routes *routes);

/** The operator wants VERSION of MODEL's weights. */
void forwarder_want_weights (struct forwarder *forwarder, const char *model,
                             uint64_t version);

/** CONN has a whole request. */
void forwarder_request (struct forwarder *forwarder, struct callerconn *conn);

/** The caller of CONN left. */
void forwarder_gone (struct forwarder *forwarder, struct callerconn *conn);

/** End what is overdue. */
void forwarder_tick (struct forwarder *forwarder);

#endif
