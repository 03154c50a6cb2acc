#ifndef REQUEST_H
#define REQUEST_H

#include "admit.h"
#include "grantrequest.h"
#include "block.h"
#include "blockindex.h"
#include "clock.h"
#include "config.h"
#include "engine.h"
#include "httpserver.h"
#include "list.h"
#include "load.h"
#include "relay.h"
#include "retry.h"
#include "requeststate.h"
#include "poison-gateway.h"

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>

/** @file
 * One request of a caller, which the gateway's filters process one after
 * another. Each filter returns pass, wait or finish; after a filter that
 * waits, request_continue runs the next one.
 */

struct gateway;
struct request;

enum
{
  REQUEST_ID_MAX = 33,
  /** Largest number of backend servers that one request is sent to, including
   * those that refused the connection; retry.h limits the number of
   * servers to which a byte was sent. */
  REQUEST_BACKENDS_MAX = 2 + RETRY_NOT_SENT_MAX
};

enum request_type
{
  REQUEST_COMPLETION,
  REQUEST_SERVICE,
  REQUEST_TYPE_COUNT
};

enum filter_result
{
  FILTER_PASS,    /**< The next filter runs. */
  FILTER_WAIT,    /**< request_continue is called later. */
  FILTER_FINISHED /**< The request has ended. */
};

typedef enum filter_result (*request_filter) (struct request *request);

/** An error response that the gateway itself sends. It does not tell whether
 * the request may have run; that follows from the request's state. */
struct refusal
{
  int http_status;
  const char *code; /**< Stable name of the error. */
  const char *message;
  int64_t retry_after_ns; /**< Time after which the caller may retry; 0 if a
                             retry does not help. */
};

/** An attempt: sending a request to one backend server once. */
struct attempt
{
  struct engine_stream *stream; /**< Stream that the attempt's response arrives
                                   on; NULL if none is open. */
  uint64_t backend_id;          /**< Id of the backend server. */
  unsigned number; /**< Number of the attempt, as requeststate_begin_attempt
                      returned it. */
  uint64_t engine_incarnation; /**< Incarnation that the engine had when it was
                                  chosen. */
  int64_t last_byte_ns; /**< Time of the last byte from the backend server. */
  bool has_body;  /**< Whether a byte of the response's body was received. */
  bool is_stream; /**< Whether the response is an event stream. */
  bool resumed;   /**< Whether the stream was resumed after its connection was
                     lost. */
  bool silent;    /**< Whether the connection was closed because no byte was
                     received for too long. */
  bool not_run;   /**< Whether the backend server reported that it did not run
                     the request. */
  int http_status;
  char content_type[64];
};

struct request
{
  struct list node; /**< Position in the gateway's list of requests. */
  struct list admitted_node; /**< Position in the gateway's list of admitted
                                requests that are not continued yet. */
  struct gateway *gateway;
  struct httpserver_request *http; /**< HTTP request of the caller; NULL once
                                      the response was sent or the caller
                                      disconnected. */
  const request_filter *filter;    /**< The filter that runs or waits. */
  uint64_t serial; /**< Number of the request, unique in the gateway. */
  char id[REQUEST_ID_MAX];
  int64_t received_ns;
  int64_t deadline_ns;

  /* Set by auth_filter. */
  struct config *config;
  const struct declaration *organisation;

  /* Set by classify_filter. */
  enum request_type type;
  const struct declaration *kind;
  const struct declaration *model;
  const struct declaration *service;
  const char *adapter;
  int priority;
  bool wants_stream; /**< Whether the caller wants an event stream. */
  bool idempotent;
  bool status_lookup;
  char *method;
  char *path;            /**< Path of the request at the backend server. */
  char *idempotency_key; /**< Idempotency key; NULL if there is none. */
  char *content_type;    /**< Content type of the body; NULL if not given. */
  char *body;            /**< Body as received. */
  size_t body_size;
  struct json_object *json; /**< Parsed body. */
  char *prompt;
  size_t prompt_size;
  int64_t prompt_tokens;
  int64_t max_tokens;

  /* Set by lookup_filter. */
  struct block_scope scope;
  struct block_id blocks[BLOCKINDEX_BLOCKS_MAX];
  size_t block_count;
  struct blockindex_match match;
  int64_t lookup_sent_ns; /**< Time at which the lookup of cached blocks was
                             sent to the shard. */

  /* Set by poisonguard_filter and grant_filter. */
  struct poison_run poison_check;
  bool attempt_permitted; /**< Whether the poison-request check permits the
                             next attempt. */
  bool run_alone; /**< Whether the request must run on a backend server that
                     runs nothing else. */
  struct grantrequest *grant; /**< Grant request; NULL if none is open. */

  /* Set by admission_filter and dispatch_filter. */
  struct requeststate state;
  struct admit_request admission;
  struct retry_request retry;
  struct relay relay;
  struct attempt attempt;
  struct load_request load;
  uint64_t tried_backends[REQUEST_BACKENDS_MAX]; /**< Ids of the backend
                                                    servers of all attempts. */
  unsigned tried_backend_count;
  enum retry_action next_action; /**< Action that the gateway takes for the
                                    request at next_action_ns. */
  int64_t next_action_ns; /**< Time at which next_action is taken; CLOCK_NEVER
                             if there is none. */
  bool response_started; /**< Whether the head of a streamed response was sent.
                          */
  int64_t first_byte_ns; /**< Time of the first byte of the response's body; 0
                            if none was received yet. */
  int64_t cached_tokens;
  int64_t imported_tokens;
  int64_t computed_tokens;
  uint32_t planned_blocks; /**< Number of blocks that placement expected to be
                              cached on the engine. */
  char *held_body;         /**< Request body of an attempt that is sent at
                              held_until_ns; NULL if there is none. */
  int64_t held_until_ns;
  GString *response_body;  /**< Body of a response that is not streamed. */
  bool response_too_large; /**< Whether the backend server's response was too
                              large to buffer. */
  bool filters_running;
  bool finished;
};

/** Create a request for HTTP, which GATEWAY received, and run its filters. */
void request_begin (struct gateway *gateway, struct httpserver_request *http,
                    enum request_type type, const char *path);

/** Return a weak handle of REQUEST for a callback that may be called after the
 * request's end. The caller frees the handle with g_free. */
void *request_handle_new (const struct request *request);

/** Return the request of HANDLE, or NULL if the request has ended. */
struct request *request_from_handle (const void *handle);

/** Free the parsed body and the prompt of REQUEST, of which nothing will be
 * sent any more. */
void request_free_prompt (struct request *request);

/** Continue REQUEST after a filter that returned FILTER_WAIT: run the next
 * filters. */
void request_continue (struct request *request);

/** End REQUEST with the error response REFUSAL; the outcome follows from the
 * request's state. */
void request_fail (struct request *request, const struct refusal *refusal);

/** End REQUEST with the error response REFUSAL and with OUTCOME, which its
 * state must allow. */
void request_end_with_error (struct request *request,
                             enum requeststate_outcome outcome,
                             const struct refusal *refusal);

/** End REQUEST with OUTCOME without sending a response.
 * @param code the error code for logs and metrics; "" if there is none. */
void request_end_without_response (struct request *request,
                                   enum requeststate_outcome outcome,
                                   const char *code);

/** End REQUEST after the backend server's whole response was sent to the
 * caller. */
void request_complete (struct request *request);

/** End REQUEST without a response: the caller disconnected or the gateway
 * stops. */
void request_cancel (struct request *request);

#endif
