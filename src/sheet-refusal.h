#ifndef SHEET_REFUSAL_H
#define SHEET_REFUSAL_H

#include <glib.h>
#include <stdint.h>

/** @file
 * The reason why a sheet or one of its rows is refused, and how to correct it.
 */

enum
{
  /** Maximum size of a reason or remedy in bytes, with the final NUL. */
  SHEET_REFUSAL_TEXT_MAX = 256
};

struct json_object;

struct sheet_refusal
{
  uint32_t line; /**< Line number in the sheet, from 1; 0 if the whole sheet is
                    refused. */
  const char *column; /**< Name of the refused column, a static text; empty for
                         the whole row. */
  char reason[SHEET_REFUSAL_TEXT_MAX];
  char remedy[SHEET_REFUSAL_TEXT_MAX];
};

/** Return an empty array of struct sheet_refusal. The caller frees it with
 * g_array_unref. */
GArray *sheet_refusals_new (void);

/** Append a refusal. The formatted text is "REASON; REMEDY". */
void sheet_refusals_add (GArray *refusals, uint32_t line, const char *column,
                         const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/** Sort REFUSALS by line number, then by reason. */
void sheet_refusals_sort (GArray *refusals);

/** Return an array of {"row","column","reason","remedy"}. The caller frees
 * it. */
struct json_object *sheet_refusals_json (const GArray *refusals);

#endif
