#include "serverprobe.h"
#include "serverconn.h"
#include "serverevacuate.h"
#include "serverlearn.h"
#include "serverreach.h"

#include <string.h>

enum
{
  /* Interval between probes of an unreachable server while no server with its
   * software can be reached, for LAST_PROBES_S since it became unreachable. */
  LAST_PROBE_INTERVAL_MS = 100,
  LAST_PROBES_S = 5,
  /* Time within which a query is answered. */
  QUERY_TIMEOUT_MS = 300,
  /* Interval between rounds of queries, and between single ones while no
   * server is available, for LAST_PROBES_S. */
  QUERY_INTERVAL_MS = 400,
  LAST_QUERY_INTERVAL_MS = 100
};

struct serverprobe
{
  struct list node;
  struct serverprobes *probes;
  struct server *server;
  struct serverconn *conn;
  bool is_query;
};

/* End PROBE without a result. */
static void
probe_free (struct serverprobe *probe)
{
  serverconn_close (probe->conn);
  list_remove (&probe->node);
  probe->server->probed = false;
  server_unref (probe->server);
  g_free (probe);
}

/* Update the state of the probed server. A probe that began before the last
 * cut says nothing about it. */
static void
probe_judge (struct servers *servers, struct server *server, bool reached)
{
  bool is_doubted = server->doubted_ns != 0;

  if (server->removed
      || (is_doubted && server->probe_began_ns < server->doubted_ns))
    return;
  if (!reached)
    server_set_unreachable (servers, server);
  else
    {
      server->doubted_ns = 0;
      server_record_reached (servers, server, is_doubted);
    }
}

static struct reach *
probe_reach (const struct serverprobe *probe)
{
  return servers_reach (probe->probes->servers, probe->server->entry.service);
}

static void
probe_finish (struct serverprobe *probe, bool reached)
{
  probe_judge (probe->probes->servers, probe->server, reached);
  probe_free (probe);
}

/* That a server is still unreachable says nothing new of the links. */
static void
failure_record (struct serverprobe *probe)
{
  int64_t began = probe->server->probe_began_ns;

  if (probe->server->down_since_ns != 0)
    return;
  if (probe->is_query)
    reach_record_query_unanswered (probe_reach (probe), probe->server->id_hash,
                                   began);
  else
    reach_record_unanswered (probe_reach (probe), probe->server->id_hash,
                             began);
}

/* A query that is cut says nothing of its server, which may have too many
 * connections. */
static void
probe_fail (struct serverprobe *probe, enum serverconn_result end)
{
  failure_record (probe);
  if (end == SERVERCONN_NOT_CONNECTED)
    probe_finish (probe, false);
  else
    probe_free (probe);
}

static void
probe_connected (void *data)
{
  struct serverprobe *probe = data;

  if (!probe->is_query)
    probe_finish (probe, true);
  else if (servers_withhold (probe->probes->servers, probe->server))
    probe_free (probe);
}

static void
probe_head_received (void *data, struct serverconn *conn)
{
  struct serverprobe *probe = data;
  struct serverprobes *probes = probe->probes;
  int64_t now = clock_now (probes->servers->clock);
  struct response response;

  probes->ops->response_decode (probes->data, probe->server,
                                serverconn_status (conn), &conn->response.head,
                                &response);
  if (response.owner != RESPONSE_OWN)
    {
      if (!serverconn_pass_over (conn))
        probe_fail (probe, SERVERCONN_GARBLED);
      return;
    }
  reach_record_answer (probe_reach (probe), probe->server->probe_began_ns,
                       now);
  serverlearn_query_response (probes->servers, probe->server, &response, now);
  probe_finish (probe, true);
}

static void
probe_body_received (void *data, const char *bytes, size_t size)
{
}

static void
probe_failed (void *data, enum serverconn_result end)
{
  probe_fail (data, end);
}

static const struct serverconn_ops probe_ops
    = { probe_connected, probe_head_received, probe_body_received,
        probe_failed };

static void
probe_start (struct serverprobes *probes, struct server *server, bool is_query,
             int64_t now)
{
  struct servers *servers = probes->servers;
  struct serverprobe *probe = g_new0 (struct serverprobe, 1);
  GString *request = g_string_new (NULL);

  if (is_query)
    probes->ops->query_encode (probes->data, server, request);
  server->next_probe_ns = now + SERVER_PROBE_INTERVAL_MS * NS_PER_MS;
  server->probe_began_ns = now;
  servercold_take (&server->cold, now);
  server->probed = true;
  probe->probes = probes;
  probe->is_query = is_query;
  probe->server = server_ref (server);
  list_init (&probe->node);
  list_append (&probes->running, &probe->node);
  probe->conn
      = serverconn_open (servers->loop, server->entry.address, request, false,
                         servers->connect_timeout_ns, &probe_ops, probe);
}

void
serverprobes_init (struct serverprobes *probes, struct servers *servers,
                   const struct serverprobes_ops *ops, void *data)
{
  probes->servers = servers;
  probes->ops = ops;
  probes->data = data;
  list_init (&probes->running);
}

void
serverprobes_finish (struct serverprobes *probes)
{
  while (!list_empty (&probes->running))
    probe_free (LIST_ENTRY (probes->running.next, struct serverprobe, node));
}

/* Whether no server of the service and software of SERVER is available. */
static bool
software_is_out (const struct servers *servers, const struct server *server)
{
  const GPtrArray *list = servers_of_service (servers, server->entry.service);

  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const struct server *other = list->pdata[i];

      if (other->software_hash == server->software_hash
          && server_is_available (other) && !other->evacuated)
        return false;
    }
  return true;
}

/* Whether a probe of SERVER, which is unreachable, is due. */
static bool
probe_is_due (const struct servers *servers, const struct server *server,
              int64_t now)
{
  int64_t last_ns
      = server->next_probe_ns - SERVER_PROBE_INTERVAL_MS * NS_PER_MS;

  if (server_is_leaving (server))
    return false;
  return now >= server->next_probe_ns
         || (now - last_ns >= LAST_PROBE_INTERVAL_MS * NS_PER_MS
             && now - server->down_since_ns < LAST_PROBES_S * NS_PER_S
             && software_is_out (servers, server));
}

/* Probe SERVER, which is in doubt or unreachable, unless its links are in
 * question as a whole. */
static void
server_probe (struct serverprobes *probes, struct server *server, int64_t now)
{
  if (server->probed || server->evacuated
      || !serverpause_allows (&server->pause, now)
      || reach_is_questioned (
          servers_reach (probes->servers, server->entry.service)))
    return;
  if (server->doubted_ns != 0
      || (server->down_since_ns != 0
          && probe_is_due (probes->servers, server, now)))
    probe_start (probes, server, false, now);
}

/* Probe the servers that fail, and drop those that do no more. */
static void
failing_probe (struct serverprobes *probes, int64_t now)
{
  GPtrArray *failing = probes->servers->failing;

  for (guint i = failing->len; i-- > 0;)
    {
      struct server *server = failing->pdata[i];

      if (!server->removed
          && (server->doubted_ns != 0 || server->down_since_ns != 0))
        {
          server_probe (probes, server, now);
          continue;
        }
      server->is_failing = false;
      g_ptr_array_remove_index_fast (failing, i);
    }
}

/* Query up to COUNT servers of LIST, in turn, that are available or, if
 * AVAILABLE is not set, unreachable. */
static void
servers_query (struct serverprobes *probes, const GPtrArray *list,
               struct reach *reach, bool available, unsigned count,
               int64_t now)
{
  unsigned sent = 0;

  for (guint i = 0; i < list->len && sent < count; i++)
    {
      struct server *server = list->pdata[reach->next_server++ % list->len];

      if (server->probed || server->evacuated || server_is_leaving (server)
          || server_is_available (server) != available
          || !serverpause_allows (&server->pause, now)
          || !serverlimit_allows (&server->limit, now)
          || (server->brittle.brittle && server->in_flight_requests > 0))
        continue;
      serverlimit_take (&server->limit, now);
      /* To a cold server without room for a query only a connection is
       * opened, which carries no request. */
      probe_start (probes, server, servercold_allows (&server->cold, now),
                   now);
      sent++;
    }
}

static bool
any_is_available (const GPtrArray *list)
{
  for (guint i = 0; i < list->len; i++)
    {
      const struct server *server = list->pdata[i];

      if (server_is_available (server) && !server->evacuated)
        return true;
    }
  return false;
}

/* Query some servers of SERVICE, whose links are in question: one, or several
 * once the links are in doubt. */
static void
links_query (struct serverprobes *probes, const char *service,
             const GPtrArray *list, struct reach *reach, int64_t now)
{
  bool available = any_is_available (list);
  bool is_urgent
      = !available
        && reach->query_rounds * LAST_QUERY_INTERVAL_MS < LAST_PROBES_S * 1000;
  unsigned count
      = !is_urgent && servers_service_is_out (probes->servers, service)
            ? REACH_SERVERS_MIN
            : 1;

  if (now < reach->next_queries_ns && reach->query_rounds > 0)
    return;
  reach->next_queries_ns
      = now
        + (is_urgent ? LAST_QUERY_INTERVAL_MS : QUERY_INTERVAL_MS) * NS_PER_MS;
  reach->query_rounds++;
  servers_query (probes, list, reach, available, count, now);
}

/* End queries that were not answered in time. That a server is silent for a
 * moment does not make it unreachable. */
static void
silent_queries_end (struct serverprobes *probes, int64_t now)
{
  struct list *node = probes->running.next;

  while (node != &probes->running)
    {
      struct serverprobe *probe = LIST_ENTRY (node, struct serverprobe, node);

      node = node->next;
      if (!probe->is_query
          || now - probe->server->probe_began_ns
                 < QUERY_TIMEOUT_MS * NS_PER_MS)
        continue;
      failure_record (probe);
      probe_free (probe);
    }
}

void
serverprobes_tick (struct serverprobes *probes)
{
  int64_t now = clock_now (probes->servers->clock);
  GHashTableIter iter;
  gpointer service;
  gpointer list;

  silent_queries_end (probes, now);
  if (servers_hold_sends (probes->servers))
    return;
  g_hash_table_iter_init (&iter, probes->servers->by_service);
  while (g_hash_table_iter_next (&iter, &service, &list))
    {
      struct reach *reach = servers_reach (probes->servers, service);

      if (reach_is_questioned (reach))
        links_query (probes, service, list, reach, now);
    }
  failing_probe (probes, now);
}
