#ifndef FORWARDQUEUE_H
#define FORWARDQUEUE_H

#include "forward.h"

/** @file
 * The requests of this host that wait for a service whose capacity varies, in
 * a queue for each such service (waitqueue.h).
 *
 * The capacity of a service varies if its servers are cold at times or state
 * how long work takes there. Requests for other services wait in order of
 * arrival, see forwardwait.h, and so does a stream that needs servers of one
 * software.
 */

/** Which services have a queue, see settings queue.mode. */
enum forwardqueue_mode
{
  FORWARDQUEUE_AUTO,   /**< Those whose capacity varies. */
  FORWARDQUEUE_ALWAYS, /**< All engine services. */
  FORWARDQUEUE_NEVER
};

/** Frees the queues of FORWARDER; no request may be waiting. */
void forwardqueue_finish (struct forwarder *forwarder);

/** Whether the request waits in the queue of its service, if it waits. */
bool forwardqueue_is_used (const struct forward *forward);

/** Whether the request waits in the queue of its service. */
bool forwardqueue_is_waiting (const struct forward *forward);

/** Whether requests of the service that are as urgent come before the
 * request. */
bool forwardqueue_must_wait (struct forward *forward);

/** Adds a request that has just arrived to the queue if others that are as
 * urgent wait already.
 * @return whether it was added; it may have been refused since */
bool forwardqueue_hold_back (struct forward *forward);

/** Decides by CHOICE whether the request is sent now. If not, it waits or is
 * refused.
 * @return whether it is sent */
bool forwardqueue_allows (struct forward *forward,
                          const struct choose_result *choice);

/** Adds the request to the queue; has no effect if it waits. It may be
 * refused. */
void forwardqueue_add (struct forward *forward);

/** Removes the request from the queue; has no effect unless it waits. */
void forwardqueue_remove (struct forward *forward);

/** Records that the request is sent to a server, and removes it from the
 * queue. */
void forwardqueue_sent (struct forward *forward);

/** Refuses the request if it waits in the queue and its caller gives up before
 * it could be answered.
 * @return whether it was refused */
bool forwardqueue_refuse_lost (struct forward *forward, int64_t now_ns);

/** Returns the number of requests that wait in the queue of the request's
 * service. */
unsigned forwardqueue_count (const struct forward *forward);

/** Returns the number of requests that wait in all queues. */
unsigned forwardqueue_total (const struct forwarder *forwarder);

/** Returns what would be done by CHOICE with the request, which exists for an
 * explanation only, and changes nothing.
 * @param wait_ns receives the time that it is expected to wait, if it waits */
enum waitqueue_action forwardqueue_foresee (struct forward *forward,
                                            const struct choose_result *choice,
                                            int64_t *wait_ns);

/** Returns the number of waiting requests that come before the request, which
 * has just arrived: those in time of its class and of more urgent ones. */
unsigned forwardqueue_count_ahead (const struct forward *forward);

/** Calls PLACE for the waiting requests of all queues in their order. */
void forwardqueue_serve (struct forwarder *forwarder, int64_t now_ns,
                         void (*place) (struct forward *forward));

#endif
