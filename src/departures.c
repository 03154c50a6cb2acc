#include "departures.h"

enum
{
  /* Departures that are kept; more than the hosts of a fleet. */
  DEPARTURES_MAX = 512
};

void
departures_init (struct departures *departures)
{
  departures->times = g_array_new (FALSE, FALSE, sizeof (int64_t));
}

void
departures_finish (struct departures *departures)
{
  g_array_free (departures->times, TRUE);
}

void
departures_record (struct departures *departures, int64_t now_ns)
{
  if (departures->times->len == DEPARTURES_MAX)
    g_array_remove_index (departures->times, 0);
  g_array_append_val (departures->times, now_ns);
}

unsigned
departures_count (const struct departures *departures, int64_t since_ns)
{
  const GArray *times = departures->times;
  unsigned count = 0;

  while (count < times->len
         && g_array_index (times, int64_t, times->len - 1 - count) > since_ns)
    count++;
  return count;
}
