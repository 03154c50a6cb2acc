#ifndef ENTRYVIEWS_H
#define ENTRYVIEWS_H

#include "kvview.h"

/** @file
 * The views of an entry process on the KV service, and how it handles changes
 * of the keys: the operator's configuration and wanted weight versions; the
 * backend servers; and the keys that the hosts write, which are the records
 * of hosts, of crashes and of the rollout's leader. The data pointer of each
 * view is the struct entry.
 */

/** Prefix of all keys that hosts write. */
#define ENTRY_KEY_PREFIX "trefoilspar/"
#define ENTRY_HOST_PREFIX ENTRY_KEY_PREFIX "host/"
#define ENTRY_CRASH_PREFIX ENTRY_KEY_PREFIX "loss/"
#define ENTRY_BLAME_PREFIX ENTRY_KEY_PREFIX "blame/"
#define ENTRY_LEADER_KEY ENTRY_KEY_PREFIX "duty/weights"

struct entry;
struct error;

/** Return the settings of the views of a process whose pauses are
 * PAUSEWATCH. */
struct kvview_settings
entryviews_settings (const struct pausewatch *pausewatch,
                     const int64_t *service_outage_end_ns);

/** Log that the value of KEY can't be used, for the reason ERROR. */
void entryviews_log_ignored_key (struct entry *entry, const char *key,
                                 uint64_t revision, const struct error *error);

extern const struct kvview_ops entryviews_operator_ops;
extern const struct kvview_ops entryviews_servers_ops;
extern const struct kvview_ops entryviews_hosts_ops;

/** Has the operator's keys read anew after a pause of this process, and no
 * longer believes figures that may have lain unread meanwhile. */
void entryviews_note_pause (struct entry *entry,
                            const struct pausewatch_pause *pause);

#endif
