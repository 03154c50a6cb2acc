#ifndef ENTRYKV_H
#define ENTRYKV_H

/** @file
 * How an entry process uses the KV service: its budget of calls and its views.
 */

struct entry;

void entrykv_init (struct entry *entry);

/** Restart the views once an outage of the KV service has ended. */
void entrykv_check (struct entry *entry);

#endif
