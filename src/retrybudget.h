#ifndef RETRYBUDGET_H
#define RETRYBUDGET_H

#include "clock.h"

#include <stdbool.h>

/** @file
 * The retry budget of one service over a sliding window. Each host may retry a
 * share of the requests that it received itself, plus its part of a fixed
 * allowance that all hosts divide among them. Without the budget, retries
 * would become the main load while servers fail.
 */

enum
{
  RETRYBUDGET_BUCKETS = 10
};

struct retrybudget_settings
{
  int64_t window_ns;
  double request_share; /**< Number of retries allowed per request. */
  double allowance; /**< Number of additional retries that all hosts together
                       may make in one window. */
};

struct retrybudget
{
  struct retrybudget_settings settings;
  struct
  {
    unsigned requests;
    unsigned retries;
  } buckets[RETRYBUDGET_BUCKETS];
  int64_t bucket; /**< Number of the newest bucket, counted from the start of
                       the clock. */
};

void retrybudget_init (struct retrybudget *budget,
                       const struct retrybudget_settings *settings);

/** Count one request of a caller for the service. */
void retrybudget_count_request (struct retrybudget *budget, int64_t now_ns);

/** Acquire one retry if the budget allows it.
 * @param hosts the number of hosts that share the budget, at least 1
 * @return whether the retry was acquired */
bool retrybudget_acquire (struct retrybudget *budget, unsigned hosts,
                          int64_t now_ns);

/** Return the number of retries that the budget allows now. */
double retrybudget_left (struct retrybudget *budget, unsigned hosts,
                         int64_t now_ns);

#endif
