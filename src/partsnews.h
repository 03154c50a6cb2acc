#ifndef PARTSNEWS_H
#define PARTSNEWS_H

#include "kvstores.h"

/** @file
 * The datagram in which the host that listens to a store of KV cache tells
 * the other hosts of its cell what changed there.
 */

enum
{
  PARTSNEWS_BYTES_MAX = 1400, /**< of a datagram, to fit one packet */
  PARTSNEWS_PARTS_MAX = 64    /**< in one datagram */
};

/** @return the size; 0: it does not fit, and the other hosts ask themselves */
size_t partsnews_write (const struct kvstore_news *news,
                        uint8_t bytes[PARTSNEWS_BYTES_MAX]);

/** Give the news of a datagram to KVSTORES. @return false if it can't be
 * read */
bool partsnews_read (struct kvstores *kvstores, const uint8_t *bytes,
                     size_t size);

#endif
