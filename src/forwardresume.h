#ifndef FORWARDRESUME_H
#define FORWARDRESUME_H

#include "forward.h"

/** @file
 * Callers that come back for the rest of a stream: finds out which software
 * began the stream, since only that software may go on with it.
 */

/** Whether the caller comes back for the rest of a stream. */
bool forwardresume_is_return (const struct forward *forward);

/** Expect only events behind the one that the caller has, if it comes back for
 * the rest of a stream that may be taken up. */
void forwardresume_expect (struct forward *forward);

/** Find the software and the service that began the stream of FORWARD.
 * @param found called later unless this function returns true; KNOWN tells
 * whether the software was found
 * @return true if the software was found at once */
bool forwardresume_start (struct forward *forward,
                          void (*found) (struct forward *forward, bool known));

/** Record the software that sent the first event of FORWARD's stream. */
void forwardresume_record (struct forward *forward);

#endif
