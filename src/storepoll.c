#include "storepoll.h"

#include <glib.h>
#include <string.h>

bool
storepoll_serves_subsets (const struct subsets *subsets)
{
  return subsets->count > STOREPOLL_SUBSETS_MAX;
}

bool
storepoll_is_poller (const struct subsets *subsets,
                     const struct presence *presence, const char *store)
{
  return storepoll_serves_subsets (subsets)
             ? presence_rank (presence, store, strlen (store))
                   < STOREPOLL_POLLERS
             : subsets_is_responsible (subsets, store);
}

bool
storepoll_sends_to (const struct subsets *subsets, const char *store,
                    unsigned index, bool *relays)
{
  unsigned first;
  unsigned size;

  *relays = false;
  if (subsets_host_is_local (subsets, index))
    return true;
  if (!storepoll_serves_subsets (subsets))
    return false;
  /* Pollers choose different relays, so that one that is down costs a subset
   * nothing. */
  subsets_of_host (subsets, index, &first, &size);
  *relays = index - first == (g_str_hash (store) + subsets->own_hash) % size;
  return *relays;
}
