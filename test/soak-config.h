#ifndef SOAK_CONFIG_H
#define SOAK_CONFIG_H

#include "soak-store.h"

/** @file
 * The configuration of the operator: a route for each kind of request.
 */

enum
{
  SOAK_COLD_MS = 3000, /**< Time for which an engine is cold. */
  SOAK_COLD_PER_S = 8  /**< Requests in a second that a cold engine tolerates.
                        */
};

/** Write VERSION of it to STORE. */
void soak_config_write (struct soak_store *store, unsigned version);

#endif
