#ifndef LOADSHARE_H
#define LOADSHARE_H

#include "clock.h"
#include "lateness.h"
#include "servers.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * Reports between hosts of the requests that each host has in flight at each
 * backend server, and of the slowness that servers stated to it, sent in small
 * datagrams several times a second. Without
 * these reports, hosts under load would all choose the same engine, and the
 * waiting times at the engines would differ by seconds.
 *
 * The reports are hints: a lost or late datagram leads to a worse choice,
 * never to a wrong response. The last report of a host counts until it
 * expires.
 */

enum
{
  /** Maximum size of a datagram, so that it fits one packet. */
  LOADSHARE_BYTES_MAX = 1400
};

/** The last changes in the KV service that a host knows. */
struct loadshare_changes
{
  uint64_t era;               /**< Era of the revisions; 0 if unknown. */
  uint64_t operator_revision; /**< Of the operator's keys; 0 if unknown. */
  uint64_t servers_revision;  /**< Of the servers' keys; 0 if unknown. */
};

/** Callbacks for what hosts tell each other besides load: the weights of
 * engines, which the leader of a rollout adds to its reports, and the changes
 * in the KV service. */
struct loadshare_ops
{
  /** Whether this host reports the weights of engines: it is the leader of the
   * rollout and has recently ordered an engine to load weights. */
  bool (*reports_weights) (void *data);
  /** Whether SERVER is loading weights now. */
  bool (*is_loading_weights) (void *data, const struct server *server);
  /** Handles the report of another host that SERVER has loaded VERSION of the
   * weights. */
  void (*weights_reported) (void *data, struct server *server,
                            uint64_t version);
  /** Returns the weight version that SERVER has, as far as this host can tell;
   * 0 if unknown. */
  uint64_t (*weight_version) (void *data, const struct server *server);
  /** Sets CHANGES to those that this host knows. NULL: none are told. */
  void (*changes_known) (void *data, struct loadshare_changes *changes);
  /** Handles the changes that HOST knows; not NULL if changes_known is not. */
  void (*changes_reported) (void *data, const char *host,
                            const struct loadshare_changes *changes);
};

/** What a host has reported of its links to a service. */
enum loadshare_reach
{
  LOADSHARE_REACH_UNKNOWN, /**< There is no report of late. */
  LOADSHARE_REACH_OUT,     /**< The host can't reach the service. */
  LOADSHARE_REACH_IN
};

struct loadshare
{
  struct servers *servers;
  const struct loadshare_ops *ops;
  void *data;
  const struct clock *clock;
  char *host; /**< Name of this host. */
  /** Number that rises with each start of the process. */
  uint64_t process_start;
  uint32_t sequence; /**< Number of the last datagram sent. */
  /** Whether the estimates of the other hosts' load at the servers must be
   * computed again. */
  bool sums_stale;
  GPtrArray *loaded;        /**< Servers at which other hosts have load. */
  GHashTable *peers;        /**< Maps host names to struct loadshare_peer. */
  struct lateness lateness; /**< Of datagrams with stated slowness. */
};

/** @param host the name of this host
 * @param process_start a number that rises with each start of the process */
void loadshare_init (struct loadshare *loadshare, struct servers *servers,
                     const struct clock *clock, const char *host,
                     uint64_t process_start, const struct loadshare_ops *ops,
                     void *data);
void loadshare_finish (struct loadshare *loadshare);

/** Writes the datagram that reports this host's requests in flight and, if
 * `reports_weights` is true, the weight versions of engines. What does not fit
 * is left out: first stated slowness, then weight versions, then servers.
 * @return the size of the datagram */
size_t loadshare_encode (struct loadshare *loadshare,
                         uint8_t bytes[LOADSHARE_BYTES_MAX]);

/** Handles a datagram of another host.
 * @return false if the datagram can't be parsed or is not newer than the last
 * one of that host */
bool loadshare_receive (struct loadshare *loadshare, const uint8_t *bytes,
                        size_t size);

/** Returns what HOST has reported of its links to the service with the hash
 * SERVICE. */
enum loadshare_reach loadshare_host_reach (const struct loadshare *loadshare,
                                           const char *host, uint64_t service);

/** Drops expired reports and updates the estimates of the other hosts' load at
 * the servers. */
void loadshare_tick (struct loadshare *loadshare);

#endif
