#include "soak.h"
#include "soak-host.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  DEADLINE_MS = 5000,
  ROUTE_TIMEOUT_MS = 4000,
  STREAM_EVENTS = 6,
  EVENT_MS = 15
};

void
soak_init (struct soak *soak, int seed, const char *mode)
{
  uv_loop_init (&soak->loop);
  clock_system_init (&soak->clock);
  rng_init (&soak->rng, (uint64_t)seed);
  soak->name = g_strdup_printf ("%sseed-%d", mode, seed);
  soak->start_ns = clock_now (&soak->clock);
  soak->requests
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  soak->hosts = g_ptr_array_new ();
  soak->streams.events = STREAM_EVENTS;
  soak->streams.event_ms = EVENT_MS;
  soak->deadline_ms = DEADLINE_MS;
  soak->route_timeout_ms = ROUTE_TIMEOUT_MS;
}

/* The hosts must not outlive the soak. */
static void
on_signal (uv_signal_t *signal, int number)
{
  struct soak *soak = signal->data;

  for (guint i = 0; i < soak->hosts->len; i++)
    soak_host_finish (soak->hosts->pdata[i]);
  printf ("not ok soak/%s: ended by signal %d\n", soak->name, number);
  exit (1);
}

static void
signals_start (struct soak *soak)
{
  static const int numbers[] = { SIGTERM, SIGINT };
  static uv_signal_t signals[G_N_ELEMENTS (numbers)];

  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      uv_signal_init (&soak->loop, &signals[i]);
      signals[i].data = soak;
      uv_signal_start (&signals[i], on_signal, numbers[i]);
      uv_unref ((uv_handle_t *)&signals[i]);
    }
  signal (SIGPIPE, SIG_IGN);
}

int
soak_run (struct soak *soak)
{
  signals_start (soak);
  uv_run (&soak->loop, UV_RUN_DEFAULT);
  printf ("%s soak/%s\n", soak->violations == 0 ? "ok" : "not ok", soak->name);
  return soak->violations == 0 ? 0 : 1;
}

static void
line_write (const struct soak *soak, const char *format, va_list arguments)
{
  printf ("%7.3f ",
          (double)(clock_now (&soak->clock) - soak->start_ns) / NS_PER_S);
  vprintf (format, arguments);
  printf ("\n");
  fflush (stdout);
}

void
soak_say (struct soak *soak, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  line_write (soak, format, arguments);
  va_end (arguments);
}

void
soak_violation (struct soak *soak, const char *format, ...)
{
  char *marked = g_strconcat ("BROKEN ", format, NULL);
  va_list arguments;

  soak->violations++;
  va_start (arguments, format);
  line_write (soak, marked, arguments);
  va_end (arguments);
  g_free (marked);
}

struct soak_request *
soak_request_find (struct soak *soak, const char *id)
{
  return g_hash_table_lookup (soak->requests, id);
}

unsigned
soak_draw (struct soak *soak, unsigned low, unsigned high)
{
  return low + (unsigned)(rng_uniform (&soak->rng) * (high - low + 1));
}

const char *
soak_kind_prefix (enum soak_kind kind)
{
  static const char *const prefixes[SOAK_KINDS]
      = { "/safe/", "/once/", "/stream/" };

  return prefixes[kind];
}
