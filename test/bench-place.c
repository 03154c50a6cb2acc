#include "fake-engines.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Time for one placement decision as the number of known engines grows, and
 * memory for one entry of the block index. Exit status 1 if a target is
 * missed. */

enum
{
  SEED = 81,
  PIECES = 16,
  MATCHES = 64,
  DECISIONS = 200000,
  ROUNDS = 9,
  SIZES = 4,
  ENTRIES = 200000,
  LOOKUPS = 100000,
  TARGET_NS = 5000 /* for one decision with TARGET_ENGINES */
};

/* Cost at 10,000 engines over that at 200 that still counts as flat: memory
 * out of cache may cost, the number of engines may not. */
static const double flat = 2.0;
static const uint32_t sizes[SIZES] = { 200, 1000, 5000, 10000 };

/* Processor time, so that other work on the machine does not count. */
static int64_t
processor_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return now.tv_sec * NS_PER_S + now.tv_nsec;
}

static double
decisions_ns (struct engines *engines, const struct blockindex_match *matches)
{
  struct place_request request
      = { .group_key = &engines->need,
          .prompt_tokens = (int64_t)PIECES * ENGINES_PIECE_TOKENS,
          .block_tokens = ENGINES_PIECE_TOKENS };
  struct place_result result;
  int64_t start = processor_ns ();

  for (int i = 0; i < DECISIONS; i++)
    {
      request.match = &matches[i % MATCHES];
      request.urgent = i % 2 == 0;
      if (place_choose (&engines->place, &request, &result) != STATUS_OK)
        abort ();
    }
  return (double)(processor_ns () - start) / DECISIONS;
}

/* Put NS in its place among the COUNT rounds that are sorted already. */
static void
insert_round (double *rounds, int count, double ns)
{
  for (; count > 0 && rounds[count - 1] > ns; count--)
    rounds[count] = rounds[count - 1];
  rounds[count] = ns;
}

/* The median of ROUNDS for each size, in ns per decision. The sizes take
 * turns, so that a slow moment of the machine does not fall on one alone. */
static void
bench_sizes (double medians[SIZES])
{
  static struct blockindex_match matches[SIZES][MATCHES];
  static struct engines worlds[SIZES];
  double rounds[SIZES][ROUNDS];

  for (int s = 0; s < SIZES; s++)
    {
      engines_init (&worlds[s], sizes[s], SEED, &place_settings_default,
                    "cost");
      for (int i = 0; i < MATCHES; i++)
        engines_match (&worlds[s], PIECES, &matches[s][i]);
    }
  for (int i = 0; i < ROUNDS; i++)
    for (int s = 0; s < SIZES; s++)
      insert_round (rounds[s], i, decisions_ns (&worlds[s], matches[s]));
  for (int s = 0; s < SIZES; s++)
    {
      medians[s] = rounds[s][ROUNDS / 2];
      engines_finish (&worlds[s]);
    }
}

/* Big blocks of memory are counted apart. */
static size_t
heap_used (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

static void
ignore_engine (void *data, uint64_t engine)
{
}

static void
ignore_slot (void *data, uint64_t store, uint64_t slot, uint64_t generation)
{
}

static void
entry_id (struct block_id *id, uint64_t number)
{
  uint64_t spread = number * UINT64_C (0x9e3779b97f4a7c15);

  memset (id, 0, sizeof *id);
  memcpy (&id->bytes[BLOCK_ID_SIZE - sizeof spread], &spread, sizeof spread);
}

/* Lookups of prompts all over the index; each piece has a store copy. */
static double
lookup_ns (struct blockindex *index, const struct block_scope *scope)
{
  struct block_id ids[PIECES];
  struct blockindex_query query = { scope, ids, PIECES, 0 };
  struct blockindex_match match;
  int64_t start = processor_ns ();

  for (uint64_t i = 0; i < LOOKUPS; i++)
    {
      for (uint64_t p = 0; p < PIECES; p++)
        entry_id (&ids[p], (i * 7919 + p) % ENTRIES);
      blockindex_lookup (index, &query, &match);
    }
  return (double)(processor_ns () - start) / LOOKUPS;
}

/* Bytes of heap for each entry, with a store copy or with hints alone. */
static double
bench_entry (bool stored)
{
  static const struct blockindex_ops ops
      = { { ignore_engine }, { ignore_slot } };
  struct blockindex_settings settings
      = { ENTRIES, cachehint_settings_default, blockcopy_settings_default };
  size_t before = heap_used ();
  struct blockcopy_listed item = { .length = 1, .sealed = true };
  struct clock_fake clock;
  struct blockindex index;
  double bytes;

  clock_fake_init (&clock, 0);
  blockindex_init (&index, &clock.clock, &settings, &ops, NULL);
  block_scope_init (&item.scope, "o", "m", "1", NULL);
  blockcopy_listing_begin (&index.copies, 0);
  for (uint64_t i = 0; i < ENTRIES; i++)
    {
      entry_id (&item.block, i);
      item.slot = i;
      if (stored)
        blockcopy_listing_item (&index.copies, 0, &item);
      else
        cachehint_expect (&index.hints, &item.scope, &item.block, 1, 0);
    }
  bytes = (double)(heap_used () - before) / ENTRIES;
  if (stored)
    printf ("lookup of %d pieces: %.0f processor ns\n", PIECES,
            lookup_ns (&index, &item.scope));
  blockindex_finish (&index);
  return bytes;
}

int
main (void)
{
  double ns[SIZES];
  bool missed;

  bench_sizes (ns);
  printf ("seed %d, %d decisions, median of %d rounds, %d pieces\n", SEED,
          DECISIONS, ROUNDS, PIECES);
  printf ("engines  processor ns per decision\n");
  for (int s = 0; s < SIZES; s++)
    printf ("%7u  %.0f\n", sizes[s], ns[s]);
  missed = ns[0] > TARGET_NS || ns[SIZES - 1] > ns[0] * flat;
  printf ("target: %d ns with %u engines, at most %.1f times that with %u: "
          "%s\n",
          TARGET_NS, sizes[0], flat, sizes[SIZES - 1],
          missed ? "missed" : "met");
  printf ("bytes per index entry: %.0f with hints, %.0f with a store copy\n",
          bench_entry (false), bench_entry (true));
  printf ("bytes: known engine %zu, lookup answer %zu, decision %zu\n",
          sizeof (struct load_engine), sizeof (struct blockindex_match),
          sizeof (struct place_result));
  return missed;
}
