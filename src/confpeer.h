#ifndef CONFPEER_H
#define CONFPEER_H

#include "configstore.h"
#include "conffetch.h"
#include "member.h"
#include "peer.h"

/** @file
 * Fetches newer configurations from other processes, and answers their
 * fetches.
 */

struct confpeer
{
  struct conffetch fetch;
  struct configstore *configstore;
  struct peer_endpoint *endpoint;
  const struct member *member;
};

void confpeer_init (struct confpeer *confpeer, struct configstore *configstore,
                    struct peer_endpoint *endpoint,
                    const struct member *member, const struct clock *clock,
                    struct rng *rng);

/** The process at ADDRESS announced that it has REVISION in force. */
void confpeer_revision_announced (struct confpeer *confpeer,
                                  const char *address, uint64_t revision);

/** Replies to REQUEST, a ConfigFetch that was received on CONN. */
void confpeer_fetch_received (struct confpeer *confpeer,
                              struct peer_conn *conn,
                              const Peer__Envelope *request);

/** Starts the scheduled fetch if its delay has passed. */
void confpeer_tick (struct confpeer *confpeer);

#endif
