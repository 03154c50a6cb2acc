#include "eventstream.h"

#include <stdlib.h>
#include <string.h>

void
eventstream_init (struct eventstream *stream)
{
  memset (stream, 0, sizeof *stream);
  stream->pending = g_string_new (NULL);
}

void
eventstream_finish (struct eventstream *stream)
{
  g_string_free (stream->pending, TRUE);
}

void
eventstream_restart (struct eventstream *stream)
{
  g_string_truncate (stream->pending, 0);
  stream->event_count = 0;
}

/* Size of the first line with its line feed, or 0 if the line is
 * incomplete. */
static size_t
line_size (const char *text, size_t size)
{
  const char *end = memchr (text, '\n', size);

  return end == NULL ? 0 : (size_t)(end - text) + 1;
}

static bool
line_is_blank (const char *line, size_t size)
{
  return size == 1 || (size == 2 && line[0] == '\r');
}

static void
event_record (struct eventstream *stream, const char *event, size_t size)
{
  static const char id_field[] = "id:";
  bool only_comments = true;

  for (size_t offset = 0; offset < size;)
    {
      size_t line = line_size (event + offset, size - offset);

      if (strncmp (event + offset, id_field, sizeof id_field - 1) == 0)
        {
          stream->last_id
              = strtoull (event + offset + sizeof id_field - 1, NULL, 10);
          if (stream->event_count == 0)
            stream->first_id = stream->last_id;
        }
      only_comments = only_comments && event[offset] == ':';
      offset += line;
    }
  if (!only_comments)
    stream->event_count++;
}

/* Size of the first event with its blank line, or 0 if the event is
 * incomplete. */
static size_t
event_size (const char *text, size_t size)
{
  size_t offset = 0;

  while (offset < size)
    {
      size_t line = line_size (text + offset, size - offset);

      if (line == 0)
        return 0;
      if (line_is_blank (text + offset, line))
        return offset + line;
      offset += line;
    }
  return 0;
}

size_t
eventstream_append (struct eventstream *stream, const char *bytes, size_t size)
{
  size_t complete_bytes = 0;
  size_t event_bytes;

  g_string_append_len (stream->pending, bytes, (gssize)size);
  while ((event_bytes = event_size (stream->pending->str + complete_bytes,
                                    stream->pending->len - complete_bytes))
         > 0)
    {
      event_record (stream, stream->pending->str + complete_bytes,
                    event_bytes);
      complete_bytes += event_bytes;
    }
  return complete_bytes;
}

bool
eventstream_is_inside_event (const struct eventstream *stream)
{
  return stream->pending->len > 0;
}

void
eventstream_consume (struct eventstream *stream, size_t size)
{
  g_string_erase (stream->pending, 0, (gssize)size);
}
