#ifndef HTTPFIELDS_H
#define HTTPFIELDS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/** @file
 * The header fields of one HTTP message, in the order in which they were
 * received and with their original spelling.
 */

struct httpfield
{
  size_t name;  /**< Offset of the name in the text of all fields. */
  size_t value; /**< Offset of the value in the text of all fields. */
};

struct httpfields
{
  GString *text;  /**< All names and values, each NUL-terminated. */
  GArray *fields; /**< Array of struct httpfield. */
  /** Whether the last bytes appended belong to a value. */
  bool last_was_value;
};

void httpfields_init (struct httpfields *head);
void httpfields_finish (struct httpfields *head);

/** Remove all fields; the memory stays allocated. */
void httpfields_clear (struct httpfields *head);

/** Append bytes to the current field name. The first call, and each call that
 * follows one of httpfields_append_value, starts a new field. */
void httpfields_append_name (struct httpfields *head, const char *bytes,
                             size_t size);
/** Append bytes to the value of the last field. */
void httpfields_append_value (struct httpfields *head, const char *bytes,
                              size_t size);

size_t httpfields_count (const struct httpfields *head);
const char *httpfields_name (const struct httpfields *head, size_t index);
const char *httpfields_value (const struct httpfields *head, size_t index);

/** The value of the first field called NAME, or NULL. The name is matched
 * case-insensitively. */
const char *httpfields_find (const struct httpfields *head, const char *name);

/** Number of fields called NAME, matched case-insensitively. */
size_t httpfields_count_of_name (const struct httpfields *head,
                                 const char *name);

/** Whether the message has no transfer coding but chunks, which are the only
 * one that is removed: the field Transfer-Encoding is missing, or there is one
 * and its value is "chunked". */
bool httpfields_coding_is_known (const struct httpfields *head);

/** Whether the field NAME applies to a single connection and must not be
 * forwarded. */
bool httpfields_is_hop_by_hop (const char *name);

#endif
