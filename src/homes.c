#include "homes.h"

#include <stddef.h>
#include <string.h>

const char *
places_region (const struct places *places, const char *data_centre)
{
  for (unsigned i = 0; places != NULL && i < places->count; i++)
    if (strcmp (places->items[i].data_centre, data_centre) == 0)
      return places->items[i].region;
  return "";
}

static bool
is_any (char *const *list)
{
  return list == NULL || list[0] == NULL;
}

bool
homes_allow (char *const *list, const char *region)
{
  if (is_any (list))
    return true;
  for (; *list != NULL; list++)
    if (strcmp (*list, region) == 0)
      return true;
  return false;
}

/* Whether HOMES restrict anything. Most requests have no homes, so that no
 * region is looked up for them. */
static bool
is_restricted (const struct homes *homes)
{
  return homes != NULL && homes->places != NULL && homes->places->count > 0
         && !(is_any (homes->route) && is_any (homes->organisation));
}

bool
homes_allow_data_centre (const struct homes *homes, const char *data_centre)
{
  const char *region;

  if (!is_restricted (homes))
    return true;
  region = places_region (homes->places, data_centre);
  return homes_allow (homes->route, region)
         && homes_allow (homes->organisation, region);
}

bool
homes_allow_host (const struct homes *homes, const char *data_centre,
                  const char *caller_region)
{
  return homes_allow_data_centre (homes, data_centre)
         || (caller_region[0] != '\0'
             && strcmp (places_region (homes->places, data_centre),
                        caller_region)
                    == 0);
}
