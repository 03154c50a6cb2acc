#ifndef HINT_H
#define HINT_H

#include "blockentry.h"
#include "clock.h"
#include "list.h"
#include "status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * Hints which blocks engines cache. Cache events arrive late and with gaps, so
 * the hints are unconfirmed: their confidence decays exponentially with age,
 * and a gap in an engine's events puts all of its hints in doubt until a new
 * listing.
 */

struct hint_settings
{
  int64_t half_ns;          /**< Half-life of the confidence in a hint that the
                                 engine confirmed. */
  int64_t expected_half_ns; /**< Half-life of the confidence in a hint that the
                                 engine has not confirmed yet. */
  int64_t relist_ns;        /**< Interval between requests for a listing. */
  double doubt;             /**< Factor on the confidence in hints in doubt, in
                                 [0, 1]. */
  double confidence_min;    /**< Hints with less confidence are not used. */
};

extern const struct hint_settings hint_settings_default;

struct hint_ops
{
  /** Request a new listing of its cache from ENGINE. */
  void (*list_engine) (void *data, uint64_t engine);
};

struct hint_engine
{
  uint64_t id;
  uint64_t next;      /**< Sequence number of the next event. */
  uint32_t epoch;     /**< Hints of an earlier epoch are void. */
  bool doubtful;      /**< Events were missed since the last listing. */
  int64_t doubted_ns; /**< Time of the last gap; while DOUBTFUL, hints up to
                           this time are in doubt. */
  int64_t asked_ns;   /**< Time of the last request for a listing. */
  struct list node;   /**< Link in hint_table.asked. */
};

struct hint_table
{
  struct blockentry_table *entries;
  const struct clock *clock;
  struct hint_settings settings;
  const struct hint_ops *ops;
  void *data;
  GHashTable *engines;
  struct list asked; /**< Engines whose listing is pending; the oldest request
                          first. */
  uint64_t late;     /**< Events and listings ignored as out of date. */
  uint64_t gaps;     /**< Gaps in the engines' event sequences. */
  uint64_t unknown;  /**< Blocks without an entry in events and listings. */
};

void hint_table_init (struct hint_table *table,
                      struct blockentry_table *entries,
                      const struct clock *clock,
                      const struct hint_settings *settings,
                      const struct hint_ops *ops, void *data);
void hint_table_finish (struct hint_table *table);

/** Record that a request with these blocks was sent to ENGINE, which is
 * expected to cache them. */
void hint_expect (struct hint_table *table, const struct block_scope *scope,
                  const struct block_id *ids, size_t count, uint64_t engine);

/** Record that ENGINE reported that it caches these blocks. */
void hint_confirm (struct hint_table *table, const struct block_scope *scope,
                   const struct block_id *ids, size_t count, uint64_t engine);

/** Record that ENGINE reported that it did not have these blocks. */
void hint_deny (struct hint_table *table, const struct block_scope *scope,
                const struct block_id *ids, size_t count, uint64_t engine);

/** Process a cache event of ENGINE: block ID was stored or else removed. The
 * sequence numbers of an engine's events start from 1 and have no gaps.
 * @return STATUS_STALE for an event out of sequence, which is ignored;
 * STATUS_NOT_FOUND for a block without an entry, which changes no hint. */
enum status hint_event (struct hint_table *table, uint64_t engine,
                        uint64_t sequence, bool stored,
                        const struct block_id *id);

/** Record that the events of ENGINE before sequence number NEXT are lost and
 * will not arrive. */
void hint_gap (struct hint_table *table, uint64_t engine, uint64_t next);

/** Process a new listing of ENGINE's whole cache. NEXT is the sequence number
 * of the first event after it. Hints for other blocks become void. */
void hint_listing (struct hint_table *table, uint64_t engine, uint64_t next,
                   const struct block_id *ids, size_t count);

/** Record that ENGINE crashed or restarted: its cache is empty. */
void hint_engine_gone (struct hint_table *table, uint64_t engine);

/** Confidence in HINT at the time NOW, in [0, 1]; 0 if the hint is void. */
double hint_confidence (const struct hint_table *table,
                        const struct blockentry_hint *hint, int64_t now);

/** Request the listings again that did not arrive in time. */
void hint_tick (struct hint_table *table);

/** Time when hint_tick is due next, or CLOCK_NEVER. */
int64_t hint_next (const struct hint_table *table);

#endif
