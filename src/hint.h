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
 * What engines are believed to have cached. Cache events come late and with
 * gaps, so this is never more than a hint: its confidence halves with age, and
 * an event gap puts all of an engine's hints in doubt until a fresh listing.
 */

struct hint_settings
{
  int64_t half_ns;          /**< Confidence of a seen hint halves. */
  int64_t expected_half_ns; /**< The same without an event yet. */
  int64_t relist_ns;        /**< Between two requests for a listing. */
  double doubt;             /**< Factor for hints in doubt, in [0, 1]. */
  double confidence_min;    /**< Hints below it are not used. */
};

extern const struct hint_settings hint_settings_default;

struct hint_ops
{
  /** Ask ENGINE for a fresh listing of its cache. */
  void (*list_engine) (void *data, uint64_t engine);
};

struct hint_engine
{
  uint64_t id;
  uint64_t next;      /**< sequence of the next event */
  uint32_t epoch;     /**< Hints of an earlier one are void. */
  bool doubtful;      /**< Events were missed. */
  int64_t doubted_ns; /**< Hints seen up to here are in doubt. */
  int64_t asked_ns;   /**< when a listing was last asked for */
  struct list node;   /**< on hint_table.asked, oldest first */
};

struct hint_table
{
  struct blockentry_table *entries;
  const struct clock *clock;
  struct hint_settings settings;
  const struct hint_ops *ops;
  void *data;
  GHashTable *engines;
  struct list asked;
  uint64_t late;    /**< Events that came after their turn. */
  uint64_t gaps;    /**< Event gaps seen. */
  uint64_t unknown; /**< Events for blocks without an entry. */
};

void hint_table_init (struct hint_table *table,
                      struct blockentry_table *entries,
                      const struct clock *clock,
                      const struct hint_settings *settings,
                      const struct hint_ops *ops, void *data);
void hint_table_finish (struct hint_table *table);

/** A request with these blocks was sent to ENGINE, which will have them. */
void hint_expect (struct hint_table *table, const struct block_scope *scope,
                  const struct block_id *ids, size_t count, uint64_t engine);

/** ENGINE itself said that it has, or now has, these blocks. */
void hint_confirm (struct hint_table *table, const struct block_scope *scope,
                   const struct block_id *ids, size_t count, uint64_t engine);

/** ENGINE itself said that it did not have these blocks. */
void hint_deny (struct hint_table *table, const struct block_scope *scope,
                const struct block_id *ids, size_t count, uint64_t engine);

/** One cache event; sequences count from 1 without gaps.
 * @return STATUS_STALE for a late one, STATUS_NOT_FOUND for a block without
 * an entry; both change nothing. */
enum status hint_event (struct hint_table *table, uint64_t engine,
                        uint64_t sequence, bool stored,
                        const struct block_id *id);

/** The engine's events up to NEXT (not itself) are lost for good. */
void hint_gap (struct hint_table *table, uint64_t engine, uint64_t next);

/** A whole fresh listing; NEXT is the sequence of the first event after it.
 * What it does not name is void. */
void hint_listing (struct hint_table *table, uint64_t engine, uint64_t next,
                   const struct block_id *ids, size_t count);

/** The engine died or started again: its cache is empty. */
void hint_engine_gone (struct hint_table *table, uint64_t engine);

/** How far HINT is to be believed at NOW, in [0, 1]; 0 if void. */
double hint_confidence (const struct hint_table *table,
                        const struct blockentry_hint *hint, int64_t now);

/** Ask again for listings that did not come. */
void hint_tick (struct hint_table *table);
int64_t hint_next (const struct hint_table *table);

#endif
