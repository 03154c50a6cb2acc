#ifndef PLACE_H
#define PLACE_H

#include "load.h"
#include "plan.h"
#include "rng.h"

#include <glib.h>

/** @file
 * Chooses the engine that serves a request, and which blocks of the prompt
 * that engine reuses, imports from stores or computes. The candidates are the
 * engines that cache the longest prefixes and a few random engines; in a group
 * of at most PLACE_SMALL_GROUP_MAX engines, all of them.
 */

enum
{
  PLACE_CANDIDATES_MAX = 16,
  PLACE_SMALL_GROUP_MAX = 8 /**< Largest number of engines in a group for which
                               every engine is a candidate. */
};

struct place;
struct place_request;
struct place_result;

/** An algorithm that chooses the engine; see place_policy_find. */
struct place_policy
{
  const char *name;
  enum status (*choose) (struct place *place,
                         const struct place_request *request,
                         struct place_result *result);
};

struct place_settings
{
  struct plan_settings plan;
  unsigned prefix_candidates_max; /**< Maximum number of candidates chosen for
                         the length of their cached prefix. */
  /** Number of candidates chosen at random, in addition to those chosen for
   * their cached prefix. */
  unsigned random_candidate_count;
  double urgent_wait_share; /**< Share of an engine's queueing time that an
                                 urgent request waits, in [0, 1]. */
  double urgent_residual_factor; /**< Assumed wait of an urgent import, as a
                                multiple of linkbudget_residual_ns; above 1 to
                                cover the tail. */
  /** Percentage that exports get of the link bandwidth that urgent imports
   * leave unused. */
  int64_t export_percent;
  double affinity_wait_max_s; /**< Queueing time above which the policy
                                 prefix_affinity skips an engine. */
};

extern const struct place_settings place_settings_default;

struct place
{
  const struct load *load;
  struct rng *rng;
  const struct clock *clock;
  struct place_settings settings;
  const struct place_policy *policy;
  GHashTable *link_budgets; /**< Hash table that maps the id of a store to its
                               struct linkbudget. */
  uint64_t round_robin_position; /**< Number of engines that the policy
                                    round_robin has examined. */
  double hint_accuracy; /**< Moving average of the share of expected block
                        reuse that engines confirm. */
};

struct place_request
{
  const struct load_group_key *group_key;
  const struct blockindex_match *match;
  int64_t prompt_tokens; /**< Length of the prompt in tokens. */
  int64_t block_tokens;  /**< Length of one block in tokens; at least 1. */
  bool urgent;
  const uint64_t *excluded; /**< Ids of the engines of earlier attempts, which
                               are not chosen. */
  size_t excluded_count;
};

struct place_candidate
{
  uint32_t engine_index;
  struct plan plan;
};

enum place_reason
{
  PLACE_REUSED,   /**< The engine reuses cached blocks and imports none. */
  PLACE_IMPORTED, /**< The engine imports blocks from stores. */
  PLACE_COMPUTED, /**< The engine computes the whole prompt. */
};

struct place_result
{
  const char *policy;
  enum place_reason reason;
  uint32_t engine_index; /**< Index of the chosen engine in the load view. */
  uint64_t engine_id;    /**< Id of the chosen engine. */
  struct plan plan;
  enum linkbudget_priority priority;
  /** Delay before a request that is not urgent is sent, so that the stores'
   * network links finish earlier transfers first; 0 for an urgent request. */
  int64_t hold_ns;
  unsigned import_count;
  struct plan_import imports[PLAN_IMPORTS_MAX];
  unsigned candidate_count;
  struct place_candidate candidates[PLACE_CANDIDATES_MAX];
};

/** POLICY comes from place_policy_find. */
void place_init (struct place *place, const struct load *load,
                 const struct clock *clock, struct rng *rng,
                 const struct place_settings *settings,
                 const struct place_policy *policy);
void place_finish (struct place *place);

/** Find the policy NAME: "cost", "round_robin", "least_loaded" or
 * "prefix_affinity".
 * @return NULL for any other name. */
const struct place_policy *place_policy_find (const char *name);

/** Set this process's share of the bandwidth of STORE's network link. RATE is
 * in bytes per second, BURST in bytes. Blocks are imported only from stores
 * whose share is set. An existing share keeps its burst. */
void place_set_link_budget (struct place *place, uint64_t store, int64_t rate,
                            int64_t burst);

/** Stop imports from STORE, which is down or may not be used. */
void place_remove_link_budget (struct place *place, uint64_t store);

/** Find the bandwidth budget of STORE's network link.
 * @return NULL if none is set. */
struct linkbudget *place_find_link_budget (struct place *place,
                                           uint64_t store);

/** Choose an engine for REQUEST by the policy. Besides RESULT, changes only
 * the random number generator and the position of round_robin.
 * @return STATUS_UNAVAILABLE if REQUEST excludes every engine of its group, or
 * the group has none. */
enum status place_choose (struct place *place,
                          const struct place_request *request,
                          struct place_result *result);

/** Record that a request is sent as RESULT says: charge its imports to the
 * bandwidth budgets of the stores, and count it as SENT in the load of its
 * engine until the caller calls load_remove_request. */
void place_commit (struct place *place, struct load *load,
                   const struct place_result *result,
                   struct load_request *sent);

/** Record that an engine had cached CACHED of the REUSE blocks that the
 * hints listed. Wrong hints lower the confidence in all later hints. */
void place_record_reuse (struct place *place, uint32_t reuse, uint32_t cached);

/** Format RESULT as "key=value" pairs for the log. */
void place_format (const struct place *place,
                   const struct place_result *result, char *buffer,
                   size_t size);

#endif
