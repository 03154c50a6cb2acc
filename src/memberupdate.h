#ifndef MEMBERUPDATE_H
#define MEMBERUPDATE_H

#include "member.h"

/** @file
 * Merges received rows into the table, and queues and sends changed rows to
 * other processes within the byte budget. Private to the modules whose names
 * begin with member.
 */

/** @return the time that a suspect process has to refute the suspicion. */
int64_t memberupdate_suspect_timeout_ns (const struct member *member);

/** @return a random live process, mostly of this process's data centre, or
 * NULL if there is none. */
struct member_entry *memberupdate_pick_peer (struct member *member);

/** Whether the byte budget allows datagrams that can be delayed. */
bool memberupdate_has_budget (struct member *member);

/** Send WIRE and charge it to the byte budget, also if the budget is used
 * up. */
void memberupdate_send (struct member *member, struct memberwire *wire,
                        const char *address);

/** Add notices and queued rows, the latest changes first, to WIRE while its
 * size stays within LIMIT bytes. Rows are only added within the byte
 * budget. */
void memberupdate_add_queued (struct member *member, struct memberwire *wire,
                              size_t limit);

/** Send a probe to ADDRESS.
 * @param target the process to probe, or NULL for whichever process has the
 * address; the row of a target that is not considered alive is sent along */
void memberupdate_send_probe (struct member *member, const char *address,
                              const struct member_entry *target,
                              uint64_t sequence);

/** Send changes in datagrams of their own soon, rather than only with the next
 * probes. */
void memberupdate_send_urgently (struct member *member);

/** Merge a received row. A row that differs only in its revision isn't queued
 * for other processes: each process sends its revision in its own row.
 * @return STATUS_NOT_FOUND if the row lacks fixed fields that are needed,
 * STATUS_STALE if there is nothing to pass on. */
enum status memberupdate_merge (struct member *member,
                                const struct member_row *received);

/** Set the state of ENTRY to STATE, for which this process itself has
 * evidence. */
void memberupdate_set_state (struct member *member, struct member_entry *entry,
                             enum member_state state);

#endif
