#ifndef CONSISTENCY_H
#define CONSISTENCY_H

#include "rowset.h"

/** @file
 * The rules that hold among declared objects: references lead somewhere, and
 * nothing mixes organisations or models.
 */

struct violation
{
  const struct declaration *row;
  enum column column;
  char target[DECLARATION_ID_MAX]; /**< the other object's identity */
  const struct declaration *other; /**< NULL: there is no such object */
  struct error error;              /**< why, and how to mend it */
};

typedef void (*consistency_report) (void *data,
                                    const struct violation *violation);

/** Report each violation among ROWS.
 * @return the number of violations. */
size_t consistency_check (GHashTable *rows, consistency_report report,
                          void *data);

#endif
