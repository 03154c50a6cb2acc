#ifndef ENTRYBLAME_H
#define ENTRYBLAME_H

#include "blameshare.h"

/** @file
 * Callbacks of an entry process for blameshare.h.
 */

/** The data of the callbacks is the struct entry. */
extern const struct blameshare_ops entryblame_ops;

#endif
