#include "textzip.h"

#include <assert.h>
#include <glib.h>
#include <string.h>
#include <zlib.h>

uint8_t *
textzip_pack (const char *text, size_t *size)
{
  uLong text_size = strlen (text);
  uLongf packed_size = compressBound (text_size);
  uint8_t *bytes = g_malloc (packed_size);
  int rc = compress2 (bytes, &packed_size, (const Bytef *)text, text_size,
                      Z_DEFAULT_COMPRESSION);

  assert (rc == Z_OK);
  *size = packed_size;
  return bytes;
}

char *
textzip_open (const uint8_t *bytes, size_t size, size_t text_size,
              size_t limit)
{
  uLongf opened_size = text_size;
  char *text;

  if (text_size > limit)
    return NULL;
  text = g_malloc (text_size + 1);
  if (uncompress ((Bytef *)text, &opened_size, bytes, size) != Z_OK
      || opened_size != text_size)
    {
      g_free (text);
      return NULL;
    }
  text[text_size] = '\0';
  return text;
}
