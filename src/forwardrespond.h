#ifndef FORWARDRESPOND_H
#define FORWARDRESPOND_H

#include "forward.h"

/** @file
 * The ways in which a request ends: each function sends what its caller gets,
 * logs the end, and frees the request.
 */

/** Free FORWARD without a response to its caller. */
void forward_free (struct forward *forward);

/** Send a response that this process makes itself.
 * @param retry_after_ns 0 if the caller is not told when to come back */
void forward_respond (struct forward *forward, int status, const char *reason,
                      int64_t retry_after_ns);

/** Return a random time between one and two times BASE_MS, so that callers do
 * not retry all at once. */
int64_t forward_random_retry_after_ns (struct forwarder *forwarder,
                                       int64_t base_ms);

/** Tell the caller that the request did not run. A caller retries only before
 * its request's deadline, so the Retry-After time is limited to a share of the
 * time left.
 * @param retry_after_ms the shortest time until the caller comes back, if the
 * time left is long enough */
void forward_refuse (struct forward *forward, const char *reason,
                     int64_t retry_after_ms);

/** Tell the caller that the request may have run. */
void forward_fail (struct forward *forward, const char *reason);

/** Close the caller's connection in the middle of the response, so that the
 * caller sees an incomplete stream. */
void forward_break (struct forward *forward, const char *reason);

/** End the request with the response of the server. */
void forward_pass_on (struct forward *forward);

/** End the request because no server may run it any more: break its response
 * off, fail it or refuse it, whatever holds. */
void forward_give_up (struct forward *forward, const char *reason,
                      int64_t retry_after_ms);

enum
{
  /** Base of the Retry-After time if no server can run the request now. */
  RETRY_AFTER_NO_SERVER_MS = 250
};

/** Return why CHOICE has no server for a request that does not wait. */
const char *forward_unplaced_reason (const struct choose_result *choice);

/** Give the request up, since CHOICE has no server for it: those that could
 * run it asked for a pause, are in evacuated data centres or in regions that
 * are no homes of it, or there are none.
 */
void forward_give_up_unplaced (struct forward *forward,
                               const struct choose_result *choice);

#endif
