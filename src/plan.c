#include "plan.h"

#include "clock.h"

/* Imports taken on so far, while pieces are added one by one. */
struct transfer
{
  int64_t bytes[PLAN_LINKS_MAX];
  int64_t total;
  double last_ns; /* when the last link is through */
};

struct pick
{
  unsigned copy;
  unsigned link;
  double done_ns;
};

/* The copy whose link would be through with PIECE first, and before the read
 * lease ends. */
static bool
pick_copy (const struct plan_input *input, const struct transfer *transfer,
           uint32_t piece, struct pick *pick)
{
  const struct blockindex_piece *copies = &input->match->pieces[piece];
  bool found = false;

  for (unsigned i = 0; i < copies->copy_count; i++)
    {
      unsigned link = input->copy_links[piece][i];
      const struct link_quote *quote = &input->links[link].quote;
      double done_ns;

      if (link == PLAN_NO_LINK)
        continue;
      done_ns = quote->backlog_ns
                + (double)(transfer->bytes[link] + copies->copies[i].length)
                      * quote->ns_per_byte;
      if (done_ns > (double)input->match->read_lease_ns
          || (found && done_ns >= pick->done_ns))
        continue;
      *pick = (struct pick){ i, link, done_ns };
      found = true;
    }
  return found;
}

static bool
transfer_add (const struct plan_input *input, struct transfer *transfer,
              uint32_t piece, struct pick *pick)
{
  int64_t length;

  if (piece >= input->match->piece_count
      || !pick_copy (input, transfer, piece, pick))
    return false;
  length = input->match->pieces[piece].copies[pick->copy].length;
  transfer->bytes[pick->link] += length;
  transfer->total += length;
  if (pick->done_ns > transfer->last_ns)
    transfer->last_ns = pick->done_ns;
  return true;
}

static void
plan_price (const struct plan_input *input, const struct plan_engine *engine,
            const struct transfer *transfer, struct plan *plan)
{
  const struct plan_settings *settings = input->settings;
  double reused = (double)(plan->reuse * input->piece_tokens);
  double computed;

  plan->recompute_tokens
      = input->tokens
        - (int64_t)(plan->reuse + plan->import) * input->piece_tokens;
  /* A hint that proves wrong makes the engine compute those pieces too. */
  computed
      = (double)plan->recompute_tokens + (1 - engine->confidence) * reused;
  plan->import_bytes = transfer->total;
  plan->wait_s = engine->wait_s;
  plan->import_s = transfer->last_ns / (double)NS_PER_S;
  plan->prefill_s = computed / engine->rate;
  plan->cost_s = plan->wait_s + plan->import_s + plan->prefill_s
                 + computed * settings->token_price_s
                 + (double)transfer->total * settings->byte_price_s;
}

/* Price every number of imports after REUSE pieces; keep the best in BEST. */
static void
plan_from (const struct plan_input *input, const struct plan_engine *engine,
           uint32_t reuse, struct plan *best)
{
  struct transfer transfer = { .total = 0 };
  struct plan plan = { .reuse = reuse };
  struct pick pick;

  plan_price (input, engine, &transfer, &plan);
  if (best->cost_s < 0 || plan.cost_s < best->cost_s)
    *best = plan;
  while (plan.import < input->settings->import_max
         && transfer_add (input, &transfer, reuse + plan.import, &pick))
    {
      plan.import++;
      plan_price (input, engine, &transfer, &plan);
      if (plan.cost_s < best->cost_s)
        *best = plan;
    }
}

static struct plan_import
import_make (const struct plan_input *input, uint32_t piece,
             const struct pick *pick)
{
  return (struct plan_import){
    .piece = piece,
    .copy = input->match->pieces[piece].copies[pick->copy],
  };
}

void
plan_cheapest (const struct plan_input *input,
               const struct plan_engine *engine, struct plan *plan)
{
  plan->cost_s = -1;
  plan_from (input, engine, engine->held, plan);
  /* With a sure hint, importing what is there can't be cheaper. */
  if (engine->held > 0 && engine->confidence < 1)
    plan_from (input, engine, 0, plan);
}

void
plan_widest (const struct plan_input *input, const struct plan_engine *engine,
             struct plan *plan)
{
  struct transfer transfer = { .total = 0 };
  struct pick pick;

  plan->reuse = engine->held;
  plan->import = 0;
  while (plan->import < input->settings->import_max
         && transfer_add (input, &transfer, plan->reuse + plan->import, &pick))
    plan->import++;
  plan_price (input, engine, &transfer, plan);
}

unsigned
plan_imports (const struct plan_input *input, const struct plan *plan,
              double piece_s, struct plan_import imports[PLAN_IMPORTS_MAX])
{
  struct transfer transfer = { .total = 0 };
  double deadline_ns;
  unsigned count = 0;
  struct pick pick;

  while (count < plan->import
         && transfer_add (input, &transfer, plan->reuse + count, &pick))
    {
      imports[count] = import_make (input, plan->reuse + count, &pick);
      count++;
    }
  deadline_ns = transfer.last_ns;
  for (uint32_t piece = plan->reuse;
       piece-- > 0 && count < input->settings->import_max;)
    {
      deadline_ns += piece_s * (double)NS_PER_S;
      if (!transfer_add (input, &transfer, piece, &pick)
          || pick.done_ns > deadline_ns)
        return count;
      imports[count] = import_make (input, piece, &pick);
      imports[count].fallback = true;
      count++;
    }
  return count;
}
