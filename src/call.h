#ifndef CALL_H
#define CALL_H

#include "responseowner.h"
#include "statement.h"

#include <stdbool.h>
#include <stdint.h>

/** @file
 * A caller's request and a backend server's response in a form that does not
 * depend on the platform's header fields. Strings point into the message that
 * they were read from.
 */

enum
{
  /** Maximum size of a host name in bytes, including the final NUL. */
  CALL_HOST_MAX = 256,
  CALL_PATH_MAX = 2048,
  CALL_BLOCKS_MAX = 32, /**< Maximum number of blocks of one prompt; further
                           blocks are ignored. */
  /** Maximum number of servers that are known to have refused a request. */
  CALL_REFUSALS_MAX = 8
};

/** The servers that have refused a request, by the hashes of their ids. A
 * server that gets a request again under its id may repeat its refusal and run
 * the request. */
struct call_refusals
{
  uint32_t servers[CALL_REFUSALS_MAX];
  unsigned count;
};

/** A block of a prompt that other requests may share. */
struct call_block
{
  uint64_t id;
  unsigned tokens;
};

/** A request from a caller. */
struct call
{
  const char *request_id; /**< Request id that the caller sent; NULL if it sent
                             none. */
  const char *api_key;    /**< API key of the organisation; NULL if the caller
                             sent none. */
  const char *model;      /**< Name of the model; NULL for a plain service. */
  char host[CALL_HOST_MAX];
  char path[CALL_PATH_MAX]; /**< Path of the request target, without the query.
                             */
  int64_t timeout_ns; /**< Timeout that the caller set; -1 if it set none. */
  unsigned prompt_tokens;
  unsigned output_tokens; /**< Maximum number of tokens to generate. */
  struct call_block blocks[CALL_BLOCKS_MAX];
  unsigned block_count;
  /** Whether the caller resumes a stream that was interrupted. */
  bool resumes;
  /** Id of the request that brought the caller the first event of the stream
   * that it resumes; NULL if the caller does not tell. */
  const char *resumed_id;
  uint64_t last_event_id; /**< Id of the last event that the caller has
                              received. */
  /** Attempts that may have run the request before another host passed it on;
   * means nothing in a caller's own request. */
  unsigned earlier_runs;
  /** Version of the configuration by which the other host has routed it; 0 if
   * it states none. */
  uint64_t config_version;
  /** Servers that refused the request before another host passed it on; the
   * same holds. */
  struct call_refusals refusals;
};

/** The header fields that are added to a caller's request when it is sent to
 * a backend server. */
struct attempt_header
{
  const char *server_id; /**< Id of the server that the request is sent to; any
                            other server refuses the request. */
  const char *organisation; /**< Name of the organisation; NULL if the route
                               needs no API key. */
  int64_t time_left_ns;     /**< Time left until the request's deadline. */
  unsigned priority;        /**< Priority from 0, the most urgent, to 9. */
  bool has_priority;
  /** Scope within which cached blocks may be shared. */
  const char *cache_scope;
  /** For each block, the address of the store that the server fetches the
   * block from, or saves the block to after computing it; NULL if there is
   * none. */
  const char *fetch_addresses[CALL_BLOCKS_MAX];
  const char *save_addresses[CALL_BLOCKS_MAX];
  unsigned block_count;
  uint64_t fetch_deadline_ms; /**< Deadline of the fetches by the engines'
                                 clock; 0 if there is none. */
  /** Weight version that the engine must have to accept the request; 0 if
   * any version will do. */
  uint64_t weight_version;
  bool resumes; /**< Whether the server is asked to resume the stream after
                   `last_event_id`. */
  uint64_t last_event_id; /**< Id of the last event of the stream that was
                             received so far. */
};

/** The header fields that are set when a caller's request is passed on to
 * another host. */
struct pass_on_header
{
  int64_t time_left_ns;  /**< Time left until the request's deadline. */
  unsigned earlier_runs; /**< Attempts that may have run the request. */
  struct call_refusals refusals; /**< Servers that refused it. */
  uint64_t config_version; /**< Version of the configuration by which this host
                              has routed it; 0 if unknown. */
  bool resumes; /**< Whether the host is asked to resume the stream, which this
                   request began, after `last_event_id`. */
  uint64_t last_event_id;
};

/** The decoded head of a backend server's response. Unless `owner` is
 * RESPONSE_OWN, only the status is decoded. */
struct response
{
  int status;
  enum response_owner owner;
  bool success;             /**< Whether the status is 2xx. */
  bool from_backend_server; /**< Whether a backend server made the response,
                  not an intermediary. */
  /** Whether another host states that it did not run the request. */
  bool refused_by_host;
  /** Servers that refused the request of that host. */
  struct call_refusals refusals;
  /** Whether the server states that it did not run the request. */
  bool not_run;
  bool other_server;  /**< Whether another server has the address now. */
  bool other_weights; /**< Whether the server states that it has another weight
                         version than the request requires. */
  bool is_event_stream; /**< Whether the body may be a text/event-stream: its
                           type is that, or is not stated. */
  bool encoded; /**< Whether the body has a content encoding, which servers
                   never use. */
  bool has_load;
  unsigned running_requests;
  unsigned waiting_requests;
  unsigned slots;
  /** Whether the server states how long work takes there now. */
  enum statement_kind slowness_kind;
  double slowness; /**< Time that work takes, as a multiple of the usual time;
                      valid if slowness_kind is STATEMENT_VALID. */
  /** Requests per second that the server takes from all hosts together;
   * negative if it states no limit. */
  double limit_per_s;
  bool limit_malformed;    /**< Whether the stated limit can't be parsed. */
  uint64_t weight_version; /**< The server's weight version; 0 if the response
                              does not state it. */
  struct statement statement;
};

#endif
