#include "forwardhomes.h"

void
forwardhomes_get (const struct forward *forward, struct homes *homes)
{
  *homes = (struct homes){
    .places = forward->forwarder->places,
    .route = forward->route->homes,
    .organisation
    = forward->organisation != NULL ? forward->organisation->homes : NULL,
  };
}

bool
forwardhomes_allow_host (const struct forward *forward,
                         const char *data_centre)
{
  const struct forwarder *forwarder = forward->forwarder;
  struct homes homes;

  forwardhomes_get (forward, &homes);
  return homes_allow_host (&homes, data_centre,
                           forwarder->region != NULL ? forwarder->region : "");
}
