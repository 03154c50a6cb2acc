#ifndef ADMISSION_H
#define ADMISSION_H

#include "gateway.h"

/** @file
 * Joins the gateway's requests with its admission: one for completions,
 * whose cost is in tokens, and one for services, whose cost is in calls.
 */

void admission_init (struct gateway *gateway);
void admission_finish (struct gateway *gateway);

/** Take over the organisations' weights and rates of GATEWAY's
 * configuration. */
void admission_configure (struct gateway *gateway);

#endif
