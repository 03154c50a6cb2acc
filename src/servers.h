#ifndef SERVERS_H
#define SERVERS_H

#include "clock.h"
#include "list.h"
#include "servercache.h"
#include "reach.h"
#include "serverbrittle.h"
#include "servercold.h"
#include "serverlimit.h"
#include "serverpause.h"
#include "serverspeed.h"
#include "serverstart.h"
#include "softwarespan.h"
#include "softwarestart.h"
#include "statement.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/** @file
 * The backend servers that are registered with the KV service. Each has its
 * registry entry and the state that this process observed: load, failures
 * and cached blocks. A removed server stays in memory while a request holds a
 * reference to it.
 */

enum
{
  /** Maximum size of a name in bytes, including the final NUL. */
  SERVER_NAME_MAX = 64,
  /** Maximum size of an address in bytes, including the final NUL. */
  SERVER_ADDRESS_MAX = 64,
  /** Maximum number of models per server; further models are ignored. */
  SERVER_MODELS_MAX = 8,
  /** Interval between probes of an unreachable server. */
  SERVER_PROBE_INTERVAL_MS = 400
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
  /** Version of the server's software. It is unrelated to the versions of
   * weights. */
  char software[SERVER_NAME_MAX];
  /** Number of requests that the server runs at the same time. */
  unsigned slots;
  bool leaving;        /**< Whether the server accepts no new requests. */
  uint64_t started_ms; /**< Unix time of the server's start; 0 if unknown. */
  uint64_t heartbeat;  /**< Counter that the server increments with each write
                       of its entry. A restart resets it. */
  enum statement_kind cold; /**< Whether it states how long it is cold. */
  int64_t cold_left_ns;     /**< Time for which the server was still cold when
                               it wrote the entry; 0 if warm or not stated. */
  struct server_model models[SERVER_MODELS_MAX];
  unsigned model_count;
};

struct server
{
  unsigned reference_count;
  struct server_entry entry;
  uint32_t id_hash; /**< Hash of the id, which is the same on all hosts. */
  /** Hash of the service and of the version of the server's software, which is
   * the same on all hosts; never 0. */
  uint64_t software_hash;
  uint64_t revision;   /**< KV service revision of the registry entry. */
  bool removed;        /**< Whether the server is no longer registered. */
  bool states_leaving; /**< Whether this start of the server has stated in a
                          response that it leaves. */
  unsigned ignored_fields; /**< Bits of the fields of which a value was
                              ignored. */
  bool evacuated; /**< Whether its data centre is evacuated, so that nothing is
                     sent to the server. */
  bool in_local_data_centre; /**< Whether the server is in the data centre of
                                this process. */
  bool in_other_subset; /**< Whether the server is assigned to another subset
                           of hosts. */
  unsigned sending_host_count; /**< Number of hosts that send requests to the
                             server, including this host. */

  bool is_used;                /**< Whether it is in servers.used. */
  unsigned in_flight_requests; /**< Number of requests that this process has in
                                  flight at the server. */
  uint64_t in_flight_tokens;   /**< Memory that the in-flight requests of this
                                  process need, in tokens. */
  uint64_t pending_prefill_tokens; /**< Number of tokens to prefill for
                                      in-flight requests of this process whose
                                      first event was not received yet. */

  /** Estimates for the requests that all other hosts have in flight at the
   * server, from the last reports of these hosts. */
  uint64_t other_hosts_prefill_tokens;
  uint64_t other_hosts_memory_tokens;
  unsigned other_hosts_requests;

  bool has_load_report;      /**< Whether the server has reported its load. */
  unsigned running_requests; /**< Number of requests that the server runs for
                                all hosts, as it last reported. */
  unsigned waiting_requests; /**< Number of requests queued at the server, as
                                it last reported. */
  int64_t load_reported_ns;  /**< Time of the last load report. */
  bool states_slowness; /**< Whether a response has stated how long work takes
                           at the server. */

  /** Number of consecutive connection failures. */
  unsigned connection_failures;
  int64_t down_since_ns;  /**< Time since which the server is unreachable; 0 if
                             the server is reachable. */
  int64_t next_probe_ns;  /**< Time of the next probe while the server is
                             unreachable. */
  bool is_failing;        /**< Whether it is in servers.failing. */
  bool probed;            /**< Whether a probe runs. */
  int64_t probe_began_ns; /**< Start of the last probe. */
  int64_t doubted_ns; /**< Time at which a response was cut off last and since
                         which no probe has shown whether the server goes on; 0
                         if there is no doubt. */
  /** Moving average of the share of failed responses. */
  double failure_ratio;
  /** Moving average of the time in which a request was answered, in ms; 0 if
   * none was. */
  double run_ms;
  bool is_stating; /**< Whether it is in servers.stating. */
  struct serverlimit limit;
  struct serverpause pause;
  struct serverbrittle brittle;
  struct serverspeed speed;
  bool is_stating_slowness; /**< Whether it is in servers.stating_slowness. */
  struct servercold cold;
  int64_t busy_until_ns; /**< No requests are sent to the server before this
                            time. */

  GHashTable *cached_blocks; /**< Maps block ids to struct server_block. */
  /** Cached blocks, the least recently used first. */
  struct list blocks_by_use;
  uint64_t cached_tokens;      /**< Number of tokens in the cached blocks. */
  uint64_t kv_capacity_tokens; /**< Number of tokens that fit into the server's
                                  memory. */
};

struct evacuation;

struct servers_ops
{
  /** Reports a state change of SERVER. CHANGE is the name of the change in the
   * log. */
  void (*changed) (void *data, const struct server *server,
                   const char *change);
  /** Reports that a value that SERVER stated in FIELD was ignored. */
  void (*ignored) (void *data, const struct server *server, const char *field,
                   const char *reason);
};

struct servers
{
  /** Rises with each change of which servers there are and which of them this
   * host can use. */
  uint64_t generation;
  /** Rises whenever a server may have newer weights than before. */
  uint64_t weights_generation;
  /** Time at which a response to this host last stated a limit or that its
   * server is brittle, or the end of either; 0 if none has. */
  int64_t limit_stated_ns;
  /** Whether a request was sent since the last load report, to a server whose
   * load the other hosts must know soon. */
  bool load_is_news;
  uv_loop_t *loop;
  const struct clock *clock;
  char data_centre[SERVER_NAME_MAX]; /**< Data centre of this process. */
  int64_t connect_timeout_ns;
  GHashTable *by_id;   /**< Maps ids to struct server. */
  GHashTable *by_hash; /**< Maps the hashes of ids to struct server. */
  GPtrArray *used;     /**< Servers that had requests of this process in flight
                          when they were added; see servers_drop_unused. */
  GPtrArray *failing;  /**< Servers that were unreachable or in doubt when they
                          were added; serverprobe drops those that recover. */
  GPtrArray *stating;  /**< Servers whose responses to this host stated a limit
                          or that they are brittle, or the end of either, when
                          they were added; see servers_drop_stating. */
  GPtrArray *stating_slowness; /**< Servers whose responses to this host stated
                                  their slowness of late. */
  GHashTable *by_service;      /**< Maps service names to GPtrArray of struct
                                    server. */
  struct serverstart_table stated; /**< What starts of servers stated. */
  struct softwarespan software;    /**< Since when each service has had one
                                      software only. */
  GHashTable *reach_by_service;    /**< Maps service names to struct reach. */
  GHashTable *brittle_by_service;  /**< Maps service names to struct
                                      serverbrittle_service. */
  GHashTable *speed_by_service;    /**< Maps service names to struct
                                      serverspeed_service. */
  /** Which data centres are evacuated; NULL if none ever is. */
  const struct evacuation *evacuation;
  struct servercold_host cold;   /**< What cold servers share. */
  int64_t cold_tick_boottime_ns; /**< Time of cold.tick_ns with suspended time.
                                  */
  int64_t next_cold_note_ns;
  GHashTable *cold_sends; /**< Maps ids of servers that were removed to GArray
                             of the times of recent sends. */
  struct softwarestart starts; /**< Software whose new starts the registry may
                                  tell of soon. */
  const struct servers_ops *ops;
  void *data;
};

void servers_init (struct servers *servers, uv_loop_t *loop,
                   const struct clock *clock, const char *data_centre,
                   int64_t connect_timeout_ns, const struct servers_ops *ops,
                   void *data);
void servers_finish (struct servers *servers);

/** Applies ENTRY, which was written to the registry at REVISION. ENTRY is
 * ignored if it is older than the entry that was applied last. */
void servers_update (struct servers *servers, const struct server_entry *entry,
                     uint64_t revision);

/** Removes the server ID, so that the server gets no new requests. This is
 * done if the server's entry was deleted or cannot be parsed, if the server
 * restarted, or if another server has its address.
 * @param reason the name of the state change in the log */
void servers_remove (struct servers *servers, const char *id,
                     const char *reason);

/** Returns the server ID, or NULL. */
struct server *servers_find (const struct servers *servers, const char *id);

/** Returns the server whose id has the hash ID_HASH, or NULL. */
struct server *servers_find_hash (const struct servers *servers,
                                  uint32_t id_hash);

/** Returns the servers of SERVICE; NULL if none has ever registered. */
const GPtrArray *servers_of_service (const struct servers *servers,
                                     const char *service);

/** Returns the hash of a service's name, which is the same on all hosts. */
uint64_t servers_service_hash (const char *service);

/** Returns a server that is in no table, for an attempt at ADDRESS. */
struct server *server_new_unregistered (const char *id, const char *address);

struct server *server_ref (struct server *server);
void server_unref (struct server *server);

/** Returns the start that ENTRY describes; its strings point into ENTRY. */
struct serverstart_key server_start_key (const struct server_entry *entry);

/** Whether SERVER is leaving, by its registry entry or by its own responses.
 */
bool server_is_leaving (const struct server *server);

/** Whether SERVER is registered, not leaving by its registry entry, and
 * reachable. */
bool server_is_reachable (const struct server *server);

/** Whether SERVER is registered, not leaving, and reachable. */
bool server_is_available (const struct server *server);

/** Whether SERVER is available, not evacuated, in no doubt, not marked busy at
 * NOW_NS, and its limit, the pause that it asked for and, if it is cold, the
 * share of this host allow a request. */
bool server_accepts_requests (const struct server *server, int64_t now_ns);

/** Marks SERVER busy until UNTIL_NS, so that it gets no requests before then.
 * Has no effect if SERVER is marked busy for longer already. */
void server_set_busy (struct server *server, int64_t until_ns);

/** Returns the version of MODEL's weights that SERVER last reported; 0 if
 * unknown. */
uint64_t server_weight_version (const struct server *server,
                                const char *model);

/** Records that SERVER has loaded VERSION of MODEL's weights. VERSION is
 * ignored if it is older than the recorded version; if it is newer, the record
 * of cached blocks is cleared. */
void server_set_weight_version (struct servers *servers, struct server *server,
                                const char *model, uint64_t version);

/** Returns whether the links to SERVICE work; never NULL. */
struct reach *servers_reach (const struct servers *servers,
                             const char *service);

/** Records that SERVER has said that it has VERSION of MODEL's weights, in
 * answer to what was sent while it was believed to have BELIEVED. An engine
 * never returns to older weights, so an older VERSION shows that the belief
 * was wrong, unless the engine may have loaded weights since. */
void server_correct_weight_version (struct server *server, const char *model,
                                    uint64_t believed, uint64_t version);

/** Records that a connection to SERVER failed to open. */
void server_record_connection_failure (struct servers *servers,
                                       struct server *server);

/** Records that a connection to SERVER was lost before the response was
 * complete. The server may have ended, or have cut only this response, so it
 * gets no requests until a probe has shown which. */
void server_record_cut (struct servers *servers, struct server *server);

/** Records that an attempt or a probe reached SERVER.
 * @param failed whether the attempt failed at the server */
void server_record_reached (struct servers *servers, struct server *server,
                            bool failed);

/** Records that a request was answered after SPAN_NS. */
void server_record_run (struct server *server, int64_t span_ns);

/** Counts a request of this process that is in flight at SERVER. */
void server_request_begun (struct servers *servers, struct server *server);
void server_request_ended (struct server *server);

/** Removes the servers from servers.used that have no request of this process
 * in flight any more. */
void servers_drop_unused (struct servers *servers);

/** Records that a response of SERVER stated the limit PER_S, or none if that
 * is negative. See serverlimit_record. */
void servers_record_limit (struct servers *servers, struct server *server,
                           double per_s, int64_t stated_ns, bool here);

/** Records that a response of SERVER stated that it is brittle and may reject
 * REJECTIONS requests within a second, or that it is not brittle if that is
 * negative. See serverbrittle_record. */
void servers_record_brittle (struct servers *servers, struct server *server,
                             int64_t rejections, int64_t stated_ns, bool here);

/** Sets the bound of requests to cold servers, see struct servercold_host. */
void servers_set_cold_bound (struct servers *servers, double overage,
                             double tolerance);

/** Sets the cold rate of SERVER and how long it is cold, as its service has
 * them. */
void servers_configure_cold (struct servers *servers, struct server *server,
                             double per_s, int64_t span_ns);

/** Records what the entry of SERVER says of its being cold.
 * @param is_new_start whether it is the first entry of this start */
void servers_record_entry_cold (struct servers *servers, struct server *server,
                                bool is_new_start);

/** Assumes that the servers of DATA_CENTRE, whose evacuation was revoked, are
 * cold from now on, or, if it is NULL since this host was suspended, that all
 * servers are. */
void servers_assume_cold (struct servers *servers, const char *data_centre);

/** Notes changes of which servers are cold, and whether this host was
 * suspended. To be called at least every 100 ms. The other arguments are the
 * members of struct servercold_host. */
void servers_cold_tick (struct servers *servers, int64_t listed_ns,
                        int64_t join_ns, unsigned departed);

/** Keeps the times of recent sends to SERVER, which is removed, for a later
 * entry of the same id. */
void servers_keep_cold_sends (struct servers *servers, struct server *server);
/** Gives SERVER, which was added, the times that were kept for its id. */
void servers_restore_cold_sends (struct servers *servers,
                                 struct server *server);

/** Removes the server at INDEX from servers.stating; the last one takes its
 * index. */
void servers_drop_stating (struct servers *servers, unsigned index);

/** Records that SERVER can't be reached. It gets no requests until a probe
 * reaches it. */
void server_set_unreachable (struct servers *servers, struct server *server);

#endif
