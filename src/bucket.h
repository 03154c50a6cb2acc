#ifndef BUCKET_H
#define BUCKET_H

#include <stdbool.h>
#include <stdint.h>

/** @file
 * Token bucket in exact integer arithmetic. Rates and amounts are counted in
 * thousandths of a token, so that a share of a token can be added.
 */

enum
{
  BUCKET_TOKEN = 1000,       /**< thousandths in one token */
  BUCKET_BURST_MAX = 1000000 /**< tokens */
};

struct bucket
{
  int64_t rate;  /**< thousandths of a token per second */
  int64_t burst; /**< billionths of a thousandth */
  int64_t level; /**< the same unit */
  int64_t at_ns; /**< when LEVEL held */
};

/** A full bucket.
 * @param rate_milli thousandths of a token per second; 0 for none
 * @param burst_tokens at most BUCKET_BURST_MAX */
void bucket_init (struct bucket *bucket, int64_t rate_milli,
                  int64_t burst_tokens, int64_t now_ns);

/** Add AMOUNT_MILLI thousandths of a token, up to the burst. */
void bucket_add (struct bucket *bucket, int64_t amount_milli, int64_t now_ns);

/** Take TOKENS if that many are there. */
bool bucket_take (struct bucket *bucket, int64_t tokens, int64_t now_ns);

/** When TOKENS will be there; CLOCK_NEVER if the rate or the burst does not
 * allow it. */
int64_t bucket_ready (struct bucket *bucket, int64_t tokens, int64_t now_ns);

#endif
