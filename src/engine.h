#ifndef ENGINE_H
#define ENGINE_H

#include "status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * Backend servers of kind engine behind one table of function pointers.
 * Every asked question is answered once, never from inside the call, with
 * STATUS_UNAVAILABLE if it surely did not arrive and STATUS_UNKNOWN if it may
 * have. Strings in answers live until the callback returns.
 */

struct engine_version
{
  const char *model;
  const char *version;
  const char *adapter; /**< "" for none */
};

struct engine_load
{
  uint64_t incarnation;
  uint64_t sequence;
  bool leaving;
  uint32_t running;
  uint32_t queued;
  int64_t queued_tokens;
  double prefill_tokens_per_s;
  const char *role;
  const struct engine_version *versions;
  size_t version_count;
};

struct engine_event
{
  uint64_t sequence;
  bool stored; /**< else evicted */
  const char *block;
};

struct engine_events
{
  uint64_t first;         /**< over NEXT_EXPECTED: events were lost */
  uint64_t next_expected; /**< AFTER + 1 of the question */
  uint64_t next;
  const struct engine_event *events;
  size_t count;
};

struct engine_listing
{
  uint64_t next; /**< events from here on are newer than the listing */
  const char *const *blocks;
  size_t count;
};

struct engine_export
{
  const char *block;
  const char *url;
  uint64_t generation;
};

struct engine_exported
{
  uint64_t length;
  const char *checksum;
};

/** An order; a repeat with the same id is accepted and does nothing. */
struct engine_order
{
  const char *id;
  uint64_t fencing;
  const char *kind; /**< "load", "unload" or "role" */
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
/** STATUS_NOT_FOUND: the block is no longer cached. */
typedef void (*engine_exported_done) (void *data, enum status status,
                                      const struct engine_exported *exported);
/** STATUS_STALE: the engine has seen a higher fencing number. */
typedef void (*engine_order_done) (void *data, enum status status,
                                   uint64_t highest_fencing);

/** What an engine says before the first byte of its answer. */
struct engine_head
{
  int http_status;
  bool not_run;  /**< the engine says that it did not start */
  bool streamed; /**< the body is an event stream */
  int64_t cached_tokens;
  int64_t imported_tokens;
  int64_t computed_tokens;
  const char *version;
  const char *content_type;
};

struct engine_stream_ops
{
  void (*head) (void *data, const struct engine_head *head);
  void (*bytes) (void *data, const char *bytes, size_t size);
  /** STATUS_OK: the answer came to its end; the body must still have its
   * own end mark. STATUS_UNAVAILABLE: not handed over. STATUS_UNKNOWN. */
  void (*end) (void *data, enum status status, const char *message);
};

/** A call to a backend server whose answer is streamed. */
struct engine_call
{
  const char *address; /**< "IP:PORT" */
  const char *method;
  const char *path;
  const char *header_lines; /**< whole lines; may be NULL */
  const char *body;
  size_t body_size;
  bool fresh; /**< only on a connection that was just established */
};

struct engine_stream;
struct engineclient;

struct engine_ops
{
  /** @param fresh ask on a connection that was just established, which tells
   * whether the engine lives */
  void (*load) (struct engineclient *client, const char *address, bool fresh,
                engine_load_done done, void *data);
  void (*events) (struct engineclient *client, const char *address,
                  uint64_t after, engine_events_done done, void *data);
  void (*listing) (struct engineclient *client, const char *address,
                   engine_listing_done done, void *data);
  void (*export_block) (struct engineclient *client, const char *address,
                        const struct engine_export *order,
                        engine_exported_done done, void *data);
  void (*order) (struct engineclient *client, const char *address,
                 const struct engine_order *order, engine_order_done done,
                 void *data);
  /** Best effort; there is no answer. */
  void (*cancel) (struct engineclient *client, const char *address,
                  const char *request);
  struct engine_stream *(*call) (struct engineclient *client,
                                 const struct engine_call *call,
                                 const struct engine_stream_ops *ops,
                                 void *data);
  /** Close the connection; no further callback. */
  void (*stream_close) (struct engine_stream *stream);
  /** Whether a byte of the call may have left on a connection. */
  bool (*stream_handed_over) (const struct engine_stream *stream);
};

/** Embedded at the start of an implementation. */
struct engineclient
{
  const struct engine_ops *ops;
};

#endif
