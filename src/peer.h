#ifndef PEER_H
#define PEER_H

#include "clock.h"
#include "frame.h"
#include "list.h"
#include "log.h"
#include "peer.pb-c.h"
#include "status.h"

#include <stdbool.h>
#include <uv.h>

/** @file
 * Requests between the processes of trefoilspar. A process opens one TCP
 * connection to each peer that it sends requests to. Each frame on it holds
 * one Peer__Envelope. The process that opened the connection sends pings on
 * it as heartbeats, and the peer replies to them. A connection on which
 * nothing arrives for PEER_SILENCE_TIMEOUT_NS is closed and not used again;
 * requests that were sent on it end with STATUS_UNKNOWN. The process that
 * opened a connection closes it when it has sent no request on it for
 * PEER_IDLE_TIMEOUT_NS, so that the number of connections and heartbeats does
 * not grow with the size of the fleet.
 */

#define PEER_PROTOCOL_VERSION 1
#define PEER_HEARTBEAT_INTERVAL_NS (500 * NS_PER_MS)
#define PEER_SILENCE_TIMEOUT_NS (2 * NS_PER_S)
#define PEER_IDLE_TIMEOUT_NS (2 * NS_PER_S)

enum
{
  /** Maximum size of an "IP:PORT" with the final NUL. */
  PEER_ADDRESS_BYTES_MAX = 64
};

struct peer_endpoint;

/** A connection that this process or the peer opened. */
struct peer_conn;

/** A request ended. REPLY is NULL unless STATUS is STATUS_OK. */
typedef void (*peer_request_ended) (void *data, enum status status,
                                    const Peer__Envelope *reply);

/** A request arrived from another process; peer_conn_reply sends the reply.
 * CONN is valid until the handler returns; a handler that replies later has to
 * hold a reference from peer_conn_ref. */
typedef void (*peer_request_received) (void *data, struct peer_conn *conn,
                                       const Peer__Envelope *request);

/** Accepts requests from peers and sends requests to them. */
struct peer_endpoint
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  uv_timer_t timer;
  const struct clock *clock;
  struct log *log;
  peer_request_received handler;
  void *handler_data;
  uint64_t incarnation;
  /** Configuration revision sent in each envelope; may be NULL. */
  const uint64_t *config_revision;
  uint64_t last_request_id;
  void *outgoing_conns; /**< Hash table from address to struct peer_conn. */
  struct list conns;    /**< All open connections, in both directions. */
  bool listening;
  bool finished;
  uint64_t received_bytes;
  uint64_t sent_bytes;
};

/** Listen at ADDRESS, an "IP:PORT". */
enum status peer_endpoint_init (struct peer_endpoint *endpoint,
                                uv_loop_t *loop, const struct clock *clock,
                                struct log *log, const char *address,
                                uint64_t incarnation,
                                const uint64_t *config_revision,
                                peer_request_received handler, void *data,
                                struct error *error);

/** Close all connections; pending requests end with STATUS_CANCELLED. */
void peer_endpoint_finish (struct peer_endpoint *endpoint);

/** The TCP port on which ENDPOINT listens. */
unsigned peer_endpoint_port (const struct peer_endpoint *endpoint);

/** Send REQUEST, whose body the caller has set, to the process at ADDRESS.
 * DONE is called once, never from inside this function: with STATUS_OK if the
 * reply arrived; with STATUS_UNAVAILABLE if the request certainly did not
 * arrive; with STATUS_UNKNOWN if the request may have arrived; with
 * STATUS_TIMEOUT if no reply arrived within TIMEOUT_NS, although the request
 * may have; with STATUS_CANCELLED if ENDPOINT is finished first. */
void peer_endpoint_request (struct peer_endpoint *endpoint,
                            const char *address, Peer__Envelope *request,
                            int64_t timeout_ns, peer_request_ended done,
                            void *data);

/** Send the reply to the request with REQUEST_ID that arrived on CONN. Does
 * nothing if the connection is closed. */
void peer_conn_reply (struct peer_conn *conn, uint64_t request_id,
                      Peer__Envelope *reply);

struct peer_conn *peer_conn_ref (struct peer_conn *conn);
void peer_conn_unref (struct peer_conn *conn);

#endif
