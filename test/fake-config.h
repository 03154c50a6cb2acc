#ifndef FAKE_CONFIG_H
#define FAKE_CONFIG_H

#include "config.h"

/** @file
 * Configurations for tests, written as short texts.
 */

/** A row from "TYPE COLUMN=TEXT ...", or a removal from "-TYPE ...". */
struct row_change fake_change (const char *text);

/** BASE (NULL: empty) with the changes in the NULL-terminated TEXTS; the
 * error's status says whether it worked. BASE is left as it is. */
struct config *fake_config_change (const struct config *base,
                                   const char *const *texts,
                                   struct error *error);

/** Two organisations, milo and salemi, with keys "milo-key" and "salemi-key",
 * a model, a plain service, an adapter and kinds; revision 1. */
struct config *fake_config (void);

#endif
