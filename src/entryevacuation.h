#ifndef ENTRYEVACUATION_H
#define ENTRYEVACUATION_H

#include <stdint.h>

/** @file
 * Connects the evacuations of data centres with an entry process: the
 * operator's keys on one side, the backend servers and stores on the other.
 */

struct entry;

void entryevacuation_init (struct entry *entry);
void entryevacuation_finish (struct entry *entry);

/** Call before anything else in a tick that sends requests. */
void entryevacuation_tick (struct entry *entry);

/** KEY, which evacuates a data centre, was written at REVISION. */
void entryevacuation_put (struct entry *entry, const char *key,
                          uint64_t revision);
/** KEY, which evacuates a data centre, is missing. */
void entryevacuation_removed (struct entry *entry, const char *key);

#endif
