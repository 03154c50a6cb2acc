#include "plan.h"

#include "clock.h"

/* Totals of the imports planned so far; blocks are added one by one. */
struct import_totals
{
  int64_t bytes[PLAN_STORES_MAX];
  int64_t total_bytes;
  double finish_ns; /* Time until the last link finishes its transfers. */
};

struct chosen_copy
{
  unsigned copy;
  unsigned link;
  double done_ns;
};

/* Chooses the copy of BLOCK whose link would finish its transfer first, among
 * those that finish before the read lease expires. */
static bool
choose_copy (const struct plan_input *input,
             const struct import_totals *totals, uint32_t block,
             struct chosen_copy *chosen)
{
  const struct blockindex_block *copies = &input->match->blocks[block];
  bool found = false;

  for (unsigned i = 0; i < copies->copy_count; i++)
    {
      unsigned link = input->copy_stores[block][i];
      const struct linkbudget_estimate *estimate
          = &input->stores[link].estimate;
      double done_ns;

      if (link == PLAN_NO_STORE)
        continue;
      done_ns = estimate->backlog_ns
                + (double)(totals->bytes[link] + copies->copies[i].length)
                      * estimate->ns_per_byte;
      if (done_ns > (double)input->match->read_lease_ns
          || (found && done_ns >= chosen->done_ns))
        continue;
      *chosen = (struct chosen_copy){ i, link, done_ns };
      found = true;
    }
  return found;
}

static bool
import_totals_add (const struct plan_input *input,
                   struct import_totals *totals, uint32_t block,
                   struct chosen_copy *chosen)
{
  int64_t length;

  if (block >= input->match->block_count
      || !choose_copy (input, totals, block, chosen))
    return false;
  length = input->match->blocks[block].copies[chosen->copy].length;
  totals->bytes[chosen->link] += length;
  totals->total_bytes += length;
  if (chosen->done_ns > totals->finish_ns)
    totals->finish_ns = chosen->done_ns;
  return true;
}

static void
plan_compute_cost (const struct plan_input *input,
                   const struct plan_engine *engine,
                   const struct import_totals *totals, struct plan *plan)
{
  const struct plan_settings *settings = input->settings;
  double reused = (double)(plan->reused_blocks * input->block_tokens);
  double computed;

  plan->recompute_tokens
      = input->prompt_tokens
        - (int64_t)(plan->reused_blocks + plan->imported_blocks)
              * input->block_tokens;
  /* Where a hint is wrong, the engine computes those blocks too. */
  computed
      = (double)plan->recompute_tokens + (1 - engine->confidence) * reused;
  plan->import_bytes = totals->total_bytes;
  plan->wait_s = engine->wait_s;
  plan->import_s = totals->finish_ns / (double)NS_PER_S;
  plan->prefill_s = computed / engine->prefill_tokens_per_s;
  plan->cost_s = plan->wait_s + plan->import_s + plan->prefill_s
                 + computed * settings->token_price_s
                 + (double)totals->total_bytes * settings->byte_price_s;
}

/* Computes the cost of each possible number of imports after REUSE reused
 * blocks, and replaces BEST by a plan that costs less. */
static void
plan_try_import_counts (const struct plan_input *input,
                        const struct plan_engine *engine, uint32_t reuse,
                        struct plan *best)
{
  struct import_totals totals = { .total_bytes = 0 };
  struct plan plan = { .reused_blocks = reuse };
  struct chosen_copy chosen;

  plan_compute_cost (input, engine, &totals, &plan);
  if (best->cost_s < 0 || plan.cost_s < best->cost_s)
    *best = plan;
  while (plan.imported_blocks < input->settings->import_max
         && import_totals_add (input, &totals, reuse + plan.imported_blocks,
                               &chosen))
    {
      plan.imported_blocks++;
      plan_compute_cost (input, engine, &totals, &plan);
      if (plan.cost_s < best->cost_s)
        *best = plan;
    }
}

static struct plan_import
import_make (const struct plan_input *input, uint32_t block,
             const struct chosen_copy *chosen)
{
  return (struct plan_import){
    .block = block,
    .copy = input->match->blocks[block].copies[chosen->copy],
  };
}

void
plan_minimize_cost (const struct plan_input *input,
                    const struct plan_engine *engine, struct plan *plan)
{
  plan->cost_s = -1;
  plan_try_import_counts (input, engine, engine->cached_blocks, plan);
  /* With full confidence, importing cached blocks can't be cheaper. */
  if (engine->cached_blocks > 0 && engine->confidence < 1)
    plan_try_import_counts (input, engine, 0, plan);
}

void
plan_maximize_reuse (const struct plan_input *input,
                     const struct plan_engine *engine, struct plan *plan)
{
  struct import_totals totals = { .total_bytes = 0 };
  struct chosen_copy chosen;

  plan->reused_blocks = engine->cached_blocks;
  plan->imported_blocks = 0;
  while (plan->imported_blocks < input->settings->import_max
         && import_totals_add (input, &totals,
                               plan->reused_blocks + plan->imported_blocks,
                               &chosen))
    plan->imported_blocks++;
  plan_compute_cost (input, engine, &totals, plan);
}

unsigned
plan_list_imports (const struct plan_input *input, const struct plan *plan,
                   double block_s,
                   struct plan_import imports[PLAN_IMPORTS_MAX])
{
  struct import_totals totals = { .total_bytes = 0 };
  double deadline_ns;
  unsigned count = 0;
  struct chosen_copy chosen;

  while (count < plan->imported_blocks
         && import_totals_add (input, &totals, plan->reused_blocks + count,
                               &chosen))
    {
      imports[count]
          = import_make (input, plan->reused_blocks + count, &chosen);
      count++;
    }
  deadline_ns = totals.finish_ns;
  for (uint32_t block = plan->reused_blocks;
       block-- > 0 && count < input->settings->import_max;)
    {
      deadline_ns += block_s * (double)NS_PER_S;
      if (!import_totals_add (input, &totals, block, &chosen)
          || chosen.done_ns > deadline_ns)
        return count;
      imports[count] = import_make (input, block, &chosen);
      imports[count].fallback = true;
      count++;
    }
  return count;
}
