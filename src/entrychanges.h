#ifndef ENTRYCHANGES_H
#define ENTRYCHANGES_H

#include "loadshare.h"

/** @file
 * What the hosts tell each other of changes in the KV service: the revisions
 * of the last changes that each one knows, never the changes themselves. A
 * host that others are ahead of reads the keys. The data pointer is the struct
 * entry.
 */

void entrychanges_known (void *data, struct loadshare_changes *changes);

/** Handles the CHANGES that HOST knows. Those of another era can't be
 * compared; each reply of the KV service states its era. */
void entrychanges_reported (void *data, const char *host,
                            const struct loadshare_changes *changes);

#endif
