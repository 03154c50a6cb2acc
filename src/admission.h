#ifndef ADMISSION_H
#define ADMISSION_H

#include "gateway.h"

/** @file
 * Connects the gateway's requests to its two admission queues (admit.h): one
 * for completions, whose cost is counted in tokens, and one for services,
 * whose cost is counted in calls.
 */

void admission_init (struct gateway *gateway);
void admission_finish (struct gateway *gateway);

/** Apply the organisations' weights and rates of GATEWAY's configuration. */
void admission_configure (struct gateway *gateway);

#endif
