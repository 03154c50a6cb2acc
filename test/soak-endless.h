#ifndef SOAK_ENDLESS_H
#define SOAK_ENDLESS_H

#include "callerconn.h"
#include "soak-host.h"

/** @file
 * Engines that send bytes without end, and the memory of the hosts that called
 * them.
 */

/** Whether an engine sends bytes without end in place of the answer to
 * REQUEST. If so, they are written to CONN until it is closed. */
bool soak_endless_begin (struct soak *soak, struct callerconn *conn,
                         const struct soak_request *request);

/** Check that HOST does not hold more memory than a small host has. */
void soak_endless_check (struct soak *soak, const struct soak_host *host);

/** Say how much was sent and held. */
void soak_endless_say (struct soak *soak);

#endif
