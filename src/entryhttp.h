#ifndef ENTRYHTTP_H
#define ENTRYHTTP_H

#include "callerconn.h"

/** @file
 * The HTTP interfaces of an entry process beside the one for requests: the
 * directory of addresses that callers may use, the readiness check, and the
 * metrics with POST /explain. The data pointer of each interface is the struct
 * entry.
 */

extern const struct callerserver_ops entryhttp_directory_ops;
extern const struct callerserver_ops entryhttp_ready_ops;
extern const struct callerserver_ops entryhttp_metrics_ops;

#endif
