#ifndef GUARD_H
#define GUARD_H

#include "gateway.h"

/** @file
 * Joins the gateway's requests with suspect.h: a slot is taken before each
 * attempt, and its end is reported.
 */

void guard_init (struct gateway *gateway);
void guard_finish (struct gateway *gateway);
void guard_tick (struct gateway *gateway);

/** Ask for a slot for the next attempt of REQUEST; it is sent once that is
 * given, or the request is refused. */
void guard_retry (struct request *request);

/** The attempt of REQUEST is over; harmless if it holds no slot. */
void guard_end (struct request *request, enum poison_outcome end);

#endif
