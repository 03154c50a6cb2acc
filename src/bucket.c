#include "bucket.h"
#include "clock.h"

#include <assert.h>

/* Levels are stored in billionths of a thousandth of a token, so that the
 * refill per nanosecond is a whole number: the rate in thousandths of a
 * token per second. */
enum
{
  LEVEL_UNITS_PER_MILLI = 1000000000
};

static int64_t
level_of_tokens (int64_t tokens)
{
  return tokens * BUCKET_MILLI_PER_TOKEN * LEVEL_UNITS_PER_MILLI;
}

static void
bucket_refill (struct bucket *bucket, int64_t now_ns)
{
  int64_t elapsed = now_ns - bucket->updated_ns;
  int64_t deficit = bucket->level_max - bucket->level;

  if (elapsed <= 0)
    return;
  bucket->updated_ns = now_ns;
  if (bucket->rate_milli_per_s == 0)
    return;
  if (elapsed > deficit / bucket->rate_milli_per_s)
    bucket->level = bucket->level_max;
  else
    bucket->level += elapsed * bucket->rate_milli_per_s;
}

void
bucket_init (struct bucket *bucket, int64_t rate_milli, int64_t burst_tokens,
             int64_t now_ns)
{
  assert (rate_milli >= 0);
  assert (burst_tokens >= 0 && burst_tokens <= BUCKET_BURST_TOKENS_MAX);
  bucket->rate_milli_per_s = rate_milli;
  bucket->level_max = level_of_tokens (burst_tokens);
  bucket->level = bucket->level_max;
  bucket->updated_ns = now_ns;
}

void
bucket_add (struct bucket *bucket, int64_t amount_milli, int64_t now_ns)
{
  int64_t deficit;

  assert (amount_milli >= 0);
  bucket_refill (bucket, now_ns);
  deficit = bucket->level_max - bucket->level;
  if (amount_milli > deficit / LEVEL_UNITS_PER_MILLI)
    bucket->level = bucket->level_max;
  else
    bucket->level += amount_milli * LEVEL_UNITS_PER_MILLI;
}

bool
bucket_take (struct bucket *bucket, int64_t tokens, int64_t now_ns)
{
  assert (tokens >= 0 && tokens <= BUCKET_BURST_TOKENS_MAX);
  bucket_refill (bucket, now_ns);
  if (bucket->level < level_of_tokens (tokens))
    return false;
  bucket->level -= level_of_tokens (tokens);
  return true;
}

int64_t
bucket_ready_ns (struct bucket *bucket, int64_t tokens, int64_t now_ns)
{
  int64_t missing;

  assert (tokens >= 0 && tokens <= BUCKET_BURST_TOKENS_MAX);
  bucket_refill (bucket, now_ns);
  missing = level_of_tokens (tokens) - bucket->level;
  if (missing <= 0)
    return now_ns;
  if (bucket->rate_milli_per_s == 0
      || level_of_tokens (tokens) > bucket->level_max)
    return CLOCK_NEVER;
  return now_ns
         + (missing + bucket->rate_milli_per_s - 1) / bucket->rate_milli_per_s;
}
