#ifndef MEMBERANSWER_H
#define MEMBERANSWER_H

#include "member.h"

/** @file
 * What a process does with the datagrams of others. Private to the modules
 * whose names begin with member.
 */

/** Take in DATAGRAM, which came from FROM, and answer it. */
void memberanswer_take (struct member *member, const struct member_row *from,
                        const Member__Datagram *datagram);

#endif
