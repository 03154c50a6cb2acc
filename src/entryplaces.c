#include "entryplaces.h"
#include "entry.h"

#include <string.h>

/* The routes of one name, and the region of a caller that uses them. */
struct listing
{
  const struct places *places;
  const GPtrArray *routes;
  const char *caller_region;
};

void
entryplaces_apply (struct entry *entry)
{
  const struct settings *settings = entry->settings;
  const struct places *places = &settings->places.regions;

  entry->forwarder.places = places;
  entry->forwarder.region
      = settings->process.region[0] != '\0'
            ? settings->process.region
            : places_region (places, settings->process.data_centre);
}

static bool
host_is_allowed (const void *data, const struct presence_host *host)
{
  const struct listing *listing = data;
  const char *region = places_region (listing->places, host->data_centre);

  if (region[0] != '\0' && strcmp (region, listing->caller_region) == 0)
    return true;
  for (guint i = 0; i < listing->routes->len; i++)
    {
      const struct route *route = listing->routes->pdata[i];

      if (homes_allow (route->homes, region))
        return true;
    }
  return false;
}

/* Whether each of ROUTES, which may be NULL, has homes. */
static bool
all_have_homes (const GPtrArray *routes)
{
  for (guint i = 0; routes != NULL && i < routes->len; i++)
    if (((const struct route *)routes->pdata[i])->homes == NULL)
      return false;
  return routes != NULL && routes->len > 0;
}

void
entryplaces_list_addresses (const struct entry *entry, const char *target,
                            GPtrArray *addresses)
{
  const struct routes *routes = entry->forwarder.routes;
  struct listing listing = { .places = entry->forwarder.places };
  struct directory_query query;

  entry->dialect->directory_query_decode (target, &query);
  if (routes != NULL)
    listing.routes = g_hash_table_lookup (routes->routes_by_host, query.name);
  listing.caller_region
      = query.region[0] != '\0'
            ? query.region
            : places_region (listing.places, query.data_centre);
  if (listing.places == NULL || listing.places->count == 0
      || !all_have_homes (listing.routes))
    presence_list_addresses (&entry->presence, addresses);
  else
    presence_list_allowed (&entry->presence, host_is_allowed, &listing,
                           addresses);
}
