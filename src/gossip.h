#ifndef GOSSIP_H
#define GOSSIP_H

#include "log.h"
#include "member.h"
#include "roster.h"

#include <uv.h>

/** @file
 * Runs the membership protocol over a UDP socket and copies the received rows
 * to the roster.
 */

struct gossip_ops
{
  /** The live process at ADDRESS reported that REVISION of the configuration
   * is in force there. */
  void (*revision_received) (void *data, const char *address,
                             uint64_t revision);
  /** The process SEEN_BY reports that the backend server SERVER is leaving or
   * down. */
  void (*notice_received) (void *data, const char *server,
                           const char *seen_by);
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
  /** Receive buffer, larger than a valid datagram, so that datagrams that are
   * too long are detected. */
  uint8_t buffer[2 * MEMBER_DATAGRAM_MAX];
};

/** Bind the socket to ADDRESS, which has the form "IP:PORT", and add SELF to
 * ROSTER. */
enum status gossip_init (struct gossip *gossip, uv_loop_t *loop,
                         const struct clock *clock, struct rng *rng,
                         struct log *log, struct roster *roster,
                         const char *address, const struct member_row *self,
                         const struct gossip_ops *ops, void *data,
                         struct error *error);
void gossip_finish (struct gossip *gossip);

/** Announce that this process has REVISION of the configuration in force. */
void gossip_set_revision (struct gossip *gossip, uint64_t revision);

/** Announce that this process is leaving. The process still serves. */
void gossip_set_leaving (struct gossip *gossip);

/** Announce that this process exits now. */
void gossip_announce_exit (struct gossip *gossip);

void gossip_tick (struct gossip *gossip);

#endif
