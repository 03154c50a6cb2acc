#ifndef PARTSNEWS_H
#define PARTSNEWS_H

#include "kvstores.h"

/** @file
 * The datagram in which the host that polls a KV cache store sends the changes
 * at the store to the other hosts of its subset.
 */

enum
{
  PARTSNEWS_BYTES_MAX = 1400, /**< Size of a datagram that fits one packet. */
  PARTSNEWS_PARTS_MAX = 64    /**< Changed blocks in one datagram. */
};

/** Encodes UPDATE as a datagram.
 * @return the size; 0: the update does not fit, and the other hosts learn of
 * the changes when they poll the store themselves */
size_t partsnews_write (const struct kvstore_news *update,
                        uint8_t bytes[PARTSNEWS_BYTES_MAX]);

/** Decodes a datagram and applies the update to KVSTORES.
 * @return false if the datagram is malformed */
bool partsnews_read (struct kvstores *kvstores, const uint8_t *bytes,
                     size_t size);

#endif
