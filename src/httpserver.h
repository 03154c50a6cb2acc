#ifndef HTTPSERVER_H
#define HTTPSERVER_H

#include "status.h"

#include <h2o.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * An HTTP server on h2o and libuv: one handler gets every request whole; a
 * response is sent at once or streamed piece by piece. A caller that goes
 * away before its final answer is reported through the `gone` callback.
 */

struct httpserver;
struct httpserver_request;

struct httpserver_limits
{
  size_t body_bytes;   /**< Larger requests get 413. */
  uint64_t request_ms; /**< Time for a caller to send its request. */
};

typedef void (*httpserver_handler) (void *data,
                                    struct httpserver_request *request);

struct httpserver
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  uv_timer_t gone_timer;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept_context;
  httpserver_handler handler;
  void *handler_data;
  struct httpserver_request *open; /**< requests without a final answer */
  size_t connection_count;
  bool listening;
};

struct httpserver_header
{
  const char *name; /**< lower case */
  const char *value;
};

/** Listen at the numeric ADDRESS "IP:PORT"; port 0 takes a free one. */
enum status httpserver_init (struct httpserver *server, uv_loop_t *loop,
                             const char *address,
                             const struct httpserver_limits *limits,
                             httpserver_handler handler, void *data,
                             struct error *error);

/** Take no more connections; those open go on. */
void httpserver_stop_listening (struct httpserver *server);

/** Release what is left; call once the loop no longer runs requests. */
void httpserver_finish (struct httpserver *server);

/** The port that the server listens on. */
unsigned httpserver_port (const struct httpserver *server);

/** Method, path without query, query without '?': NUL-terminated, owned by
 * the request. */
const char *httpserver_request_method (struct httpserver_request *request);
const char *httpserver_request_path (struct httpserver_request *request);
const char *httpserver_request_query (struct httpserver_request *request);

/** The value of the header NAME (lower case), or NULL. */
const char *httpserver_request_header (struct httpserver_request *request,
                                       const char *name);

/** Bytes of all names and values of the request's header. */
size_t httpserver_request_header_size (struct httpserver_request *request);

const char *httpserver_request_body (struct httpserver_request *request,
                                     size_t *size);

/** Report once if the caller goes away before the final answer; REQUEST must
 * not be used afterwards. */
void httpserver_request_on_gone (struct httpserver_request *request,
                                 void (*gone) (void *data), void *data);

/** The final answer at once; REQUEST must not be used afterwards. */
void httpserver_respond (struct httpserver_request *request, int status,
                         const char *content_type,
                         const struct httpserver_header *headers,
                         size_t header_count, const char *body, size_t size);

/** Begin a streamed answer. */
void httpserver_stream_begin (struct httpserver_request *request, int status,
                              const char *content_type,
                              const struct httpserver_header *headers,
                              size_t header_count);

/** Append bytes to the stream; they are copied. */
void httpserver_stream_write (struct httpserver_request *request,
                              const char *bytes, size_t size);

/** The final answer is whole (COMPLETE) or is cut off so that the caller
 * sees a broken transfer; REQUEST must not be used afterwards. */
void httpserver_stream_end (struct httpserver_request *request, bool complete);

#endif
