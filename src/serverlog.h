#ifndef SERVERLOG_H
#define SERVERLOG_H

#include "log.h"
#include "metrics.h"
#include "servers.h"

/** @file
 * Logs and counts what a process believes of backend servers.
 */

/** The state of SERVER changed; CHANGE names the change. */
void serverlog_changed (struct log *log, struct metrics *metrics,
                        const struct clock *clock, const struct server *server,
                        const char *change);

/** A value that SERVER stated in FIELD was ignored for REASON. */
void serverlog_ignored (struct log *log, struct metrics *metrics,
                        const struct server *server, const char *field,
                        const char *reason);

#endif
