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
  FORWARDRETRY_BREAK /**< Close the stream so that it is seen as incomplete. */
};

enum
{
  /** Retries after attempts that did not run the request. They come on top of
   * the attempts that may have run it. */
  FORWARDRETRY_NOT_RUN_MAX = 3
};

struct forwardretry_state
{
  const struct route *route;
  enum exchange_outcome outcome;
  const struct response *response; /**< Valid after EXCHANGE_ANSWERED. */
  bool relayed;         /**< Part of the response was sent to the caller. */
  bool ends_with_event; /**< The relayed part ends with a whole event. */
  unsigned run_count; /**< Attempts that may have run the request, the present
                      one included. */
  unsigned not_run_count; /**< Attempts that certainly did not run it, the
                         present one included. */
  bool has_time_left;     /**< Another attempt can still meet the deadline. */
};

const char *forwardretry_action_name (enum forwardretry_action action);

/** Return the action after an attempt. FORWARDRETRY_RETRY and
 * FORWARDRETRY_RESUME also need the retry budget; without it the action is
 * that of forwardretry_decide_without_retry. */
enum forwardretry_action
forwardretry_decide (const struct forwardretry_state *state);

/** Return the action if the request is not retried. */
enum forwardretry_action
forwardretry_decide_without_retry (const struct forwardretry_state *state);

#endif
