#include "blockindex.h"

#include <string.h>

enum
{
  /* Maximum number of engines that one lookup considers. */
  SCAN_HOLDERS_MAX = 16
};

/* Prefix that one engine caches, as found so far by a lookup. */
struct scan_holder
{
  const struct cachehint_engine *engine;
  uint32_t hinted_count;  /* Number of blocks up to the last one for which the
                             shard has a hint from the engine. */
  uint32_t assumed_count; /* Number of leading blocks that the engine may
                             cache: each has a hint for the engine, or had
                             hints that newer ones replaced. */
  double confidence;
};

struct prefix_scan
{
  struct scan_holder holders[SCAN_HOLDERS_MAX];
  unsigned count;
  uint32_t overflow_count; /* Number of leading blocks in each of which newer
                              hints have replaced older ones. */
};

static struct scan_holder *
prefix_scan_find (struct prefix_scan *scan,
                  const struct cachehint_engine *engine)
{
  for (unsigned i = 0; i < scan->count; i++)
    if (scan->holders[i].engine == engine)
      return &scan->holders[i];
  return NULL;
}

/* Adds ENGINE, whose first hint is at POSITION, if hints were replaced in all
 * earlier blocks, so that hints for ENGINE may have been among them. */
static struct scan_holder *
prefix_scan_add (struct prefix_scan *scan,
                 const struct cachehint_engine *engine, uint32_t position)
{
  struct scan_holder *holder;

  if (scan->overflow_count < position || scan->count == SCAN_HOLDERS_MAX)
    return NULL;
  holder = &scan->holders[scan->count++];
  holder->engine = engine;
  holder->hinted_count = 0;
  holder->assumed_count = position;
  holder->confidence = 1;
  return holder;
}

static void
prefix_scan_hint (struct prefix_scan *scan, const struct blockentry_hint *hint,
                  uint32_t position, double confidence)
{
  struct scan_holder *holder = prefix_scan_find (scan, hint->engine);

  if (holder == NULL)
    holder = prefix_scan_add (scan, hint->engine, position);
  if (holder == NULL || holder->assumed_count != position)
    return;
  holder->hinted_count = position + 1;
  holder->assumed_count = position + 1;
  if (confidence < holder->confidence)
    holder->confidence = confidence;
}

static void
prefix_scan_entry (struct blockindex *index, struct prefix_scan *scan,
                   const struct blockentry *entry, uint32_t position,
                   int64_t now)
{
  for (unsigned i = 0; i < entry->hint_count; i++)
    {
      double confidence
          = cachehint_confidence (&index->hints, &entry->hints[i], now);

      if (confidence > 0)
        prefix_scan_hint (scan, &entry->hints[i], position, confidence);
    }
  if (!entry->hints_overflow)
    return;
  if (scan->overflow_count == position)
    scan->overflow_count = position + 1;
  for (unsigned i = 0; i < scan->count; i++)
    if (scan->holders[i].assumed_count == position)
      scan->holders[i].assumed_count = position + 1;
}

static bool
holder_ranks_before (const struct scan_holder *a, const struct scan_holder *b)
{
  if (a->hinted_count != b->hinted_count)
    return a->hinted_count > b->hinted_count;
  return a->confidence > b->confidence;
}

static void
match_add_holders (struct prefix_scan *scan, struct blockindex_match *match)
{
  for (unsigned i = 1; i < scan->count; i++)
    {
      struct scan_holder holder = scan->holders[i];
      unsigned at = i;

      while (at > 0 && holder_ranks_before (&holder, &scan->holders[at - 1]))
        {
          scan->holders[at] = scan->holders[at - 1];
          at--;
        }
      scan->holders[at] = holder;
    }
  for (unsigned i = 0;
       i < scan->count && match->holder_count < BLOCKINDEX_HOLDERS_MAX; i++)
    match->holders[match->holder_count++]
        = (struct blockindex_holder){ scan->holders[i].engine->id,
                                      scan->holders[i].hinted_count,
                                      scan->holders[i].confidence };
}

static void
match_add_copies (const struct blockentry *entry,
                  struct blockindex_block *block)
{
  const struct list *node;

  block->copy_count = 0;
  for (node = entry->copies.next; node != &entry->copies; node = node->next)
    {
      struct blockcopy *copy = LIST_ENTRY (node, struct blockcopy, sibling);

      if (!blockcopy_is_readable (copy))
        continue;
      if (block->copy_count == BLOCKINDEX_COPIES_MAX)
        return;
      block->copies[block->copy_count++]
          = (struct blockindex_copy){ copy->store->id,  copy->slot,
                                      copy->generation, copy->checksum,
                                      copy->length,     copy->tier };
      blockcopy_touch (copy);
    }
}

static void
match_entry (const struct blockindex_query *query, struct blockentry *entry,
             uint32_t position, struct blockindex_match *match)
{
  match_add_copies (entry, &match->blocks[position]);
  if (match->blocks[position].copy_count > 0 && match->block_count <= position)
    match->block_count = position + 1;
  entry->kind = query->kind;
  entry->position = (uint16_t)position;
}

/* Time since the last request with this prompt, taken from the last block that
 * has an entry. If less than half of the blocks have entries, they may be a
 * prefix shared by many prompts, which says nothing about this prompt; the
 * result is then -1. */
static int64_t
match_idle_ns (const struct blockentry *last_entry, uint32_t found_count,
               size_t count, int64_t now)
{
  if (last_entry == NULL || last_entry->last_used_ns == 0
      || found_count < count - found_count)
    return -1;
  return now - last_entry->last_used_ns;
}

/* Marks the blocks as used from the last one to the first, so that the first
 * blocks of a prompt are evicted last: later blocks are of no use without
 * them. */
static void
match_entries_backwards (struct blockindex *index,
                         const struct blockindex_query *query,
                         struct blockentry *const *entries, size_t count,
                         int64_t now, struct blockindex_match *match)
{
  for (size_t i = count; i-- > 0;)
    {
      match->blocks[i].copy_count = 0;
      if (entries[i] == NULL)
        continue;
      match_entry (query, entries[i], (uint32_t)i, match);
      entries[i]->last_used_ns = now;
      blockentry_touch (&index->entries, entries[i]);
    }
}

void
blockindex_init (struct blockindex *index, const struct clock *clock,
                 const struct blockindex_settings *settings,
                 const struct blockindex_ops *ops, void *data)
{
  index->clock = clock;
  index->settings = *settings;
  blockentry_table_init (&index->entries, settings->entries_max);
  cachehint_table_init (&index->hints, &index->entries, clock, &settings->hint,
                        &ops->hint, data);
  blockcopy_table_init (&index->copies, &index->entries, clock,
                        &settings->copy, &ops->copy, data);
}

void
blockindex_finish (struct blockindex *index)
{
  blockcopy_table_finish (&index->copies);
  cachehint_table_finish (&index->hints);
  blockentry_table_finish (&index->entries);
}

void
blockindex_lookup (struct blockindex *index,
                   const struct blockindex_query *query,
                   struct blockindex_match *match)
{
  int64_t now = clock_now (index->clock);
  size_t count = query->count < BLOCKINDEX_BLOCKS_MAX ? query->count
                                                      : BLOCKINDEX_BLOCKS_MAX;
  struct blockentry *entries[BLOCKINDEX_BLOCKS_MAX];
  const struct blockentry *last_entry = NULL;
  struct prefix_scan scan = { .count = 0 };
  uint32_t found_count = 0;

  match->holder_count = 0;
  match->block_count = 0;
  match->read_lease_ns = index->settings.copy.read_lease_ns;
  for (size_t i = 0; i < count; i++)
    {
      entries[i]
          = blockentry_find (&index->entries, query->scope, &query->ids[i]);
      if (entries[i] == NULL)
        continue;
      prefix_scan_entry (index, &scan, entries[i], (uint32_t)i, now);
      last_entry = entries[i];
      found_count = (uint32_t)i + 1;
    }
  match->idle_ns = match_idle_ns (last_entry, found_count, count, now);
  match_entries_backwards (index, query, entries, count, now, match);
  match_add_holders (&scan, match);
}

void
blockindex_tick (struct blockindex *index)
{
  cachehint_tick (&index->hints);
  blockcopy_tick (&index->copies);
}

int64_t
blockindex_next_tick_ns (const struct blockindex *index)
{
  int64_t hints = cachehint_next_tick_ns (&index->hints);
  int64_t copies = blockcopy_next_tick_ns (&index->copies);

  return hints < copies ? hints : copies;
}
