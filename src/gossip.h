#ifndef GOSSIP_H
#define GOSSIP_H

#include "log.h"
#include "member.h"
#include "roster.h"

#include <uv.h>

/** @file
 * The membership on a UDP socket; what it learns goes into the roster.
 */

struct gossip_ops
{
  /** The live process at ADDRESS has REVISION in force. */
  void (*revision) (void *data, const char *address, uint64_t revision);
  /** SEEN_BY saw the backend server SERVER leaving or out. */
  void (*signed_out) (void *data, const char *server, const char *seen_by);
};

struct gossip
{
  struct member member;
  struct roster *roster;
  struct log *log;
  uv_udp_t socket;
  const struct gossip_ops *ops;
  void *data;
  uint64_t bytes_in;
  uint64_t bytes_out;
  uint8_t buffer[2 * MEMBER_DATAGRAM_MAX];
};

/** Open the socket at ADDRESS "IP:PORT" and put SELF into ROSTER. */
enum status gossip_init (struct gossip *gossip, uv_loop_t *loop,
                         const struct clock *clock, struct rng *rng,
                         struct log *log, struct roster *roster,
                         const char *address, const struct member_row *self,
                         const struct gossip_ops *ops, void *data,
                         struct error *error);
void gossip_finish (struct gossip *gossip);

/** REVISION is in force in this process. */
void gossip_set_revision (struct gossip *gossip, uint64_t revision);

/** This process leaves; it still serves. */
void gossip_leave (struct gossip *gossip);

/** This process ends. */
void gossip_end (struct gossip *gossip);

void gossip_tick (struct gossip *gossip);

#endif
