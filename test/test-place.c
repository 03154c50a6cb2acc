#include "fake-engines.h"
#include "unit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  STEPS = 10000,
  ENGINES = 40,
  BLOCKS = 12
};

/* The reference cost rounds link waits up to whole nanoseconds. */
static const double tolerance_s = 1e-8;

/* Reference cost of a plan that reuses REUSE blocks, imports the next IMPORT
 * blocks and computes the rest: the sum of its terms. */
static double
reference_cost (struct engines *engines, const struct place_request *request,
                uint64_t engine, unsigned reuse, unsigned import)
{
  const struct place_settings *settings = &engines->place.settings;
  const struct blockindex_match *match = request->match;
  double bytes[ENGINES_STORES] = { 0 };
  double confidence = 1, last_done_ns = 0, total_bytes = 0, computed, cost;
  uint32_t index = 0;

  load_find_engine (&engines->load, engine, &index);
  for (unsigned i = 0; i < match->holder_count; i++)
    if (match->holders[i].engine == engine)
      confidence = match->holders[i].confidence;
  for (unsigned p = reuse; p < reuse + import; p++)
    {
      const struct blockindex_block *block = &match->blocks[p];
      double soonest_ns = INFINITY;
      uint64_t store = 0;

      if (p >= match->block_count || block->copy_count == 0)
        return INFINITY;
      for (unsigned j = 0; j < block->copy_count; j++)
        {
          uint64_t s = block->copies[j].store;
          double done_ns = (double)linkbudget_wait_ns (
              place_find_link_budget (&engines->place, s),
              request->urgent ? LINKBUDGET_URGENT : LINKBUDGET_IMPORT,
              (int64_t)bytes[s] + ENGINES_PIECE_BYTES);

          if (request->urgent)
            done_ns += settings->urgent_residual_factor
                       * linkbudget_residual_ns (
                           place_find_link_budget (&engines->place, s));

          if (done_ns <= (double)match->read_lease_ns && done_ns < soonest_ns)
            {
              soonest_ns = done_ns;
              store = s;
            }
        }
      if (soonest_ns == INFINITY)
        return INFINITY;
      bytes[store] += ENGINES_PIECE_BYTES;
      total_bytes += ENGINES_PIECE_BYTES;
      last_done_ns = fmax (last_done_ns, soonest_ns);
    }
  computed = (double)(request->prompt_tokens
                      - (int64_t)(reuse + import) * ENGINES_PIECE_TOKENS)
             + (1 - confidence) * reuse * ENGINES_PIECE_TOKENS;
  cost = load_wait_s (&engines->load, index, engines->clock.now_ns)
         * (request->urgent ? settings->urgent_wait_share : 1);
  cost += last_done_ns / 1e9
          + computed
                / load_engine_at (&engines->load, index)->prefill_tokens_per_s;
  return cost + computed * settings->plan.token_price_s
         + total_bytes * settings->plan.byte_price_s;
}

static double
reference_engine_cost (struct engines *engines,
                       const struct place_request *request, uint64_t engine)
{
  const struct blockindex_match *match = request->match;
  double best = INFINITY;
  unsigned held_blocks = 0;

  for (unsigned i = 0; i < match->holder_count; i++)
    if (match->holders[i].engine == engine)
      held_blocks = match->holders[i].block_count;
  for (unsigned import = 0; import <= engines->place.settings.plan.import_max;
       import++)
    {
      best = fmin (best, reference_cost (engines, request, engine, 0, import));
      best = fmin (best, reference_cost (engines, request, engine, held_blocks,
                                         import));
    }
  return best;
}

static void
reference_costs (struct engines *engines, const struct place_request *request,
                 double *costs)
{
  for (uint64_t e = 0; e < engines->count; e++)
    {
      bool is_excluded = false;

      for (size_t i = 0; i < request->excluded_count; i++)
        is_excluded = is_excluded || request->excluded[i] == e;
      costs[e] = is_excluded ? INFINITY
                             : reference_engine_cost (engines, request, e);
    }
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Makes a random request after random load reports, some of them stale, and
 * random load on the stores' links. */
static struct place_request
random_request (struct engines *engines, struct blockindex_match *match,
                uint64_t *excluded)
{
  struct rng *rng = &engines->rng;

  clock_fake_advance (&engines->clock,
                      (int64_t)rng_below (rng, NS_PER_S / 10));
  for (int i = 0; i < 4; i++)
    engines_report (engines, rng_below (rng, engines->count),
                    (int64_t)rng_below (rng, 100000));
  linkbudget_take (place_find_link_budget (&engines->place,
                                           rng_below (rng, ENGINES_STORES)),
                   rng_below (rng, 2), (int64_t)rng_below (rng, 20000000));
  engines->place.settings.plan.token_price_s = 1e-4 * rng_uniform (rng);
  engines->place.settings.plan.byte_price_s = 1e-7 * rng_uniform (rng);
  engines_match (engines, BLOCKS, match);
  *excluded = rng_below (rng, engines->count);
  return (struct place_request){
    .group_key = &engines->need,
    .match = match,
    .prompt_tokens
    = (int64_t)BLOCKS * ENGINES_PIECE_TOKENS + (int64_t)rng_below (rng, 1000),
    .block_tokens = ENGINES_PIECE_TOKENS,
    .urgent = rng_below (rng, 2) == 0,
    .excluded = excluded,
    .excluded_count = rng_below (rng, 2),
  };
}

/* The cost in RESULT must equal the reference cost of the same plan. */
static void
check_result (struct engines *engines, const struct place_request *request,
              const struct place_result *result)
{
  int64_t bytes = 0;
  double expected_cost_s = reference_cost (engines, request, result->engine_id,
                                           result->plan.reused_blocks,
                                           result->plan.imported_blocks);

  CU_ASSERT_TRUE (fabs (expected_cost_s - result->plan.cost_s) < tolerance_s);
  for (unsigned i = 0; i < result->import_count; i++)
    {
      unsigned fallback_index = i - result->plan.imported_blocks;

      CU_ASSERT_EQUAL (result->imports[i].fallback,
                       i >= result->plan.imported_blocks);
      CU_ASSERT_EQUAL (result->imports[i].block,
                       i < result->plan.imported_blocks
                           ? result->plan.reused_blocks + i
                           : result->plan.reused_blocks - 1 - fallback_index);
      if (!result->imports[i].fallback)
        bytes += result->imports[i].copy.length;
    }
  CU_ASSERT_EQUAL (bytes, result->plan.import_bytes);
  CU_ASSERT_TRUE (result->import_count
                  <= engines->place.settings.plan.import_max);
}

/* In a group so small that all its engines are candidates, the cost equals the
 * least cost of a scan over all engines. */
static void
test_whole_group_equals_scan (void)
{
  struct place_settings settings = place_settings_default;
  struct blockindex_match match;
  struct place_result result;
  struct engines engines;
  uint64_t excluded;
  double costs[ENGINES];

  settings.plan.import_max = 6;
  engines_init (&engines, PLACE_SMALL_GROUP_MAX, 71, &settings, "cost");
  engines.load.settings.report_timeout_ns = 1000 * NS_PER_S * STEPS;
  for (int step = 0; step < STEPS; step++)
    {
      struct place_request request
          = random_request (&engines, &match, &excluded);

      CU_ASSERT_EQUAL_FATAL (place_choose (&engines.place, &request, &result),
                             STATUS_OK);
      reference_costs (&engines, &request, costs);
      qsort (costs, engines.count, sizeof *costs, compare_doubles);
      CU_ASSERT_TRUE (fabs (result.plan.cost_s - costs[0]) < tolerance_s);
      check_result (&engines, &request, &result);
    }
  engines_finish (&engines);
}

/* With sampling, the cost is never lower than the least cost of a scan over
 * all engines and never higher than that of the best holder. Two random draws
 * miss the better half of the engines in at most a quarter of the decisions:
 * the bound for draws without replacement, plus four standard deviations of
 * the share over STEPS decisions. */
static void
test_sampled_within_regret (void)
{
  const double bound = 0.25 + 4 * sqrt (0.25 * 0.75 / STEPS);
  struct place_settings settings = place_settings_default;
  struct blockindex_match match;
  struct place_result result;
  struct engines engines;
  uint64_t excluded;
  double costs[ENGINES], sorted[ENGINES];
  unsigned misses = 0;

  settings.plan.import_max = 6;
  engines_init (&engines, ENGINES, 72, &settings, "cost");
  engines.load.settings.report_timeout_ns = 1000 * NS_PER_S * STEPS;
  for (int step = 0; step < STEPS; step++)
    {
      struct place_request request
          = random_request (&engines, &match, &excluded);

      CU_ASSERT_EQUAL_FATAL (place_choose (&engines.place, &request, &result),
                             STATUS_OK);
      CU_ASSERT_TRUE (result.candidate_count
                      <= settings.prefix_candidates_max
                             + settings.random_candidate_count);
      reference_costs (&engines, &request, costs);
      memcpy (sorted, costs, sizeof costs);
      qsort (sorted, ENGINES, sizeof *sorted, compare_doubles);
      CU_ASSERT_TRUE (result.plan.cost_s >= sorted[0] - tolerance_s);
      for (unsigned i = 0; i < match.holder_count; i++)
        CU_ASSERT_TRUE (result.plan.cost_s
                        <= costs[match.holders[i].engine] + tolerance_s);
      misses += result.plan.cost_s > sorted[ENGINES / 2 - 1] + 1e-8;
    }
  CU_ASSERT_TRUE (misses <= bound * STEPS);
  engines_finish (&engines);
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
  struct load_group_key next_version;
  struct engines engines;

  engines_init (&engines, 20, 73, &place_settings_default, "cost");
  load_group_key_init (&next_version, "s", "m", "2", NULL);
  request.group_key = &next_version;
  CU_ASSERT_EQUAL (place_choose (&engines.place, &request, &result),
                   STATUS_UNAVAILABLE);
  request.group_key = &engines.need;
  engines_report (&engines, 3, 0);
  CU_ASSERT_EQUAL (place_choose (&engines.place, &request, &result),
                   STATUS_OK);
  CU_ASSERT_EQUAL (result.engine_id, 3);
  load_set_leaving (&engines.load, 3, true);
  for (int i = 0; i < 1000; i++)
    {
      CU_ASSERT_EQUAL (place_choose (&engines.place, &request, &result),
                       STATUS_OK);
      CU_ASSERT_NOT_EQUAL (result.engine_id, 3);
    }
  clock_fake_advance (&engines.clock, load_settings_default.report_timeout_ns);
  load_tick (&engines.load);
  CU_ASSERT_EQUAL (place_choose (&engines.place, &request, &result),
                   STATUS_UNAVAILABLE);
  engines_finish (&engines);
}

/* A committed decision counts as load in this process's next decision. */
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
  char text[1024], truncated[40];
  struct engines engines;

  engines_init (&engines, 8, 74, &place_settings_default, "cost");
  request.group_key = &engines.need;
  for (uint64_t e = 0; e < 8; e++)
    engines_report (&engines, e, 0);
  clock_fake_advance (&engines.clock, 1);
  for (int i = 0; i < 64; i++)
    {
      place_choose (&engines.place, &request, &result);
      place_commit (&engines.place, &engines.load, &result, &sent[i]);
      counts[result.engine_id]++;
    }
  for (int e = 0; e < 8; e++)
    CU_ASSERT_EQUAL (counts[e], 8);
  place_format (&engines.place, &result, text, sizeof text);
  place_format (&engines.place, &result, truncated, sizeof truncated);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "reason=computed"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "considered=engine-"));
  CU_ASSERT_EQUAL (strlen (truncated), sizeof truncated - 1);
  engines_finish (&engines);
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
  uint64_t last_engine = 0;
  struct engines engines;

  engines_init (&engines, 12, 75, &place_settings_default, "round_robin");
  request.group_key = &engines.need;
  for (uint64_t e = 0; e < 12; e++)
    engines_report (&engines, e, (int64_t)(20 + e));
  for (int i = 0; i < 24; i++)
    {
      CU_ASSERT_EQUAL (place_choose (&engines.place, &request, &result),
                       STATUS_OK);
      CU_ASSERT_TRUE (i == 0 || result.engine_id == (last_engine + 1) % 12);
      last_engine = result.engine_id;
    }
  engines.place.policy = place_policy_find ("least_loaded");
  place_choose (&engines.place, &request, &result);
  CU_ASSERT_EQUAL (result.engine_id, 0);
  engines.place.policy = place_policy_find ("prefix_affinity");
  place_choose (&engines.place, &request, &result);
  CU_ASSERT_EQUAL (result.engine_id, 3);
  CU_ASSERT_EQUAL (result.plan.reused_blocks, 4);
  engines_report (&engines, 3, 1000000);
  place_choose (&engines.place, &request, &result);
  CU_ASSERT_EQUAL (result.engine_id, 0);
  CU_ASSERT_PTR_NULL (place_policy_find ("none"));
  engines_finish (&engines);
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
