#include "textzip.h"

#include <assert.h>
#include <glib.h>
#include <string.h>
#include <zlib.h>

uint8_t *
textzip_compress (const char *text, size_t *packed_size)
{
  uLong text_size = strlen (text);
  uLongf length = compressBound (text_size);
  uint8_t *packed = g_malloc (length);
  int rc = compress2 (packed, &length, (const Bytef *)text, text_size,
                      Z_DEFAULT_COMPRESSION);

  assert (rc == Z_OK);
  *packed_size = length;
  return packed;
}

char *
textzip_decompress (const uint8_t *packed, size_t packed_size,
                    size_t text_size, size_t size_limit)
{
  uLongf length = text_size;
  char *text;

  if (text_size > size_limit)
    return NULL;
  text = g_malloc (text_size + 1);
  if (uncompress ((Bytef *)text, &length, packed, packed_size) != Z_OK
      || length != text_size)
    {
      g_free (text);
      return NULL;
    }
  text[text_size] = '\0';
  return text;
}
