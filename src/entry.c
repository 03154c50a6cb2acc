#include "entry.h"
#include "entryblame.h"
#include "entrycallers.h"
#include "entryera.h"
#include "entryevacuation.h"
#include "entryhttp.h"
#include "explainjson.h"
#include "entrykv.h"
#include "entryorigin.h"
#include "entryplaces.h"
#include "entryviews.h"
#include "entryweights.h"
#include "serverlog.h"
#include "forwardstop.h"
#include "forwardweights.h"

#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum
{
  TICK_MS = 20,
  SETTINGS_POLL_MS = 1000, /* Interval between checks of the settings file. */
  /* A stopping process accepts connections for this many lifetimes of a
   * directory response, until callers have queried the addresses again. Some
   * callers keep a response for three lifetimes. */
  LEAVE_LIFETIMES = 3,
  /* The process stops this long before timeouts.stop_s, after which it would
   * be killed, and ends what is in flight a little earlier, so that the
   * answers are sent. */
  STOP_MARGIN_MS = 400,
  END_MARGIN_MS = 600,
  ENGINE_CALL_TIMEOUT_MS = 1000,
  /* Limits on callers' requests until the operator's limits are known. */
  HEADER_BYTES_MAX = 16 * 1024,
  BODY_BYTES_MAX = 4 * 1024 * 1024,
  HEADER_TIMEOUT_MS = 5000,
  LOAD_PERIOD_MS = 150, /* Interval between load reports to other hosts. */
  IDLE_TIMEOUT_MS = 30000
};

bool
entry_is_ready (const struct entry *entry)
{
  return entry->stage == ENTRY_SERVING && entry->forwarder.routes != NULL
         && entry->servers_view.initial_read_done;
}

static void
server_changed (void *data, const struct server *server, const char *what)
{
  struct entry *entry = data;

  serverlog_changed (&entry->log, &entry->metrics, &entry->clock, server,
                     what);
}

static void
statement_ignored (void *data, const struct server *server, const char *field,
                   const char *reason)
{
  struct entry *entry = data;

  serverlog_ignored (&entry->log, &entry->metrics, server, field, reason);
}

static const struct servers_ops servers_ops
    = { server_changed, statement_ignored };

static void
query_encode (void *data, const struct server *server, GString *out)
{
  const struct entry *entry = data;
  const struct routes *routes = entry->forwarder.routes;

  entry->dialect->query_encode (
      out, routes != NULL ? routes_find_service (routes, server->entry.service)
                          : NULL);
}

static void
query_response_decode (void *data, const struct server *server, int status,
                       const struct httpfields *head,
                       struct response *response)
{
  const struct entry *entry = data;

  entry->dialect->query_response_decode (status, head, server->entry.id,
                                         response);
}

static const struct serverprobes_ops probes_ops
    = { query_encode, query_response_decode };

static bool
store_is_polled_here (void *data, const struct kvstore *store)
{
  const struct entry *entry = data;

  return storepoll_is_poller (&entry->subsets, &entry->presence, store->name);
}

static void
store_changed (void *data, const struct kvstore_update *update)
{
  struct entry *entry = data;

  peerudp_send_update (&entry->peerudp, update);
}

static const struct kvstores_ops kvstores_ops
    = { store_is_polled_here, store_changed };

static void
settings_apply (struct entry *entry)
{
  const struct settings *settings = entry->settings;
  struct forward_settings *forward = &entry->forwarder.settings;

  entry->log.threshold = (enum event_level)settings->log.level;
  forward->connect_timeout_ns = settings->timeouts.connect_ns;
  forward->silence_timeout_ns = settings->timeouts.progress_ns;
  forward->use_stores = settings->engines.use_stores;
  forwardweights_set_times (forward, settings->weights.within_ns);
  forward->retry.window_ns = settings->retry.window_ns;
  forward->retry.request_share = settings->retry.window_share;
  forward->retry.allowance = settings->retry.allowance;
  forward->queue_mode = settings->queue.mode;
  forward->queue = waitqueue_settings_default;
  forward->queue.limit = (unsigned)settings->queue.limit;
  forward->choose = choose_settings_default;
  forward->choose.prefill_tokens_per_ms = settings->engines.tokens_per_ms;
  servers_set_cold_bound (&entry->servers, settings->servers.cold_overage,
                          settings->servers.cold_tolerance);
  entry->rollout.settings.share = settings->weights.share;
  entry->rollout.settings.at_once = (unsigned)settings->weights.at_once;
  entry->rollout.settings.within_ns = settings->weights.within_ns;
  entry->rollout.settings.fenced = settings->weights.fenced;
  entryplaces_apply (entry);
}

static void
settings_reload (struct entry *entry, const char *cause)
{
  struct settings *new_settings = g_new0 (struct settings, 1);
  struct error error;
  struct stat file;

  if (stat (entry->settings_path, &file) == 0)
    entry->settings_mtime = file.st_mtim;
  if (settings_read_file (entry->settings_path, new_settings, &error)
      != STATUS_OK)
    {
      char *reason = log_escape_spaces (error.message);

      log_event (&entry->log, EVENT_SETTINGS_REFUSED, "reason=%s", reason);
      g_free (reason);
      g_free (new_settings);
      return;
    }
  /* The listeners and the KV interface keep pointers into the settings read at
   * the start, so these values do not change until a restart. */
  new_settings->listen = entry->settings->listen;
  new_settings->kv = entry->settings->kv;
  *entry->settings = *new_settings;
  g_free (new_settings);
  settings_apply (entry);
  log_event (&entry->log, EVENT_SETTINGS_RELOADED, "cause=%s", cause);
}

static void
settings_poll (struct entry *entry, int64_t now)
{
  struct stat file;

  if (now < entry->next_settings_check_ns)
    return;
  entry->next_settings_check_ns = now + SETTINGS_POLL_MS * NS_PER_MS;
  if (stat (entry->settings_path, &file) == 0
      && memcmp (&file.st_mtim, &entry->settings_mtime, sizeof file.st_mtim)
             != 0)
    settings_reload (entry, "file_changed");
}

static void
entry_begin_stop (struct entry *entry, const char *cause)
{
  if (entry->stage != ENTRY_SERVING)
    return;
  entry->stage = ENTRY_LEAVING;
  entry->stop_began_ns = clock_now (&entry->clock);
  entry->stop_span_ns = entry->settings->timeouts.stop_ns;
  log_event (&entry->log, EVENT_DRAINING, "cause=%s in_flight=%zu", cause,
             entry->forwarder.request_count);
  forwardstop_begin (&entry->forwarder, entry->stop_began_ns
                                            + entry->stop_span_ns
                                            - END_MARGIN_MS * NS_PER_MS);
  presence_leave (&entry->presence);
  rollout_stop (&entry->rollout);
  callerserver_drain (&entry->caller_server);
  callerserver_drain (&entry->host_server);
}

static void
stage_advance (struct entry *entry, int64_t now)
{
  int64_t span = now - entry->stop_began_ns;
  int64_t leave_ns = LEAVE_LIFETIMES * entry->settings->entries.lifetime_ns;
  int64_t stop_ns = entry->stop_span_ns - STOP_MARGIN_MS * NS_PER_MS;

  if (entry->stage == ENTRY_LEAVING
      && span >= MIN (leave_ns, entry->stop_span_ns / 2))
    {
      entry->stage = ENTRY_FINISHING;
      forwardstop_refuse_waiting (&entry->forwarder);
      callerserver_stop_listening (&entry->caller_server);
      callerserver_drain (&entry->caller_server);
      callerserver_stop_listening (&entry->host_server);
      callerserver_drain (&entry->host_server);
    }
  if (entry->stage == ENTRY_FINISHING && now >= entry->forwarder.end_ns)
    forwardstop_end_all (&entry->forwarder);
  if (entry->stage == ENTRY_FINISHING
      && (entry->caller_server.conn_count + entry->host_server.conn_count == 0
          || span >= stop_ns))
    {
      entry->stage = ENTRY_STOPPED;
      uv_stop (&entry->loop);
    }
}

/* Logs that this process stood still. What it believes is older by the pause
 * than its monotonic clock says, and the replies that it waited for may have
 * been lost. */
static void
pause_check (struct entry *entry)
{
  struct pausewatch_pause pause;

  if (!pausewatch_tick (&entry->pausewatch, &pause))
    return;
  entryviews_note_pause (entry, &pause);
  log_event (&entry->log, EVENT_PAUSED,
             "pause_ms=%.1f suspended_ms=%.1f in_flight=%zu waiting=%zu",
             (double)pause.span_ns / NS_PER_MS,
             (double)pause.suspended_ns / NS_PER_MS,
             entry->forwarder.request_count, entry->forwarder.waiting_count);
  metrics_add (&entry->metrics, "trefoilspar_pauses_total", "", 1);
}

static void
on_tick (uv_timer_t *timer)
{
  struct entry *entry = timer->data;
  int64_t now = clock_now (&entry->clock);

  pause_check (entry);
  entryevacuation_tick (entry);
  kvbudget_tick (&entry->kvbudget);
  entrykv_check (entry);
  weightsnews_tick (&entry->weightsnews);
  kvview_tick (&entry->operator_view);
  kvview_tick (&entry->servers_view);
  kvview_tick (&entry->hosts_view);
  presence_tick (&entry->presence);
  poisoncount_tick (&entry->poisoncount);
  blameshare_tick (&entry->blameshare);
  rollout_tick (&entry->rollout);
  entry->kvstores.serves_subsets = storepoll_serves_subsets (&entry->subsets);
  if (entry->settings->engines.use_stores)
    kvstores_tick (&entry->kvstores);
  cacheretire_tick (&entry->retire);
  cachegc_tick (&entry->cachegc);
  serverprobes_tick (&entry->probes);
  subsets_tick (&entry->subsets);
  entrypeers_tick (entry);
  peerudp_tick (&entry->peerudp);
  streamorigin_tick (&entry->origin);
  forwarder_tick (&entry->forwarder);
  settings_poll (entry, now);
  stage_advance (entry, now);
  log_json_flush (&entry->log);
}

static void
on_signal (uv_signal_t *signal, int number)
{
  struct entry *entry = signal->data;

  if (number == SIGHUP)
    settings_reload (entry, "signal");
  else if (entry->stage == ENTRY_SERVING)
    entry_begin_stop (entry, "signal");
}

static void
signals_start (struct entry *entry)
{
  static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };

  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      uv_signal_init (&entry->loop, &entry->signals[i]);
      entry->signals[i].data = entry;
      uv_signal_start (&entry->signals[i], on_signal, numbers[i]);
    }
  signal (SIGPIPE, SIG_IGN);
}

static enum status
listen_at (struct entry *entry, struct callerserver *server,
           const struct settings_address *address,
           const struct callerserver_ops *ops, struct error *error)
{
  enum status status
      = callerserver_init (server, &entry->loop, &entry->clock, address->ip,
                           address->port, ops, entry, error);

  server->limits = (struct callerconn_limits){
    .header_bytes = HEADER_BYTES_MAX,
    .body_bytes = BODY_BYTES_MAX,
    .header_timeout_ns = HEADER_TIMEOUT_MS * NS_PER_MS,
    .idle_timeout_ns = IDLE_TIMEOUT_MS * NS_PER_MS,
  };
  return status;
}

static enum status
listen_all (struct entry *entry, struct error *error)
{
  const struct settings *settings = entry->settings;
  enum status status
      = listen_at (entry, &entry->caller_server, &settings->listen.http,
                   &entrycallers_caller_ops, error);

  if (status == STATUS_OK)
    status = listen_at (entry, &entry->host_server, &settings->listen.peer,
                        &entrycallers_host_ops, error);
  if (status == STATUS_OK)
    status = listen_at (entry, &entry->directory_server,
                        &settings->listen.directory, &entryhttp_directory_ops,
                        error);
  if (status == STATUS_OK)
    status = listen_at (entry, &entry->ready_server, &settings->listen.ready,
                        &entryhttp_ready_ops, error);
  if (status == STATUS_OK)
    status
        = listen_at (entry, &entry->metrics_server, &settings->listen.metrics,
                     &entryhttp_metrics_ops, error);
  entry->metrics_server.limits.body_bytes = EXPLAINJSON_REQUEST_BYTES_MAX;
  if (status == STATUS_OK)
    status = peerudp_init (
        &entry->peerudp, &entry->loop, &entry->loadshare, &entry->kvstores,
        &entry->presence, &entry->subsets, &entry->origin, &entry->blameshare,
        &entry->clock, settings->listen.peer.ip, settings->listen.peer.port,
        LOAD_PERIOD_MS * NS_PER_MS, error);
  return status;
}

static void
entry_init_presence (struct entry *entry)
{
  const struct settings *settings = entry->settings;
  struct presence_host self = { .leaving = false };
  char *key = g_strconcat (ENTRY_HOST_PREFIX, settings->process.name, NULL);

  g_strlcpy (self.address,
             settings->advertise.http.text[0] != '\0'
                 ? settings->advertise.http.text
                 : settings->listen.http.text,
             sizeof self.address);
  g_strlcpy (self.peer, settings->listen.peer.text, sizeof self.peer);
  g_strlcpy (self.data_centre, settings->process.data_centre,
             sizeof self.data_centre);
  presence_init (&entry->presence, &entry->kvera.kv, &entry->clock, key, &self,
                 settings->kv.lease_ttl_ns);
  g_free (key);
}

/* Returns the wall-clock time of the start, which rises with each start of the
 * process unless the wall clock is set back. */
static uint64_t
process_start_ms (const struct entry *entry)
{
  struct timespec wall = clock_wall (&entry->clock);

  return (uint64_t)wall.tv_sec * 1000 + (uint64_t)wall.tv_nsec / NS_PER_MS;
}

static void
entry_init_modules (struct entry *entry)
{
  const struct settings *settings = entry->settings;
  const struct forward_settings no_settings = { 0 };
  const struct rollout_settings rollout = {
    .takeover_wait_ns = settings->kv.lease_ttl_ns,
    .call_timeout_ns = ENGINE_CALL_TIMEOUT_MS * NS_PER_MS,
  };
  char *instance_name
      = g_strdup_printf ("%s-%016" G_GINT64_MODIFIER "x",
                         settings->process.name, rng_next (&entry->rng));

  servers_init (&entry->servers, &entry->loop, &entry->clock,
                settings->process.data_centre, settings->timeouts.connect_ns,
                &servers_ops, entry);
  serverprobes_init (&entry->probes, &entry->servers, &probes_ops, entry);
  goneservers_init (&entry->goneservers, &entry->clock);
  poisoncount_init (&entry->poisoncount, &entry->kvera.kv, &entry->clock,
                    ENTRY_CRASH_PREFIX);
  entry_init_presence (entry);
  blameshare_init (&entry->blameshare, &entry->kvera.kv, &entry->clock,
                   &entry->presence, &entry->log, &entry->metrics,
                   ENTRY_BLAME_PREFIX, &entryblame_ops, entry);
  streamorigin_init (&entry->origin, &entry->clock, &entry->presence,
                     &entryorigin_ops, entry);
  entrypeers_init (&entry->peers);
  subsets_init (&entry->subsets, &entry->clock, &entry->presence,
                &entry->servers);
  loadshare_init (&entry->loadshare, &entry->servers, &entry->clock,
                  settings->process.name, process_start_ms (entry),
                  &entryweights_loadshare_ops, entry);
  kvstores_init (&entry->kvstores, &kvstores_settings_default, &entry->clock,
                 &entry->log, entry->dialect, &entry->httpjson);
  kvstores_set_ops (&entry->kvstores, &kvstores_ops, entry);
  forwarder_init (&entry->forwarder, &entry->loop, &entry->clock, &entry->rng,
                  &entry->log, &entry->metrics, entry->dialect, &no_settings,
                  &entry->servers, &entry->poisoncount, &entry->blameshare,
                  &entry->kvstores, &entry->retire, &entry->origin);
  otherhosts_init (&entry->otherhosts, &entry->presence, &entry->loadshare);
  entry->forwarder.hosts = &entry->otherhosts;
  weightsnews_init (&entry->weightsnews, &entry->servers, &entry->log,
                    &entry->operator_view, entry->forwarder.wanted_weights);
  cacheretire_init (&entry->retire, &entry->clock, &entry->log,
                    &entry->servers, &entry->presence, &entry->operator_view,
                    entry->forwarder.wanted_weights);
  rollout_init (
      &entry->rollout, &rollout, &entry->kvera.kv, &entry->clock, &entry->log,
      entry->dialect, &entry->httpjson, &entry->presence, &entry->servers,
      entry->forwarder.wanted_weights, ENTRY_LEADER_KEY, instance_name);
  cachegc_init (&entry->cachegc, &entry->clock, &entry->log, entry->dialect,
                &entry->httpjson, &entry->rollout, &entry->kvstores,
                &entry->servers, &entry->retire);
  entryevacuation_init (entry);
  g_free (instance_name);
}

static uint64_t
random_seed (const struct entry *entry)
{
  struct timespec wall = clock_wall (&entry->clock);

  return g_str_hash (entry->settings->process.name)
         ^ ((uint64_t)wall.tv_sec << 20) ^ (uint64_t)wall.tv_nsec
         ^ ((uint64_t)getpid () << 32);
}

enum status
entry_init (struct entry *entry, struct settings *settings,
            const char *settings_path, const struct dialect *dialect,
            struct error *error)
{
  struct stat file;

  memset (entry, 0, sizeof *entry);
  entry->settings = settings;
  entry->settings_path = settings_path;
  entry->dialect = dialect;
  if (stat (settings_path, &file) == 0)
    entry->settings_mtime = file.st_mtim;
  clock_system_init (&entry->clock);
  pausewatch_init (&entry->pausewatch, &entry->clock);
  rng_init (&entry->rng, random_seed (entry));
  uv_loop_init (&entry->loop);
  log_json_init (&entry->log, (enum event_level)settings->log.level,
                 settings->process.name, &entry->clock);
  metrics_init (&entry->metrics);
  entrykv_init (entry);
  entry_init_modules (entry);
  settings_apply (entry);
  signals_start (entry);
  uv_timer_init (&entry->loop, &entry->timer);
  entry->timer.data = entry;
  uv_timer_start (&entry->timer, on_tick, 0, TICK_MS);
  return listen_all (entry, error);
}

void
entry_run (struct entry *entry)
{
  log_event (&entry->log, EVENT_START, "role=entry data_centre=%s http=%s",
             entry->settings->process.data_centre,
             entry->settings->listen.http.text);
  uv_run (&entry->loop, UV_RUN_DEFAULT);
  log_event (&entry->log, EVENT_STOP,
             "reason=planned open=%zu open_hosts=%zu in_flight=%zu unsent=%zu",
             entry->caller_server.conn_count, entry->host_server.conn_count,
             entry->forwarder.request_count,
             entry->caller_server.unsent.bytes);
}

static void
close_handle (uv_handle_t *handle, void *data)
{
  if (!uv_is_closing (handle))
    uv_close (handle, NULL);
}

/* The loop calls nothing but what the parts of ENTRY still wait for. */
static void
inputs_stop (struct entry *entry)
{
  uv_timer_stop (&entry->timer);
  for (size_t i = 0; i < G_N_ELEMENTS (entry->signals); i++)
    uv_signal_stop (&entry->signals[i]);
  peerudp_finish (&entry->peerudp);
}

void
entry_finish (struct entry *entry)
{
  inputs_stop (entry);
  callerserver_finish (&entry->caller_server);
  callerserver_finish (&entry->host_server);
  callerserver_finish (&entry->directory_server);
  callerserver_finish (&entry->ready_server);
  callerserver_finish (&entry->metrics_server);
  weightsnews_finish (&entry->weightsnews);
  forwarder_finish (&entry->forwarder);
  otherhosts_finish (&entry->otherhosts);
  streamorigin_finish (&entry->origin);
  kvbudget_finish (&entry->kvbudget);
  httpjson_finish (&entry->httpjson);
  httpclient_finish (&entry->httpclient);
  cachegc_finish (&entry->cachegc);
  cacheretire_finish (&entry->retire);
  kvstores_finish (&entry->kvstores);
  rollout_finish (&entry->rollout);
  entrypeers_finish (&entry->peers);
  loadshare_finish (&entry->loadshare);
  presence_finish (&entry->presence);
  poisoncount_finish (&entry->poisoncount);
  blameshare_finish (&entry->blameshare);
  serverprobes_finish (&entry->probes);
  servers_finish (&entry->servers);
  entryevacuation_finish (entry);
  goneservers_finish (&entry->goneservers);
  kvview_finish (&entry->operator_view);
  kvview_finish (&entry->servers_view);
  kvview_finish (&entry->hosts_view);
  metrics_finish (&entry->metrics);
  uv_run (&entry->loop, UV_RUN_NOWAIT);
  uv_walk (&entry->loop, close_handle, NULL);
  uv_run (&entry->loop, UV_RUN_NOWAIT);
  log_json_finish (&entry->log);
}
