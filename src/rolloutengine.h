#ifndef ROLLOUTENGINE_H
#define ROLLOUTENGINE_H

#include "rollout.h"

/** @file
 * The engines that the leader of a rollout brings to new weights: which of
 * them load at the same time, the orders to them and the queries for their
 * state.
 */

void rolloutengines_init (struct rollout *rollout);

/** Drop engines that are done or gone, and take on outdated ones as far as
 * they may load at the same time. */
void rolloutengines_update (struct rollout *rollout);

/** Query the engines that are due; their replies may lead to orders. */
void rolloutengines_query_due (struct rollout *rollout);

#endif
