#ifndef FORWARDRETRY_H
#define FORWARDRETRY_H

#include "exchange.h"
#include "routes.h"

/** @file
 * Decides what follows an attempt at a backend server. Whether the request
 * may have run determines if it may be retried and what its caller is told.
 */

enum forwardretry_action
{
  FORWARDRETRY_PASS_ON, /**< Pass the server's response on to the caller. */
  FORWARDRETRY_RETRY,   /**< Send the request to another server. */
  FORWARDRETRY_RESUME,  /**< Continue the stream at another server. */
  FORWARDRETRY_REFUSE,  /**< Tell the caller that the request did not run. */
  FORWARDRETRY_FAIL,    /**< Tell the caller that the request may have run. */
  FORWARDRETRY_BREAK,   /**< Close the stream so that it is seen as incomplete.
                         */
  FORWARDRETRY_KEEP /**< Leave the request to the attempt beside this one. */
};

enum
{
  /** Maximum number of retries after attempts that did not run the request,
   * beside the attempts that may have run it. */
  FORWARDRETRY_NOT_RUN_MAX = 3
};

struct forwardretry_state
{
  const struct route *route;
  enum exchange_outcome outcome;
  const struct response *response; /**< Response of the server; valid only if
                                      the outcome is EXCHANGE_ANSWERED. */
  bool relayed; /**< Whether a part of the response was sent to the caller. */
  bool is_resumable;  /**< Whether the relayed part of the response ends with
                         a whole event, which another server can follow. */
  unsigned run_count; /**< Number of attempts that may have run the request,
                         including the last one. */
  unsigned earlier_runs;  /**< Number of those of them that the host which
                             passed the request on knows of. */
  unsigned not_run_count; /**< Number of attempts that certainly did not run
                             the request, including the last one. */
  /** Whether another attempt can still meet the deadline. */
  bool has_time_left;
};

const char *forwardretry_action_name (enum forwardretry_action action);

/** Return the action that follows an attempt. FORWARDRETRY_RETRY and
 * FORWARDRETRY_RESUME also need the retry budget; if it is used up, the caller
 * of this function takes the action of forwardretry_decide_without_retry
 * instead. */
enum forwardretry_action
forwardretry_decide (const struct forwardretry_state *state);

/** Return the action if the request is not retried. */
enum forwardretry_action
forwardretry_decide_without_retry (const struct forwardretry_state *state);

#endif
