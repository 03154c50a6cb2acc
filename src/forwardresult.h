#ifndef FORWARDRESULT_H
#define FORWARDRESULT_H

#include "forward.h"

/** @file
 * Relays the response of an attempt and decides what follows its end.
 */

/** Handle the response of an attempt, which is their data. */
extern const struct exchange_ops forwardresult_ops;

/** End the present attempt with OUTCOME, since its server has not responded.
 */
void forwardresult_abandon (struct forward *forward,
                            enum exchange_outcome outcome);

#endif
