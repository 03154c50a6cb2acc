#include "clock.h"
#include "unit.h"
#include "weights.h"

#include <glib.h>

/* A second version that is set before the first is required does not put off
 * the time from which the first is required. */
static void
test_quick_succession (void)
{
  struct wanted_weights wanted = { 0 };

  weights_add_version (&wanted, 2, 10 * NS_PER_S);
  weights_add_version (&wanted, 5, 14 * NS_PER_S);
  CU_ASSERT_EQUAL (wanted.version, 5);
  CU_ASSERT_EQUAL (
      weights_required_version (&wanted, 15 * NS_PER_S, 6 * NS_PER_S), 0);
  CU_ASSERT_EQUAL (
      weights_required_version (&wanted, 17 * NS_PER_S, 6 * NS_PER_S), 2);
  CU_ASSERT_EQUAL (
      weights_required_version (&wanted, 21 * NS_PER_S, 6 * NS_PER_S), 5);
}

static void
test_outdated_since (void)
{
  struct wanted_weights wanted = { 0 };

  weights_add_version (&wanted, 2, 10 * NS_PER_S);
  weights_add_version (&wanted, 5, 14 * NS_PER_S);
  CU_ASSERT_EQUAL (weights_outdated_since_ns (&wanted, 1), 10 * NS_PER_S);
  CU_ASSERT_EQUAL (weights_outdated_since_ns (&wanted, 2), 14 * NS_PER_S);
  CU_ASSERT_EQUAL (weights_outdated_since_ns (&wanted, 4), 14 * NS_PER_S);
}

/* With more versions than WEIGHTS_VERSIONS_MAX, none becomes required later
 * than it should. */
static void
test_many_versions (void)
{
  struct wanted_weights wanted = { 0 };

  for (uint64_t version = 1; version <= 30; version++)
    weights_add_version (&wanted, version, (int64_t)version * NS_PER_S);
  for (uint64_t version = 1; version <= 30; version++)
    CU_ASSERT_TRUE (
        weights_required_version (&wanted, (int64_t)version * NS_PER_S + 2, 1)
        >= version);
}

/* A version that is learned late, but was set early, showed that the one
 * before it was set earlier still. */
static void
test_newer_version_set_earlier (void)
{
  struct wanted_weights wanted = { 0 };

  weights_add_version (&wanted, 2, 14 * NS_PER_S);
  weights_add_version (&wanted, 3, 10 * NS_PER_S);
  CU_ASSERT_EQUAL (weights_outdated_since_ns (&wanted, 1), 10 * NS_PER_S);
  CU_ASSERT_EQUAL (
      weights_required_version (&wanted, 17 * NS_PER_S, 6 * NS_PER_S), 3);
}

/* The longer the time within which versions are required, the longer a process
 * that started again sent requests to old weights, whatever their age. */
static void
test_found_at_the_start (void)
{
  static const int64_t within_s[] = { 3, 6, 12, 20 };
  const int64_t now = 100 * NS_PER_S;

  for (unsigned i = 0; i < G_N_ELEMENTS (within_s); i++)
    {
      struct wanted_weights wanted = { 0 };
      int64_t grace = within_s[i] * NS_PER_S * 3 / 4;
      int64_t begin = within_s[i] * NS_PER_S * 19 / 20;

      weights_add_version (&wanted, 2, weights_found_since_ns (now, grace));
      weights_set_found (&wanted, now);
      CU_ASSERT_EQUAL (
          weights_required_version (&wanted, now + 910 * NS_PER_MS, grace), 2);
      CU_ASSERT_TRUE (weights_begin_left_ns (&wanted, 1, now, begin) > 0);
      CU_ASSERT_TRUE (weights_begin_left_ns (&wanted, 1, now, begin)
                      <= 1500 * NS_PER_MS);
      /* One that is set later has its whole time. */
      weights_add_version (&wanted, 3, now);
      CU_ASSERT_EQUAL (weights_begin_left_ns (&wanted, 2, now, begin), begin);
      CU_ASSERT_TRUE (weights_begin_left_ns (&wanted, 1, now, begin)
                      <= 1500 * NS_PER_MS);
    }
}

/* A rollout may still be in progress at the start. */
static void
test_found_at_the_start_has_time_left (void)
{
  const int64_t now = 100 * NS_PER_S;
  const int64_t grace = 4500 * NS_PER_MS;
  struct wanted_weights wanted = { 0 };

  weights_add_version (&wanted, 2, weights_found_since_ns (now, grace));
  CU_ASSERT_EQUAL (
      weights_required_version (&wanted, now + 890 * NS_PER_MS, grace), 0);
}

static const struct unit_case cases[] = {
  { "newer-version-set-earlier", test_newer_version_set_earlier },
  { "quick-succession", test_quick_succession },
  { "behind-since", test_outdated_since },
  { "many-versions", test_many_versions },
  { "found-at-the-start", test_found_at_the_start },
  { "found-at-the-start-has-time-left",
    test_found_at_the_start_has_time_left },
};

int
main (void)
{
  return unit_run ("weights", cases, G_N_ELEMENTS (cases));
}
