#ifndef SERVERLEARN_H
#define SERVERLEARN_H

#include "call.h"
#include "servers.h"
#include "statement.h"

/** @file
 * Applies what responses state of the servers that made them.
 */

/** Record what a response of SERVER stated. A value that can't be used is
 * ignored, and reported once for each start of the server. */
void serverlearn_statement (struct servers *servers, struct server *server,
                            const struct statement *statement);

/** Record how long work takes at SERVER by its RESPONSE, received at NOW_NS,
 * to what was sent at ASKED_NS. */
void serverlearn_slowness (struct servers *servers, struct server *server,
                           const struct response *response, int64_t asked_ns,
                           int64_t now_ns);

/** Record that SERVER rejected a request at NOW_NS without running it. It gets
 * no requests for a moment; a brittle one gets none until its rejections no
 * longer count. */
void serverlearn_rejection (struct servers *servers, struct server *server,
                            int64_t now_ns);

/** Record what the RESPONSE of SERVER to a query, received at NOW_NS, stated.
 * That of another server at its address is ignored. What it does not state
 * means nothing: a query is answered beside the limits for requests. */
void serverlearn_query_response (struct servers *servers,
                                 struct server *server,
                                 const struct response *response,
                                 int64_t now_ns);

#endif
