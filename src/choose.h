#ifndef CHOOSE_H
#define CHOOSE_H

#include "call.h"
#include "rng.h"
#include "servers.h"

/** @file
 * Which backend server gets a request. Answers uneven load: requests of one
 * context return to the engine that has read it, unless the work that waits
 * there costs more time than reading it again elsewhere.
 */

enum
{
  CHOOSE_EXCLUDED_MAX = 8,
  CHOOSE_STORED_MAX = 3
};

struct choose_settings
{
  double tokens_per_ms;   /**< prompt tokens that an engine reads */
  double fetched_per_ms;  /**< tokens of KV cache that it fetches */
  double distance_factor; /**< of a fetch from another data centre: it takes
                               twice as long, and keeps the store's link from
                               others meanwhile */
  double run_ms;          /**< delay of a first event by each running stream */
  double distance_ms;     /**< what another data centre costs */
  double memory_share;    /**< of an engine's memory that requests may take */
  double home_share;      /**< Part of a shared context taken to be at hand at
                               the server that all hosts prefer for it. */
  int64_t report_ns;      /**< A reported load halves in weight after this. */
};

extern const struct choose_settings choose_settings_default;

/** What stores hold of the first parts of a prompt, made by one version of
 * the weights. */
struct choose_stored
{
  uint64_t version;
  uint64_t tokens;
  const char *data_centre; /**< of the store that holds most; "" */
  double delay_ms;         /**< by which fetches from it come late now */
};

struct choose_query
{
  const char *service;
  const char *model;       /**< NULL for a plain service */
  uint64_t weight_version; /**< only servers that have it; 0: any */
  uint64_t wanted_version; /**< preferred; 0: none */
  const struct call *call;
  struct choose_stored stored[CHOOSE_STORED_MAX];
  unsigned stored_count;
  const struct server *excluded[CHOOSE_EXCLUDED_MAX];
  unsigned excluded_count;
};

struct choose_result
{
  struct server *server; /**< NULL: none is usable */
  double cost_ms;        /**< expected time to the first event */
  double backlog_ms;     /**< the part of it that is work of others */
  double delay_ms;       /**< the part of it that is delay of a store's link */
  uint64_t cached_tokens;
  unsigned candidates;
  bool full; /**< Some server would do but takes nothing more for now. */
};

/** What is stored for the weights that SERVER has; NULL: nothing. */
const struct choose_stored *
choose_stored_for (const struct choose_query *query,
                   const struct server *server);

/** Expected time of SERVER to fetch TOKENS of the STORED ones. */
double choose_fetch_ms (const struct choose_settings *settings,
                        const struct choose_stored *stored,
                        const struct server *server, double tokens);

void choose_server (const struct servers *servers,
                    const struct choose_settings *settings,
                    const struct choose_query *query, struct rng *rng,
                    struct choose_result *result);

#endif
