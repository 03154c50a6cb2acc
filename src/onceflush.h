#ifndef ONCEFLUSH_H
#define ONCEFLUSH_H

#include "oncepart.h"

/** @file
 * What the at-most-once records do with the KV service: partitions are
 * loaded before they are used, and the changes of all of them share one write
 * at a time. Private to the modules whose names begin with once.
 */

/** Whether the part's records are here, whole and ours now. */
bool onceflush_usable (const struct once *once, const struct oncepart *part);

/** Load PART, of which the fencing number is set. */
void onceflush_load (struct once *once, struct oncepart *part);
/** Forget PART; those who wait are refused. */
void onceflush_leave (struct once *once, struct oncepart *part);

void onceflush_tick (struct once *once);
int64_t onceflush_next (const struct once *once);
/** For kvcommit_init, with the struct once as data. */
void onceflush_done (void *data, enum status status, uint64_t revision);

/** By once.c: RECORD is durable as it is. */
void once_record_durable (struct once *once, struct oncerec *record);
/** By once.c: RECORD goes while somebody waits for its grant. */
void once_record_refuse (struct once *once, struct oncerec *record);

#endif
