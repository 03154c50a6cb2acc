#include "fake-engines.h"
#include "unit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  STEPS = 10000,
  ENGINES = 40,
  PIECES = 12
};

/* Link waits are rounded up to whole ns in the naive sum. */
static const double tolerance = 1e-8; /* seconds */

/* The naive cost of one split, added up from the parts. */
static double
naive_cost (struct engines *f, const struct place_request *request,
            uint64_t engine, unsigned reuse, unsigned import)
{
  const struct place_settings *settings = &f->place.settings;
  const struct blockindex_match *match = request->match;
  double bytes[ENGINES_STORES] = { 0 };
  double confidence = 1, last = 0, total = 0, computed, cost;
  uint32_t index = 0;

  load_find_engine (&f->load, engine, &index);
  for (unsigned i = 0; i < match->holder_count; i++)
    if (match->holders[i].engine == engine)
      confidence = match->holders[i].confidence;
  for (unsigned p = reuse; p < reuse + import; p++)
    {
      const struct blockindex_block *piece = &match->blocks[p];
      double soonest = INFINITY;
      uint64_t store = 0;

      if (p >= match->block_count || piece->copy_count == 0)
        return INFINITY;
      for (unsigned j = 0; j < piece->copy_count; j++)
        {
          uint64_t s = piece->copies[j].store;
          double done = (double)linkbudget_wait_ns (
              place_find_link_budget (&f->place, s),
              request->urgent ? LINKBUDGET_URGENT : LINKBUDGET_IMPORT,
              (int64_t)bytes[s] + ENGINES_PIECE_BYTES);

          if (request->urgent)
            done += settings->urgent_residual_factor
                    * linkbudget_residual_ns (
                        place_find_link_budget (&f->place, s));

          if (done <= (double)match->read_lease_ns && done < soonest)
            {
              soonest = done;
              store = s;
            }
        }
      if (soonest == INFINITY)
        return INFINITY;
      bytes[store] += ENGINES_PIECE_BYTES;
      total += ENGINES_PIECE_BYTES;
      last = fmax (last, soonest);
    }
  computed = (double)(request->prompt_tokens
                      - (int64_t)(reuse + import) * ENGINES_PIECE_TOKENS)
             + (1 - confidence) * reuse * ENGINES_PIECE_TOKENS;
  cost = load_wait_s (&f->load, index, f->clock.now_ns)
         * (request->urgent ? settings->urgent_wait_share : 1);
  cost += last / 1e9
          + computed / load_engine_at (&f->load, index)->prefill_tokens_per_s;
  return cost + computed * settings->plan.token_price_s
         + total * settings->plan.byte_price_s;
}

static double
naive_engine (struct engines *f, const struct place_request *request,
              uint64_t engine)
{
  const struct blockindex_match *match = request->match;
  double best = INFINITY;
  unsigned held = 0;

  for (unsigned i = 0; i < match->holder_count; i++)
    if (match->holders[i].engine == engine)
      held = match->holders[i].block_count;
  for (unsigned import = 0; import <= f->place.settings.plan.import_max;
       import++)
    {
      best = fmin (best, naive_cost (f, request, engine, 0, import));
      best = fmin (best, naive_cost (f, request, engine, held, import));
    }
  return best;
}

static void
naive_all (struct engines *f, const struct place_request *request,
           double *costs)
{
  for (uint64_t e = 0; e < f->count; e++)
    {
      bool out = false;

      for (size_t i = 0; i < request->excluded_count; i++)
        out = out || request->excluded[i] == e;
      costs[e] = out ? INFINITY : naive_engine (f, request, e);
    }
}

static int
double_order (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* A random request in a random moment: old reports, loaded links. */
static struct place_request
random_request (struct engines *f, struct blockindex_match *match,
                uint64_t *excluded)
{
  struct rng *rng = &f->rng;

  clock_fake_advance (&f->clock, (int64_t)rng_below (rng, NS_PER_S / 10));
  for (int i = 0; i < 4; i++)
    engines_report (f, rng_below (rng, f->count),
                    (int64_t)rng_below (rng, 100000));
  linkbudget_take (
      place_find_link_budget (&f->place, rng_below (rng, ENGINES_STORES)),
      rng_below (rng, 2), (int64_t)rng_below (rng, 20000000));
  f->place.settings.plan.token_price_s = 1e-4 * rng_uniform (rng);
  f->place.settings.plan.byte_price_s = 1e-7 * rng_uniform (rng);
  engines_match (f, PIECES, match);
  *excluded = rng_below (rng, f->count);
  return (struct place_request){
    .group_key = &f->need,
    .match = match,
    .prompt_tokens
    = (int64_t)PIECES * ENGINES_PIECE_TOKENS + (int64_t)rng_below (rng, 1000),
    .block_tokens = ENGINES_PIECE_TOKENS,
    .urgent = rng_below (rng, 2) == 0,
    .excluded = excluded,
    .excluded_count = rng_below (rng, 2),
  };
}

/* The cost that was told is that of the naive sum for the same split. */
static void
check_told (struct engines *f, const struct place_request *request,
            const struct place_result *result)
{
  int64_t bytes = 0;
  double again
      = naive_cost (f, request, result->engine_id, result->plan.reused_blocks,
                    result->plan.imported_blocks);

  CU_ASSERT_TRUE (fabs (again - result->plan.cost_s) < tolerance);
  for (unsigned i = 0; i < result->import_count; i++)
    {
      unsigned before = i - result->plan.imported_blocks;

      CU_ASSERT_EQUAL (result->imports[i].fallback,
                       i >= result->plan.imported_blocks);
      CU_ASSERT_EQUAL (result->imports[i].block,
                       i < result->plan.imported_blocks
                           ? result->plan.reused_blocks + i
                           : result->plan.reused_blocks - 1 - before);
      if (!result->imports[i].fallback)
        bytes += result->imports[i].copy.length;
    }
  CU_ASSERT_EQUAL (bytes, result->plan.import_bytes);
  CU_ASSERT_TRUE (result->import_count <= f->place.settings.plan.import_max);
}

/* With a group that is considered whole, the cost equals the scan's. */
static void
test_whole_group_equals_scan (void)
{
  struct place_settings settings = place_settings_default;
  struct blockindex_match match;
  struct place_result result;
  struct engines f;
  uint64_t excluded;
  double costs[ENGINES];

  settings.plan.import_max = 6;
  engines_init (&f, PLACE_SMALL_GROUP_MAX, 71, &settings, "cost");
  f.load.settings.report_timeout_ns = 1000 * NS_PER_S * STEPS;
  for (int step = 0; step < STEPS; step++)
    {
      struct place_request request = random_request (&f, &match, &excluded);

      CU_ASSERT_EQUAL_FATAL (place_choose (&f.place, &request, &result),
                             STATUS_OK);
      naive_all (&f, &request, costs);
      qsort (costs, f.count, sizeof *costs, double_order);
      CU_ASSERT_TRUE (fabs (result.plan.cost_s - costs[0]) < tolerance);
      check_told (&f, &request, &result);
    }
  engines_finish (&f);
}

/* With sampling the cost is never better than the scan's, never worse than the
 * best holder's, and two random draws miss the better half of the engines in a
 * quarter of the decisions at most: the bound for draws without replacement,
 * plus four standard deviations of the share over STEPS decisions. */
static void
test_sampled_within_regret (void)
{
  const double bound = 0.25 + 4 * sqrt (0.25 * 0.75 / STEPS);
  struct place_settings settings = place_settings_default;
  struct blockindex_match match;
  struct place_result result;
  struct engines f;
  uint64_t excluded;
  double costs[ENGINES], sorted[ENGINES];
  unsigned misses = 0;

  settings.plan.import_max = 6;
  engines_init (&f, ENGINES, 72, &settings, "cost");
  f.load.settings.report_timeout_ns = 1000 * NS_PER_S * STEPS;
  for (int step = 0; step < STEPS; step++)
    {
      struct place_request request = random_request (&f, &match, &excluded);

      CU_ASSERT_EQUAL_FATAL (place_choose (&f.place, &request, &result),
                             STATUS_OK);
      CU_ASSERT_TRUE (result.candidate_count
                      <= settings.prefix_candidates_max
                             + settings.random_candidate_count);
      naive_all (&f, &request, costs);
      memcpy (sorted, costs, sizeof costs);
      qsort (sorted, ENGINES, sizeof *sorted, double_order);
      CU_ASSERT_TRUE (result.plan.cost_s >= sorted[0] - tolerance);
      for (unsigned i = 0; i < match.holder_count; i++)
        CU_ASSERT_TRUE (result.plan.cost_s
                        <= costs[match.holders[i].engine] + tolerance);
      misses += result.plan.cost_s > sorted[ENGINES / 2 - 1] + 1e-8;
    }
  CU_ASSERT_TRUE (misses <= bound * STEPS);
  engines_finish (&f);
}

static void
test_new_version_and_leaving (void)
{
  struct blockindex_match match
      = { .holder_count = 1, .holders = { { 3, 4, 1 } } };
  struct place_request request = { .match = &match,
                                   .prompt_tokens = 8000,
                                   .block_tokens = ENGINES_PIECE_TOKENS };
  struct place_result result;
  struct load_group_key next;
  struct engines f;

  engines_init (&f, 20, 73, &place_settings_default, "cost");
  load_group_key_init (&next, "s", "m", "2", NULL);
  request.group_key = &next;
  CU_ASSERT_EQUAL (place_choose (&f.place, &request, &result),
                   STATUS_UNAVAILABLE);
  request.group_key = &f.need;
  engines_report (&f, 3, 0);
  CU_ASSERT_EQUAL (place_choose (&f.place, &request, &result), STATUS_OK);
  CU_ASSERT_EQUAL (result.engine_id, 3);
  load_set_leaving (&f.load, 3, true);
  for (int i = 0; i < 1000; i++)
    {
      CU_ASSERT_EQUAL (place_choose (&f.place, &request, &result), STATUS_OK);
      CU_ASSERT_NOT_EQUAL (result.engine_id, 3);
    }
  clock_fake_advance (&f.clock, load_settings_default.report_timeout_ns);
  load_tick (&f.load);
  CU_ASSERT_EQUAL (place_choose (&f.place, &request, &result),
                   STATUS_UNAVAILABLE);
  engines_finish (&f);
}

/* What was committed is seen by the next decision of this process. */
static void
test_commit_counts (void)
{
  struct load_request sent[64] = { 0 };
  struct blockindex_match match = { 0 };
  struct place_request request = { .match = &match,
                                   .prompt_tokens = 2000,
                                   .block_tokens = ENGINES_PIECE_TOKENS };
  struct place_result result;
  unsigned counts[8] = { 0 };
  char text[1024], cut[40];
  struct engines f;

  engines_init (&f, 8, 74, &place_settings_default, "cost");
  request.group_key = &f.need;
  for (uint64_t e = 0; e < 8; e++)
    engines_report (&f, e, 0);
  clock_fake_advance (&f.clock, 1);
  for (int i = 0; i < 64; i++)
    {
      place_choose (&f.place, &request, &result);
      place_commit (&f.place, &f.load, &result, &sent[i]);
      counts[result.engine_id]++;
    }
  for (int e = 0; e < 8; e++)
    CU_ASSERT_EQUAL (counts[e], 8);
  place_format (&f.place, &result, text, sizeof text);
  place_format (&f.place, &result, cut, sizeof cut);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "reason=computed"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "considered=engine-"));
  CU_ASSERT_EQUAL (strlen (cut), sizeof cut - 1);
  engines_finish (&f);
}

static void
test_baselines (void)
{
  struct blockindex_match match
      = { .holder_count = 1, .holders = { { 3, 4, 1 } } };
  struct place_request request = { .match = &match,
                                   .prompt_tokens = 8000,
                                   .block_tokens = ENGINES_PIECE_TOKENS };
  struct place_result result;
  uint64_t last = 0;
  struct engines f;

  engines_init (&f, 12, 75, &place_settings_default, "round_robin");
  request.group_key = &f.need;
  for (uint64_t e = 0; e < 12; e++)
    engines_report (&f, e, (int64_t)(20 + e));
  for (int i = 0; i < 24; i++)
    {
      CU_ASSERT_EQUAL (place_choose (&f.place, &request, &result), STATUS_OK);
      CU_ASSERT_TRUE (i == 0 || result.engine_id == (last + 1) % 12);
      last = result.engine_id;
    }
  f.place.policy = place_policy_find ("least_loaded");
  place_choose (&f.place, &request, &result);
  CU_ASSERT_EQUAL (result.engine_id, 0);
  f.place.policy = place_policy_find ("prefix_affinity");
  place_choose (&f.place, &request, &result);
  CU_ASSERT_EQUAL (result.engine_id, 3);
  CU_ASSERT_EQUAL (result.plan.reused_blocks, 4);
  engines_report (&f, 3, 1000000);
  place_choose (&f.place, &request, &result);
  CU_ASSERT_EQUAL (result.engine_id, 0);
  CU_ASSERT_PTR_NULL (place_policy_find ("none"));
  engines_finish (&f);
}

static const struct unit_case cases[] = {
  { "whole-group-equals-scan", test_whole_group_equals_scan },
  { "sampled-within-regret", test_sampled_within_regret },
  { "new-version-and-leaving", test_new_version_and_leaving },
  { "commit-counts", test_commit_counts },
  { "baselines", test_baselines },
};

int
main (void)
{
  return unit_run ("place", cases, sizeof cases / sizeof *cases);
}
