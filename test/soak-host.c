#include "soak-host.h"
#include "reserveport.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define MEMORY_FOLDER "/dev/shm"

enum
{
  RESTART_MS = 300,
  /* Soaks that run at a time begin at ports of their own. */
  PORT_FIRST = 12000,
  PORTS_EACH = 60,
  PORTS_ALL = 18000,
  GRACE_S = 8 /* from SIGTERM to SIGKILL */
};

/* Find a port that is free and reserve it until the soak ends, which closes
 * the descriptor: a host or server may be down when another soak begins. */
uint16_t
soak_port_find (void)
{
  static unsigned next;

  if (next == 0)
    next = PORT_FIRST + (unsigned)getpid () * PORTS_EACH % PORTS_ALL;
  while (reserveport_hold (SOAK_IP, (uint16_t)next) < 0)
    next++;
  return (uint16_t)next++;
}

/* The file is kept in memory: on a busy disk, replacing it takes seconds, for
 * which the engines and the store, which run in this process, stand still. */
static char *
settings_path (const struct soak_host *host)
{
  if (!g_file_test (MEMORY_FOLDER, G_FILE_TEST_IS_DIR))
    return g_strdup_printf ("%s/host-%u.json", host->folder, host->number);
  return g_strdup_printf (MEMORY_FOLDER "/trefoilspar-soak-%d-host-%u.json",
                          (int)getpid (), host->number);
}

/* Replaces the file at PATH by one with TEXT, as a whole. */
static bool
file_replace (const char *path, const char *text)
{
  char *new_path = g_strconcat (path, ".new", NULL);
  FILE *file = fopen (new_path, "w");
  bool done = file != NULL && fputs (text, file) != EOF;

  if (file != NULL)
    done = fclose (file) == 0 && done;
  done = done && rename (new_path, path) == 0;
  g_free (new_path);
  return done;
}

static void
settings_write (struct soak_host *host)
{
  char *path = settings_path (host);
  char *text = g_strdup_printf (
      "{\"process\":{\"name\":\"host-%u\",\"role\":\"entry\","
      "\"data_centre\":\"z\"},\"listen\":{\"http\":\"" SOAK_IP
      ":%u\",\"directory\":\"" SOAK_IP ":%u\",\"ready\":\"" SOAK_IP
      ":%u\",\"peer\":\"" SOAK_IP ":%u\",\"metrics\":\"" SOAK_IP
      ":%u\"},\"kv\":{\"address\":[\"" SOAK_IP
      ":%u\"],\"timeout_ms\":1000,\"lease_ttl_ms\":3000,\"calls_per_s\":40},"
      "\"entries\":{\"lifetime_ms\":1000},\"timeouts\":{\"connect_ms\":250,"
      "\"progress_ms\":%u,\"stop_s\":%u},\"retry\":{\"window_s\":10,"
      "\"window_share\":0.2,\"allowance\":56},\"weights\":{\"within_ms\":8000,"
      "\"fenced\":true}}\n",
      host->number, host->front_port, host->ports[0], host->ports[1],
      host->ports[2], host->ports[3], host->store_port,
      1500 + host->settings_number % 2, GRACE_S);

  if (!file_replace (path, text))
    g_error ("cannot write %s", path);
  host->settings_number++;
  g_free (text);
  g_free (path);
}

static void
on_ended (uv_process_t *process, int64_t status, int number)
{
  struct soak_host *host = process->data;

  if (status != 0 || (number != 0 && !host->ending))
    soak_violation (host->soak,
                    "host %u ended by itself: status %d, signal %d",
                    host->number, (int)status, number);
  host->running = false;
  host->stopped = false;
  host->ending = false;
  host->kill_ns = 0;
  host->resume_ns = 0;
  host->start_ns = clock_now (&host->soak->clock) + RESTART_MS * NS_PER_MS;
  uv_close ((uv_handle_t *)process, NULL);
}

/* Returns the build that HOST runs from its next start on. */
static const char *
program_next (struct soak_host *host)
{
  bool is_other = host->soak->other_program != NULL
                  && (host->number + host->starts) % 2 == 1;

  host->starts++;
  return is_other ? host->soak->other_program : host->program;
}

static void
host_start (struct soak_host *host)
{
  const char *program = program_next (host);
  char *settings = settings_path (host);
  char *log = g_strdup_printf ("%s/host-%u.log", host->folder, host->number);
  int file = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
  char *arguments[] = { (char *)program, "-c", settings, NULL };
  uv_stdio_container_t stdio[3]
      = { { .flags = UV_IGNORE },
          { .flags = UV_INHERIT_FD, .data.fd = file },
          { .flags = UV_INHERIT_FD, .data.fd = file } };
  uv_process_options_t options = { .file = program,
                                   .args = arguments,
                                   .exit_cb = on_ended,
                                   .stdio = stdio,
                                   .stdio_count = 3 };
  int failed = uv_spawn (&host->soak->loop, &host->process, &options);

  if (failed != 0)
    g_error ("cannot start %s: %s", program, uv_strerror (failed));
  host->process.data = host;
  host->running = true;
  close (file);
  g_free (log);
  g_free (settings);
}

void
soak_host_init (struct soak_host *host, struct soak *soak, unsigned number,
                const char *program, const char *folder, uint16_t store_port)
{
  memset (host, 0, sizeof *host);
  host->soak = soak;
  g_ptr_array_add (soak->hosts, host);
  host->number = number;
  host->program = program;
  host->folder = g_strdup (folder);
  host->store_port = store_port;
  host->front_port = soak_port_find ();
  for (size_t i = 0; i < G_N_ELEMENTS (host->ports); i++)
    host->ports[i] = soak_port_find ();
  settings_write (host);
  host_start (host);
}

void
soak_host_tick (struct soak_host *host)
{
  int64_t now = clock_now (&host->soak->clock);

  if (host->resume_ns != 0 && now >= host->resume_ns)
    {
      host->resume_ns = 0;
      host->stopped = false;
      uv_process_kill (&host->process, SIGCONT);
    }
  if (host->kill_ns != 0 && now >= host->kill_ns)
    {
      soak_violation (host->soak, "host %u did not end in its grace time",
                      host->number);
      soak_host_kill (host);
    }
  if (!host->running && !host->no_more && now >= host->start_ns)
    host_start (host);
}

void
soak_host_kill (struct soak_host *host)
{
  if (!host->running)
    return;
  soak_say (host->soak, "host %u is killed", host->number);
  host->ending = true;
  host->kill_ns = 0;
  uv_process_kill (&host->process, SIGKILL);
}

void
soak_host_stop (struct soak_host *host)
{
  if (!host->running || host->stopped || host->ending)
    return;
  soak_say (host->soak, "host %u is stopped", host->number);
  host->ending = true;
  host->kill_ns = clock_now (&host->soak->clock) + GRACE_S * NS_PER_S;
  uv_process_kill (&host->process, SIGTERM);
}

void
soak_host_pause (struct soak_host *host, unsigned ms)
{
  if (!host->running || host->stopped || host->ending)
    return;
  soak_say (host->soak, "host %u is paused for %u ms", host->number, ms);
  host->stopped = true;
  host->resume_ns = clock_now (&host->soak->clock) + ms * NS_PER_MS;
  uv_process_kill (&host->process, SIGSTOP);
}

void
soak_host_reload (struct soak_host *host, bool with_signal)
{
  soak_say (host->soak, "host %u gets new settings%s", host->number,
            with_signal ? " and a signal" : "");
  settings_write (host);
  if (host->running && with_signal)
    uv_process_kill (&host->process, SIGHUP);
}

void
soak_host_check_config (const struct soak_host *host, unsigned version)
{
  char *path = g_strdup_printf ("%s/host-%u.log", host->folder, host->number);
  char *text = NULL;
  const char *line = NULL;
  unsigned in_force = 0;

  g_file_get_contents (path, &text, NULL, NULL);
  if (text != NULL)
    line = g_strrstr (text, "\"routes_in_force\"");
  if (line != NULL)
    sscanf (strstr (line, "\"version\":"), "\"version\":%u", &in_force);
  if (in_force != version)
    soak_violation (host->soak, "host %u has configuration %u instead of %u",
                    host->number, in_force, version);
  g_free (text);
  g_free (path);
}

void
soak_host_finish (struct soak_host *host)
{
  char *settings = settings_path (host);

  host->no_more = true;
  soak_host_kill (host);
  unlink (settings);
  g_free (settings);
}
