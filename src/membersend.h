#ifndef MEMBERSEND_H
#define MEMBERSEND_H

#include "member.h"

/** @file
 * What the membership sends: to whom, with which news, within its budget of
 * bytes.
 */

/** How often COUNT can be divided by BASE, plus one. */
unsigned membersend_log (size_t count, size_t base);

/** Whether there are bytes for what can wait. */
bool membersend_allowed (struct member *member);

void membersend_wire (struct member *member, struct memberwire *wire,
                      const char *address);

/** Fill WIRE up to LIMIT bytes with what is to be spread. */
void membersend_news (struct member *member, struct memberwire *wire,
                      size_t limit);

/** Probe ADDRESS; TARGET is NULL if nothing is known of it. */
void membersend_probe (struct member *member, const char *address,
                       const struct member_entry *target, uint64_t sequence);

/** A live peer, mostly of the own data centre; NULL if there is none. */
struct member_entry *membersend_pick (struct member *member);

/** The process has something to say that cannot wait for the next probe. */
void membersend_urgent (struct member *member);

/** Spread what is known of ENTRY. */
void membersend_queue (struct member *member, struct member_entry *entry);

/** Answer the PULL in DATAGRAM. */
void membersend_page (struct member *member, const struct member_row *from,
                      const Member__Datagram *datagram);

#endif
