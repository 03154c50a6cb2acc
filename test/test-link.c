#include "block.h"
#include "linkbudget.h"
#include "rng.h"
#include "unit.h"

#include <string.h>

enum
{
  STEPS = 20000,
  RATE = 1000003, /* bytes per second; prime, so that fractions matter */
  BURST = 50000,  /* bytes */
  EXPORTS = 30    /* hundredths */
};

/* Exact model: bytes times billionths in 128 bits, nothing ever rounded. */
struct exact
{
  __int128 level[LINKBUDGET_PRIORITY_COUNT];
  int64_t at_ns;
};

static __int128
exact_pour (struct exact *exact, int p, __int128 inflow)
{
  __int128 room = (__int128)BURST * NS_PER_S - exact->level[p];
  __int128 part = inflow < room ? inflow : room;

  exact->level[p] += part;
  return inflow - part;
}

static void
exact_refresh (struct exact *exact, int64_t now)
{
  __int128 inflow = (__int128)RATE * (now - exact->at_ns);
  __int128 exports;

  exact->at_ns = now;
  inflow = exact_pour (exact, LINKBUDGET_URGENT, inflow);
  exports = inflow * EXPORTS / 100;
  inflow = exact_pour (exact, LINKBUDGET_IMPORT, inflow - exports);
  exports = exact_pour (exact, LINKBUDGET_EXPORT, exports + inflow);
  exact_pour (exact, LINKBUDGET_IMPORT, exports);
}

/* Levels are whole bytes and two fractions are carried, each under a byte: no
 * bucket is ever more than two bytes off, and the urgent one, which only the
 * first fraction reaches, not more than one. */
static void
test_against_exact_arithmetic (void)
{
  struct clock_fake fake;
  struct exact exact = { .at_ns = 0 };
  struct linkbudget link;
  struct rng rng;

  rng_init (&rng, 41);
  clock_fake_init (&fake, 0);
  linkbudget_init (&link, &fake.clock, RATE, BURST, EXPORTS);
  for (int p = 0; p < LINKBUDGET_PRIORITY_COUNT; p++)
    exact.level[p] = (__int128)BURST * NS_PER_S;
  for (int step = 0; step < STEPS; step++)
    {
      enum linkbudget_priority priority
          = rng_below (&rng, LINKBUDGET_PRIORITY_COUNT);
      int64_t bytes = (int64_t)rng_below (&rng, 30000);

      clock_fake_advance (&fake, (int64_t)rng_below (&rng, 30 * NS_PER_MS));
      exact_refresh (&exact, fake.now_ns);
      linkbudget_take (&link, priority, bytes);
      exact.level[priority] -= (__int128)bytes * NS_PER_S;
      for (int p = 0; p < LINKBUDGET_PRIORITY_COUNT; p++)
        {
          __int128 bytes_off = p == LINKBUDGET_URGENT ? 1 : 2;
          __int128 off
              = exact.level[p] - (__int128)link.level_bytes[p] * NS_PER_S;

          off = off < 0 ? -off : off;
          CU_ASSERT_TRUE (off <= bytes_off * NS_PER_S);
        }
    }
}

/* The same urgent imports with and without exports and other imports wait
 * exactly as long. */
static void
test_lower_never_delays_urgent (void)
{
  struct clock_fake fake;
  struct linkbudget mixed, alone;
  struct rng rng;
  int exports = 0;

  rng_init (&rng, 42);
  clock_fake_init (&fake, 0);
  linkbudget_init (&mixed, &fake.clock, RATE, BURST, EXPORTS);
  linkbudget_init (&alone, &fake.clock, RATE, BURST, EXPORTS);
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

/* Imports that never end leave exports their share, and no more. */
static void
test_exports_keep_their_share (void)
{
  struct clock_fake fake;
  struct linkbudget link;
  int64_t exported = 0;

  clock_fake_init (&fake, 0);
  linkbudget_init (&link, &fake.clock, RATE, BURST, EXPORTS);
  linkbudget_take (&link, LINKBUDGET_IMPORT, INT64_C (1000) * RATE);
  for (int i = 0; i < 10000; i++)
    {
      clock_fake_advance (&fake, NS_PER_MS);
      while (linkbudget_try_take (&link, LINKBUDGET_EXPORT, 1000))
        exported += 1000;
    }
  CU_ASSERT_TRUE (exported >= RATE / 10 * EXPORTS - BURST);
  CU_ASSERT_TRUE (exported <= RATE / 10 * EXPORTS + BURST);
}

static void
test_wait_is_backlog_and_transfer (void)
{
  struct clock_fake fake;
  struct linkbudget link;

  clock_fake_init (&fake, 0);
  linkbudget_init (&link, &fake.clock, 1000, 0, EXPORTS);
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

/* Transfers of 0.2 s, one a second: a fifth of the time busy, and then half a
 * transfer on average is left. */
static void
test_residual (void)
{
  struct clock_fake fake;
  struct linkbudget link;

  clock_fake_init (&fake, 0);
  linkbudget_init (&link, &fake.clock, RATE, BURST, EXPORTS);
  for (int i = 0; i < 1000; i++)
    {
      clock_fake_advance (&fake, NS_PER_S);
      linkbudget_take (&link, LINKBUDGET_IMPORT, RATE / 5);
    }
  /* Between two transfers, where it is at its mean. */
  clock_fake_advance (&fake, NS_PER_S / 2);
  CU_ASSERT_DOUBLE_EQUAL (linkbudget_residual_ns (&link), 0.2 * 0.1 * 1e9,
                          0.002 * 1e9);
}

static void
test_slow_link_is_seen_and_recovers (void)
{
  struct clock_fake fake;
  struct linkbudget link;

  clock_fake_init (&fake, 0);
  linkbudget_init (&link, &fake.clock, RATE, BURST, EXPORTS);
  for (int i = 0; i < 20; i++)
    {
      int64_t expected_ns
          = linkbudget_wait_ns (&link, LINKBUDGET_IMPORT, 100000);

      linkbudget_record_duration (&link, expected_ns,
                                  NS_PER_S); /* a tenth of the rate */
    }
  CU_ASSERT_TRUE (link.rate < RATE / 7 && link.rate > RATE / 15);
  clock_fake_advance (&fake, 120 * NS_PER_S);
  linkbudget_wait_ns (&link, LINKBUDGET_IMPORT, 1);
  CU_ASSERT_EQUAL (link.rate, RATE);
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
  struct block_id a[4], b[4], back;
  char prompt[40], hex[BLOCK_HEX_SIZE];
  uint64_t checksum;

  memset (prompt, 'x', sizeof prompt);
  CU_ASSERT_EQUAL (block_scope_init (&scope, "arp", "m", "1", NULL), 0);
  CU_ASSERT_EQUAL (block_scope_init (&scope, "", "m", "1", NULL),
                   STATUS_INVALID);
  CU_ASSERT_EQUAL (block_chain_ids (&scope, &key, prompt, 39, 10, a, 4), 3);
  CU_ASSERT_EQUAL (block_shard_prefix (&a[0]), block_shard_prefix (&a[2]));
  CU_ASSERT_FALSE (block_id_equal (&a[0], &a[1]));
  /* A change in the second piece keeps the first id and no later one. */
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
  CU_ASSERT_EQUAL (block_id_from_hex (&back, hex), STATUS_OK);
  CU_ASSERT_TRUE (block_id_equal (&back, &b[1]));
  hex[3] = 'g';
  CU_ASSERT_EQUAL (block_id_from_hex (&back, hex), STATUS_INVALID);
  CU_ASSERT_EQUAL (block_checksum_from_hex (&checksum, "00000000000001ff"),
                   STATUS_OK);
  CU_ASSERT_EQUAL (checksum, 511);
}

static const struct unit_case cases[] = {
  { "exact-arithmetic", test_against_exact_arithmetic },
  { "lower-never-delays-urgent", test_lower_never_delays_urgent },
  { "exports-keep-their-share", test_exports_keep_their_share },
  { "wait", test_wait_is_backlog_and_transfer },
  { "residual", test_residual },
  { "slow-link", test_slow_link_is_seen_and_recovers },
  { "block-chain", test_block_chain },
};

int
main (void)
{
  return unit_run ("link", cases, sizeof cases / sizeof *cases);
}
