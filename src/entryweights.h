#ifndef ENTRYWEIGHTS_H
#define ENTRYWEIGHTS_H

#include "loadshare.h"

/** @file
 * What an entry process learns of weights: the versions that the operator
 * wants, and those that the other hosts know engines to have.
 */

struct entry;

/** Handle the write of VALUE, which names the weight version of a model that
 * the operator wants, to KEY at REVISION. */
void entryweights_wanted_put (struct entry *entry, const char *key,
                              const char *value, uint64_t revision);

/** Callbacks of struct loadshare; their data is the struct entry. */
extern const struct loadshare_ops entryweights_loadshare_ops;

#endif
