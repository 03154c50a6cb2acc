#ifndef PROCESS_H
#define PROCESS_H

#include "clock.h"
#include "confapply.h"
#include "confpeer.h"
#include "configstore.h"
#include "enginehttp.h"
#include "gossip.h"
#include "hostlist.h"
#include "httpjson.h"
#include "httpserver.h"
#include "kvbudget.h"
#include "kvhttp.h"
#include "log.h"
#include "metrics.h"
#include "peer.h"
#include "rng.h"
#include "roster.h"
#include "settings.h"
#include "storehttp.h"

/** @file
 * What all roles share: the event loop, the clients and servers for the
 * platform and for other processes, log and metrics, and the stages of a
 * planned stop.
 */

struct process;

/** Callbacks of a role (gateway or shard). */
struct process_role
{
  /** Handle an HTTP request. */
  httpserver_handler serve_http;
  /** Handle a request from another process. */
  peer_request_received serve_peer;
  /** Called every PROCESS_TICK_MS. */
  void (*tick) (void *data);
  /** Called when a host list was received. */
  void (*hosts_changed) (void *data);
  /** Called when a newer configuration, process.configstore.config, is in
   * force. */
  void (*config_changed) (void *data);
  /** Whether the process can serve callers. Once true, it stays true. */
  bool (*is_ready) (void *data);
  /** Return the number of tasks that must end before the process may exit. */
  size_t (*unfinished_task_count) (void *data);
};

enum
{
  PROCESS_TICK_MS = 10,
  PROCESS_KV_ADDRESSES_MAX = 8
};

enum process_stage
{
  PROCESS_SERVING,
  PROCESS_LEAVING,   /**< The process is announced as leaving, so that its
                        address is no longer given to clients; it still accepts
                        requests. */
  PROCESS_FINISHING, /**< The process accepts no connections and ends the
                        requests in flight. */
  PROCESS_ENDED
};

struct process
{
  const struct settings *settings;
  const struct process_role *role;
  void *role_data;
  uv_loop_t loop;
  uv_timer_t timer;
  uv_signal_t signals[2];
  struct clock clock;
  struct log log;
  struct rng rng;
  struct metrics metrics;
  struct httpclient httpclient;
  struct httpjson httpjson;
  struct kvhttp kvhttp;
  struct kvbudget kvbudget;
  struct configstore configstore;
  struct confapply confapply;
  const char *kv_addresses[PROCESS_KV_ADDRESSES_MAX];
  struct enginehttp enginehttp;
  struct storehttp storehttp;
  struct hostlist_http hostlist;
  struct httpserver http_server;
  struct peer_endpoint peers;
  struct roster roster;
  struct gossip gossip;
  struct confpeer confpeer;
  /** Called when the process SEEN_BY reports that the backend server SERVER is
   * leaving or down. NULL if the role does not use such notices. Notices of
   * this process are sent with member_add_notice. */
  void (*notice_received) (void *role_data, const char *server,
                           const char *seen_by);
  uint64_t id; /**< Id of the process; roster_id_from_name of its name. */
  /** Wall-clock time at which the process started, in ns. It distinguishes
   * this run of the process from earlier ones. */
  uint64_t incarnation;
  uint64_t config_revision; /**< Revision of the configuration in force; 0 if
                               there is none. */
  enum process_stage stage;
  int64_t stage_since_ns;
  bool was_idle; /**< Whether no request was in flight at the last tick. */
  int64_t next_watcher_check_ns;
  int64_t next_hosts_poll_ns;
};

enum status process_init (struct process *process,
                          const struct settings *settings,
                          const struct process_role *role, void *role_data,
                          struct error *error);

/** Run the event loop until a planned stop is complete or a second signal
 * ends it early. */
void process_run (struct process *process);

void process_finish (struct process *process);

/** Respond to an HTTP request that every role serves (health, readiness,
 * metrics).
 * @return whether the request's path is one of these and was handled. */
bool process_serve_common (struct process *process,
                           struct httpserver_request *request);

#endif
