#ifndef CALLERSERVER_H
#define CALLERSERVER_H

#include "bytebudget.h"
#include "clock.h"
#include "list.h"
#include "status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/** @file
 * A listener for callers and the connections that it has accepted.
 */

struct callerconn;

struct callerconn_limits
{
  size_t header_bytes;
  size_t body_bytes;
  /** Timeout for receiving the head of a request, from its first byte. */
  int64_t header_timeout_ns;
  /** Time after which a connection without a request is closed. */
  int64_t idle_timeout_ns;
};

struct callerserver_ops
{
  /** A whole request has arrived. The owner must send exactly one
   * response. */
  void (*request_received) (void *data, struct callerconn *conn);
  /** The caller disconnected before its response was complete. */
  void (*disconnected) (void *data, struct callerconn *conn);
  /** The connection refused a request before the request was received
   * whole. */
  void (*request_refused) (void *data, struct callerconn *conn, int status,
                           const char *reason);
  /** The connection closes although bytes of a complete response wait to be
   * sent, or to be acknowledged by the caller. NULL: not reported.
   * @param reason as in callerconn.end_reason */
  void (*response_unsent) (void *data, struct callerconn *conn,
                           const char *reason, size_t unsent,
                           size_t unacknowledged);
};

struct callerserver
{
  uv_loop_t *loop;
  const struct clock *clock;
  uv_tcp_t listener;
  struct callerconn_limits limits;
  const struct callerserver_ops *ops;
  void *data;
  struct list conns;
  size_t conn_count;
  /** Total size of the request bodies and pipelined bytes of all
   * connections. */
  size_t buffered_bytes;
  /** Limit of buffered_bytes; requests that exceed it are refused with 503. */
  size_t buffered_bytes_max;
  /** Responses that wait to be sent. */
  struct bytebudget unsent;
  /** Whether each response closes its connection. */
  bool draining;
  bool listening;
};

enum status callerserver_init (struct callerserver *server, uv_loop_t *loop,
                               const struct clock *clock, const char *ip,
                               uint16_t port,
                               const struct callerserver_ops *ops, void *data,
                               struct error *error);

/** Close the listener and all connections. */
void callerserver_finish (struct callerserver *server);

/** Close idle connections and, from now on, each other connection after its
 * next response. New connections are still accepted; one that had no request
 * yet may send one within a second. */
void callerserver_drain (struct callerserver *server);

/** Accept no more connections than those that are established. */
void callerserver_stop_listening (struct callerserver *server);

#endif
