#include "eventstream.h"

#include <stdlib.h>
#include <string.h>

void
eventstream_init (struct eventstream *stream)
{
  memset (stream, 0, sizeof *stream);
  stream->pending = g_string_new (NULL);
  stream->is_consecutive = true;
}

void
eventstream_finish (struct eventstream *stream)
{
  g_string_free (stream->pending, TRUE);
}

void
eventstream_begin_after (struct eventstream *stream, uint64_t last_id)
{
  stream->last_id = last_id;
  stream->last_has_id = true;
  stream->has_begun = true;
}

void
eventstream_continue_from (struct eventstream *stream,
                           const struct eventstream *present)
{
  stream->last_id = present->last_id;
  stream->has_begun = present->has_begun;
  stream->last_has_id = present->last_has_id;
  stream->is_consecutive = present->is_consecutive;
}

void
eventstream_restart (struct eventstream *stream, bool continues)
{
  g_string_truncate (stream->pending, 0);
  stream->event_count = 0;
  stream->continues = continues;
  stream->is_misplaced = false;
}

bool
eventstream_is_resumable (const struct eventstream *stream)
{
  return !stream->has_begun || stream->last_has_id;
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

struct event
{
  bool is_empty; /* Whether it only has comments and retry times. */
  bool has_id;
  uint64_t id;
};

/* Parse an id, which is a decimal number, from the rest of a line. */
static bool
id_parse (const char *text, size_t size, uint64_t *id)
{
  char *end;

  if (size > 0 && *text == ' ')
    text++;
  if (!g_ascii_isdigit (*text))
    return false;
  *id = strtoull (text, &end, 10);
  return *end == '\n' || *end == '\r';
}

static bool
line_has_field (const char *line, size_t size, const char *field)
{
  size_t length = strlen (field);

  return size > length && memcmp (line, field, length) == 0;
}

static void
event_parse (const char *text, size_t size, struct event *event)
{
  memset (event, 0, sizeof *event);
  event->is_empty = true;
  for (size_t offset = 0; offset < size;)
    {
      const char *at = text + offset;
      size_t line = line_size (at, size - offset);

      if (line_has_field (at, line, "id:"))
        event->has_id = id_parse (at + 3, line - 3, &event->id);
      event->is_empty = event->is_empty
                        && (line_is_blank (at, line) || *at == ':'
                            || line_has_field (at, line, "retry:"));
      offset += line;
    }
}

/* Whether EVENT can follow those before. Whether the ids have gaps is not
 * known of a stream that another response began. */
static bool
event_is_next (const struct eventstream *stream, const struct event *event)
{
  if (!stream->has_begun)
    return true;
  return event->has_id
         && (stream->continues && stream->is_consecutive
                 ? event->id == stream->last_id + 1
                 : event->id > stream->last_id);
}

enum event_use
{
  EVENT_RELAYED,
  EVENT_DROPPED,
  EVENT_MISPLACED
};

/* Record the event TEXT, and return what becomes of it. Nothing is relayed of
 * a continuation before its first event. */
static enum event_use
event_record (struct eventstream *stream, const char *text, size_t size)
{
  bool is_first = stream->event_count == 0;
  struct event event;

  event_parse (text, size, &event);
  if (event.is_empty)
    return is_first && stream->continues ? EVENT_DROPPED : EVENT_RELAYED;
  if (is_first && !event_is_next (stream, &event))
    return EVENT_MISPLACED;
  stream->is_consecutive = stream->is_consecutive && event.has_id
                           && event.id == stream->last_id + 1;
  stream->has_begun = true;
  stream->last_has_id = event.has_id;
  if (event.has_id)
    stream->last_id = event.id;
  if (event.has_id && is_first)
    stream->first_id = event.id;
  stream->event_count++;
  return EVENT_RELAYED;
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
  size_t used = 0;
  size_t dropped = 0; /* Bytes before the first event that is relayed. */
  size_t event_bytes;

  g_string_append_len (stream->pending, bytes, (gssize)size);
  while (!stream->is_misplaced
         && (event_bytes = event_size (stream->pending->str + used,
                                       stream->pending->len - used))
                > 0)
    {
      enum event_use use
          = event_record (stream, stream->pending->str + used, event_bytes);

      stream->is_misplaced = use == EVENT_MISPLACED;
      if (use != EVENT_MISPLACED)
        used += event_bytes;
      if (use == EVENT_DROPPED)
        dropped = used;
    }
  g_string_erase (stream->pending, 0, (gssize)dropped);
  return used - dropped;
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
