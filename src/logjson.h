#ifndef LOGJSON_H
#define LOGJSON_H

#include "event.h"

#include <glib.h>

/** @file
 * Formats a log line as one JSON object from an event and its "key=value"
 * pairs.
 */

/** Append the JSON object and a line feed to OUT.
 * @param process name of the process that logs
 * @param seconds Unix time
 * @param text "key=value" pairs separated by spaces */
void logjson_format (GString *out, const struct event_info *info,
                     const char *process, double seconds, const char *text);

/** Return the start of the value of KEY in the "key=value" pairs of TEXT, or
 * NULL if there is none.
 * @param size receives the length of the value */
const char *logjson_find_value (const char *text, const char *key,
                                size_t *size);

#endif
