#ifndef ENTRYPLACES_H
#define ENTRYPLACES_H

#include <glib.h>

/** @file
 * What the regions of data centres mean for an entry process: where requests
 * are served, and which hosts the directory lists.
 */

struct entry;

/** Take over the regions of the settings. */
void entryplaces_apply (struct entry *entry);

/** Append the addresses for the caller whose query to the directory has
 * TARGET. If all routes of the name in the query have homes, these are hosts
 * in such a home or in the caller's region, if there are any. */
void entryplaces_list_addresses (const struct entry *entry, const char *target,
                                 GPtrArray *addresses);

#endif
