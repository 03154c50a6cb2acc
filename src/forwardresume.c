#include "forwardresume.h"

#include <string.h>

bool
forwardresume_is_return (const struct forward *forward)
{
  const struct call *call = &forward->call;

  return forward->route->kind == ROUTE_STREAM && call->resumes
         && (call->resumed_id != NULL || call->last_event_id > 0);
}

void
forwardresume_expect (struct forward *forward)
{
  const struct call *call = &forward->call;

  if (forwardresume_is_return (forward) && forward->route->resumable
      && call->last_event_id > 0)
    eventstream_begin_after (&forward->attempt->exchange.events,
                             call->last_event_id);
}

static const struct server *
find_software (const struct forward *forward, const char *service,
               uint64_t software)
{
  const GPtrArray *list
      = servers_of_service (forward->forwarder->servers, service);

  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const struct server *server = list->pdata[i];

      if (server->software_hash == software)
        return server;
    }
  return NULL;
}

/* Send the request only to the service of its route that has SOFTWARE. If none
 * has it now, no server is found later. */
static void
require_software (struct forward *forward, uint64_t software)
{
  const GArray *shares = forward->route->shares;

  forward->software_hash = software;
  for (guint i = 0; i < shares->len; i++)
    {
      const struct route_share *share
          = &g_array_index (shares, struct route_share, i);
      const struct server *server
          = find_software (forward, share->service, software);

      if (server == NULL || share->weight == 0)
        continue;
      forward->service = share->service;
      g_strlcpy (forward->began_software, server->entry.software,
                 sizeof forward->began_software);
      return;
    }
}

/* Log how the software that began the stream was found.
 * @param query NULL if no other host was asked */
static void
log_origin (struct forward *forward, const char *known_by,
            const struct streamorigin_query *query)
{
  const char *id = forward->call.resumed_id;
  char *began_id = log_escape_spaces (id != NULL ? id : "-");
  int64_t now = clock_now (forward->forwarder->clock);

  log_event (
      forward->forwarder->log, EVENT_FORWARD_ORIGIN,
      "id=%s began_id=%s known_by=%s software=%s asked=%u replied=%u "
      "waited_ms=%.1f",
      forward->call.request_id, began_id, known_by,
      forward->began_software[0] != '\0' ? forward->began_software : "-",
      query != NULL ? query->asked_count : 0,
      query != NULL ? query->replied_count : 0,
      query != NULL ? (double)(now - query->start_ns) / NS_PER_MS : 0.0);
  g_free (began_id);
}

static void
query_done (struct streamorigin_query *query, uint64_t software)
{
  struct forward *forward = LIST_ENTRY (query, struct forward, origin_query);

  if (software != 0)
    require_software (forward, software);
  log_origin (forward,
              query->recorded ? "other_record"
              : software != 0 ? "only_software"
                              : "none",
              query);
  forward->origin_found (forward, software != 0);
}

bool
forwardresume_start (struct forward *forward,
                     void (*found) (struct forward *forward, bool known))
{
  struct streamorigin *origin = forward->forwarder->origin;
  uint64_t stream = streamorigin_stream_hash (forward->call.resumed_id);
  uint64_t service = servers_service_hash (forward->service);
  uint64_t software = streamorigin_find (origin, stream);

  if (software == 0 && stream == 0)
    software = origin->ops->only_software (origin->data, service);
  if (software != 0)
    {
      require_software (forward, software);
      log_origin (forward, stream != 0 ? "own_record" : "only_software", NULL);
      return true;
    }
  forward->origin_found = found;
  streamorigin_query (origin, &forward->origin_query, stream, service,
                      query_done);
  return false;
}

void
forwardresume_record (struct forward *forward)
{
  const struct server *server = forward->attempt->exchange.server;

  forward->software_hash = forward->attempt->software_hash;
  if (forwardresume_is_return (forward))
    return;
  g_strlcpy (forward->began_software, server->entry.software,
             sizeof forward->began_software);
  if (forward->route->resumable)
    streamorigin_record (forward->forwarder->origin,
                         streamorigin_stream_hash (forward->call.request_id),
                         forward->software_hash);
}
