#ifndef PLAN_H
#define PLAN_H

#include "blockindex.h"
#include "link.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * How one engine would serve one prompt: the first pieces reused in place, the
 * following ones imported from stores, the rest computed; and what that costs
 * in seconds to first token plus the prices of computing and of the links.
 */

enum
{
  PLAN_LINKS_MAX = 8,    /**< Stores considered in one decision. */
  PLAN_IMPORTS_MAX = 32, /**< Imports named to one engine. */
  PLAN_NO_LINK = 0xff
};

struct plan_settings
{
  double token_price_s; /**< seconds that a computed token counts for */
  double byte_price_s;  /**< seconds that a link byte counts for */
  unsigned import_max;  /**< pieces, at most PLAN_IMPORTS_MAX */
};

struct plan_link
{
  uint64_t store;
  struct link_quote quote;
};

/** What is the same for all engines in one decision. */
struct plan_input
{
  const struct plan_settings *settings;
  const struct blockindex_match *match;
  int64_t tokens;       /**< of the whole prompt */
  int64_t piece_tokens; /**< of one piece */
  unsigned link_count;
  struct plan_link links[PLAN_LINKS_MAX];
  /** For each copy in MATCH, its place in LINKS or PLAN_NO_LINK. */
  uint8_t copy_links[BLOCKINDEX_PIECES_MAX][BLOCKINDEX_COPIES_MAX];
};

/** What differs from engine to engine. */
struct plan_engine
{
  double wait_s;     /**< before prefill */
  double rate;       /**< prefill tokens per second */
  uint32_t held;     /**< pieces from the front that it should have */
  double confidence; /**< that it has them, in [0, 1] */
};

struct plan
{
  uint32_t reuse;           /**< pieces */
  uint32_t import;          /**< pieces after the reused ones */
  int64_t recompute_tokens; /**< all that is neither reused nor imported */
  int64_t import_bytes;
  double wait_s;
  double import_s;
  double prefill_s;
  double cost_s; /**< the three, plus the prices */
};

struct plan_import
{
  uint32_t piece;
  struct blockindex_copy copy;
  bool fallback; /**< Only if the engine lost a piece it should have. */
};

/** The split with the least cost: reuse all that is held or nothing, then
 * import any number of pieces. */
void plan_cheapest (const struct plan_input *input,
                    const struct plan_engine *engine, struct plan *plan);

/** Reuse all that is held and import all that can be, whatever it costs. */
void plan_widest (const struct plan_input *input,
                  const struct plan_engine *engine, struct plan *plan);

/** Write the imports of PLAN, each from the link that would be through with it
 * first; then, as room allows, fallbacks for the reused pieces while that is
 * quicker than to compute them at PIECE_S seconds each, so that a hint that
 * proves wrong costs an import and not a prefill.
 * @return their number, at most import_max. */
unsigned plan_imports (const struct plan_input *input, const struct plan *plan,
                       double piece_s,
                       struct plan_import imports[PLAN_IMPORTS_MAX]);

#endif
