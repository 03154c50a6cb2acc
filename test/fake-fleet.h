#ifndef FAKE_FLEET_H
#define FAKE_FLEET_H

#include "place.h"

/** @file
 * A fleet of engines with reported load, and matches as a lookup would give,
 * for tests and measurements of placement.
 */

enum
{
  FLEET_STORES = 4,
  FLEET_PIECE_TOKENS = 2000,
  FLEET_PIECE_BYTES = 2000 * 1000
};

struct fleet
{
  struct clock_fake clock;
  struct rng rng;
  struct load load;
  struct place place;
  struct load_group_key need;
  uint64_t sequence;
  uint32_t count;
};

void fleet_init (struct fleet *fleet, uint32_t count, uint64_t seed,
                 const struct place_settings *settings, const char *policy);
void fleet_finish (struct fleet *fleet);

/** A report with this queue from one engine. */
void fleet_report (struct fleet *fleet, uint64_t engine,
                   int64_t queued_tokens);

/** A random match for a prompt of PIECES pieces. */
void fleet_match (struct fleet *fleet, unsigned pieces,
                  struct blockindex_match *match);

#endif
