#ifndef RESEND_H
#define RESEND_H

#include "exchange.h"
#include "routes.h"

/** @file
 * Decides what follows an attempt at a backend server. Whether the request
 * may have run determines if it may be retried and what its caller is told.
 */

enum resend_action
{
  RESEND_PASS_ON, /**< Pass the server's response on to the caller. */
  RESEND_AGAIN,   /**< Send the request to another server. */
  RESEND_RESUME,  /**< Continue the stream at another server. */
  RESEND_REFUSE,  /**< Tell the caller that the request did not run. */
  RESEND_FAIL,    /**< Tell the caller that the request may have run. */
  RESEND_BREAK    /**< Close the stream so that it is seen as incomplete. */
};

enum
{
  /** Retries after attempts that did not run the request. They come on top of
   * the attempts that may have run it. */
  RESEND_NOT_RUN_MAX = 3
};

struct resend_state
{
  const struct route *route;
  enum exchange_end end;
  const struct answer *answer; /**< Valid after EXCHANGE_ANSWERED. */
  bool relayed;      /**< Part of the response was sent to the caller. */
  bool whole_events; /**< The relayed part ends with a whole event. */
  unsigned runs;     /**< Attempts that may have run the request, the present
                          one included. */
  unsigned not_run;  /**< Attempts that certainly did not run it, the present
                          one included. */
  bool time_left;    /**< Another attempt can still meet the deadline. */
};

const char *resend_action_name (enum resend_action action);

/** Return the action after an attempt. RESEND_AGAIN and RESEND_RESUME also
 * need the retry budget; without it the action is that of resend_last. */
enum resend_action resend_decide (const struct resend_state *state);

/** Return the action if the request is not retried. */
enum resend_action resend_last (const struct resend_state *state);

#endif
