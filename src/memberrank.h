#ifndef MEMBERRANK_H
#define MEMBERRANK_H

#include "member.h"

/** @file
 * Choices among the processes that the membership knows.
 */

/** Whether the process is among the first COUNT by rendezvous rank for KEY
 * of those in its data centre that live and stay. */
bool member_first (const struct member *member, const char *key,
                   unsigned count);

/** Some live process that has a revision above REVISION in force, or NULL. */
const struct member_row *member_with_revision (const struct member *member,
                                               uint64_t revision);

#endif
