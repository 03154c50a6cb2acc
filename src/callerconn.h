#ifndef CALLERCONN_H
#define CALLERCONN_H

#include "callerserver.h"
#include "httpcheck.h"
#include "httpfields.h"

#include <http_parser.h>
#include <stdint.h>
#include <uv.h>

/** @file
 * Connections of callers. HTTP/1.1 requests are received whole, one at a
 * time, within limits on size and time. A response is sent at once or streamed
 * in chunks. Reading continues while a request is served, so that a disconnect
 * of the caller is detected.
 */

struct callerconn
{
  struct list node;
  struct callerserver *server;
  uv_tcp_t tcp;
  uv_timer_t timer;
  struct httpcheck check;
  http_parser parser;
  GString *target; /**< Path and query of the request. */
  struct httpfields head;
  bool has_head; /**< Whether the head has arrived; fields that follow are
                    trailer fields, which are not used. */
  GByteArray *body;
  GByteArray *pipelined; /**< Bytes received after the current request. */
  /** Number of bytes that this connection adds to
   * callerserver.buffered_bytes. */
  size_t counted_bytes;
  size_t counted_unsent; /**< The same for callerserver.unsent. */
  /** Time at which the first byte of the request arrived, or 0. */
  int64_t arrived_ns;
  /** Whether a received request has no complete response yet. */
  bool serving;
  /** Whether the streamed response has chunked encoding. */
  bool chunked;
  bool keep_alive;
  /** Whether the connection closes once all output is sent. */
  bool shutting_down;
  bool closing;
  bool is_fresh; /**< Whether no byte of a request has arrived ever. */
  bool aborted;  /**< Whether the owner ended a response before its end. */
  /** Why the connection closes: the caller closed it (caller_left) or reset it
   * (caller_reset), read too slowly (caller_slow), bytes could not be written
   * (write_failed), it was idle, its last response has ended, or the server
   * stops. */
  const char *end_reason;
  /** Number of open libuv handles. Closing the last one frees the
   * connection. */
  unsigned open_handles;
  char caller_ip[INET6_ADDRSTRLEN + 8];
  /** Data that the server's owner attaches to the request in flight. If NULL,
   * a disconnect is not reported. */
  void *owner_data;
};

/** Accept a connection of SERVER.
 * @param fd its socket; -1: the next one of the listener */
void callerconn_accept (struct callerserver *server, int fd);

/** Close the connection if no byte of a request has arrived since the last
 * response. If it had no request yet, one may still arrive within a second:
 * its caller has no response that says that the connection is kept. */
void callerconn_drain (struct callerconn *conn);

const char *callerconn_method (const struct callerconn *conn);

/** Send a complete response.
 * @param lines Additional header lines, each "Name: value\r\n", or "". */
void callerconn_respond (struct callerconn *conn, int status,
                         const char *lines, const char *body, size_t size);

/** Start a streamed response of unknown length.
 * @param lines Additional header lines, each "Name: value\r\n", or "". */
void callerconn_stream_begin (struct callerconn *conn, int status,
                              const char *lines);

/** Append SIZE bytes to the streamed response. If the caller reads too slowly,
 * the event loop closes the connection later and reports a disconnect. */
void callerconn_stream_write (struct callerconn *conn, const char *bytes,
                              size_t size);

/** End the streamed response as complete. */
void callerconn_stream_end (struct callerconn *conn);

/** Close the connection immediately, so that the caller detects an incomplete
 * response. No disconnect is reported. */
void callerconn_abort (struct callerconn *conn);

#endif
