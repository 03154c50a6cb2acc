#ifndef SERVERLEARN_H
#define SERVERLEARN_H

#include "servers.h"
#include "statement.h"

/** @file
 * Applies what responses state of the servers that made them.
 */

/** Record what a response of SERVER stated. A value that can't be used is
 * ignored, and reported once for each start of the server. */
void serverlearn_statement (struct servers *servers, struct server *server,
                            const struct statement *statement);

#endif
