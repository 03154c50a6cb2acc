#include "serverreach.h"

enum serverreach
servers_service_reach (const struct servers *servers, const char *service)
{
  const GPtrArray *list = servers_of_service (servers, service);
  const struct reach *reach = servers_reach (servers, service);
  unsigned registered = 0;
  unsigned available = 0;

  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const struct server *server = list->pdata[i];

      registered += !server_is_leaving (server);
      available += server_is_reachable (server);
    }
  if (registered == 0)
    return SERVERREACH_IN;
  if (available == 0 || reach_is_lost (reach, available))
    return SERVERREACH_LOST;
  return reach_is_doubted (reach, available) ? SERVERREACH_DOUBTED
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
