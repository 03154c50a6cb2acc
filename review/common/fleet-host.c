#include "fleet-parts.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* The entry process that the hosts run. */
#ifndef FLEET_PROGRAM
#define FLEET_PROGRAM "target/trefoilspard"
#endif

enum
{
  RESTART_MS = 300, /* from the end of a process to its next start */
  PATH_BYTES = 256
};

static void
settings_write (struct fleet_host *host)
{
  const uint16_t *ports = host->ports;
  char *text = g_strdup_printf (
      "{\"process\":{\"name\":\"front-%u\",\"role\":\"entry\","
      "\"data_centre\":\"z\"},\"listen\":{\"http\":\"" SOAK_IP
      ":%u\",\"directory\":\"" SOAK_IP ":%u\",\"ready\":\"" SOAK_IP
      ":%u\",\"peer\":\"" SOAK_IP ":%u\",\"metrics\":\"" SOAK_IP
      ":%u\"},\"kv\":{\"address\":[\"" SOAK_IP
      ":%u\"],\"timeout_ms\":1000,\"lease_ttl_ms\":3000,\"calls_per_s\":40},"
      "\"entries\":{\"lifetime_ms\":1000},\"timeouts\":{\"connect_ms\":250,"
      "\"progress_ms\":1500,\"stop_s\":8},\"retry\":{\"window_s\":10,"
      "\"window_share\":0.2,\"allowance\":54},\"servers\":{\"leave_ms\":2000},"
      "\"weights\":{\"within_ms\":6000,\"fenced\":true}}\n",
      host->number, ports[0], ports[1], ports[2], ports[3], ports[4],
      host->fleet->proxy_port);

  host->settings = g_strdup_printf ("%s/front-%u.json", host->fleet->folder,
                                    host->number);
  if (!g_file_set_contents (host->settings, text, -1, NULL))
    exit (2);
  g_free (text);
}

static void
host_ended (uv_process_t *process, int64_t status, int number)
{
  struct fleet_host *host = process->data;

  host->running = false;
  host->end_signal = number;
  host->ended_itself = !host->expects_end;
  fleet_say (host->fleet, "host %u has ended%s: status %d, signal %d",
             host->number, host->ended_itself ? " by itself" : "", (int)status,
             number);
  host->starts_ns
      = clock_now (&host->fleet->soak.clock) + RESTART_MS * NS_PER_MS;
  host->ended_count += host->ended_itself;
  host->crash_count += number != 0 && number != SIGKILL;
  uv_close ((uv_handle_t *)process, NULL);
}

static void
host_start (struct fleet_host *host)
{
  char *variable = g_strdup_printf ("TREFOILSPAR_CONFIG=%s", host->settings);
  char *log
      = g_strdup_printf ("%s/front-%u.log", host->fleet->folder, host->number);
  int file = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
  char program[] = FLEET_PROGRAM;
  char *arguments[] = { program, NULL };
  char *environment[] = { variable, NULL };
  uv_stdio_container_t stdio[3]
      = { { .flags = UV_IGNORE },
          { .flags = UV_INHERIT_FD, .data.fd = file },
          { .flags = UV_INHERIT_FD, .data.fd = file } };
  uv_process_options_t options = { .file = program,
                                   .args = arguments,
                                   .env = environment,
                                   .exit_cb = host_ended,
                                   .stdio = stdio,
                                   .stdio_count = 3 };

  memset (&host->process, 0, sizeof host->process);
  if (uv_spawn (&host->fleet->soak.loop, &host->process, &options) != 0)
    {
      fprintf (stderr, "cannot start %s\n", program);
      exit (2);
    }
  host->process.data = host;
  host->running = true;
  host->expects_end = false;
  fleet_say (host->fleet, "host %u starts", host->number);
  close (file);
  g_free (log);
  g_free (variable);
}

void
fleet_start_hosts (struct fleet *fleet)
{
  for (unsigned i = 0; i < fleet->settings.hosts; i++)
    {
      struct fleet_host *host = &fleet->hosts[i];

      host->fleet = fleet;
      host->number = i;
      for (unsigned j = 0; j < FLEET_PORTS_EACH; j++)
        host->ports[j] = port_find ();
      settings_write (host);
      host_start (host);
    }
}

void
fleet_signal (struct fleet_host *host, int number)
{
  if (!host->running)
    return;
  fleet_say (host->fleet, "host %u gets signal %d", host->number, number);
  host->expects_end = true;
  uv_process_kill (&host->process, number);
}

static double
host_memory_mb (const struct fleet_host *host)
{
  char path[PATH_BYTES];
  char *text = NULL;
  const char *line;
  double mb = 0;

  g_snprintf (path, sizeof path, "/proc/%d/status", host->process.pid);
  if (g_file_get_contents (path, &text, NULL, NULL)
      && (line = strstr (text, "VmRSS:")) != NULL)
    mb = strtod (line + 6, NULL) / 1024;
  g_free (text);
  return mb;
}

/* The platform kills a process that exceeds its memory. */
static void
memory_check (struct fleet_host *host)
{
  double mb = host->running ? host_memory_mb (host) : 0;

  host->peak_mb = MAX (host->peak_mb, mb);
  if (host->fleet->settings.memory_mb == 0
      || mb <= host->fleet->settings.memory_mb)
    return;
  fleet_say (host->fleet,
             "host %u has %.1f MB and is killed by the platform, which gives "
             "it %u MB",
             host->number, mb, host->fleet->settings.memory_mb);
  uv_process_kill (&host->process, SIGKILL);
}

/* The platform starts a process again that has ended. */
static void
host_tick (struct fleet_host *host)
{
  int64_t now = clock_now (&host->fleet->soak.clock);

  memory_check (host);
  if (!host->running && host->starts_ns != 0 && now >= host->starts_ns
      && !host->fleet->ending)
    {
      host->starts_ns = 0;
      host_start (host);
    }
}

void
fleet_tick (uv_timer_t *timer)
{
  struct fleet *fleet = timer->data;

  soak_store_tick (&fleet->store);
  for (unsigned i = 0; i < fleet->settings.hosts; i++)
    host_tick (&fleet->hosts[i]);
}
