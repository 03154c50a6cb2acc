#ifndef JSON_LINES_H
#define JSON_LINES_H

#include <stddef.h>

/** @file
 * Where each key of a JSON text with comments stands, for messages that name
 * a line. The text must already have been accepted by a JSON parser. Paths
 * join keys by dots and array elements by an index: "seeds[1]".
 */

struct json_lines
{
  void *lines;         /**< hash table: path to line */
  char *duplicate;     /**< the first path that stands twice, or NULL */
  int duplicate_line;  /**< line of its second place */
  const char *trailer; /**< what follows the value, or NULL */
  int trailer_line;
};

/** Scan TEXT, which ends with a NUL byte. */
void json_lines_init (struct json_lines *lines, const char *text);
void json_lines_finish (struct json_lines *lines);

/** The line of PATH, or of the nearest enclosing object that is there; at
 * least 1. */
int json_lines_find (const struct json_lines *lines, const char *path);

/** The line of the byte at OFFSET in TEXT. */
int json_lines_at (const char *text, size_t offset);

#endif
