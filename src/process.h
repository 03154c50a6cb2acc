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
 * What every role stands on: the loop, the edges to the platform and to the
 * other processes, log and metrics; and the steps of a planned stop.
 */

struct process;

/** What a role adds. */
struct process_role
{
  /** One HTTP request. */
  httpserver_handler serve;
  /** One request of another process. */
  peer_handler answer;
  /** Called every PROCESS_TICK_MS. */
  void (*tick) (void *data);
  /** The host list was read. */
  void (*hosts_changed) (void *data);
  /** A newer configuration is in force: process.configstore.config. */
  void (*configured) (void *data);
  /** Count of what must end before the process may exit. */
  size_t (*busy) (void *data);
};

enum
{
  PROCESS_TICK_MS = 10,
  PROCESS_KV_ADDRESSES = 8
};

enum process_stage
{
  PROCESS_SERVING,
  PROCESS_LEAVING,   /**< dropped from answers, still takes requests */
  PROCESS_FINISHING, /**< takes no connections, ends what runs */
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
  const char *kv_addresses[PROCESS_KV_ADDRESSES];
  struct enginehttp enginehttp;
  struct storehttp storehttp;
  struct hostlist_http hostlist;
  struct httpserver server;
  struct peerhub peers;
  struct roster roster;
  struct gossip gossip;
  struct confpeer confpeer;
  /** SEEN_BY saw that the backend server SERVER leaves or is out; NULL: the
   * role does not care. Own signs go out by member_add_notice. */
  void (*sign_heard) (void *role_data, const char *server,
                      const char *seen_by);
  uint64_t id;
  uint64_t incarnation;
  uint64_t config_revision;
  enum process_stage stage;
  int64_t stage_since_ns;
  int64_t next_rank_ns;
  int64_t next_hosts_ns;
};

enum status process_init (struct process *process,
                          const struct settings *settings,
                          const struct process_role *role, void *role_data,
                          struct error *error);

/** Run until a planned stop is over. */
void process_run (struct process *process);

void process_finish (struct process *process);

/** Answer an HTTP request that every role serves (health, readiness,
 * metrics).
 * @return false if PATH is none of them. */
bool process_serve_common (struct process *process,
                           struct httpserver_request *request, bool ready);

#endif
