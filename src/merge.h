#ifndef MERGE_H
#define MERGE_H

#include "sheet.h"

/** @file
 * The three-way merge of a sheet into a configuration: what would be put in
 * force and what is refused.
 *
 * A row that the sheet did not change against its base does nothing; a row
 * that is missing does nothing; a row that was changed both in the sheet and
 * in the configuration since the base is refused; rows that depend on a
 * refused one are refused with it; the rest is put in force.
 */

enum merge_action
{
  MERGE_ADD,
  MERGE_CHANGE,
  MERGE_REMOVE
};

struct merge_entry
{
  uint32_t number; /**< line of the sheet */
  enum merge_action action;
  struct declaration before; /**< MERGE_CHANGE, MERGE_REMOVE */
  struct declaration after;  /**< MERGE_ADD, MERGE_CHANGE */
};

struct merge
{
  uint64_t base;         /**< the sheet's base revision */
  uint64_t against;      /**< the configuration's revision */
  uint64_t already;      /**< The same sheet made this revision; 0: none. */
  size_t unchanged;      /**< rows that do nothing */
  GArray *entries;       /**< of struct merge_entry, in the sheet's order */
  GArray *refusals;      /**< of struct rejection */
  struct config *result; /**< the next configuration, or NULL: no change */
};

/** Merge SHEET into CONFIG. */
void merge_init (struct merge *merge, const struct sheet *sheet,
                 const struct config *config);
void merge_finish (struct merge *merge);

/** The array "changes" of merge_json; the caller frees it. */
struct json_object *merge_changes_json (const struct merge *merge);

/** {"base","against","already","unchanged","changes":[{"row","action",
 * "object","columns":[{"column","from","to"}]}],"refusals":[...]}; the caller
 * frees it. */
struct json_object *merge_json (const struct merge *merge);

#endif
