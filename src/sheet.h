#ifndef SHEET_H
#define SHEET_H

#include "config.h"
#include "rejection.h"

/** @file
 * The sheet: declarations as CSV, one a row. A header row names the columns;
 * the next row is `base,REVISION`, the revision that the sheet was exported
 * from; the last one is `end,COUNT`, the number of rows between the two. The
 * column `was` holds the digest of a row as it was exported; a new row leaves
 * it empty. The column `action` is empty or `remove`.
 */

enum
{
  SHEET_SIZE_MAX = 16 * 1024 * 1024 /**< bytes */
};

struct sheet_row
{
  uint32_t number; /**< line of the sheet, from 1 */
  bool remove;
  uint64_t was; /**< digest at the export; 0: a new row */
  struct declaration row;
};

struct sheet
{
  char digest[CONFDOC_DIGEST_MAX];
  uint64_t base;    /**< revision that it was exported from */
  bool whole;       /**< False: refused as a whole. */
  GArray *rows;     /**< of struct sheet_row: those that can be read */
  GArray *unread;   /**< of struct sheet_row: refused, with a known identity */
  GArray *refusals; /**< of struct rejection */
};

/** Read SIZE bytes of TEXT. What cannot be read stands in the refusals. */
void sheet_init (struct sheet *sheet, const char *text, size_t size);
void sheet_finish (struct sheet *sheet);

/** CONFIG as a sheet; the caller frees it with g_free. */
char *sheet_export (const struct config *config);

/** A sheet against CONFIG that drains the backend server NAME, or ends its
 * drain; the caller frees it with g_free. NULL if NAME is not a name. */
char *sheet_drain (const struct config *config, const char *name, bool drain);

#endif
