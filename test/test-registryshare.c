#include "registryshare.h"
#include "rng.h"
#include "unit.h"

#include <string.h>

enum
{
  HOSTS = 10,
  TICK_MS = 20,
  PAUSE_MS = 2000,
  /* A change is known everywhere within the pause, and what a report, a tick
   * and a call take. */
  /* Reads of a host and minute that has no others. */
  READS_MAX = 60000 / PAUSE_MS + 1,
  KNOWN_WITHIN_MS = PAUSE_MS + 150,
  RUN_S = 120,
  CHANGE_EVERY_MS = 3700
};

/* What befalls some hosts, or all datagrams. */
struct faults
{
  unsigned lost_percent;
  unsigned dead;    /* These hosts send nothing and read nothing. */
  unsigned cut;     /* These reach the other hosts but not the KV service. */
  unsigned old;     /* These neither send nor understand reports. */
  int64_t delay_ms; /* By which reports are late after a while. */
};

struct reader
{
  struct registryshare share;
  uint64_t revision;
  int64_t next_ns;
  unsigned calls;
};

static struct clock_fake fake_clock;
static struct rng rng;
static struct reader readers[HOSTS];
static uint64_t revision;
static uint64_t changed_at;
static int64_t changed_ns;

struct late_report
{
  int64_t due_ns;
  unsigned to;
  size_t size;
  uint8_t bytes[REGISTRYSHARE_BYTES_MAX];
};

static GArray *reports;

static void
hosts_init (void)
{
  clock_fake_init (&fake_clock, 1000 * NS_PER_S);
  rng_init (&rng, 5);
  revision = changed_at = 1;
  changed_ns = clock_now (&fake_clock.clock);
  memset (readers, 0, sizeof readers);
  reports = g_array_new (FALSE, FALSE, sizeof (struct late_report));
  for (unsigned i = 0; i < HOSTS; i++)
    {
      registryshare_init (&readers[i].share, &fake_clock.clock, i + 1);
      registryshare_set_rank (&readers[i].share, i, HOSTS);
    }
}

static void
hosts_finish (void)
{
  for (unsigned i = 0; i < HOSTS; i++)
    registryshare_finish (&readers[i].share);
  g_array_free (reports, TRUE);
}

/* Read the registry, in which entries are renewed all the time. */
static void
host_read (struct reader *reader)
{
  int64_t now = clock_now (&fake_clock.clock);

  reader->calls++;
  reader->next_ns = now + registryshare_least_pause_ns (PAUSE_MS * NS_PER_MS);
  registryshare_changed (&reader->share, changed_at);
  reader->revision = ++revision;
  registryshare_read (&reader->share, now);
}

static void
report_send (unsigned from, const struct faults *faults, bool late)
{
  struct late_report report = { 0 };
  int64_t delay_ms = late ? faults->delay_ms : 0;

  report.size = registryshare_encode (&readers[from].share, report.bytes);
  report.due_ns = clock_now (&fake_clock.clock) + delay_ms * NS_PER_MS;
  for (report.to = 0; report.size > 0 && report.to < HOSTS; report.to++)
    if (report.to != from && rng_next (&rng) % 100 >= faults->lost_percent)
      g_array_append_val (reports, report);
}

static void
reports_deliver (const struct faults *faults)
{
  for (guint i = reports->len; i-- > 0;)
    {
      struct late_report *report
          = &g_array_index (reports, struct late_report, i);

      if (report->due_ns > clock_now (&fake_clock.clock))
        continue;
      if (report->to >= faults->old)
        CU_ASSERT_TRUE (registryshare_receive (&readers[report->to].share,
                                               report->bytes, report->size));
      g_array_remove_index_fast (reports, i);
    }
}

static void
host_tick (unsigned index, const struct faults *faults, bool late)
{
  struct reader *reader = &readers[index];

  if (index < faults->dead)
    return;
  if (clock_now (&fake_clock.clock) >= reader->next_ns && index >= faults->cut
      && !registryshare_may_wait (&reader->share, reader->revision,
                                  PAUSE_MS * NS_PER_MS))
    host_read (reader);
  if (index >= faults->old)
    report_send (index, faults, late);
}

/* Whether all hosts that reach the KV service know the last change in time. */
static bool
change_is_known (const struct faults *faults)
{
  if (clock_now (&fake_clock.clock) - changed_ns < KNOWN_WITHIN_MS * NS_PER_MS)
    return true;
  for (unsigned i = MAX (faults->dead, faults->cut); i < HOSTS; i++)
    if (readers[i].revision < changed_at)
      return false;
  return true;
}

/* Returns the number of calls of a host that reaches the KV service, for each
 * minute. Faults begin after a quarter of the time. */
static double
calls_per_minute (const struct faults *faults)
{
  static const struct faults none = { 0 };
  unsigned calls = 0;
  unsigned late = 0;

  hosts_init ();
  for (int64_t ms = 0; ms < RUN_S * 1000; ms += TICK_MS)
    {
      const struct faults *now
          = ms < RUN_S * 250 && faults->old == 0 ? &none : faults;

      if (ms % CHANGE_EVERY_MS < TICK_MS)
        {
          changed_at = ++revision;
          changed_ns = clock_now (&fake_clock.clock);
        }
      reports_deliver (now);
      for (unsigned i = 0; i < HOSTS; i++)
        host_tick (i, now, now == faults);
      late += !change_is_known (now);
      clock_fake_advance (&fake_clock, TICK_MS * NS_PER_MS);
    }
  CU_ASSERT_EQUAL (late, 0);
  for (unsigned i = HOSTS / 2; i < HOSTS; i++)
    calls += readers[i].calls;
  hosts_finish ();
  return calls / (HOSTS / 2.0) * 60 / RUN_S;
}

/* Each host of a large fleet read the registry every two seconds, 24 times in
 * a day of a minute, although nothing but renewals had changed. */
static void
test_calm_hosts_take_turns (void)
{
  struct faults calm = { 0 };
  double calls;

  hosts_init ();
  for (int64_t ms = 0; ms < 60000; ms += TICK_MS)
    {
      reports_deliver (&calm);
      for (unsigned i = 0; i < HOSTS; i++)
        host_tick (i, &calm, false);
      clock_fake_advance (&fake_clock, TICK_MS * NS_PER_MS);
    }
  calls = 0;
  for (unsigned i = 0; i < HOSTS; i++)
    calls += readers[i].calls;
  hosts_finish ();
  printf ("# %.1f reads a host and minute\n", calls / HOSTS);
  CU_ASSERT_TRUE (calls / HOSTS <= 8);
}

/* A change has to be known to each host as soon as if it read by itself,
 * whatever becomes of the reports and their senders. */
static void
test_changes_are_known_in_time (void)
{
  static const struct faults cases[]
      = { { .lost_percent = 0 },
          { .lost_percent = 30 },
          { .lost_percent = 90 },
          { .lost_percent = 100 },
          { .dead = 4 },
          { .cut = 4 },
          { .cut = 5, .lost_percent = 30 },
          { .old = 5 },
          { .delay_ms = 3000 },
          { .delay_ms = 900, .lost_percent = 30 } };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      double calls = calls_per_minute (&cases[i]);

      printf ("# case %u: %.1f reads a host and minute\n", i, calls);
      CU_ASSERT_TRUE (calls <= READS_MAX);
    }
}

/* Revisions of a service that came back from a backup are lower than those
 * that were reported before. */
static void
test_older_era_is_forgotten (void)
{
  struct faults calm = { 0 };

  hosts_init ();
  readers[1].share.told_change = 1000;
  CU_ASSERT_FALSE (
      registryshare_may_wait (&readers[1].share, 5, PAUSE_MS * NS_PER_MS));
  registryshare_era_changed (&readers[1].share);
  for (unsigned i = 0; i < 2; i++)
    {
      host_read (&readers[0]);
      report_send (0, &calm, false);
      reports_deliver (&calm);
      CU_ASSERT_EQUAL (registryshare_may_wait (&readers[1].share, revision,
                                               PAUSE_MS * NS_PER_MS),
                       i == 1);
    }
  hosts_finish ();
}

/* A read of which the reply took long told what was so when it began. */
static void
test_slow_read_counts_from_its_start (void)
{
  struct faults calm = { 0 };
  int64_t pause_ns = PAUSE_MS * NS_PER_MS;

  hosts_init ();
  host_read (&readers[0]);
  report_send (0, &calm, false);
  reports_deliver (&calm);
  clock_fake_advance (&fake_clock, pause_ns);
  registryshare_read (&readers[0].share,
                      clock_now (&fake_clock.clock) - pause_ns / 2);
  report_send (0, &calm, false);
  reports_deliver (&calm);
  CU_ASSERT_TRUE (
      registryshare_may_wait (&readers[5].share, revision, pause_ns));
  clock_fake_advance (&fake_clock, pause_ns / 2);
  CU_ASSERT_FALSE (
      registryshare_may_wait (&readers[5].share, revision, pause_ns));
  hosts_finish ();
}

/* Bytes that are no report changed something. */
static void
test_malformed_reports (void)
{
  uint8_t bytes[REGISTRYSHARE_BYTES_MAX];

  hosts_init ();
  memset (bytes, 0xff, sizeof bytes);
  for (size_t size = 1; size <= sizeof bytes; size++)
    CU_ASSERT_FALSE (registryshare_receive (&readers[0].share, bytes, size));
  CU_ASSERT_EQUAL (readers[0].share.others_read_ns, 0);
  hosts_finish ();
}

static const struct unit_case cases[] = {
  { "calm-hosts-take-turns", test_calm_hosts_take_turns },
  { "changes-are-known-in-time", test_changes_are_known_in_time },
  { "older-era-is-forgotten", test_older_era_is_forgotten },
  { "slow-read-counts-from-its-start", test_slow_read_counts_from_its_start },
  { "malformed-reports", test_malformed_reports },
};

int
main (void)
{
  return unit_run ("registryshare", cases, G_N_ELEMENTS (cases));
}
