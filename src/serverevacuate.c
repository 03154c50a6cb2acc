#include "serverevacuate.h"
#include "evacuation.h"

#include <string.h>

unsigned
servers_apply_evacuation (struct servers *servers, const char *data_centre)
{
  bool evacuated = evacuation_is_evacuated (servers->evacuation, data_centre);
  unsigned count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct server *server = value;

      if (strcmp (server->entry.data_centre, data_centre) != 0)
        continue;
      server->evacuated = evacuated;
      count++;
    }
  servers->generation++;
  return count;
}

bool
servers_hold_sends (const struct servers *servers)
{
  return evacuation_holds_sends (servers->evacuation,
                                 clock_boottime (servers->clock));
}

bool
servers_withhold (const struct servers *servers, const struct server *server)
{
  return server->evacuated || servers_hold_sends (servers);
}
