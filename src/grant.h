#ifndef GRANT_H
#define GRANT_H

#include "gateway.h"

/** @file
 * Grants for requests that may run only once: asked of the owner of the key
 * before dispatch, and told how the request ended; joins ask.h with the
 * messages to the shards.
 */

/** REQUEST has ended as its settle state says; tell the owner RECORD. */
void grant_settle (struct request *request, enum settle_record record);

/** Ask or tell again what was not answered. */
void grant_tick (struct gateway *gateway);

/** 0 if the owners have recorded all that they are to be told. */
size_t grant_open (const struct gateway *gateway);

void grant_init (struct gateway *gateway);
void grant_finish (struct gateway *gateway);

#endif
