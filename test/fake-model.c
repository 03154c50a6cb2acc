#include "fake-model.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static int
later_order (const void *a, const void *b, void *data)
{
  int64_t x = ((const struct later *)a)->at_ns;
  int64_t y = ((const struct later *)b)->at_ns;

  return (x > y) - (x < y);
}

static void
push (struct model *m, int64_t after_ns, struct later later)
{
  later.at_ns = m->clock.now_ns + after_ns;
  g_sequence_insert_sorted (m->agenda, g_memdup2 (&later, sizeof later),
                            later_order, NULL);
}

static bool
measured (const struct model *m)
{
  return m->clock.now_ns > WARM_S * NS_PER_S;
}

static void
ignore_engine (void *data, uint64_t engine)
{
}

/* A slot's number tells its tier. */
static void
free_slot (void *data, uint64_t store, uint64_t slot, uint64_t generation)
{
  ((struct model *)data)->used[store][slot % BLOCKCOPY_TIER_COUNT]--;
}

/* When a transfer that is handed to the link now is over. */
static int64_t
transfer (struct model *m, uint64_t store)
{
  int64_t *free_ns = &m->link_free_ns[store];

  *free_ns = (*free_ns > m->clock.now_ns ? *free_ns : m->clock.now_ns)
             + PIECE_BYTES * NS_PER_S / LINK_RATE;
  m->link_bytes += measured (m) ? PIECE_BYTES : 0;
  return *free_ns - m->clock.now_ns;
}

static void
cache_event (struct model *m, const struct later *l)
{
  cachehint_event (&m->index.hints, l->engine, l->number, l->stored,
                   &l->ref.block);
}

static void
cache_told (struct model *m, uint32_t e, const struct block_id *id,
            bool stored)
{
  push (m, EVENT_LAG_NS,
        (struct later){ .run = cache_event,
                        .engine = e,
                        .number = ++m->engines[e].sequence,
                        .stored = stored,
                        .ref.block = *id });
}

static void
cache_add (struct model *m, uint32_t e, const struct block_id *id)
{
  struct engine *engine = &m->engines[e];
  struct cached *cached = g_hash_table_lookup (engine->cache, id);

  if (cached == NULL)
    {
      cached = g_new (struct cached, 1);
      cached->id = *id;
      list_init (&cached->node);
      g_hash_table_insert (engine->cache, &cached->id, cached);
      cache_told (m, e, id, true);
    }
  list_remove (&cached->node);
  list_append (&engine->lru, &cached->node);
  if (g_hash_table_size (engine->cache) <= m->fleet->cache_blocks)
    return;
  cached = LIST_ENTRY (list_pop (&engine->lru), struct cached, node);
  cache_told (m, e, &cached->id, false);
  g_hash_table_remove (engine->cache, &cached->id);
}

static void
seal (struct model *m, const struct later *l)
{
  blockcopy_written (&m->index.copies, &l->ref, 1, PIECE_BYTES, 1);
  blockcopy_sealed (&m->index.copies, &l->ref, 1, PIECE_BYTES, 1);
}

/* The policy to compare with: keep all that the link's budget allows, and
 * displace the least recently used. */
static void
decide_all (struct model *m, const struct export_target *targets,
            struct export_decision *decision)
{
  size_t at = rng_below (&m->rng, STORES) * BLOCKCOPY_TIER_COUNT;

  at += targets[at].free_bytes <= 0;
  *decision = (struct export_decision){ EXPORT_LINK_BUSY, at, NULL, 0 };
  if (targets[at].free_bytes <= 0 && targets[at].evict_candidate_count > 0)
    decision->victim = targets[at].evict_candidates[0];
  if (targets[at].may_reserve
      && linkbudget_try_take (targets[at].link_budget, LINKBUDGET_EXPORT,
                              PIECE_BYTES))
    decision->reason = EXPORT_KEPT;
}

/* The model's own, which outlives a queued item's. */
static const struct block_scope *
scope_of (const struct model *m, const struct block_scope *scope)
{
  return &m->scopes[scope->organisation[0] - 'a'];
}

static void
export_to (struct model *m, struct blockcopy_ref ref,
           const struct export_target *target)
{
  uint64_t slot = m->slot++ * BLOCKCOPY_TIER_COUNT + target->tier;

  ref.store = target->store;
  ref.scope = scope_of (m, ref.scope);
  if (blockcopy_reserve (&m->index.copies, &ref, target->tier, PIECE_BYTES)
      != STATUS_OK)
    return;
  m->used[target->store][target->tier]++;
  blockcopy_slot_assigned (&m->index.copies, &ref, slot, 1);
  push (m, transfer (m, ref.store), (struct later){ .run = seal, .ref = ref });
}

/* Decide on one block that its engine still has.
 * Return false if the link has no budget. */
static bool
export_item (struct model *m, const struct exportqueue_item *item)
{
  struct export_block block = { item->scope.organisation,
                                item->kind,
                                item->position,
                                PIECE_TOKENS,
                                PIECE_BYTES,
                                m->clock.now_ns - item->pushed_ns };
  struct blockcopy_ref ref = { &item->scope, item->block, 0 };
  const struct blockcopy *oldest[TARGETS][OLDEST];
  struct export_target targets[TARGETS];
  struct export_decision decision;

  for (unsigned i = 0; i < TARGETS; i++)
    {
      uint64_t store = i / BLOCKCOPY_TIER_COUNT;
      enum blockcopy_tier tier = i % BLOCKCOPY_TIER_COUNT;
      int64_t slots = m->fleet->slots[tier];

      /* A twentieth stays free for what waits to be freed. */
      targets[i] = (struct export_target){
        store,
        tier,
        m->used[store][tier] < slots,
        (slots * 19 / 20 - m->used[store][tier]) * PIECE_BYTES,
        place_find_link_budget (&m->place, store),
        oldest[i],
        blockcopy_least_recent (&m->index.copies, store, tier, oldest[i],
                                OLDEST)
      };
    }
  if (m->keep_all)
    decide_all (m, targets, &decision);
  else
    export_decide (&m->export, &block, false, targets, TARGETS, &decision);
  if (decision.reason == EXPORT_KEPT && decision.victim != NULL)
    {
      const struct blockentry *entry = decision.victim->entry;
      struct blockcopy_ref old
          = { &entry->scope->scope, entry->id, decision.victim->store->id };

      blockcopy_withdraw (&m->index.copies, &old, 0);
    }
  if (decision.reason == EXPORT_KEPT)
    export_to (m, ref, &targets[decision.target_index]);
  return decision.reason != EXPORT_LINK_BUSY;
}

static void
export_tick (struct model *m, const struct later *l)
{
  struct exportqueue_item item;

  push (m, EXPORT_EVERY_NS, *l);
  while (exportqueue_pop (&m->queue, &item))
    {
      if (!g_hash_table_contains (m->engines[item.engine].cache, &item.block)
          || blockcopy_exists (&m->index.copies, &item.scope, &item.block)
          || export_item (m, &item))
        continue;
      exportqueue_push (&m->queue, &item);
      return;
    }
}

static void
export_push (struct model *m, const struct request *r, unsigned piece)
{
  struct export_block block
      = { r->scope->organisation, r->kind,     (uint16_t)piece,
          PIECE_TOKENS,           PIECE_BYTES, 0 };
  struct exportqueue_item item
      = { *r->scope, r->ids[piece],   r->placed.engine_index,
          r->kind,   (uint16_t)piece, 0,
          0 };

  if (blockcopy_exists (&m->index.copies, r->scope, &item.block))
    return;
  if (!m->keep_all)
    item.gain = export_value_s (&m->export, &block, BLOCKCOPY_DISK);
  exportqueue_push (&m->queue, &item);
}

static void
finish (struct model *m, struct request *r)
{
  double seconds = (double)(m->clock.now_ns - r->arrived_ns) / NS_PER_S;

  load_remove_request (&r->sent);
  if (r->arrived_ns > WARM_S * NS_PER_S)
    g_array_append_val (m->times[r->kind != 0], seconds);
  for (unsigned i = 0; i < r->pieces; i++)
    cache_add (m, r->placed.engine_index, &r->ids[i]);
  for (unsigned i = 0; i < r->pieces; i++)
    export_push (m, r, i);
  g_free (r);
}

/* Prefill one chunk of the most urgent request that is ready. */
static void
engine_step (struct model *m, const struct later *l)
{
  struct engine *engine = &m->engines[l->engine];
  struct list *queue
      = &engine->queues[list_empty (&engine->queues[0]) ? 1 : 0];
  struct request *r;
  int64_t chunk;

  if (l->request != NULL)
    finish (m, l->request);
  engine->busy = !list_empty (queue);
  if (!engine->busy)
    return;
  r = LIST_ENTRY (queue->next, struct request, node);
  chunk = r->left < CHUNK_TOKENS ? r->left : CHUNK_TOKENS;
  r->left -= chunk;
  engine->queued_tokens -= chunk;
  if (r->left == 0)
    list_remove (&r->node);
  push (m, chunk * NS_PER_S / RATE,
        (struct later){ .run = engine_step,
                        .engine = l->engine,
                        .request = r->left == 0 ? r : NULL });
}

static void
ready (struct model *m, const struct later *l)
{
  struct engine *engine = &m->engines[l->engine];

  list_append (&engine->queues[l->request->kind != 0], &l->request->node);
  if (!engine->busy)
    engine_step (m, &(struct later){ .engine = l->engine });
}

/* What the engine really has decides what it imports and computes. */
static void
dispatch (struct model *m, const struct later *l)
{
  struct request *r = l->request;
  const struct place_result *placed = &r->placed;
  struct engine *engine = &m->engines[placed->engine_index];
  const struct plan_import *imports[PIECES_MAX] = { NULL };
  int64_t ready_ns = 0;
  unsigned have = 0;

  while (have < r->pieces
         && g_hash_table_contains (engine->cache, &r->ids[have]))
    have++;
  if (have < placed->plan.reused_blocks)
    cachehint_deny (&m->index.hints, r->scope, &r->ids[have],
                    placed->plan.reused_blocks - have, placed->engine_id);
  place_record_reuse (&m->place, placed->plan.reused_blocks, have);
  for (unsigned i = 0; i < placed->import_count; i++)
    imports[placed->imports[i].block] = &placed->imports[i];
  for (; have < r->pieces && imports[have] != NULL; have++)
    {
      int64_t over_ns = transfer (m, imports[have]->copy.store);

      ready_ns = MAX (ready_ns, over_ns);
    }
  cachehint_expect (&m->index.hints, r->scope, r->ids, r->pieces,
                    placed->engine_id);
  r->left -= (int64_t)have * PIECE_TOKENS;
  m->computed += measured (m) ? (double)r->left : 0;
  engine->queued_tokens += r->left;
  push (m, ready_ns,
        (struct later){
            .run = ready, .engine = placed->engine_index, .request = r });
}

/* A prompt's first piece is its organisation's; the rest is its own. */
static void
request_fill (struct model *m, struct request *r)
{
  uint64_t draw = rng_below (&m->rng, 100), prompt;

  while (draw >= m->fleet->share[r->kind])
    draw -= m->fleet->share[r->kind++];
  prompt = rng_below (&m->rng, PROMPTS / (r->kind == 1 ? 10 : 1));
  if (r->kind == KINDS - 1)
    prompt = ++m->once;
  /* A few large organisations. */
  r->scope = &m->scopes[prompt % 7 * (prompt % 11) * ORGANISATIONS / 61];
  r->pieces = r->kind == 0 ? 1 : 6 + (unsigned)(prompt * 7 % 18);
  r->left
      = r->pieces * INT64_C (2000) + 100 + (int64_t)rng_below (&m->rng, 1000);
  for (unsigned i = 0; i < r->pieces; i++)
    {
      uint64_t tail = i == 0 ? 0 : (prompt << 8 | i) << 2 | r->kind;

      tail = tail * ORGANISATIONS + (uint64_t)(r->scope - m->scopes);
      tail *= UINT64_C (0x9e3779b97f4a7c15);
      memcpy (&r->ids[i].bytes[BLOCK_ID_SIZE - sizeof tail], &tail,
              sizeof tail);
    }
}

static void
arrive (struct model *m, const struct later *l)
{
  struct request *r = g_new0 (struct request, 1);
  struct blockindex_query query = { NULL, r->ids, 0, 0 };
  struct blockindex_match match;
  struct place_request wanted = { .group_key = &m->need,
                                  .match = &match,
                                  .block_tokens = PIECE_TOKENS };

  push (m,
        (int64_t)(-log (1 - rng_uniform (&m->rng)) * (double)m->interval_ns),
        (struct later){ .run = arrive });
  request_fill (m, r);
  r->arrived_ns = m->clock.now_ns;
  m->tokens += measured (m) ? (double)r->left : 0;
  query.scope = r->scope;
  query.count = r->pieces;
  query.kind = r->kind;
  blockindex_lookup (&m->index, &query, &match);
  export_count_request (&m->export, r->scope->organisation, r->kind,
                        match.idle_ns);
  wanted.prompt_tokens = r->left;
  wanted.urgent = r->kind == 0;
  if (place_choose (&m->place, &wanted, &r->placed) != STATUS_OK)
    abort ();
  place_commit (&m->place, &m->load, &r->placed, &r->sent);
  push (m, r->placed.hold_ns, (struct later){ .run = dispatch, .request = r });
}

static void
report_give (struct model *m, const struct later *l)
{
  static const struct load_version version = { "m", "1", "" };
  struct load_report report = { .engine_id = l->engine,
                                .sequence = ++m->reports,
                                .queued_tokens = (int64_t)l->number,
                                .prefill_tokens_per_s = RATE,
                                .service = "s",
                                .versions = &version,
                                .version_count = 1 };

  load_apply_report (&m->load, &report, m->clock.now_ns - REPORT_LAG_NS);
}

static void
report_take (struct model *m, const struct later *l)
{
  uint64_t tokens = (uint64_t)m->engines[l->engine].queued_tokens;

  push (m, REPORT_LAG_NS,
        (struct later){
            .run = report_give, .engine = l->engine, .number = tokens });
  push (m, REPORT_EVERY_NS, *l);
}

static void
modules_init (struct model *m, const char *policy)
{
  static const struct blockindex_ops ops
      = { { ignore_engine }, { free_slot } };
  const struct clock *clock = &m->clock.clock;
  struct blockindex_settings index
      = { 200000, cachehint_settings_default, blockcopy_settings_default };
  struct place_settings place = place_settings_default;
  struct export_settings export = export_settings_default;

  index.copy.read_lease_ns = 3 * NS_PER_S;
  index.copy.free_delay_ns = 4 * NS_PER_S;
  place.plan.token_price_s = m->fleet->token_price_s;
  place.plan.byte_price_s = m->fleet->byte_price_s;
  export.saved_s_per_token = 1.0 / RATE + m->fleet->token_price_s;
  export.price_s_per_byte = m->fleet->byte_price_s;
  export.horizon_ns[BLOCKCOPY_MEMORY] = 30 * NS_PER_S;
  export.horizon_ns[BLOCKCOPY_DISK] = 300 * NS_PER_S;
  blockindex_init (&m->index, clock, &index, &ops, m);
  load_init (&m->load, clock, &load_settings_default);
  place_init (&m->place, &m->load, clock, &m->rng, &place,
              place_policy_find (policy));
  export_init (&m->export, clock, &export);
  exportqueue_init (&m->queue, clock, QUEUE_MAX, QUEUE_LIFE_NS);
  load_group_key_init (&m->need, "s", "m", "1", NULL);
}

static void
engine_init (struct model *m, uint32_t e)
{
  struct engine *engine = &m->engines[e];

  engine->cache
      = g_hash_table_new_full (block_id_hash, block_id_equal, NULL, g_free);
  list_init (&engine->lru);
  list_init (&engine->queues[0]);
  list_init (&engine->queues[1]);
  report_give (m, &(struct later){ .engine = e });
  push (m, e, (struct later){ .run = report_take, .engine = e });
}

void
model_init (struct model *m, const struct fleet_model *fleet,
            const char *policy, bool keep_all, double load, uint64_t seed)
{
  double mean = 0; /* tokens of a request */

  m->fleet = fleet;
  m->keep_all = keep_all;
  clock_fake_init (&m->clock, 1);
  rng_init (&m->rng, seed);
  modules_init (m, policy);
  m->agenda = g_sequence_new (g_free);
  for (int o = 0; o < ORGANISATIONS; o++)
    block_scope_init (&m->scopes[o], (char[]){ (char)('a' + o), 0 }, "m", "1",
                      NULL);
  for (uint64_t s = 0; s < STORES; s++)
    {
      blockcopy_listing_begin (&m->index.copies, s);
      blockcopy_listing_end (&m->index.copies, s);
      place_set_link_budget (&m->place, s, LINK_RATE, PIECE_BYTES);
    }
  for (uint32_t e = 0; e < m->fleet->engines; e++)
    engine_init (m, e);
  for (int q = 0; q < 2; q++)
    m->times[q] = g_array_new (FALSE, FALSE, sizeof (double));
  for (int k = 0; k < KINDS; k++)
    mean += m->fleet->share[k] / 100.0
            * ((k == 0 ? 1 : 14.5) * PIECE_TOKENS + 600);
  m->interval_ns
      = (int64_t)(mean / (m->fleet->engines * RATE * load) * NS_PER_S);
  push (m, NS_PER_S, (struct later){ .run = arrive });
  push (m, NS_PER_S, (struct later){ .run = export_tick });
}

void
model_run (struct model *m)
{
  while (m->clock.now_ns < RUN_S * NS_PER_S)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (m->agenda);
      struct later later = *(struct later *)g_sequence_get (first);

      g_sequence_remove (first);
      clock_fake_advance (&m->clock, later.at_ns - m->clock.now_ns);
      blockindex_tick (&m->index);
      later.run (m, &later);
    }
}
