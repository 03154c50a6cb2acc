#include "serverreach.h"

/* Count the servers of SERVICE, unless nothing has changed since the last
 * time: each request asks for this, and a service may have thousands. */
static void
servers_count (const struct servers *servers, const char *service,
               struct reach *reach)
{
  const GPtrArray *list = servers_of_service (servers, service);

  if (reach->counted_generation == servers->generation + 1)
    return;
  reach->counted_generation = servers->generation + 1;
  reach->registered = 0;
  reach->reachable = 0;
  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const struct server *server = list->pdata[i];

      if (server->evacuated)
        continue;
      reach->registered += !server_is_leaving (server);
      if (!server_is_reachable (server))
        continue;
      if (reach->reachable < REACH_SERVERS_MIN)
        reach->few[reach->reachable] = server->id_hash;
      reach->reachable++;
    }
}

enum serverreach
servers_service_reach (const struct servers *servers, const char *service)
{
  struct reach *reach = servers_reach (servers, service);

  servers_count (servers, service, reach);
  if (reach->registered == 0)
    return SERVERREACH_IN;
  if (reach->reachable == 0 || reach_is_lost (reach, reach->reachable))
    return SERVERREACH_LOST;
  return reach_is_doubted (reach, reach->reachable) ? SERVERREACH_DOUBTED
                                                    : SERVERREACH_IN;
}

bool
servers_service_is_out (const struct servers *servers, const char *service)
{
  return servers_service_reach (servers, service) != SERVERREACH_IN;
}

unsigned
servers_list_out (const struct servers *servers, uint64_t *hashes,
                  unsigned max)
{
  unsigned count = 0;
  GHashTableIter iter;
  gpointer service;

  g_hash_table_iter_init (&iter, servers->by_service);
  while (count < max && g_hash_table_iter_next (&iter, &service, NULL))
    if (servers_service_is_out (servers, service))
      hashes[count++] = servers_service_hash (service);
  return count;
}
