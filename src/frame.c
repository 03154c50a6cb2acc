#include "frame.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

static uint32_t
read_length (const uint8_t *header)
{
  return (uint32_t)header[0] << 24 | (uint32_t)header[1] << 16
         | (uint32_t)header[2] << 8 | header[3];
}

void
frame_reader_init (struct frame_reader *reader)
{
  memset (reader, 0, sizeof *reader);
}

void
frame_reader_finish (struct frame_reader *reader)
{
  g_free (reader->bytes);
  memset (reader, 0, sizeof *reader);
}

uint8_t *
frame_reader_reserve (struct frame_reader *reader, size_t size)
{
  if (reader->consumed > 0)
    {
      reader->size -= reader->consumed;
      memmove (reader->bytes, reader->bytes + reader->consumed, reader->size);
      reader->consumed = 0;
    }
  if (reader->capacity - reader->size < size)
    {
      reader->capacity = reader->size + size;
      reader->bytes = g_realloc (reader->bytes, reader->capacity);
    }
  return reader->bytes + reader->size;
}

void
frame_reader_commit (struct frame_reader *reader, size_t size)
{
  assert (reader->size + size <= reader->capacity);
  reader->size += size;
}

enum status
frame_reader_read_frame (struct frame_reader *reader, const uint8_t **body,
                         size_t *size)
{
  size_t available = reader->size - reader->consumed;
  const uint8_t *header = reader->bytes + reader->consumed;
  uint32_t length;

  if (available < FRAME_HEADER_BYTES)
    return STATUS_NOT_FOUND;
  length = read_length (header);
  if (length > FRAME_BODY_MAX_BYTES)
    return STATUS_TOO_LARGE;
  if (available - FRAME_HEADER_BYTES < length)
    return STATUS_NOT_FOUND;
  *body = header + FRAME_HEADER_BYTES;
  *size = length;
  reader->consumed += FRAME_HEADER_BYTES + length;
  return STATUS_OK;
}

void
frame_write_header (uint8_t header[FRAME_HEADER_BYTES], size_t size)
{
  assert (size <= FRAME_BODY_MAX_BYTES);
  header[0] = (uint8_t)(size >> 24);
  header[1] = (uint8_t)(size >> 16);
  header[2] = (uint8_t)(size >> 8);
  header[3] = (uint8_t)size;
}
