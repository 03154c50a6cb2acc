#include "serverreach.h"

bool
servers_service_is_out (const struct servers *servers, const char *service)
{
  const GPtrArray *list = servers_of_service (servers, service);
  bool registered = false;

  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const struct server *server = list->pdata[i];

      if (server_is_available (server) && !reach_is_lost (&servers->reach))
        return false;
      registered = registered || !server->entry.leaving;
    }
  return registered;
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
