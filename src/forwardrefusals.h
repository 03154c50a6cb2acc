#ifndef FORWARDREFUSALS_H
#define FORWARDREFUSALS_H

#include "forward.h"

/** @file
 * The servers that have refused a request, here and at the hosts that it was
 * passed on to. None of them gets it again.
 */

/** The server of ATTEMPT has refused the request. */
void forwardrefusals_record (struct forward_attempt *attempt);

/** Another host tells that REFUSALS refused the request. */
void forwardrefusals_add (struct forward *forward,
                          const struct call_refusals *refusals);

/** Whether a request that may run once was refused by so many servers that
 * another one can't be told from these any more. */
bool forwardrefusals_are_full (const struct forward *forward);

#endif
