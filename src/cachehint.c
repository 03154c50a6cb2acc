#include "cachehint.h"

#include <math.h>

const struct cachehint_settings cachehint_settings_default = {
  .half_life_ns = 300 * NS_PER_S,
  .expected_half_life_ns = 10 * NS_PER_S,
  .listing_retry_ns = 5 * NS_PER_S,
  .doubt_factor = 0.5,
  .confidence_min = 0.05,
};

static struct cachehint_engine *
engine_find_or_create (struct cachehint_table *table, uint64_t id)
{
  struct cachehint_engine *engine = g_hash_table_lookup (table->engines, &id);

  if (engine != NULL)
    return engine;
  engine = g_new0 (struct cachehint_engine, 1);
  engine->id = id;
  engine->next_sequence = 1;
  list_init (&engine->node);
  g_hash_table_insert (table->engines, &engine->id, engine);
  return engine;
}

static struct blockentry_hint *
hint_find (struct blockentry *entry, const struct cachehint_engine *engine)
{
  for (unsigned i = 0; i < entry->hint_count; i++)
    if (entry->hints[i].engine == engine)
      return &entry->hints[i];
  return NULL;
}

static bool
hint_is_void (const struct blockentry_hint *hint)
{
  return hint->epoch != hint->engine->epoch;
}

/* Returns the element of the entry's hints that the caller overwrites: an
 * unused one, otherwise a void one, otherwise the oldest one. */
static struct blockentry_hint *
hint_allocate (struct blockentry *entry)
{
  struct blockentry_hint *oldest = &entry->hints[0];

  if (entry->hint_count < BLOCKENTRY_HINTS_MAX)
    return &entry->hints[entry->hint_count++];
  for (unsigned i = 0; i < entry->hint_count; i++)
    {
      if (hint_is_void (&entry->hints[i]))
        return &entry->hints[i];
      if (entry->hints[i].seen_ns < oldest->seen_ns)
        oldest = &entry->hints[i];
    }
  entry->hints_overflow = true;
  return oldest;
}

static void
hint_set (struct blockentry *entry, struct cachehint_engine *engine,
          int64_t now, bool expected)
{
  struct blockentry_hint *hint = hint_find (entry, engine);

  /* An expected hint does not replace a confirmed one, whose confidence must
   * not be lowered. */
  if (hint != NULL && expected && !hint->expected && !hint_is_void (hint))
    return;
  if (hint == NULL)
    hint = hint_allocate (entry);
  hint->engine = engine;
  hint->epoch = engine->epoch;
  hint->seen_ns = now;
  hint->expected = expected;
}

static void
hint_clear (struct blockentry *entry, const struct cachehint_engine *engine)
{
  struct blockentry_hint *hint = hint_find (entry, engine);

  if (hint == NULL)
    return;
  entry->hint_count--;
  *hint = entry->hints[entry->hint_count];
}

static void
engine_request_listing (struct cachehint_table *table,
                        struct cachehint_engine *engine)
{
  engine->listing_requested_ns = clock_now (table->clock);
  list_remove (&engine->node);
  list_append (&table->listings_pending, &engine->node);
  table->ops->list_engine (table->data, engine->id);
}

static void
engine_record_gap (struct cachehint_table *table,
                   struct cachehint_engine *engine)
{
  table->gap_count++;
  engine->last_gap_ns = clock_now (table->clock);
  if (engine->in_doubt)
    return;
  engine->in_doubt = true;
  engine_request_listing (table, engine);
}

static void
hint_set_prefix (struct cachehint_table *table,
                 const struct block_scope *scope, const struct block_id *ids,
                 size_t count, uint64_t id, bool expected)
{
  struct cachehint_engine *engine = engine_find_or_create (table, id);
  int64_t now = clock_now (table->clock);

  for (size_t i = 0; i < count; i++)
    {
      struct blockentry *entry
          = blockentry_find_or_create (table->entries, scope, &ids[i]);

      /* Blocks after one without an entry can't be part of a prefix. */
      if (entry == NULL)
        return;
      entry->position = (uint16_t)i;
      entry->last_used_ns = now;
      hint_set (entry, engine, now, expected);
      blockentry_touch (table->entries, entry);
    }
}

void
cachehint_table_init (struct cachehint_table *table,
                      struct blockentry_table *entries,
                      const struct clock *clock,
                      const struct cachehint_settings *settings,
                      const struct cachehint_ops *ops, void *data)
{
  table->entries = entries;
  table->clock = clock;
  table->settings = *settings;
  table->ops = ops;
  table->data = data;
  table->engines
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  list_init (&table->listings_pending);
  table->stale_count = 0;
  table->gap_count = 0;
  table->unknown_block_count = 0;
}

void
cachehint_table_finish (struct cachehint_table *table)
{
  g_hash_table_destroy (table->engines);
}

void
cachehint_expect (struct cachehint_table *table,
                  const struct block_scope *scope, const struct block_id *ids,
                  size_t count, uint64_t id)
{
  hint_set_prefix (table, scope, ids, count, id, true);
}

void
cachehint_confirm (struct cachehint_table *table,
                   const struct block_scope *scope, const struct block_id *ids,
                   size_t count, uint64_t id)
{
  hint_set_prefix (table, scope, ids, count, id, false);
}

void
cachehint_deny (struct cachehint_table *table, const struct block_scope *scope,
                const struct block_id *ids, size_t count, uint64_t id)
{
  const struct cachehint_engine *engine = engine_find_or_create (table, id);

  for (size_t i = 0; i < count; i++)
    {
      struct blockentry *entry
          = blockentry_find (table->entries, scope, &ids[i]);

      if (entry != NULL)
        hint_clear (entry, engine);
    }
}

enum status
cachehint_event (struct cachehint_table *table, uint64_t id, uint64_t sequence,
                 bool stored, const struct block_id *block)
{
  struct cachehint_engine *engine = engine_find_or_create (table, id);
  struct blockentry *entry;

  if (sequence < engine->next_sequence)
    {
      table->stale_count++;
      return STATUS_STALE;
    }
  if (sequence > engine->next_sequence)
    engine_record_gap (table, engine);
  engine->next_sequence = sequence + 1;
  entry = blockentry_find_id (table->entries, block);
  if (entry == NULL)
    {
      table->unknown_block_count++;
      return STATUS_NOT_FOUND;
    }
  if (!stored)
    hint_clear (entry, engine);
  else
    hint_set (entry, engine, clock_now (table->clock), false);
  return STATUS_OK;
}

void
cachehint_events_lost (struct cachehint_table *table, uint64_t id,
                       uint64_t next)
{
  struct cachehint_engine *engine = engine_find_or_create (table, id);

  if (next <= engine->next_sequence)
    return;
  engine->next_sequence = next;
  engine_record_gap (table, engine);
}

void
cachehint_listing_received (struct cachehint_table *table, uint64_t id,
                            uint64_t next, const struct block_id *ids,
                            size_t count)
{
  struct cachehint_engine *engine = engine_find_or_create (table, id);
  int64_t now = clock_now (table->clock);

  /* A stale listing would undo events that arrived after it. */
  if (next < engine->next_sequence)
    {
      table->stale_count++;
      return;
    }
  engine->epoch++;
  engine->next_sequence = next;
  engine->in_doubt = false;
  list_remove (&engine->node);
  for (size_t i = 0; i < count; i++)
    {
      struct blockentry *entry = blockentry_find_id (table->entries, &ids[i]);

      if (entry == NULL)
        table->unknown_block_count++;
      else
        hint_set (entry, engine, now, false);
    }
}

void
cachehint_engine_reset (struct cachehint_table *table, uint64_t id)
{
  struct cachehint_engine *engine = engine_find_or_create (table, id);

  engine->epoch++;
  engine->next_sequence = 1;
  engine->in_doubt = false;
  list_remove (&engine->node);
}

double
cachehint_confidence (const struct cachehint_table *table,
                      const struct blockentry_hint *hint, int64_t now)
{
  const struct cachehint_settings *settings = &table->settings;
  int64_t half_ns = hint->expected ? settings->expected_half_life_ns
                                   : settings->half_life_ns;
  double confidence;

  if (hint_is_void (hint))
    return 0;
  confidence = exp2 (-(double)(now - hint->seen_ns) / (double)half_ns);
  if (hint->engine->in_doubt && hint->seen_ns <= hint->engine->last_gap_ns)
    confidence *= settings->doubt_factor;
  return confidence >= settings->confidence_min ? confidence : 0;
}

void
cachehint_tick (struct cachehint_table *table)
{
  int64_t now = clock_now (table->clock);

  while (cachehint_next_tick_ns (table) <= now)
    engine_request_listing (table, LIST_ENTRY (table->listings_pending.next,
                                               struct cachehint_engine, node));
}

int64_t
cachehint_next_tick_ns (const struct cachehint_table *table)
{
  if (list_empty (&table->listings_pending))
    return CLOCK_NEVER;
  return LIST_ENTRY (table->listings_pending.next, struct cachehint_engine,
                     node)
             ->listing_requested_ns
         + table->settings.listing_retry_ns;
}
