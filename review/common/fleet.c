#include "fleet-parts.h"
#include "../../test/reserveport.h"

#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  TICK_MS = 10
};

struct after
{
  uv_timer_t timer;
  struct fleet *fleet;
  void (*callback) (struct fleet *fleet);
};

void
soak_violation (struct soak *soak, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  vfprintf (stderr, format, arguments);
  va_end (arguments);
  fprintf (stderr, "\n");
  exit (2);
}

static double
now_s (const struct fleet *fleet)
{
  return (double)(clock_now (&fleet->soak.clock) - fleet->soak.start_ns)
         / NS_PER_S;
}

void
fleet_say (struct fleet *fleet, const char *format, ...)
{
  va_list arguments;

  fprintf (fleet->record, "%8.3f ", now_s (fleet));
  va_start (arguments, format);
  vfprintf (fleet->record, format, arguments);
  va_end (arguments);
  fprintf (fleet->record, "\n");
  fflush (fleet->record);
}

const char *
fleet_field (const struct callerconn *conn, const char *name)
{
  const char *value = httpfields_find (&conn->head, name);

  return value != NULL ? value : "";
}

uint16_t
port_find (void)
{
  int file = reserveport_hold (SOAK_IP, 0);

  if (file < 0)
    exit (2);
  return reserveport_number (file);
}

void
server_open (struct fleet *fleet, struct callerserver *server, uint16_t port,
             const struct callerserver_ops *ops, void *data)
{
  struct error error;

  if (callerserver_init (server, &fleet->soak.loop, &fleet->soak.clock,
                         SOAK_IP, port, ops, data, &error)
      != STATUS_OK)
    {
      fprintf (stderr, "%s\n", error.message);
      exit (2);
    }
  server->limits = (struct callerconn_limits){ 1 << 16, 1 << 22, 10 * NS_PER_S,
                                               30 * NS_PER_S };
}

static struct fleet *the_fleet;

/* No process outlives the case, however it ends. */
static void
hosts_kill (void)
{
  for (unsigned i = 0; i < the_fleet->settings.hosts; i++)
    if (the_fleet->hosts[i].running)
      uv_process_kill (&the_fleet->hosts[i].process, SIGKILL);
}

static void
on_signal (uv_signal_t *handle, int number)
{
  exit (2);
}

static void
signals_start (struct fleet *fleet)
{
  static const int numbers[] = { SIGTERM, SIGINT };
  static uv_signal_t handles[G_N_ELEMENTS (numbers)];

  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      uv_signal_init (&fleet->soak.loop, &handles[i]);
      uv_signal_start (&handles[i], on_signal, numbers[i]);
    }
}

void
fleet_init (struct fleet *fleet, const char *folder,
            const struct fleet_settings *settings)
{
  const char *trouble = getenv ("TROUBLE");
  char *record = g_strdup_printf ("%s/record.txt", folder);

  memset (fleet, 0, sizeof *fleet);
  fleet->settings = *settings;
  fleet->trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  fleet->record = fopen (record, "w");
  fleet->folder = g_dir_make_tmp ("fleet-XXXXXX", NULL);
  if (fleet->record == NULL || fleet->folder == NULL)
    exit (2);
  signal (SIGPIPE, SIG_IGN);
  the_fleet = fleet;
  atexit (hosts_kill);
  uv_loop_init (&fleet->soak.loop);
  signals_start (fleet);
  clock_system_init (&fleet->soak.clock);
  rng_init (&fleet->soak.rng, 1);
  fleet->soak.start_ns = clock_now (&fleet->soak.clock);
  fleet->requests = g_hash_table_new (g_str_hash, g_str_equal);
  fleet->order = g_ptr_array_new ();
  fleet->callers = g_ptr_array_new ();
  fleet->store_port = port_find ();
  soak_store_init (&fleet->store, &fleet->soak, fleet->store_port);
  proxy_open (fleet);
  kvstore_open (fleet);
  uv_timer_init (&fleet->soak.loop, &fleet->tick);
  fleet->tick.data = fleet;
  uv_timer_start (&fleet->tick, fleet_tick, TICK_MS, TICK_MS);
  g_free (record);
}

void
fleet_write_config (struct fleet *fleet, const char *text)
{
  fleet_say (fleet, "the operator writes op/config: %s", text);
  soak_store_put (&fleet->store, "op/config", text);
}

static void
after_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
after_due (uv_timer_t *timer)
{
  struct after *after = timer->data;

  after->callback (after->fleet);
  uv_close ((uv_handle_t *)timer, after_closed);
}

void
fleet_after (struct fleet *fleet, unsigned ms,
             void (*callback) (struct fleet *fleet))
{
  struct after *after = g_new0 (struct after, 1);

  after->fleet = fleet;
  after->callback = callback;
  after->timer.data = after;
  uv_timer_init (&fleet->soak.loop, &after->timer);
  uv_timer_start (&after->timer, after_due, ms, 0);
}

static void
fleet_end (struct fleet *fleet)
{
  fleet->ending = true;
  for (unsigned i = 0; i < fleet->settings.hosts; i++)
    if (fleet->hosts[i].running)
      {
        fleet->hosts[i].expects_end = true;
        uv_process_kill (&fleet->hosts[i].process, SIGKILL);
      }
  uv_stop (&fleet->soak.loop);
}

static void
callers_stop (struct fleet *fleet)
{
  fleet->callers_stop = true;
}

enum
{
  LAST_ANSWERS_MS = 4000 /* for the last answers, at the end of a case */
};

void
fleet_run (struct fleet *fleet, unsigned ms)
{
  fleet_after (fleet, ms - LAST_ANSWERS_MS, callers_stop);
  fleet_after (fleet, ms, fleet_end);
  uv_run (&fleet->soak.loop, UV_RUN_DEFAULT);
}

unsigned
fleet_count_lost (struct fleet *fleet, unsigned host)
{
  unsigned count = 0;

  for (guint i = 0; i < fleet->order->len; i++)
    {
      const struct fleet_request *request = fleet->order->pdata[i];

      count += request->host == host && request->kept && request->closed
               && !request->whole && request->status == 0
               && request->passed_on > 0;
    }
  return count;
}

static void
request_record (struct fleet *fleet, const struct fleet_request *request)
{
  int64_t start = fleet->soak.start_ns;

  fprintf (
      fleet->record,
      "request %s host %u tenant %s sent %.3f ended %.3f status %d%s%s%s "
      "passed_on %u begun %u completed %u%s\n",
      request->id, request->host,
      request->tenant != NULL ? request->tenant : "-",
      (double)(request->sent_ns - start) / NS_PER_S,
      request->ended_ns != 0 ? (double)(request->ended_ns - start) / NS_PER_S
                             : 0.0,
      request->status, request->whole ? " whole" : "",
      request->closed ? " closed" : "", request->gave_up ? " caller-left" : "",
      request->passed_on, request->begun, request->completed,
      request->kept ? " kept-connection" : "");
}

static void
folder_remove (const struct fleet *fleet)
{
  GDir *folder = g_dir_open (fleet->folder, 0, NULL);
  const char *name;

  while (folder != NULL && (name = g_dir_read_name (folder)) != NULL)
    {
      char *path = g_build_filename (fleet->folder, name, NULL);

      unlink (path);
      g_free (path);
    }
  if (folder != NULL)
    g_dir_close (folder);
  rmdir (fleet->folder);
}

int
fleet_finish (struct fleet *fleet, const char *rule, unsigned broken,
              unsigned allowed)
{
  unsigned served = 0;

  for (guint i = 0; i < fleet->order->len; i++)
    {
      const struct fleet_request *request = fleet->order->pdata[i];

      request_record (fleet, request);
      served += request->whole && request->status == 200;
    }
  for (unsigned i = 0; i < fleet->settings.hosts; i++)
    fprintf (fleet->record, "host %u: at most %.1f MB\n", i,
             fleet->hosts[i].peak_mb);
  fprintf (fleet->record,
           "trouble %d, %u requests, %u served, %s: %u, "
           "allowed %u: %s\n",
           fleet->trouble, fleet->order->len, served, rule, broken, allowed,
           served == 0         ? "could not run"
           : broken <= allowed ? "held"
                               : "broken");
  fclose (fleet->record);
  if (getenv ("KEEP_LOGS") == NULL)
    folder_remove (fleet);
  printf ("trouble %d: %u served, %s: %u, allowed %u\n", fleet->trouble,
          served, rule, broken, allowed);
  if (served == 0)
    return 2;
  return broken <= allowed ? 0 : 1;
}
