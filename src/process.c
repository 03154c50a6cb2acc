#include "process.h"

#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define HELLO_EVERY_NS (500 * NS_PER_MS)
#define HELLO_TIMEOUT_NS (1500 * NS_PER_MS)
#define CLIENT_IO_TIMEOUT_MS UINT64_C (600000)
#define SERVER_IDLE_MS UINT64_C (60000)

enum
{
  KV_QUEUE_MAX = 256,
  KV_WATCH_MAX = 2
};

#define KV_WATCH_WAIT_NS (10 * NS_PER_S)
#define KV_BACKOFF_MIN_NS (100 * NS_PER_MS)
#define KV_BACKOFF_MAX_NS (5 * NS_PER_S)

static const struct configstore_settings configstore_settings = {
  .watch_wait_ns = KV_WATCH_WAIT_NS,
  .start_delay_ns = NS_PER_S,
  .backoff_min_ns = KV_BACKOFF_MIN_NS,
  .backoff_max_ns = KV_BACKOFF_MAX_NS,
};

static const struct confapply_settings confapply_settings = {
  .timeout_ns = 10 * NS_PER_S,
  .history_keep = 1000,
};

static const char *
advertised (const struct settings_address *advertise,
            const struct settings_address *listen)
{
  return advertise->text[0] != '\0' ? advertise->text : listen->text;
}

static void
fill_hello (struct process *process, Peer__Hello *hello)
{
  const struct settings *settings = process->settings;

  hello->process = (char *)settings->process.name;
  hello->role
      = (char *)(settings->process.role == ROLE_GATEWAY ? "gateway" : "shard");
  hello->data_centre = (char *)settings->process.data_centre;
  hello->peer_address
      = (char *)advertised (&settings->advertise.peer, &settings->listen.peer);
  hello->http_address
      = (char *)advertised (&settings->advertise.http, &settings->listen.http);
  hello->leaving = process->stage != PROCESS_SERVING;
}

static void
take_hello (struct process *process, const Peer__Hello *hello,
            uint64_t incarnation, uint64_t revision)
{
  struct roster_entry entry = { 0 };

  entry.id = roster_id (hello->process);
  entry.incarnation = incarnation;
  entry.config_revision = revision;
  entry.role
      = strcmp (hello->role, "gateway") == 0 ? ROLE_GATEWAY : ROLE_SHARD;
  entry.alive = true;
  entry.leaving = hello->leaving;
  g_strlcpy (entry.name, hello->process, sizeof entry.name);
  g_strlcpy (entry.data_centre, hello->data_centre, sizeof entry.data_centre);
  g_strlcpy (entry.peer_address, hello->peer_address,
             sizeof entry.peer_address);
  g_strlcpy (entry.http_address, hello->http_address,
             sizeof entry.http_address);
  roster_update (&process->roster, &entry);
}

struct hello_call
{
  struct process *process;
  char address[SETTINGS_TEXT_MAX];
};

static void
hello_answered (void *data, enum status status, const Peer__Envelope *reply)
{
  struct hello_call *call = data;
  struct roster *roster = &call->process->roster;

  if (status == STATUS_OK && reply->body_case == PEER__ENVELOPE__BODY_HELLO)
    take_hello (call->process, reply->hello, reply->incarnation,
                reply->config_revision);
  else
    for (size_t i = 0; i < roster->count; i++)
      if (strcmp (roster->entries[i].peer_address, call->address) == 0)
        roster_set_alive (roster, roster->entries[i].id, false);
  g_free (call);
}

static void
say_hello (struct process *process, const char *address)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__Hello hello = PEER__HELLO__INIT;
  struct hello_call *call = g_malloc0 (sizeof *call);

  call->process = process;
  g_strlcpy (call->address, address, sizeof call->address);
  fill_hello (process, &hello);
  envelope.body_case = PEER__ENVELOPE__BODY_HELLO;
  envelope.hello = &hello;
  peerhub_request (&process->peers, address, &envelope, HELLO_TIMEOUT_NS,
                   hello_answered, call);
}

static void
say_hellos (struct process *process)
{
  const struct settings_addresses *seeds = &process->settings->seeds;
  Peer__Hello self = PEER__HELLO__INIT;

  fill_hello (process, &self);
  take_hello (process, &self, process->incarnation, process->config_revision);
  for (unsigned i = 0; i < seeds->count; i++)
    say_hello (process, seeds->items[i].text);
}

static void
on_peer_request (void *data, struct peerlink *link,
                 const Peer__Envelope *request)
{
  struct process *process = data;
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__Hello hello = PEER__HELLO__INIT;

  if (request->body_case != PEER__ENVELOPE__BODY_HELLO)
    {
      process->role->answer (process->role_data, link, request);
      return;
    }
  take_hello (process, request->hello, request->incarnation,
              request->config_revision);
  fill_hello (process, &hello);
  reply.body_case = PEER__ENVELOPE__BODY_HELLO;
  reply.hello = &hello;
  peerlink_reply (link, request->request_id, &reply);
}

static void
on_http_request (void *data, struct httpserver_request *request)
{
  struct process *process = data;

  process->role->serve (process->role_data, request);
}

static void
on_hosts_changed (void *data)
{
  struct process *process = data;

  process->role->hosts_changed (process->role_data);
}

static void
set_stage (struct process *process, enum process_stage stage)
{
  static const char *const names[]
      = { "serving", "leaving", "finishing", "ended" };

  process->stage = stage;
  process->stage_since_ns = clock_now (&process->clock);
  log_event (&process->log, EVENT_STOP, "process=%s stage=%s",
             process->settings->process.name, names[stage]);
}

/* The address answers that name this process must have expired before it
 * takes no more connections. */
static void
step_stop (struct process *process, int64_t now)
{
  const struct settings *settings = process->settings;
  int64_t in_stage = now - process->stage_since_ns;

  if (process->stage == PROCESS_LEAVING
      && in_stage >= settings->entries.lifetime_ns)
    {
      httpserver_stop_listening (&process->server);
      set_stage (process, PROCESS_FINISHING);
    }
  else if (process->stage == PROCESS_FINISHING
           && (process->role->busy (process->role_data) == 0
               || in_stage >= settings->timeouts.stop_ns))
    {
      set_stage (process, PROCESS_ENDED);
      uv_stop (&process->loop);
    }
}

static void
on_tick (uv_timer_t *timer)
{
  struct process *process = timer->data;
  int64_t now = clock_now (&process->clock);

  if (now >= process->next_hello_ns)
    {
      process->next_hello_ns = now + HELLO_EVERY_NS;
      say_hellos (process);
    }
  if (now >= process->next_hosts_ns)
    {
      process->next_hosts_ns = now + process->settings->host_list.poll_ns;
      hostlist_poll (&process->hostlist.hostlist);
    }
  kvbudget_tick (&process->kvbudget);
  configstore_tick (&process->configstore);
  confapply_tick (&process->confapply);
  process->role->tick (process->role_data);
  step_stop (process, now);
}

static void
on_signal (uv_signal_t *signal, int number)
{
  struct process *process = signal->data;

  if (process->stage == PROCESS_SERVING)
    {
      set_stage (process, PROCESS_LEAVING);
      process->next_hello_ns = 0;
      return;
    }
  set_stage (process, PROCESS_ENDED);
  uv_stop (&process->loop);
}

static void
start_signals (struct process *process)
{
  static const int numbers[] = { SIGTERM, SIGINT };

  signal (SIGPIPE, SIG_IGN);
  for (int i = 0; i < 2; i++)
    {
      uv_signal_init (&process->loop, &process->signals[i]);
      process->signals[i].data = process;
      uv_signal_start (&process->signals[i], on_signal, numbers[i]);
    }
}

static void
on_config_in_force (void *owner, const struct config *config)
{
  struct process *process = owner;

  process->config_revision = config->revision;
  process->role->configured (process->role_data);
}

static const struct configstore_ops configstore_ops = { on_config_in_force };

static void
init_kv (struct process *process)
{
  const struct settings *settings = process->settings;
  struct kvbudget_settings budget = {
    .rate = settings->kv.calls_per_s,
    .burst = settings->kv.calls_per_s,
    .queue_max = KV_QUEUE_MAX,
    .watch_max = KV_WATCH_MAX,
    .queue_wait_ns = settings->kv.timeout_ns,
    .call_timeout_ns = settings->kv.timeout_ns + KV_WATCH_WAIT_NS,
    .backoff_min_ns = KV_BACKOFF_MIN_NS,
    .backoff_max_ns = KV_BACKOFF_MAX_NS,
  };

  kvbudget_init (&process->kvbudget, &process->kvhttp.kv, &process->clock,
                 &process->rng, &budget);
  configstore_init (&process->configstore, &configstore_settings,
                    &process->kvbudget.kv, &process->clock, &process->rng,
                    &process->log, &configstore_ops, process);
  confapply_init (&process->confapply, &confapply_settings,
                  &process->configstore);
  configstore_watch (&process->configstore, true);
}

static void
init_clients (struct process *process)
{
  const struct settings *settings = process->settings;
  size_t count = 0;

  httpclient_init (&process->httpclient, &process->loop, CLIENT_IO_TIMEOUT_MS);
  httpjson_init (&process->httpjson, &process->httpclient);
  while (count < settings->kv.address.count && count < PROCESS_KV_ADDRESSES)
    {
      process->kv_addresses[count] = settings->kv.address.items[count].text;
      count++;
    }
  kvhttp_init (&process->kvhttp, &process->httpjson, process->kv_addresses,
               count, settings->kv.timeout_ns);
  init_kv (process);
  enginehttp_init (&process->enginehttp, &process->httpclient,
                   &process->httpjson);
  storehttp_init (&process->storehttp, &process->httpjson);
  hostlist_http_init (&process->hostlist, &process->httpjson,
                      settings->host_list.address.text);
  process->hostlist.hostlist.changed = on_hosts_changed;
  process->hostlist.hostlist.data = process;
}

enum status
process_init (struct process *process, const struct settings *settings,
              const struct process_role *role, void *role_data,
              struct error *error)
{
  struct httpserver_limits limits = { 0 };
  struct timespec wall;
  enum status status;

  memset (process, 0, sizeof *process);
  process->settings = settings;
  process->role = role;
  process->role_data = role_data;
  uv_loop_init (&process->loop);
  clock_system_init (&process->clock);
  log_log4c_init (&process->log, settings->log.level);
  metrics_init (&process->metrics);
  roster_init (&process->roster);
  process->id = roster_id (settings->process.name);
  wall = clock_wall (&process->clock);
  process->incarnation = (uint64_t)wall.tv_sec * NS_PER_S + wall.tv_nsec;
  rng_init (&process->rng, process->id ^ process->incarnation);
  limits.body_bytes = settings->limits.body_bytes;
  limits.request_ms = settings->timeouts.header_ns / NS_PER_MS;
  limits.idle_ms = SERVER_IDLE_MS;
  status = httpserver_init (&process->server, &process->loop,
                            settings->listen.http.text, &limits,
                            on_http_request, process, error);
  if (status != STATUS_OK)
    return status;
  status = peerhub_init (&process->peers, &process->loop, &process->clock,
                         &process->log, settings->listen.peer.text,
                         process->incarnation, &process->config_revision,
                         on_peer_request, process, error);
  if (status != STATUS_OK)
    return status;
  init_clients (process);
  start_signals (process);
  uv_timer_init (&process->loop, &process->timer);
  process->timer.data = process;
  return STATUS_OK;
}

void
process_run (struct process *process)
{
  uv_timer_start (&process->timer, on_tick, 0, PROCESS_TICK_MS);
  log_event (
      &process->log, EVENT_START,
      "process=%s role=%s http=%s peer=%s incarnation=%" G_GUINT64_FORMAT,
      process->settings->process.name,
      process->settings->process.role == ROLE_GATEWAY ? "gateway" : "shard",
      process->settings->listen.http.text, process->settings->listen.peer.text,
      process->incarnation);
  uv_run (&process->loop, UV_RUN_DEFAULT);
}

void
process_finish (struct process *process)
{
  confapply_finish (&process->confapply);
  kvbudget_finish (&process->kvbudget);
  httpjson_finish (&process->httpjson);
  configstore_finish (&process->configstore);
  httpclient_finish (&process->httpclient);
  peerhub_finish (&process->peers);
  httpserver_finish (&process->server);
  hostlist_finish (&process->hostlist.hostlist);
  roster_finish (&process->roster);
  metrics_finish (&process->metrics);
  log_log4c_finish (&process->log);
}

static void
serve_metrics (struct process *process, struct httpserver_request *request)
{
  size_t size;
  char *text;

  metrics_set (&process->metrics, "control_bytes_in", "",
               (double)process->peers.bytes_in);
  metrics_set (&process->metrics, "control_bytes_out", "",
               (double)process->peers.bytes_out);
  metrics_set (&process->metrics, "kv_calls", "",
               (double)process->kvhttp.call_count);
  metrics_set (&process->metrics, "config_revision", "",
               (double)process->config_revision);
  text = metrics_text (&process->metrics, &size);
  httpserver_respond (request, 200, "text/plain; version=0.0.4", NULL, 0, text,
                      size);
  free (text);
}

bool
process_serve_common (struct process *process,
                      struct httpserver_request *request, bool ready)
{
  const char *path = httpserver_request_path (request);

  if (strcmp (path, "/healthz") == 0)
    httpserver_respond (request, 200, "text/plain", NULL, 0, "ok\n", 3);
  else if (strcmp (path, "/readyz") == 0 && ready)
    httpserver_respond (request, 200, "text/plain", NULL, 0, "ready\n", 6);
  else if (strcmp (path, "/readyz") == 0)
    httpserver_respond (request, 503, "text/plain", NULL, 0, "not ready\n",
                        10);
  else if (strcmp (path, "/metrics") == 0)
    serve_metrics (process, request);
  else
    return false;
  return true;
}
