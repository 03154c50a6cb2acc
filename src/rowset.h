#ifndef ROWSET_H
#define ROWSET_H

#include "declaration.h"

#include <glib.h>

/** @file
 * A set of declarations that finds a declaration by its identity.
 */

/** Return an empty set that does not own its declarations. The caller frees
 * the set with g_hash_table_destroy. */
GHashTable *rowset_new (void);

/** Like rowset_new, but the set frees its declarations with g_free. */
GHashTable *rowset_new_owning (void);

/** Return the declaration in ROWS with the same type and key columns as KEY,
 * or NULL. */
const struct declaration *rowset_find (GHashTable *rows,
                                       const struct declaration *key);

#endif
