#include "clock.h"
#include "unit.h"
#include "watchpause.h"

#include <glib.h>

/* Hosts of a large fleet read each change of each server by itself. */
static void
test_pause_grows_with_the_fleet (void)
{
  static const struct
  {
    unsigned hosts;
    int64_t within_ms;
    int64_t pause_ms;
  } rows[] = {
    { 1, 2000, 0 },      { 16, 2000, 0 },     { 79, 3000, 1027 },
    { 295, 4000, 2000 }, { 295, 2000, 1000 }, { 2234, 4000, 2000 },
    { 2234, 0, 0 },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    CU_ASSERT_EQUAL (
        watchpause_ns (rows[i].hosts, rows[i].within_ms * NS_PER_MS),
        rows[i].pause_ms * NS_PER_MS);
}

/* A change is known within its time, whatever the size of the fleet. */
static void
test_changes_are_known_in_time (void)
{
  for (unsigned hosts = 0; hosts < 5000; hosts += 7)
    for (int64_t within_ms = 0; within_ms < 10000; within_ms += 333)
      CU_ASSERT_TRUE (2 * watchpause_ns (hosts, within_ms * NS_PER_MS)
                      <= within_ms * NS_PER_MS);
}

static const struct unit_case cases[] = {
  { "pause-grows-with-the-fleet", test_pause_grows_with_the_fleet },
  { "changes-are-known-in-time", test_changes_are_known_in_time },
};

int
main (void)
{
  return unit_run ("watchpause", cases, G_N_ELEMENTS (cases));
}
