#include "forwardrefusals.h"

static bool
is_known (const struct call_refusals *refusals, uint32_t id_hash)
{
  for (unsigned i = 0; i < refusals->count; i++)
    if (refusals->servers[i] == id_hash)
      return true;
  return false;
}

static void
refusal_add (struct forward *forward, uint32_t id_hash)
{
  struct call_refusals *refusals = &forward->refusals;

  if (refusals->count < CALL_REFUSALS_MAX && !is_known (refusals, id_hash))
    refusals->servers[refusals->count++] = id_hash;
}

void
forwardrefusals_record (struct forward_attempt *attempt)
{
  refusal_add (attempt->forward, attempt->exchange.server->id_hash);
}

/* Exclude SERVER from the choices, unless it is already. */
static void
server_exclude (struct forward *forward, const struct server *server)
{
  for (unsigned i = 0; i < forward->tried_count; i++)
    if (forward->tried[i] == server)
      return;
  if (forward->tried_count < CHOOSE_EXCLUDED_MAX)
    forward->tried[forward->tried_count++] = server;
}

void
forwardrefusals_add (struct forward *forward,
                     const struct call_refusals *refusals)
{
  for (unsigned i = 0; i < refusals->count; i++)
    {
      const struct server *server = servers_find_hash (
          forward->forwarder->servers, refusals->servers[i]);

      refusal_add (forward, refusals->servers[i]);
      if (server != NULL)
        server_exclude (forward, server);
    }
}

bool
forwardrefusals_are_full (const struct forward *forward)
{
  return !route_allows_retry (forward->route)
         && (forward->refusals.count == CALL_REFUSALS_MAX
             || forward->tried_count == CHOOSE_EXCLUDED_MAX);
}
