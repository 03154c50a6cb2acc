#ifndef GRANT_H
#define GRANT_H

#include "gateway.h"

/** @file
 * Grants for requests that may run only once: the gateway requests a grant
 * from the owner of the key before dispatch, and reports afterwards how the
 * request ended. Connects grantrequest.h to the messages between gateways and
 * shards.
 */

/** Report the end of REQUEST to the owner of its key. RECORD says what the
 * owner has to record. */
void grant_request_ended (struct request *request,
                          enum requeststate_record record);

/** Resend the messages that got no reply, and end the grant requests that
 * timed out. */
void grant_tick (struct gateway *gateway);

/** 0 if the owners have recorded everything that this gateway has to report,
 * otherwise 1. */
size_t grant_has_pending (const struct gateway *gateway);

void grant_init (struct gateway *gateway);
void grant_finish (struct gateway *gateway);

#endif
