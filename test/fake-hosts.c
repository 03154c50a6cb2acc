#include "fake-hosts.h"
#include "dialect-platform.h"
#include "unit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  REPORT_MS = 100,
  HOLE_FILLERS = 4
};

#define HOST_NAME "one.example"

struct fake_hosts fleet;
static int hole_fillers[HOLE_FILLERS];

static void
note_event (struct log *log, const struct event_info *info, const char *text)
{
  fleet.passed_on += info->number == EVENT_FORWARD_HOST;
}

static const struct log_ops log_ops = { note_event };

static void
front_request (void *data, struct callerconn *conn)
{
  struct fake_host *host = data;

  forwarder_request_received (&host->forwarder, conn);
}

static void
host_request (void *data, struct callerconn *conn)
{
  struct fake_host *host = data;

  forwarder_request_from_host (&host->forwarder, conn);
}

static void
front_gone (void *data, struct callerconn *conn)
{
  struct fake_host *host = data;

  forwarder_caller_disconnected (&host->forwarder, conn);
}

static void
front_refused (void *data, struct callerconn *conn, int status,
               const char *reason)
{
}

static const struct callerserver_ops front_ops
    = { front_request, front_gone, front_refused, NULL };
static const struct callerserver_ops host_ops
    = { host_request, front_gone, front_refused, NULL };

static void
server_changed (void *data, const struct server *server, const char *what)
{
}

static const struct servers_ops servers_ops = { server_changed, NULL };

static void
origin_send (void *data, const struct sockaddr_in *to, const uint8_t *bytes,
             size_t size)
{
}

static uint64_t
only_software (void *data, uint64_t service)
{
  struct fake_host *host = data;

  return softwarespan_only (&host->servers.software, service, 0);
}

static bool
sees_only (void *data, uint64_t service, uint64_t software)
{
  return only_software (data, service) == software;
}

static bool
sees_other (void *data, uint64_t service, uint64_t software)
{
  return !sees_only (data, service, software);
}

static const struct streamorigin_ops origin_ops
    = { origin_send, only_software, sees_only, sees_other };

static void
blame_send (void *data, const uint8_t *bytes, size_t size)
{
}

static void
crash_explained (void *data, const char *server)
{
}

static const struct blameshare_ops blame_ops = { blame_send, crash_explained };

static bool
no_weights (void *data)
{
  return false;
}

static bool
not_loading (void *data, const struct server *server)
{
  return false;
}

static void
ignore_weights (void *data, struct server *server, uint64_t version)
{
}

static uint64_t
no_version (void *data, const struct server *server)
{
  return 0;
}

static const struct loadshare_ops loadshare_ops
    = { no_weights, not_loading, ignore_weights, no_version, NULL, NULL };

static void
reports_exchange (void)
{
  for (unsigned from = 0; from < FAKE_HOSTS; from++)
    {
      uint8_t bytes[LOADSHARE_BYTES_MAX];
      size_t size = loadshare_encode (&fleet.hosts[from].loadshare, bytes);

      for (unsigned to = 0; to < FAKE_HOSTS; to++)
        if (to != from && !fleet.down[from]
            && rng_uniform (&fleet.rng) >= fleet.datagram_loss)
          loadshare_receive (&fleet.hosts[to].loadshare, bytes, size);
    }
}

/* Count the runs of a request that may run once only. */
static void
run_count (void *data, const char *request)
{
  const char *at = strstr (request, "X-Request-Id: ");
  char *id;

  if (at == NULL || !g_str_has_prefix (request, "POST /once/"))
    return;
  id = g_strndup (at + strlen ("X-Request-Id: "), strcspn (at + 14, "\r"));
  fleet.repeated += !g_hash_table_add (fleet.runs, id);
}

static void
query_encode (void *data, const struct server *server, GString *out)
{
  dialect_platform.query_encode (out, NULL);
}

static void
query_response_decode (void *data, const struct server *server, int status,
                       const struct httpfields *head,
                       struct response *response)
{
  dialect_platform.query_response_decode (status, head, server->entry.id,
                                          response);
}

static const struct serverprobes_ops probes_ops
    = { query_encode, query_response_decode };

static void
on_tick (uv_timer_t *timer)
{
  int64_t now = clock_now (&fleet.clock);

  for (unsigned i = 0; i < FAKE_HOSTS; i++)
    {
      if (fleet.down[i])
        continue;
      loadshare_tick (&fleet.hosts[i].loadshare);
      serverprobes_tick (&fleet.hosts[i].probes);
      forwarder_tick (&fleet.hosts[i].forwarder);
    }
  if (now < fleet.next_reports_ns)
    return;
  fleet.next_reports_ns = now + REPORT_MS * NS_PER_MS;
  reports_exchange ();
}

static void
route_add (struct routes *routes, const char *prefix, enum route_kind kind,
           bool resumable)
{
  struct route *route = routes_add_route (routes);

  route->name = g_strdup (prefix);
  route->host = g_strdup (HOST_NAME);
  route->prefix = g_strdup (prefix);
  route->kind = kind;
  route->resumable = resumable;
  route->servers_max = 2;
  route->timeout_ns = 1500 * NS_PER_MS;
  route->latency_target_ns = 200 * NS_PER_MS;
  route_add_share (route, "svc", 1);
}

static void
routes_setup (struct fake_host *host)
{
  struct routes *routes = routes_new ();

  route_add (routes, "/safe/", ROUTE_IDEMPOTENT, false);
  route_add (routes, "/once/", ROUTE_NON_IDEMPOTENT, false);
  route_add (routes, "/stream/", ROUTE_STREAM, true);
  routes_add_key (routes, "key", routes_add_organisation (routes, "org"));
  routes_build_index (routes);
  forwarder_set_routes (&host->forwarder, routes);
  routes_unref (routes);
}

/* Enter engine ENGINE at the address that the links of HOST lead to, as a new
 * start if RESTART is set. */
static void
engine_enter (struct fake_host *host, unsigned engine, const char *address,
              uint64_t start)
{
  struct server_entry entry = { .slots = 64, .started_ms = start };

  g_snprintf (entry.id, sizeof entry.id, "i-%u", engine);
  g_strlcpy (entry.service, "svc", sizeof entry.service);
  g_strlcpy (entry.address, address, sizeof entry.address);
  g_strlcpy (entry.data_centre, "dc", sizeof entry.data_centre);
  servers_update (&host->servers, &entry, start);
}

/* Send connections to engine ENGINE elsewhere. The server stays what it is:
 * its address is not what the host judges it by. */
static void
link_lead (struct fake_host *host, unsigned engine, const char *address)
{
  struct server *server;
  char id[16];

  g_snprintf (id, sizeof id, "i-%u", engine);
  server = servers_find (&host->servers, id);
  if (server != NULL)
    g_strlcpy (server->entry.address, address, SERVER_ADDRESS_MAX);
}

static void
server_address (const struct callerserver *server, char *out, size_t size)
{
  struct sockaddr_in address;
  int length = sizeof address;

  uv_tcp_getsockname (&server->listener, (struct sockaddr *)&address, &length);
  g_snprintf (out, size, "127.0.0.1:%u", ntohs (address.sin_port));
}

static void
listen_for_host (struct callerserver *server,
                 const struct callerserver_ops *ops, struct fake_host *host)
{
  struct error error;

  CU_ASSERT_EQUAL_FATAL (callerserver_init (server, &fleet.loop, &fleet.clock,
                                            "127.0.0.1", 0, ops, host, &error),
                         STATUS_OK);
  server->limits = (struct callerconn_limits){
    .header_bytes = 4000,
    .body_bytes = 1000,
    .header_timeout_ns = NS_PER_S,
    .idle_timeout_ns = 2 * NS_PER_S,
  };
}

static void
host_start (unsigned index, const struct fake_upstream_step *step)
{
  struct forward_settings settings = {
    .connect_timeout_ns = 100 * NS_PER_MS,
    .silence_timeout_ns = 300 * NS_PER_MS,
    .retry = { 10 * NS_PER_S, 0.2, 50 },
    .choose = choose_settings_default,
  };
  struct fake_host *host = &fleet.hosts[index];
  char name[16];
  char key[32];

  g_snprintf (name, sizeof name, "h%u", index);
  g_snprintf (key, sizeof key, "t/host/h%u", index);
  servers_init (&host->servers, &fleet.loop, &fleet.clock, "dc",
                100 * NS_PER_MS, &servers_ops, NULL);
  serverprobes_init (&host->probes, &host->servers, &probes_ops, NULL);
  poisoncount_init (&host->poison, &fleet.client.kv, &fleet.clock, "loss/");
  presence_init (&host->presence, &fleet.client.kv, &fleet.clock, key,
                 &(struct presence_host){ .address = "a" }, NS_PER_S);
  blameshare_init (&host->blameshare, &fleet.client.kv, &fleet.clock,
                   &host->presence, &fleet.log, &fleet.metrics, "blame/",
                   &blame_ops, NULL);
  kvstores_init (&host->kvstores, &kvstores_settings_default, &fleet.clock,
                 &fleet.log, &dialect_platform, NULL);
  loadshare_init (&host->loadshare, &host->servers, &fleet.clock, name, 1,
                  &loadshare_ops, NULL);
  otherhosts_init (&host->otherhosts, &host->presence, &host->loadshare);
  forwarder_init (&host->forwarder, &fleet.loop, &fleet.clock, &fleet.rng,
                  &fleet.log, &fleet.metrics, &dialect_platform, &settings,
                  &host->servers, &host->poison, &host->blameshare,
                  &host->kvstores, &host->retire, &host->origin);
  host->forwarder.hosts = &host->otherhosts;
  streamorigin_init (&host->origin, &fleet.clock, &host->presence, &origin_ops,
                     host);
  cacheretire_init (&host->retire, &fleet.clock, &fleet.log, &host->servers,
                    &host->presence, &host->operator_view,
                    host->forwarder.wanted_weights);
  listen_for_host (&host->front, &front_ops, host);
  listen_for_host (&host->host_server, &host_ops, host);
  routes_setup (host);
  for (unsigned i = 0; i < FAKE_HOSTS_ENGINES; i++)
    {
      fake_upstream_init (&host->engines[i], &fleet.loop, step, 1);
      host->engines[i].received = run_count;
      g_strlcpy (host->addresses[i], host->engines[i].address,
                 sizeof host->addresses[i]);
      engine_enter (host, i, host->addresses[i], 1);
    }
}

static void
hosts_introduce (void)
{
  for (unsigned i = 0; i < FAKE_HOSTS; i++)
    for (unsigned other = 0; other < FAKE_HOSTS; other++)
      {
        struct error error;
        char address[32];
        char key[32];
        char *value;

        server_address (&fleet.hosts[other].host_server, address,
                        sizeof address);
        if (other == i)
          {
            g_strlcpy (fleet.hosts[i].presence.self.peer, address,
                       sizeof fleet.hosts[i].presence.self.peer);
            continue;
          }
        g_snprintf (key, sizeof key, "t/host/h%u", other);
        value = g_strdup_printf (
            "{\"address\":\"a\",\"peer\":\"%s\",\"form\":%d}", address,
            PRESENCE_FORM_OWN);
        presence_key_put (&fleet.hosts[i].presence, key, value, &error);
        g_free (value);
      }
}

/* A listener whose queue of connections is full, so that others hang. */
static void
hole_open (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  fleet.hole = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (
      bind (fleet.hole, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fleet.hole, 0), 0);
  getsockname (fleet.hole, (struct sockaddr *)&address, &size);
  g_snprintf (fleet.hole_address, sizeof fleet.hole_address, "127.0.0.1:%u",
              ntohs (address.sin_port));
  for (unsigned i = 0; i < HOLE_FILLERS; i++)
    {
      hole_fillers[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      CU_ASSERT_TRUE (connect (hole_fillers[i], (struct sockaddr *)&address,
                               sizeof address)
                          == 0
                      || errno == EINPROGRESS);
    }
}

static void
cut_links_open (void)
{
  static const struct fake_upstream_step silence = { "", FAKE_UPSTREAM_KEEP };
  static const struct fake_upstream_step reset = { "", FAKE_UPSTREAM_RESET };

  fake_upstream_init (&fleet.silent, &fleet.loop, &silence, 1);
  fake_upstream_init (&fleet.resetting, &fleet.loop, &reset, 1);
  fleet.silent.received = run_count;
  fleet.resetting.received = run_count;
}

void
fake_hosts_setup (const struct fake_upstream_step *step)
{
  memset (&fleet, 0, sizeof fleet);
  uv_loop_init (&fleet.loop);
  fleet.runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cut_links_open ();
  clock_system_init (&fleet.clock);
  fleet.log = (struct log){ &log_ops, EVENT_LEVEL_DEBUG };
  metrics_init (&fleet.metrics);
  rng_init (&fleet.rng, 1);
  fake_kv_init (&fleet.kv, &fleet.clock, 1);
  fake_kv_client_init (&fleet.client, &fleet.kv);
  hole_open ();
  for (unsigned i = 0; i < FAKE_HOSTS; i++)
    host_start (i, step);
  hosts_introduce ();
  fleet.answer = g_string_new (NULL);
  uv_timer_init (&fleet.loop, &fleet.timer);
  uv_timer_start (&fleet.timer, on_tick, 0, 10);
  fake_hosts_run_for (REPORT_MS);
  fake_hosts_run_for (REPORT_MS);
}

/* End the host's requests and connections. */
static void
host_close (struct fake_host *host)
{
  callerserver_finish (&host->front);
  callerserver_finish (&host->host_server);
  forwarder_finish (&host->forwarder);
}

static void
host_finish (struct fake_host *host)
{
  if (!fleet.down[host - fleet.hosts])
    host_close (host);
  serverprobes_finish (&host->probes);
  streamorigin_finish (&host->origin);
  for (unsigned i = 0; i < FAKE_HOSTS_ENGINES; i++)
    fake_upstream_finish (&host->engines[i]);
}

static void
host_free (struct fake_host *host)
{
  otherhosts_finish (&host->otherhosts);
  loadshare_finish (&host->loadshare);
  kvstores_finish (&host->kvstores);
  cacheretire_finish (&host->retire);
  presence_finish (&host->presence);
  poisoncount_finish (&host->poison);
  blameshare_finish (&host->blameshare);
  servers_finish (&host->servers);
}

static void
close_handle (uv_handle_t *handle, void *data)
{
  if (!uv_is_closing (handle))
    uv_close (handle, NULL);
}

void
fake_hosts_finish (void)
{
  uv_timer_stop (&fleet.timer);
  for (unsigned i = 0; i < FAKE_HOSTS; i++)
    host_finish (&fleet.hosts[i]);
  fake_upstream_finish (&fleet.silent);
  fake_upstream_finish (&fleet.resetting);
  for (int i = 0; i < 20; i++)
    uv_run (&fleet.loop, UV_RUN_NOWAIT);
  for (unsigned i = 0; i < FAKE_HOSTS; i++)
    host_free (&fleet.hosts[i]);
  uv_walk (&fleet.loop, close_handle, NULL);
  uv_run (&fleet.loop, UV_RUN_DEFAULT);
  CU_ASSERT_EQUAL (uv_loop_close (&fleet.loop), 0);
  for (unsigned i = 0; i < HOLE_FILLERS; i++)
    close (hole_fillers[i]);
  close (fleet.hole);
  fake_kv_client_finish (&fleet.client);
  fake_kv_finish (&fleet.kv);
  metrics_finish (&fleet.metrics);
  g_string_free (fleet.answer, TRUE);
  g_hash_table_destroy (fleet.runs);
}

void
fake_hosts_cut_link (unsigned index, unsigned engine, enum fake_hosts_cut how)
{
  const char *const addresses[] = {
    [FAKE_HOSTS_HANG] = fleet.hole_address,
    [FAKE_HOSTS_REFUSE] = "127.0.0.1:1",
    [FAKE_HOSTS_SILENT] = fleet.silent.address,
    [FAKE_HOSTS_RESET] = fleet.resetting.address,
  };

  link_lead (&fleet.hosts[index], engine, addresses[how]);
}

void
fake_hosts_kill (unsigned index)
{
  fleet.down[index] = true;
  host_close (&fleet.hosts[index]);
}

void
fake_hosts_cut (unsigned index, enum fake_hosts_cut how)
{
  for (unsigned i = 0; i < FAKE_HOSTS_ENGINES; i++)
    fake_hosts_cut_link (index, i, how);
}

void
fake_hosts_heal (unsigned index)
{
  for (unsigned i = 0; i < FAKE_HOSTS_ENGINES; i++)
    link_lead (&fleet.hosts[index], i, fleet.hosts[index].addresses[i]);
}

void
fake_hosts_run_for (int64_t ms)
{
  int64_t end = clock_now (&fleet.clock) + ms * NS_PER_MS;

  while (clock_now (&fleet.clock) < end)
    {
      uv_run (&fleet.loop, UV_RUN_NOWAIT);
      g_usleep (500);
    }
}

unsigned
fake_hosts_engine_requests (void)
{
  unsigned count = 0;

  for (unsigned i = 0; i < FAKE_HOSTS; i++)
    for (unsigned engine = 0; engine < FAKE_HOSTS_ENGINES; engine++)
      count += fleet.hosts[i].engines[engine].requests;
  return count;
}

unsigned
fake_hosts_engine_queries (void)
{
  unsigned count = fleet.silent.queries + fleet.resetting.queries;

  for (unsigned i = 0; i < FAKE_HOSTS; i++)
    for (unsigned engine = 0; engine < FAKE_HOSTS_ENGINES; engine++)
      count += fleet.hosts[i].engines[engine].queries;
  return count;
}
