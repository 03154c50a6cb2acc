#ifndef BUCKET_H
#define BUCKET_H

#include <stdbool.h>
#include <stdint.h>

/** @file
 * Token bucket (rate limiter) with exact integer arithmetic. Rates and added
 * amounts are thousandths of a token, so that fractions of a token can be
 * added.
 */

enum
{
  BUCKET_MILLI_PER_TOKEN = 1000,    /**< Number of thousandths in one token. */
  BUCKET_BURST_TOKENS_MAX = 1000000 /**< Maximum capacity in tokens. */
};

struct bucket
{
  int64_t rate_milli_per_s; /**< Refill rate in thousandths of a token per
                               second. */
  /** Capacity in billionths of a thousandth of a token. */
  int64_t level_max;
  int64_t level;      /**< Present content, in the unit of LEVEL_MAX. */
  int64_t updated_ns; /**< Monotonic time for which LEVEL was computed. */
};

/** Initialise a full bucket.
 * @param rate_milli refill rate in thousandths of a token per second; may be 0
 * @param burst_tokens capacity, at most BUCKET_BURST_TOKENS_MAX */
void bucket_init (struct bucket *bucket, int64_t rate_milli,
                  int64_t burst_tokens, int64_t now_ns);

/** Add AMOUNT_MILLI thousandths of a token, up to the capacity. */
void bucket_add (struct bucket *bucket, int64_t amount_milli, int64_t now_ns);

/** Take TOKENS if the bucket contains them, else nothing.
 * @return whether the tokens were taken */
bool bucket_take (struct bucket *bucket, int64_t tokens, int64_t now_ns);

/** Return the monotonic time from which the bucket contains TOKENS;
 * CLOCK_NEVER if the rate or the capacity does not allow it. */
int64_t bucket_ready_ns (struct bucket *bucket, int64_t tokens,
                         int64_t now_ns);

#endif
