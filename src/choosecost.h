#ifndef CHOOSECOST_H
#define CHOOSECOST_H

#include "choose.h"

/** @file
 * Estimates the time to the first event of a request at one backend server.
 */

/** An estimate, in ms unless the name says otherwise. */
struct choosecost
{
  double backlog_ms;     /**< Part that the work on other requests causes. */
  double prompt_ms;      /**< Time to fetch and prefill the prompt; for a plain
                            service the time by which its slowness prolongs the
                            request. */
  double store_delay_ms; /**< Part of prompt_ms that the delay of a store
                            causes. */
  /** Expected time without the factors that are learned from the times to
   * first events, to compare such a time with; 0 if it is too short or too
   * uncertain to learn from. */
  double comparable_ms;
  uint64_t cached_tokens; /**< Tokens of the prompt that the server has or
                             fetches. */
};

/** What the choice finds about one server. */
struct choose_candidate
{
  struct server *server;
  enum choose_verdict verdict;
  struct choosecost estimate;
  bool is_cold;
  double expected_ms; /**< Expected time to the first event. */
  double cost_ms;     /**< The same plus penalties, without the random part. */
};

/** Estimate the time of the request of QUERY at SERVER.
 * @param is_preferred whether all hosts prefer SERVER for the shared prefix of
 * the request */
void choosecost_estimate (const struct choose_settings *settings,
                          const struct choose_query *query,
                          const struct server *server, bool is_preferred,
                          int64_t now_ns, struct choosecost *cost);

/** Return the time that a whole request takes at SERVER, in ms: the mean of
 * the responses to this host, or an assumption if there was none. */
double choosecost_run_ms (const struct choose_query *query,
                          const struct server *server);

/** Return the memory of SERVER that requests in flight take, in tokens. */
double choosecost_memory_used_tokens (const struct server *server);

#endif
