#ifndef LIMITSHARE_H
#define LIMITSHARE_H

#include "servers.h"

#include <stddef.h>

/** @file
 * Tells the other hosts which limits backend servers stated in responses to
 * this host, which servers stated that they are brittle and rejected requests
 * of this host, and that they no longer state it. Otherwise each host would
 * learn it only from a request of its own. The datagrams may get lost.
 */

enum
{
  LIMITSHARE_BYTES_MAX = 1400 /**< Maximum size of a datagram. */
};

struct limitshare
{
  struct servers *servers;
  const struct clock *clock;
  int64_t next_send_ns;
  int64_t last_change_ns; /**< Newest change that was sent. */
};

void limitshare_init (struct limitshare *limitshare, struct servers *servers,
                      const struct clock *clock);

/** Write the datagram that is due now.
 * @return its size; 0 if none is due */
size_t limitshare_encode (struct limitshare *limitshare,
                          uint8_t bytes[LIMITSHARE_BYTES_MAX]);

/** Handle a datagram of another host.
 * @return false if it can't be decoded */
bool limitshare_receive (struct limitshare *limitshare, const uint8_t *bytes,
                         size_t size);

#endif
