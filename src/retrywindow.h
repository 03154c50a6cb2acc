#ifndef RETRYWINDOW_H
#define RETRYWINDOW_H

#include "clock.h"

#include <stdbool.h>

/** @file
 * The retry budget of one service over a sliding window, which all hosts
 * share: each host may use its part of the fixed allowance, and a share of
 * the requests that it received itself. Without the budget, the retries of
 * many callers' requests would become the main load while servers fail.
 */

enum
{
  RETRYWINDOW_BUCKETS = 10
};

struct retrywindow_settings
{
  int64_t window_ns;
  double share;     /**< Retries per request. */
  double allowance; /**< Retries of all hosts together in a window. */
};

struct retrywindow
{
  struct retrywindow_settings settings;
  struct
  {
    unsigned requests;
    unsigned retries;
  } buckets[RETRYWINDOW_BUCKETS];
  int64_t bucket; /**< Number of the newest bucket, counted from the start of
                       the clock. */
};

void retrywindow_init (struct retrywindow *budget,
                       const struct retrywindow_settings *settings);

/** Count one request of a caller for the service. */
void retrywindow_request (struct retrywindow *budget, int64_t now_ns);

/** Acquire one retry if the budget allows it.
 * @param hosts the number of hosts that share the budget, at least 1 */
bool retrywindow_take (struct retrywindow *budget, unsigned hosts,
                       int64_t now_ns);

/** Return the number of retries that the budget allows now. */
double retrywindow_left (struct retrywindow *budget, unsigned hosts,
                         int64_t now_ns);

#endif
