#include "block.h"
#include "linkbudget.h"
#include "rng.h"
#include "unit.h"

#include <string.h>

enum
{
  STEPS = 20000,
  RATE_BYTES_PER_S = 1000003, /* A prime, so that fractions of a byte occur. */
  BURST_BYTES = 50000,
  EXPORT_PERCENT = 30
};

/* Reference model that never rounds: levels are in billionths of a byte, in
 * 128 bits. */
struct reference
{
  __int128 level[LINKBUDGET_PRIORITY_COUNT];
  int64_t updated_ns;
};

/* Fills one level up to the burst and returns the inflow that is left. */
static __int128
reference_fill (struct reference *reference, int priority_index,
                __int128 inflow)
{
  __int128 space_left
      = (__int128)BURST_BYTES * NS_PER_S - reference->level[priority_index];
  __int128 filled = inflow < space_left ? inflow : space_left;

  reference->level[priority_index] += filled;
  return inflow - filled;
}

static void
reference_refresh (struct reference *reference, int64_t now)
{
  __int128 inflow = (__int128)RATE_BYTES_PER_S * (now - reference->updated_ns);
  __int128 exports;

  reference->updated_ns = now;
  inflow = reference_fill (reference, LINKBUDGET_URGENT, inflow);
  exports = inflow * EXPORT_PERCENT / 100;
  inflow = reference_fill (reference, LINKBUDGET_IMPORT, inflow - exports);
  exports = reference_fill (reference, LINKBUDGET_EXPORT, exports + inflow);
  reference_fill (reference, LINKBUDGET_IMPORT, exports);
}

/* The link budget keeps levels in whole bytes and carries two fractions, each
 * less than a byte. No level is off by more than two bytes; the urgent level,
 * which only the first fraction affects, by no more than one. */
static void
test_against_exact_arithmetic (void)
{
  struct clock_fake fake;
  struct reference reference = { .updated_ns = 0 };
  struct linkbudget link;
  struct rng rng;

  rng_init (&rng, 41);
  clock_fake_init (&fake, 0);
  linkbudget_init (&link, &fake.clock, RATE_BYTES_PER_S, BURST_BYTES,
                   EXPORT_PERCENT);
  for (int priority_index = 0; priority_index < LINKBUDGET_PRIORITY_COUNT;
       priority_index++)
    reference.level[priority_index] = (__int128)BURST_BYTES * NS_PER_S;
  for (int step = 0; step < STEPS; step++)
    {
      enum linkbudget_priority priority
          = rng_below (&rng, LINKBUDGET_PRIORITY_COUNT);
      int64_t bytes = (int64_t)rng_below (&rng, 30000);

      clock_fake_advance (&fake, (int64_t)rng_below (&rng, 30 * NS_PER_MS));
      reference_refresh (&reference, fake.now_ns);
      linkbudget_take (&link, priority, bytes);
      reference.level[priority] -= (__int128)bytes * NS_PER_S;
      for (int priority_index = 0; priority_index < LINKBUDGET_PRIORITY_COUNT;
           priority_index++)
        {
          __int128 max_error_bytes
              = priority_index == LINKBUDGET_URGENT ? 1 : 2;
          __int128 error
              = reference.level[priority_index]
                - (__int128)link.level_bytes[priority_index] * NS_PER_S;

          error = error < 0 ? -error : error;
          CU_ASSERT_TRUE (error <= max_error_bytes * NS_PER_S);
        }
    }
}

/* Urgent imports wait exactly as long with exports and other imports on the
 * link as without. */
static void
test_lower_priority_never_delays_urgent (void)
{
  struct clock_fake fake;
  struct linkbudget mixed, alone;
  struct rng rng;
  int exports = 0;

  rng_init (&rng, 42);
  clock_fake_init (&fake, 0);
  linkbudget_init (&mixed, &fake.clock, RATE_BYTES_PER_S, BURST_BYTES,
                   EXPORT_PERCENT);
  linkbudget_init (&alone, &fake.clock, RATE_BYTES_PER_S, BURST_BYTES,
                   EXPORT_PERCENT);
  for (int step = 0; step < STEPS; step++)
    {
      int64_t bytes = (int64_t)rng_below (&rng, 20000);

      clock_fake_advance (&fake, (int64_t)rng_below (&rng, 30 * NS_PER_MS));
      if (rng_below (&rng, 3) == 0)
        CU_ASSERT_EQUAL (linkbudget_take (&mixed, LINKBUDGET_URGENT, bytes),
                         linkbudget_take (&alone, LINKBUDGET_URGENT, bytes));
      if (rng_below (&rng, 4) == 0)
        linkbudget_take (&mixed, LINKBUDGET_IMPORT, bytes);
      exports += linkbudget_try_take (&mixed, LINKBUDGET_EXPORT, bytes);
    }
  CU_ASSERT_TRUE (exports > 0);
}

/* While imports have a permanent backlog, exports get their share and no
 * more. */
static void
test_exports_keep_their_share (void)
{
  struct clock_fake fake;
  struct linkbudget link;
  int64_t exported = 0;

  clock_fake_init (&fake, 0);
  linkbudget_init (&link, &fake.clock, RATE_BYTES_PER_S, BURST_BYTES,
                   EXPORT_PERCENT);
  linkbudget_take (&link, LINKBUDGET_IMPORT,
                   INT64_C (1000) * RATE_BYTES_PER_S);
  for (int i = 0; i < 10000; i++)
    {
      clock_fake_advance (&fake, NS_PER_MS);
      while (linkbudget_try_take (&link, LINKBUDGET_EXPORT, 1000))
        exported += 1000;
    }
  CU_ASSERT_TRUE (exported
                  >= RATE_BYTES_PER_S / 10 * EXPORT_PERCENT - BURST_BYTES);
  CU_ASSERT_TRUE (exported
                  <= RATE_BYTES_PER_S / 10 * EXPORT_PERCENT + BURST_BYTES);
}

static void
test_wait_is_backlog_and_transfer (void)
{
  struct clock_fake fake;
  struct linkbudget link;

  clock_fake_init (&fake, 0);
  linkbudget_init (&link, &fake.clock, 1000, 0, EXPORT_PERCENT);
  CU_ASSERT_EQUAL (linkbudget_take (&link, LINKBUDGET_URGENT, 500),
                   NS_PER_S / 2);
  CU_ASSERT_EQUAL (linkbudget_wait_ns (&link, LINKBUDGET_URGENT, 500),
                   NS_PER_S);
  CU_ASSERT_EQUAL (linkbudget_wait_ns (&link, LINKBUDGET_IMPORT, 500),
                   NS_PER_S);
  CU_ASSERT_FALSE (linkbudget_try_take (&link, LINKBUDGET_EXPORT, 1));
  clock_fake_advance (&fake, NS_PER_S / 2);
  CU_ASSERT_EQUAL (linkbudget_wait_ns (&link, LINKBUDGET_IMPORT, 500),
                   NS_PER_S / 2);
}

/* One transfer of 0.2 s per second keeps the link busy a fifth of the time,
 * and then half a transfer remains on average: a mean wait of 0.2 * 0.1 s. */
static void
test_residual (void)
{
  struct clock_fake fake;
  struct linkbudget link;

  clock_fake_init (&fake, 0);
  linkbudget_init (&link, &fake.clock, RATE_BYTES_PER_S, BURST_BYTES,
                   EXPORT_PERCENT);
  for (int i = 0; i < 1000; i++)
    {
      clock_fake_advance (&fake, NS_PER_S);
      linkbudget_take (&link, LINKBUDGET_IMPORT, RATE_BYTES_PER_S / 5);
    }
  /* The estimate is at its mean halfway between two transfers. */
  clock_fake_advance (&fake, NS_PER_S / 2);
  CU_ASSERT_DOUBLE_EQUAL (linkbudget_residual_ns (&link), 0.2 * 0.1 * 1e9,
                          0.002 * 1e9);
}

static void
test_slow_link_is_detected_and_recovers (void)
{
  struct clock_fake fake;
  struct linkbudget link;

  clock_fake_init (&fake, 0);
  linkbudget_init (&link, &fake.clock, RATE_BYTES_PER_S, BURST_BYTES,
                   EXPORT_PERCENT);
  for (int i = 0; i < 20; i++)
    {
      int64_t expected_ns
          = linkbudget_wait_ns (&link, LINKBUDGET_IMPORT, 100000);

      /* 100000 bytes in one second are a tenth of the configured rate. */
      linkbudget_record_duration (&link, expected_ns, NS_PER_S);
    }
  CU_ASSERT_TRUE (link.rate < RATE_BYTES_PER_S / 7
                  && link.rate > RATE_BYTES_PER_S / 15);
  clock_fake_advance (&fake, 120 * NS_PER_S);
  linkbudget_wait_ns (&link, LINKBUDGET_IMPORT, 1);
  CU_ASSERT_EQUAL (link.rate, RATE_BYTES_PER_S);
}

static void
test_block_chain (void)
{
  static const char *const other[][4] = { { "sar", "m", "1", "" },
                                          { "arp", "n", "1", "" },
                                          { "arp", "m", "2", "" },
                                          { "arp", "m", "1", "a" } };
  struct block_key key = { { 7 } };
  struct block_scope scope, different;
  struct block_id a[4], b[4], parsed;
  char prompt[40], hex[BLOCK_HEX_SIZE];
  uint64_t checksum;

  memset (prompt, 'x', sizeof prompt);
  CU_ASSERT_EQUAL (block_scope_init (&scope, "arp", "m", "1", NULL), 0);
  CU_ASSERT_EQUAL (block_scope_init (&scope, "", "m", "1", NULL),
                   STATUS_INVALID);
  CU_ASSERT_EQUAL (block_chain_ids (&scope, &key, prompt, 39, 10, a, 4), 3);
  CU_ASSERT_EQUAL (block_shard_prefix (&a[0]), block_shard_prefix (&a[2]));
  CU_ASSERT_FALSE (block_id_equal (&a[0], &a[1]));
  /* A change in the second block keeps the first id and changes all later
   * ones. */
  prompt[15] = 'y';
  CU_ASSERT_EQUAL (block_chain_ids (&scope, &key, prompt, 40, 10, b, 3), 3);
  CU_ASSERT_TRUE (block_id_equal (&a[0], &b[0]));
  CU_ASSERT_FALSE (block_id_equal (&a[1], &b[1]));
  CU_ASSERT_FALSE (block_id_equal (&a[2], &b[2]));
  for (int i = 0; i < 4; i++)
    {
      block_scope_init (&different, other[i][0], other[i][1], other[i][2],
                        other[i][3]);
      block_chain_ids (&different, &key, prompt, 40, 10, a, 4);
      CU_ASSERT_FALSE (block_id_equal (&a[0], &b[0]));
    }
  block_id_to_hex (&b[1], hex);
  CU_ASSERT_EQUAL (block_id_from_hex (&parsed, hex), STATUS_OK);
  CU_ASSERT_TRUE (block_id_equal (&parsed, &b[1]));
  hex[3] = 'g';
  CU_ASSERT_EQUAL (block_id_from_hex (&parsed, hex), STATUS_INVALID);
  CU_ASSERT_EQUAL (block_checksum_from_hex (&checksum, "00000000000001ff"),
                   STATUS_OK);
  CU_ASSERT_EQUAL (checksum, 511);
}

static const struct unit_case cases[] = {
  { "exact-arithmetic", test_against_exact_arithmetic },
  { "lower-never-delays-urgent", test_lower_priority_never_delays_urgent },
  { "exports-keep-their-share", test_exports_keep_their_share },
  { "wait", test_wait_is_backlog_and_transfer },
  { "residual", test_residual },
  { "slow-link", test_slow_link_is_detected_and_recovers },
  { "block-chain", test_block_chain },
};

int
main (void)
{
  return unit_run ("link", cases, sizeof cases / sizeof *cases);
}
