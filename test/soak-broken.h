#ifndef SOAK_BROKEN_H
#define SOAK_BROKEN_H

#include "callerconn.h"
#include "soak.h"

/** @file
 * Engines whose answers HTTP does not allow, or that do not continue a stream.
 */

/** Whether an engine writes such an answer to CONN in place of that to
 * REQUEST.
 * @param next_event first event that the request asks for */
bool soak_broken_answer (struct soak *soak, struct callerconn *conn,
                         const struct soak_request *request,
                         unsigned next_event);

/** Check a response that a caller got: nothing of such an answer is in it. */
void soak_broken_check (struct soak *soak, const struct soak_request *request,
                        const struct httpfields *head, const char *body);

/** Say how many were written. */
void soak_broken_say (struct soak *soak);

#endif
