#include "stage.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

static const char *
folder (void)
{
  const char *path = getenv ("STAGE_FOLDER");

  return path != NULL ? path : g_get_tmp_dir ();
}

/* Write the settings as platform/settings.json.in gives them for the fields of
 * the deployment pawtrace-bengal. */
static char *
settings_write (const struct stage_host *host)
{
  char *path = g_strdup_printf ("%s/%s.json", folder (), host->name);
  char *text = g_strdup_printf (
      "{\"process\":{\"name\":\"%s\",\"role\":\"entry\",\"region\":\"bengal\","
      "\"data_centre\":\"%s\"},\"listen\":{\"http\":\"127.0.0.1:%u\","
      "\"directory\":\"127.0.0.1:%u\",\"ready\":\"127.0.0.1:%u\","
      "\"peer\":\"127.0.0.1:%u\",\"metrics\":\"127.0.0.1:%u\"},"
      "\"kv\":{\"address\":[\"127.0.0.1:%u\"],\"timeout_ms\":1000,"
      "\"lease_ttl_ms\":3000,\"calls_per_s\":40},"
      "\"places\":{\"regions\":{\"kolkata-north\":\"bengal\","
      "\"kolkata-south\":\"bengal\",\"howrah\":\"bengal\","
      "\"siliguri\":\"bengal\"}},\"entries\":{\"lifetime_ms\":1000},"
      "\"timeouts\":{\"connect_ms\":250,\"progress_ms\":1500,\"stop_s\":8},"
      "\"retry\":{\"window_s\":10,\"window_share\":0.2,\"allowance\":54},"
      "\"servers\":{\"heartbeat_ms\":1200,\"leave_ms\":2000},"
      "\"weights\":{\"within_ms\":6000,\"fenced\":true}}\n",
      host->name, host->zone, host->front, host->ports[0], host->ports[1],
      host->ports[2], host->ports[3], host->door.server.port);

  if (!g_file_set_contents (path, text, -1, NULL))
    exit (2);
  g_free (text);
  return path;
}

static void
program_run (const char *name, const char *settings)
{
  char *log = g_strdup_printf ("%s/%s.log", folder (), name);
  int file = open (log, O_WRONLY | O_CREAT | O_TRUNC, 0644);

  /* The process ends with this one, however that ends. */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  dup2 (file, STDOUT_FILENO);
  dup2 (file, STDERR_FILENO);
  setenv ("TREFOILSPAR_CONFIG", settings, 1);
  execl ("target/trefoilspard", "target/trefoilspard", (char *)NULL);
  _exit (127);
}

static void
host_start (struct stage_host *host, const char *name, const char *zone,
            bool relayed)
{
  char *settings;

  memset (host, 0, sizeof *host);
  g_strlcpy (host->name, name, sizeof host->name);
  g_strlcpy (host->zone, zone, sizeof host->zone);
  host->door.relayed = relayed;
  stage_door_start (&host->door);
  host->front = stage_port_find ();
  for (size_t i = 0; i < G_N_ELEMENTS (host->ports); i++)
    host->ports[i] = stage_port_find ();
  settings = settings_write (host);
  host->pid = fork ();
  if (host->pid < 0)
    exit (2);
  if (host->pid == 0)
    program_run (name, settings);
  stage_note ("%s (zone %s) is started, port %u", name, zone, host->front);
  g_free (settings);
}

void
stage_host_start (struct stage_host *host, const char *name, const char *zone)
{
  host_start (host, name, zone, false);
}

void
stage_host_start_relayed (struct stage_host *host, const char *name,
                          const char *zone)
{
  host_start (host, name, zone, true);
}

size_t
stage_host_memory (const struct stage_host *host)
{
  char *path = g_strdup_printf ("/proc/%d/statm", host->pid);
  unsigned long pages = 0;
  char *text = NULL;

  if (g_file_get_contents (path, &text, NULL, NULL))
    sscanf (text, "%*u %lu", &pages);
  g_free (text);
  g_free (path);
  return pages * (size_t)sysconf (_SC_PAGESIZE);
}

bool
stage_host_wait (const struct stage_host *host)
{
  for (int i = 0; i < 150; i++)
    {
      struct stage_message *response = stage_call (
          host->ports[1], "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", 1000);
      int status = stage_status (response);

      stage_message_free (response);
      if (status == 200)
        return true;
      stage_sleep (0.1);
    }
  stage_note ("%s does not become ready", host->name);
  return false;
}

bool
stage_host_is_running (const struct stage_host *host)
{
  return waitpid (host->pid, NULL, WNOHANG) == 0;
}

void
stage_host_kill (struct stage_host *host)
{
  if (host->pid <= 0)
    return;
  kill (host->pid, SIGKILL);
  waitpid (host->pid, NULL, 0);
  host->pid = 0;
}
