#ifndef STREAMORIGIN_H
#define STREAMORIGIN_H

#include "clock.h"
#include "list.h"
#include "presence.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * Remembers which software began each stream. A stream may go on only with the
 * software that began it, also if its caller comes back to another host, for
 * example because the first one was killed.
 *
 * The host that relays the first event of a stream sends a record of it to the
 * hosts with the highest rendezvous weight for the stream, and a host to which
 * a caller comes back asks such hosts. Records are never changed, so a copy is
 * never wrong, but it may be lost.
 */

enum
{
  STREAMORIGIN_BYTES_MAX = 64, /**< Maximum size of a datagram. */
  STREAMORIGIN_COPIES = 3,     /**< Number of hosts that keep a record, besides
                                  the host that relays the stream. */
  /** Number of hosts that are asked. Hosts that started or ended since a
   * stream began change the ranks of those that keep its record. */
  STREAMORIGIN_ASKED_MAX = 6,
  /** Maximum number of records; the oldest ones are dropped. */
  STREAMORIGIN_RECORDS_MAX = 16384
};

/** A question for the software that began a stream, in the memory of the
 * caller. */
struct streamorigin_query
{
  struct list node; /**< In no list unless the query is open. */
  uint64_t stream;
  uint64_t service;
  uint32_t number;
  int64_t start_ns;
  int64_t next_send_ns;
  struct sockaddr_in asked[STREAMORIGIN_ASKED_MAX];
  bool replied[STREAMORIGIN_ASKED_MAX];
  unsigned asked_count;
  unsigned replied_count;
  bool recorded;          /**< Whether a reply had a record of the stream. */
  uint64_t only_software; /**< Only software of the service by a reply; 0 if no
                             reply knows it. */
  /** The same by this host, whose view may be old, when the query began. */
  uint64_t own_only_software;
  bool other_software; /**< Whether a reply tells of other software. */
  /** Called once, from streamorigin_receive or streamorigin_tick.
   * @param software hash of the software; 0 if it is not known */
  void (*done) (struct streamorigin_query *query, uint64_t software);
};

struct streamorigin_ops
{
  /** Sends a datagram to another host. It may get lost. */
  void (*send) (void *data, const struct sockaddr_in *to, const uint8_t *bytes,
                size_t size);
  /** Returns the hash of the only software that the service with the hash
   * SERVICE had for longer than a stream lives, or 0 if it had several, or
   * this host's view of the servers may be old. */
  uint64_t (*only_software) (void *data, uint64_t service);
  /** Whether this host sees no other software than SOFTWARE at the service
   * now. */
  bool (*sees_only) (void *data, uint64_t service, uint64_t software);
  /** Whether this host has read which servers there are and sees other
   * software than SOFTWARE at the service now. */
  bool (*sees_other) (void *data, uint64_t service, uint64_t software);
};

struct streamorigin
{
  const struct clock *clock;
  const struct presence *presence;
  const struct streamorigin_ops *ops;
  void *data;
  GHashTable *records;  /**< Maps stream hashes to struct record. */
  struct list by_age;   /**< All records, the oldest first. */
  struct list queries;  /**< Open queries. */
  uint32_t query_count; /**< Number of the last query. */
};

void streamorigin_init (struct streamorigin *origin, const struct clock *clock,
                        const struct presence *presence,
                        const struct streamorigin_ops *ops, void *data);
/** Open queries end without a call of `done`. */
void streamorigin_finish (struct streamorigin *origin);

/** Return the hash of the stream that the request REQUEST_ID began; 0 if that
 * is NULL. */
uint64_t streamorigin_stream_hash (const char *request_id);

/** Record that STREAM began with SOFTWARE, here and at other hosts. */
void streamorigin_record (struct streamorigin *origin, uint64_t stream,
                          uint64_t software);

/** Return the software of STREAM if this host has a record of it, or 0. */
uint64_t streamorigin_find (const struct streamorigin *origin,
                            uint64_t stream);

/** Ask other hosts for the software of STREAM.
 * @param stream 0 if the caller does not tell which request began the stream;
 * then only the software of the service can be known
 * @param service hash of the service */
void streamorigin_query (struct streamorigin *origin,
                         struct streamorigin_query *query, uint64_t stream,
                         uint64_t service,
                         void (*done) (struct streamorigin_query *query,
                                       uint64_t software));

/** End QUERY, if it is open, without a call of `done`. */
void streamorigin_cancel (struct streamorigin_query *query);

/** Handle a datagram of the host at FROM.
 * @return false if it can't be decoded */
bool streamorigin_receive (struct streamorigin *origin,
                           const struct sockaddr_in *from,
                           const uint8_t *bytes, size_t size);

/** Drop old records, repeat queries, and end those that got no reply. */
void streamorigin_tick (struct streamorigin *origin);

#endif
