#ifndef PLAN_H
#define PLAN_H

#include "blockindex.h"
#include "linkbudget.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * Plans how one engine would serve one prompt: it reuses the first blocks from
 * its cache, imports the following ones from stores and computes the rest. The
 * cost of a plan is the time to first token in seconds, plus a price for each
 * computed token and each byte sent over a store's network link.
 */

enum
{
  PLAN_STORES_MAX = 8,   /**< Maximum number of stores in one decision. */
  PLAN_IMPORTS_MAX = 32, /**< Maximum number of imports in one request. */
  PLAN_NO_STORE = 0xff   /**< Value in plan_input.copy_stores of a copy that
                            can't be imported. */
};

struct plan_settings
{
  double token_price_s; /**< Cost of one computed token, in seconds. */
  double byte_price_s;  /**< Cost of one transferred byte, in seconds. */
  unsigned import_max;  /**< Maximum number of imported blocks; at most
                             PLAN_IMPORTS_MAX. */
};

struct plan_store
{
  uint64_t store;
  struct linkbudget_estimate estimate;
};

/** Inputs that are the same for all engines in one decision. */
struct plan_input
{
  const struct plan_settings *settings;
  const struct blockindex_match *match;
  int64_t prompt_tokens; /**< Length of the prompt in tokens. */
  int64_t block_tokens;  /**< Length of one block in tokens. */
  unsigned store_count;
  struct plan_store stores[PLAN_STORES_MAX];
  /** For each copy in MATCH, the index of its store in STORES, or
   * PLAN_NO_STORE. */
  uint8_t copy_stores[BLOCKINDEX_BLOCKS_MAX][BLOCKINDEX_COPIES_MAX];
};

/** Inputs that differ between engines. */
struct plan_engine
{
  double wait_s;               /**< Queueing time before prefill. */
  double prefill_tokens_per_s; /**< Prefill speed in tokens per second. */
  uint32_t cached_blocks;      /**< Number of leading blocks that hints say are
                                  cached. */
  double confidence; /**< Confidence in the hints about cached blocks, in [0,
                        1]. */
};

struct plan
{
  uint32_t reused_blocks;   /**< Number of leading blocks to reuse. */
  uint32_t imported_blocks; /**< Number of blocks to import after the reused
                               blocks. */
  int64_t recompute_tokens; /**< Number of tokens that are neither reused nor
                               imported. */
  int64_t import_bytes;
  double wait_s;
  double import_s;
  double prefill_s;
  double cost_s; /**< Sum of wait_s, import_s, prefill_s and the prices of
                    tokens and bytes. */
};

struct plan_import
{
  uint32_t block;
  struct blockindex_copy copy;
  bool fallback; /**< Whether to import the block only if the engine no longer
                    caches it. */
};

/** Find the PLAN with the least cost: reuse all cached blocks or none, then
 * import any number of the following blocks. */
void plan_minimize_cost (const struct plan_input *input,
                         const struct plan_engine *engine, struct plan *plan);

/** Set PLAN to reuse all cached blocks and import as many of the following
 * ones as possible, whatever the cost. */
void plan_maximize_reuse (const struct plan_input *input,
                          const struct plan_engine *engine, struct plan *plan);

/** Write the imports of PLAN to IMPORTS, each from the store that would
 * deliver the block first. Then add fallbacks for the reused blocks, from the
 * last one to the first, up to import_max and while importing them is faster
 * than computing them at BLOCK_S seconds each, so that a wrong hint costs an
 * import instead of a prefill.
 * @return the number of imports, at most import_max. */
unsigned plan_list_imports (const struct plan_input *input,
                            const struct plan *plan, double block_s,
                            struct plan_import imports[PLAN_IMPORTS_MAX]);

#endif
