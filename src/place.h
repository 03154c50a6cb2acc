#ifndef PLACE_H
#define PLACE_H

#include "load.h"
#include "plan.h"
#include "rng.h"

#include <glib.h>

/** @file
 * Which engine serves a request, and which pieces of its prompt are reused,
 * imported or computed there. The candidates are the holders of the longest
 * prefixes and a few random engines; never all, unless the group is small.
 */

enum
{
  PLACE_CANDIDATES_MAX = 16,
  PLACE_SMALL_GROUP = 8 /**< Groups up to this size are considered whole. */
};

struct place;
struct place_request;
struct place_result;

/** One way to choose; the table of all is place_policy_find. */
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
  unsigned holders;         /**< Longest prefixes considered. */
  unsigned random;          /**< Random engines considered besides. */
  double urgent_wait_share; /**< Of an engine's queue that an urgent request
                                 waits for, in [0, 1]. */
  double urgent_residuals;  /**< Mean residuals of a link that an urgent import
                                is reckoned to wait; over 1 for the tail. */
  int64_t export_percent;   /**< of what urgent imports leave of a link */
  double affinity_wait_s;   /**< prefix_affinity leaves a holder whose wait is
                                 longer. */
};

extern const struct place_settings place_settings_default;

struct place
{
  const struct load *load;
  struct rng *rng;
  const struct clock *clock;
  struct place_settings settings;
  const struct place_policy *policy;
  GHashTable *links; /**< store to struct link */
  uint64_t turn;     /**< of round_robin */
  double accuracy;   /**< share of believed reuse that engines confirm */
};

struct place_request
{
  const struct load_group_key *need;
  const struct blockindex_match *match;
  int64_t tokens;       /**< of the prompt */
  int64_t piece_tokens; /**< at least 1 */
  bool urgent;
  const uint64_t *excluded; /**< engines that were tried already */
  size_t excluded_count;
};

struct place_candidate
{
  uint32_t index;
  struct plan plan;
};

enum place_reason
{
  PLACE_REUSED,   /**< Most of the prompt is there. */
  PLACE_IMPORTED, /**< Some of it comes from stores. */
  PLACE_COMPUTED, /**< All of it is computed. */
};

struct place_result
{
  const char *policy;
  enum place_reason reason;
  uint32_t index; /**< of the engine, in the load view */
  uint64_t engine;
  struct plan plan;
  enum link_priority priority;
  int64_t hold_ns; /**< Not urgent: send so much later, when the links are
                        through with what is before it. */
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

/** "cost", "round_robin", "least_loaded" or "prefix_affinity"; else NULL. */
const struct place_policy *place_policy_find (const char *name);

/** This process's share of a store's link, in bytes per second and bytes.
 * A store without a link is not imported from. */
void place_set_link (struct place *place, uint64_t store, int64_t rate,
                     int64_t burst);

/** The store is gone or not to be used. */
void place_drop_link (struct place *place, uint64_t store);

/** The link of STORE, or NULL. */
struct link *place_link (struct place *place, uint64_t store);

/** Choose an engine for REQUEST by the policy. Changes nothing but the random
 * source and the turn.
 * @return STATUS_UNAVAILABLE if no engine that may be used has the version. */
enum status place_choose (struct place *place,
                          const struct place_request *request,
                          struct place_result *result);

/** The request is sent as RESULT says: charge its links and count it on its
 * engine as SENT, which the caller lets go by load_started. */
void place_commit (struct place *place, struct load *load,
                   const struct place_result *result,
                   struct load_request *sent);

/** The engine said that it had CACHED of the REUSE pieces that it should have.
 * Hints count for less while they prove wrong. */
void place_observe (struct place *place, uint32_t reuse, uint32_t cached);

/** Write "key=value" pairs for the log line of the decision. */
void place_describe (const struct place *place,
                     const struct place_result *result, char *buffer,
                     size_t size);

#endif
