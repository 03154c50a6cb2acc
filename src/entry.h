#ifndef ENTRY_H
#define ENTRY_H

#include "cachegc.h"
#include "blameshare.h"
#include "callerconn.h"
#include "entrypeers.h"
#include "subsets.h"
#include "dialect.h"
#include "evacuation.h"
#include "forwarder.h"
#include "httpjson.h"
#include "goneservers.h"
#include "kvbudget.h"
#include "kvera.h"
#include "kvstores.h"
#include "kvview.h"
#include "log.h"
#include "metrics.h"
#include "pausewatch.h"
#include "peerudp.h"
#include "poisoncount.h"
#include "presence.h"
#include "cacheretire.h"
#include "rng.h"
#include "serverprobe.h"
#include "servers.h"
#include "settings.h"
#include "rollout.h"
#include "weightsnews.h"

/** @file
 * The process of an entry host. It serves the callers, lists the addresses
 * that callers may use, and takes part in the work that hosts share, such as
 * rollouts of weights. All lasting state is kept in the platform's KV service,
 * from which a restarted process rebuilds its own state.
 */

enum entry_stage
{
  ENTRY_SERVING,
  /** The host is no longer listed but still accepts connections. */
  ENTRY_LEAVING,
  /** The process accepts no connections and completes its requests. */
  ENTRY_FINISHING,
  ENTRY_STOPPED
};

struct entry
{
  struct settings *settings;
  const char *settings_path;
  const struct dialect *dialect;
  uv_loop_t loop;
  uv_timer_t timer;
  uv_signal_t signals[3];
  struct clock clock;
  struct pausewatch pausewatch;
  struct rng rng;
  struct log log;
  struct metrics metrics;
  struct httpclient httpclient;
  struct httpjson httpjson;
  struct kv *kv_service;    /**< Sends the calls that kvbudget allows to the KV
                               service. */
  struct kvbudget kvbudget; /**< Passes calls on to kv_service. */
  /** All modules use the KV service through this interface, which passes calls
   * on to kvbudget. */
  struct kvera kvera;
  bool kv_down; /**< Whether the KV service was down at the last tick. */
  /** View of the keys that the operator writes: the configuration and the
   * wanted weight versions. */
  struct kvview operator_view;
  struct kvview servers_view;
  struct kvview hosts_view;
  struct servers servers;
  struct serverprobes probes;
  struct goneservers goneservers;
  struct evacuation evacuation;
  struct poisoncount poisoncount;
  struct blameshare blameshare;
  struct presence presence;
  struct loadshare loadshare;
  struct subsets subsets;
  struct entrypeers peers;
  struct peerudp peerudp;
  struct streamorigin origin;
  struct rollout rollout;
  struct kvstores kvstores;
  struct cacheretire retire;
  struct cachegc cachegc;
  struct forwarder forwarder;
  struct otherhosts otherhosts;
  struct weightsnews weightsnews;
  struct callerserver caller_server;
  struct callerserver host_server; /**< Requests that other hosts pass on. */
  struct callerserver directory_server;
  struct callerserver ready_server;
  struct callerserver metrics_server;
  enum entry_stage stage;
  int64_t stop_began_ns; /**< Time at which the planned stop began. */
  int64_t stop_span_ns;  /**< Grace time of that stop. Settings that are read
                            meanwhile do not change it. */
  int64_t next_settings_check_ns;
  struct timespec settings_mtime; /**< Modification time of the settings file
                                     when it was last read. */
};

enum status entry_init (struct entry *entry, struct settings *settings,
                        const char *settings_path,
                        const struct dialect *dialect, struct error *error);

/** Runs the event loop until a planned stop is complete. */
void entry_run (struct entry *entry);
void entry_finish (struct entry *entry);

/** Whether this process accepts requests of callers. */
bool entry_is_ready (const struct entry *entry);

#endif
