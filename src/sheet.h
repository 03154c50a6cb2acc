#ifndef SHEET_H
#define SHEET_H

#include "config.h"
#include "sheet-refusal.h"

/** @file
 * A sheet holds declarations as CSV, one per row. The header row names the
 * columns. The next row is `base,REVISION`, with the configuration revision
 * that the sheet was exported from. The last row is `end,COUNT`, with the
 * number of rows between the base row and the end row. The column `was` holds
 * the digest of the row as it was exported, and is empty in a new row. The
 * column `action` is empty or `remove`.
 */

enum
{
  SHEET_MAX_BYTES = 16 * 1024 * 1024 /**< Maximum size of a sheet in bytes. */
};

struct sheet_row
{
  uint32_t line; /**< Line number in the sheet, from 1. */
  bool remove;
  uint64_t exported_digest; /**< Digest of the row as exported, or 0 for a new
                               row. */
  struct declaration declaration;
};

struct sheet
{
  char digest[CONFDOC_DIGEST_MAX];
  uint64_t base_revision; /**< Revision that the sheet was exported from. */
  bool usable;  /**< Whether the sheet can be merged; false if it is refused as
                   a whole. */
  GArray *rows; /**< Valid rows (struct sheet_row), ordered by line. */
  /** Refused rows (struct sheet_row) whose object type is valid. */
  GArray *refused_rows;
  GArray *refusals; /**< Array of struct sheet_refusal. */
};

/** Parse SIZE bytes of TEXT into SHEET. The refusals list the invalid rows. */
void sheet_init (struct sheet *sheet, const char *text, size_t size);
void sheet_finish (struct sheet *sheet);

/** Return the text of a sheet with all declarations of CONFIG. The caller
 * frees it with g_free. */
char *sheet_export (const struct config *config);

/** Return the text of a sheet based on CONFIG that drains the backend server
 * NAME or, if DRAIN is false, ends its drain. The caller frees it with g_free.
 * @return NULL if NAME is not a valid name. */
char *sheet_create_drain (const struct config *config, const char *name,
                          bool drain);

#endif
