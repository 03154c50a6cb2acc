#include "bucket.h"
#include "clock.h"

#include <assert.h>

/* Levels are kept in billionths of a thousandth of a token: what one
 * nanosecond adds is then the rate itself. */
enum
{
  LEVEL_PER_MILLI = 1000000000
};

static int64_t
tokens_level (int64_t tokens)
{
  return tokens * BUCKET_TOKEN * LEVEL_PER_MILLI;
}

static void
bucket_refill (struct bucket *bucket, int64_t now_ns)
{
  int64_t elapsed = now_ns - bucket->at_ns;
  int64_t room = bucket->burst - bucket->level;

  if (elapsed <= 0)
    return;
  bucket->at_ns = now_ns;
  if (bucket->rate == 0)
    return;
  if (elapsed > room / bucket->rate)
    bucket->level = bucket->burst;
  else
    bucket->level += elapsed * bucket->rate;
}

void
bucket_init (struct bucket *bucket, int64_t rate_milli, int64_t burst_tokens,
             int64_t now_ns)
{
  assert (rate_milli >= 0);
  assert (burst_tokens >= 0 && burst_tokens <= BUCKET_BURST_MAX);
  bucket->rate = rate_milli;
  bucket->burst = tokens_level (burst_tokens);
  bucket->level = bucket->burst;
  bucket->at_ns = now_ns;
}

void
bucket_add (struct bucket *bucket, int64_t amount_milli, int64_t now_ns)
{
  int64_t room;

  assert (amount_milli >= 0);
  bucket_refill (bucket, now_ns);
  room = bucket->burst - bucket->level;
  if (amount_milli > room / LEVEL_PER_MILLI)
    bucket->level = bucket->burst;
  else
    bucket->level += amount_milli * LEVEL_PER_MILLI;
}

bool
bucket_take (struct bucket *bucket, int64_t tokens, int64_t now_ns)
{
  assert (tokens >= 0 && tokens <= BUCKET_BURST_MAX);
  bucket_refill (bucket, now_ns);
  if (bucket->level < tokens_level (tokens))
    return false;
  bucket->level -= tokens_level (tokens);
  return true;
}

int64_t
bucket_ready (struct bucket *bucket, int64_t tokens, int64_t now_ns)
{
  int64_t missing;

  assert (tokens >= 0 && tokens <= BUCKET_BURST_MAX);
  bucket_refill (bucket, now_ns);
  missing = tokens_level (tokens) - bucket->level;
  if (missing <= 0)
    return now_ns;
  if (bucket->rate == 0 || tokens_level (tokens) > bucket->burst)
    return CLOCK_NEVER;
  return now_ns + (missing + bucket->rate - 1) / bucket->rate;
}
