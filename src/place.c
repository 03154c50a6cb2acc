#include "place.h"

#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

enum
{
  DRAWS_PER_RANDOM_CANDIDATE = 4
};

/* Weight of one response in the moving average place.hint_accuracy. */
static const double accuracy_weight = 1.0 / 64;

const struct place_settings place_settings_default = {
  .plan = { .token_price_s = 3e-5, .byte_price_s = 1e-9, .import_max = 32 },
  .prefix_candidates_max = 4,
  .random_candidate_count = 2,
  .urgent_wait_share = 0.25,
  .urgent_residual_factor = 4,
  .export_percent = 25,
  .affinity_wait_max_s = 2,
};

/* Inputs and result of one placement decision. */
struct decision
{
  struct place *place;
  const struct place_request *request;
  const struct load_group *group;
  struct place_result *result;
  struct plan_input input;
  int64_t now;
};

static unsigned
plan_input_add_store (struct plan_input *input, struct place *place,
                      uint64_t store, enum linkbudget_priority priority)
{
  struct linkbudget_estimate *estimate;
  struct linkbudget *link;

  for (unsigned i = 0; i < input->store_count; i++)
    if (input->stores[i].store == store)
      return i;
  link = place_find_link_budget (place, store);
  if (link == NULL || input->store_count == PLAN_STORES_MAX)
    return PLAN_NO_STORE;
  input->stores[input->store_count].store = store;
  estimate = &input->stores[input->store_count].estimate;
  *estimate = linkbudget_estimate_duration (link, priority);
  /* Urgent imports overtake waiting transfers, but can't interrupt running
   * ones. */
  if (priority == LINKBUDGET_URGENT)
    estimate->backlog_ns += place->settings.urgent_residual_factor
                            * linkbudget_residual_ns (link);
  return input->store_count++;
}

static void
plan_input_init (struct decision *decision)
{
  struct plan_input *input = &decision->input;
  const struct blockindex_match *match = decision->request->match;

  input->settings = &decision->place->settings.plan;
  input->match = match;
  input->prompt_tokens = decision->request->prompt_tokens;
  input->block_tokens = decision->request->block_tokens;
  input->store_count = 0;
  for (unsigned i = 0; i < match->block_count; i++)
    for (unsigned j = 0; j < match->blocks[i].copy_count; j++)
      input->copy_stores[i][j] = (uint8_t)plan_input_add_store (
          input, decision->place, match->blocks[i].copies[j].store,
          decision->result->priority);
}

static bool
engine_is_excluded (const struct decision *decision, uint32_t index)
{
  uint64_t id = load_engine_at (decision->place->load, index)->id;

  for (size_t i = 0; i < decision->request->excluded_count; i++)
    if (decision->request->excluded[i] == id)
      return true;
  return false;
}

static bool
engine_is_candidate (const struct place_result *result, uint32_t index)
{
  for (unsigned i = 0; i < result->candidate_count; i++)
    if (result->candidates[i].engine_index == index)
      return true;
  return false;
}

static struct plan_engine
plan_engine_view (const struct decision *decision, uint32_t index)
{
  const struct load *load = decision->place->load;
  const struct load_engine *engine = load_engine_at (load, index);
  const struct blockindex_match *match = decision->request->match;
  struct plan_engine view
      = { .prefill_tokens_per_s = engine->prefill_tokens_per_s,
          .confidence = 1 };

  view.wait_s = load_wait_s (load, index, decision->now);
  if (decision->request->urgent)
    view.wait_s *= decision->place->settings.urgent_wait_share;
  for (unsigned i = 0; i < match->holder_count; i++)
    if (match->holders[i].engine == engine->id)
      {
        view.cached_blocks = match->holders[i].block_count;
        view.confidence
            = match->holders[i].confidence * decision->place->hint_accuracy;
      }
  return view;
}

static void
candidate_add (struct decision *decision, uint32_t index,
               void (*price) (const struct plan_input *,
                              const struct plan_engine *, struct plan *))
{
  struct place_result *result = decision->result;
  struct plan_engine view = plan_engine_view (decision, index);
  struct place_candidate *candidate;

  assert (result->candidate_count < PLACE_CANDIDATES_MAX);
  candidate = &result->candidates[result->candidate_count++];
  candidate->engine_index = index;
  price (&decision->input, &view, &candidate->plan);
}

static void
candidates_add_holders (struct decision *decision)
{
  const struct blockindex_match *match = decision->request->match;
  unsigned left = decision->place->settings.prefix_candidates_max;
  uint32_t index;

  for (unsigned i = 0; i < match->holder_count && left > 0; i++)
    if (load_find_engine (decision->place->load, match->holders[i].engine,
                          &index)
        && load_engine_in_group (decision->place->load, index, decision->group)
        && !engine_is_excluded (decision, index))
      {
        candidate_add (decision, index, plan_minimize_cost);
        left--;
      }
}

static void
candidates_add_group (struct decision *decision)
{
  const GArray *members = decision->group->members;

  for (unsigned i = 0; i < members->len; i++)
    {
      uint32_t index = g_array_index (members, uint32_t, i);

      if (!engine_is_candidate (decision->result, index)
          && !engine_is_excluded (decision, index))
        candidate_add (decision, index, plan_minimize_cost);
    }
}

static void
candidates_add_random (struct decision *decision)
{
  const GArray *members = decision->group->members;
  unsigned left = decision->place->settings.random_candidate_count;
  unsigned tries = left * DRAWS_PER_RANDOM_CANDIDATE;

  while (left > 0 && tries-- > 0)
    {
      uint64_t at = rng_below (decision->place->rng, members->len);
      uint32_t index = g_array_index (members, uint32_t, at);

      if (engine_is_candidate (decision->result, index)
          || engine_is_excluded (decision, index))
        continue;
      candidate_add (decision, index, plan_minimize_cost);
      left--;
    }
}

/* Adds the first engine, from a random position on, that is not excluded.
 * Called when all engines that were drawn at random are excluded. */
static void
candidates_add_any (struct decision *decision)
{
  const GArray *members = decision->group->members;
  uint64_t at = rng_below (decision->place->rng, members->len);

  for (unsigned i = 0; i < members->len; i++)
    {
      uint32_t index = g_array_index (members, uint32_t,
                                      (guint)((at + i) % members->len));

      if (engine_is_excluded (decision, index))
        continue;
      candidate_add (decision, index, plan_minimize_cost);
      return;
    }
}

static enum place_reason
plan_reason (const struct plan *plan)
{
  if (plan->imported_blocks > 0)
    return PLACE_IMPORTED;
  return plan->reused_blocks > 0 ? PLACE_REUSED : PLACE_COMPUTED;
}

/* Returns the delay before the request is sent. An import that is not urgent
 * waits in this process, since an urgent one could not overtake it on the
 * link. */
static int64_t
import_hold_ns (const struct decision *decision)
{
  const struct place_result *result = decision->result;
  double hold_ns = 0;

  if (decision->request->urgent)
    return 0;
  for (unsigned i = 0; i < result->plan.imported_blocks; i++)
    for (unsigned l = 0; l < decision->input.store_count; l++)
      if (decision->input.stores[l].store == result->imports[i].copy.store)
        hold_ns
            = fmax (hold_ns, decision->input.stores[l].estimate.backlog_ns);
  return (int64_t)hold_ns;
}

static enum status
select_cheapest (struct decision *decision)
{
  struct place_result *result = decision->result;
  const struct place_candidate *best = &result->candidates[0];
  const struct load_engine *engine;

  if (result->candidate_count == 0)
    return STATUS_UNAVAILABLE;
  for (unsigned i = 1; i < result->candidate_count; i++)
    if (result->candidates[i].plan.cost_s < best->plan.cost_s)
      best = &result->candidates[i];
  result->engine_index = best->engine_index;
  engine = load_engine_at (decision->place->load, best->engine_index);
  result->engine_id = engine->id;
  result->plan = best->plan;
  result->reason = plan_reason (&best->plan);
  result->import_count = plan_list_imports (
      &decision->input, &best->plan,
      (double)decision->request->block_tokens / engine->prefill_tokens_per_s,
      result->imports);
  return STATUS_OK;
}

static enum status
decision_init (struct decision *decision, struct place *place,
               const struct place_request *request,
               struct place_result *result)
{
  decision->place = place;
  decision->request = request;
  decision->result = result;
  decision->now = clock_now (place->clock);
  decision->group = load_find_group (place->load, request->group_key);
  result->policy = place->policy->name;
  result->priority = request->urgent ? LINKBUDGET_URGENT : LINKBUDGET_IMPORT;
  result->candidate_count = 0;
  result->import_count = 0;
  result->hold_ns = 0;
  if (decision->group == NULL)
    return STATUS_UNAVAILABLE;
  plan_input_init (decision);
  return STATUS_OK;
}

static enum status
choose_cost (struct place *place, const struct place_request *request,
             struct place_result *result)
{
  struct decision decision;

  if (decision_init (&decision, place, request, result) != STATUS_OK)
    return STATUS_UNAVAILABLE;
  candidates_add_holders (&decision);
  if (decision.group->members->len <= PLACE_SMALL_GROUP_MAX)
    candidates_add_group (&decision);
  else
    candidates_add_random (&decision);
  if (result->candidate_count == 0)
    candidates_add_any (&decision);
  if (select_cheapest (&decision) != STATUS_OK)
    return STATUS_UNAVAILABLE;
  result->hold_ns = import_hold_ns (&decision);
  return STATUS_OK;
}

static enum status
choose_round_robin (struct place *place, const struct place_request *request,
                    struct place_result *result)
{
  struct decision decision;
  const GArray *members;

  if (decision_init (&decision, place, request, result) != STATUS_OK)
    return STATUS_UNAVAILABLE;
  members = decision.group->members;
  for (unsigned i = 0; i < members->len; i++)
    {
      uint64_t at = place->round_robin_position++ % members->len;
      uint32_t index = g_array_index (members, uint32_t, at);

      if (engine_is_excluded (&decision, index))
        continue;
      candidate_add (&decision, index, plan_maximize_reuse);
      break;
    }
  return select_cheapest (&decision);
}

static bool
find_least_loaded (const struct decision *decision, uint32_t *least)
{
  const GArray *members = decision->group->members;
  double least_s = -1;

  for (unsigned i = 0; i < members->len; i++)
    {
      uint32_t index = g_array_index (members, uint32_t, i);
      double wait_s
          = load_wait_s (decision->place->load, index, decision->now);

      if (engine_is_excluded (decision, index)
          || (least_s >= 0 && wait_s >= least_s))
        continue;
      least_s = wait_s;
      *least = index;
    }
  return least_s >= 0;
}

static enum status
choose_least_loaded (struct place *place, const struct place_request *request,
                     struct place_result *result)
{
  struct decision decision;
  uint32_t index = 0;

  if (decision_init (&decision, place, request, result) != STATUS_OK)
    return STATUS_UNAVAILABLE;
  if (find_least_loaded (&decision, &index))
    candidate_add (&decision, index, plan_maximize_reuse);
  return select_cheapest (&decision);
}

static bool
find_affinity_holder (const struct decision *decision, uint32_t *affine)
{
  const struct place *place = decision->place;
  const struct blockindex_match *match = decision->request->match;

  for (unsigned i = 0; i < match->holder_count; i++)
    if (load_find_engine (place->load, match->holders[i].engine, affine)
        && load_engine_in_group (place->load, *affine, decision->group)
        && !engine_is_excluded (decision, *affine)
        && load_wait_s (place->load, *affine, decision->now)
               <= place->settings.affinity_wait_max_s)
      return true;
  return false;
}

static enum status
choose_prefix_affinity (struct place *place,
                        const struct place_request *request,
                        struct place_result *result)
{
  struct decision decision;
  uint32_t index = 0;

  if (decision_init (&decision, place, request, result) != STATUS_OK)
    return STATUS_UNAVAILABLE;
  if (find_affinity_holder (&decision, &index)
      || find_least_loaded (&decision, &index))
    candidate_add (&decision, index, plan_maximize_reuse);
  return select_cheapest (&decision);
}

static const struct place_policy policies[] = {
  { "cost", choose_cost },
  { "round_robin", choose_round_robin },
  { "least_loaded", choose_least_loaded },
  { "prefix_affinity", choose_prefix_affinity },
};

static const char *const reason_names[] = {
  [PLACE_REUSED] = "reused",
  [PLACE_IMPORTED] = "imported",
  [PLACE_COMPUTED] = "computed",
};

/* Returns the expected number of bytes that IMPORT transfers. A fallback is
 * used only when a hint proves wrong. */
static int64_t
import_expected_bytes (const struct place *place,
                       const struct plan_import *import)
{
  if (!import->fallback)
    return import->copy.length;
  return (int64_t)((double)import->copy.length * (1 - place->hint_accuracy));
}

/* Returns the expected number of bytes of all imports of RESULT from the store
 * of import FIRST, or 0 if an import before FIRST names the same store, so
 * that a loop over all imports counts each store once. */
static int64_t
import_bytes_from_store (const struct place *place,
                         const struct place_result *result, unsigned first)
{
  uint64_t store = result->imports[first].copy.store;
  int64_t bytes = 0;

  for (unsigned i = 0; i < result->import_count; i++)
    {
      if (result->imports[i].copy.store != store)
        continue;
      if (i < first)
        return 0;
      bytes += import_expected_bytes (place, &result->imports[i]);
    }
  return bytes;
}

void
place_init (struct place *place, const struct load *load,
            const struct clock *clock, struct rng *rng,
            const struct place_settings *settings,
            const struct place_policy *policy)
{
  assert (settings->plan.import_max <= PLAN_IMPORTS_MAX);
  assert (settings->random_candidate_count + settings->prefix_candidates_max
          <= PLACE_CANDIDATES_MAX);
  assert (PLACE_SMALL_GROUP_MAX + settings->prefix_candidates_max
          <= PLACE_CANDIDATES_MAX);
  place->load = load;
  place->clock = clock;
  place->rng = rng;
  place->settings = *settings;
  place->policy = policy;
  place->link_budgets
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  place->round_robin_position = 0;
  place->hint_accuracy = 1;
}

void
place_finish (struct place *place)
{
  g_hash_table_destroy (place->link_budgets);
}

const struct place_policy *
place_policy_find (const char *name)
{
  for (size_t i = 0; i < sizeof policies / sizeof *policies; i++)
    if (strcmp (policies[i].name, name) == 0)
      return &policies[i];
  return NULL;
}

void
place_set_link_budget (struct place *place, uint64_t store, int64_t rate,
                       int64_t burst)
{
  struct linkbudget *link = place_find_link_budget (place, store);

  if (link != NULL)
    {
      linkbudget_set_rate (link, rate);
      return;
    }
  link = g_new (struct linkbudget, 1);
  linkbudget_init (link, place->clock, rate, burst,
                   place->settings.export_percent);
  g_hash_table_insert (place->link_budgets, g_memdup2 (&store, sizeof store),
                       link);
}

void
place_remove_link_budget (struct place *place, uint64_t store)
{
  g_hash_table_remove (place->link_budgets, &store);
}

struct linkbudget *
place_find_link_budget (struct place *place, uint64_t store)
{
  return g_hash_table_lookup (place->link_budgets, &store);
}

enum status
place_choose (struct place *place, const struct place_request *request,
              struct place_result *result)
{
  return place->policy->choose (place, request, result);
}

void
place_commit (struct place *place, struct load *load,
              const struct place_result *result, struct load_request *sent)
{
  for (unsigned i = 0; i < result->import_count; i++)
    {
      struct linkbudget *link
          = place_find_link_budget (place, result->imports[i].copy.store);
      int64_t bytes = import_bytes_from_store (place, result, i);

      if (link != NULL && bytes > 0)
        linkbudget_take (link, result->priority, bytes);
    }
  load_add_request (load, sent, result->engine_index,
                    result->plan.recompute_tokens);
}

void
place_record_reuse (struct place *place, uint32_t reuse, uint32_t cached)
{
  double share = cached < reuse ? (double)cached / reuse : 1;

  if (reuse > 0)
    place->hint_accuracy += accuracy_weight * (share - place->hint_accuracy);
}

void
place_format (const struct place *place, const struct place_result *result,
              char *buffer, size_t size)
{
  const struct plan *plan = &result->plan;
  size_t used;

  snprintf (buffer, size,
            "policy=%s engine=%s reason=%s reuse=%u import=%u bytes=%lld"
            " recompute=%lld wait_ms=%.1f import_ms=%.1f prefill_ms=%.1f"
            " cost_ms=%.1f considered=",
            result->policy,
            load_engine_at (place->load, result->engine_index)->name,
            reason_names[result->reason], plan->reused_blocks,
            plan->imported_blocks, (long long)plan->import_bytes,
            (long long)plan->recompute_tokens, plan->wait_s * 1e3,
            plan->import_s * 1e3, plan->prefill_s * 1e3, plan->cost_s * 1e3);
  for (unsigned i = 0; i < result->candidate_count; i++)
    {
      const struct place_candidate *candidate = &result->candidates[i];

      used = strlen (buffer);
      snprintf (buffer + used, size - used, "%s%s:%.1f", i > 0 ? "," : "",
                load_engine_at (place->load, candidate->engine_index)->name,
                candidate->plan.cost_s * 1e3);
    }
}
