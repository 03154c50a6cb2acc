#ifndef HTTPSERVER_H
#define HTTPSERVER_H

#include "status.h"

#include <h2o.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * An HTTP server on h2o and libuv. One handler receives every request, with
 * its whole body. A response is sent at once or streamed in chunks. If the
 * caller disconnects before its response is complete, the callback set with
 * httpserver_request_on_disconnect is called.
 */

struct httpserver;
struct httpserver_request;

struct httpserver_limits
{
  /** Maximum size of a request body; a larger one is refused with 413. */
  size_t body_bytes;
  uint64_t request_timeout_ms; /**< Timeout for receiving one request. */
};

typedef void (*httpserver_handler) (void *data,
                                    struct httpserver_request *request);

struct httpserver
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  uv_timer_t disconnect_timer;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept_context;
  httpserver_handler handler;
  void *handler_data;
  /** First request in the list of those without a complete response. */
  struct httpserver_request *open_requests;
  size_t connection_count;
  size_t unsent_count; /**< Number of requests whose response has not been sent
                          whole, those without one included. */
  bool listening;
};

struct httpserver_header
{
  const char *name; /**< Header name in lower case. */
  const char *value;
};

/** Listen on the numeric ADDRESS "IP:PORT"; port 0 selects a free port. */
enum status httpserver_init (struct httpserver *server, uv_loop_t *loop,
                             const char *address,
                             const struct httpserver_limits *limits,
                             httpserver_handler handler, void *data,
                             struct error *error);

/** Accept the connections that wait and no others. Open connections continue,
 * and each response tells its caller that the connection closes. */
void httpserver_stop_listening (struct httpserver *server);

/** Whether a request has not been answered, or its response not been sent
 * whole. */
bool httpserver_is_sending (const struct httpserver *server);

/** Stop listening and end the checks for disconnected callers. Must not be
 * called while a request is in flight. */
void httpserver_finish (struct httpserver *server);

unsigned httpserver_port (const struct httpserver *server);

/** The method, the path without the query, and the query without '?'. The
 * strings are NUL-terminated and owned by the request. */
const char *httpserver_request_method (struct httpserver_request *request);
const char *httpserver_request_path (struct httpserver_request *request);
const char *httpserver_request_query (struct httpserver_request *request);

/** The value of the header NAME, or NULL if the request has none. NAME must be
 * in lower case. */
const char *httpserver_request_header (struct httpserver_request *request,
                                       const char *name);

/** Total bytes of all header names and values of the request. */
size_t httpserver_request_header_size (struct httpserver_request *request);

const char *httpserver_request_body (struct httpserver_request *request,
                                     size_t *size);

/** Call DISCONNECTED once if the caller disconnects before the response is
 * complete. REQUEST must not be used once DISCONNECTED was called. */
void httpserver_request_on_disconnect (struct httpserver_request *request,
                                       void (*disconnected) (void *data),
                                       void *data);

/** Send a complete response; REQUEST must not be used afterwards. */
void httpserver_respond (struct httpserver_request *request, int status,
                         const char *content_type,
                         const struct httpserver_header *headers,
                         size_t header_count, const char *body, size_t size);

/** Start a response with this status and these headers, whose body follows in
 * calls of httpserver_stream_write. */
void httpserver_stream_begin (struct httpserver_request *request, int status,
                              const char *content_type,
                              const struct httpserver_header *headers,
                              size_t header_count);

/** Append a copy of SIZE bytes to the streamed response. */
void httpserver_stream_write (struct httpserver_request *request,
                              const char *bytes, size_t size);

/** End the streamed response. If COMPLETE is false, the transfer is aborted,
 * so that the caller detects a truncated response. REQUEST must not be used
 * afterwards. */
void httpserver_stream_end (struct httpserver_request *request, bool complete);

#endif
