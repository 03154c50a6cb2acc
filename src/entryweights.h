#ifndef ENTRYWEIGHTS_H
#define ENTRYWEIGHTS_H

#include "forwarder.h"
#include "kvview.h"
#include "loadshare.h"

/** @file
 * What an entry process learns of weights: the versions that the operator
 * wants, and those that the other hosts know engines to have.
 */

struct entry;

/** Tell FORWARDER that the operator wants VERSION of MODEL, which VIEW reports
 * now.
 * @return how old the version counts as */
int64_t entryweights_learn (struct forwarder *forwarder,
                            const struct kvview *view, const char *model,
                            uint64_t version);

/** Handle the write of VALUE, which names the weight version of a model that
 * the operator wants, to KEY at REVISION. */
void entryweights_wanted_put (struct entry *entry, const char *key,
                              const char *value, uint64_t revision);

/** Callbacks of struct loadshare; their data is the struct entry. */
extern const struct loadshare_ops entryweights_loadshare_ops;

#endif
