#include "fake-blockindex.h"
#include "unit.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

static void
world_free_slot (void *data, uint64_t store, uint64_t slot,
                 uint64_t generation)
{
  struct world *w = data;

  for (unsigned i = 0; i < w->lease_count; i++)
    if (w->leases[i].store == store && w->leases[i].slot == slot
        && w->leases[i].generation == generation
        && w->leases[i].until_ns > w->clock.now_ns)
      w->broken++;
  w->freed++;
  if (w->slots[store][slot].generation == generation)
    w->slots[store][slot].used = false;
}

static void
world_list_engine (void *data, uint64_t engine)
{
  ((struct world *)data)->listings++;
}

static const struct blockindex_ops world_ops
    = { { world_list_engine }, { world_free_slot } };

void
world_init (struct world *w, uint64_t seed, size_t entries_max)
{
  static const char *const organisations[SCOPES] = { "arp", "sar" };
  struct blockindex_settings settings
      = { entries_max, cachehint_settings_default,
          blockcopy_settings_default };
  struct block_key key = { { 1 } };
  char prompt[BLOCKS * 4];

  memset (w, 0, sizeof *w);
  memset (prompt, 'p', sizeof prompt);
  clock_fake_init (&w->clock, NS_PER_S);
  rng_init (&w->rng, seed);
  w->read_ns = blockcopy_settings_default.read_lease_ns;
  blockindex_init (&w->index, &w->clock.clock, &settings, &world_ops, w);
  /* Two organisations with the same prompt text. */
  for (int c = 0; c < SCOPES; c++)
    {
      block_scope_init (&w->scopes[c], organisations[c], "m", "1", NULL);
      block_chain_ids (&w->scopes[c], &key, prompt, sizeof prompt, 4,
                       w->ids[c], BLOCKS);
    }
  for (int e = 0; e < ENGINES; e++)
    w->next[e] = 1;
  for (uint64_t s = 0; s < STORES; s++)
    {
      blockcopy_listing_begin (&w->index.copies, s);
      blockcopy_listing_end (&w->index.copies, s);
      w->alive[s] = true;
    }
}

struct blockcopy_ref
world_ref (struct world *w, uint64_t store, int c, int b)
{
  return (struct blockcopy_ref){ &w->scopes[c], w->ids[c][b], store };
}

static void
naive_end_add (struct world *w, uint64_t store, uint64_t slot,
               uint64_t generation)
{
  CU_ASSERT_FATAL (w->end_count < 1024);
  w->ends[w->end_count++]
      = (struct naive_end){ store, slot, generation, w->clock.now_ns, false };
}

static void
naive_condemn (struct world *w, uint64_t store, struct naive_copy *n)
{
  n->there = false;
  if (n->state != BLOCKCOPY_REQUESTED)
    naive_end_add (w, store, n->slot, n->generation);
}

static void
step_reserve (struct world *w, uint64_t s, int c, int b)
{
  struct naive_copy *n = &w->copies[s][c][b];
  struct blockcopy_ref ref = world_ref (w, s, c, b);
  enum status expected = STATUS_OK;

  if (!w->alive[s])
    expected = STATUS_UNAVAILABLE;
  else if (w->clock.now_ns < w->full_until_ns[s])
    expected = STATUS_LIMITED;
  else if (n->there)
    expected = STATUS_CONFLICT;
  CU_ASSERT_EQUAL (
      blockcopy_reserve (&w->index.copies, &ref, BLOCKCOPY_DISK, LENGTH),
      expected);
  if (expected == STATUS_OK || expected == STATUS_CONFLICT)
    w->known[c][b] = true;
  if (expected == STATUS_OK)
    *n = (struct naive_copy){ .there = true, .since_ns = w->clock.now_ns };
}

static void
step_answer (struct world *w, uint64_t s, int c, int b)
{
  struct naive_copy *n = &w->copies[s][c][b];
  struct blockcopy_ref ref = world_ref (w, s, c, b);
  uint64_t slot = 0;

  if (!n->there || n->state != BLOCKCOPY_REQUESTED)
    return;
  while (slot < SLOTS && w->slots[s][slot].used)
    slot++;
  if (slot == SLOTS)
    {
      blockcopy_slot_refused (&w->index.copies, &ref, true);
      n->there = false;
      w->full_until_ns[s]
          = w->clock.now_ns + blockcopy_settings_default.full_backoff_ns;
      return;
    }
  w->slots[s][slot]
      = (struct slot){ .used = true,
                       .scope = c,
                       .block = b,
                       .generation = w->slots[s][slot].generation + 1,
                       .checksum = rng_next (&w->rng) };
  n->state = BLOCKCOPY_RESERVED;
  n->slot = slot;
  n->generation = w->slots[s][slot].generation;
  CU_ASSERT_EQUAL (
      blockcopy_slot_assigned (&w->index.copies, &ref, slot, n->generation),
      STATUS_OK);
}

/* The writer's word: right, for an old generation, or cut short. */
static void
step_written (struct world *w, uint64_t s, int c, int b)
{
  struct naive_copy *n = &w->copies[s][c][b];
  struct blockcopy_ref ref = world_ref (w, s, c, b);
  uint64_t fault = rng_below (&w->rng, 8);
  const struct slot *slot = &w->slots[s][n->slot];
  enum status expected = STATUS_OK, got;

  if (!n->there || n->state != BLOCKCOPY_RESERVED)
    return;
  got = blockcopy_written (&w->index.copies, &ref,
                           n->generation - (fault == 0), LENGTH - (fault == 1),
                           slot->checksum);
  if (fault == 0)
    expected = STATUS_STALE;
  else if (fault == 1)
    {
      expected = STATUS_CORRUPT;
      naive_condemn (w, s, n);
    }
  else
    {
      n->state = BLOCKCOPY_WRITTEN;
      n->checksum = slot->checksum;
    }
  CU_ASSERT_EQUAL (got, expected);
}

static void
step_sealed (struct world *w, uint64_t s, int c, int b)
{
  struct naive_copy *n = &w->copies[s][c][b];
  struct blockcopy_ref ref = world_ref (w, s, c, b);
  struct slot *slot = &w->slots[s][n->slot];
  enum status expected = STATUS_CONFLICT, got;
  bool wrong = rng_below (&w->rng, 8) == 0;

  if (!n->there || n->state == BLOCKCOPY_REQUESTED)
    return;
  slot->sealed = slot->sealed || n->state == BLOCKCOPY_WRITTEN;
  got = blockcopy_sealed (&w->index.copies, &ref, n->generation, LENGTH,
                          slot->checksum ^ wrong);
  if (n->state != BLOCKCOPY_RESERVED)
    {
      expected = wrong ? STATUS_CORRUPT : STATUS_OK;
      n->state = BLOCKCOPY_SEALED;
      if (wrong)
        naive_condemn (w, s, n);
    }
  CU_ASSERT_EQUAL (got, expected);
}

static void
step_condemn (struct world *w, uint64_t s, int c, int b)
{
  struct naive_copy *n = &w->copies[s][c][b];
  struct blockcopy_ref ref = world_ref (w, s, c, b);

  CU_ASSERT_EQUAL (blockcopy_withdraw (&w->index.copies, &ref, 0) == STATUS_OK,
                   n->there);
  if (n->there)
    naive_condemn (w, s, n);
}

/* A store dies with all its slots, or comes back empty. */
static void
step_store_gone (struct world *w, uint64_t s, int c, int b)
{
  if (rng_below (&w->rng, 20) > 0)
    return;
  blockcopy_store_down (&w->index.copies, s);
  w->alive[s] = false;
  memset (w->copies[s], 0, sizeof w->copies[s]);
  for (int i = 0; i < SLOTS; i++)
    w->slots[s][i].used = false;
  for (unsigned i = 0; i < w->lease_count; i++)
    if (w->leases[i].store == s)
      w->leases[i].until_ns = 0;
  for (unsigned i = 0; i < w->end_count; i++)
    if (w->ends[i].store == s)
      w->ends[i].freed = true;
}

static bool
naive_ending (const struct world *w, uint64_t s, uint64_t slot)
{
  for (unsigned i = 0; i < w->end_count; i++)
    if (w->ends[i].store == s && w->ends[i].slot == slot
        && w->ends[i].generation == w->slots[s][slot].generation)
      return true;
  return false;
}

static void
naive_item (struct world *w, uint64_t s, uint64_t i, bool listed[][BLOCKS])
{
  const struct slot *slot = &w->slots[s][i];
  struct naive_copy *n = &w->copies[s][slot->scope][slot->block];

  if (naive_ending (w, s, i))
    return;
  w->known[slot->scope][slot->block] = true;
  if (n->there && n->state == BLOCKCOPY_REQUESTED)
    return;
  if (n->there && n->slot != i)
    {
      naive_end_add (w, s, i, slot->generation);
      return;
    }
  listed[slot->scope][slot->block] = true;
  if (!n->there)
    *n = (struct naive_copy){ true, BLOCKCOPY_RESERVED, i, slot->generation,
                              0,    w->clock.now_ns };
  if (slot->sealed)
    {
      n->state = BLOCKCOPY_SEALED;
      n->checksum = slot->checksum;
    }
}

static void
step_listing (struct world *w, uint64_t s, int c, int b)
{
  bool listed[SCOPES][BLOCKS] = { 0 };

  if (rng_below (&w->rng, 4) > 0)
    return;
  blockcopy_listing_begin (&w->index.copies, s);
  w->alive[s] = true;
  for (uint64_t i = 0; i < SLOTS; i++)
    {
      const struct slot *slot = &w->slots[s][i];
      struct blockcopy_listed item = { i,
                                       slot->generation,
                                       w->ids[slot->scope][slot->block],
                                       w->scopes[slot->scope],
                                       (uint16_t)slot->block,
                                       BLOCKCOPY_DISK,
                                       slot->sealed,
                                       LENGTH,
                                       slot->checksum };

      if (!slot->used)
        continue;
      blockcopy_listing_item (&w->index.copies, s, &item);
      naive_item (w, s, i, listed);
    }
  blockcopy_listing_end (&w->index.copies, s);
  for (int x = 0; x < SCOPES; x++)
    for (int y = 0; y < BLOCKS; y++)
      if (w->copies[s][x][y].state == BLOCKCOPY_SEALED && !listed[x][y])
        w->copies[s][x][y].there = false;
}

static void
step_event (struct world *w, uint64_t s, int c, int b)
{
  uint64_t e = rng_below (&w->rng, ENGINES);
  uint64_t sequence = w->next[e] + rng_below (&w->rng, 12) / 10;
  struct naive_hint *h = &w->hints[e][c][b];
  bool stored = rng_below (&w->rng, 3) > 0;
  enum status expected = w->known[c][b] ? STATUS_OK : STATUS_NOT_FOUND;

  if (rng_below (&w->rng, 8) == 0 && w->next[e] > 1)
    {
      sequence = w->next[e] - 1;
      expected = STATUS_STALE;
    }
  CU_ASSERT_EQUAL (
      cachehint_event (&w->index.hints, e, sequence, stored, &w->ids[c][b]),
      expected);
  if (expected == STATUS_STALE)
    return;
  if (sequence > w->next[e])
    {
      w->doubtful[e] = true;
      w->doubted_ns[e] = w->clock.now_ns;
    }
  w->next[e] = sequence + 1;
  if (expected == STATUS_OK)
    *h = (struct naive_hint){ stored, false, w->clock.now_ns };
}

static void
step_expect (struct world *w, uint64_t s, int c, int b)
{
  uint64_t e = rng_below (&w->rng, ENGINES);

  cachehint_expect (&w->index.hints, &w->scopes[c], w->ids[c], (size_t)b, e);
  for (int i = 0; i < b; i++)
    {
      struct naive_hint *h = &w->hints[e][c][i];

      w->known[c][i] = true;
      if (!h->there || h->expected)
        *h = (struct naive_hint){ true, true, w->clock.now_ns };
    }
}

static void
step_engine_listing (struct world *w, uint64_t s, int c, int b)
{
  uint64_t e = rng_below (&w->rng, ENGINES);

  if (rng_below (&w->rng, 10) > 0)
    return;
  if (b == 0)
    cachehint_engine_reset (&w->index.hints, e);
  else
    cachehint_listing_received (&w->index.hints, e, w->next[e], &w->ids[c][b],
                                1);
  memset (w->hints[e], 0, sizeof w->hints[e]);
  w->doubtful[e] = false;
  w->next[e] = b == 0 ? 1 : w->next[e];
  if (b > 0 && w->known[c][b])
    w->hints[e][c][b] = (struct naive_hint){ true, false, w->clock.now_ns };
}

static double
naive_confidence (const struct world *w, int e, const struct naive_hint *h)
{
  const struct cachehint_settings *settings = &cachehint_settings_default;
  double age = (double)(w->clock.now_ns - h->seen_ns);
  double confidence
      = exp2 (-age
              / (double)(h->expected ? settings->expected_half_life_ns
                                     : settings->half_life_ns));

  if (w->doubtful[e] && h->seen_ns <= w->doubted_ns[e])
    confidence *= settings->doubt_factor;
  return h->there && confidence >= settings->confidence_min ? confidence : 0;
}

static void
check_holders (struct world *w, int c, const struct blockindex_match *match)
{
  unsigned count = 0;

  for (int e = 0; e < ENGINES; e++)
    {
      double weakest = 1, confidence;
      unsigned pieces = 0, i = 0;

      while (pieces < BLOCKS
             && (confidence = naive_confidence (w, e, &w->hints[e][c][pieces]))
                    > 0)
        {
          weakest = confidence < weakest ? confidence : weakest;
          pieces++;
        }
      if (pieces == 0)
        continue;
      count++;
      while (i < match->holder_count
             && match->holders[i].engine != (unsigned)e)
        i++;
      CU_ASSERT_FATAL (i < match->holder_count);
      CU_ASSERT_EQUAL (match->holders[i].block_count, pieces);
      CU_ASSERT_DOUBLE_EQUAL (match->holders[i].confidence, weakest, 1e-12);
    }
  CU_ASSERT_EQUAL (match->holder_count, count);
}

/* Each copy handed out is sealed in the store with the same generation,
 * checksum and owner; it is read until the lease ends. */
static void
check_copy (struct world *w, int c, int b, const struct blockindex_copy *copy)
{
  const struct slot *slot = &w->slots[copy->store][copy->slot];
  const struct naive_copy *n = &w->copies[copy->store][c][b];

  CU_ASSERT_TRUE (slot->used && slot->sealed);
  CU_ASSERT_TRUE (slot->generation == copy->generation);
  CU_ASSERT_TRUE (slot->checksum == copy->checksum);
  CU_ASSERT_TRUE (slot->scope == c && slot->block == b);
  CU_ASSERT_TRUE (n->there && n->state == BLOCKCOPY_SEALED);
  CU_ASSERT_TRUE (n->slot == copy->slot && n->generation == copy->generation);
  w->handed++;
  w->leases[w->lease_count++ % LEASES]
      = (struct lease){ copy->store, copy->slot, copy->generation,
                        w->clock.now_ns + w->read_ns };
  if (w->lease_count >= LEASES)
    w->lease_count = 0;
}

static void
step_lookup (struct world *w, uint64_t s, int c, int b)
{
  struct blockindex_query query = { &w->scopes[c], w->ids[c], BLOCKS, 0 };
  struct blockindex_match match;

  blockindex_lookup (&w->index, &query, &match);
  check_holders (w, c, &match);
  for (int i = 0; i < BLOCKS; i++)
    {
      unsigned sealed = 0;

      for (uint64_t t = 0; t < STORES; t++)
        sealed += w->copies[t][c][i].there
                  && w->copies[t][c][i].state == BLOCKCOPY_SEALED;
      CU_ASSERT_EQUAL (match.blocks[i].copy_count, sealed);
      for (unsigned j = 0; j < match.blocks[i].copy_count; j++)
        check_copy (w, c, i, &match.blocks[i].copies[j]);
    }
}

static void
naive_tick (struct world *w)
{
  const struct blockcopy_settings *settings = &blockcopy_settings_default;
  unsigned kept = 0;

  for (uint64_t s = 0; s < STORES; s++)
    for (int i = 0; i < SCOPES * BLOCKS; i++)
      {
        struct naive_copy *n = &w->copies[s][i / BLOCKS][i % BLOCKS];

        if (n->there && n->state < BLOCKCOPY_SEALED
            && n->since_ns + settings->write_timeout_ns <= w->clock.now_ns)
          naive_condemn (w, s, n);
      }
  for (unsigned i = 0; i < w->end_count; i++)
    {
      struct naive_end end = w->ends[i];

      if (end.since_ns + settings->free_delay_ns <= w->clock.now_ns)
        {
          if (end.freed)
            continue;
          end.freed = true;
          end.since_ns = w->clock.now_ns;
        }
      w->ends[kept++] = end;
    }
  w->end_count = kept;
}

void
world_run (struct world *w)
{
  static void (*const steps[]) (struct world *, uint64_t, int, int)
      = { step_reserve, step_answer, step_written,        step_sealed,
          step_condemn, step_event,  step_store_gone,     step_listing,
          step_expect,  step_lookup, step_engine_listing, step_lookup,
          step_reserve, step_answer, step_written,        step_sealed };

  for (int step = 0; step < STEPS; step++)
    {
      clock_fake_advance (&w->clock,
                          (int64_t)rng_below (&w->rng, NS_PER_S / 4));
      blockindex_tick (&w->index);
      naive_tick (w);
      steps[rng_below (&w->rng, sizeof steps / sizeof *steps)](
          w, rng_below (&w->rng, STORES), (int)rng_below (&w->rng, SCOPES),
          (int)rng_below (&w->rng, BLOCKS));
    }
}
