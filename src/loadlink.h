#ifndef LOADLINK_H
#define LOADLINK_H

#include "cells.h"
#include "loadshare.h"
#include "presence.h"
#include "status.h"

#include <uv.h>

/** @file
 * The datagrams of loadshare.h on UDP, between the hosts that presence.h
 * knows.
 */

struct loadlink
{
  struct loadshare *loadshare;
  const struct presence *presence;
  const struct cells *cells;
  const struct clock *clock;
  uv_udp_t udp;
  int64_t period_ns;
  int64_t next_ns;
};

/** Listen at IP and PORT. @param period_ns between two datagrams to a host */
enum status loadlink_init (struct loadlink *loadlink, uv_loop_t *loop,
                           struct loadshare *loadshare,
                           const struct presence *presence,
                           const struct cells *cells,
                           const struct clock *clock, const char *ip,
                           uint16_t port, int64_t period_ns,
                           struct error *error);

/** Send what is due. */
void loadlink_tick (struct loadlink *loadlink);

#endif
