#include "blockindex.h"
#include "export.h"
#include "place.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A queueing model of one fleet around the real decision modules: engines
 * prefill in chunks, urgent first, and cache blocks least recently used;
 * cache events and load reports come late; stores sit behind links that serve
 * in order of arrival. Not a cluster: one gateway, one shard, no failures, no
 * admission. Load 1.0 is what the engines could prefill with no reuse. */

enum
{
  STORES = 2,
  CHUNK_TOKENS = 2000,
  PIECE_TOKENS = 2000,
  ENGINES_MAX = 20,
  PIECES_MAX = 24,
  ORGANISATIONS = 10,
  PROMPTS = 400, /* that return, over all organisations */
  KINDS = 4,     /* urgent, soon, late, once */
  RUN_S = 600,
  WARM_S = 100,          /* not measured */
  RATE = 20000,          /* prefill tokens per second and engine */
  LINK_RATE = 1000000000 /* bytes per second and store */
};

#define PIECE_BYTES INT64_C (20000000)
#define EVENT_LAG_NS (NS_PER_S / 2)
#define REPORT_EVERY_NS (NS_PER_S / 5)
#define REPORT_LAG_NS (NS_PER_S / 10)

struct fleet_model
{
  const char *name;
  uint32_t engines;
  unsigned cache_blocks; /* per engine */
  unsigned memory_slots; /* per store */
  unsigned disk_slots;
  unsigned share[KINDS]; /* of requests, in hundredths */
  double token_price_s;
  double byte_price_s;
};

static const struct fleet_model fleets[]
    = { { "trapani", 20, 150, 800, 3000, { 40, 25, 25, 10 }, 1e-5, 1e-10 },
        { "pawtrace", 10, 100, 400, 1500, { 15, 15, 50, 20 }, 1e-4, 1e-9 } };

struct request
{
  struct load_request sent;
  struct list node;
  int64_t arrived_ns;
  int64_t left; /* tokens still to compute */
  unsigned pieces;
  uint32_t engine;
  uint32_t kind;
  uint32_t organisation;
  struct block_id ids[PIECES_MAX];
};

struct cached
{
  struct block_id id;
  struct list node;
};

struct engine
{
  GHashTable *cache;
  struct list lru;
  struct list queues[2]; /* urgent, other */
  uint64_t sequence;     /* of cache events */
  int64_t queued_tokens;
  bool busy;
};

enum action
{
  ARRIVE,
  READY,
  STEP,
  REPORT_TAKE,
  REPORT_GIVE,
  CACHE_EVENT,
  SEAL
};

struct event_item
{
  int64_t at_ns;
  uint64_t order;
  enum action action;
  uint32_t engine;
  uint64_t number; /* sequence, queue or slot */
  bool stored;
  struct block_id id;
  struct request *request;
  uint64_t store;
  uint32_t organisation;
};

struct model
{
  const struct fleet_model *fleet;
  bool keep_all;
  struct clock_fake clock;
  struct rng rng;
  struct blockindex index;
  struct load load;
  struct place place;
  struct export export;
  struct block_scope scopes[ORGANISATIONS];
  struct load_group_key need;
  struct engine engines[ENGINES_MAX];
  GArray *heap;
  uint64_t order, slot, prompt_once;
  int64_t link_free_ns[STORES];
  unsigned used[STORES][COPY_TIERS];
  GHashTable *slot_tiers;
  int64_t interval_ns; /* mean, between arrivals */
  GArray *times[2];    /* seconds to first token: urgent, other */
  double tokens, computed, link_bytes;
};

static bool
item_before (const struct event_item *a, const struct event_item *b)
{
  return a->at_ns != b->at_ns ? a->at_ns < b->at_ns : a->order < b->order;
}

static void
push (struct model *m, struct event_item item, int64_t after_ns)
{
  guint at = m->heap->len;
  struct event_item *heap;

  item.at_ns = m->clock.now + after_ns;
  item.order = m->order++;
  g_array_append_val (m->heap, item);
  heap = (struct event_item *)(void *)m->heap->data;
  for (; at > 0 && item_before (&item, &heap[(at - 1) / 2]); at = (at - 1) / 2)
    heap[at] = heap[(at - 1) / 2];
  heap[at] = item;
}

static struct event_item
pop (struct model *m)
{
  struct event_item *heap = (struct event_item *)(void *)m->heap->data;
  struct event_item top = heap[0];
  struct event_item last = heap[m->heap->len - 1];
  guint count = m->heap->len - 1, at = 0, child;

  g_array_set_size (m->heap, count);
  while ((child = 2 * at + 1) < count)
    {
      if (child + 1 < count && item_before (&heap[child + 1], &heap[child]))
        child++;
      if (!item_before (&heap[child], &last))
        break;
      heap[at] = heap[child];
      at = child;
    }
  if (count > 0)
    heap[at] = last;
  return top;
}

static guint
id_hash (gconstpointer id)
{
  return block_id_hash (id);
}

static gboolean
id_equal (gconstpointer a, gconstpointer b)
{
  return block_id_equal (a, b);
}

static void
ignore_engine (void *data, uint64_t engine)
{
}

static void
free_slot (void *data, uint64_t store, uint64_t slot, uint64_t generation)
{
  struct model *m = data;

  m->used[store][GPOINTER_TO_UINT (
      g_hash_table_lookup (m->slot_tiers, GSIZE_TO_POINTER (slot)))]--;
}

static unsigned
tier_slots (const struct model *m, enum copy_tier tier)
{
  return tier == COPY_MEMORY ? m->fleet->memory_slots : m->fleet->disk_slots;
}

/* When a transfer that is handed to the physical link now is over. */
static int64_t
transfer (struct model *m, uint64_t store)
{
  if (m->link_free_ns[store] < m->clock.now)
    m->link_free_ns[store] = m->clock.now;
  m->link_free_ns[store] += PIECE_BYTES * NS_PER_S / LINK_RATE;
  if (m->clock.now > WARM_S * NS_PER_S)
    m->link_bytes += PIECE_BYTES;
  return m->link_free_ns[store] - m->clock.now;
}

static void
cache_event (struct model *m, uint32_t e, const struct block_id *id,
             bool stored)
{
  push (m,
        (struct event_item){ .action = CACHE_EVENT,
                             .engine = e,
                             .number = ++m->engines[e].sequence,
                             .stored = stored,
                             .id = *id },
        EVENT_LAG_NS);
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
      cache_event (m, e, id, true);
    }
  list_remove (&cached->node);
  list_append (&engine->lru, &cached->node);
  if (g_hash_table_size (engine->cache) <= m->fleet->cache_blocks)
    return;
  cached = LIST_ENTRY (list_pop (&engine->lru), struct cached, node);
  cache_event (m, e, &cached->id, false);
  g_hash_table_remove (engine->cache, &cached->id);
}

/* Keep what the policy says; "all" keeps as long as the link's budget allows
 * and displaces the least recently used. */
static void
export_piece (struct model *m, const struct request *r, unsigned piece)
{
  struct copy_ref ref = { &m->scopes[r->organisation], r->ids[piece], 0 };
  bool held = copy_held (&m->index.copies, ref.scope, &ref.block);
  struct export_block block = { ref.scope->organisation,
                                r->kind,
                                (uint16_t)piece,
                                PIECE_TOKENS,
                                PIECE_BYTES,
                                0 };
  const struct copy *oldest[STORES * COPY_TIERS][8];
  struct export_target targets[STORES * COPY_TIERS];
  struct export_decision decision = { .reason = EXPORT_LINK_BUSY };
  enum copy_tier tier;

  for (unsigned i = 0; i < STORES * COPY_TIERS; i++)
    {
      uint64_t store = i / COPY_TIERS;

      tier = i % COPY_TIERS;
      targets[i] = (struct export_target){
        store, tier, m->used[store][tier] < tier_slots (m, tier),
        /* A twentieth stays free for what waits to be freed. */
        ((int64_t)(tier_slots (m, tier) * 19 / 20) - m->used[store][tier])
            * PIECE_BYTES,
        place_link (&m->place, store), oldest[i], 0
      };
      targets[i].oldest_count
          = copy_oldest (&m->index.copies, store, tier, oldest[i], 8);
    }
  if (!m->keep_all)
    export_decide (&m->export, &block, held, targets, STORES * COPY_TIERS,
                   &decision);
  else if (!held)
    {
      decision.target = rng_below (&m->rng, STORES) * COPY_TIERS;
      if (targets[decision.target].free_bytes <= 0)
        decision.target++;
      if (targets[decision.target].free_bytes <= 0
          && targets[decision.target].oldest_count > 0)
        decision.victim = oldest[decision.target][0];
      if (targets[decision.target].open
          && link_try (targets[decision.target].link, LINK_EXPORT,
                       PIECE_BYTES))
        decision.reason = EXPORT_KEPT;
    }
  if (decision.reason != EXPORT_KEPT)
    return;
  if (decision.victim != NULL)
    {
      struct copy_ref old
          = { &decision.victim->entry->scope->scope,
              decision.victim->entry->id, decision.victim->store->id };

      copy_condemn (&m->index.copies, &old, 0);
    }
  ref.store = targets[decision.target].store;
  tier = targets[decision.target].tier;
  if (copy_reserve (&m->index.copies, &ref, tier, PIECE_BYTES) != STATUS_OK)
    return;
  m->used[ref.store][tier]++;
  g_hash_table_insert (m->slot_tiers, GSIZE_TO_POINTER (++m->slot),
                       GUINT_TO_POINTER (tier));
  copy_reserved (&m->index.copies, &ref, m->slot, 1);
  push (m,
        (struct event_item){ .action = SEAL,
                             .id = ref.block,
                             .store = ref.store,
                             .organisation = r->organisation },
        transfer (m, ref.store));
}

static void
finish (struct model *m, struct request *r)
{
  double seconds = (double)(m->clock.now - r->arrived_ns) / NS_PER_S;

  load_started (&r->sent);
  if (r->arrived_ns > WARM_S * NS_PER_S)
    g_array_append_val (m->times[r->kind != 0], seconds);
  for (unsigned i = 0; i < r->pieces; i++)
    cache_add (m, r->engine, &r->ids[i]);
  for (unsigned i = 0; i < r->pieces; i++)
    export_piece (m, r, i);
  g_free (r);
}

/* Prefill one chunk of the most urgent request that is ready. */
static void
engine_step (struct model *m, uint32_t e)
{
  struct engine *engine = &m->engines[e];
  unsigned queue = list_empty (&engine->queues[0]);
  struct request *r;
  int64_t chunk;

  engine->busy = !list_empty (&engine->queues[queue]);
  if (!engine->busy)
    return;
  r = LIST_ENTRY (engine->queues[queue].next, struct request, node);
  chunk = r->left < CHUNK_TOKENS ? r->left : CHUNK_TOKENS;
  r->left -= chunk;
  engine->queued_tokens -= chunk;
  push (m,
        (struct event_item){
            .action = STEP, .engine = e, .request = r->left > 0 ? NULL : r },
        chunk * NS_PER_S / RATE);
  if (r->left == 0)
    list_remove (&r->node);
}

/* What the engine really has decides what it computes. */
static void
dispatch (struct model *m, struct request *r,
          const struct place_result *result)
{
  struct engine *engine = &m->engines[r->engine];
  const struct block_scope *scope = &m->scopes[r->organisation];
  const struct plan_import *imports[PIECES_MAX] = { NULL };
  int64_t ready_ns = 0;
  unsigned have = 0;

  while (have < r->pieces
         && g_hash_table_lookup (engine->cache, &r->ids[have]) != NULL)
    have++;
  if (have < result->plan.reuse)
    hint_deny (&m->index.hints, scope, &r->ids[have],
               result->plan.reuse - have, r->engine);
  place_observe (&m->place, result->plan.reuse, have);
  for (unsigned i = 0; i < result->import_count; i++)
    imports[result->imports[i].piece] = &result->imports[i];
  for (; have < r->pieces && imports[have] != NULL; have++)
    {
      int64_t over_ns = transfer (m, imports[have]->copy.store);

      ready_ns = over_ns > ready_ns ? over_ns : ready_ns;
    }
  hint_expect (&m->index.hints, scope, r->ids, r->pieces, r->engine);
  r->left -= (int64_t)have * PIECE_TOKENS;
  if (m->clock.now > WARM_S * NS_PER_S)
    m->computed += (double)r->left;
  engine->queued_tokens += r->left;
  push (m,
        (struct event_item){
            .action = READY, .engine = r->engine, .request = r },
        ready_ns);
}

/* A prompt's first piece is its organisation's; the rest is its own. */
static void
request_fill (struct model *m, struct request *r)
{
  uint64_t draw = rng_below (&m->rng, 100), prompt;

  while (draw >= m->fleet->share[r->kind])
    draw -= m->fleet->share[r->kind++];
  prompt = rng_below (&m->rng, PROMPTS / (r->kind == 1 ? 10 : 1));
  if (r->kind == 3)
    prompt = ++m->prompt_once;
  /* A few large organisations. */
  r->organisation
      = (uint32_t)(prompt % 7 * (prompt % 11) * ORGANISATIONS / 61);
  r->pieces = r->kind == 0 ? 1 : 6 + (unsigned)(prompt * 7 % 18);
  r->left
      = r->pieces * INT64_C (2000) + 100 + (int64_t)rng_below (&m->rng, 1000);
  for (unsigned i = 0; i < r->pieces; i++)
    {
      uint64_t tail = i == 0 ? 0 : prompt << 8 | i;

      tail = (tail << 2 | (i == 0 ? 0 : r->kind)) * 16 + r->organisation;
      tail *= UINT64_C (0x9e3779b97f4a7c15);
      memcpy (&r->ids[i].bytes[8], &tail, sizeof tail);
    }
}

static void
arrive (struct model *m)
{
  struct request *r = g_new0 (struct request, 1);
  struct blockindex_query query;
  struct blockindex_match match;
  struct place_request wanted;
  struct place_result result;

  push (m, (struct event_item){ .action = ARRIVE },
        (int64_t)(-log (1 - rng_unit (&m->rng)) * (double)m->interval_ns));
  request_fill (m, r);
  r->arrived_ns = m->clock.now;
  if (m->clock.now > WARM_S * NS_PER_S)
    m->tokens += (double)r->left;
  query = (struct blockindex_query){ &m->scopes[r->organisation], r->ids,
                                     r->pieces, r->kind };
  blockindex_lookup (&m->index, &query, &match);
  export_observe (&m->export, query.scope->organisation, r->kind,
                  match.idle_ns);
  wanted = (struct place_request){ .need = &m->need,
                                   .match = &match,
                                   .tokens = r->left,
                                   .piece_tokens = PIECE_TOKENS,
                                   .urgent = r->kind == 0 };
  if (place_choose (&m->place, &wanted, &result) != STATUS_OK)
    abort ();
  place_commit (&m->place, &m->load, &result, &r->sent);
  r->engine = (uint32_t)result.engine;
  dispatch (m, r, &result);
}

static void
report_give (struct model *m, const struct event_item *item)
{
  static const struct load_version version = { "m", "1", "" };
  struct load_report report = { .engine = item->engine,
                                .sequence = m->order,
                                .queued_tokens = (int64_t)item->number,
                                .rate = RATE,
                                .service = "s",
                                .versions = &version,
                                .version_count = 1 };

  load_take_report (&m->load, &report, m->clock.now - REPORT_LAG_NS);
}

static void
report_take (struct model *m, uint32_t e)
{
  push (m,
        (struct event_item){ .action = REPORT_GIVE,
                             .engine = e,
                             .number = (uint64_t)m->engines[e].queued_tokens },
        REPORT_LAG_NS);
  push (m, (struct event_item){ .action = REPORT_TAKE, .engine = e },
        REPORT_EVERY_NS);
}

static void
seal (struct model *m, const struct event_item *item)
{
  struct copy_ref ref
      = { &m->scopes[item->organisation], item->id, item->store };

  copy_written (&m->index.copies, &ref, 1, PIECE_BYTES, 1);
  copy_sealed (&m->index.copies, &ref, 1, PIECE_BYTES, 1);
}

static void
ready (struct model *m, const struct event_item *item)
{
  struct engine *engine = &m->engines[item->engine];

  list_append (&engine->queues[item->request->kind != 0],
               &item->request->node);
  if (!engine->busy)
    engine_step (m, item->engine);
}

static void
run_item (struct model *m, const struct event_item *item)
{
  switch (item->action)
    {
    case ARRIVE:
      arrive (m);
      break;
    case READY:
      ready (m, item);
      break;
    case STEP:
      if (item->request != NULL)
        finish (m, item->request);
      engine_step (m, item->engine);
      break;
    case REPORT_TAKE:
      report_take (m, item->engine);
      break;
    case REPORT_GIVE:
      report_give (m, item);
      break;
    case CACHE_EVENT:
      hint_event (&m->index.hints, item->engine, item->number, item->stored,
                  &item->id);
      break;
    case SEAL:
      seal (m, item);
      break;
    }
}

static void
model_init (struct model *m, const struct fleet_model *fleet, double load,
            const char *policy, bool keep_all, uint64_t seed)
{
  static const struct blockindex_ops ops
      = { { ignore_engine }, { free_slot } };
  struct blockindex_settings index
      = { 200000, hint_settings_default, copy_settings_default };
  struct place_settings place = place_settings_default;
  struct export_settings export = export_settings_default;
  double mean = 0;

  memset (m, 0, sizeof *m);
  m->fleet = fleet;
  m->keep_all = keep_all;
  index.copy.read_lease_ns = 3 * NS_PER_S;
  index.copy.free_wait_ns = 4 * NS_PER_S;
  place.plan.token_price_s = fleet->token_price_s;
  place.plan.byte_price_s = fleet->byte_price_s;
  export.token_s = 1.0 / RATE + fleet->token_price_s;
  export.byte_price_s = fleet->byte_price_s;
  export.horizon_ns[COPY_MEMORY] = 30 * NS_PER_S;
  export.horizon_ns[COPY_DISK] = 300 * NS_PER_S;
  clock_fake_init (&m->clock, 1);
  rng_init (&m->rng, seed);
  blockindex_init (&m->index, &m->clock.clock, &index, &ops, m);
  load_init (&m->load, &m->clock.clock, &load_settings_default);
  place_init (&m->place, &m->load, &m->clock.clock, &m->rng, &place,
              place_policy_find (policy));
  export_init (&m->export, &m->clock.clock, &export);
  load_group_key_init (&m->need, "s", "m", "1", NULL);
  for (int o = 0; o < ORGANISATIONS; o++)
    block_scope_init (&m->scopes[o], (char[]){ (char)('a' + o), 0 }, "m", "1",
                      NULL);
  m->heap = g_array_new (FALSE, FALSE, sizeof (struct event_item));
  m->slot_tiers = g_hash_table_new (NULL, NULL);
  for (uint64_t s = 0; s < STORES; s++)
    {
      copy_listing_begin (&m->index.copies, s);
      copy_listing_end (&m->index.copies, s);
      place_set_link (&m->place, s, LINK_RATE, LINK_RATE / 10);
    }
  for (uint32_t e = 0; e < fleet->engines; e++)
    {
      m->engines[e].cache
          = g_hash_table_new_full (id_hash, id_equal, NULL, g_free);
      list_init (&m->engines[e].lru);
      list_init (&m->engines[e].queues[0]);
      list_init (&m->engines[e].queues[1]);
      report_give (m, &(struct event_item){ .engine = e });
      push (m, (struct event_item){ .action = REPORT_TAKE, .engine = e }, e);
    }
  for (int q = 0; q < 2; q++)
    m->times[q] = g_array_new (FALSE, FALSE, sizeof (double));
  for (int k = 0; k < KINDS; k++)
    mean += fleet->share[k] / 100.0
            * ((k == 0 ? 1 : 14.5) * PIECE_TOKENS + 600);
  m->interval_ns = (int64_t)(mean / (fleet->engines * RATE * load) * NS_PER_S);
  push (m, (struct event_item){ .action = ARRIVE }, NS_PER_S);
}

static int
double_order (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static void
print_times (GArray *times)
{
  static const double shares[] = { 0.5, 0.95, 0.99 };

  qsort (times->data, times->len, sizeof (double), double_order);
  for (int i = 0; i < 3; i++)
    printf (" %8.3f",
            g_array_index (times, double, (guint)(times->len * shares[i])));
}

static void
run (const struct fleet_model *fleet, double load, const char *policy,
     bool keep_all, uint64_t seed)
{
  static struct model m;

  model_init (&m, fleet, load, policy, keep_all, seed);
  while (m.clock.now < RUN_S * NS_PER_S)
    {
      struct event_item item = pop (&m);

      clock_fake_advance (&m.clock, item.at_ns - m.clock.now);
      blockindex_tick (&m.index);
      run_item (&m, &item);
    }
  printf ("%-8s %4.1f %-15s %-5s", fleet->name, load, policy,
          keep_all ? "all" : "value");
  print_times (m.times[0]);
  print_times (m.times[1]);
  printf (" %6u %6.1f %8.1f\n", m.times[0]->len + m.times[1]->len,
          100 * m.computed / m.tokens, m.link_bytes / 1e9);
  fflush (stdout);
  /* Memory is left to the end of the program. */
}

int
main (int argc, char **argv)
{
  static const char *const policies[]
      = { "cost", "round_robin", "least_loaded", "prefix_affinity" };
  static const double loads[] = { 0.5, 1, 2 };
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;

  printf ("seed %llu; seconds to first token, urgent then others; share"
          " recomputed in 100; link GB\n"
          "fleet    load policy          keep       p50      p95      p99"
          "      p50      p95      p99   done  recom     link\n",
          (unsigned long long)seed);
  for (int f = 0; f < 2; f++)
    for (int l = 0; l < 3; l++)
      for (int p = 0; p < 4; p++)
        for (int keep_all = 0; keep_all < 2; keep_all++)
          run (&fleets[f], loads[l], policies[p], keep_all, seed);
  return 0;
}
