#ifndef CONFPEER_H
#define CONFPEER_H

#include "configstore.h"
#include "confspread.h"
#include "member.h"
#include "peer.h"

/** @file
 * Fetches newer configurations from other processes, and hands them out.
 */

struct confpeer
{
  struct confspread spread;
  struct configstore *store;
  struct peerhub *peers;
  const struct member *member;
};

void confpeer_init (struct confpeer *peer, struct configstore *store,
                    struct peerhub *peers, const struct member *member,
                    const struct clock *clock, struct rng *rng);

/** The process at ADDRESS has REVISION in force. */
void confpeer_heard (struct confpeer *peer, const char *address,
                     uint64_t revision);

/** Answer a ConfigFetch. */
void confpeer_answer (struct confpeer *peer, struct peerlink *link,
                      const Peer__Envelope *request);

void confpeer_tick (struct confpeer *peer);

#endif
