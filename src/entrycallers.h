#ifndef ENTRYCALLERS_H
#define ENTRYCALLERS_H

#include "callerserver.h"

/** @file
 * The connections on which an entry process receives requests: those of
 * callers, and those of other hosts that pass requests on.
 */

/** Operations on a struct entry, for the listener that callers connect to. */
extern const struct callerserver_ops entrycallers_caller_ops;

/** Operations on a struct entry, for the listener that other hosts connect
 * to. */
extern const struct callerserver_ops entrycallers_host_ops;

#endif
