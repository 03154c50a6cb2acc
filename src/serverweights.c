/* What this host knows of the weights of servers; see servers.h. */
#include "servers.h"

#include <string.h>

uint64_t
server_weight_version (const struct server *server, const char *model)
{
  for (unsigned i = 0; i < server->entry.model_count; i++)
    if (strcmp (server->entry.models[i].name, model) == 0)
      return server->entry.models[i].weight_version;
  return 0;
}

void
server_set_weight_version (struct servers *servers, struct server *server,
                           const char *model, uint64_t version)
{
  for (unsigned i = 0; i < server->entry.model_count; i++)
    {
      struct server_model *current = &server->entry.models[i];

      if (strcmp (current->name, model) != 0
          || current->weight_version >= version)
        continue;
      current->weight_version = version;
      servers->weights_generation++;
      server_cache_clear (server);
    }
}

void
server_correct_weight_version (struct server *server, const char *model,
                               uint64_t believed, uint64_t version)
{
  if (version >= believed || server_weight_version (server, model) != believed)
    return;
  for (unsigned i = 0; i < server->entry.model_count; i++)
    if (strcmp (server->entry.models[i].name, model) == 0)
      server->entry.models[i].weight_version = version;
  server_cache_clear (server);
}
