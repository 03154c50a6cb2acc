#ifndef ENTRYWEIGHTS_H
#define ENTRYWEIGHTS_H

#include "loadshare.h"

/** @file
 * What an entry process tells the other hosts of the weights of engines, and
 * learns of them.
 */

/** Callbacks of struct loadshare; their data is the struct entry. */
extern const struct loadshare_ops entryweights_loadshare_ops;

#endif
