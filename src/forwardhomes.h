#ifndef FORWARDHOMES_H
#define FORWARDHOMES_H

#include "forward.h"

/** @file
 * The homes of a request: those of its route and of its organisation.
 */

/** Set HOMES to those of the request. They are valid as long as it is. */
void forwardhomes_get (const struct forward *forward, struct homes *homes);

/** Whether the request may be passed on to a host in DATA_CENTRE. */
bool forwardhomes_allow_host (const struct forward *forward,
                              const char *data_centre);

#endif
