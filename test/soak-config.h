#ifndef SOAK_CONFIG_H
#define SOAK_CONFIG_H

#include "soak.h"

/** @file
 * The operator's configuration in the soak.
 */

/** @return the configuration as the version VERSION; the caller frees it */
char *soak_config_text (unsigned version);

#endif
