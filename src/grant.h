#ifndef GRANT_H
#define GRANT_H

#include "gateway.h"

/** @file
 * Grants for requests that may run only once: asked of the owner of the key
 * before dispatch; the outcome, or that the grant was not used, is told to
 * the owner afterwards until that is durable.
 */

/** What the owner of a key is still to be told. */
struct grant_record;

/** REQUEST has ended as its settle state says; tell the owner RECORD. */
void grant_settle (struct request *request, enum settle_record record);

/** Ask or tell again what was not answered. */
void grant_tick (struct gateway *gateway);

/** Records that are not durable yet. */
size_t grant_open (const struct gateway *gateway);

void grant_init (struct gateway *gateway);
void grant_finish (struct gateway *gateway);

#endif
