#ifndef ENTRYPEERS_H
#define ENTRYPEERS_H

#include <glib.h>
#include <stdbool.h>

/** @file
 * What an entry process knows of the links of the hosts to the services: its
 * own, and those that the other hosts report.
 */

struct entry;

struct entrypeers
{
  /** Set of the names of the services that were out at the last tick. */
  GHashTable *out;
};

void entrypeers_init (struct entrypeers *peers);
void entrypeers_finish (struct entrypeers *peers);

/** Log what has changed since the last tick. A host that does not reach
 * engines that others reach does not lead the rollout. */
void entrypeers_tick (struct entry *entry);

#endif
