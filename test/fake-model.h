#ifndef FAKE_MODEL_H
#define FAKE_MODEL_H

#include "blockindex.h"
#include "export.h"
#include "exportqueue.h"
#include "place.h"

/** @file
 * A queueing model of one fleet around the real decision modules: engines
 * prefill in chunks, urgent first, and cache blocks least recently used; cache
 * events and load reports come late; store links serve in order of arrival.
 * One gateway, one shard, no failures, no admission. Load 1.0 is what the
 * engines could prefill without any reuse.
 */

enum
{
  STORES = 2,
  TARGETS = STORES * BLOCKCOPY_TIER_COUNT,
  CHUNK_TOKENS = 2000,
  PIECE_TOKENS = 2000,
  ENGINES_MAX = 20,
  PIECES_MAX = 24,
  ORGANISATIONS = 10,
  PROMPTS = 400, /* that return late; a tenth of it soon */
  KINDS = 4,     /* urgent, soon, late, once */
  RUN_S = 600,
  WARM_S = 100,    /* not measured */
  RATE = 20000,    /* prefill tokens per second and engine */
  OLDEST = 8,      /* candidates to evict */
  QUEUE_MAX = 2000 /* blocks that wait for export */
};

#define LINK_RATE INT64_C (1000000000) /* bytes per second and store */
#define PIECE_BYTES INT64_C (20000000)
#define EXPORT_EVERY_NS (10 * NS_PER_MS)
#define QUEUE_LIFE_NS (30 * NS_PER_S)
#define EVENT_LAG_NS (NS_PER_S / 2)
#define REPORT_EVERY_NS (NS_PER_S / 5)
#define REPORT_LAG_NS (NS_PER_S / 10)

struct fleet_model
{
  const char *name;
  uint32_t engines;
  unsigned cache_blocks;                /* per engine */
  unsigned slots[BLOCKCOPY_TIER_COUNT]; /* per store */
  unsigned share[KINDS];                /* of requests, in hundredths */
  double token_price_s;
  double byte_price_s;
};

struct request
{
  struct load_request sent;
  struct list node;
  struct place_result placed;
  int64_t arrived_ns;
  int64_t left; /* tokens still to compute */
  unsigned pieces;
  uint32_t kind;
  struct block_scope *scope;
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

struct model;

/* Something that happens later; each action reads the fields it needs. */
struct later
{
  int64_t at_ns;
  void (*run) (struct model *m, const struct later *later);
  struct request *request;
  uint32_t engine;
  uint64_t number; /* sequence or tokens */
  bool stored;
  struct blockcopy_ref ref;
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
  struct export_policy export;
  struct exportqueue queue;
  struct block_scope scopes[ORGANISATIONS];
  struct load_group_key need;
  struct engine engines[ENGINES_MAX];
  GSequence *agenda;
  uint64_t slot, reports, once;
  int64_t link_free_ns[STORES];
  int64_t used[STORES][BLOCKCOPY_TIER_COUNT]; /* slots */
  int64_t interval_ns;                        /* mean, between arrivals */
  GArray *times[2]; /* s to first token: urgent, other */
  double tokens, computed, link_bytes;
};

/** Start the model of FLEET at LOAD; the other fields of M are zero. */
void model_init (struct model *m, const struct fleet_model *fleet,
                 const char *policy, bool keep_all, double load,
                 uint64_t seed);

/** Run to the end. Memory is left to the end of the program. */
void model_run (struct model *m);

#endif
