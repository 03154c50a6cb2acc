#ifndef ENGINE_H
#define ENGINE_H

#include "status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * Interface to engines: a table of function pointers that an implementation
 * fills in. A function that takes a callback calls it exactly once, and never
 * before the function has returned. The status passed to the callback is
 * STATUS_UNAVAILABLE if the request certainly did not arrive, and
 * STATUS_UNKNOWN if it may have. Strings passed to a callback are valid until
 * it returns.
 */

struct engine_version
{
  const char *model;
  const char *version;
  const char *adapter; /**< Name of the adapter; "" if there is none. */
};

struct engine_load
{
  uint64_t incarnation; /**< Incarnation of the engine; a different value shows
                           a restart. */
  uint64_t sequence;    /**< Sequence number of the load report. */
  bool leaving;         /**< Whether the engine is leaving. */
  uint32_t running;     /**< Number of requests that the engine executes. */
  uint32_t queued;      /**< Number of requests in the engine's queue. */
  int64_t queued_tokens;
  double prefill_tokens_per_s;
  const char *role;
  const struct engine_version *versions;
  size_t version_count;
};

struct engine_event
{
  uint64_t sequence;
  bool stored; /**< Whether the block was cached (true) or evicted (false). */
  const char *block;
};

struct engine_events
{
  /** Sequence number of the oldest event that the engine still has; if it is
   * greater than next_expected, events were lost. */
  uint64_t first;
  uint64_t next_expected; /**< Sequence number of the first event that was
                             requested: AFTER of get_events plus 1. */
  uint64_t next; /**< Sequence number of the first event that is newer than the
                    reply. */
  const struct engine_event *events;
  size_t count;
};

struct engine_listing
{
  uint64_t next; /**< Sequence number of the first event that is newer than
                      the listing. */
  const char *const *blocks;
  size_t count;
};

struct engine_export_order
{
  const char *block;
  const char *url;
  uint64_t generation;
};

struct engine_export_result
{
  uint64_t length;
  const char *checksum;
};

/** A command to an engine. The engine accepts a repeated order with the same
 * id without executing it again. */
struct engine_order
{
  const char *id;
  uint64_t fencing_token;
  const char *kind; /**< Kind of the order: "load", "unload" or "role". */
  const char *model;
  const char *version;
  const char *adapter;
  const char *role;
};

typedef void (*engine_load_done) (void *data, enum status status,
                                  const struct engine_load *load);
typedef void (*engine_events_done) (void *data, enum status status,
                                    const struct engine_events *events);
typedef void (*engine_listing_done) (void *data, enum status status,
                                     const struct engine_listing *listing);
/** STATUS is STATUS_NOT_FOUND if the block is no longer cached. */
typedef void (*engine_export_done) (
    void *data, enum status status,
    const struct engine_export_result *exported);
/** STATUS is STATUS_STALE if the engine has seen a higher fencing token. */
typedef void (*engine_order_done) (void *data, enum status status,
                                   uint64_t highest_fencing_token);

/** Parsed status line and headers of a backend server's response. */
struct engine_response_head
{
  int http_status;
  bool not_run; /**< Whether the server states that it did not execute the
                   request. */
  bool is_event_stream; /**< Whether the body is an event stream. */
  int64_t cached_tokens;
  int64_t imported_tokens;
  int64_t computed_tokens;
  const char *version;
  const char *content_type;
};

struct engine_stream_ops
{
  void (*head_received) (void *data, const struct engine_response_head *head);
  void (*bytes_received) (void *data, const char *bytes, size_t size);
  /** The call ended. STATUS_OK: the HTTP response is complete; the caller must
   * still check that the body ends with the end mark of its format.
   * STATUS_UNAVAILABLE: no byte of the request was sent. STATUS_UNKNOWN: the
   * server may have executed the request. */
  void (*ended) (void *data, enum status status, const char *message);
};

/** A call to a backend server. Its response is passed to the callbacks as it
 * arrives. */
struct engine_call
{
  const char *address; /**< Address "IP:PORT" of the server. */
  const char *method;
  const char *path;
  const char *header_lines; /**< Complete header lines; may be NULL. */
  const char *body;
  size_t body_size;
  bool new_connection_only; /**< Whether the call must use a connection that
                               was established for it. */
};

struct engine_stream;
struct engineclient;

struct engine_ops
{
  /** Query the load of the engine at ADDRESS.
   * @param fresh whether to establish a new connection, which shows whether
   * the engine is reachable. */
  void (*get_load) (struct engineclient *client, const char *address,
                    bool fresh, engine_load_done done, void *data);
  void (*get_events) (struct engineclient *client, const char *address,
                      uint64_t after, engine_events_done done, void *data);
  void (*get_listing) (struct engineclient *client, const char *address,
                       engine_listing_done done, void *data);
  void (*export_block) (struct engineclient *client, const char *address,
                        const struct engine_export_order *export_order,
                        engine_export_done done, void *data);
  void (*send_order) (struct engineclient *client, const char *address,
                      const struct engine_order *order, engine_order_done done,
                      void *data);
  /** Send an order to cancel the request with id REQUEST. There is no callback
   * and no retry. */
  void (*send_cancel) (struct engineclient *client, const char *address,
                       const char *request);
  struct engine_stream *(*open_stream) (struct engineclient *client,
                                        const struct engine_call *call,
                                        const struct engine_stream_ops *ops,
                                        void *data);
  /** Close the connection of STREAM. No callback is called afterwards. */
  void (*stream_close) (struct engine_stream *stream);
  /** Whether a byte of the request may have been sent. */
  bool (*stream_may_have_sent) (const struct engine_stream *stream);
};

/** An engine client. Each implementation's struct has it as first member. */
struct engineclient
{
  const struct engine_ops *ops;
};

#endif
