#include "process.h"

#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define WATCHER_CHECK_INTERVAL_NS NS_PER_S
#define CLIENT_IO_TIMEOUT_MS UINT64_C (600000)

enum
{
  KV_QUEUE_MAX = 256,
  KV_WATCH_MAX = 2,
  CONFIG_WATCHER_COUNT = 2 /* Number of processes in each data centre that
                              watch the configuration in the KV service. */
};

#define KV_WATCH_WAIT_NS (10 * NS_PER_S)
#define KV_BACKOFF_MIN_NS (100 * NS_PER_MS)
#define KV_BACKOFF_MAX_NS (5 * NS_PER_S)

static const struct configstore_settings configstore_settings = {
  .watch_timeout_ns = KV_WATCH_WAIT_NS,
  .start_delay_ns = NS_PER_S,
  .backoff_min_ns = KV_BACKOFF_MIN_NS,
  .backoff_max_ns = KV_BACKOFF_MAX_NS,
};

static const struct confapply_settings confapply_settings = {
  .timeout_ns = 10 * NS_PER_S,
  .history_revisions_max = 1000,
};

static const char *
address_to_advertise (const struct settings_address *advertise,
                      const struct settings_address *listen)
{
  return advertise->text[0] != '\0' ? advertise->text : listen->text;
}

static void
fill_member_row (const struct process *process, struct member_row *row)
{
  const struct settings *settings = process->settings;

  memset (row, 0, sizeof *row);
  row->id = process->id;
  row->incarnation = process->incarnation;
  row->role = (uint8_t)settings->process.role;
  g_strlcpy (row->name, settings->process.name, sizeof row->name);
  g_strlcpy (row->data_centre, settings->process.data_centre,
             sizeof row->data_centre);
  g_strlcpy (
      row->peer_address,
      address_to_advertise (&settings->advertise.peer, &settings->listen.peer),
      sizeof row->peer_address);
  g_strlcpy (
      row->http_address,
      address_to_advertise (&settings->advertise.http, &settings->listen.http),
      sizeof row->http_address);
}

static void
on_peer_revision (void *data, const char *address, uint64_t revision)
{
  struct process *process = data;

  confpeer_revision_announced (&process->confpeer, address, revision);
}

static void
on_server_notice (void *data, const char *server, const char *seen_by)
{
  struct process *process = data;

  if (process->notice_received != NULL)
    process->notice_received (process->role_data, server, seen_by);
}

static const struct gossip_ops gossip_ops
    = { on_peer_revision, on_server_notice };

static enum status
start_gossip (struct process *process, struct error *error)
{
  const struct settings_addresses *seeds = &process->settings->seeds;
  const char *addresses[SETTINGS_LIST_MAX];
  struct member_row self;
  enum status status;

  fill_member_row (process, &self);
  if (strlen (process->settings->process.name) >= sizeof self.name
      || strlen (process->settings->process.data_centre)
             >= sizeof self.data_centre)
    return error_set (error, STATUS_INVALID,
                      "process.name or process.data_centre is too long");
  for (unsigned i = 0; i < seeds->count; i++)
    addresses[i] = seeds->items[i].text;
  status = gossip_init (&process->gossip, &process->loop, &process->clock,
                        &process->rng, &process->log, &process->roster,
                        process->settings->listen.peer.text, &self,
                        &gossip_ops, process, error);
  if (status == STATUS_OK)
    member_set_seeds (&process->gossip.member, addresses, seeds->count);
  return status;
}

static void
on_peer_request (void *data, struct peer_conn *conn,
                 const Peer__Envelope *request)
{
  struct process *process = data;

  if (request->body_case == PEER__ENVELOPE__BODY_CONFIG_FETCH)
    confpeer_fetch_received (&process->confpeer, conn, request);
  else
    process->role->serve_peer (process->role_data, conn, request);
}

static void
on_http_request (void *data, struct httpserver_request *request)
{
  struct process *process = data;

  process->role->serve_http (process->role_data, request);
}

static void
on_hosts_changed (void *data)
{
  struct process *process = data;

  process->role->hosts_changed (process->role_data);
}

static void
enter_stage (struct process *process, enum process_stage stage)
{
  static const char *const names[]
      = { "serving", "leaving", "finishing", "ended" };

  process->stage = stage;
  process->stage_since_ns = clock_now (&process->clock);
  log_event (&process->log, EVENT_STOP, "process=%s stage=%s",
             process->settings->process.name, names[stage]);
}

static void
end_process (struct process *process)
{
  enter_stage (process, PROCESS_ENDED);
  gossip_announce_exit (&process->gossip);
  uv_stop (&process->loop);
}

/* Enters the next stage of a planned stop once it is due. Clients may connect
 * until the address responses that name this process have expired, so the
 * process stops listening only after that. */
static void
advance_stop (struct process *process, int64_t now)
{
  const struct settings *settings = process->settings;
  int64_t stage_age_ns = now - process->stage_since_ns;
  bool was_idle = process->was_idle;

  process->was_idle
      = process->role->unfinished_task_count (process->role_data) == 0
        && !httpserver_is_sending (&process->http_server);
  if (process->stage == PROCESS_LEAVING
      && stage_age_ns >= settings->entries.lifetime_ns)
    {
      httpserver_stop_listening (&process->http_server);
      process->was_idle = false;
      enter_stage (process, PROCESS_FINISHING);
    }
  /* Idle at two ticks: between them the loop has read every request that had
   * arrived at the first. */
  else if (process->stage == PROCESS_FINISHING
           && ((was_idle && process->was_idle)
               || stage_age_ns >= settings->timeouts.stop_ns))
    {
      end_process (process);
    }
}

/* Announce the revision in force once this process is ready: without one,
 * others take it for a process that can't serve yet. */
static void
announce_revision (struct process *process)
{
  if (process->config_revision > process->gossip.member.self.revision
      && process->role->is_ready (process->role_data))
    gossip_set_revision (&process->gossip, process->config_revision);
}

static void
on_tick (uv_timer_t *timer)
{
  struct process *process = timer->data;
  int64_t now = clock_now (&process->clock);

  gossip_tick (&process->gossip);
  confpeer_tick (&process->confpeer);
  if (now >= process->next_watcher_check_ns)
    {
      process->next_watcher_check_ns = now + WATCHER_CHECK_INTERVAL_NS;
      configstore_set_watching (&process->configstore,
                                member_is_among_first (&process->gossip.member,
                                                       CONFTEXT_ROOT_KEY,
                                                       CONFIG_WATCHER_COUNT));
    }
  if (now >= process->next_hosts_poll_ns)
    {
      process->next_hosts_poll_ns = now + process->settings->host_list.poll_ns;
      hostlist_poll (&process->hostlist.hostlist);
    }
  kvbudget_tick (&process->kvbudget);
  configstore_tick (&process->configstore);
  confapply_tick (&process->confapply);
  process->role->tick (process->role_data);
  announce_revision (process);
  advance_stop (process, now);
}

static void
on_signal (uv_signal_t *signal, int number)
{
  struct process *process = signal->data;

  if (process->stage == PROCESS_SERVING)
    {
      enter_stage (process, PROCESS_LEAVING);
      gossip_set_leaving (&process->gossip);
      return;
    }
  end_process (process);
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
on_config_in_force (void *data, const struct config *config)
{
  struct process *process = data;

  process->config_revision = config->revision;
  process->role->config_changed (process->role_data);
  announce_revision (process);
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
    .queue_timeout_ns = settings->kv.timeout_ns,
    .call_timeout_ns = settings->kv.timeout_ns + KV_WATCH_WAIT_NS,
    .backoff.min_ns = KV_BACKOFF_MIN_NS,
    .backoff.max_ns = KV_BACKOFF_MAX_NS,
  };

  kvbudget_init (&process->kvbudget, &process->kvhttp.kv, &process->clock,
                 &process->rng, &budget);
  configstore_init (&process->configstore, &configstore_settings,
                    &process->kvbudget.kv, &process->clock, &process->rng,
                    &process->log, &configstore_ops, process);
  confapply_init (&process->confapply, &confapply_settings,
                  &process->configstore);
  confpeer_init (&process->confpeer, &process->configstore, &process->peers,
                 &process->gossip.member, &process->clock, &process->rng);
}

static void
init_clients (struct process *process)
{
  const struct settings *settings = process->settings;
  size_t count = 0;

  httpclient_init (&process->httpclient, &process->loop, CLIENT_IO_TIMEOUT_MS);
  httpjson_init (&process->httpjson, &process->httpclient);
  while (count < settings->kv.address.count
         && count < PROCESS_KV_ADDRESSES_MAX)
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
  process->hostlist.hostlist.list_received = on_hosts_changed;
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
  log_text_init (&process->log, settings->log.level);
  metrics_init (&process->metrics);
  roster_init (&process->roster);
  process->id = roster_id_from_name (settings->process.name);
  wall = clock_wall (&process->clock);
  process->incarnation = (uint64_t)wall.tv_sec * NS_PER_S + wall.tv_nsec;
  rng_init (&process->rng, process->id ^ process->incarnation);
  limits.body_bytes = settings->limits.body_bytes;
  limits.request_timeout_ms = settings->timeouts.header_ns / NS_PER_MS;
  status = httpserver_init (&process->http_server, &process->loop,
                            settings->listen.http.text, &limits,
                            on_http_request, process, error);
  if (status != STATUS_OK)
    return status;
  status = peer_endpoint_init (
      &process->peers, &process->loop, &process->clock, &process->log,
      settings->listen.peer.text, process->incarnation,
      &process->config_revision, on_peer_request, process, error);
  if (status != STATUS_OK)
    return status;
  status = start_gossip (process, error);
  if (status != STATUS_OK)
    return status;
  init_clients (process);
  /* The other processes become known shortly after the start. A check before
   * that would always rank this process first. */
  process->next_watcher_check_ns
      = clock_now (&process->clock) + WATCHER_CHECK_INTERVAL_NS;
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
  peer_endpoint_finish (&process->peers);
  gossip_finish (&process->gossip);
  httpserver_finish (&process->http_server);
  hostlist_finish (&process->hostlist.hostlist);
  roster_finish (&process->roster);
  metrics_finish (&process->metrics);
  log_text_finish (&process->log);
}

static double
cpu_seconds (const uv_rusage_t *usage)
{
  return (double)(usage->ru_utime.tv_sec + usage->ru_stime.tv_sec)
         + (double)(usage->ru_utime.tv_usec + usage->ru_stime.tv_usec) / 1e6;
}

static void
serve_metrics (struct process *process, struct httpserver_request *request)
{
  uv_rusage_t usage;
  size_t size;
  char *text;

  metrics_set (
      &process->metrics, "control_bytes_in", "",
      (double)(process->peers.received_bytes + process->gossip.bytes_in));
  metrics_set (
      &process->metrics, "control_bytes_out", "",
      (double)(process->peers.sent_bytes + process->gossip.bytes_out));
  metrics_set (&process->metrics, "kv_calls", "",
               (double)process->kvhttp.call_count);
  uv_getrusage (&usage);
  metrics_set (&process->metrics, "process_cpu_seconds", "",
               cpu_seconds (&usage));
  metrics_set (&process->metrics, "config_revision", "",
               (double)process->config_revision);
  text = metrics_text (&process->metrics, &size);
  httpserver_respond (request, 200, "text/plain; version=0.0.4", NULL, 0, text,
                      size);
  free (text);
}

bool
process_serve_common (struct process *process,
                      struct httpserver_request *request)
{
  const char *path = httpserver_request_path (request);
  bool ready = process->role->is_ready (process->role_data);

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
