#ifndef LOADSHARE_H
#define LOADSHARE_H

#include "clock.h"
#include "servers.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * The requests that other hosts have in flight at each backend server, which
 * hosts report to each other in small datagrams several times a second. Hosts
 * that choose without these reports all send to the same engine under load,
 * and the waiting times at the engines differ by seconds.
 *
 * The reports are hints: a lost or late datagram leads to a worse choice,
 * never to a wrong response. The last report of a host counts until it
 * expires.
 */

enum
{
  LOADSHARE_BYTES_MAX = 1400 /**< Size of a datagram, to fit one packet. */
};

/** The leader of a rollout also reports the weights of engines. */
struct loadshare_ops
{
  /** Whether this host is the leader and has recently sent an order. */
  bool (*reports_weights) (void *data);
  /** Whether SERVER loads weights now. */
  bool (*is_loading_weights) (void *data, const struct server *server);
  /** Another host has reported that SERVER has VERSION of the weights. */
  void (*weights_reported) (void *data, struct server *server,
                            uint64_t version);
  /** The version that SERVER has, as far as this host can tell; 0: unknown. */
  uint64_t (*weight_version) (void *data, const struct server *server);
};

struct loadshare
{
  struct servers *servers;
  const struct loadshare_ops *ops;
  void *data;
  const struct clock *clock;
  char *host;             /**< Name of this host. */
  uint64_t process_start; /**< Rises with each start of the process. */
  uint32_t sequence;      /**< Number of the last datagram sent. */
  bool sums_stale;   /**< The sums at the servers must be computed again. */
  GHashTable *peers; /**< Host name to struct loadshare_peer. */
};

/** @param process_start rises with each start of the process of HOST */
void loadshare_init (struct loadshare *loadshare, struct servers *servers,
                     const struct clock *clock, const char *host,
                     uint64_t process_start, const struct loadshare_ops *ops,
                     void *data);
void loadshare_finish (struct loadshare *loadshare);

/** Writes the datagram that reports this host's requests in flight; servers
 * that do not fit are left out. @return the size of the datagram */
size_t loadshare_encode (struct loadshare *loadshare,
                         uint8_t bytes[LOADSHARE_BYTES_MAX]);

/** Handles a datagram of another host.
 * @return false if it can't be parsed or is no newer than the last one */
bool loadshare_receive (struct loadshare *loadshare, const uint8_t *bytes,
                        size_t size);

/** Drops the reports of silent hosts and updates the sums at the servers. */
void loadshare_tick (struct loadshare *loadshare);

#endif
