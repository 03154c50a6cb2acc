#ifndef CHOOSE_H
#define CHOOSE_H

#include "call.h"
#include "homes.h"
#include "rng.h"
#include "servers.h"
#include "weights.h"

/** @file
 * Chooses the backend server of a request by the expected time to its first
 * event. Requests that share a prompt prefix go to the engine that has it
 * cached, unless the work queued there takes longer than recomputing the
 * prefix elsewhere. This keeps the load of the servers even.
 */

enum
{
  /** Maximum number of servers that one query can exclude. */
  CHOOSE_EXCLUDED_MAX = 8,
  CHOOSE_STORED_MAX = 3, /**< Maximum number of weight versions whose stored
                            blocks one query can list. */
  /** Servers whose costs differ by less than this may each be chosen. */
  CHOOSE_RANDOM_COST_MS = 1
};

struct choose_settings
{
  double prefill_tokens_per_ms; /**< Number of prompt tokens that an engine
                                   prefills per ms. */
  double fetch_tokens_per_ms;   /**< Number of tokens whose KV cache an engine
                                   fetches per ms. */
  double remote_fetch_factor;   /**< Factor on the time of a fetch from another
                                   data centre, which takes twice as long and
                                   blocks the store's network link for other
                                   fetches meanwhile. */
  double stream_delay_ms;  /**< Delay of the first event per stream that the
                              engine already runs. */
  double remote_server_ms; /**< Time added to the cost of a server in another
                              data centre. */
  double memory_share; /**< Maximum share of an engine's memory that requests
                          may take. */
  double preferred_cached_share; /**< Share of a shared prefix that the server
                                      preferred by all hosts is assumed to have
                                      cached. */
  double near_ms; /**< Excess over the least cost up to which a server whose
                     speed varies may be chosen. */
  int64_t load_half_life_ns; /**< The weight of a reported load halves in
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
  double delay_ms; /**< Expected delay of fetches from the store that has the
                      largest block. */
};

struct choose_query
{
  const char *service;
  const char *model; /**< Name of the model; NULL for a plain service. */
  uint64_t required_version; /**< Servers with an older weight version are not
                                chosen; 0 if every version may be used. */
  /** Hash of the software that a server must have to be chosen; 0 if it may
   * have any. See struct server. */
  uint64_t required_software;
  uint64_t preferred_version; /**< Servers with an older weight version get a
                                 higher cost; 0 if no version is preferred. */
  /** Wanted weights of the model, and the time after the operator has set a
   * version within which a request must begin at a server with an older one. A
   * server that is expected to be too late for that is not chosen. NULL if the
   * operator has set none. */
  const struct wanted_weights *wanted;
  int64_t begin_span_ns;
  const struct call *call;
  struct homes homes; /**< Where the request may be served. */
  struct choose_stored_prefix stored[CHOOSE_STORED_MAX];
  unsigned stored_count;
  const struct server *excluded[CHOOSE_EXCLUDED_MAX];
  unsigned excluded_count;
};

/** Whether a server can get a request now, and if not, why. */
enum choose_verdict
{
  CHOOSE_USABLE,
  CHOOSE_EXCLUDED,       /**< The request was tried there. */
  CHOOSE_LEAVING,        /**< It accepts no new requests. */
  CHOOSE_OTHER_WEIGHTS,  /**< Its weights are older than required. */
  CHOOSE_OTHER_SOFTWARE, /**< Its software is not the required one. */
  CHOOSE_OTHER_REGION,   /**< Its region is no home of the request. */
  CHOOSE_EVACUATED,      /**< Its data centre is evacuated. */
  CHOOSE_UNREACHABLE,
  CHOOSE_PAUSED,    /**< It asked for a pause. */
  CHOOSE_LIMITED,   /**< Its stated limit is used up. */
  CHOOSE_COLD,      /**< It is cold, and this host's share there is used up. */
  CHOOSE_BUSY,      /**< It has just rejected a request, loads weights or
                       is in doubt. */
  CHOOSE_NO_MEMORY, /**< The requests in flight fill its memory. */
  CHOOSE_MAY_BE_BRITTLE, /**< It has the requests that it would get if it were
                            brittle, which is not known yet. */
  CHOOSE_NO_PLACE,       /**< Its slots and its queue are full. */
  CHOOSE_BRITTLE,        /**< It is brittle, and this host's room there is
                            used up. */
  CHOOSE_TOO_LATE        /**< It has old weights and would begin too late. */
};

/** Return the name of VERDICT in logs. */
const char *choose_verdict_name (enum choose_verdict verdict);

struct choose_result
{
  /** Chosen server; NULL if no server can be used now. */
  struct server *server;
  double cost_ms; /**< Expected time to the first event, plus penalties such as
                     that for older weights. */
  double least_cost_ms; /**< The least such cost of all servers; see
                           choosespread.h. */
  double backlog_ms;    /**< Part of cost_ms that the work on other requests
                           causes. */
  double prompt_ms;     /**< Part of cost_ms that the prompt of the request
                           causes. */
  double comparable_ms; /**< As in struct choosecost. */
  /** Part of cost_ms that the delay of a store causes. */
  double store_delay_ms;
  uint64_t cached_tokens;
  unsigned candidates;
  unsigned too_late;   /**< Number of suitable servers with old weights that
                          would begin the request too late; they count as
                          without capacity. */
  bool server_is_cold; /**< Whether the chosen server is cold; it is chosen
                          only if no warm one can be. */
  bool at_capacity; /**< Whether a suitable server exists that has no capacity
                       now. */
  /** Number of suitable servers that their limits, or their room while they
   * are brittle or cold, keep from being chosen now, and the requests per
   * second that this host may send to them together. */
  unsigned limited;
  double limited_per_s;
  int64_t limited_wait_ns; /**< Time until the first of them may be sent a
                              request; valid if `limited` is not 0. */
  unsigned cold;           /**< Those of them that are cold. */
  unsigned brittle;        /**< Those of them that are brittle. */
  /** One of these, at random; NULL if there is none. */
  const struct server *brittle_server;
  /** Number of suitable servers that asked for a pause, and the time until the
   * first of these pauses ends; valid if `paused` is not 0. */
  unsigned paused;
  int64_t paused_wait_ns;
  unsigned other_region; /**< Number of servers in regions that are no homes of
                            the request, which would be suitable otherwise. */
  unsigned evacuated;    /**< Number of suitable servers in evacuated data
                            centres. */
  unsigned unreachable; /**< Number of suitable servers that are registered and
                           can't be reached now. */
  bool others_at_capacity; /**< Whether there are other suitable servers
                              without capacity. */
};

struct choose_candidate;

/** Called with each server that a choice considers; see choosecost.h. */
typedef void (*choose_visitor) (void *data,
                                const struct choose_candidate *candidate);

/** Return the stored prefix of QUERY that was computed with the weight version
 * of SERVER, or NULL if there is none. */
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

/** Make the same choice without its random part, and call VISIT for each
 * server that it considers. Of equal servers the first one is chosen. */
void choose_visit (const struct servers *servers,
                   const struct choose_settings *settings,
                   const struct choose_query *query, choose_visitor visit,
                   void *data, struct choose_result *result);

#endif
