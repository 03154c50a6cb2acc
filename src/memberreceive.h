#ifndef MEMBERRECEIVE_H
#define MEMBERRECEIVE_H

#include "member.h"

/** @file
 * Handles the datagrams received from other processes. Private to the modules
 * whose names begin with member.
 */

/** Merge the rows of DATAGRAM, which FROM sent, and reply if DATAGRAM asks
 * for a reply. */
void memberreceive_datagram (struct member *member,
                             const struct member_row *from,
                             const Member__Datagram *datagram);

#endif
