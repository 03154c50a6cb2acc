#ifndef ONCEFLUSH_H
#define ONCEFLUSH_H

#include "oncepartition.h"

/** @file
 * Loads the partitions of the at-most-once records from the KV service and
 * writes their changes. The changes of all partitions share one
 * transaction, and at most one transaction is in flight. Private to the
 * modules whose names begin with once. */

/** Whether all records of PARTITION are loaded and this process owns it under
 * the fencing token with which they were loaded. */
bool onceflush_partition_is_usable (const struct once *once,
                                    const struct oncepartition *partition);

/** Start loading PARTITION, whose fencing token must be set. */
void onceflush_load (struct once *once, struct oncepartition *partition);
/** Drop the records of PARTITION and refuse the requests that wait for a
 * grant. */
void onceflush_unload (struct once *once, struct oncepartition *partition);

void onceflush_tick (struct once *once);
int64_t onceflush_next_tick_ns (const struct once *once);
/** Handle the outcome of a write. This is the callback for kvcommit_init;
 * DATA is the struct once. */
void onceflush_commit_done (void *data, enum status status, uint64_t revision);

/** Send the replies that wait for RECORD, whose present state is now
 * durable. Defined in once.c. */
void once_record_durable (struct once *once, struct oncerecord *record);
/** Refuse the request that waits for the grant of RECORD, as RECORD is
 * being dropped. Defined in once.c. */
void once_record_refuse (struct once *once, struct oncerecord *record);

#endif
