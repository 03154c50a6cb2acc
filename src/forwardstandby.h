#ifndef FORWARDSTANDBY_H
#define FORWARDSTANDBY_H

#include "forward.h"

/** @file
 * A second attempt beside one whose server has sent nothing for too long. The
 * run of the silent server is ended only once another server, or another host,
 * has taken the request; until then the server that goes on first keeps it.
 * Both work on the request for a short time only.
 */

/** Start a standby if the server of the present attempt is silent, and let the
 * standby take the place of the present attempt once it may. */
void forwardstandby_tick (struct forward *forward, int64_t now);

/** The present attempt has responded: end the standby, if there is one. */
void forwardstandby_cancel (struct forward *forward, const char *reason);

/** Free the present attempt, whose connection is closed, and make the standby
 * the present attempt. */
void forwardstandby_promote (struct forward *forward, const char *reason);

/** End the run of the silent server, and make the standby the present
 * attempt. */
void forwardstandby_take_over (struct forward *forward);

/** Free the standby, which has ended with OUTCOME and is of no use. */
void forwardstandby_ended (struct forward *forward,
                           enum exchange_outcome outcome);

#endif
