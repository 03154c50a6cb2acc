#include "blockindex.h"

#include <string.h>

enum
{
  REACHES_MAX = 16 /* engines followed during one lookup */
};

/* How far one engine's prefix goes while a lookup runs over the pieces. */
struct reach
{
  const struct hint_engine *engine;
  uint32_t pieces;  /* up to the last one with a hint */
  uint32_t assumed; /* up to the last one with a hint or a dropped one */
  double confidence;
};

struct walk
{
  struct reach reaches[REACHES_MAX];
  unsigned count;
  uint32_t overflowed; /* pieces from the front with dropped hints */
};

static struct reach *
walk_find (struct walk *walk, const struct hint_engine *engine)
{
  for (unsigned i = 0; i < walk->count; i++)
    if (walk->reaches[i].engine == engine)
      return &walk->reaches[i];
  return NULL;
}

/* An engine may join late only if its earlier hints can have been dropped. */
static struct reach *
walk_add (struct walk *walk, const struct hint_engine *engine,
          uint32_t position)
{
  struct reach *reach;

  if (walk->overflowed < position || walk->count == REACHES_MAX)
    return NULL;
  reach = &walk->reaches[walk->count++];
  reach->engine = engine;
  reach->pieces = 0;
  reach->assumed = position;
  reach->confidence = 1;
  return reach;
}

static void
walk_hint (struct walk *walk, const struct blockentry_hint *hint,
           uint32_t position, double confidence)
{
  struct reach *reach = walk_find (walk, hint->engine);

  if (reach == NULL)
    reach = walk_add (walk, hint->engine, position);
  if (reach == NULL || reach->assumed != position)
    return;
  reach->pieces = position + 1;
  reach->assumed = position + 1;
  if (confidence < reach->confidence)
    reach->confidence = confidence;
}

static void
walk_entry (struct blockindex *index, struct walk *walk,
            const struct blockentry *entry, uint32_t position, int64_t now)
{
  for (unsigned i = 0; i < entry->hint_count; i++)
    {
      double confidence
          = hint_confidence (&index->hints, &entry->hints[i], now);

      if (confidence > 0)
        walk_hint (walk, &entry->hints[i], position, confidence);
    }
  if (!entry->hints_overflow)
    return;
  if (walk->overflowed == position)
    walk->overflowed = position + 1;
  for (unsigned i = 0; i < walk->count; i++)
    if (walk->reaches[i].assumed == position)
      walk->reaches[i].assumed = position + 1;
}

static bool
reach_before (const struct reach *a, const struct reach *b)
{
  if (a->pieces != b->pieces)
    return a->pieces > b->pieces;
  return a->confidence > b->confidence;
}

static void
match_holders (struct walk *walk, struct blockindex_match *match)
{
  for (unsigned i = 1; i < walk->count; i++)
    {
      struct reach reach = walk->reaches[i];
      unsigned at = i;

      while (at > 0 && reach_before (&reach, &walk->reaches[at - 1]))
        {
          walk->reaches[at] = walk->reaches[at - 1];
          at--;
        }
      walk->reaches[at] = reach;
    }
  for (unsigned i = 0;
       i < walk->count && match->holder_count < BLOCKINDEX_HOLDERS_MAX; i++)
    match->holders[match->holder_count++]
        = (struct blockindex_holder){ walk->reaches[i].engine->id,
                                      walk->reaches[i].pieces,
                                      walk->reaches[i].confidence };
}

static void
match_copies (const struct blockentry *entry, struct blockindex_piece *piece)
{
  const struct list *node;

  piece->copy_count = 0;
  for (node = entry->copies.next; node != &entry->copies; node = node->next)
    {
      struct copy *copy = LIST_ENTRY (node, struct copy, sibling);

      if (!copy_readable (copy))
        continue;
      if (piece->copy_count == BLOCKINDEX_COPIES_MAX)
        return;
      piece->copies[piece->copy_count++]
          = (struct blockindex_copy){ copy->store->id,  copy->slot,
                                      copy->generation, copy->checksum,
                                      copy->length,     copy->tier };
      copy_touch (copy);
    }
}

static void
match_entry (const struct blockindex_query *query, struct blockentry *entry,
             uint32_t position, struct blockindex_match *match)
{
  match_copies (entry, &match->pieces[position]);
  if (match->pieces[position].copy_count > 0 && match->piece_count <= position)
    match->piece_count = position + 1;
  entry->kind = query->kind;
  entry->position = (uint16_t)position;
}

/* What many prompts share at the front says nothing about this one. */
static int64_t
match_idle_ns (const struct blockentry *deepest, uint32_t known, size_t count,
               int64_t now)
{
  if (deepest == NULL || deepest->used_ns == 0 || known < count - known)
    return -1;
  return now - deepest->used_ns;
}

/* Later pieces first, so that the front of a prompt is the last to be
 * evicted: without it the rest is of no use. */
static void
match_backwards (struct blockindex *index,
                 const struct blockindex_query *query,
                 struct blockentry *const *entries, size_t count, int64_t now,
                 struct blockindex_match *match)
{
  for (size_t i = count; i-- > 0;)
    {
      match->pieces[i].copy_count = 0;
      if (entries[i] == NULL)
        continue;
      match_entry (query, entries[i], (uint32_t)i, match);
      entries[i]->used_ns = now;
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
  hint_table_init (&index->hints, &index->entries, clock, &settings->hint,
                   &ops->hint, data);
  copy_table_init (&index->copies, &index->entries, clock, &settings->copy,
                   &ops->copy, data);
}

void
blockindex_finish (struct blockindex *index)
{
  copy_table_finish (&index->copies);
  hint_table_finish (&index->hints);
  blockentry_table_finish (&index->entries);
}

void
blockindex_lookup (struct blockindex *index,
                   const struct blockindex_query *query,
                   struct blockindex_match *match)
{
  int64_t now = clock_now (index->clock);
  size_t count = query->count < BLOCKINDEX_PIECES_MAX ? query->count
                                                      : BLOCKINDEX_PIECES_MAX;
  struct blockentry *entries[BLOCKINDEX_PIECES_MAX];
  const struct blockentry *deepest = NULL;
  struct walk walk = { .count = 0 };
  uint32_t known = 0;

  match->holder_count = 0;
  match->piece_count = 0;
  match->read_lease_ns = index->settings.copy.read_lease_ns;
  for (size_t i = 0; i < count; i++)
    {
      entries[i]
          = blockentry_find (&index->entries, query->scope, &query->ids[i]);
      if (entries[i] == NULL)
        continue;
      walk_entry (index, &walk, entries[i], (uint32_t)i, now);
      deepest = entries[i];
      known = (uint32_t)i + 1;
    }
  match->idle_ns = match_idle_ns (deepest, known, count, now);
  match_backwards (index, query, entries, count, now, match);
  match_holders (&walk, match);
}

void
blockindex_tick (struct blockindex *index)
{
  hint_tick (&index->hints);
  copy_tick (&index->copies);
}

int64_t
blockindex_next (const struct blockindex *index)
{
  int64_t hints = hint_next (&index->hints);
  int64_t copies = copy_next (&index->copies);

  return hints < copies ? hints : copies;
}
