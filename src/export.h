#ifndef EXPORT_H
#define EXPORT_H

#include "block.h"
#include "clock.h"
#include "blockcopy.h"
#include "linkbudget.h"

#include <glib.h>

/** @file
 * Policy for exports: decides which blocks to save to stores, and in which
 * tier. The value of a block is the probability that its prompt returns, which
 * is learned for each organisation and request kind, times the time that an
 * import would save, less the cost of the transfer.
 */

enum
{
  EXPORT_RETURN_BUCKETS = 24 /**< Bucket i counts returns after [2^i, 2^(i+1))
                          s; bucket 0 starts at 0 s. */
};

struct export_settings
{
  int64_t half_life_ns; /**< Time in which the weight of a counted request
                           halves. */
  int64_t horizon_ns[BLOCKCOPY_TIER_COUNT]; /**< Time for which each tier is
                                               expected to keep a block. */
  /** Share, in [0, 1], of the gain from reusing a block that remains after the
   * cost of reading the block from the tier. */
  double tier_gain_share[BLOCKCOPY_TIER_COUNT];
  /** Gain, in seconds, for each token that is not recomputed; includes the
   * price of computing. */
  double saved_s_per_token;
  /** Cost, in seconds, of transferring one byte over the network link. */
  double price_s_per_byte;
  /** Minimum ratio, more than 1, of the value per byte of a block to the value
   * per byte of the block that it evicts. */
  double evict_value_ratio;
  /** Number of requests at which the statistics of a class weigh as much as
   * the statistics of the wider class. The wider class of an organisation and
   * kind is the kind in all organisations; the wider class of a kind is all
   * requests. */
  double prior_requests;
  /** Maximum number of classes with statistics of their own; further classes
   * use the statistics of their kind and of all requests. */
  size_t classes_max;
};

extern const struct export_settings export_settings_default;

struct export_class_key
{
  char organisation[BLOCK_NAME_SIZE];
  uint32_t kind;
};

/** Decaying counts of the requests of one class, which is an organisation and
 * a request kind, and of the returns among them: requests whose prompt was
 * seen before. */
struct export_class
{
  struct export_class_key key;
  double requests; /**< Number of requests. */
  /** Number of returns, by the time since the last request with the prompt. */
  double returns[EXPORT_RETURN_BUCKETS];
  int64_t decayed_ns; /**< Time at which the counts were last decayed. */
};

struct export_policy
{
  const struct clock *clock;
  struct export_settings settings;
  GHashTable *classes;
  struct export_class total;
};

/** A block that is on a store or may be exported to one. */
struct export_block
{
  const char *organisation;
  uint32_t kind;
  uint16_t position; /**< Index of the block in its prompt. */
  int64_t tokens;
  int64_t length;  /**< Length in bytes. */
  int64_t idle_ns; /**< Time since the last use of the block. */
};

/** One tier of one store that a block could be exported to. */
struct export_target
{
  uint64_t store;
  enum blockcopy_tier tier;
  bool may_reserve;   /**< Whether blockcopy_store_has_capacity allows a
                         reservation. */
  int64_t free_bytes; /**< Free space that the store reported last, less later
                         reservations. */
  struct linkbudget *link_budget;
  /** Copies that may be evicted, as returned by blockcopy_least_recent. */
  const struct blockcopy **evict_candidates;
  size_t evict_candidate_count;
};

enum export_reason
{
  EXPORT_KEPT, /**< The block is exported. */
  EXPORT_HELD, /**< A store already has a copy, or a copy is being written. */
  EXPORT_WORTHLESS, /**< The transfer would cost more than it gains. */
  EXPORT_FULL,      /**< No tier has capacity, and no block is of low enough
                       value to be evicted. */
  EXPORT_LINK_BUSY, /**< The bandwidth budget is used up now; retry later. */
};

struct export_decision
{
  enum export_reason reason;
  size_t target_index; /**< Index of the chosen target; only set if reason is
                          EXPORT_KEPT. */
  /** Copy that must be evicted before the export, or NULL. */
  const struct blockcopy *victim;
  double value_s; /**< Expected gain of the export in seconds. */
};

void export_init (struct export_policy *policy, const struct clock *clock,
                  const struct export_settings *settings);
void export_finish (struct export_policy *policy);

/** Count a request of ORGANISATION and KIND for the statistics. IDLE_NS is the
 * time since the same prompt was last seen (blockindex_match.idle_ns), or -1
 * if it was not seen before. */
void export_count_request (struct export_policy *policy,
                           const char *organisation, uint32_t kind,
                           int64_t idle_ns);

/** The probability that a prompt that was last seen IDLE_NS ago returns within
 * the next HORIZON_NS. */
double export_return_probability (struct export_policy *policy,
                                  const char *organisation, uint32_t kind,
                                  int64_t idle_ns, int64_t horizon_ns);

/** The expected gain in seconds of having BLOCK in TIER: the cost of a later
 * import is subtracted, the cost of the export is not. */
double export_value_s (struct export_policy *policy,
                       const struct export_block *block,
                       enum blockcopy_tier tier);

/** Describe the block of COPY, which has TOKENS tokens, as of the time NOW. */
struct export_block export_block_from_copy (const struct blockcopy *copy,
                                            int64_t tokens, int64_t now);

/** The copy with the least value per byte, or NULL if COUNT is 0. Of copies
 * with equal value, the one with the highest position in its prompt is chosen.
 * VALUE receives the value per byte of the copy. */
const struct blockcopy *export_choose_victim (struct export_policy *policy,
                                              const struct blockcopy **copies,
                                              size_t count, int64_t tokens,
                                              double *value);

/** Decide whether and where to export BLOCK. HELD says whether
 * blockcopy_exists found a copy of BLOCK. If the reason is EXPORT_KEPT, the
 * bytes of the block are charged to the bandwidth budget of the target. */
void export_decide (struct export_policy *policy,
                    const struct export_block *block, bool held,
                    const struct export_target *targets, size_t count,
                    struct export_decision *decision);

const char *export_reason_name (enum export_reason reason);

#endif
