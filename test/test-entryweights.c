#include "entryviews.h"
#include "entryweights.h"
#include "fake-path.h"
#include "forwardweights.h"
#include "unit.h"

static const struct fake_upstream_step no_response
    = { "", FAKE_UPSTREAM_KEEP };

/* Returns how old version 2 counts as for the forwarder. */
static int64_t
age_ms (void)
{
  return forwarder_wanted_age_ns (&path.forwarder, "m") / NS_PER_MS;
}

static void
setup (void)
{
  fake_path_setup (&no_response, 1, NULL, 0);
  forwardweights_set_times (&path.forwarder.settings, 6 * NS_PER_S);
}

/* A version is as old as the view says. */
static void
test_learned_from_the_view (void)
{
  struct kvview view = { .initial_read_done = true };

  setup ();
  view.written_since_ns = clock_boottime (&path.clock) - 3 * NS_PER_S;
  CU_ASSERT_TRUE (entryweights_learn (&path.forwarder, &view, "m", 2)
                  >= 3 * NS_PER_S);
  CU_ASSERT_TRUE (age_ms () >= 3000);
  CU_ASSERT_TRUE (age_ms () < 4000);
  fake_path_finish ();
}

/* One that is found at the start leaves little time. */
static void
test_found_at_the_start (void)
{
  struct kvview view = { .initial_read_done = false };
  const struct wanted_weights *wanted;
  int64_t now;

  setup ();
  now = clock_boottime (&path.clock);
  view.written_since_ns = now;
  entryweights_learn (&path.forwarder, &view, "m", 2);
  wanted = g_hash_table_lookup (path.forwarder.wanted_weights, "m");
  CU_ASSERT_EQUAL (
      weights_required_version (wanted, now + NS_PER_S,
                                path.forwarder.settings.version_grace_ns),
      2);
  CU_ASSERT_TRUE (weights_begin_left_ns (
                      wanted, 1, now, path.forwarder.settings.version_begin_ns)
                  < 1600 * NS_PER_MS);
  fake_path_finish ();
}

/* Without the pauses, what the views report after one counts as new. */
static void
test_views_know_pauses (void)
{
  struct pausewatch pausewatch = { 0 };
  struct kvview_settings settings = entryviews_settings (&pausewatch, NULL);

  CU_ASSERT_PTR_EQUAL (settings.pausewatch, &pausewatch);
  CU_ASSERT_TRUE (settings.watch_duration_ns > 0);
}

/* Requests stop to go to old weights, then to begin on them, and the engine
 * has time left to learn of that. */
static void
test_order_of_times (void)
{
  static const int64_t within_s[] = { 6, 12, 20 };

  for (unsigned i = 0; i < G_N_ELEMENTS (within_s); i++)
    {
      struct forward_settings settings = { 0 };
      int64_t within_ns = within_s[i] * NS_PER_S;

      forwardweights_set_times (&settings, within_ns);
      CU_ASSERT_TRUE (settings.version_grace_ns > within_ns / 2);
      CU_ASSERT_TRUE (settings.version_grace_ns < settings.version_begin_ns);
      CU_ASSERT_TRUE (settings.version_begin_ns
                      <= within_ns - 250 * NS_PER_MS);
    }
}

static const struct unit_case cases[] = {
  { "learned-from-the-view", test_learned_from_the_view },
  { "found-at-the-start", test_found_at_the_start },
  { "views-know-pauses", test_views_know_pauses },
  { "order-of-times", test_order_of_times },
};

int
main (void)
{
  return unit_run ("entryweights", cases, G_N_ELEMENTS (cases));
}
