#include "dialect-platform.h"
#include "entry.h"
#include "entryera.h"
#include "entryevacuation.h"
#include "entryviews.h"
#include "fake-kv.h"
#include "serverevacuate.h"
#include "unit.h"

#include <string.h>

/* The parts of some entry processes that decide by the operator's keys, on one
 * KV service with a fake clock. */

enum
{
  HOSTS = 3,
  SERVERS = 6, /* two in each of the data centres z0, z1 and z2 */
  TICK_MS = 20,
  EVACUATE_MS = 5000,
  WATCH_MS = 16000, /* in which each watch ends */
  /* Time in which a watch learns of a later era: the watch that is in flight
   * ends, and the next one is refused as late. */
  ERA_MS = 2 * WATCH_MS,
  OUTER_MS = 6000
};

static struct clock_fake fake_clock;
static struct fake_kv kv;
static struct fake_kv_client clients[HOSTS];
static struct entry hosts[HOSTS];
static struct settings settings;
static bool suspended[HOSTS];
static struct rng rng;

static void
drop_event (struct log *log, const struct event_info *info, const char *text)
{
}

static void
drop_change (void *data, const struct server *server, const char *change)
{
}

static void
era_changed (void *data, uint64_t old_era, uint64_t era)
{
  struct entry *entry = data;

  if (old_era != 0)
    kvview_era_changed (&entry->operator_view);
}

/* The clock of an entry process is a part of it. */
static int64_t
entry_now (const struct clock *clock)
{
  return clock_now (&fake_clock.clock);
}

static const struct clock_ops entry_clock
    = { .now = entry_now, .boottime = entry_now };
static const struct log_ops log_ops = { drop_event };
static const struct servers_ops servers_ops = { drop_change, NULL };
static const struct kvera_ops era_ops = { era_changed };

static void
server_enter (struct entry *entry, unsigned index, uint64_t start)
{
  struct server_entry server = { .slots = 4, .started_ms = start };

  g_snprintf (server.id, sizeof server.id, "i-%u", index);
  g_strlcpy (server.service, "svc", sizeof server.service);
  g_strlcpy (server.address, "127.0.0.1:1", sizeof server.address);
  g_snprintf (server.data_centre, sizeof server.data_centre, "z%u", index / 2);
  servers_update (&entry->servers, &server, start);
}

static void
host_start (unsigned index)
{
  const struct kvview_settings view_settings = entryviews_settings (
      &hosts[index].pausewatch, &hosts[index].kvbudget.backoff.outage_end_ns);
  struct entry *entry = &hosts[index];

  memset (entry, 0, sizeof *entry);
  entry->settings = &settings;
  entry->dialect = &dialect_platform;
  entry->log = (struct log){ &log_ops, EVENT_LEVEL_DEBUG };
  entry->clock.ops = &entry_clock;
  metrics_init (&entry->metrics);
  pausewatch_init (&entry->pausewatch, &fake_clock.clock);
  fake_kv_client_init (&clients[index], &kv);
  kvera_init (&entry->kvera, &clients[index].kv, &era_ops, entry);
  kvview_init (&entry->operator_view, &entry->kvera.kv, &fake_clock.clock,
               &view_settings, "op/", &entryviews_operator_ops, entry);
  servers_init (&entry->servers, NULL, &fake_clock.clock, "z0", NS_PER_S,
                &servers_ops, NULL);
  entryevacuation_init (entry);
  for (unsigned i = 0; i < SERVERS; i++)
    server_enter (entry, i, 1);
}

static void
host_finish (unsigned index)
{
  fake_kv_client_finish (&clients[index]);
  kvview_finish (&hosts[index].operator_view);
  servers_finish (&hosts[index].servers);
  entryevacuation_finish (&hosts[index]);
  metrics_finish (&hosts[index].metrics);
}

static void
host_tick (unsigned index)
{
  struct entry *entry = &hosts[index];
  struct pausewatch_pause pause;

  if (pausewatch_tick (&entry->pausewatch, &pause))
    kvview_read_anew (&entry->operator_view, pause.from_ns);
  entryevacuation_tick (entry);
  kvview_tick (&entry->operator_view);
}

static void
run_for_ms (unsigned ms)
{
  for (unsigned past = 0; past < ms; past += TICK_MS)
    {
      clock_fake_advance (&fake_clock, TICK_MS * NS_PER_MS);
      fake_kv_step (&kv);
      for (unsigned i = 0; i < HOSTS; i++)
        if (!suspended[i])
          host_tick (i);
    }
}

static void
setup (void)
{
  clock_fake_init (&fake_clock, 100 * NS_PER_S);
  fake_kv_init (&kv, &fake_clock.clock, 1);
  kv.era = 1;
  kv.reports_deletions = true;
  rng_init (&rng, 1);
  settings.servers.evacuate_ns = EVACUATE_MS * NS_PER_MS;
  memset (suspended, 0, sizeof suspended);
  fake_kv_put (&kv, "op/other", "{}");
  for (unsigned i = 0; i < HOSTS; i++)
    host_start (i);
  run_for_ms (100);
}

static void
finish (void)
{
  for (unsigned i = 0; i < HOSTS; i++)
    host_finish (i);
  fake_kv_finish (&kv);
}

/* Returns the bits of the data centres that host INDEX would send to now. */
static unsigned
sends_to (unsigned index)
{
  const struct call call = { 0 };
  unsigned bits = 0;

  for (unsigned centre = 0; centre < SERVERS / 2; centre++)
    {
      struct choose_query query = { .service = "svc", .call = &call };
      struct choose_result result;

      for (unsigned i = 0; i < SERVERS; i++)
        {
          char id[16];

          g_snprintf (id, sizeof id, "i-%u", i);
          if (i / 2 != centre)
            query.excluded[query.excluded_count++]
                = servers_find (&hosts[index].servers, id);
        }
      choose_server (&hosts[index].servers, &choose_settings_default, &query,
                     &rng, &result);
      bits |= (unsigned)(result.server != NULL) << centre;
    }
  return bits;
}

/* Runs for MS and returns the bits of all that any host would have sent to. */
static unsigned
all_sent_to (unsigned ms)
{
  unsigned bits = 0;

  for (unsigned past = 0; past < ms; past += 100)
    {
      for (unsigned i = 0; i < HOSTS; i++)
        if (!suspended[i])
          bits |= sends_to (i);
      run_for_ms (100);
    }
  return bits;
}

/* A host sent requests to an evacuated data centre later than the time that
 * the rule allows, or did not use it afterwards. */
static void
test_evacuation (void)
{
  setup ();
  CU_ASSERT_EQUAL (all_sent_to (200), 7);
  fake_kv_put (&kv, "op/evacuate/z0", "{}");
  run_for_ms (500);
  CU_ASSERT_EQUAL (all_sent_to (30000), 6);
  fake_kv_put (&kv, "op/evacuate/z0", NULL);
  run_for_ms (500);
  for (unsigned i = 0; i < HOSTS; i++)
    CU_ASSERT_EQUAL (sends_to (i), 7);
  fake_kv_put (&kv, "op/evacuate/z0", "{}");
  fake_kv_put (&kv, "op/evacuate/z0", NULL);
  fake_kv_put (&kv, "op/evacuate/z9", "{}");
  run_for_ms (500);
  CU_ASSERT_EQUAL (sends_to (0), 7);
  finish ();
}

/* A host that was suspended or has just started sent requests to an evacuated
 * data centre before it had read the operator's keys. */
static void
test_suspended_and_started (void)
{
  for (unsigned wakes_late = 0; wakes_late < 2; wakes_late++)
    {
      setup ();
      suspended[0] = true;
      clients[0].paused = true;
      fake_kv_put (&kv, "op/evacuate/z0", "{}");
      run_for_ms (20000);
      /* Callbacks may come before the first tick, and the read may be late. */
      CU_ASSERT_EQUAL (sends_to (0), 0);
      suspended[0] = false;
      clients[0].paused = wakes_late == 0;
      CU_ASSERT_EQUAL (all_sent_to (600) & 1, 0);
      clients[0].paused = false;
      run_for_ms (100);
      CU_ASSERT_EQUAL (sends_to (0), 6);
      host_finish (1);
      host_start (1);
      CU_ASSERT_EQUAL (sends_to (1), 0);
      CU_ASSERT_EQUAL (all_sent_to (2000), 6);
      finish ();
    }
}

/* A host that was cut from the KV service sent requests to an evacuated data
 * centre for longer than the rule allows after it was back, or ended an
 * evacuation because it could not read the key. */
static void
test_cut_host (void)
{
  setup ();
  clients[0].down = true;
  run_for_ms (WATCH_MS);
  fake_kv_put (&kv, "op/evacuate/z0", "{}");
  run_for_ms (12000);
  CU_ASSERT_EQUAL (sends_to (0), 7);
  clients[0].down = false;
  run_for_ms (2000);
  CU_ASSERT_EQUAL (sends_to (0), 6);
  clients[0].down = true;
  CU_ASSERT_EQUAL (all_sent_to (90000), 6);
  clients[0].down = false;
  fake_kv_put (&kv, "op/evacuate/z0", NULL);
  run_for_ms (OUTER_MS);
  CU_ASSERT_EQUAL (sends_to (0), 7);
  finish ();
}

/* A KV service that came back from a backup without the key, or empty, ended
 * the evacuation; or one that the backup has did not end any more. */
static void
test_older_backup (void)
{
  setup ();
  fake_kv_back_up (&kv);
  fake_kv_put (&kv, "op/evacuate/z0", "{}");
  run_for_ms (1000);
  fake_kv_restore (&kv);
  run_for_ms (20);
  CU_ASSERT_EQUAL (all_sent_to (55000), 6);
  run_for_ms (ERA_MS + 10000);
  CU_ASSERT_EQUAL (all_sent_to (1000), 7);
  fake_kv_put (&kv, "op/evacuate/z1", "{}");
  run_for_ms (1000);
  fake_kv_back_up (&kv);
  fake_kv_put (&kv, "op/evacuate/z1", NULL);
  run_for_ms (1000);
  fake_kv_restore (&kv);
  run_for_ms (ERA_MS);
  CU_ASSERT_EQUAL (all_sent_to (1000), 5);
  fake_kv_put (&kv, "op/evacuate/z1", NULL);
  run_for_ms (3000);
  CU_ASSERT_EQUAL (all_sent_to (1000), 7);
  fake_kv_put (&kv, "op/evacuate/z2", "{}");
  run_for_ms (1000);
  fake_kv_back_up (&kv);
  fake_kv_restore (&kv);
  CU_ASSERT_EQUAL (all_sent_to (ERA_MS), 3);
  finish ();
}

/* Two evacuations that overlap ended each other, or a server that starts anew
 * in a data centre that is evacuated got requests. */
static void
test_overlap_beside_restarts (void)
{
  setup ();
  fake_kv_put (&kv, "op/evacuate/z0", "{}");
  run_for_ms (500);
  for (unsigned second = 0; second < SERVERS; second++)
    {
      if (second == 2)
        fake_kv_put (&kv, "op/evacuate/z1", "{}");
      if (second == 4)
        fake_kv_put (&kv, "op/evacuate/z0", NULL);
      run_for_ms (500);
      for (unsigned i = 0; i < HOSTS; i++)
        server_enter (&hosts[i], second, 2);
      CU_ASSERT_EQUAL (all_sent_to (500), second < 2 ? 6 : second < 4 ? 4 : 5);
    }
  fake_kv_put (&kv, "op/evacuate/z1", NULL);
  run_for_ms (500);
  CU_ASSERT_EQUAL (all_sent_to (500), 7);
  finish ();
}

static const struct unit_case cases[] = {
  { "evacuation", test_evacuation },
  { "suspended-and-started", test_suspended_and_started },
  { "cut-host", test_cut_host },
  { "older-backup", test_older_backup },
  { "overlap-beside-restarts", test_overlap_beside_restarts },
};

int
main (void)
{
  return unit_run ("evacuationfleet", cases, G_N_ELEMENTS (cases));
}
