#ifndef SOAK_CONFIG_H
#define SOAK_CONFIG_H

#include "soak-store.h"

/** @file
 * The configuration of the operator: a route for each kind of request.
 */

/** Write VERSION of it to STORE. */
void soak_config_write (struct soak_store *store, unsigned version);

#endif
