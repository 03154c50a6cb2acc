#ifndef REJECTION_H
#define REJECTION_H

#include <glib.h>
#include <stdint.h>

/** @file
 * The reason why a sheet or one of its rows is refused, and how to correct it.
 */

enum
{
  /** Maximum size of a reason or remedy in bytes, with the final NUL. */
  REJECTION_TEXT_MAX = 256
};

struct json_object;

struct rejection
{
  uint32_t row; /**< Line number in the sheet, from 1; 0: the whole sheet. */
  const char *column; /**< Static text; empty: the whole row. */
  char reason[REJECTION_TEXT_MAX];
  char remedy[REJECTION_TEXT_MAX];
};

/** Return an empty array of struct rejection. The caller frees it with
 * g_array_unref. */
GArray *rejections_new (void);

/** Append a refusal. The formatted text is "REASON; REMEDY". */
void rejections_add (GArray *refusals, uint32_t line, const char *column,
                     const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/** Sort REFUSALS by line number, then by reason. */
void rejections_sort (GArray *refusals);

/** Return an array of {"row","column","reason","remedy"}. The caller frees
 * it. */
struct json_object *rejections_json (const GArray *refusals);

#endif
