#ifndef MERGE_H
#define MERGE_H

#include "sheet.h"

/** @file
 * The three-way merge of a sheet into a configuration: which changes would
 * take effect and which rows are refused.
 *
 * A row that the sheet did not change against its base revision has no effect.
 * A row that is missing from the sheet has no effect either. A row that was
 * changed both in the sheet and, since the base revision, in the configuration
 * is refused. Rows that depend on a refused row are refused with it. All other
 * rows take effect.
 */

enum merge_action
{
  MERGE_ADD,
  MERGE_CHANGE,
  MERGE_REMOVE
};

/** A row of the sheet that changes the configuration. */
struct merge_change
{
  uint32_t line; /**< Line number in the sheet, from 1. */
  enum merge_action action;
  struct declaration before; /**< Set for MERGE_CHANGE and MERGE_REMOVE. */
  struct declaration after;  /**< Set for MERGE_ADD and MERGE_CHANGE. */
};

struct merge
{
  uint64_t base_revision;    /**< Revision that the sheet was exported from. */
  uint64_t config_revision;  /**< Revision of the configuration that the sheet
                                is merged into. */
  uint64_t applied_revision; /**< Revision that an earlier apply of this sheet
                                made, or 0. */
  /** Number of rows of the sheet that have no effect. */
  size_t unchanged_count;
  GArray *changes;  /**< Array of struct merge_change, ordered by line. */
  GArray *refusals; /**< Array of struct sheet_refusal. */
  /** Configuration after the merge; NULL if nothing changes. */
  struct config *result;
};

/** Merge SHEET into CONFIG. */
void merge_init (struct merge *merge, const struct sheet *sheet,
                 const struct config *config);
void merge_finish (struct merge *merge);

/** Return the array "changes" of merge_json. The caller frees it. */
struct json_object *merge_changes_json (const struct merge *merge);

/** Return {"base","against","already","unchanged","changes":[{"row","action",
 * "object","columns":[{"column","from","to"}]}],"refusals":[...]}. The caller
 * frees it. */
struct json_object *merge_json (const struct merge *merge);

#endif
