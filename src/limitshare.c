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
  /* Shorter suspensions make no difference to the age of a response. */
  SUSPENSION_MIN_MS = 100,
  /* Age from which a statement is no news. */
  STATEMENT_AGE_MS = 2000
};

struct limit_datagram
{
  Trefoilspar__LimitShare message;
  Trefoilspar__StatedLimit limits[SERVERS_MAX];
  Trefoilspar__StatedLimit *pointers[SERVERS_MAX];
  Trefoilspar__StatedBrittle brittle[SERVERS_MAX];
  Trefoilspar__StatedBrittle *brittle_pointers[SERVERS_MAX];
};

void
limitshare_init (struct limitshare *share, struct servers *servers,
                 const struct clock *clock, uint64_t sender)
{
  memset (share, 0, sizeof *share);
  share->servers = servers;
  share->clock = clock;
  share->suspended_ns = clock_boottime (clock) - clock_now (clock);
  share->sender = sender;
  lateness_init (&share->lateness);
}

void
limitshare_finish (struct limitshare *share)
{
  lateness_finish (&share->lateness);
}

static bool
is_recent (int64_t time_ns, int64_t now, int64_t span_ms)
{
  return time_ns != 0 && now - time_ns < span_ms * NS_PER_MS;
}

/* Whether a statement that was made or ended at SINCE_NS is to be told: this
 * host was the last one to hear it, and its end is told for a while only. */
static bool
is_statement_news (const struct limitshare *share, bool holds,
                   int64_t since_ns, int64_t heard_ns, int64_t stated_ns,
                   int64_t now)
{
  return heard_ns == stated_ns && heard_ns >= share->resumed_ns
         && is_recent (heard_ns, now, STATEMENT_AGE_MS)
         && (holds || is_recent (since_ns, now, END_TOLD_MS));
}

/* Whether this host has news of the limit of SERVER. */
static bool
is_limit_news (const struct limitshare *share, const struct server *server,
               int64_t now)
{
  const struct serverlimit *limit = &server->limit;

  return is_statement_news (share, limit->limited, limit->since_ns,
                            limit->heard_ns, limit->stated_ns, now);
}

static bool
has_recent_rejection (const struct limitshare *share,
                      const struct server *server, int64_t now)
{
  int64_t rejected_ns = server->brittle.rejected_here_ns;

  return rejected_ns >= share->resumed_ns
         && is_recent (rejected_ns, now, STATEMENT_AGE_MS);
}

/* Whether this host has news of SERVER being brittle. */
static bool
is_brittle_news (const struct limitshare *share, const struct server *server,
                 int64_t now)
{
  const struct serverbrittle *brittle = &server->brittle;

  return has_recent_rejection (share, server, now)
         || is_statement_news (share, brittle->brittle, brittle->since_ns,
                               brittle->heard_ns, brittle->stated_ns, now);
}

static uint32_t
age_ms (int64_t time_ns, int64_t now)
{
  return (uint32_t)(MAX (now - time_ns, 0) / NS_PER_MS);
}

static void
datagram_add_limit (struct limit_datagram *datagram,
                    const struct server *server, int64_t now)
{
  size_t count = datagram->message.n_limits;
  Trefoilspar__StatedLimit *limit = &datagram->limits[count];

  if (count + datagram->message.n_brittle == SERVERS_MAX)
    return;
  trefoilspar__stated_limit__init (limit);
  limit->server = server->id_hash;
  limit->limited = server->limit.limited;
  limit->per_s = server->limit.limited ? server->limit.per_s : 0;
  limit->age_ms = age_ms (server->limit.heard_ns, now);
  datagram->pointers[count] = limit;
  datagram->message.n_limits++;
}

static void
datagram_add_brittle (struct limit_datagram *datagram,
                      const struct server *server, int64_t now)
{
  const struct serverbrittle *own = &server->brittle;
  size_t count = datagram->message.n_brittle;
  Trefoilspar__StatedBrittle *brittle = &datagram->brittle[count];

  if (count + datagram->message.n_limits == SERVERS_MAX)
    return;
  trefoilspar__stated_brittle__init (brittle);
  brittle->server = server->id_hash;
  brittle->brittle = own->brittle;
  brittle->rejections = own->brittle ? own->rejections : 0;
  brittle->age_ms = age_ms (own->heard_ns, now);
  brittle->rejected = own->rejected_here_ns != 0;
  if (brittle->rejected)
    brittle->rejected_age_ms = age_ms (own->rejected_here_ns, now);
  datagram->brittle_pointers[count] = brittle;
  datagram->message.n_brittle++;
}

/* Drop the servers of which there has been no news for a while, so that only
 * those that have stated something of late are visited. */
static void
stating_update (struct limitshare *share, int64_t now)
{
  GPtrArray *stating = share->servers->stating;

  for (guint i = stating->len; i-- > 0;)
    {
      const struct server *server = stating->pdata[i];

      if (server->removed
          || (!is_recent (server->limit.heard_ns, now, END_TOLD_MS)
              && !is_recent (server->brittle.heard_ns, now, END_TOLD_MS)))
        servers_drop_stating (share->servers, i);
    }
}

/* A change is sent at once. */
static bool
is_due (struct limitshare *share, int64_t now)
{
  const GPtrArray *stating = share->servers->stating;
  int64_t last_change_ns = share->last_change_ns;

  if (!is_recent (share->servers->limit_stated_ns, now, STATEMENT_AGE_MS))
    return false;
  for (guint i = 0; i < stating->len; i++)
    {
      const struct server *server = stating->pdata[i];

      if (is_limit_news (share, server, now))
        last_change_ns = MAX (last_change_ns, server->limit.since_ns);
      if (is_brittle_news (share, server, now))
        last_change_ns
            = MAX (last_change_ns, MAX (server->brittle.since_ns,
                                        server->brittle.rejected_here_ns));
    }
  if (now < share->next_send_ns && last_change_ns == share->last_change_ns)
    return false;
  share->last_change_ns = last_change_ns;
  share->next_send_ns = now + INTERVAL_MS * NS_PER_MS;
  return true;
}

/* The age of a response is told by a clock that stands still while the host is
 * suspended. */
static void
suspension_note (struct limitshare *share, int64_t now)
{
  int64_t suspended_ns = clock_boottime (share->clock) - now;

  if (suspended_ns - share->suspended_ns > SUSPENSION_MIN_MS * NS_PER_MS)
    share->resumed_ns = now;
  share->suspended_ns = suspended_ns;
}

size_t
limitshare_encode (struct limitshare *share,
                   uint8_t bytes[LIMITSHARE_BYTES_MAX])
{
  struct limit_datagram datagram
      = { .message = TREFOILSPAR__LIMIT_SHARE__INIT };
  Trefoilspar__LimitShare *message = &datagram.message;
  const GPtrArray *stating = share->servers->stating;
  int64_t now = clock_now (share->clock);

  suspension_note (share, now);
  stating_update (share, now);
  if (!is_due (share, now))
    return 0;
  message->sender = share->sender;
  message->sent_ns = clock_boottime (share->clock);
  message->limits = datagram.pointers;
  message->brittle = datagram.brittle_pointers;
  /* What does not fit is left out, rejections last. */
  for (int rejected = 1; rejected >= 0; rejected--)
    for (guint i = 0; i < stating->len; i++)
      {
        const struct server *server = stating->pdata[i];

        if (rejected && is_limit_news (share, server, now))
          datagram_add_limit (&datagram, server, now);
        if (is_brittle_news (share, server, now)
            && has_recent_rejection (share, server, now) == rejected)
          datagram_add_brittle (&datagram, server, now);
      }
  while (trefoilspar__limit_share__get_packed_size (message)
         > LIMITSHARE_BYTES_MAX)
    if (message->n_brittle > 0)
      message->n_brittle--;
    else
      message->n_limits--;
  if (message->n_limits + message->n_brittle == 0)
    return 0;
  return trefoilspar__limit_share__pack (message, bytes);
}

/* SENT_NS: time, by this host's clock, at which the datagram was sent. */
static void
limit_received (struct limitshare *share,
                const Trefoilspar__StatedLimit *limit, int64_t sent_ns)
{
  struct server *server = servers_find_hash (share->servers, limit->server);

  if (server == NULL || !isfinite (limit->per_s) || limit->per_s < 0)
    return;
  servers_record_limit (share->servers, server,
                        limit->limited ? limit->per_s : -1,
                        sent_ns - (int64_t)limit->age_ms * NS_PER_MS, false);
}

static void
brittle_received (struct limitshare *share,
                  const Trefoilspar__StatedBrittle *brittle, int64_t sent_ns)
{
  struct server *server = servers_find_hash (share->servers, brittle->server);

  if (server == NULL)
    return;
  servers_record_brittle (share->servers, server,
                          brittle->brittle ? (int64_t)brittle->rejections : -1,
                          sent_ns - (int64_t)brittle->age_ms * NS_PER_MS,
                          false);
  if (brittle->rejected)
    serverbrittle_record_rejection (
        &server->brittle,
        sent_ns - (int64_t)brittle->rejected_age_ms * NS_PER_MS, false);
}

bool
limitshare_receive (struct limitshare *share, const uint8_t *bytes,
                    size_t size)
{
  Trefoilspar__LimitShare *message
      = trefoilspar__limit_share__unpack (NULL, size, bytes);
  int64_t late_ns, sent_ns;

  if (message == NULL)
    return false;
  late_ns = lateness_record (&share->lateness, message->sender,
                             message->sent_ns, clock_boottime (share->clock));
  sent_ns = clock_now (share->clock) - MAX (late_ns, 0);
  for (size_t i = 0; i < message->n_limits; i++)
    limit_received (share, message->limits[i], sent_ns);
  for (size_t i = 0; i < message->n_brittle; i++)
    brittle_received (share, message->brittle[i], sent_ns);
  trefoilspar__limit_share__free_unpacked (message, NULL);
  return true;
}
