#ifndef BLOCKINDEX_H
#define BLOCKINDEX_H

#include "blockcopy.h"
#include "cachehint.h"

/** @file
 * One shard's index of KV cache blocks: the entries, the hints about which
 * blocks engines cache, the copies on stores, and the lookup over all of them.
 * The index is not persistent: after a start it is rebuilt from the stores'
 * listings, and a block without an entry is a cache miss. Callers report
 * events to its members: with cachehint_* functions to hints, with blockcopy_*
 * functions to copies.
 */

enum
{
  BLOCKINDEX_BLOCKS_MAX = 64, /**< Maximum number of blocks in one lookup;
                                 further blocks are ignored. */
  BLOCKINDEX_HOLDERS_MAX = 8, /**< Maximum number of engines in one reply. */
  BLOCKINDEX_COPIES_MAX = 3   /**< Maximum number of store copies in the reply
                                 for one block. */
};

struct blockindex_settings
{
  size_t entries_max;
  struct cachehint_settings hint;
  struct blockcopy_settings copy;
};

struct blockindex_ops
{
  struct cachehint_ops hint;
  struct blockcopy_ops copy;
};

struct blockindex
{
  const struct clock *clock;
  struct blockindex_settings settings;
  struct blockentry_table entries;
  struct cachehint_table hints;
  struct blockcopy_table copies;
};

/** A store copy in a reply, with the values that a reader has to verify. */
struct blockindex_copy
{
  uint64_t store;
  uint64_t slot;
  uint64_t generation;
  uint64_t checksum;
  int64_t length; /**< Length in bytes. */
  enum blockcopy_tier tier;
};

/** Store copies of one block in a reply. */
struct blockindex_block
{
  unsigned copy_count;
  struct blockindex_copy copies[BLOCKINDEX_COPIES_MAX];
};

/** An engine that, according to hints, caches the first block_count blocks of
 * the prompt. */
struct blockindex_holder
{
  uint64_t engine;
  uint32_t block_count;
  double confidence; /**< Lowest confidence of the hints for these blocks, in
                        (0, 1]. */
};

/** Result of a lookup. */
struct blockindex_match
{
  unsigned holder_count;
  /** Engines, sorted by decreasing number of blocks. */
  struct blockindex_holder holders[BLOCKINDEX_HOLDERS_MAX];
  unsigned block_count; /**< Number of blocks up to the last one with a store
                             copy. */
  struct blockindex_block blocks[BLOCKINDEX_BLOCKS_MAX];
  int64_t idle_ns; /**< Time since the last request with this prompt; -1
                        if unknown or if less than half of the prompt
                        has entries. */
  /** Duration of the read lease, counted from the time at which the lookup was
   * sent; a process that forwards the match subtracts the time that has
   * passed. */
  int64_t read_lease_ns;
};

/** A lookup for one prompt. */
struct blockindex_query
{
  const struct block_scope *scope;
  const struct block_id *ids;
  size_t count;
  uint32_t kind; /**< Number of the request's kind, set by the caller. */
};

void blockindex_init (struct blockindex *index, const struct clock *clock,
                      const struct blockindex_settings *settings,
                      const struct blockindex_ops *ops, void *data);
void blockindex_finish (struct blockindex *index);

/** Find the engines and stores that have blocks of QUERY. Blocks of another
 * scope never match. */
void blockindex_lookup (struct blockindex *index,
                        const struct blockindex_query *query,
                        struct blockindex_match *match);

/** Run the timers of the hints and the copies. */
void blockindex_tick (struct blockindex *index);

/** Time at which blockindex_tick has to be called next, or CLOCK_NEVER. */
int64_t blockindex_next_tick_ns (const struct blockindex *index);

#endif
