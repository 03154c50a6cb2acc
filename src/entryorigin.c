#include "entryorigin.h"
#include "entry.h"

enum
{
  /* Minimum life of a stream. It may have begun when the timeout of its route
   * was longer. */
  STREAM_LIFE_MIN_S = 10,
  /* Life of a stream in timeouts of its route: its caller may come back until
   * the timeout, and servers send for a while after they have left the
   * registry. */
  STREAM_LIFE_TIMEOUTS = 2
};

/* Return the longest time that a stream that can be resumed lives. */
static int64_t
stream_life_ns (const struct routes *routes)
{
  int64_t life_ns = STREAM_LIFE_MIN_S * NS_PER_S;

  for (guint i = 0; i < routes->all_routes->len; i++)
    {
      const struct route *route = routes->all_routes->pdata[i];

      if (route->resumable)
        life_ns = MAX (life_ns, STREAM_LIFE_TIMEOUTS * route->timeout_ns);
    }
  return life_ns;
}

/* A valid lease shows that the KV service was reached lately, so that the view
 * of the servers is not old. */
static uint64_t
only_software (void *data, uint64_t service)
{
  const struct entry *entry = data;
  const struct routes *routes = entry->forwarder.routes;

  if (routes == NULL || !entry->servers_view.initial_read_done
      || !presence_lease_is_valid_for (&entry->presence, 0))
    return 0;
  return softwarespan_only (&entry->servers.software, service,
                            stream_life_ns (routes));
}

static bool
sees_only (void *data, uint64_t service, uint64_t software)
{
  const struct entry *entry = data;

  return softwarespan_only (&entry->servers.software, service, 0) == software;
}

static bool
sees_other (void *data, uint64_t service, uint64_t software)
{
  const struct entry *entry = data;

  return entry->servers_view.initial_read_done
         && !sees_only (data, service, software);
}

static void
origin_send (void *data, const struct sockaddr_in *to, const uint8_t *bytes,
             size_t size)
{
  struct entry *entry = data;

  peerudp_send_origin (&entry->peerudp, to, bytes, size);
}

const struct streamorigin_ops entryorigin_ops
    = { origin_send, only_software, sees_only, sees_other };
