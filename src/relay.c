#include "relay.h"

#include <assert.h>
#include <glib.h>
#include <stdbool.h>
#include <string.h>

#define ID_FIELD "id: "
#define DATA_FIELD "data: "
#define END_MARK "[DONE]"

struct line
{
  const char *text;
  size_t size;
};

/* The fields of one event that the relay reads. */
struct event
{
  struct line id;
  struct line data;
};

static bool
line_field (const struct line *line, const char *field, size_t size,
            struct line *value)
{
  if (line->size < size || memcmp (line->text, field, size) != 0)
    return false;
  value->text = line->text + size;
  value->size = line->size - size;
  return true;
}

/* Read the sequence number of an id "ID/SEQUENCE" into *SEQUENCE.
 * @return false if ID is not of this relay's request or not a valid id. */
static bool
id_parse (const struct relay *relay, const struct line *id, uint64_t *sequence)
{
  if (id->size < relay->id_size + 2 || id->text[relay->id_size] != '/'
      || memcmp (id->text, relay->id, relay->id_size) != 0)
    return false;
  *sequence = 0;
  for (size_t i = relay->id_size + 1; i < id->size; i++)
    {
      char digit = id->text[i];

      if (digit < '0' || digit > '9' || *sequence > UINT64_MAX / 16)
        return false;
      *sequence = *sequence * 10 + (uint64_t)(digit - '0');
    }
  return true;
}

static bool
data_is_end_mark (const struct line *data)
{
  return data->size == strlen (END_MARK)
         && memcmp (data->text, END_MARK, strlen (END_MARK)) == 0;
}

static void
process_event (struct relay *relay, const struct event *event,
               const char *text, size_t size)
{
  struct relay_event parsed
      = { 0, text, size, event->data.text, event->data.size };
  bool is_end = data_is_end_mark (&event->data);

  /* An event without fields is a comment, which some servers send to keep a
   * connection alive. */
  if (event->id.text == NULL && event->data.text == NULL)
    return;
  if (event->id.text == NULL || event->data.text == NULL
      || !id_parse (relay, &event->id, &parsed.sequence))
    relay->foreign_count++;
  else if (parsed.sequence < relay->next_sequence)
    relay->duplicate_count++;
  else if (parsed.sequence > relay->next_sequence)
    relay->state = RELAY_GAP;
  else
    {
      relay->next_sequence++;
      relay->passed_count += !is_end;
      if (is_end)
        relay->state = RELAY_COMPLETE;
      relay->ops->event_received (relay, &parsed, is_end);
    }
}

/* Process the first event of BYTES.
 * @return the size of the event, or 0 if it is incomplete. */
static size_t
parse_event (struct relay *relay, const char *bytes, size_t size)
{
  struct event event = { 0 };
  const char *at = bytes;
  const char *end = bytes + size;

  while (at < end)
    {
      const char *stop = memchr (at, '\n', (size_t)(end - at));
      struct line line = { at, 0 };

      if (stop == NULL)
        return 0;
      line.size = (size_t)(stop - at);
      at = stop + 1;
      if (line.size > 0 && line.text[line.size - 1] == '\r')
        line.size--;
      if (line.size == 0)
        {
          process_event (relay, &event, bytes, (size_t)(at - bytes));
          return (size_t)(at - bytes);
        }
      if (!line_field (&line, ID_FIELD, strlen (ID_FIELD), &event.id))
        line_field (&line, DATA_FIELD, strlen (DATA_FIELD), &event.data);
    }
  return 0;
}

/* Process all complete events at the start of BYTES.
 * @return the number of bytes processed. */
static size_t
parse_events (struct relay *relay, const char *bytes, size_t size)
{
  size_t used = 0;

  while (relay->state == RELAY_OPEN)
    {
      size_t event_size = parse_event (relay, bytes + used, size - used);

      if (event_size == 0)
        break;
      used += event_size;
    }
  return used;
}

static void
partial_append (struct relay *relay, const char *bytes, size_t size)
{
  if (size == 0)
    return;
  if (relay->partial_size + size > RELAY_EVENT_MAX)
    {
      relay->state = RELAY_INVALID;
      return;
    }
  relay->partial_event
      = g_realloc (relay->partial_event, relay->partial_size + size);
  memcpy (relay->partial_event + relay->partial_size, bytes, size);
  relay->partial_size += size;
}

static void
partial_clear (struct relay *relay)
{
  g_clear_pointer (&relay->partial_event, g_free);
  relay->partial_size = 0;
}

/* The number of bytes at the start of BYTES that complete the partial event,
 * with its empty line, or 0 if the event does not end in BYTES. */
static size_t
partial_missing_size (const struct relay *relay, const char *bytes,
                      size_t size)
{
  const char *last = relay->partial_event + relay->partial_size - 1;
  /* Whether the bytes so far end with a line feed, optionally followed by a
   * carriage return, so that a line feed now would end the event. */
  bool at_line_start
      = *last == '\n'
        || (relay->partial_size > 1 && *last == '\r' && last[-1] == '\n');

  for (size_t i = 0; i < size; i++)
    {
      if (bytes[i] == '\n' && at_line_start)
        return i + 1;
      at_line_start = bytes[i] == '\n' || (at_line_start && bytes[i] == '\r');
    }
  return 0;
}

/* Add the start of BYTES to the partial event, and process the event if that
 * completes it.
 * @return the number of bytes used. */
static size_t
partial_complete (struct relay *relay, const char *bytes, size_t size)
{
  size_t missing = partial_missing_size (relay, bytes, size);

  partial_append (relay, bytes, missing > 0 ? missing : size);
  if (missing == 0 || relay->state != RELAY_OPEN)
    return size;
  parse_events (relay, relay->partial_event, relay->partial_size);
  partial_clear (relay);
  return missing;
}

void
relay_init (struct relay *relay, const struct relay_ops *ops, const char *id)
{
  *relay = (struct relay){ .state = RELAY_OPEN, .ops = ops };
  relay->id_size = strlen (id);
  assert (relay->id_size < RELAY_ID_MAX);
  memcpy (relay->id, id, relay->id_size + 1);
}

void
relay_finish (struct relay *relay)
{
  partial_clear (relay);
}

enum relay_state
relay_feed (struct relay *relay, const char *bytes, size_t size)
{
  size_t used = 0;

  if (relay->state != RELAY_OPEN)
    return relay->state;
  if (relay->partial_size > 0)
    used = partial_complete (relay, bytes, size);
  used += parse_events (relay, bytes + used, size - used);
  if (relay->state == RELAY_OPEN)
    partial_append (relay, bytes + used, size - used);
  return relay->state;
}

uint64_t
relay_next_sequence (const struct relay *relay)
{
  return relay->next_sequence;
}

void
relay_disconnected (struct relay *relay)
{
  partial_clear (relay);
  if (relay->state == RELAY_COMPLETE)
    return;
  relay->state = RELAY_OPEN;
  relay->disconnect_count++;
}
