#ifndef CACHEHINT_H
#define CACHEHINT_H

#include "blockentry.h"
#include "clock.h"
#include "list.h"
#include "status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * Hints about which blocks engines cache. Cache events arrive late and with
 * gaps, so the hints are unconfirmed: their confidence decays exponentially
 * with age, and a gap in an engine's events puts all of its hints in doubt
 * until a new listing.
 */

struct cachehint_settings
{
  int64_t half_life_ns; /**< Half-life of the confidence in a hint that the
                        engine confirmed. */
  int64_t expected_half_life_ns; /**< Half-life of the confidence in a hint
                                 that the engine has not confirmed yet. */
  int64_t listing_retry_ns; /**< Interval at which an unanswered request for a
                               listing is sent again. */
  double doubt_factor;   /**< Factor, in [0, 1], by which the confidence in a
                            hint is multiplied while it is in doubt. */
  double confidence_min; /**< Minimum confidence of a hint that is used. */
};

extern const struct cachehint_settings cachehint_settings_default;

struct cachehint_ops
{
  /** Request from ENGINE a new listing of its cache. */
  void (*list_engine) (void *data, uint64_t engine);
};

struct cachehint_engine
{
  uint64_t id;
  uint64_t next_sequence; /**< Sequence number of the next event. */
  /** Epoch of the engine; hints of an earlier epoch are void. */
  uint32_t epoch;
  bool in_doubt; /**< Whether events were missed since the last listing. */
  int64_t last_gap_ns; /**< Time of the last gap in the events; while in_doubt
                          is set, hints up to this time are in doubt. */
  int64_t listing_requested_ns; /**< Time of the last request for a listing. */
  struct list node;             /**< Node in the table's listings_pending. */
};

struct cachehint_table
{
  struct blockentry_table *entries;
  const struct clock *clock;
  struct cachehint_settings settings;
  const struct cachehint_ops *ops;
  void *data;
  GHashTable *engines;
  struct list listings_pending; /**< Engines whose listing is pending, the
                                   oldest request first. */
  uint64_t stale_count; /**< Number of events and listings that were ignored as
                           out of date. */
  uint64_t gap_count;   /**< Number of gaps in the engines' event sequences. */
  uint64_t unknown_block_count; /**< Number of blocks in events and listings
                                   that have no entry. */
};

void cachehint_table_init (struct cachehint_table *table,
                           struct blockentry_table *entries,
                           const struct clock *clock,
                           const struct cachehint_settings *settings,
                           const struct cachehint_ops *ops, void *data);
void cachehint_table_finish (struct cachehint_table *table);

/** Record that a request with the blocks IDS was sent to ENGINE, which is
 * expected to cache them. */
void cachehint_expect (struct cachehint_table *table,
                       const struct block_scope *scope,
                       const struct block_id *ids, size_t count,
                       uint64_t engine);

/** Record that ENGINE reported that it caches the blocks IDS. */
void cachehint_confirm (struct cachehint_table *table,
                        const struct block_scope *scope,
                        const struct block_id *ids, size_t count,
                        uint64_t engine);

/** Record that ENGINE reported that it did not have the blocks IDS cached. */
void cachehint_deny (struct cachehint_table *table,
                     const struct block_scope *scope,
                     const struct block_id *ids, size_t count,
                     uint64_t engine);

/** Process a cache event of ENGINE: the block ID was cached if STORED is true,
 * otherwise it was evicted. The sequence numbers of an engine's events start
 * from 1 and have no gaps.
 * @return STATUS_STALE for an event out of sequence, which is ignored;
 * STATUS_NOT_FOUND for a block without an entry, which changes no hint. */
enum status cachehint_event (struct cachehint_table *table, uint64_t engine,
                             uint64_t sequence, bool stored,
                             const struct block_id *id);

/** Record that the events of ENGINE before sequence number NEXT are lost and
 * will not arrive. */
void cachehint_events_lost (struct cachehint_table *table, uint64_t engine,
                            uint64_t next);

/** Process a new listing of ENGINE's whole cache. NEXT is the sequence number
 * of the first event after the listing. Hints for other blocks become void. */
void cachehint_listing_received (struct cachehint_table *table,
                                 uint64_t engine, uint64_t next,
                                 const struct block_id *ids, size_t count);

/** Record that ENGINE crashed or restarted: its cache is empty. */
void cachehint_engine_reset (struct cachehint_table *table, uint64_t engine);

/** Confidence in HINT at the time NOW, in [0, 1]; 0 if the hint is void. */
double cachehint_confidence (const struct cachehint_table *table,
                             const struct blockentry_hint *hint, int64_t now);

/** Send the requests for listings again that were not answered within
 * listing_retry_ns. */
void cachehint_tick (struct cachehint_table *table);

/** Time at which cachehint_tick has to be called next, or CLOCK_NEVER. */
int64_t cachehint_next_tick_ns (const struct cachehint_table *table);

#endif
