#include "retrybudget.h"
#include "unit.h"

#include <glib.h>

enum
{
  HOSTS = 8,
  SECONDS = 120
};

static const struct retrybudget_settings settings
    = { .window_ns = 10 * NS_PER_S, .request_share = 0.2, .allowance = 56 };

/* Eight hosts that all want to repeat every request, for two minutes: in no
 * window of ten seconds do they exceed the common budget. */
static void
test_fleet_stays_within_budget (void)
{
  struct retrybudget windows[HOSTS];
  unsigned requests[SECONDS * 10] = { 0 };
  unsigned repeats[SECONDS * 10] = { 0 };

  for (unsigned h = 0; h < HOSTS; h++)
    retrybudget_init (&windows[h], &settings);
  for (unsigned tick = 0; tick < SECONDS * 10; tick++)
    for (unsigned h = 0; h < HOSTS; h++)
      {
        int64_t now = NS_PER_S + (int64_t)tick * 100 * NS_PER_MS;
        /* The load swings between nothing and eight requests a tick. */
        unsigned count = (tick / 50) % 2 == 0 ? 1 + h % 2 : 0;

        for (unsigned i = 0; i < count; i++)
          {
            retrybudget_count_request (&windows[h], now);
            requests[tick]++;
          }
        for (unsigned i = 0; i < 4; i++)
          repeats[tick] += retrybudget_acquire (&windows[h], HOSTS, now);
      }
  for (unsigned from = 0; from + 100 <= SECONDS * 10; from++)
    {
      double requested = 0;
      double repeated = 0;

      for (unsigned i = from; i < from + 100; i++)
        {
          requested += requests[i];
          repeated += repeats[i];
        }
      CU_ASSERT_TRUE (repeated <= requested * settings.request_share
                                      + settings.allowance);
    }
}

static void
test_budget_comes_back (void)
{
  struct retrybudget window;
  unsigned taken = 0;

  retrybudget_init (&window, &settings);
  while (retrybudget_acquire (&window, 1, NS_PER_S))
    taken++;
  CU_ASSERT_TRUE (taken > 0 && taken <= 56);
  CU_ASSERT_FALSE (retrybudget_acquire (&window, 1, 5 * NS_PER_S));
  CU_ASSERT_TRUE (retrybudget_acquire (&window, 1, 13 * NS_PER_S));
}

static const struct unit_case cases[] = {
  { "fleet-stays-within-budget", test_fleet_stays_within_budget },
  { "budget-comes-back", test_budget_comes_back },
};

int
main (void)
{
  return unit_run ("retrywindow", cases, G_N_ELEMENTS (cases));
}
