#ifndef MEMBERWIRE_H
#define MEMBERWIRE_H

#include "member.pb-c.h"
#include "membertable.h"

/** @file
 * Packs and unpacks the datagrams between processes, and limits their size.
 */

enum
{
  MEMBER_PROTOCOL_VERSION = 1,
  MEMBER_DATAGRAM_MAX = 1200, /**< Maximum size of one datagram in bytes. */
  MEMBER_ROWS_MAX = 48,       /**< Maximum number of rows in one datagram. */
  MEMBER_NOTICES_MAX = 8 /**< Maximum number of notices in one datagram. */
};

/** A datagram under construction. */
struct memberwire
{
  Member__Datagram datagram;
  Member__Row from;
  Member__Row rows[MEMBER_ROWS_MAX];
  Member__Row *row_list[MEMBER_ROWS_MAX];
  Member__Sign notices[MEMBER_NOTICES_MAX];
  Member__Sign *notice_list[MEMBER_NOTICES_MAX];
  /** Upper bound for the size in bytes of what was added so far. */
  size_t size;
};

/** Start a datagram of KIND. FROM, all added rows and all strings must stay
 * valid until memberwire_pack. */
void memberwire_init (struct memberwire *wire, Member__Kind kind,
                      const struct member_row *from);

/** Add ROW, with the fixed fields if FULL is true.
 * @return false if the datagram would exceed LIMIT bytes or
 * MEMBER_ROWS_MAX. */
bool memberwire_add_row (struct memberwire *wire, const struct member_row *row,
                         bool full, size_t limit);

/** Add the notice that the process SEEN_BY saw SERVER leaving or down AGE_NS
 * ago.
 * @return false if the datagram would exceed LIMIT bytes or
 * MEMBER_NOTICES_MAX. */
bool memberwire_add_notice (struct memberwire *wire, const char *server,
                            const char *seen_by, int64_t age_ns, size_t limit);

/** Pack the datagram into BYTES, a buffer of MEMBER_DATAGRAM_MAX bytes.
 * @return its size, or 0 if it is too large. */
size_t memberwire_pack (struct memberwire *wire, uint8_t *bytes);

/** Unpack a datagram of SIZE BYTES. The caller frees the result with
 * member__datagram__free_unpacked.
 * @return NULL if BYTES are not a datagram of this protocol version. */
Member__Datagram *memberwire_unpack (const uint8_t *bytes, size_t size);

/** Copy MESSAGE to ROW.
 * @return false if a field is out of range. */
bool memberwire_unpack_row (const Member__Row *message,
                            struct member_row *row);

#endif
