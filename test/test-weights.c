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

static const struct unit_case cases[] = {
  { "newer-version-set-earlier", test_newer_version_set_earlier },
  { "quick-succession", test_quick_succession },
  { "behind-since", test_outdated_since },
  { "many-versions", test_many_versions },
};

int
main (void)
{
  return unit_run ("weights", cases, G_N_ELEMENTS (cases));
}
