#ifndef FORWARDHOST_H
#define FORWARDHOST_H

#include "forward.h"

/** @file
 * Passes requests on to another host while this one can't reach the servers of
 * their service, or has no room at brittle ones. The other host treats such a
 * request like that of a caller, except that it never passes it on again. If
 * no other host reaches the service either, the request is refused here at
 * once.
 */

/** Whether the request shall be passed on to another host, if there is one. */
bool forwardhost_is_due (const struct forward *forward);

/** Make ATTEMPT at the host that suits best.
 * @return false if there is none */
bool forwardhost_send (struct forward_attempt *attempt);

/** Make ATTEMPT at a host that holds room at SERVER, which is brittle
 * and at which this host has none.
 * @return false if that can't be done */
bool forwardhost_send_to_holder (struct forward_attempt *attempt,
                                 const struct server *server);

/** Handle the head of a response that comes from another host: a refusal of
 * the host itself is a promise that the request has not run. */
void forwardhost_head_received (struct forward_attempt *attempt);

/** Count the runs of an attempt at another host, which may have run the
 * request. How often it did isn't known, so that after the attempt that goes
 * on, if there is one, none may follow. */
void forwardhost_count_runs (struct forward *forward);

/** Handle the end of an attempt at another host.
 * @return whether the request certainly has not run there */
bool forwardhost_ended (struct forward_attempt *attempt,
                        enum exchange_outcome outcome);

/** End the count of ATTEMPT at the host that it was passed on to, if it
 * was. */
void forwardhost_release (struct forward_attempt *attempt);

#endif
