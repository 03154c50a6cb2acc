#ifndef MEMBERNOTICE_H
#define MEMBERNOTICE_H

#include "member.h"

/** @file
 * Notices that a backend server is leaving or down. The processes pass each
 * notice on and remove it after member_settings.notice_lifetime_ns. Private
 * to the modules whose names begin with member. */

void membernotice_init (struct member *member);
void membernotice_finish (struct member *member);

/** Add the notice that the process SEEN_BY saw SERVER leaving or down at
 * SEEN_NS.
 * @return false if there is a notice about SERVER already, a name is too
 * long, or MEMBER_NOTICES_HELD_MAX is reached. */
bool membernotice_add (struct member *member, const char *server,
                       const char *seen_by, int64_t seen_ns);

/** Add notices to WIRE while its size stays within LIMIT bytes. */
void membernotice_write (struct member *member, struct memberwire *wire,
                         size_t limit);

/** Add the notices of DATAGRAM and call member_ops.notice_received for the new
 * ones. */
void membernotice_receive (struct member *member,
                           const Member__Datagram *datagram);

/** Remove the notices whose lifetime is over. */
void membernotice_expire (struct member *member, int64_t now_ns);

#endif
