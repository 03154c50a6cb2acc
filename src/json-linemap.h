#ifndef JSON_LINEMAP_H
#define JSON_LINEMAP_H

#include <stddef.h>

/** @file
 * Line numbers of the keys of a JSON text with comments, for error messages
 * that name a line. The text must already have been accepted by a JSON parser.
 * A path consists of the keys, joined by dots, and the index of an array
 * element in brackets, as in "seeds[1]".
 */

struct json_linemap
{
  void *line_by_path;   /**< GHashTable from a path to its line number. */
  char *duplicate_path; /**< First path that occurs twice, or NULL. */
  int duplicate_line;   /**< Line of the second occurrence of that path. */
  const char *trailing_text; /**< Text that follows the JSON value, or NULL. */
  int trailing_line;         /**< Line where that text starts. */
};

/** Fill MAP with the lines of the keys in TEXT, which ends with a NUL byte. */
void json_linemap_init (struct json_linemap *map, const char *text);
void json_linemap_finish (struct json_linemap *map);

/** Return the line of PATH or, if the text does not have it, the line of the
 * nearest enclosing object that the text has. The result is at least 1. */
int json_linemap_find (const struct json_linemap *map, const char *path);

/** Return the line of the byte at OFFSET in TEXT. */
int json_linemap_line_at (const char *text, size_t offset);

#endif
