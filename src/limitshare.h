#ifndef LIMITSHARE_H
#define LIMITSHARE_H

#include "lateness.h"
#include "servers.h"

#include <stddef.h>

/** @file
 * Tells the other hosts which limits backend servers stated in responses to
 * this host, which servers stated that they are brittle and rejected requests
 * of this host, and that they no longer state it. Otherwise each host would
 * learn it only from a request of its own. The datagrams may get lost or come
 * late.
 */

enum
{
  LIMITSHARE_BYTES_MAX = 1400, /**< Maximum size of a datagram. */
  /** Maximum number of hosts that all tell each other. With more, the hosts of
   * each subset do, since its engines serve only these. */
  LIMITSHARE_HOSTS_MAX = 128
};

struct limitshare
{
  struct servers *servers;
  const struct clock *clock;
  int64_t next_send_ns;
  int64_t last_change_ns; /**< Newest change that was sent. */
  int64_t suspended_ns;   /**< Time for which the host was suspended so far. */
  /** Responses from before this time are not told: the host was suspended
   * since, so that their age is not known. */
  int64_t resumed_ns;
  uint64_t sender;          /**< Id of this process, not 0. */
  struct lateness lateness; /**< Of datagrams of other hosts. */
};

/** SENDER is the id of this process, not 0. */
void limitshare_init (struct limitshare *limitshare, struct servers *servers,
                      const struct clock *clock, uint64_t sender);
void limitshare_finish (struct limitshare *limitshare);

/** Write the datagram that is due now.
 * @return its size; 0 if none is due */
size_t limitshare_encode (struct limitshare *limitshare,
                          uint8_t bytes[LIMITSHARE_BYTES_MAX]);

/** Handle a datagram of another host.
 * @return false if it can't be decoded */
bool limitshare_receive (struct limitshare *limitshare, const uint8_t *bytes,
                         size_t size);

#endif
