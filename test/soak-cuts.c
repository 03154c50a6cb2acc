#include "soak-cuts.h"
#include "soak-caller.h"
#include "soak-config.h"
#include "soak-engine.h"

enum
{
  HOSTS = 2,
  ENGINES = 8,
  CALLERS = 6,
  STREAMS_EACH = 10,
  STREAMS = CALLERS * STREAMS_EACH,
  WHOLE_MIN = STREAMS * 9 / 10,
  EVENTS = 8,
  EVENT_MS = 2,
  CUT_AFTER = 3,
  /* Every stream needs a retry. The retry budget grows with the requests. */
  PLAIN_EACH = 40,
  TICK_MS = 10,
  START_MS = 3000, /* until the hosts serve */
  END_MS = 60000   /* until the callers must have ended */
};

static const unsigned software_versions[ENGINES] = { 1, 1, 1, 2, 2, 3, 3, 3 };

struct cuts
{
  struct soak soak;
  struct soak_store store;
  struct soak_host hosts[HOSTS];
  struct soak_engine engines[ENGINES];
  struct soak_caller callers[CALLERS];
  uv_timer_t timer;
  bool callers_started;
};

static struct cuts cuts;

static void
callers_start (void)
{
  cuts.callers_started = true;
  for (unsigned i = 0; i < CALLERS; i++)
    soak_caller_init (&cuts.callers[i], &cuts.soak, i, cuts.hosts, HOSTS);
}

static bool
callers_are_done (void)
{
  for (unsigned i = 0; i < CALLERS; i++)
    if (!soak_caller_is_done (&cuts.callers[i]))
      return false;
  return true;
}

static void
streams_check (void)
{
  const struct soak_streams *streams = &cuts.soak.streams;
  unsigned whole = 0;
  unsigned returned = 0;

  for (unsigned i = 0; i < CALLERS; i++)
    {
      whole += cuts.callers[i].streams_whole;
      returned += cuts.callers[i].returned;
    }
  soak_say (&cuts.soak,
            "%u of %d streams whole, %u of two versions, %u with a gap; %u "
            "runs cut, %u callers came back",
            whole, STREAMS, streams->mixed, streams->wrong, streams->cut,
            returned);
  if (streams->cut < WHOLE_MIN
      || (streams->leave_after > 0 && returned < WHOLE_MIN))
    soak_violation (&cuts.soak, "too few streams were cut");
  if (whole < WHOLE_MIN)
    soak_violation (&cuts.soak, "fewer than %d streams are whole", WHOLE_MIN);
}

static void
cuts_finish (void)
{
  streams_check ();
  uv_close ((uv_handle_t *)&cuts.timer, NULL);
  for (unsigned i = 0; i < CALLERS; i++)
    soak_caller_finish (&cuts.callers[i]);
  for (unsigned i = 0; i < HOSTS; i++)
    soak_host_finish (&cuts.hosts[i]);
  for (unsigned i = 0; i < ENGINES; i++)
    soak_engine_finish (&cuts.engines[i]);
  soak_store_finish (&cuts.store);
}

static void
on_tick (uv_timer_t *timer)
{
  int64_t passed_ns = clock_now (&cuts.soak.clock) - cuts.soak.start_ns;

  soak_store_tick (&cuts.store);
  for (unsigned i = 0; i < HOSTS; i++)
    soak_host_tick (&cuts.hosts[i]);
  if (!cuts.callers_started && passed_ns >= START_MS * NS_PER_MS)
    callers_start ();
  if (cuts.callers_started
      && (callers_are_done () || passed_ns >= END_MS * NS_PER_MS))
    cuts_finish ();
}

static void
parts_start (const char *program, const char *folder)
{
  uint16_t store_port = soak_port_find ();

  soak_store_init (&cuts.store, &cuts.soak, store_port);
  soak_config_write (&cuts.store, 1);
  for (unsigned i = 0; i < ENGINES; i++)
    {
      uint16_t port = soak_port_find ();

      soak_engine_init (&cuts.engines[i], &cuts.soak, &cuts.store, port, port);
      soak_engine_set_software (&cuts.engines[i], software_versions[i]);
    }
  for (unsigned i = 0; i < HOSTS; i++)
    soak_host_init (&cuts.hosts[i], &cuts.soak, i, program, folder,
                    store_port);
}

int
soak_cuts_run (const char *program, const char *folder, int seed,
               bool callers_leave)
{
  struct soak *soak = &cuts.soak;

  soak_init (soak, seed, callers_leave ? "cut-callers-" : "cut-streams-");
  soak->streams.events = EVENTS;
  soak->streams.event_ms = EVENT_MS;
  soak->streams.each = STREAMS_EACH;
  soak->streams.plain_each = PLAIN_EACH;
  soak->streams.cut_after = CUT_AFTER;
  soak->streams.leave_after = callers_leave ? CUT_AFTER : 0;
  parts_start (program, folder);
  uv_timer_init (&soak->loop, &cuts.timer);
  uv_timer_start (&cuts.timer, on_tick, TICK_MS, TICK_MS);
  return soak_run (soak);
}
