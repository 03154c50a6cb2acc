#ifndef EXPORT_H
#define EXPORT_H

#include "block.h"
#include "clock.h"
#include "copy.h"
#include "link.h"

#include <glib.h>

/** @file
 * Which blocks to keep on stores, and in which tier: by the chance that the
 * prompt returns, learned for each organisation and request kind, times what
 * an import would save, less what the transfer costs.
 */

enum
{
  EXPORT_BUCKETS = 24 /**< Bucket i holds returns after [2^i, 2^(i+1)) s. */
};

struct export_settings
{
  int64_t half_ns;                /**< Weight of what was seen halves. */
  int64_t horizon_ns[COPY_TIERS]; /**< How long a tier can keep a block. */
  double tier_share[COPY_TIERS];  /**< Of a reuse's gain that is left after
                                       reading from the tier, in [0, 1]. */
  double token_s;                 /**< seconds that a saved token gains,
                                       with its price */
  double byte_price_s;            /**< seconds that a link byte counts for */
  double evict_margin;            /**< A block must be worth this many times
                                       what it displaces; over 1. */
  double prior; /**< Requests of its own that a class needs to weigh as much
                     as what is seen of its kind, and that of all. */
  size_t classes_max; /**< Others use the total alone. */
};

extern const struct export_settings export_settings_default;

struct export_class_key
{
  char organisation[BLOCK_NAME_MAX];
  uint32_t kind;
};

/** What was seen of one class; weights fade with time. */
struct export_class
{
  struct export_class_key key;
  double requests;
  double returns[EXPORT_BUCKETS];
  int64_t faded_ns;
};

struct export
{
  const struct clock *clock;
  struct export_settings settings;
  GHashTable *classes;
  struct export_class total;
};

/** A block that is or may be kept. */
struct export_block
{
  const char *organisation;
  uint32_t kind;
  uint16_t position; /**< of the piece in its prompt */
  int64_t tokens;
  int64_t length;  /**< bytes */
  int64_t idle_ns; /**< since its last use */
};

/** One tier of one store that a block could go to. */
struct export_target
{
  uint64_t store;
  enum copy_tier tier;
  bool open;          /**< copy_may_reserve */
  int64_t free_bytes; /**< as the store last reported */
  struct link *link;
  const struct copy **oldest; /**< from copy_oldest */
  size_t oldest_count;
};

enum export_reason
{
  EXPORT_KEPT,      /**< Export it. */
  EXPORT_HELD,      /**< A copy is there already. */
  EXPORT_WORTHLESS, /**< It would cost more than it gains. */
  EXPORT_FULL,      /**< All that could be displaced is worth more. */
  EXPORT_LINK_BUSY, /**< No budget on the link now; ask again. */
};

struct export_decision
{
  enum export_reason reason;
  size_t target;             /**< index; if EXPORT_KEPT */
  const struct copy *victim; /**< to condemn first, or NULL */
  double value_s;            /**< expected gain, in seconds */
};

void export_init (struct export *policy, const struct clock *clock,
                  const struct export_settings *settings);
void export_finish (struct export *policy);

/** A request of this class came; IDLE_NS since the same prompt was last seen
 * (blockindex_match.idle_ns), or -1 if it was not. */
void export_observe (struct export *policy, const char *organisation,
                     uint32_t kind, int64_t idle_ns);

/** The chance that a block idle for IDLE_NS returns within HORIZON_NS more. */
double export_chance (struct export *policy, const char *organisation,
                      uint32_t kind, int64_t idle_ns, int64_t horizon_ns);

/** What BLOCK in TIER gains, in seconds, transfer not counted. */
double export_value (struct export *policy, const struct export_block *block,
                     enum copy_tier tier);

/** The block that COPY keeps, at NOW. */
struct export_block export_block_of (const struct copy *copy, int64_t tokens,
                                     int64_t now);

/** The copy with the least value per byte, the last piece of a prompt first;
 * NULL if COUNT is 0. VALUE receives its value per byte. */
const struct copy *export_victim (struct export *policy,
                                  const struct copy **copies, size_t count,
                                  int64_t tokens, double *value);

/** Decide on one block, HELD from copy_held. If it is kept, its bytes are
 * taken from the target's link. */
void export_decide (struct export *policy, const struct export_block *block,
                    bool held, const struct export_target *targets,
                    size_t count, struct export_decision *decision);

const char *export_reason_name (enum export_reason reason);

#endif
