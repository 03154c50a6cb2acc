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

/* The fields of one event that count here. */
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

/* The sequence in "ID/SEQUENCE". */
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
data_ends (const struct line *data)
{
  return data->size == strlen (END_MARK)
         && memcmp (data->text, END_MARK, strlen (END_MARK)) == 0;
}

static void
event_take (struct relay *relay, const struct event *event, const char *text,
            size_t size)
{
  struct relay_piece piece
      = { 0, text, size, event->data.text, event->data.size };
  bool end = data_ends (&event->data);

  /* A comment, as some servers send to keep a connection alive. */
  if (event->id.text == NULL && event->data.text == NULL)
    return;
  if (event->id.text == NULL || event->data.text == NULL
      || !id_parse (relay, &event->id, &piece.sequence))
    relay->foreign++;
  else if (piece.sequence < relay->next)
    relay->repeated++;
  else if (piece.sequence > relay->next)
    relay->state = RELAY_GAP;
  else
    {
      relay->next++;
      relay->passed += !end;
      if (end)
        relay->state = RELAY_ENDED;
      relay->ops->piece (relay, &piece, end);
    }
}

/* Take one event off the front of BYTES.
 * @return its size, or 0 if it is not whole. */
static size_t
event_feed (struct relay *relay, const char *bytes, size_t size)
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
          event_take (relay, &event, bytes, (size_t)(at - bytes));
          return (size_t)(at - bytes);
        }
      if (!line_field (&line, ID_FIELD, strlen (ID_FIELD), &event.id))
        line_field (&line, DATA_FIELD, strlen (DATA_FIELD), &event.data);
    }
  return 0;
}

/* Take all whole events.
 * @return the number of bytes taken. */
static size_t
events_feed (struct relay *relay, const char *bytes, size_t size)
{
  size_t used = 0;

  while (relay->state == RELAY_OPEN)
    {
      size_t more = event_feed (relay, bytes + used, size - used);

      if (more == 0)
        break;
      used += more;
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
      relay->state = RELAY_BROKEN;
      return;
    }
  relay->partial = g_realloc (relay->partial, relay->partial_size + size);
  memcpy (relay->partial + relay->partial_size, bytes, size);
  relay->partial_size += size;
}

static void
partial_clear (struct relay *relay)
{
  g_clear_pointer (&relay->partial, g_free);
  relay->partial_size = 0;
}

/* The size of the rest of the partial event in BYTES, with its empty line,
 * or 0 if it does not end there. */
static size_t
partial_rest (const struct relay *relay, const char *bytes, size_t size)
{
  const char *last = relay->partial + relay->partial_size - 1;
  /* Whether a line end, then perhaps a carriage return, came last. */
  bool fresh
      = *last == '\n'
        || (relay->partial_size > 1 && *last == '\r' && last[-1] == '\n');

  for (size_t i = 0; i < size; i++)
    {
      if (bytes[i] == '\n' && fresh)
        return i + 1;
      fresh = bytes[i] == '\n' || (fresh && bytes[i] == '\r');
    }
  return 0;
}

/* Complete the partial event with the front of BYTES.
 * @return the number of bytes taken. */
static size_t
partial_feed (struct relay *relay, const char *bytes, size_t size)
{
  size_t rest = partial_rest (relay, bytes, size);

  partial_append (relay, bytes, rest > 0 ? rest : size);
  if (rest == 0 || relay->state != RELAY_OPEN)
    return size;
  events_feed (relay, relay->partial, relay->partial_size);
  partial_clear (relay);
  return rest;
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
    used = partial_feed (relay, bytes, size);
  used += events_feed (relay, bytes + used, size - used);
  if (relay->state == RELAY_OPEN)
    partial_append (relay, bytes + used, size - used);
  return relay->state;
}

uint64_t
relay_position (const struct relay *relay)
{
  return relay->next;
}

void
relay_cut (struct relay *relay)
{
  partial_clear (relay);
  if (relay->state == RELAY_ENDED)
    return;
  relay->state = RELAY_OPEN;
  relay->cuts++;
}
