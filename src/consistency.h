#ifndef CONSISTENCY_H
#define CONSISTENCY_H

#include "rowset.h"

/** @file
 * The consistency rules among declared objects: each reference leads to a
 * declared object and stays within the organisation and model of its row, a
 * bearer key belongs to one organisation, and the service of a model's engines
 * is not a plain service.
 */

/** A rule that an object violates. */
struct violation
{
  const struct declaration *row; /**< Object that violates the rule. */
  enum column column; /**< Column of that object that violates the rule. */
  char other_id[DECLARATION_ID_MAX]; /**< Identity of the other object
                                        involved. */
  /** Other object involved; NULL if it is not declared. */
  const struct declaration *other;
  struct error error; /**< Reason of the violation and its remedy. */
};

typedef void (*consistency_report) (void *data,
                                    const struct violation *violation);

/** Calls REPORT (may be NULL) for each violation among ROWS.
 * @return the number of violations. */
size_t consistency_check (GHashTable *rows, consistency_report report,
                          void *data);

#endif
