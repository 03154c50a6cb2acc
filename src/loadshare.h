#ifndef LOADSHARE_H
#define LOADSHARE_H

#include "clock.h"
#include "servers.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * What the other hosts have under way at each backend server, told by small
 * datagrams several times a second. Answers the load at which hosts that
 * decide alone all send to the same engine: their waits differ by seconds.
 *
 * The shares are hints: a lost or late datagram costs a worse choice, never a
 * wrong answer. What a host last told counts for a while and then no more.
 */

enum
{
  LOADSHARE_BYTES_MAX = 1400 /**< of a datagram, to fit one packet */
};

/** What the holder of the duty of weights tells besides. */
struct loadshare_ops
{
  /** Whether this host holds the duty and has ordered new weights lately. */
  bool (*tells_weights) (void *data);
  /** Whether SERVER is taking new weights now. */
  bool (*is_swapping) (void *data, const struct server *server);
  /** Another host told that SERVER has VERSION of the weights. */
  void (*weights_told) (void *data, struct server *server, uint64_t version);
  /** The version that this host knows SERVER to have; 0: none. */
  uint64_t (*version) (void *data, const struct server *server);
};

struct loadshare
{
  struct servers *servers;
  const struct loadshare_ops *ops;
  void *data;
  const struct clock *clock;
  char *host;
  uint64_t start;
  uint32_t number;
  bool changed;      /**< The sums at the servers are to be made anew. */
  GHashTable *peers; /**< host to struct loadshare_peer */
};

/** @param start rises with each start of the process of HOST */
void loadshare_init (struct loadshare *loadshare, struct servers *servers,
                     const struct clock *clock, const char *host,
                     uint64_t start, const struct loadshare_ops *ops,
                     void *data);
void loadshare_finish (struct loadshare *loadshare);

/** Write the datagram about this host's requests; servers that do not fit are
 * left out. @return its size */
size_t loadshare_write (struct loadshare *loadshare,
                        uint8_t bytes[LOADSHARE_BYTES_MAX]);

/** A datagram came. @return false if it can't be read or is an old one */
bool loadshare_read (struct loadshare *loadshare, const uint8_t *bytes,
                     size_t size);

/** Forget what silent hosts told. */
void loadshare_tick (struct loadshare *loadshare);

#endif
