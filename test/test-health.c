#include "health.h"
#include "liveness.h"
#include "unit.h"

#include <string.h>

enum
{
  LIVES = 300,
  STEP_MS = 10
};

static struct
{
  struct clock_fake clock;
  struct rng rng;
  struct liveness liveness;
  struct health health;
  int beats;
  int probes;
  int cancels;
  int condemned;
  enum liveness_verdict verdict;
  int changes;
  bool usable;
} world;

static void
on_heartbeat (void *data)
{
  world.beats++;
}

static void
on_probe (void *data)
{
  world.probes++;
}

static void
on_cancel (void *data)
{
  world.cancels++;
}

static void
on_condemn (void *data, enum liveness_verdict verdict)
{
  world.condemned++;
  world.verdict = verdict;
}

static const struct liveness_ops liveness_ops
    = { on_heartbeat, on_probe, on_cancel, on_condemn };

static const struct liveness_settings engine_settings
    = { 0, 2 * NS_PER_S, NS_PER_S, NS_PER_S / 2 };
static const struct liveness_settings peer_settings
    = { NS_PER_S / 2, 3 * NS_PER_S / 2, NS_PER_S / 2, NS_PER_S };

static void
world_init (const struct liveness_settings *settings)
{
  memset (&world, 0, sizeof world);
  clock_fake_init (&world.clock, 1);
  rng_init (&world.rng, 71);
  liveness_init (&world.liveness, settings, &world.clock.clock, &liveness_ops,
                 NULL);
}

static void
wait_ms (int64_t ms)
{
  clock_fake_advance (&world.clock, ms * NS_PER_MS);
  liveness_tick (&world.liveness);
}

/* A connection goes silent in the middle of an answer; a fresh one works. */
static void
test_silent_connection (void)
{
  world_init (&engine_settings);
  CU_ASSERT_TRUE (liveness_is_confirmed (&world.liveness));
  wait_ms (10000);
  CU_ASSERT_EQUAL (liveness_next (&world.liveness), CLOCK_NEVER);
  CU_ASSERT_FALSE (liveness_is_confirmed (&world.liveness));
  liveness_expect_bytes (&world.liveness, 5 * NS_PER_S);
  wait_ms (4999);
  CU_ASSERT_EQUAL (world.probes, 0);
  liveness_bytes_received (&world.liveness);
  CU_ASSERT_TRUE (liveness_is_confirmed (&world.liveness));
  liveness_expect_bytes (&world.liveness, 0);
  wait_ms (2000);
  CU_ASSERT_EQUAL (world.probes, 1);
  CU_ASSERT_FALSE (liveness_is_confirmed (&world.liveness));
  liveness_bytes_received (&world.liveness);
  CU_ASSERT_EQUAL (world.cancels, 1);
  wait_ms (2000);
  CU_ASSERT_EQUAL (world.probes, 2);
  liveness_probe_completed (&world.liveness, true);
  CU_ASSERT_EQUAL (world.condemned, 1);
  CU_ASSERT_EQUAL (world.verdict, LIVENESS_SILENT);
  /* Never again, even if it speaks. */
  liveness_bytes_received (&world.liveness);
  CU_ASSERT_FALSE (liveness_is_confirmed (&world.liveness));
  CU_ASSERT_EQUAL (liveness_next (&world.liveness), CLOCK_NEVER);
}

static void
test_refused_and_unreachable (void)
{
  world_init (&engine_settings);
  liveness_expect_bytes (&world.liveness, 0);
  wait_ms (2000);
  liveness_probe_completed (&world.liveness, false);
  CU_ASSERT_EQUAL (world.verdict, LIVENESS_REFUSED);
  world_init (&engine_settings);
  liveness_expect_bytes (&world.liveness, 0);
  wait_ms (2000);
  wait_ms (1000);
  CU_ASSERT_EQUAL (world.verdict, LIVENESS_UNREACHABLE);
  CU_ASSERT_EQUAL (world.cancels, 1);
}

/* Random lives of a peer connection: never condemned while bytes come within
 * the patience, always condemned within two seconds once they stop. */
static void
peer_life (void)
{
  int64_t silent_from = (int64_t)rng_below (&world.rng, 20000) * NS_PER_MS;
  int64_t heard = 0;
  int64_t now = 0;
  uint64_t seed = rng_next (&world.rng);

  world_init (&peer_settings);
  rng_init (&world.rng, seed);
  while (world.condemned == 0 && now < 30 * NS_PER_S)
    {
      wait_ms (STEP_MS);
      now = world.clock.now_ns;
      if (now < silent_from
          && (rng_below (&world.rng, 100) == 0
              || now - heard > 1400 * NS_PER_MS))
        {
          liveness_bytes_received (&world.liveness);
          heard = now;
        }
      CU_ASSERT_TRUE (liveness_next (&world.liveness) > now
                      || world.condemned > 0);
    }
  CU_ASSERT_EQUAL (world.condemned, 1);
  CU_ASSERT_TRUE (now >= silent_from);
  CU_ASSERT_TRUE (now - heard <= 2 * NS_PER_S + NS_PER_MS * STEP_MS * 2);
  CU_ASSERT_TRUE (world.beats >= now / (NS_PER_S / 2) - 1 - now / NS_PER_S);
  CU_ASSERT_EQUAL (world.probes, world.cancels);
}

static void
test_peer_lives (void)
{
  world_init (&peer_settings);
  for (int i = 0; i < LIVES; i++)
    peer_life ();
}

static void
on_health_probe (void *data, const char *name)
{
  world.probes++;
}

static void
on_changed (void *data, const char *name, bool usable,
            enum health_evidence sign)
{
  world.changes++;
  world.usable = usable;
}

static const struct health_ops health_ops = { on_health_probe, on_changed };
static const struct health_settings health_settings
    = { NS_PER_S, 30 * NS_PER_S, 2 * NS_PER_S };

static void
health_world_init (void)
{
  world_init (&engine_settings);
  health_init (&world.health, &health_settings, &world.clock.clock, &world.rng,
               &health_ops, NULL);
}

static void
health_wait (int64_t ns)
{
  clock_fake_advance (&world.clock, ns);
  health_tick (&world.health);
}

/* Any sign takes a server out at once; a probe brings it back. */
static void
test_each_sign (void)
{
  for (int sign = 0; sign < HEALTH_EVIDENCE_COUNT; sign++)
    {
      health_world_init ();
      CU_ASSERT_TRUE (health_server_is_usable (&world.health, "e"));
      health_report_evidence (&world.health, "e", (enum health_evidence)sign);
      CU_ASSERT_FALSE (health_server_is_usable (&world.health, "e"));
      CU_ASSERT_TRUE (health_server_is_usable (&world.health, "f"));
      CU_ASSERT_EQUAL (world.changes, 1);
      health_wait (NS_PER_S);
      /* The list has to take back its word first. */
      CU_ASSERT_EQUAL (world.probes, sign == HEALTH_LISTED_LEAVING ? 0 : 1);
      health_set_listed_live (&world.health, "e", true);
      health_wait (NS_PER_S);
      CU_ASSERT_EQUAL (world.probes, 1);
      health_probe_completed (&world.health, "e", true);
      CU_ASSERT_TRUE (health_server_is_usable (&world.health, "e"));
      CU_ASSERT_TRUE (world.usable);
      health_finish (&world.health);
    }
}

static void
test_leaving_stays_out (void)
{
  health_world_init ();
  health_report_evidence (&world.health, "e", HEALTH_ANNOUNCED_LEAVING);
  /* The list lags: it still says live, then leaving. */
  health_set_listed_live (&world.health, "e", true);
  CU_ASSERT_FALSE (health_server_is_usable (&world.health, "e"));
  health_wait (NS_PER_S);
  health_set_listed_live (&world.health, "e", false);
  health_probe_completed (&world.health, "e", true);
  CU_ASSERT_FALSE (health_server_is_usable (&world.health, "e"));
  CU_ASSERT_EQUAL (health_next (&world.health), CLOCK_NEVER);
  health_forget (&world.health, "e");
  CU_ASSERT_TRUE (health_server_is_usable (&world.health, "e"));
  health_finish (&world.health);
}

/* A sign that comes while a probe is under way counts more than its answer. */
static void
test_sign_during_probe (void)
{
  health_world_init ();
  health_report_evidence (&world.health, "e", HEALTH_REFUSED);
  health_wait (NS_PER_S);
  health_report_evidence (&world.health, "e", HEALTH_ANNOUNCED_LEAVING);
  health_probe_completed (&world.health, "e", true);
  CU_ASSERT_FALSE (health_server_is_usable (&world.health, "e"));
  health_finish (&world.health);
}

/* Probes without an answer get rarer, up to the longest wait. */
static void
test_probe_backoff (void)
{
  int64_t last = 0;

  health_world_init ();
  health_report_evidence (&world.health, "e", HEALTH_UNREACHABLE);
  for (int i = 0; i < 12; i++)
    {
      int64_t wait = health_next (&world.health) - world.clock.now_ns;
      int64_t most = NS_PER_S << (i < 5 ? i : 5);

      CU_ASSERT_TRUE (wait <= most && wait <= 30 * NS_PER_S);
      CU_ASSERT_TRUE (2 * wait >= most || wait >= 15 * NS_PER_S);
      CU_ASSERT_TRUE (wait >= last || wait >= 15 * NS_PER_S);
      health_wait (wait);
      CU_ASSERT_EQUAL (world.probes, i + 1);
      health_wait (2 * NS_PER_S);
      last = wait;
    }
  health_finish (&world.health);
}

static const struct unit_case cases[] = {
  { "silent-connection", test_silent_connection },
  { "refused-and-unreachable", test_refused_and_unreachable },
  { "peer-lives", test_peer_lives },
  { "each-sign", test_each_sign },
  { "leaving-stays-out", test_leaving_stays_out },
  { "sign-during-probe", test_sign_during_probe },
  { "probe-backoff", test_probe_backoff },
};

int
main (void)
{
  return unit_run ("health", cases, sizeof cases / sizeof *cases);
}
