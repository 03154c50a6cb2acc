#ifndef TEXTZIP_H
#define TEXTZIP_H

#include <stddef.h>
#include <stdint.h>

/** @file
 * Compression (zlib) of texts that processes send to each other.
 */

/** Compress TEXT. The caller frees the result with g_free.
 * @param packed_size receives the size of the result in bytes; not NULL. */
uint8_t *textzip_compress (const char *text, size_t *packed_size);

/** Decompress PACKED_SIZE bytes of PACKED to a text of TEXT_SIZE bytes,
 * without the final NUL. The caller frees the text with g_free.
 * @return NULL if the data is corrupt, does not decompress to exactly
 * TEXT_SIZE bytes, or TEXT_SIZE is over SIZE_LIMIT. */
char *textzip_decompress (const uint8_t *packed, size_t packed_size,
                          size_t text_size, size_t size_limit);

#endif
