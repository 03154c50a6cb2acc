#ifndef MEMBERNEWS_H
#define MEMBERNEWS_H

#include "member.h"

/** @file
 * What a process hears of others and passes on. Private to the modules whose
 * names begin with member.
 */

/** How long a suspect process has to refute. */
int64_t membernews_suspect_span (const struct member *member);

/** Another live process, mostly of the own data centre, or NULL. */
struct member_entry *membernews_pick (struct member *member);

/** Whether there are bytes for what can wait. */
bool membernews_may_send (struct member *member);

void membernews_send (struct member *member, struct memberwire *wire,
                      const char *address);

/** Fill WIRE up to LIMIT bytes with what is to be spread, the newest first. */
void membernews_fill (struct member *member, struct memberwire *wire,
                      size_t limit);

/** Probe ADDRESS; TARGET, if not NULL, hears what it is held for. */
void membernews_probe (struct member *member, const char *address,
                       const struct member_entry *target, uint64_t sequence);

/** Spread soon, not only with the next probes. */
void membernews_urgent (struct member *member);

/** Take in a row that was heard. A revision alone is no news: it rides on its
 * owner's own row.
 * @return STATUS_NOT_FOUND if the fixed fields are needed, STATUS_STALE if it
 * says nothing new. */
enum status membernews_take (struct member *member,
                             const struct member_row *heard);

/** This process itself holds ENTRY for STATE now. */
void membernews_set_state (struct member *member, struct member_entry *entry,
                           enum member_state state);

#endif
