#ifndef STOREUPDATE_H
#define STOREUPDATE_H

#include "kvstores.h"

/** @file
 * The datagram in which the host that polls a KV cache store sends the changes
 * at the store to the other hosts of its subset.
 */

enum
{
  STOREUPDATE_BYTES_MAX
  = 1400,                     /**< Size of a datagram that fits one packet. */
  STOREUPDATE_BLOCKS_MAX = 64 /**< Changed blocks in one datagram. */
};

/** Encodes UPDATE as a datagram.
 * @return the size; 0: the update does not fit, and the other hosts learn of
 * the changes when they poll the store themselves */
size_t storeupdate_encode (const struct kvstore_update *update,
                           uint8_t bytes[STOREUPDATE_BYTES_MAX]);

/** Decodes a datagram and applies the update to KVSTORES.
 * @return false if the datagram is malformed */
bool storeupdate_apply (struct kvstores *kvstores, const uint8_t *bytes,
                        size_t size);

#endif
