#ifndef POISONGUARD_H
#define POISONGUARD_H

#include "gateway.h"

/** @file
 * Protects backend servers from poison requests, which crash the servers that
 * run them. Connects the gateway's requests to poison-gateway.h: a slot is
 * acquired before each attempt, and the end of the attempt is reported.
 */

void poisonguard_init (struct gateway *gateway);
void poisonguard_finish (struct gateway *gateway);
void poisonguard_tick (struct gateway *gateway);

/** Acquire a slot for the next attempt of REQUEST. The attempt is sent once
 * the slot is acquired; otherwise the request is refused. */
void poisonguard_acquire_slot (struct request *request);

/** Report that the attempt of REQUEST ended with END. Has no effect if the
 * attempt holds no slot. */
void poisonguard_attempt_ended (struct request *request,
                                enum poison_outcome end);

#endif
