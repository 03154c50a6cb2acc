#ifndef TEXTZIP_H
#define TEXTZIP_H

#include <stddef.h>
#include <stdint.h>

/** @file
 * Compressed texts (zlib) between processes.
 */

/** TEXT compressed; the caller frees it with g_free.
 * @param size receives its length; may not be NULL */
uint8_t *textzip_pack (const char *text, size_t *size);

/** The text of TEXT_SIZE bytes that the SIZE BYTES hold, or NULL if they do
 * not, or it is over LIMIT; the caller frees it with g_free. */
char *textzip_open (const uint8_t *bytes, size_t size, size_t text_size,
                    size_t limit);

#endif
