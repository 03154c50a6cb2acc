#include "weights.h"

#include <string.h>

/* The two oldest versions become one: the newer of them, by the earlier of
 * their times. */
static void
oldest_join (struct wanted_weights *wanted)
{
  int64_t since = wanted->named[0].since_ns;

  memmove (&wanted->named[0], &wanted->named[1],
           --wanted->named_count * sizeof wanted->named[0]);
  wanted->named[0].since_ns = since;
}

void
weights_name (struct wanted_weights *wanted, uint64_t version, int64_t now_ns)
{
  if (wanted->named_count == WEIGHTS_NAMED_MAX)
    oldest_join (wanted);
  wanted->named[wanted->named_count].version = version;
  wanted->named[wanted->named_count++].since_ns = now_ns;
  wanted->version = version;
}

uint64_t
weights_due (const struct wanted_weights *wanted, int64_t now_ns,
             int64_t span_ns)
{
  uint64_t due = 0;

  for (unsigned i = 0; i < wanted->named_count; i++)
    if (now_ns - wanted->named[i].since_ns > span_ns)
      due = wanted->named[i].version;
  return due;
}

int64_t
weights_behind_ns (const struct wanted_weights *wanted, uint64_t version)
{
  unsigned i = 0;

  while (i + 1 < wanted->named_count && wanted->named[i].version <= version)
    i++;
  return wanted->named[i].since_ns;
}
