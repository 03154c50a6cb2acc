#ifndef MEMBERSIGN_H
#define MEMBERSIGN_H

#include "member.h"

/** @file
 * Signs that a backend server is leaving or out, inside the membership: each
 * is spread once and lives for member_settings.sign_life_ns.
 */

void membersign_init (struct member *member);
void membersign_finish (struct member *member);

/** Hold the sign that SEEN_BY saw at SINCE_NS.
 * @return false if it is known, or there is no room. */
bool membersign_note (struct member *member, const char *server,
                      const char *seen_by, int64_t since_ns);

/** Put signs into WIRE up to LIMIT bytes. */
void membersign_fill (struct member *member, struct memberwire *wire,
                      size_t limit);

/** Take in the signs of DATAGRAM and report the new ones. */
void membersign_take (struct member *member, const Member__Datagram *datagram);

void membersign_expire (struct member *member, int64_t now_ns);

#endif
