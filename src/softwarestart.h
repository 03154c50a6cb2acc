#ifndef SOFTWARESTART_H
#define SOFTWARESTART_H

#include "clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * Software of servers that have been replaced at their address, while the
 * registry may not have told of their new starts yet. Software is named by its
 * hash, see struct server.
 */

struct softwarestart
{
  const struct clock *clock;
  GHashTable *replaced; /**< Maps software hashes to struct replaced. */
};

void softwarestart_init (struct softwarestart *start,
                         const struct clock *clock);
void softwarestart_finish (struct softwarestart *start);

/** Record that another server answered at the address of one of SOFTWARE. */
void softwarestart_record (struct softwarestart *start, uint64_t software);

/** Whether the registry may soon tell of a new start of SOFTWARE. */
bool softwarestart_is_expected (const struct softwarestart *start,
                                uint64_t software);

#endif
