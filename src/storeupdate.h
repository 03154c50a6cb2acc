#ifndef STOREUPDATE_H
#define STOREUPDATE_H

#include "kvstores.h"

/** @file
 * The datagram in which the host that polls a KV cache store sends the changes
 * at the store to the other hosts of its subset.
 */

enum
{
  /** Maximum size of a datagram, so that it fits one packet. */
  STOREUPDATE_BYTES_MAX = 1400,
  /** Maximum number of changed blocks in one datagram. */
  STOREUPDATE_BLOCKS_MAX = 64,
  /** Number of blocks of a large update that are put into one datagram. */
  STOREUPDATE_PART_BLOCKS = 32
};

/** Sets PART to the next part of UPDATE, after the one that it holds, that
 * fits a datagram. PART is a copy of UPDATE at first. Blocks without a number
 * end the parts: UPDATE is one part then. */
void storeupdate_split (const struct kvstore_update *update,
                        struct kvstore_update *part);

/** Encodes UPDATE as a datagram.
 * @return the size of the datagram; 0 if UPDATE does not fit, in which case
 * the other hosts learn of the changes when they poll the store themselves */
size_t storeupdate_encode (const struct kvstore_update *update,
                           uint8_t bytes[STOREUPDATE_BYTES_MAX]);

/** Decodes a datagram and applies the update to KVSTORES.
 * @return false if the datagram is malformed */
bool storeupdate_apply (struct kvstores *kvstores, const uint8_t *bytes,
                        size_t size);

#endif
