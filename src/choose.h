#ifndef CHOOSE_H
#define CHOOSE_H

#include "call.h"
#include "rng.h"
#include "servers.h"

/** @file
 * Chooses the backend server of a request by the expected time to its first
 * event. Requests that share a prompt prefix go to the engine that has it
 * cached, unless the work queued there takes longer than recomputing the
 * prefix elsewhere. This keeps the load of the servers even.
 */

enum
{
  CHOOSE_EXCLUDED_MAX = 8, /**< Servers that one query can exclude. */
  CHOOSE_STORED_MAX = 3    /**< Weight versions whose stored blocks count. */
};

struct choose_settings
{
  double prefill_tokens_per_ms; /**< Prompt tokens that an engine prefills. */
  double fetch_tokens_per_ms;   /**< Tokens of KV cache that an engine
                                     fetches. */
  double remote_fetch_factor;   /**< Cost factor of a fetch from another data
                                     centre: it takes twice as long, and keeps
                                     the store's link from others meanwhile. */
  double stream_delay_ms;       /**< Delay of a first event that each running
                                     stream causes. */
  double remote_server_ms; /**< Cost of a server in another data centre. */
  double memory_share;     /**< Share of an engine's memory that requests may
                                take. */
  double preferred_cached_share; /**< Share of a shared prefix that the server
                                      preferred by all hosts is assumed to have
                                      cached. */
  int64_t load_half_life_ns;     /**< The weight of a reported load halves in
                                      this time. */
};

extern const struct choose_settings choose_settings_default;

/** The leading blocks of a prompt that stores have, computed with one weight
 * version. */
struct choose_stored_prefix
{
  uint64_t version;
  uint64_t tokens;
  const char *data_centre; /**< Data centre of the store that has the largest
                                block; "" if no block is stored. */
  double delay_ms; /**< Present delay of fetches from the store that has the
                        largest block. */
};

struct choose_query
{
  const char *service;
  const char *model;          /**< NULL for a plain service. */
  uint64_t required_version;  /**< Servers with an older weight version are
                                   left out; 0: none. */
  uint64_t preferred_version; /**< Servers with an older weight version cost
                                   more; 0: none. */
  const struct call *call;
  struct choose_stored_prefix stored[CHOOSE_STORED_MAX];
  unsigned stored_count;
  const struct server *excluded[CHOOSE_EXCLUDED_MAX];
  unsigned excluded_count;
};

struct choose_result
{
  struct server *server; /**< NULL: no server is usable now. */
  double cost_ms;        /**< Expected time to the first event. */
  double backlog_ms; /**< Part of cost_ms caused by other requests' work. */
  double store_delay_ms; /**< Part of cost_ms caused by delay of a store's
                            link. */
  uint64_t cached_tokens;
  unsigned candidates;
  bool at_capacity; /**< A suitable server exists but has no capacity now. */
};

/** Return the stored blocks computed with the weights that SERVER has, or
 * NULL. */
const struct choose_stored_prefix *
choose_stored_for (const struct choose_query *query,
                   const struct server *server);

/** Return the expected time for SERVER to fetch TOKENS tokens of STORED. */
double choose_fetch_ms (const struct choose_settings *settings,
                        const struct choose_stored_prefix *stored,
                        const struct server *server, double tokens);

void choose_server (const struct servers *servers,
                    const struct choose_settings *settings,
                    const struct choose_query *query, struct rng *rng,
                    struct choose_result *result);

#endif
