#ifndef CALL_H
#define CALL_H

#include <stdbool.h>
#include <stdint.h>

/** @file
 * A caller's request and a backend server's response in a form that does not
 * depend on the platform's header fields. Strings point into the message that
 * they were read from.
 */

enum
{
  CALL_HOST_MAX = 256, /**< Bytes, with the final NUL. */
  CALL_PATH_MAX = 2048,
  CALL_BLOCKS_MAX = 32 /**< Blocks of one prompt; further ones are ignored. */
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
  const char *request_id; /**< NULL if the caller sent none. */
  const char *api_key;    /**< The organisation's API key; NULL if missing. */
  const char *model;      /**< NULL for plain services. */
  char host[CALL_HOST_MAX];
  char path[CALL_PATH_MAX]; /**< The path without the query. */
  int64_t timeout_ns;       /**< The caller's timeout; -1 if it sent none. */
  unsigned prompt_tokens;
  unsigned output_tokens; /**< Maximum number of tokens to generate. */
  struct call_block blocks[CALL_BLOCKS_MAX];
  unsigned block_count;
  bool resumes;           /**< The caller resumes a stream that broke off. */
  uint64_t last_event_id; /**< Id of the last event that the caller has
                              received. */
};

/** The header fields that are added to a caller's request when it is sent to
 * a backend server. */
struct attempt_header
{
  const char *server_id;    /**< Any other server refuses the request. */
  const char *organisation; /**< NULL if the route needs no API key. */
  int64_t time_left_ns;     /**< Time left until the request's deadline. */
  unsigned priority;        /**< 0 to 9; 0 is the most urgent. */
  bool has_priority;
  const char *cache_scope; /**< Cached blocks are shared only within it. */
  /** Addresses of the stores that the server fetches each block from, or
   * saves it to once it has computed it; NULL: none. */
  const char *fetch_addresses[CALL_BLOCKS_MAX];
  const char *save_addresses[CALL_BLOCKS_MAX];
  unsigned block_count;
  uint64_t fetch_deadline_ms; /**< Deadline of the fetches by the engines'
                                clock; 0: none. */
  uint64_t weight_version;    /**< An engine with other weights refuses the
                                   request; 0: any version. */
  bool resumes;               /**< The server resumes a stream. */
  uint64_t last_event_id;     /**< Id of the last event that was received. */
};

/** The decoded head of a backend server's response. */
struct response
{
  int status;
  bool success;      /**< The status is 2xx. */
  bool sealed;       /**< A backend server made the response, not an
                          intermediary. */
  bool not_run;      /**< The server states that it did not run the request. */
  bool other_server; /**< Another server has the address now. */
  bool other_weights;   /**< The server has another weight version than asked
                             for. */
  bool matches_request; /**< The response has the id of its request. */
  bool encoded; /**< The body has a content encoding, which servers never
                     use. */
  bool has_load;
  unsigned running;
  unsigned waiting;
  unsigned slots;
  uint64_t weight_version; /**< The server's weight version; 0: not stated. */
};

#endif
