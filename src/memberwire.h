#ifndef MEMBERWIRE_H
#define MEMBERWIRE_H

#include "member.pb-c.h"
#include "membertable.h"

/** @file
 * Datagrams between processes: how they are filled up to their limit and
 * read.
 */

enum
{
  MEMBER_PROTOCOL = 1,
  MEMBER_DATAGRAM_MAX = 1200, /**< bytes */
  MEMBER_ROWS_MAX = 48,       /**< rows in one datagram */
  MEMBER_SIGNS_MAX = 8        /**< signs in one datagram */
};

/** A datagram that is being put together. */
struct memberwire
{
  Member__Datagram datagram;
  Member__Row from;
  Member__Row rows[MEMBER_ROWS_MAX];
  Member__Row *row_list[MEMBER_ROWS_MAX];
  Member__Sign signs[MEMBER_SIGNS_MAX];
  Member__Sign *sign_list[MEMBER_SIGNS_MAX];
  size_t size; /**< bytes so far */
};

/** Begin a datagram of KIND; FROM, and all rows put in, must live until it is
 * packed. */
void memberwire_init (struct memberwire *wire, Member__Kind kind,
                      const struct member_row *from);

/** Put in ROW, with the fixed fields if WHOLE.
 * @return false if there is no room. */
bool memberwire_add_row (struct memberwire *wire, const struct member_row *row,
                         bool whole, size_t limit);

/** Put in that SERVER was seen leaving or out AGE_NS ago.
 * @return false if there is no room. */
bool memberwire_add_sign (struct memberwire *wire, const char *server,
                          const char *seen_by, int64_t age_ns, size_t limit);

/** Write the datagram into BYTES of MEMBER_DATAGRAM_MAX.
 * @return its size. */
size_t memberwire_pack (struct memberwire *wire, uint8_t *bytes);

/** Read SIZE BYTES; NULL if they are none of ours. The caller frees it with
 * member__datagram__free_unpacked. */
Member__Datagram *memberwire_read (const uint8_t *bytes, size_t size);

/** The row that MESSAGE holds.
 * @return false if a field is out of range. */
bool memberwire_row (const Member__Row *message, struct member_row *row);

#endif
