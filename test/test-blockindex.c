#include "fake-blockindex.h"
#include "unit.h"

#include <stdio.h>

static void
test_against_naive (void)
{
  struct world w;

  world_init (&w, 61, 1000);
  world_run (&w);
  CU_ASSERT_EQUAL (w.broken, 0);
  printf ("# %u slots freed, %u copies handed out\n", w.freed, w.handed);
  CU_ASSERT_TRUE (w.freed > 500 && w.handed > 500);
  blockindex_finish (&w.index);
}

/* Readers that read beyond their lease must make the check of
 * test_against_naive find broken reads. */
static void
test_read_past_lease_is_detected (void)
{
  struct world w;

  world_init (&w, 61, 1000);
  w.read_ns = 2 * blockcopy_settings_default.free_delay_ns;
  world_run (&w);
  CU_ASSERT_TRUE (w.broken > 0);
  blockindex_finish (&w.index);
}

static void
world_add_sealed_copy (struct world *w, uint64_t store, int chain, int block)
{
  struct blockcopy_ref ref = world_ref (w, store, chain, block);

  blockcopy_reserve (&w->index.copies, &ref, BLOCKCOPY_MEMORY, LENGTH);
  blockcopy_slot_assigned (&w->index.copies, &ref, 0, 1);
  blockcopy_written (&w->index.copies, &ref, 1, LENGTH, 77);
  blockcopy_sealed (&w->index.copies, &ref, 1, LENGTH, 77);
}

static unsigned
world_count_copies (struct world *w, const struct block_scope *scope,
                    const struct block_id *id)
{
  struct blockindex_query query = { scope, id, 1, 0 };
  struct blockindex_match match;

  blockindex_lookup (&w->index, &query, &match);
  return match.blocks[0].copy_count + match.holder_count;
}

/* A block id must not match in a scope that differs in any one field. */
static void
test_scope_is_compared (void)
{
  static const char *const others[][4] = { { "sar", "m", "1", "" },
                                           { "arp", "n", "1", "" },
                                           { "arp", "m", "2", "" },
                                           { "arp", "m", "1", "a" } };
  struct block_scope other;
  struct world w;
  struct blockcopy_ref ref;

  world_init (&w, 62, 10);
  world_add_sealed_copy (&w, 0, 0, 0);
  cachehint_confirm (&w.index.hints, &w.scopes[0], w.ids[0], 1, 9);
  CU_ASSERT_EQUAL (world_count_copies (&w, &w.scopes[0], &w.ids[0][0]), 2);
  for (int i = 0; i < 4; i++)
    {
      block_scope_init (&other, others[i][0], others[i][1], others[i][2],
                        others[i][3]);
      CU_ASSERT_EQUAL (world_count_copies (&w, &other, &w.ids[0][0]), 0);
      ref = (struct blockcopy_ref){ &other, w.ids[0][0], 1 };
      CU_ASSERT_EQUAL (
          blockcopy_reserve (&w.index.copies, &ref, BLOCKCOPY_MEMORY, LENGTH),
          STATUS_CONFLICT);
      CU_ASSERT_EQUAL (blockcopy_withdraw (&w.index.copies, &ref, 0),
                       STATUS_NOT_FOUND);
    }
  CU_ASSERT_TRUE (w.index.entries.scope_conflict_count >= 4);
  blockindex_finish (&w.index);
}

/* A store listing that was made before a slot was freed must not add the old
 * copy again. The slot's next generation is a different copy. */
static void
test_old_listing_and_generation (void)
{
  struct world w;
  struct blockcopy_ref ref;
  struct blockcopy_listed item;

  world_init (&w, 63, 10);
  ref = world_ref (&w, 0, 0, 0);
  world_add_sealed_copy (&w, 0, 0, 0);
  item = (struct blockcopy_listed){ 0,           1,      ref.block,
                                    w.scopes[0], 0,      BLOCKCOPY_MEMORY,
                                    true,        LENGTH, 77 };
  blockcopy_listing_begin (&w.index.copies, 0);
  CU_ASSERT_EQUAL (blockcopy_withdraw (&w.index.copies, &ref, 2),
                   STATUS_STALE);
  CU_ASSERT_EQUAL (blockcopy_withdraw (&w.index.copies, &ref, 1), STATUS_OK);
  clock_fake_advance (&w.clock, blockcopy_settings_default.free_delay_ns - 1);
  blockindex_tick (&w.index);
  CU_ASSERT_EQUAL (w.freed, 0);
  clock_fake_advance (&w.clock, 1);
  CU_ASSERT_EQUAL (blockindex_next_tick_ns (&w.index), w.clock.now_ns);
  blockindex_tick (&w.index);
  CU_ASSERT_EQUAL (w.freed, 1);
  blockcopy_listing_item (&w.index.copies, 0, &item);
  CU_ASSERT_EQUAL (world_count_copies (&w, &w.scopes[0], &ref.block), 0);
  item.generation = 2;
  blockcopy_listing_item (&w.index.copies, 0, &item);
  CU_ASSERT_EQUAL (world_count_copies (&w, &w.scopes[0], &ref.block), 1);
  /* A late report about the old generation does not change the new copy. */
  CU_ASSERT_EQUAL (blockcopy_written (&w.index.copies, &ref, 1, LENGTH, 77),
                   STATUS_STALE);
  blockindex_finish (&w.index);
}

static void
test_gap_lowers_confidence_until_listing (void)
{
  struct blockindex_query query;
  struct blockindex_match match;
  struct world w;

  world_init (&w, 64, 10);
  query = (struct blockindex_query){ &w.scopes[0], w.ids[0], 2, 0 };
  cachehint_expect (&w.index.hints, &w.scopes[0], w.ids[0], 2, 0);
  cachehint_event (&w.index.hints, 0, 1, true, &w.ids[0][0]);
  cachehint_event (&w.index.hints, 0, 2, true, &w.ids[0][1]);
  cachehint_events_lost (&w.index.hints, 0, 9);
  CU_ASSERT_EQUAL (w.listings, 1);
  blockindex_lookup (&w.index, &query, &match);
  CU_ASSERT_DOUBLE_EQUAL (match.holders[0].confidence, 0.5, 1e-9);
  clock_fake_advance (&w.clock, cachehint_settings_default.listing_retry_ns);
  blockindex_tick (&w.index);
  CU_ASSERT_EQUAL (w.listings, 2);
  /* This listing was made before the gap and changes nothing. */
  cachehint_listing_received (&w.index.hints, 0, 8, w.ids[0], 2);
  cachehint_listing_received (&w.index.hints, 0, 9, w.ids[0], 1);
  blockindex_lookup (&w.index, &query, &match);
  CU_ASSERT_EQUAL (match.holders[0].block_count, 1);
  CU_ASSERT_DOUBLE_EQUAL (match.holders[0].confidence, 1, 1e-9);
  CU_ASSERT_EQUAL (blockindex_next_tick_ns (&w.index), CLOCK_NEVER);
  blockindex_finish (&w.index);
}

/* An entry keeps at most BLOCKENTRY_HINTS_MAX engines, so the entry of a first
 * block that many engines have cached drops some of them. An engine that has
 * also cached later blocks must still be found. */
static void
test_shared_first_block_overflows (void)
{
  struct blockindex_query query;
  struct blockindex_match match;
  struct world w;

  world_init (&w, 65, 10);
  query = (struct blockindex_query){ &w.scopes[0], w.ids[0], 3, 0 };
  cachehint_confirm (&w.index.hints, &w.scopes[0], w.ids[0], 3, 50);
  for (uint64_t e = 0; e < 8; e++)
    {
      clock_fake_advance (&w.clock, NS_PER_MS);
      cachehint_confirm (&w.index.hints, &w.scopes[0], w.ids[0], 1, e);
    }
  blockindex_lookup (&w.index, &query, &match);
  CU_ASSERT_EQUAL (match.holders[0].engine, 50);
  CU_ASSERT_EQUAL (match.holders[0].block_count, 3);
  blockindex_finish (&w.index);
}

static void
test_entries_are_bounded (void)
{
  struct block_id id = { { 0 } };
  struct world w;

  world_init (&w, 66, 4);
  world_add_sealed_copy (&w, 0, 0, 0);
  for (int i = 0; i < 100; i++)
    {
      id.bytes[15] = (uint8_t)(i + 1);
      cachehint_expect (&w.index.hints, &w.scopes[0], &id, 1, 0);
      CU_ASSERT_TRUE (blockentry_count (&w.index.entries) <= 4);
    }
  CU_ASSERT_EQUAL (world_count_copies (&w, &w.scopes[0], &w.ids[0][0]), 1);
  for (int b = 1; b < 4; b++)
    world_add_sealed_copy (&w, 0, 0, b);
  cachehint_expect (&w.index.hints, &w.scopes[0], &id, 1, 0);
  CU_ASSERT_EQUAL (w.index.entries.refused_count, 1);
  blockindex_finish (&w.index);
}

static const struct unit_case cases[] = {
  { "against-naive", test_against_naive },
  { "reading-past-the-lease-is-seen", test_read_past_lease_is_detected },
  { "scope-is-compared", test_scope_is_compared },
  { "old-listing-and-generation", test_old_listing_and_generation },
  { "gap-doubts-until-listing", test_gap_lowers_confidence_until_listing },
  { "shared-front-overflows", test_shared_first_block_overflows },
  { "entries-are-bounded", test_entries_are_bounded },
};

int
main (void)
{
  return unit_run ("blockindex", cases, sizeof cases / sizeof *cases);
}
