#include "fake-brittlehost.h"

#include <string.h>

struct brittle_host brittle_hosts[BRITTLE_HOSTS_MAX];

static void
on_changed (void *data, const struct server *server, const char *change)
{
}

static const struct servers_ops servers_ops = { on_changed, NULL };

static bool
reports_weights (void *data)
{
  return false;
}

static const struct loadshare_ops share_ops
    = { reports_weights, NULL, NULL, NULL, NULL, NULL };

void
brittle_host_register (struct brittle_host *host,
                       const struct brittle_play *play, unsigned index,
                       uint64_t started_ms)
{
  struct server_entry entry = { .slots = play->slots,
                                .started_ms = started_ms,
                                .heartbeat = 1,
                                .model_count = play->tokens > 0 };
  struct server *server;

  g_snprintf (entry.id, sizeof entry.id, "s%u", index);
  g_strlcpy (entry.service, "svc", sizeof entry.service);
  g_strlcpy (entry.address, "127.0.0.1:1", sizeof entry.address);
  g_strlcpy (entry.data_centre, "dc", sizeof entry.data_centre);
  g_strlcpy (entry.models[0].name, "m", sizeof entry.models[0].name);
  entry.models[0].weight_version = 1;
  servers_update (&host->servers, &entry, 1);
  server = servers_find (&host->servers, entry.id);
  server->kv_capacity_tokens = BRITTLE_CAPACITY_TOKENS;
}

static char *
host_key (unsigned index)
{
  return g_strdup_printf ("host/h%02u", index);
}

static char *
host_value (unsigned index)
{
  return g_strdup_printf ("{\"address\":\"a%u:1\",\"peer\":\"a%u:2\","
                          "\"data_centre\":\"dc\",\"form\":%d}",
                          index, index, PRESENCE_FORM_OWN);
}

static void
host_put (struct brittle_host *host, unsigned index)
{
  char *key = host_key (index);
  char *value = host_value (index);
  struct error error;

  presence_key_put (&host->presence, key, value, &error);
  g_free (value);
  g_free (key);
}

void
brittle_host_tell_one (struct brittle_host *host, unsigned index, bool serves)
{
  char *key = host_key (index);

  if (serves)
    host_put (host, index);
  else
    presence_key_removed (&host->presence, key);
  g_free (key);
}

void
brittle_host_tell (unsigned index, const struct brittle_play *play,
                   bool serves)
{
  for (unsigned i = 0; i < play->hosts; i++)
    if (i != index && !brittle_hosts[i].down)
      brittle_host_tell_one (&brittle_hosts[i], index, serves);
}

void
brittle_host_start (unsigned index, const struct brittle_play *play,
                    const struct clock *clock)
{
  struct brittle_host *host = &brittle_hosts[index];
  struct presence_host self = { .data_centre = "dc" };
  char *key = host_key (index);

  memset (host, 0, sizeof *host);
  g_snprintf (self.address, sizeof self.address, "a%u:1", index);
  g_snprintf (self.peer, sizeof self.peer, "a%u:2", index);
  servers_init (&host->servers, NULL, clock, "dc", NS_PER_S, &servers_ops,
                NULL);
  presence_init (&host->presence, NULL, clock, key, &self, NS_PER_S);
  subsets_init (&host->subsets, clock, &host->presence, &host->servers);
  loadshare_init (&host->loadshare, &host->servers, clock,
                  presence_host_name (key), (uint64_t)clock_now (clock),
                  &share_ops, NULL);
  limitshare_init (&host->limitshare, &host->servers, clock,
                   (uint64_t)clock_now (clock) + index + 1);
  otherhosts_init (&host->others, &host->presence, &host->loadshare);
  g_free (key);
  for (unsigned i = 0; i < play->hosts; i++)
    if (i != index && !brittle_hosts[i].down)
      host_put (host, i);
}

void
brittle_host_finish (unsigned index)
{
  struct brittle_host *host = &brittle_hosts[index];

  otherhosts_finish (&host->others);
  limitshare_finish (&host->limitshare);
  loadshare_finish (&host->loadshare);
  presence_finish (&host->presence);
  servers_finish (&host->servers);
}

void
brittle_host_send (unsigned from, const struct brittle_play *play,
                   bool is_load, struct rng *rng)
{
  uint8_t bytes[MAX (LIMITSHARE_BYTES_MAX, LOADSHARE_BYTES_MAX)];
  size_t size
      = is_load ? loadshare_encode (&brittle_hosts[from].loadshare, bytes)
                : limitshare_encode (&brittle_hosts[from].limitshare, bytes);

  for (unsigned to = 0; size > 0 && to < play->hosts; to++)
    {
      struct brittle_host *host = &brittle_hosts[to];

      if (to == from || host->down || rng_uniform (rng) < play->loss)
        continue;
      if (!is_load)
        limitshare_receive (&host->limitshare, bytes, size);
      else if (subsets_host_is_local (&host->subsets, from))
        loadshare_receive (&host->loadshare, bytes, size);
    }
}
