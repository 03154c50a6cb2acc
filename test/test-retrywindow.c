#include "retrybudget.h"
#include "unit.h"

#include <glib.h>

enum
{
  HOSTS = 8,
  DURATION_S = 120
};

static const struct retrybudget_settings settings
    = { .window_ns = 10 * NS_PER_S, .request_share = 0.2, .allowance = 56 };

/* Eight hosts that try more retries than the budget allows, for two minutes,
 * stay within the common budget in every window of ten seconds. */
static void
test_fleet_stays_within_budget (void)
{
  struct retrybudget budgets[HOSTS];
  unsigned requests[DURATION_S * 10] = { 0 };
  unsigned retries[DURATION_S * 10] = { 0 };

  for (unsigned host = 0; host < HOSTS; host++)
    retrybudget_init (&budgets[host], &settings);
  for (unsigned tick = 0; tick < DURATION_S * 10; tick++)
    for (unsigned host = 0; host < HOSTS; host++)
      {
        int64_t now = NS_PER_S + (int64_t)tick * 100 * NS_PER_MS;
        /* The load alternates every 5 s between 12 and 0 requests per tick of
         * all hosts together. */
        unsigned count = (tick / 50) % 2 == 0 ? 1 + host % 2 : 0;

        for (unsigned i = 0; i < count; i++)
          {
            retrybudget_count_request (&budgets[host], now);
            requests[tick]++;
          }
        for (unsigned i = 0; i < 4; i++)
          retries[tick] += retrybudget_acquire (&budgets[host], HOSTS, now);
      }
  for (unsigned first_tick = 0; first_tick + 100 <= DURATION_S * 10;
       first_tick++)
    {
      double request_total = 0;
      double retry_total = 0;

      for (unsigned i = first_tick; i < first_tick + 100; i++)
        {
          request_total += requests[i];
          retry_total += retries[i];
        }
      CU_ASSERT_TRUE (retry_total <= request_total * settings.request_share
                                         + settings.allowance);
    }
}

static void
test_budget_recovers (void)
{
  struct retrybudget budget;
  unsigned acquired = 0;

  retrybudget_init (&budget, &settings);
  while (retrybudget_acquire (&budget, 1, NS_PER_S))
    acquired++;
  CU_ASSERT_TRUE (acquired > 0 && acquired <= 56);
  CU_ASSERT_FALSE (retrybudget_acquire (&budget, 1, 5 * NS_PER_S));
  CU_ASSERT_TRUE (retrybudget_acquire (&budget, 1, 13 * NS_PER_S));
}

static const struct unit_case cases[] = {
  { "fleet-stays-within-budget", test_fleet_stays_within_budget },
  { "budget-comes-back", test_budget_recovers },
};

int
main (void)
{
  return unit_run ("retrywindow", cases, G_N_ELEMENTS (cases));
}
