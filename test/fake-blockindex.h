#ifndef FAKE_BLOCKINDEX_H
#define FAKE_BLOCKINDEX_H

#include "blockindex.h"
#include "rng.h"

/** @file
 * A small world of real stores and engines, and a naive index that scans
 * arrays, beside the block index under test.
 */

enum
{
  STEPS = 40000,
  STORES = 3,
  SLOTS = 6,
  SCOPES = 2,
  BLOCKS = 5,
  ENGINES = 3,
  LEASES = 4096,
  LENGTH = 100
};

struct slot
{
  bool used;
  bool sealed;
  int scope;
  int block;
  uint64_t generation;
  uint64_t checksum;
};

struct lease
{
  uint64_t store, slot, generation;
  int64_t until_ns;
};

struct naive_copy
{
  bool there;
  enum blockcopy_state state;
  uint64_t slot, generation, checksum;
  int64_t since_ns;
};

struct naive_end
{
  uint64_t store, slot, generation;
  int64_t since_ns;
  bool freed;
};

struct naive_hint
{
  bool there, expected;
  int64_t seen_ns;
};

struct world
{
  struct clock_fake clock;
  struct rng rng;
  struct blockindex index;
  struct block_scope scopes[SCOPES];
  struct block_id ids[SCOPES][BLOCKS];
  struct slot slots[STORES][SLOTS];
  struct lease leases[LEASES];
  unsigned lease_count;
  unsigned freed, handed, listings;
  int64_t read_ns; /* how long readers go on reading */
  unsigned broken; /* slots freed while they were read */
  /* the naive index */
  struct naive_copy copies[STORES][SCOPES][BLOCKS];
  struct naive_end ends[1024];
  unsigned end_count;
  bool alive[STORES];
  int64_t full_until_ns[STORES];
  bool known[SCOPES][BLOCKS];
  struct naive_hint hints[ENGINES][SCOPES][BLOCKS];
  uint64_t next[ENGINES];
  bool doubtful[ENGINES];
  int64_t doubted_ns[ENGINES];
};

/** An index of at most ENTRIES_MAX entries and empty stores. */
void world_init (struct world *w, uint64_t seed, size_t entries_max);

/** Block B of scope C in STORE. */
struct blockcopy_ref world_ref (struct world *w, uint64_t store, int c, int b);

/** Random steps, each answer checked against the naive index. */
void world_run (struct world *w);

#endif
