#ifndef HTTPHEAD_H
#define HTTPHEAD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/** @file
 * The header fields of one HTTP message, in the order in which they were
 * received and with their original spelling.
 */

struct httphead_field
{
  size_t name;  /**< Offset of the name in the text of all fields. */
  size_t value; /**< Offset of the value in the text of all fields. */
};

struct httphead
{
  GString *text;  /**< All names and values, each NUL-terminated. */
  GArray *fields; /**< Array of struct httphead_field. */
  /** Whether the last bytes appended belong to a value. */
  bool last_was_value;
};

void httphead_init (struct httphead *head);
void httphead_finish (struct httphead *head);

/** Remove all fields; the memory stays allocated. */
void httphead_clear (struct httphead *head);

/** Append bytes to the current field name. The first call, and each call that
 * follows one of httphead_value_append, starts a new field. */
void httphead_name_append (struct httphead *head, const char *bytes,
                           size_t size);
/** Append bytes to the value of the last field. */
void httphead_value_append (struct httphead *head, const char *bytes,
                            size_t size);

size_t httphead_field_count (const struct httphead *head);
const char *httphead_name (const struct httphead *head, size_t index);
const char *httphead_value (const struct httphead *head, size_t index);

/** The value of the first field called NAME, or NULL. The name is matched
 * case-insensitively. */
const char *httphead_find (const struct httphead *head, const char *name);

/** Number of fields called NAME, matched case-insensitively. */
size_t httphead_count_of_name (const struct httphead *head, const char *name);

/** Whether the field NAME applies to a single connection and must not be
 * forwarded. */
bool httphead_is_hop_by_hop (const char *name);

#endif
