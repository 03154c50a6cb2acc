#ifndef BLOCKINDEX_H
#define BLOCKINDEX_H

#include "copy.h"
#include "hint.h"

/** @file
 * One shard's index of KV cache blocks: the entries, the hints of what engines
 * hold, the copies on stores, and the lookup over all of them. It is soft:
 * after a start it is rebuilt from the stores' listings, and what it does not
 * know is a miss. Events go to the parts: hint_* (&index.hints), copy_*
 * (&index.copies).
 */

enum
{
  BLOCKINDEX_PIECES_MAX = 64, /**< Pieces of one lookup; the rest is cut. */
  BLOCKINDEX_HOLDERS_MAX = 8, /**< Engines named in one answer. */
  BLOCKINDEX_COPIES_MAX = 3   /**< Store copies named for one piece. */
};

struct blockindex_settings
{
  size_t entries_max;
  struct hint_settings hint;
  struct copy_settings copy;
};

struct blockindex_ops
{
  struct hint_ops hint;
  struct copy_ops copy;
};

struct blockindex
{
  const struct clock *clock;
  struct blockindex_settings settings;
  struct blockentry_table entries;
  struct hint_table hints;
  struct copy_table copies;
};

/** A store copy as handed out: all that a reader must check. */
struct blockindex_copy
{
  uint64_t store;
  uint64_t slot;
  uint64_t generation;
  uint64_t checksum;
  int64_t length; /**< bytes */
  enum copy_tier tier;
};

struct blockindex_piece
{
  unsigned copy_count;
  struct blockindex_copy copies[BLOCKINDEX_COPIES_MAX];
};

/** An engine that is believed to hold the first PIECES pieces. */
struct blockindex_holder
{
  uint64_t engine;
  uint32_t pieces;
  double confidence; /**< of the weakest piece, in (0, 1] */
};

struct blockindex_match
{
  unsigned holder_count; /**< the longest prefixes first */
  struct blockindex_holder holders[BLOCKINDEX_HOLDERS_MAX];
  unsigned piece_count; /**< up to the last piece with a store copy */
  struct blockindex_piece pieces[BLOCKINDEX_PIECES_MAX];
  int64_t idle_ns; /**< since this prompt was last seen; -1 if not known or
                        if less than half of it is */
  int64_t read_lease_ns; /**< from when the lookup was sent; who passes the
                              match on takes off what has gone by */
};

/** A lookup for one prompt. */
struct blockindex_query
{
  const struct block_scope *scope;
  const struct block_id *ids;
  size_t count;
  uint32_t kind; /**< the caller's number of the request kind */
};

void blockindex_init (struct blockindex *index, const struct clock *clock,
                      const struct blockindex_settings *settings,
                      const struct blockindex_ops *ops, void *data);
void blockindex_finish (struct blockindex *index);

/** Find who has the pieces of QUERY. Pieces of another scope never match. */
void blockindex_lookup (struct blockindex *index,
                        const struct blockindex_query *query,
                        struct blockindex_match *match);

void blockindex_tick (struct blockindex *index);
int64_t blockindex_next (const struct blockindex *index);

#endif
