#ifndef CLIPRINT_H
#define CLIPRINT_H

#include <stdio.h>

/** @file
 * What the command-line tool prints for people, from a gateway's JSON.
 */

struct json_object;

/** Refusals: row, column, reason and remedy, one a line. */
void cliprint_refusals (FILE *out, struct json_object *refusals);

/** Changes like a diff: "+", "~" and "-" lines. */
void cliprint_changes (FILE *out, struct json_object *changes);

/** A whole plan with its counts. */
void cliprint_plan (FILE *out, struct json_object *plan);

/** The revisions of a history. */
void cliprint_history (FILE *out, struct json_object *history);

/** Any object: members as "name: value", arrays of objects as tables. */
void cliprint_object (FILE *out, struct json_object *object);

#endif
