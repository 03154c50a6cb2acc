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
  size_t name;  /**< offset in httphead.text */
  size_t value; /**< offset in httphead.text */
};

struct httphead
{
  GString *text;       /**< NUL-terminated names and values */
  GArray *fields;      /**< of struct httphead_field */
  bool last_was_value; /**< The last bytes appended belong to a value. */
};

void httphead_init (struct httphead *head);
void httphead_finish (struct httphead *head);

/** Remove all fields; the memory stays allocated. */
void httphead_clear (struct httphead *head);

/** Append bytes to the current field name. The first call, and the first call
 * after httphead_value_append, start a new field. */
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

/** How many fields are called NAME, matched case-insensitively. */
size_t httphead_count_of_name (const struct httphead *head, const char *name);

/** Whether the field NAME applies to a single connection and must not be
 * forwarded. */
bool httphead_is_hop_by_hop (const char *name);

#endif
