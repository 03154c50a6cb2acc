#ifndef ROWSET_H
#define ROWSET_H

#include "declaration.h"

#include <glib.h>

/** @file
 * A set of declarations, found by identity.
 */

/** An empty set that owns no row; the caller frees it with
 * g_hash_table_destroy. */
GHashTable *rowset_new (void);

/** The same, but its rows are freed with g_free. */
GHashTable *rowset_new_owning (void);

/** The object of ROWS with this type and these key columns, or NULL. */
const struct declaration *rowset_find (GHashTable *rows,
                                       const struct declaration *key);

#endif
