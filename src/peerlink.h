#ifndef PEERLINK_H
#define PEERLINK_H

#include "cells.h"
#include "loadshare.h"
#include "partsnews.h"
#include "presence.h"
#include "status.h"

#include <uv.h>

/** @file
 * Datagrams on UDP between the hosts that presence.h knows: loads several
 * times a second, and changes at stores of KV cache as they are heard of. All
 * of them are hints that may be lost.
 */

struct peerlink
{
  struct loadshare *loadshare;
  struct kvstores *kvstores;
  const struct presence *presence;
  const struct cells *cells;
  const struct clock *clock;
  uv_udp_t udp;
  int64_t period_ns;
  int64_t next_ns;
};

/** Listen at IP and PORT. @param period_ns between two loads to a host */
enum status
peerlink_init (struct peerlink *peerlink, uv_loop_t *loop,
               struct loadshare *loadshare, struct kvstores *kvstores,
               const struct presence *presence, const struct cells *cells,
               const struct clock *clock, const char *ip, uint16_t port,
               int64_t period_ns, struct error *error);

/** Send the loads that are due. */
void peerlink_tick (struct peerlink *peerlink);

/** Tell the hosts of this host's cell. */
void peerlink_send_news (struct peerlink *peerlink,
                         const struct kvstore_news *news);

#endif
