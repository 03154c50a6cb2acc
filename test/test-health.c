#include "health.h"
#include "liveness.h"
#include "unit.h"

#include <string.h>

enum
{
  RANDOM_CONNECTIONS = 300,
  STEP_MS = 10
};

static struct
{
  struct clock_fake clock;
  struct rng rng;
  struct liveness liveness;
  struct health health;
  int heartbeats;
  int probes;
  int cancelled_probes;
  int dead_reports;
  enum liveness_verdict verdict;
  int usability_changes;
  bool usable;
} fixture;

static void
heartbeat_sent (void *data)
{
  fixture.heartbeats++;
}

static void
liveness_probe_started (void *data)
{
  fixture.probes++;
}

static void
liveness_probe_cancelled (void *data)
{
  fixture.cancelled_probes++;
}

static void
connection_found_dead (void *data, enum liveness_verdict verdict)
{
  fixture.dead_reports++;
  fixture.verdict = verdict;
}

static const struct liveness_ops liveness_ops
    = { heartbeat_sent, liveness_probe_started, liveness_probe_cancelled,
        connection_found_dead };

static const struct liveness_settings engine_settings
    = { 0, 2 * NS_PER_S, NS_PER_S, NS_PER_S / 2 };
static const struct liveness_settings peer_settings
    = { NS_PER_S / 2, 3 * NS_PER_S / 2, NS_PER_S / 2, NS_PER_S };

static void
liveness_fixture_init (const struct liveness_settings *settings)
{
  memset (&fixture, 0, sizeof fixture);
  clock_fake_init (&fixture.clock, 1);
  rng_init (&fixture.rng, 71);
  liveness_init (&fixture.liveness, settings, &fixture.clock.clock,
                 &liveness_ops, NULL);
}

static void
liveness_advance_ms (int64_t ms)
{
  clock_fake_advance (&fixture.clock, ms * NS_PER_MS);
  liveness_tick (&fixture.liveness);
}

/* No more bytes arrive on a connection in the middle of a response, while a
 * new connection works. */
static void
test_silent_connection (void)
{
  liveness_fixture_init (&engine_settings);
  CU_ASSERT_TRUE (liveness_is_confirmed (&fixture.liveness));
  liveness_advance_ms (10000);
  CU_ASSERT_EQUAL (liveness_next_tick_ns (&fixture.liveness), CLOCK_NEVER);
  CU_ASSERT_FALSE (liveness_is_confirmed (&fixture.liveness));
  liveness_expect_bytes (&fixture.liveness, 5 * NS_PER_S);
  liveness_advance_ms (4999);
  CU_ASSERT_EQUAL (fixture.probes, 0);
  liveness_bytes_received (&fixture.liveness);
  CU_ASSERT_TRUE (liveness_is_confirmed (&fixture.liveness));
  liveness_expect_bytes (&fixture.liveness, 0);
  liveness_advance_ms (2000);
  CU_ASSERT_EQUAL (fixture.probes, 1);
  CU_ASSERT_FALSE (liveness_is_confirmed (&fixture.liveness));
  liveness_bytes_received (&fixture.liveness);
  CU_ASSERT_EQUAL (fixture.cancelled_probes, 1);
  liveness_advance_ms (2000);
  CU_ASSERT_EQUAL (fixture.probes, 2);
  liveness_probe_completed (&fixture.liveness, true);
  CU_ASSERT_EQUAL (fixture.dead_reports, 1);
  CU_ASSERT_EQUAL (fixture.verdict, LIVENESS_SILENT);
  /* A dead connection stays dead even if bytes arrive on it. */
  liveness_bytes_received (&fixture.liveness);
  CU_ASSERT_FALSE (liveness_is_confirmed (&fixture.liveness));
  CU_ASSERT_EQUAL (liveness_next_tick_ns (&fixture.liveness), CLOCK_NEVER);
}

static void
test_refused_and_unreachable (void)
{
  liveness_fixture_init (&engine_settings);
  liveness_expect_bytes (&fixture.liveness, 0);
  liveness_advance_ms (2000);
  liveness_probe_completed (&fixture.liveness, false);
  CU_ASSERT_EQUAL (fixture.verdict, LIVENESS_REFUSED);
  liveness_fixture_init (&engine_settings);
  liveness_expect_bytes (&fixture.liveness, 0);
  liveness_advance_ms (2000);
  liveness_advance_ms (1000);
  CU_ASSERT_EQUAL (fixture.verdict, LIVENESS_UNREACHABLE);
  CU_ASSERT_EQUAL (fixture.cancelled_probes, 1);
}

/* Bytes arrive on a peer connection at random times, then stop. The connection
 * must not be declared dead while the bytes arrive within the timeout, and
 * must be declared dead within two seconds after the last ones. */
static void
check_random_peer_connection (void)
{
  int64_t silent_from_ns
      = (int64_t)rng_below (&fixture.rng, 20000) * NS_PER_MS;
  int64_t last_bytes_ns = 0;
  int64_t now = 0;
  uint64_t seed = rng_next (&fixture.rng);

  liveness_fixture_init (&peer_settings);
  rng_init (&fixture.rng, seed);
  while (fixture.dead_reports == 0 && now < 30 * NS_PER_S)
    {
      liveness_advance_ms (STEP_MS);
      now = fixture.clock.now_ns;
      if (now < silent_from_ns
          && (rng_below (&fixture.rng, 100) == 0
              || now - last_bytes_ns > 1400 * NS_PER_MS))
        {
          liveness_bytes_received (&fixture.liveness);
          last_bytes_ns = now;
        }
      CU_ASSERT_TRUE (liveness_next_tick_ns (&fixture.liveness) > now
                      || fixture.dead_reports > 0);
    }
  CU_ASSERT_EQUAL (fixture.dead_reports, 1);
  CU_ASSERT_TRUE (now >= silent_from_ns);
  CU_ASSERT_TRUE (now - last_bytes_ns
                  <= 2 * NS_PER_S + NS_PER_MS * STEP_MS * 2);
  CU_ASSERT_TRUE (fixture.heartbeats
                  >= now / (NS_PER_S / 2) - 1 - now / NS_PER_S);
  CU_ASSERT_EQUAL (fixture.probes, fixture.cancelled_probes);
}

static void
test_random_peer_connections (void)
{
  liveness_fixture_init (&peer_settings);
  for (int i = 0; i < RANDOM_CONNECTIONS; i++)
    check_random_peer_connection ();
}

static void
health_probe_started (void *data, const char *name)
{
  fixture.probes++;
}

static void
health_usability_changed (void *data, const char *name, bool usable,
                          enum health_evidence evidence)
{
  fixture.usability_changes++;
  fixture.usable = usable;
}

static const struct health_ops health_ops
    = { health_probe_started, health_usability_changed };
static const struct health_settings health_settings
    = { NS_PER_S, 30 * NS_PER_S, 2 * NS_PER_S };

static void
health_fixture_init (void)
{
  liveness_fixture_init (&engine_settings);
  health_init (&fixture.health, &health_settings, &fixture.clock.clock,
               &fixture.rng, &health_ops, NULL);
}

static void
health_advance_ns (int64_t ns)
{
  clock_fake_advance (&fixture.clock, ns);
  health_tick (&fixture.health);
}

/* Each kind of evidence makes a server unusable at once; a successful probe
 * makes it usable again. */
static void
test_each_evidence (void)
{
  for (int evidence = 0; evidence < HEALTH_EVIDENCE_COUNT; evidence++)
    {
      health_fixture_init ();
      CU_ASSERT_TRUE (health_server_is_usable (&fixture.health, "e"));
      health_report_evidence (&fixture.health, "e",
                              (enum health_evidence)evidence);
      CU_ASSERT_FALSE (health_server_is_usable (&fixture.health, "e"));
      CU_ASSERT_TRUE (health_server_is_usable (&fixture.health, "f"));
      CU_ASSERT_EQUAL (fixture.usability_changes, 1);
      health_advance_ns (NS_PER_S);
      /* No probe starts while the host list marks the server as leaving. */
      CU_ASSERT_EQUAL (fixture.probes,
                       evidence == HEALTH_LISTED_LEAVING ? 0 : 1);
      health_set_listed_live (&fixture.health, "e", true);
      health_advance_ns (NS_PER_S);
      CU_ASSERT_EQUAL (fixture.probes, 1);
      health_probe_completed (&fixture.health, "e", true);
      CU_ASSERT_TRUE (health_server_is_usable (&fixture.health, "e"));
      CU_ASSERT_TRUE (fixture.usable);
      health_finish (&fixture.health);
    }
}

static void
test_leaving_server_stays_unusable (void)
{
  health_fixture_init ();
  health_report_evidence (&fixture.health, "e", HEALTH_ANNOUNCED_LEAVING);
  /* The host list lags behind: it marks the server as live at first, then as
   * leaving. */
  health_set_listed_live (&fixture.health, "e", true);
  CU_ASSERT_FALSE (health_server_is_usable (&fixture.health, "e"));
  health_advance_ns (NS_PER_S);
  health_set_listed_live (&fixture.health, "e", false);
  health_probe_completed (&fixture.health, "e", true);
  CU_ASSERT_FALSE (health_server_is_usable (&fixture.health, "e"));
  CU_ASSERT_EQUAL (health_next_tick_ns (&fixture.health), CLOCK_NEVER);
  health_forget (&fixture.health, "e");
  CU_ASSERT_TRUE (health_server_is_usable (&fixture.health, "e"));
  health_finish (&fixture.health);
}

/* Evidence that is reported during a probe overrides the result of the
 * probe. */
static void
test_evidence_during_probe (void)
{
  health_fixture_init ();
  health_report_evidence (&fixture.health, "e", HEALTH_REFUSED);
  health_advance_ns (NS_PER_S);
  health_report_evidence (&fixture.health, "e", HEALTH_ANNOUNCED_LEAVING);
  health_probe_completed (&fixture.health, "e", true);
  CU_ASSERT_FALSE (health_server_is_usable (&fixture.health, "e"));
  health_finish (&fixture.health);
}

/* The delay between probes without a reply grows up to probe_delay_max_ns. */
static void
test_probe_backoff (void)
{
  int64_t previous_wait = 0;

  health_fixture_init ();
  health_report_evidence (&fixture.health, "e", HEALTH_UNREACHABLE);
  for (int i = 0; i < 12; i++)
    {
      int64_t wait
          = health_next_tick_ns (&fixture.health) - fixture.clock.now_ns;
      int64_t max_wait = NS_PER_S << (i < 5 ? i : 5);

      CU_ASSERT_TRUE (wait <= max_wait && wait <= 30 * NS_PER_S);
      CU_ASSERT_TRUE (2 * wait >= max_wait || wait >= 15 * NS_PER_S);
      CU_ASSERT_TRUE (wait >= previous_wait || wait >= 15 * NS_PER_S);
      health_advance_ns (wait);
      CU_ASSERT_EQUAL (fixture.probes, i + 1);
      health_advance_ns (2 * NS_PER_S);
      previous_wait = wait;
    }
  health_finish (&fixture.health);
}

static const struct unit_case cases[] = {
  { "silent-connection", test_silent_connection },
  { "refused-and-unreachable", test_refused_and_unreachable },
  { "peer-lives", test_random_peer_connections },
  { "each-sign", test_each_evidence },
  { "leaving-stays-out", test_leaving_server_stays_unusable },
  { "sign-during-probe", test_evidence_during_probe },
  { "probe-backoff", test_probe_backoff },
};

int
main (void)
{
  return unit_run ("health", cases, sizeof cases / sizeof *cases);
}
