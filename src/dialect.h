#ifndef DIALECT_H
#define DIALECT_H

#include "call.h"
#include "httphead.h"
#include "httpjson.h"
#include "kv.h"
#include "routes.h"
#include "servers.h"
#include "status.h"

/** @file
 * The platform's keys, messages and documents behind one table of function
 * pointers. A dialect only encodes and decodes; all decisions are made by the
 * modules that use it.
 */

/** An order to an engine to load a version of a model's weights. */
struct weights_order
{
  const char *server_id;
  const char *model;
  uint64_t version;
  const char *leader;     /**< Name of the leader that sends the order. */
  uint64_t fencing_token; /**< Fencing token; rises with each new leader. */
  uint64_t order_count;   /**< The engine refuses the order if it has accepted
                          another number of orders so far. */
};

/** An engine's reply to a query for its weights. */
struct weights_report
{
  bool replied;
  bool busy;            /**< The engine is executing an order. */
  uint64_t order_count; /**< Orders accepted since the engine's start. */
  struct server_model models[SERVER_MODELS_MAX];
  unsigned model_count;
};

/** An engine's reply to an order. */
enum weights_reply
{
  WEIGHTS_REPLY_ACCEPTED, /**< The engine executes the order. */
  WEIGHTS_REPLY_DONE,     /**< The engine has these weights already. */
  WEIGHTS_REPLY_BUSY,     /**< The engine is executing another order. */
  WEIGHTS_REPLY_FENCED,   /**< The engine has seen the order of a later leader.
                           */
  WEIGHTS_REPLY_OTHER_SERVER, /**< Another server has the address now. */
  WEIGHTS_REPLY_REFUSED,      /**< The engine can't execute the order. */
  WEIGHTS_REPLY_UNKNOWN /**< No reply: the order may be executed, also later.
                         */
};

enum
{
  CACHE_SCOPE_MAX = 96 /**< Bytes, with the final NUL. */
};

/** The cache scope of a model and weight version. The name of the
 * organisation follows if it is isolated. */
#define CACHE_SCOPE_FORMAT "%s:%" G_GUINT64_FORMAT ":"

/** A cached block, as an engine or a KV cache store identifies it. */
struct cache_block
{
  char scope[CACHE_SCOPE_MAX];
  uint64_t id;
  unsigned tokens;        /**< Tokens that are stored completely. */
  bool removed;           /**< The block was removed or is incomplete. */
  uint64_t change_number; /**< Number of the change; 0 in a list. */
};

/** A KV cache store's reply to a query for its blocks. */
struct cache_report
{
  bool replied;
  bool busy;            /**< The store refused because of too many queries. */
  bool is_list;         /**< The reply has all blocks, not changes. */
  bool has_gap;         /**< The store no longer has some of the changes. */
  uint64_t epoch;       /**< Identifies the present run of the store. */
  uint64_t next_change; /**< The change that the next query starts from. */
  bool has_clock;
  int64_t engine_clock_ns; /**< Time by the engines' clock. */
  const struct cache_block *blocks;
  unsigned block_count;
};

typedef void (*cache_reply_received) (void *data,
                                      const struct cache_report *report);

struct dialect
{
  /** Prefixes of the keys that operators and servers write; ROUTES_KEY is a
   * whole key. */
  const char *routes_key;
  const char *operator_prefix;
  const char *wanted_version_prefix;
  const char *servers_prefix;

  /** Return an interface to the KV service at ADDRESS. It lives as long as
   * the process. */
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
  enum status (*call_decode) (const struct httphead *head, const char *target,
                              struct call *call, struct error *error);
  /** Write the request that is sent to a backend server. */
  void (*attempt_encode) (GString *out, const char *method, const char *target,
                          const struct httphead *head, const GByteArray *body,
                          const struct attempt_header *send);
  /** Decode the head of a backend server's response. */
  void (*response_decode) (int status, const struct httphead *head,
                           const char *request_id, const char *server_id,
                           struct response *response);
  /** Write the header lines of a server's response that the caller gets. */
  void (*response_headers_encode) (GString *out, const struct httphead *head);
  /** Write the header lines of a response that this process makes itself.
   * @param retry_after_ns 0: no Retry-After field */
  void (*own_headers_encode) (GString *out, const char *request_id,
                              int64_t retry_after_ns);

  /** Send ORDER to an engine. REPLIED is called once, never before this
   * function returns. */
  void (*weights_order_send) (
      struct httpjson *httpjson, const char *address,
      const struct weights_order *order, int64_t timeout_ns,
      void (*replied) (void *data, enum weights_reply reply), void *data);

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
  /** Free blocks at a store if its epoch is still EPOCH. */
  void (*cache_free) (struct httpjson *httpjson, const char *address,
                      uint64_t epoch, const struct cache_block *blocks,
                      unsigned count, int64_t timeout_ns);

  /** Whether the request asks which host addresses callers shall use. */
  bool (*is_directory_request) (const char *method, const char *target);
  void (*directory_body) (GString *out, const GPtrArray *addresses,
                          int64_t lifetime_ns);
  bool (*is_ready_request) (const char *method, const char *target);
};

#endif
