#ifndef HTTPCLIENT_H
#define HTTPCLIENT_H

#include "list.h"
#include "status.h"

#include <h2o.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * HTTP/1.1 calls to numeric addresses through h2o's client on libuv.
 *
 * Each call answers with exactly one `end`, never from inside
 * httpclient_call, unless it is cancelled.
 */

enum
{
  HTTPCLIENT_HEADERS_MAX = 64
};

struct httpclient
{
  uv_loop_t *loop;
  h2o_http1client_ctx_t context;
  h2o_timeout_t io_timeout;
  h2o_multithread_queue_t *queue;
  h2o_multithread_receiver_t receiver;
  void *pools;       /**< hash table: address to socket pool */
  struct list calls; /**< open calls */
};

struct httpclient_header
{
  const char *name;
  size_t name_size;
  const char *value;
  size_t value_size;
};

struct httpclient_head
{
  int status;
  const struct httpclient_header *headers;
  size_t header_count;
};

/** How a call ended. */
struct httpclient_end
{
  /** STATUS_OK: the whole answer came. STATUS_UNAVAILABLE: no byte of the
   * request was handed to a connection. STATUS_UNKNOWN: the connection broke
   * after that. */
  enum status status;
  const char *message;
};

struct httpclient_ops
{
  void (*head) (void *data, const struct httpclient_head *head);
  void (*body) (void *data, const char *bytes, size_t size);
  void (*end) (void *data, const struct httpclient_end *end);
};

struct httpclient_request
{
  const char *address; /**< "IP:PORT" */
  const char *method;
  const char *path; /**< with the query */
  /** Whole lines "name: value\r\n"; may be NULL. */
  const char *header_lines;
  const char *body;
  size_t body_size;
  /** Connect anew instead of using a kept connection: a connection that was
   * just established is known to be alive. */
  bool fresh;
};

struct httpclient_call;

/** @param io_timeout_ms how long a connection may stay silent in a call */
void httpclient_init (struct httpclient *client, uv_loop_t *loop,
                      uint64_t io_timeout_ms);

/** Cancels what is open. */
void httpclient_finish (struct httpclient *client);

/** Begin a call. The strings of REQUEST are copied. */
struct httpclient_call *
httpclient_call (struct httpclient *client,
                 const struct httpclient_request *request,
                 const struct httpclient_ops *ops, void *data);

/** Close the call's connection; there is no further callback. */
void httpclient_cancel (struct httpclient_call *call);

/** Whether a byte of the request may have left on a connection. */
bool httpclient_handed_over (const struct httpclient_call *call);

/** The value of NAME (lower case) in HEAD as a NUL-terminated copy in BUFFER,
 * or NULL. */
const char *httpclient_header_value (const struct httpclient_head *head,
                                     const char *name, char *buffer,
                                     size_t size);

#endif
