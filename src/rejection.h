#ifndef REJECTION_H
#define REJECTION_H

#include <glib.h>
#include <stdint.h>

/** @file
 * Why a row of a sheet is not put in force, and how to mend it.
 */

enum
{
  REJECTION_TEXT_MAX = 256 /**< bytes, with the final NUL */
};

struct json_object;

struct rejection
{
  uint32_t row;       /**< line of the sheet, from 1; 0: the whole sheet */
  const char *column; /**< static text; empty: the whole row */
  char reason[REJECTION_TEXT_MAX];
  char remedy[REJECTION_TEXT_MAX];
};

/** An empty list; the caller frees it with g_array_unref. */
GArray *rejections_new (void);

/** Append a refusal whose formatted text is "REASON; REMEDY". */
void rejections_add (GArray *refusals, uint32_t row, const char *column,
                     const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/** Order REFUSALS by row. */
void rejections_sort (GArray *refusals);

/** An array of {"row","column","reason","remedy"}. */
struct json_object *rejections_json (const GArray *refusals);

#endif
