#ifndef CLIPRINT_H
#define CLIPRINT_H

#include <stdio.h>

/** @file
 * Prints the JSON of a gateway's response as text for operators.
 */

struct json_object;

/** Print the row, column, reason and remedy of each refusal. */
void cliprint_refusals (FILE *out, struct json_object *refusals);

/** Print changes like a diff: "+" for an added object, "~" for a changed one
 * and "-" for a removed one. */
void cliprint_changes (FILE *out, struct json_object *changes);

/** Print the changes, refusals and counts of a plan. */
void cliprint_plan (FILE *out, struct json_object *plan);

/** Print one line for each revision of a history. */
void cliprint_history (FILE *out, struct json_object *history);

/** Print the members of any object as "name: value", and arrays of objects as
 * tables. */
void cliprint_object (FILE *out, struct json_object *object);

#endif
