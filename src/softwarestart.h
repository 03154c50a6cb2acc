#ifndef SOFTWARESTART_H
#define SOFTWARESTART_H

#include "clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * Software of servers that are no longer registered though they did not leave.
 * Such servers start again, and the registry tells of the new start a moment
 * later. Software is named by its hash, see struct server.
 */

struct softwarestart
{
  const struct clock *clock;
  GHashTable *lost; /**< Maps software hashes to struct lost. */
};

void softwarestart_init (struct softwarestart *start,
                         const struct clock *clock);
void softwarestart_finish (struct softwarestart *start);

/** Record that a server of SOFTWARE that did not leave was removed. */
void softwarestart_record (struct softwarestart *start, uint64_t software);

/** Whether the registry may soon tell of a new start of SOFTWARE. */
bool softwarestart_is_expected (const struct softwarestart *start,
                                uint64_t software);

#endif
