#ifndef SERVERS_H
#define SERVERS_H

#include "clock.h"
#include "list.h"
#include "serverconn.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * The backend servers that are registered with the KV service. Each has its
 * registry entry and the state that this process observed: load, failures
 * and cached blocks. A removed server stays in memory while a request holds a
 * reference to it.
 */

enum
{
  SERVER_NAME_MAX = 64,    /**< Bytes, including the final NUL. */
  SERVER_ADDRESS_MAX = 64, /**< Bytes, including the final NUL. */
  SERVER_MODELS_MAX = 8    /**< Models per server; others are ignored. */
};

struct server_model
{
  char name[SERVER_NAME_MAX];
  uint64_t weight_version; /**< Version of the weights that are loaded. */
};

/** The registry entry that a backend server writes about itself. */
struct server_entry
{
  char id[SERVER_NAME_MAX];
  char service[SERVER_NAME_MAX];
  char address[SERVER_ADDRESS_MAX];
  char data_centre[SERVER_NAME_MAX];
  unsigned slots;      /**< Requests that the server runs at once. */
  bool leaving;        /**< The server takes no new requests. */
  uint64_t started_ms; /**< Unix time of the server's start; 0: unknown. */
  uint64_t heartbeat;  /**< Counter that the server raises with each entry
                       until it restarts. */
  struct server_model models[SERVER_MODELS_MAX];
  unsigned model_count;
};

/** A prompt block that is expected to be in the KV cache of a server. */
struct server_block
{
  struct list node; /**< Entry in the list of blocks by use. */
  uint64_t id;
  unsigned tokens;
  int64_t used_ns;
};

struct server
{
  unsigned reference_count;
  struct server_entry entry;
  uint32_t id_hash;          /**< Hash of the id; equal on all hosts. */
  uint64_t revision;         /**< KV service revision of the registry entry. */
  bool removed;              /**< The server is no longer registered. */
  bool in_local_data_centre; /**< It is in the data centre of this process. */
  bool in_other_subset;      /**< It is assigned to another subset of hosts. */
  unsigned sending_hosts; /**< Hosts that send requests to it, including this
                       one. */

  unsigned in_flight_requests; /**< Requests of this process in flight. */
  uint64_t in_flight_tokens;   /**< Memory that these requests need. */
  uint64_t
      pending_prefill_tokens; /**< Tokens to prefill for requests in flight
                           that have not received their first event. */

  /** Estimates for the requests of all other hosts, from their last
   * reports. */
  uint64_t other_hosts_prefill_tokens;
  uint64_t other_hosts_memory_tokens;
  unsigned other_hosts_requests;

  bool has_load_report;      /**< A load report was received. */
  unsigned running_requests; /**< Requests of all callers, as last reported. */
  unsigned waiting_requests; /**< Requests queued at the server, as last
                                reported. */
  int64_t load_reported_ns;  /**< Time of the last load report. */

  unsigned connection_failures; /**< Consecutive connection failures. */
  int64_t down_since_ns;        /**< 0: the server is reachable. */
  int64_t next_probe_ns; /**< Time of the next probe while it is down. */
  struct serverconn *probe;
  double
      failure_ratio; /**< Moving average of the share of failed responses. */
  int64_t busy_until_ns; /**< No requests are sent to it before then. */

  GHashTable *cached_blocks;   /**< Maps block ids to struct server_block. */
  struct list blocks_by_use;   /**< Sorted by least recently used first. */
  uint64_t cached_tokens;      /**< Sum over the cached blocks. */
  uint64_t kv_capacity_tokens; /**< Tokens that the memory of the server has
                                  capacity for. */
};

struct servers_ops
{
  /** Reports a state change of SERVER; CHANGE is its name in the log. */
  void (*changed) (void *data, const struct server *server,
                   const char *change);
};

struct servers
{
  uv_loop_t *loop;
  const struct clock *clock;
  char data_centre[SERVER_NAME_MAX]; /**< Data centre of this process. */
  int64_t connect_timeout_ns;
  GHashTable *by_id;      /**< Maps ids to struct server. */
  GHashTable *by_service; /**< Maps service names to GPtrArray of struct
                               server. */
  const struct servers_ops *ops;
  void *data;
};

void servers_init (struct servers *servers, uv_loop_t *loop,
                   const struct clock *clock, const char *data_centre,
                   int64_t connect_timeout_ns, const struct servers_ops *ops,
                   void *data);
void servers_finish (struct servers *servers);

/** Applies the registry entry ENTRY, written at REVISION. It is ignored if it
 * is older than the entry known so far. */
void servers_update (struct servers *servers, const struct server_entry *entry,
                     uint64_t revision);

/** Removes the server ID, so that it gets no new requests: its entry was
 * deleted or cannot be parsed, it restarted, or another server has its
 * address.
 * @param reason the name of the state change in the log */
void servers_remove (struct servers *servers, const char *id,
                     const char *reason);

/** Returns the server ID, or NULL. */
struct server *servers_find (const struct servers *servers, const char *id);

/** Returns the servers of SERVICE; NULL if none has ever registered. */
const GPtrArray *servers_of_service (const struct servers *servers,
                                     const char *service);

struct server *server_ref (struct server *server);
void server_unref (struct server *server);

/** Whether SERVER is registered, not leaving, and reachable. */
bool server_is_available (const struct server *server);

/** Whether SERVER is available and not marked busy at NOW_NS. */
bool server_accepts_requests (const struct server *server, int64_t now_ns);

/** Sends SERVER no requests before UNTIL_NS; a later time that was set before
 * stays. */
void server_set_busy (struct server *server, int64_t until_ns);

/** Returns the version of MODEL's weights that SERVER last reported; 0:
 * unknown. */
uint64_t server_weight_version (const struct server *server,
                                const char *model);

/** Records that SERVER has loaded VERSION of MODEL's weights. Older versions
 * than the known one are ignored; a newer one clears the cached blocks. */
void server_set_weight_version (struct server *server, const char *model,
                                uint64_t version);

/** Records that a connection to SERVER could not be opened, or closed before
 * the response was complete. */
void server_record_connection_failure (struct servers *servers,
                                       struct server *server);

/** Records that an attempt or a probe reached SERVER.
 * @param failed whether the server failed the attempt */
void server_record_reached (struct servers *servers, struct server *server,
                            bool failed);

/** Starts the probes of unreachable servers that are due. */
void servers_tick (struct servers *servers);

struct call_block;

/** Returns the tokens of the leading blocks of BLOCKS that are expected to be
 * in the KV cache of SERVER. */
uint64_t server_cached_tokens (const struct server *server,
                               const struct call_block *blocks,
                               unsigned count);

/** Records that SERVER has prefilled BLOCKS. Requests of other hosts evict
 * blocks as much as those of this host do, so this host only counts on its
 * equal share of the memory for cached blocks. The least recently used blocks
 * beyond that share are dropped from the record. */
void server_cache_add (struct server *server, const struct call_block *blocks,
                       unsigned count, int64_t now_ns);

/** Records that the KV cache of SERVER is empty. */
void server_cache_clear (struct server *server);

#endif
