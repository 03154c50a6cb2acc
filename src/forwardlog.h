#ifndef FORWARDLOG_H
#define FORWARDLOG_H

#include "forward.h"

/** @file
 * Log lines and metrics of forwarded requests.
 */

/** Log that the request ended.
 * @param status the status of the response; 0 if the caller disconnected */
void forward_log_end (struct forward *forward, int status, const char *reason);

/** Log the choice of a server. */
void forward_log_placement (struct forward *forward,
                            const struct choose_query *query,
                            const struct choose_result *choice);

/** Log that the response began on older weights than wanted, if it did. */
void forward_log_weights (const struct forward_attempt *attempt);

/** Log that the request is passed on to HOST, which has reported REACH and is
 * one of CANDIDATES. */
void forward_log_host (struct forward *forward, const char *host,
                       unsigned candidates, const char *reach);

/** Log what becomes of the standby, or that none could be started. */
void forward_log_standby (struct forward *forward, const char *action,
                          const char *reason);

/** Log that the request waits for the servers of its software, unless it waits
 * already. */
void forward_log_wait (struct forward *forward,
                       const struct choose_result *choice);

/** Log that the request waits in QUEUE for WAIT_NS by the present estimate. */
void forward_log_queue (const struct forward *forward,
                        const struct waitqueue *queue, int64_t wait_ns);

/** Log that an attempt ended and that ACTION follows. The attempt is not
 * logged if its complete response is passed on. */
void forward_log_attempt (const struct forward_attempt *attempt,
                          enum exchange_outcome outcome,
                          enum forwardretry_action action);

/** Log and count a response of a server that does not belong to the request.
 */
void forward_log_passed_over (const struct forward_attempt *attempt);

/** Log that the connection of ATTEMPT was lost before its response
 * was complete. */
void forward_log_crash (const struct forward_attempt *attempt);

#endif
