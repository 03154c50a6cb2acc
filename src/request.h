#ifndef REQUEST_H
#define REQUEST_H

#include "admit.h"
#include "ask.h"
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
#include "settle.h"
#include "suspect-gate.h"

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>

/** @file
 * One request of a caller: the typed value that the gateway's filters pass
 * down. Each filter answers pass, wait or finish; a filter that waits calls
 * request_resume later.
 */

struct gateway;
struct request;

enum
{
  REQUEST_ID_MAX = 33,
  /** Backend servers of one request at most, those that refused the
   * connection included; retry.h limits those that were handed a byte. */
  REQUEST_TRIED_MAX = 2 + RETRY_NOT_SENT_MAX
};

enum request_type
{
  REQUEST_COMPLETION,
  REQUEST_SERVICE,
  REQUEST_TYPE_COUNT
};

enum verdict
{
  VERDICT_PASS,
  VERDICT_WAIT,
  VERDICT_FINISH
};

typedef enum verdict (*request_filter) (struct request *request);

/** A final answer other than the backend server's own. Whether the request
 * may have run is not part of it: its state tells. */
struct refusal
{
  int http_status;
  const char *code; /**< stable */
  const char *message;
  int64_t retry_after_ns; /**< 0: asking again does not help */
};

/** One try at a backend server. */
struct attempt
{
  struct engine_stream *stream; /**< NULL: none is open */
  uint64_t backend;
  unsigned number;      /**< as settle counts */
  uint64_t incarnation; /**< of the engine when it was chosen */
  int64_t heard_ns;     /**< last byte from the backend server */
  bool streamed;
  bool resumed; /**< the stream goes on after a cut */
  bool silent;  /**< its connection was condemned */
  bool not_run; /**< the backend server says that it did not start */
  int http_status;
  char content_type[64];
};

struct request
{
  struct list node;     /**< on the gateway's list */
  struct list starting; /**< on the gateway's list of those to start */
  struct gateway *gateway;
  struct httpserver_request *http; /**< NULL: answered, or the caller left */
  const request_filter *filter;    /**< the one that runs or waits */
  uint64_t serial;                 /**< in the gateway */
  char id[REQUEST_ID_MAX];
  int64_t received_ns;
  int64_t deadline_ns;

  /* auth */
  struct config *config;
  const struct declaration *organisation;

  /* classify */
  enum request_type type;
  const struct declaration *kind;
  const struct declaration *model;
  const struct declaration *service;
  const char *adapter;
  int priority;
  bool stream;
  bool idempotent;
  bool status_lookup;
  char *method;
  char *path;         /**< at the backend server */
  char *key;          /**< of idempotency; NULL: none */
  char *content_type; /**< of the body; NULL: none was given */
  char *body;         /**< as received */
  size_t body_size;
  struct json_object *json;
  char *prompt;
  size_t prompt_size;
  int64_t prompt_tokens;
  int64_t max_tokens;

  /* lookup */
  struct block_scope scope;
  struct block_id blocks[BLOCKINDEX_BLOCKS_MAX];
  size_t block_count;
  struct blockindex_match match;
  int64_t asked_ns; /**< when the shard was asked */

  struct poison_run suspect;
  bool cleared;    /**< the next attempt may run */
  bool alone;      /**< on a backend server that runs nothing else */
  struct ask *ask; /**< for a grant; NULL: none is open */

  /* dispatch */
  struct settle settle;
  struct admit_request admit;
  struct retry_request retry;
  struct relay relay;
  struct attempt attempt;
  struct load_request load;
  uint64_t tried[REQUEST_TRIED_MAX];
  unsigned tried_count;
  enum retry_action next; /**< what to do at NEXT_NS */
  int64_t next_ns;        /**< CLOCK_NEVER: nothing */
  bool answer_started;
  int64_t first_piece_ns;
  int64_t cached_tokens;
  int64_t imported_tokens;
  int64_t computed_tokens;
  uint32_t planned_pieces; /**< that placement counted on in the engine */
  char *held_body;         /**< not sent yet; NULL: nothing is held */
  int64_t held_until_ns;
  GString *answer; /**< one that is not streamed */
  bool answer_cut; /**< the answer was too large to keep */
  bool in_filters;
  bool finished;
};

/** Take up a request of a caller at GATEWAY and run its filters. */
void request_begin (struct gateway *gateway, struct httpserver_request *http,
                    enum request_type type, const char *path);

/** A weak handle for a callback that may come after the request's end; free
 * it with g_free. */
void *request_handle (const struct request *request);

/** The request of HANDLE, or NULL if it has ended. */
struct request *request_find (const void *handle);

/** Nothing will be sent of REQUEST any more: let go of its long texts. */
void request_drop_prompt (struct request *request);

/** The filter that waited passes: run the next ones. */
void request_resume (struct request *request);

/** End with an answer of our own; the outcome is the true one of the
 * request's state. */
void request_refuse (struct request *request, const struct refusal *refusal);

/** End with an answer of our own and this OUTCOME, which the state allows. */
void request_end_as (struct request *request, enum settle_outcome outcome,
                     const struct refusal *refusal);

/** End with OUTCOME; the caller has been answered. */
void request_end_quietly (struct request *request, enum settle_outcome outcome,
                          const char *code);

/** End after the backend server's answer was passed on whole. */
void request_complete (struct request *request);

/** Drop everything; the caller went away. */
void request_abandon (struct request *request);

#endif
