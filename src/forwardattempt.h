#ifndef FORWARDATTEMPT_H
#define FORWARDATTEMPT_H

#include "forward.h"

/** @file
 * Creates and frees attempts of a request.
 */

/** Create an attempt that was not sent anywhere yet.
 * @param ops handle its response, with the attempt as their data */
struct forward_attempt *forwardattempt_new (struct forward *forward,
                                            const struct exchange_ops *ops);

/** End ATTEMPT, if it has not ended, and free it. */
void forwardattempt_free (struct forward_attempt *attempt);

#endif
