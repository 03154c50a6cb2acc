#include "frame.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

static uint32_t
read_length (const uint8_t *head)
{
  return (uint32_t)head[0] << 24 | (uint32_t)head[1] << 16
         | (uint32_t)head[2] << 8 | head[3];
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
  if (reader->taken > 0)
    {
      reader->size -= reader->taken;
      memmove (reader->bytes, reader->bytes + reader->taken, reader->size);
      reader->taken = 0;
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
frame_reader_next (struct frame_reader *reader, const uint8_t **body,
                   size_t *size)
{
  size_t available = reader->size - reader->taken;
  const uint8_t *head = reader->bytes + reader->taken;
  uint32_t length;

  if (available < FRAME_HEAD_SIZE)
    return STATUS_NOT_FOUND;
  length = read_length (head);
  if (length > FRAME_BODY_MAX)
    return STATUS_TOO_LARGE;
  if (available - FRAME_HEAD_SIZE < length)
    return STATUS_NOT_FOUND;
  *body = head + FRAME_HEAD_SIZE;
  *size = length;
  reader->taken += FRAME_HEAD_SIZE + length;
  return STATUS_OK;
}

void
frame_head (uint8_t head[FRAME_HEAD_SIZE], size_t size)
{
  assert (size <= FRAME_BODY_MAX);
  head[0] = (uint8_t)(size >> 24);
  head[1] = (uint8_t)(size >> 16);
  head[2] = (uint8_t)(size >> 8);
  head[3] = (uint8_t)size;
}
