#ifndef DIALECT_H
#define DIALECT_H

#include "call.h"
#include "httpfields.h"
#include "httpjson.h"
#include "kv.h"
#include "routes.h"
#include "servers.h"
#include "statement.h"
#include "status.h"

/** @file
 * The interface to one platform's keys, messages and documents, as a table of
 * function pointers. A dialect only encodes and decodes; the modules that use
 * it make all decisions.
 */

/** An order to an engine to load a version of a model's weights. */
struct weights_order
{
  const char *server_id;
  const char *model;
  uint64_t version;
  const char *leader;     /**< Name of the leader that sends the order. */
  uint64_t fencing_token; /**< Token that rises with each new leader, so that
                             engines can refuse orders of an earlier one. */
  uint64_t order_count;   /**< Number of orders that the engine has accepted so
                             far. The engine refuses the order if the number
                             differs from its own. */
};

/** An engine's reply to a query for its weights. */
struct weights_report
{
  bool replied;
  bool busy;            /**< Whether the engine is executing an order. */
  uint64_t order_count; /**< Number of orders that the engine has accepted
                           since its start. */
  struct server_model models[SERVER_MODELS_MAX];
  unsigned model_count;
  struct statement statement;
};

/** An engine's reply to an order. */
enum weights_reply
{
  WEIGHTS_REPLY_ACCEPTED,     /**< The engine executes the order. */
  WEIGHTS_REPLY_DONE,         /**< The engine has these weights already. */
  WEIGHTS_REPLY_BUSY,         /**< The engine is executing another order. */
  WEIGHTS_REPLY_FENCED,       /**< The engine refused the order because it has
                                 received an order of a later leader. */
  WEIGHTS_REPLY_OTHER_SERVER, /**< Another server has the address now. */
  WEIGHTS_REPLY_REFUSED,      /**< The engine can't execute the order. */
  WEIGHTS_REPLY_UNKNOWN /**< No valid reply was received; the order may be
                           executed now or later. */
};

enum
{
  /** Maximum size of a text in a query to the directory, with the NUL. */
  DIRECTORY_TEXT_MAX = 256
};

/** A caller's query for the hosts to use; texts that it lacks, states twice or
 * that are too long are empty. */
struct directory_query
{
  char name[DIRECTORY_TEXT_MAX]; /**< Host name of the routes. */
  char region[DIRECTORY_TEXT_MAX];
  char data_centre[DIRECTORY_TEXT_MAX];
};

enum
{
  /** Maximum size of a cache scope in bytes, including the final NUL. */
  CACHE_SCOPE_MAX = 96
};

/** Format of a cache scope, from a model and a weight version. The name of the
 * organisation is appended if the organisation is isolated. */
#define CACHE_SCOPE_FORMAT "%s:%" G_GUINT64_FORMAT ":"

/** A cached block, as an engine or a KV cache store identifies it. */
struct cache_block
{
  char scope[CACHE_SCOPE_MAX];
  uint64_t id;
  unsigned tokens; /**< Number of tokens that are stored completely. */
  bool removed;    /**< Whether the block was removed or is incomplete. */
  /** Number of the change that the block was reported in; 0 if the block is
   * from a list of all blocks. */
  uint64_t change_number;
};

/** A KV cache store's reply to a query for its blocks. */
struct cache_report
{
  bool replied;
  /** Whether the store refused the query because it had too many. */
  bool busy;
  bool is_list; /**< Whether the reply lists all blocks instead of changes. */
  bool has_gap; /**< Whether the store no longer has some of the requested
                   changes. */
  uint64_t epoch; /**< Number that identifies the present run of the store; it
                     changes when the store restarts. */
  uint64_t
      last_change_number; /**< Number of the last change that the reply covers.
                      The next query asks for the changes after it. */
  bool has_clock;
  int64_t engine_clock_ns; /**< Time by the engines' clock. */
  const struct cache_block *blocks;
  unsigned block_count;
  unsigned ignored_count; /**< Malformed rows of the reply, left out. */
};

typedef void (*cache_reply_received) (void *data,
                                      const struct cache_report *report);

struct dialect
{
  /** Key of the routing configuration, and prefixes of the keys that operators
   * and servers write. */
  const char *routes_key;
  const char *operator_prefix;
  const char *wanted_version_prefix;
  const char *evacuation_prefix; /**< Followed by the name of the data centre
                                    that the key evacuates. */
  const char *servers_prefix;

  /** Return an interface to the KV service at ADDRESS. The interface lives as
   * long as the process. */
  struct kv *(*kv_open) (struct httpjson *httpjson, const char *address,
                         int64_t timeout_ns);
  /** Return the number of calls made to the KV service. */
  uint64_t (*kv_call_count) (const struct kv *kv);

  enum status (*routes_decode) (const char *text, struct routes **routes,
                                struct error *error);
  enum status (*server_decode) (const char *id, const char *text,
                                struct server_entry *entry,
                                struct error *error);
  enum status (*wanted_version_decode) (const char *text, char *model,
                                        uint64_t *version,
                                        struct error *error);

  /** Decode a caller's request.
   * @return STATUS_INVALID if a field that must be unique occurs twice or
   * can't be decoded */
  enum status (*call_decode) (const struct httpfields *head,
                              const char *target, struct call *call,
                              struct error *error);
  /** Write the request that is sent to a backend server. */
  void (*attempt_encode) (GString *out, const char *method, const char *target,
                          const struct httpfields *head,
                          const GByteArray *body,
                          const struct attempt_header *attempt);
  /** Write a caller's request to OUT, for another host. */
  void (*pass_on_encode) (GString *out, const char *method, const char *target,
                          const struct httpfields *head,
                          const GByteArray *body,
                          const struct pass_on_header *header);
  /** Write the header line by which a host promises another that it has not
   * run a request, which REFUSALS refused before. */
  void (*host_refusal_encode) (GString *out,
                               const struct call_refusals *refusals);
  /** Write a request that a server of SERVICE answers at once and that runs
   * nothing.
   * @param service NULL if unknown */
  void (*query_encode) (GString *out, const struct service *service);
  /** Decode the head of a backend server's response to a query. */
  void (*query_response_decode) (int status, const struct httpfields *head,
                                 const char *server_id,
                                 struct response *response);
  /** Decode the head of a backend server's response. */
  void (*response_decode) (int status, const struct httpfields *head,
                           const char *request_id, const char *server_id,
                           struct response *response);
  /** Write those header lines of a server's response that are relayed to the
   * caller. */
  void (*response_headers_encode) (GString *out,
                                   const struct httpfields *head);
  /** Write the header lines of a response that this process makes itself.
   * @param retry_after_ns the time of the Retry-After field; 0 if the field is
   * left out */
  void (*own_headers_encode) (GString *out, const char *request_id,
                              int64_t retry_after_ns);

  /** Send ORDER to an engine. REPLIED is called once, never before this
   * function returns, with what the engine stated of itself. */
  void (*weights_order_send) (
      struct httpjson *httpjson, const char *address,
      const struct weights_order *order, int64_t timeout_ns,
      void (*replied) (void *data, enum weights_reply reply,
                       const struct statement *statement),
      void *data);

  /** Query an engine for its weights. REPLIED is called once, never before
   * this function returns. */
  void (*weights_query) (struct httpjson *httpjson, const char *address,
                         const char *server_id, int64_t timeout_ns,
                         void (*replied) (void *data,
                                          const struct weights_report *report),
                         void *data);

  /** Query a store for its changes since number SINCE. The store waits up to
   * WAIT_NS for a change. */
  void (*cache_events) (struct httpjson *httpjson, const char *address,
                        uint64_t since, int64_t wait_ns, int64_t timeout_ns,
                        cache_reply_received replied, void *data);
  /** Query a store for all its blocks. */
  void (*cache_list) (struct httpjson *httpjson, const char *address,
                      int64_t timeout_ns, cache_reply_received replied,
                      void *data);
  /** Ask a store to free BLOCKS if its epoch is still EPOCH. */
  void (*cache_free) (struct httpjson *httpjson, const char *address,
                      uint64_t epoch, const struct cache_block *blocks,
                      unsigned count, int64_t timeout_ns);

  /** Whether the request is a query for the host addresses that callers shall
   * use. */
  bool (*is_directory_request) (const char *method, const char *target);
  void (*directory_query_decode) (const char *target,
                                  struct directory_query *query);
  void (*directory_body) (GString *out, const GPtrArray *addresses,
                          int64_t lifetime_ns);
  bool (*is_ready_request) (const char *method, const char *target);
};

#endif
