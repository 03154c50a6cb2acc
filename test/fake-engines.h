#ifndef FAKE_ENGINES_H
#define FAKE_ENGINES_H

#include "place.h"

/** @file
 * A engines of engines with reported load, and matches as a lookup would give,
 * for tests and measurements of placement.
 */

enum
{
  ENGINES_STORES = 4,
  ENGINES_PIECE_TOKENS = 2000,
  ENGINES_PIECE_BYTES = 2000 * 1000
};

struct engines
{
  struct clock_fake clock;
  struct rng rng;
  struct load load;
  struct place place;
  struct load_group_key need;
  uint64_t sequence;
  uint32_t count;
};

void engines_init (struct engines *engines, uint32_t count, uint64_t seed,
                   const struct place_settings *settings, const char *policy);
void engines_finish (struct engines *engines);

/** A report with this queue from one engine. */
void engines_report (struct engines *engines, uint64_t engine,
                     int64_t queued_tokens);

/** A random match for a prompt of PIECES pieces. */
void engines_match (struct engines *engines, unsigned pieces,
                    struct blockindex_match *match);

#endif
