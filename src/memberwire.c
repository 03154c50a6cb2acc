#include "memberwire.h"

#include <string.h>

enum
{
  /* Size of the tag and the length of one embedded row or notice. */
  FIELD_HEADER_BYTES = 3,
  /* Upper bound for the size of the scalar fields of a datagram. */
  FIXED_FIELDS_BYTES = 40
};

static void
fill_row (Member__Row *message, const struct member_row *row, bool full)
{
  member__row__init (message);
  message->id = row->id;
  message->incarnation = row->incarnation;
  message->version = row->version;
  message->state = row->state;
  message->leaving = row->leaving;
  message->revision = row->revision;
  if (!full)
    return;
  message->role = row->role;
  message->name = (char *)row->name;
  message->data_centre = (char *)row->data_centre;
  message->peer_address = (char *)row->peer_address;
  message->http_address = (char *)row->http_address;
}

void
memberwire_init (struct memberwire *wire, Member__Kind kind,
                 const struct member_row *from)
{
  member__datagram__init (&wire->datagram);
  fill_row (&wire->from, from, true);
  wire->datagram.protocol = MEMBER_PROTOCOL_VERSION;
  wire->datagram.kind = kind;
  wire->datagram.from = &wire->from;
  wire->datagram.rows = wire->row_list;
  wire->datagram.signs = wire->notice_list;
  wire->size = FIXED_FIELDS_BYTES + MEMBER_ADDRESS_MAX + FIELD_HEADER_BYTES
               + member__row__get_packed_size (&wire->from);
}

static bool
reserve (struct memberwire *wire, size_t size, size_t limit)
{
  if (wire->size + FIELD_HEADER_BYTES + size > limit)
    return false;
  wire->size += FIELD_HEADER_BYTES + size;
  return true;
}

bool
memberwire_add_row (struct memberwire *wire, const struct member_row *row,
                    bool full, size_t limit)
{
  size_t count = wire->datagram.n_rows;
  Member__Row *message = &wire->rows[count];

  if (count == MEMBER_ROWS_MAX)
    return false;
  fill_row (message, row, full);
  if (!reserve (wire, member__row__get_packed_size (message), limit))
    return false;
  wire->row_list[count] = message;
  wire->datagram.n_rows++;
  return true;
}

bool
memberwire_add_notice (struct memberwire *wire, const char *server,
                       const char *seen_by, int64_t age_ns, size_t limit)
{
  size_t count = wire->datagram.n_signs;
  Member__Sign *message = &wire->notices[count];

  if (count == MEMBER_NOTICES_MAX)
    return false;
  member__sign__init (message);
  message->server = (char *)server;
  message->seen_by = (char *)seen_by;
  message->age_ms = (uint32_t)(age_ns / NS_PER_MS);
  if (!reserve (wire, member__sign__get_packed_size (message), limit))
    return false;
  wire->notice_list[count] = message;
  wire->datagram.n_signs++;
  return true;
}

size_t
memberwire_pack (struct memberwire *wire, uint8_t *bytes)
{
  if (member__datagram__get_packed_size (&wire->datagram)
      > MEMBER_DATAGRAM_MAX)
    return 0;
  return member__datagram__pack (&wire->datagram, bytes);
}

Member__Datagram *
memberwire_unpack (const uint8_t *bytes, size_t size)
{
  Member__Datagram *datagram = member__datagram__unpack (NULL, size, bytes);

  if (datagram == NULL)
    return NULL;
  if (datagram->protocol == MEMBER_PROTOCOL_VERSION && datagram->from != NULL
      && datagram->from->name[0] != '\0')
    return datagram;
  member__datagram__free_unpacked (datagram, NULL);
  return NULL;
}

static bool
copy_text (char *out, size_t size, const char *text)
{
  return g_strlcpy (out, text, size) < size;
}

bool
memberwire_unpack_row (const Member__Row *message, struct member_row *row)
{
  if (message->state >= MEMBER_STATE_COUNT || message->role > ROLE_SHARD)
    return false;
  row->id = message->id;
  row->incarnation = message->incarnation;
  row->revision = message->revision;
  row->version = message->version;
  row->state = (uint8_t)message->state;
  row->role = (uint8_t)message->role;
  row->leaving = message->leaving;
  return copy_text (row->name, sizeof row->name, message->name)
         && copy_text (row->data_centre, sizeof row->data_centre,
                       message->data_centre)
         && copy_text (row->peer_address, sizeof row->peer_address,
                       message->peer_address)
         && copy_text (row->http_address, sizeof row->http_address,
                       message->http_address);
}
