#ifndef PLAN_H
#define PLAN_H

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

enum plan_action
{
  PLAN_ADD,
  PLAN_CHANGE,
  PLAN_REMOVE
};

struct plan_entry
{
  uint32_t number; /**< line of the sheet */
  enum plan_action action;
  struct declaration before; /**< PLAN_CHANGE, PLAN_REMOVE */
  struct declaration after;  /**< PLAN_ADD, PLAN_CHANGE */
};

struct plan
{
  uint64_t base;         /**< the sheet's base revision */
  uint64_t against;      /**< the configuration's revision */
  uint64_t already;      /**< The same sheet made this revision; 0: none. */
  size_t unchanged;      /**< rows that do nothing */
  GArray *entries;       /**< of struct plan_entry, in the sheet's order */
  GArray *refusals;      /**< of struct refusal */
  struct config *result; /**< the next configuration, or NULL: no change */
};

/** Merge SHEET into CONFIG. */
void plan_init (struct plan *plan, const struct sheet *sheet,
                const struct config *config);
void plan_finish (struct plan *plan);

/** {"base","against","already","unchanged","changes":[{"row","action",
 * "object","columns":[{"column","from","to"}]}],"refusals":[...]}; the caller
 * frees it. */
struct json_object *plan_json (const struct plan *plan);

#endif
