/* A soak of entry processes with faults from outside: soak --seed N. */
#include "soak-caller.h"
#include "soak-config.h"
#include "soak-drill.h"
#include "soak-cuts.h"
#include "soak-engine.h"
#include "soak-broken.h"
#include "soak-endless.h"
#include "soak-foreign.h"
#include "soak-pauses.h"
#include "soak-proxy.h"

#include <stdio.h>

enum
{
  HOSTS = 3,
  ENGINES = 4,
  CALLERS = 12,
  TICK_MS = 10,
  START_MS = 3000,    /* before the first fault */
  FAULT_GAP_MS = 900, /* between two faults, at most */
  FAULT_MS = 3000,    /* of one that ends by itself, at most */
  CALM_MS = 12000,    /* after the last fault */
  LONG_EVENTS = 55,   /* of a stream, where runs are long */
  LONG_EVENT_MS = 100,
  LONG_DEADLINE_MS = 15000,
  RECOVERED_MS = 4000, /* the part of it in which requests must be served */
  SERVED_PERCENT = 95  /* of the requests of that time */
};

struct world
{
  struct soak soak;
  struct soak_store store;
  struct soak_drill drill;
  struct soak_host hosts[HOSTS];
  struct soak_engine engines[ENGINES];
  struct soak_caller callers[CALLERS];
  struct soak_proxy store_proxies[HOSTS];
  struct soak_proxy engine_proxies[ENGINES];
  uv_timer_t timer;
  int64_t faults_end_ns;
  int64_t end_ns;
  int64_t next_fault_ns;
  int64_t heal_ns[HOSTS + ENGINES + 1]; /* proxies, then the store */
  unsigned config_version;
  unsigned faults;
  unsigned ended; /* requests when the last part began */
  unsigned served;
  bool is_last_part;
};

static int option_seed = 1;
static int option_seconds = 20;
static gboolean option_poison_block;
static gboolean option_limits;
static gboolean option_planned;
static gboolean option_cold;
static gboolean option_drills;
static gboolean option_cut_streams;
static gboolean option_foreign_answers;
static gboolean option_long_runs;
static gboolean option_endless;
static gboolean option_broken_answers;
static gboolean option_cut_callers;
static gboolean option_pauses;
static char *option_program = "build/trefoilspard";
static char *option_folder = "build/soak-logs";
static char *option_other_program;

static const GOptionEntry options[] = {
  { "seed", 0, 0, G_OPTION_ARG_INT, &option_seed, "Luck of the faults", "N" },
  { "seconds", 0, 0, G_OPTION_ARG_INT, &option_seconds, "Time of faults",
    "S" },
  { "planned", 0, 0, G_OPTION_ARG_NONE, &option_planned,
    "Only planned stops, reloads and changes", NULL },
  { "poison-block", 0, 0, G_OPTION_ARG_NONE, &option_poison_block,
    "Streams with a block that crashes engines, and few other faults", NULL },
  { "limits", 0, 0, G_OPTION_ARG_NONE, &option_limits,
    "Engines that state limits, pauses and an end; few other faults", NULL },
  { "cold", 0, 0, G_OPTION_ARG_NONE, &option_cold,
    "Engines that are cold when they come back, beside all faults", NULL },
  { "drills", 0, 0, G_OPTION_ARG_NONE, &option_drills,
    "A store that comes back from backups, beside kills and cuts", NULL },
  { "cut-streams", 0, 0, G_OPTION_ARG_NONE, &option_cut_streams,
    "Only streams whose first run is cut, at engines of three versions",
    NULL },
  { "foreign-answers", 0, 0, G_OPTION_ARG_NONE, &option_foreign_answers,
    "Engines that write earlier refusals once more; no other faults but "
    "changes of the configuration",
    NULL },
  { "endless", 0, 0, G_OPTION_ARG_NONE, &option_endless,
    "Engines that send bytes without end; no other faults but changes of the "
    "configuration",
    NULL },
  { "broken-answers", 0, 0, G_OPTION_ARG_NONE, &option_broken_answers,
    "Engines whose answers HTTP does not allow, and cut streams", NULL },
  { "long-runs", 0, 0, G_OPTION_ARG_NONE, &option_long_runs,
    "Runs of up to six seconds, and no other faults than planned stops",
    NULL },
  { "pauses", 0, 0, G_OPTION_ARG_NONE, &option_pauses,
    "Engines that pause in a run or have no room; only planned stops, reloads "
    "and changes",
    NULL },
  { "cut-callers", 0, 0, G_OPTION_ARG_NONE, &option_cut_callers,
    "The same, and their callers break their connections and come back at "
    "another host",
    NULL },
  { "program", 0, 0, G_OPTION_ARG_FILENAME, &option_program, "The daemon",
    "FILE" },
  { "other-program", 0, 0, G_OPTION_ARG_FILENAME, &option_other_program,
    "Another build of it, which every other start of a host runs", "FILE" },
  { "folder", 0, 0, G_OPTION_ARG_FILENAME, &option_folder,
    "Where settings and logs go", "FOLDER" },
  { NULL, 0, 0, 0, NULL, NULL, NULL },
};

static struct world world;

/* Writes the newest configuration, also once more. */
static void
config_put (void *data)
{
  soak_config_write (&world.store, world.config_version);
}

static void
config_write (void)
{
  world.config_version += soak_draw (&world.soak, 1, 3);
  config_put (NULL);
}

static struct soak_host *
any_host (void)
{
  return &world.hosts[soak_draw (&world.soak, 0, HOSTS - 1)];
}

static struct soak_engine *
any_engine (void)
{
  return &world.engines[soak_draw (&world.soak, 0, ENGINES - 1)];
}

static void
fault_stop (void)
{
  soak_host_stop (any_host ());
}

static void
fault_reload (void)
{
  soak_host_reload (any_host (), soak_draw (&world.soak, 0, 1) == 1);
}

static void
fault_config (void)
{
  soak_say (&world.soak, "the configuration changes");
  config_write ();
}

static void
fault_drain (void)
{
  soak_engine_drain (any_engine ());
}

static void
fault_kill (void)
{
  soak_host_kill (any_host ());
}

static void
fault_kill_all (void)
{
  for (int i = 0; i < HOSTS; i++)
    soak_host_kill (&world.hosts[i]);
}

static void
fault_pause (void)
{
  soak_host_pause (any_host (), soak_draw (&world.soak, 200, 5000));
}

static void
fault_crash (void)
{
  soak_engine_crash (any_engine ());
}

static void
heal_later (unsigned index)
{
  world.heal_ns[index] = clock_now (&world.soak.clock)
                         + soak_draw (&world.soak, 300, FAULT_MS) * NS_PER_MS;
}

static void
fault_link (void)
{
  unsigned index = soak_draw (&world.soak, 0, HOSTS + ENGINES - 1);
  struct soak_proxy *proxy = index < HOSTS
                                 ? &world.store_proxies[index]
                                 : &world.engine_proxies[index - HOSTS];
  enum soak_proxy_mode mode = (enum soak_proxy_mode)soak_draw (
      &world.soak, SOAK_PROXY_PASS + 1, SOAK_PROXY_MODES - 1);

  soak_say (&world.soak, "the link of %s %u turns %s",
            index < HOSTS ? "host and store" : "engine",
            index < HOSTS ? index : index - HOSTS,
            soak_proxy_mode_name (mode));
  proxy->delay_ms = soak_draw (&world.soak, 20, 300);
  soak_proxy_set_mode (proxy, mode);
  heal_later (index);
}

static void
fault_store_down (void)
{
  soak_say (&world.soak, "the store is down");
  world.store.down = true;
  heal_later (HOSTS + ENGINES);
}

static void
fault_store_lost (void)
{
  soak_say (&world.soak, "the store loses answers");
  world.store.lost = 0.3;
  heal_later (HOSTS + ENGINES);
}

static void
fault_store_compact (void)
{
  soak_say (&world.soak, "the store forgets its history");
  soak_store_compact (&world.store);
}

static void
fault_answers_lost (void)
{
  struct soak_engine *engine = any_engine ();

  engine->lost = engine->lost > 0 ? 0 : 0.1;
  soak_say (&world.soak, "engine %s loses %.0f %% of its answers", engine->id,
            100 * engine->lost);
}

/* The planned ones first. */
static void (*const faults[]) (void)
    = { fault_stop,       fault_reload,        fault_config,
        fault_drain,      fault_kill,          fault_kill_all,
        fault_pause,      fault_crash,         fault_link,
        fault_link,       fault_link,          fault_store_down,
        fault_store_lost, fault_store_compact, fault_answers_lost };

static void
fault_limit (void)
{
  struct soak_engine *engine = any_engine ();

  soak_engine_limit (
      engine, engine->limit > 0 ? 0 : soak_draw (&world.soak, 5, 80) / 10.0);
}

static void
fault_leave (void)
{
  soak_engine_leave (any_engine ());
}

static void
fault_engine_pause (void)
{
  soak_engine_pause (any_engine ());
}

/* Those that come beside engines that state limits. */
static void (*const limit_faults[]) (void)
    = { fault_limit,  fault_limit,      fault_leave,     fault_engine_pause,
        fault_config, fault_store_down, fault_store_lost };

static void
fault_drill (void)
{
  soak_drill_start (&world.drill);
}

/* Those that come beside a store that comes back from backups. */
static void (*const drill_faults[]) (void)
    = { fault_drill, fault_drill,      fault_kill,  fault_kill_all,
        fault_pause, fault_link,       fault_link,  fault_config,
        fault_drain, fault_store_lost, fault_crash, fault_store_compact,
        fault_stop };

/* Those that come beside a block that crashes engines. */
static void (*const poison_faults[]) (void)
    = { fault_config, fault_store_down, fault_store_lost, fault_crash };

enum
{
  PLANNED = 4
};

static void
fault_next (int64_t now)
{
  unsigned count = world.soak.planned_only ? PLANNED : G_N_ELEMENTS (faults);

  if (now < world.next_fault_ns || now >= world.faults_end_ns)
    return;
  world.next_fault_ns
      = now + soak_draw (&world.soak, 50, FAULT_GAP_MS) * NS_PER_MS;
  world.faults++;
  if (option_foreign_answers || option_endless || option_broken_answers)
    fault_config ();
  else if (option_long_runs)
    fault_stop ();
  else if (option_limits)
    limit_faults[soak_draw (&world.soak, 0,
                            G_N_ELEMENTS (limit_faults) - 1)]();
  else if (option_poison_block)
    poison_faults[soak_draw (&world.soak, 0,
                             G_N_ELEMENTS (poison_faults) - 1)]();
  else if (option_drills)
    drill_faults[soak_draw (&world.soak, 0,
                            G_N_ELEMENTS (drill_faults) - 1)]();
  else
    faults[soak_draw (&world.soak, 0, count - 1)]();
}

static void
heal (unsigned index)
{
  world.heal_ns[index] = 0;
  if (index < HOSTS)
    soak_proxy_set_mode (&world.store_proxies[index], SOAK_PROXY_PASS);
  else if (index < HOSTS + ENGINES)
    soak_proxy_set_mode (&world.engine_proxies[index - HOSTS],
                         SOAK_PROXY_PASS);
  else
    {
      world.store.down = false;
      world.store.lost = 0;
    }
}

static void
heal_due (int64_t now)
{
  for (unsigned i = 0; i < HOSTS + ENGINES + 1; i++)
    if (world.heal_ns[i] != 0
        && (now >= world.heal_ns[i] || now >= world.faults_end_ns))
      heal (i);
  world.soak.foreign.has_ended = now >= world.faults_end_ns;
  world.soak.endless.has_ended = now >= world.faults_end_ns;
  world.soak.broken.has_ended = now >= world.faults_end_ns;
  world.soak.pauses.has_ended = now >= world.faults_end_ns;
  if (world.soak.broken.has_ended)
    world.soak.streams.cut_after = 0;
  for (int i = 0; i < ENGINES && now >= world.faults_end_ns; i++)
    {
      world.engines[i].lost = 0;
      if (world.engines[i].limit > 0)
        soak_engine_limit (&world.engines[i], 0);
    }
}

static void
say_streams (void)
{
  struct soak_caller sum = { 0 };

  for (int i = 0; i < CALLERS; i++)
    {
      const struct soak_caller *caller = &world.callers[i];

      sum.streams += caller->streams;
      sum.streams_begun += caller->streams_begun;
      sum.returned += caller->returned;
      sum.went_on += caller->went_on;
      sum.streams_whole += caller->streams_whole;
    }
  soak_say (&world.soak,
            "%u of %u new streams began, %u of %u that were taken up went on, "
            "%u came whole",
            sum.streams_begun, sum.streams, sum.went_on, sum.returned,
            sum.streams_whole);
}

static void
totals (unsigned *ended, unsigned *served)
{
  *ended = *served = 0;
  for (int i = 0; i < CALLERS; i++)
    {
      *ended += world.callers[i].ended;
      *served += world.callers[i].served;
    }
}

static void
recovery_check (void)
{
  unsigned ended, served;

  totals (&ended, &served);
  say_streams ();
  soak_say (&world.soak, "%u faults, %u requests, %u served; %u of %u at last",
            world.faults, ended, served, served - world.served,
            ended - world.ended);
  if (option_poison_block)
    soak_say (&world.soak, "a block crashed %u engines; %u requests late",
              world.soak.poison.crashes, world.soak.poison.late);
  for (int i = 0; option_drills && i < HOSTS; i++)
    soak_host_check_config (&world.hosts[i], world.config_version);
  if (ended == world.ended
      || (served - world.served) * 100
             < (ended - world.ended) * SERVED_PERCENT)
    soak_violation (&world.soak, "requests are not served again");
}

static void
world_finish (void)
{
  recovery_check ();
  soak_foreign_check (&world.soak);
  soak_endless_say (&world.soak);
  soak_broken_say (&world.soak);
  soak_pauses_say (&world.soak);
  if (option_long_runs)
    soak_say (&world.soak,
              "of the requests sent to stopping hosts %u were served, %u "
              "refused, %u failed",
              world.soak.stops.served, world.soak.stops.refused,
              world.soak.stops.failed);
  uv_close ((uv_handle_t *)&world.timer, NULL);
  for (int i = 0; i < CALLERS; i++)
    soak_caller_finish (&world.callers[i]);
  for (int i = 0; i < HOSTS; i++)
    {
      soak_host_finish (&world.hosts[i]);
      soak_proxy_finish (&world.store_proxies[i]);
    }
  for (int i = 0; i < ENGINES; i++)
    {
      soak_engine_finish (&world.engines[i]);
      soak_proxy_finish (&world.engine_proxies[i]);
    }
  soak_store_finish (&world.store);
}

static void
on_tick (uv_timer_t *timer)
{
  int64_t now = clock_now (&world.soak.clock);

  soak_store_tick (&world.store);
  soak_drill_tick (&world.drill);
  for (int i = 0; i < HOSTS; i++)
    {
      soak_host_tick (&world.hosts[i]);
      soak_endless_check (&world.soak, &world.hosts[i]);
    }
  for (int i = 0; i < ENGINES; i++)
    soak_engine_tick (&world.engines[i]);
  fault_next (now);
  heal_due (now);
  if (!world.is_last_part && now >= world.end_ns - RECOVERED_MS * NS_PER_MS)
    {
      world.is_last_part = true;
      totals (&world.ended, &world.served);
    }
  if (now >= world.end_ns)
    world_finish ();
}

static void
parts_start (void)
{
  uint16_t store_port = soak_port_find ();

  world.soak.other_program = option_other_program;
  soak_store_init (&world.store, &world.soak, store_port);
  soak_drill_init (&world.drill, &world.soak, &world.store, config_put, NULL);
  config_write ();
  for (int i = 0; i < ENGINES; i++)
    {
      uint16_t port = soak_port_find ();
      uint16_t proxy_port;

      /* The engine listens before the next free port is sought. */
      proxy_port = soak_port_find ();
      soak_proxy_init (&world.engine_proxies[i], &world.soak, proxy_port,
                       port);
      soak_engine_init (&world.engines[i], &world.soak, &world.store, port,
                        proxy_port);
    }
  for (int i = 0; i < HOSTS; i++)
    {
      uint16_t proxy_port = soak_port_find ();

      soak_proxy_init (&world.store_proxies[i], &world.soak, proxy_port,
                       store_port);
      soak_host_init (&world.hosts[i], &world.soak, (unsigned)i,
                      option_program, option_folder, proxy_port);
    }
  for (int i = 0; i < CALLERS; i++)
    soak_caller_init (&world.callers[i], &world.soak, (unsigned)i, world.hosts,
                      HOSTS);
}

static void
world_init (void)
{
  struct soak *soak = &world.soak;

  soak_init (soak, option_seed,
             option_planned           ? "planned-"
             : option_poison_block    ? "poison-"
             : option_limits          ? "limits-"
             : option_cold            ? "cold-"
             : option_drills          ? "drills-"
             : option_foreign_answers ? "foreign-"
             : option_endless         ? "endless-"
             : option_broken_answers  ? "broken-"
             : option_long_runs       ? "long-runs-"
             : option_pauses          ? "pauses-"
                                      : "");
  soak->planned_only = option_planned || option_long_runs || option_pauses;
  soak->pauses.is_played = option_pauses;
  soak->stops.is_played = option_long_runs;
  soak->endless.is_played = option_endless;
  soak->broken.is_played = option_broken_answers;
  soak->streams.cut_after = option_broken_answers ? 1 : 0;
  if (option_long_runs)
    {
      soak->streams.events = LONG_EVENTS;
      soak->streams.event_ms = LONG_EVENT_MS;
      soak->deadline_ms = soak->route_timeout_ms = LONG_DEADLINE_MS;
    }
  soak->poison.is_sent = option_poison_block;
  soak->foreign.is_played = option_foreign_answers;
  soak->cold_engines = option_cold;
  world.next_fault_ns = soak->start_ns + START_MS * NS_PER_MS;
  world.faults_end_ns = world.next_fault_ns + option_seconds * NS_PER_S;
  world.end_ns = world.faults_end_ns + CALM_MS * NS_PER_MS;
  parts_start ();
  uv_timer_init (&soak->loop, &world.timer);
  uv_timer_start (&world.timer, on_tick, TICK_MS, TICK_MS);
}

int
main (int argc, char **argv)
{
  GOptionContext *context = g_option_context_new (NULL);
  GError *error = NULL;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "soak: %s\n", error->message);
      return 2;
    }
  g_option_context_free (context);
  g_mkdir_with_parents (option_folder, 0755);
  if (option_cut_streams || option_cut_callers)
    return soak_cuts_run (option_program, option_folder, option_seed,
                          option_cut_callers);
  world_init ();
  return soak_run (&world.soak);
}
