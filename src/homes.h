#ifndef HOMES_H
#define HOMES_H

#include <stdbool.h>

/** @file
 * The regions in which requests may be served: the homes of routes and
 * organisations, and the map from data centres to regions. Does no I/O.
 *
 * Lists of homes are arrays of names that end with NULL; NULL or an empty list
 * allows any region. Without a map homes have no effect. With one, a data
 * centre that it lacks is in no home.
 */

enum
{
  PLACES_MAX = 64, /**< Maximum number of data centres in the map. */
  /** Maximum size of the name of a region or data centre in bytes, including
   * the final NUL. */
  PLACES_NAME_MAX = 64
};

struct places_entry
{
  char data_centre[PLACES_NAME_MAX];
  char region[PLACES_NAME_MAX];
};

/** Maps data centres to regions. */
struct places
{
  struct places_entry items[PLACES_MAX];
  unsigned count;
};

/** The homes of one request; all members may be NULL. */
struct homes
{
  const struct places *places;
  char *const *route;
  char *const *organisation; /**< Both lists apply. */
};

/** Return the region of DATA_CENTRE; "" if it is unknown.
 * @param places may be NULL */
const char *places_region (const struct places *places,
                           const char *data_centre);

/** Whether LIST allows REGION. */
bool homes_allow (char *const *list, const char *region);

/** Whether a request with HOMES, which may be NULL, may be served in
 * DATA_CENTRE. */
bool homes_allow_data_centre (const struct homes *homes,
                              const char *data_centre);

/** The same for a host there that the request is passed on to, for a caller in
 * CALLER_REGION, which is allowed as well; "" if that is unknown. */
bool homes_allow_host (const struct homes *homes, const char *data_centre,
                       const char *caller_region);

#endif
