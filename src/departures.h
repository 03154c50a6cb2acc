#ifndef DEPARTURES_H
#define DEPARTURES_H

#include <glib.h>
#include <stdint.h>

/** @file
 * Times at which other hosts left the registry. What a host sent shortly
 * before arrives later.
 */

struct departures
{
  GArray *times; /**< In ascending order. */
};

void departures_init (struct departures *departures);
void departures_finish (struct departures *departures);

/** Record that a host left at NOW_NS. */
void departures_record (struct departures *departures, int64_t now_ns);

/** Return the number of hosts that left after SINCE_NS. */
unsigned departures_count (const struct departures *departures,
                           int64_t since_ns);

#endif
