#include "limitshare.h"
#include "limitshare.pb-c.h"

#include <math.h>
#include <string.h>

enum
{
  INTERVAL_MS = 250,
  SERVERS_MAX = 64, /* Maximum number of servers in one datagram. */
  /* Time for which the end of a limit is told. */
  END_TOLD_MS = 3000,
  /* Age from which a statement is no news. */
  STATEMENT_AGE_MS = 2000
};

struct limit_datagram
{
  Trefoilspar__LimitShare message;
  Trefoilspar__StatedLimit limits[SERVERS_MAX];
  Trefoilspar__StatedLimit *pointers[SERVERS_MAX];
};

void
limitshare_init (struct limitshare *share, struct servers *servers,
                 const struct clock *clock)
{
  memset (share, 0, sizeof *share);
  share->servers = servers;
  share->clock = clock;
}

/* Whether this host has news of the limit of SERVER. */
static bool
is_news (const struct server *server, int64_t now)
{
  const struct serverlimit *limit = &server->limit;

  return limit->heard_ns != 0 && limit->heard_ns == limit->stated_ns
         && now - limit->heard_ns < STATEMENT_AGE_MS * NS_PER_MS
         && (limit->limited
             || (limit->since_ns != 0
                 && now - limit->since_ns < END_TOLD_MS * NS_PER_MS));
}

static void
datagram_add (struct limit_datagram *datagram, const struct server *server,
              int64_t now)
{
  size_t count = datagram->message.n_limits;
  Trefoilspar__StatedLimit *limit = &datagram->limits[count];

  if (count == SERVERS_MAX)
    return;
  trefoilspar__stated_limit__init (limit);
  limit->server = server->id_hash;
  limit->limited = server->limit.limited;
  limit->per_s = server->limit.limited ? server->limit.per_s : 0;
  limit->age_ms = (uint32_t)((now - server->limit.heard_ns) / NS_PER_MS);
  datagram->pointers[count] = limit;
  datagram->message.n_limits++;
}

/* A change is sent at once. */
static bool
is_due (struct limitshare *share, int64_t now)
{
  int64_t last_change_ns = share->last_change_ns;
  int64_t stated_ns = share->servers->limit_stated_ns;
  GHashTableIter iter;
  gpointer value;

  if (stated_ns == 0 || now - stated_ns >= STATEMENT_AGE_MS * NS_PER_MS)
    return false;
  g_hash_table_iter_init (&iter, share->servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct server *server = value;

      if (is_news (server, now))
        last_change_ns = MAX (last_change_ns, server->limit.since_ns);
    }
  if (now < share->next_send_ns && last_change_ns == share->last_change_ns)
    return false;
  share->last_change_ns = last_change_ns;
  share->next_send_ns = now + INTERVAL_MS * NS_PER_MS;
  return true;
}

size_t
limitshare_encode (struct limitshare *share,
                   uint8_t bytes[LIMITSHARE_BYTES_MAX])
{
  struct limit_datagram datagram
      = { .message = TREFOILSPAR__LIMIT_SHARE__INIT };
  int64_t now = clock_now (share->clock);
  GHashTableIter iter;
  gpointer value;

  if (!is_due (share, now))
    return 0;
  datagram.message.limits = datagram.pointers;
  g_hash_table_iter_init (&iter, share->servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_news (value, now))
      datagram_add (&datagram, value, now);
  if (datagram.message.n_limits == 0
      || trefoilspar__limit_share__get_packed_size (&datagram.message)
             > LIMITSHARE_BYTES_MAX)
    return 0;
  return trefoilspar__limit_share__pack (&datagram.message, bytes);
}

static void
limit_received (struct limitshare *share,
                const Trefoilspar__StatedLimit *limit)
{
  struct server *server = servers_find_hash (share->servers, limit->server);
  int64_t stated_ns
      = clock_now (share->clock) - (int64_t)limit->age_ms * NS_PER_MS;

  if (server == NULL || !isfinite (limit->per_s) || limit->per_s < 0)
    return;
  servers_record_limit (share->servers, server,
                        limit->limited ? limit->per_s : -1, stated_ns, false);
}

bool
limitshare_receive (struct limitshare *share, const uint8_t *bytes,
                    size_t size)
{
  Trefoilspar__LimitShare *message
      = trefoilspar__limit_share__unpack (NULL, size, bytes);

  if (message == NULL)
    return false;
  for (size_t i = 0; i < message->n_limits; i++)
    limit_received (share, message->limits[i]);
  trefoilspar__limit_share__free_unpacked (message, NULL);
  return true;
}
