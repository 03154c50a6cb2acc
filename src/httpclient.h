#ifndef HTTPCLIENT_H
#define HTTPCLIENT_H

#include "list.h"
#include "status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/** @file
 * HTTP/1.1 calls to numeric addresses on libuv. Connections are kept for a
 * while and used again, unless anything but one whole response came.
 *
 * A response that httpresponse does not allow ends its call with
 * STATUS_UNKNOWN. h2o's client lets some of them pass, and ends the process
 * for others.
 *
 * A call that is not cancelled ends with exactly one final callback, which
 * never comes from inside httpclient_call.
 */

struct httpclient
{
  uv_loop_t *loop;
  uint64_t io_timeout_ms;
  void *pools; /**< Hash table from "IP:PORT" to lists of idle connections. */
  struct list conns; /**< All connections. */
  struct list calls; /**< Calls in flight. */
  unsigned call_count;
};

struct httpclient_header
{
  const char *name;
  size_t name_size;
  const char *value;
  size_t value_size;
};

struct httpclient_response_head
{
  int status;
  const struct httpclient_header *headers;
  size_t header_count;
};

/** How far a call has come. */
enum httpclient_stage
{
  HTTPCLIENT_CONNECTING,
  HTTPCLIENT_SENT,     /**< No byte of the response has arrived. */
  HTTPCLIENT_REPLYING, /**< Some bytes of the response have arrived. */
};

/** How a call ended. */
struct httpclient_result
{
  /** STATUS_OK: the whole response arrived. STATUS_UNAVAILABLE: no byte of
   * the request was sent. STATUS_UNKNOWN: the connection failed after the
   * request may have been sent. */
  enum status status;
  /** Reason of the failure; NULL if status is STATUS_OK. */
  const char *message;
  enum httpclient_stage stage;
};

struct httpclient_ops
{
  void (*head_received) (void *data,
                         const struct httpclient_response_head *head);
  void (*body_received) (void *data, const char *bytes, size_t size);
  void (*ended) (void *data, const struct httpclient_result *result);
};

struct httpclient_request
{
  const char *address; /**< Numeric IPv4 address "IP:PORT". */
  const char *method;
  const char *path; /**< Path with the query. */
  /** Additional header lines, each "name: value\r\n"; may be NULL. */
  const char *header_lines;
  const char *body;
  size_t body_size;
  /** Whether to open a new connection instead of reusing an idle one: only a
   * connection that was just established is known to work. */
  bool new_connection;
};

struct httpclient_call;

/** @param io_timeout_ms Maximum time that the connection of a call may be
 * idle. */
void httpclient_init (struct httpclient *client, uv_loop_t *loop,
                      uint64_t io_timeout_ms);

/** Cancel all calls in flight. */
void httpclient_finish (struct httpclient *client);

/** Start a call. The strings of REQUEST are copied. */
struct httpclient_call *
httpclient_call (struct httpclient *client,
                 const struct httpclient_request *request,
                 const struct httpclient_ops *ops, void *data);

/** Cancel CALL and close its connection. No further callback follows. */
void httpclient_cancel (struct httpclient_call *call);

/** Whether any byte of the request may have been sent. */
bool httpclient_may_have_sent (const struct httpclient_call *call);

enum httpclient_stage
httpclient_call_stage (const struct httpclient_call *call);

/** Copy the value of the header NAME, NUL-terminated, into BUFFER. The name
 * is matched case-insensitively. @return BUFFER, or NULL if the response
 * has no such header. */
const char *
httpclient_header_value (const struct httpclient_response_head *head,
                         const char *name, char *buffer, size_t size);

#endif
