#include "fake-path.h"
#include "dialect-platform.h"
#include "serverlog.h"
#include "unit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  WAIT_MS = 3000
};

/* One entry process's path between loopback sockets. */
struct fake_path path;

static int64_t
path_now (const struct clock *clock)
{
  struct clock system;

  clock_system_init (&system);
  return clock_now (&system);
}

static int64_t
path_boottime (const struct clock *clock)
{
  return path_now (clock) + path.suspended_ns;
}

static struct timespec
path_wall (const struct clock *clock)
{
  struct clock system;

  clock_system_init (&system);
  return clock_wall (&system);
}

static const struct clock_ops path_clock_ops
    = { path_now, path_wall, path_boottime };

static void
record_event (struct log *log, const struct event_info *info, const char *text)
{
  g_string_append_printf (path.logged, "%s %s\n", info->name, text);
}

static const struct log_ops record_ops = { record_event };

static void
front_request (void *data, struct callerconn *conn)
{
  forwarder_request_received (&path.forwarder, conn);
}

static void
front_gone (void *data, struct callerconn *conn)
{
  forwarder_caller_disconnected (&path.forwarder, conn);
}

static void
front_refused (void *data, struct callerconn *conn, int status,
               const char *reason)
{
  path.refused++;
}

static const struct callerserver_ops front_ops
    = { front_request, front_gone, front_refused, NULL };

static void
server_changed (void *data, const struct server *server, const char *what)
{
  serverlog_changed (&path.log, &path.metrics, &path.clock, server, what);
}

static void
statement_ignored (void *data, const struct server *server, const char *field,
                   const char *reason)
{
  serverlog_ignored (&path.log, &path.metrics, server, field, reason);
}

static const struct servers_ops servers_ops
    = { server_changed, statement_ignored };

static void
origin_send (void *data, const struct sockaddr_in *to, const uint8_t *bytes,
             size_t size)
{
}

static uint64_t
only_software (void *data, uint64_t service)
{
  return softwarespan_only (&path.servers.software, service, 0);
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
  poisoncount_forgive_server (&path.poison, server);
}

static const struct blameshare_ops blame_ops = { blame_send, crash_explained };

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
  blameshare_tick (&path.blameshare);
  streamorigin_tick (&path.origin);
  forwarder_tick (&path.forwarder);
  serverprobes_tick (&path.probes);
}

static void
route_add (struct routes *routes, const char *prefix, enum route_kind kind,
           bool resumable, unsigned servers_max)
{
  struct route *route = routes_add_route (routes);

  route->name = g_strdup (prefix);
  route->host = g_strdup (FAKE_PATH_HOST);
  route->prefix = g_strdup (prefix);
  route->kind = kind;
  route->resumable = resumable;
  route->servers_max = servers_max;
  route->timeout_ns = 1500 * NS_PER_MS;
  route->latency_target_ns = 200 * NS_PER_MS;
  route_add_share (route, "svc", 1);
}

static void
routes_setup (void)
{
  struct routes *routes = routes_new ();

  route_add (routes, "/safe/", ROUTE_IDEMPOTENT, false, 2);
  route_add (routes, "/once/", ROUTE_NON_IDEMPOTENT, false, 1);
  route_add (routes, "/stream/", ROUTE_STREAM, true, 2);
  route_add (routes, "/long/", ROUTE_STREAM, false, 2);
  routes_add_key (routes, "key", routes_add_organisation (routes, "org"));
  routes_build_index (routes);
  forwarder_set_routes (&path.forwarder, routes);
  routes_unref (routes);
}

void
fake_path_server_add (unsigned index, const char *address)
{
  struct server_entry entry = { .slots = 4 };

  g_snprintf (entry.id, sizeof entry.id, "i-%u", index);
  g_strlcpy (entry.service, "svc", sizeof entry.service);
  g_strlcpy (entry.address, address, sizeof entry.address);
  g_strlcpy (entry.data_centre, "dc", sizeof entry.data_centre);
  servers_update (&path.servers, &entry, 1);
}

void
fake_path_upstream_add (const struct fake_upstream_step *step,
                        const char *service, const char *software)
{
  unsigned index = path.upstream_count++;
  struct server_entry entry = { .slots = 4 };

  fake_upstream_init (&path.upstreams[index], &path.loop, step, 1);
  g_snprintf (entry.id, sizeof entry.id, "i-%u", index);
  g_strlcpy (entry.service, service, sizeof entry.service);
  g_strlcpy (entry.address, path.upstreams[index].address,
             sizeof entry.address);
  g_strlcpy (entry.data_centre, "dc", sizeof entry.data_centre);
  g_strlcpy (entry.software, software, sizeof entry.software);
  servers_update (&path.servers, &entry, 1);
}

void
fake_path_set_software (unsigned index, const char *software)
{
  struct server_entry entry = { 0 };
  char id[16];

  g_snprintf (id, sizeof id, "i-%u", index);
  entry = servers_find (&path.servers, id)->entry;
  g_strlcpy (entry.software, software, sizeof entry.software);
  servers_update (&path.servers, &entry, 2);
}

void
fake_path_set_weights (unsigned index, uint64_t version)
{
  struct server_entry entry;
  char id[16];

  g_snprintf (id, sizeof id, "i-%u", index);
  entry = servers_find (&path.servers, id)->entry;
  entry.model_count = 1;
  g_strlcpy (entry.models[0].name, "m", sizeof entry.models[0].name);
  entry.models[0].weight_version = version;
  servers_update (&path.servers, &entry, 2 + version);
}

static void
caller_connect (void)
{
  struct sockaddr_in address;
  int size = sizeof address;

  uv_tcp_getsockname (&path.front.listener, (struct sockaddr *)&address,
                      &size);
  path.caller = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (
      connect (path.caller, (struct sockaddr *)&address, sizeof address), 0);
  fcntl (path.caller, F_SETFL, O_NONBLOCK);
}

void
fake_path_caller_reconnect (void)
{
  close (path.caller);
  path.ended = false;
  path.reset = false;
  g_string_truncate (path.answer, 0);
  caller_connect ();
}

void
fake_path_setup (const struct fake_upstream_step *first, unsigned first_count,
                 const struct fake_upstream_step *second,
                 unsigned second_count)
{
  struct forward_settings settings = {
    .connect_timeout_ns = 200 * NS_PER_MS,
    .silence_timeout_ns = 300 * NS_PER_MS,
    .retry = { 10 * NS_PER_S, 0.2, 50 },
    .choose = choose_settings_default,
  };
  struct error error;

  memset (&path, 0, sizeof path);
  uv_loop_init (&path.loop);
  path.clock.ops = &path_clock_ops;
  path.logged = g_string_new (NULL);
  path.log = (struct log){ &record_ops, EVENT_LEVEL_DEBUG };
  metrics_init (&path.metrics);
  rng_init (&path.rng, 1);
  fake_kv_init (&path.kv, &path.clock, 1);
  fake_kv_client_init (&path.client, &path.kv);
  servers_init (&path.servers, &path.loop, &path.clock, "dc", 200 * NS_PER_MS,
                &servers_ops, NULL);
  serverprobes_init (&path.probes, &path.servers, &probes_ops, NULL);
  poisoncount_init (&path.poison, &path.client.kv, &path.clock, "loss/");
  presence_init (&path.presence, &path.client.kv, &path.clock, "host/a",
                 &(struct presence_host){ .address = "a" }, NS_PER_S);
  blameshare_init (&path.blameshare, &path.client.kv, &path.clock,
                   &path.presence, &path.log, &path.metrics, "blame/",
                   &blame_ops, NULL);
  kvstores_init (&path.kvstores, &kvstores_settings_default, &path.clock,
                 &path.log, &dialect_platform, NULL);
  forwarder_init (&path.forwarder, &path.loop, &path.clock, &path.rng,
                  &path.log, &path.metrics, &dialect_platform, &settings,
                  &path.servers, &path.poison, &path.blameshare,
                  &path.kvstores, &path.retire, &path.origin);
  streamorigin_init (&path.origin, &path.clock, &path.presence, &origin_ops,
                     NULL);
  cacheretire_init (&path.retire, &path.clock, &path.log, &path.servers,
                    &path.presence, &path.operator_view,
                    path.forwarder.wanted_weights);
  CU_ASSERT_EQUAL_FATAL (callerserver_init (&path.front, &path.loop,
                                            &path.clock, "127.0.0.1", 0,
                                            &front_ops, NULL, &error),
                         STATUS_OK);
  path.front.limits = (struct callerconn_limits){
    .header_bytes = 2000,
    .body_bytes = 1000,
    .header_timeout_ns = 300 * NS_PER_MS,
    .idle_timeout_ns = 2000 * NS_PER_MS,
  };
  routes_setup ();
  fake_upstream_init (&path.upstreams[path.upstream_count++], &path.loop,
                      first, first_count);
  if (second != NULL)
    fake_upstream_init (&path.upstreams[path.upstream_count++], &path.loop,
                        second, second_count);
  for (unsigned i = 0; i < path.upstream_count; i++)
    fake_path_server_add (i, path.upstreams[i].address);
  uv_timer_init (&path.loop, &path.timer);
  uv_timer_start (&path.timer, on_tick, 0, 10);
  path.answer = g_string_new (NULL);
  caller_connect ();
}

static void
close_handle (uv_handle_t *handle, void *data)
{
  if (!uv_is_closing (handle))
    uv_close (handle, NULL);
}

void
fake_path_finish (void)
{
  if (path.caller >= 0)
    close (path.caller);
  uv_timer_stop (&path.timer);
  callerserver_finish (&path.front);
  forwarder_finish (&path.forwarder);
  serverprobes_finish (&path.probes);
  streamorigin_finish (&path.origin);
  for (unsigned i = 0; i < path.upstream_count; i++)
    fake_upstream_finish (&path.upstreams[i]);
  for (int i = 0; i < 20; i++)
    uv_run (&path.loop, UV_RUN_NOWAIT);
  kvstores_finish (&path.kvstores);
  cacheretire_finish (&path.retire);
  presence_finish (&path.presence);
  poisoncount_finish (&path.poison);
  blameshare_finish (&path.blameshare);
  servers_finish (&path.servers);
  uv_walk (&path.loop, close_handle, NULL);
  uv_run (&path.loop, UV_RUN_DEFAULT);
  CU_ASSERT_EQUAL (uv_loop_close (&path.loop), 0);
  fake_kv_client_finish (&path.client);
  fake_kv_finish (&path.kv);
  metrics_finish (&path.metrics);
  g_string_free (path.answer, TRUE);
  g_string_free (path.logged, TRUE);
}

void
fake_path_caller_read (void)
{
  char bytes[4096];
  ssize_t size;

  while ((size = read (path.caller, bytes, sizeof bytes)) > 0)
    g_string_append_len (path.answer, bytes, size);
  if (size == 0 || (size < 0 && errno != EAGAIN))
    path.ended = true;
  if (size < 0 && errno == ECONNRESET)
    path.reset = true;
}

/* Run until the answer holds TEXT, the connection ends (TEXT NULL), or too
 * much time has passed. */
bool
fake_path_run_until (const char *text)
{
  int64_t end = clock_now (&path.clock) + WAIT_MS * NS_PER_MS;

  while (clock_now (&path.clock) < end)
    {
      uv_run (&path.loop, UV_RUN_NOWAIT);
      fake_path_caller_read ();
      if (text != NULL ? strstr (path.answer->str, text) != NULL : path.ended)
        return true;
      g_usleep (500);
    }
  return false;
}

int
fake_path_answer_status (void)
{
  int status = 0;

  if (fake_path_run_until ("\r\n\r\n"))
    sscanf (path.answer->str, "HTTP/1.1 %d", &status);
  return status;
}

void
fake_path_run_for (int64_t ms)
{
  int64_t end = clock_now (&path.clock) + ms * NS_PER_MS;

  while (clock_now (&path.clock) < end)
    {
      uv_run (&path.loop, UV_RUN_NOWAIT);
      g_usleep (500);
    }
}

void
fake_path_caller_send (const char *text)
{
  size_t size = strlen (text);

  CU_ASSERT_EQUAL (write (path.caller, text, size), (ssize_t)size);
}

void
fake_path_request_send (const char *target, const char *extra)
{
  char *text
      = g_strdup_printf ("POST %s HTTP/1.1\r\nHost: " FAKE_PATH_HOST "\r\n"
                         "X-Request-Id: r1\r\nX-Api-Key: key\r\n"
                         "X-Request-Deadline: 1200\r\n%s"
                         "Content-Length: 3\r\n\r\nabc",
                         target, extra);

  fake_path_caller_send (text);
  g_free (text);
}
