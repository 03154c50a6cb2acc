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
 * How an entry process speaks to the world that it runs in: the words of
 * messages and documents as one table of function pointers. The product
 * decides, a dialect only translates.
 */

/** An order to an engine to take a version of a model's weights. */
struct swap_order
{
  const char *server_id;
  const char *model;
  uint64_t version;
  const char *holder; /**< who gives the order */
  uint64_t fence;     /**< rises with each new holder */
  uint64_t orders;    /**< Only if the engine has taken so many until then. */
};

/** What an engine reports of its weights. */
struct swap_report
{
  bool answered;
  bool busy;       /**< An order is being carried out. */
  uint64_t orders; /**< taken since its start */
  struct server_model models[SERVER_MODELS_MAX];
  unsigned model_count;
};

/** How an engine took an order. */
enum swap_answer
{
  SWAP_ACCEPTED, /**< It is being carried out. */
  SWAP_DONE,     /**< It holds already. */
  SWAP_BUSY,     /**< Another order is being carried out. */
  SWAP_FENCED,   /**< A later holder has given orders. */
  SWAP_OTHER,    /**< Another server has the address. */
  SWAP_REFUSED,  /**< The order can't be carried out. */
  SWAP_UNKNOWN   /**< No answer: it may be carried out, also later. */
};

enum
{
  CACHE_SCOPE_MAX = 96 /**< bytes, with the final NUL */
};

/** The scope of cached parts by model and weight version; an organisation
 * behind a wall follows. */
#define CACHE_SCOPE_FORMAT "%s:%" G_GUINT64_FORMAT ":"

/** A cached part of a prompt, as its engine or store names it. */
struct cache_part
{
  char scope[CACHE_SCOPE_MAX];
  uint64_t id;
  unsigned tokens; /**< held whole */
  bool gone;       /**< held no longer, or not whole */
  uint64_t number; /**< of the change; 0 in a list */
};

/** What a store of KV cache says of its parts. */
struct cache_report
{
  bool answered;
  bool busy;      /**< It did not answer since it is asked by too many. */
  bool is_list;   /**< all parts, not what changed */
  bool gap;       /**< Some changes are no longer known. */
  uint64_t epoch; /**< of the present run of the store */
  uint64_t next;  /**< change to go on from */
  bool has_clock;
  int64_t clock_ns; /**< the engines' clock */
  const struct cache_part *parts;
  unsigned part_count;
};

typedef void (*cache_answered) (void *data, const struct cache_report *report);

struct dialect
{
  /** Prefix of the keys that operators and servers write, or the key. */
  const char *routes_key;
  const char *operator_prefix;
  const char *wanted_version_prefix;
  const char *servers_prefix;

  /** An interface to the KV service at ADDRESS, in memory that lives as long
   * as the process. */
  struct kv *(*kv_open) (struct httpjson *httpjson, const char *address,
                         int64_t timeout_ns);
  uint64_t (*kv_calls) (const struct kv *kv);

  enum status (*routes_decode) (const char *text, struct routes **routes,
                                struct error *error);
  enum status (*server_decode) (const char *id, const char *text,
                                struct server_entry *entry,
                                struct error *error);
  enum status (*wanted_version_decode) (const char *text, char *model,
                                        uint64_t *version,
                                        struct error *error);

  /** Read the facts of a caller's request.
   * @return STATUS_INVALID if a field that must be unique stands twice or
   * can't be read */
  enum status (*call_decode) (const struct httphead *head, const char *target,
                              struct call *call, struct error *error);
  /** Write the request that goes to a server. */
  void (*send_encode) (GString *out, const char *method, const char *target,
                       const struct httphead *head, const GByteArray *body,
                       const struct send *send);
  /** Read the head of its answer. */
  void (*answer_decode) (int status, const struct httphead *head,
                         const char *request_id, const char *server_id,
                         struct answer *answer);
  /** The header lines that are passed on to the caller. */
  void (*answer_lines) (GString *out, const struct httphead *head);
  /** Header lines of an own answer. @param retry_after_ns 0 for none */
  void (*own_lines) (GString *out, const char *request_id,
                     int64_t retry_after_ns);

  /** Send ORDER to an engine; ANSWERED is called once, never from inside. */
  void (*swap_send) (struct httpjson *httpjson, const char *address,
                     const struct swap_order *order, int64_t timeout_ns,
                     void (*answered) (void *data, enum swap_answer answer),
                     void *data);

  /** Ask an engine for its weights; ANSWERED as above. */
  void (*swap_ask) (struct httpjson *httpjson, const char *address,
                    const char *server_id, int64_t timeout_ns,
                    void (*answered) (void *data,
                                      const struct swap_report *report),
                    void *data);

  /** What changed at a store since SINCE; waits up to WAIT_NS for a change. */
  void (*cache_events) (struct httpjson *httpjson, const char *address,
                        uint64_t since, int64_t wait_ns, int64_t timeout_ns,
                        cache_answered answered, void *data);
  /** All that a store holds. */
  void (*cache_list) (struct httpjson *httpjson, const char *address,
                      int64_t timeout_ns, cache_answered answered, void *data);
  /** Free parts at the run EPOCH of a store. */
  void (*cache_free) (struct httpjson *httpjson, const char *address,
                      uint64_t epoch, const struct cache_part *parts,
                      unsigned count, int64_t timeout_ns);

  /** Whether TARGET asks which addresses to use. */
  bool (*is_directory_call) (const char *method, const char *target);
  void (*directory_body) (GString *out, const GPtrArray *addresses,
                          int64_t lifetime_ns);
  bool (*is_ready_call) (const char *method, const char *target);
};

#endif
