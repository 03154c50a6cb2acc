#ifndef ENTRY_H
#define ENTRY_H

#include "cachetrim.h"
#include "callerconn.h"
#include "cells.h"
#include "dialect.h"
#include "forwarder.h"
#include "httpjson.h"
#include "kvbudget.h"
#include "kvstores.h"
#include "kvview.h"
#include "log.h"
#include "metrics.h"
#include "peerlink.h"
#include "poison.h"
#include "presence.h"
#include "retire.h"
#include "rng.h"
#include "servers.h"
#include "settings.h"
#include "weightswap.h"

/** @file
 * The process of an entry host: one program that faces callers, answers which
 * addresses to use, and takes its part of the duties. All that lasts lives in
 * the platform's KV service; a fresh process rebuilds the rest from it.
 */

enum entry_stage
{
  ENTRY_SERVING,
  ENTRY_LEAVING,   /**< no longer listed, still takes connections */
  ENTRY_FINISHING, /**< takes no connections, ends what runs */
  ENTRY_ENDED
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
  struct rng rng;
  struct log log;
  struct metrics metrics;
  struct httpclient httpclient;
  struct httpjson httpjson;
  struct kv *store;
  struct kvbudget kvbudget;
  bool store_down; /**< as last seen */
  struct kvview operator_view;
  struct kvview servers_view;
  struct kvview own_view;
  struct servers servers;
  struct poison poison;
  struct presence presence;
  struct loadshare loadshare;
  struct cells cells;
  struct peerlink peerlink;
  struct weightswap weightswap;
  struct kvstores kvstores;
  struct retire retire;
  struct cachetrim cachetrim;
  struct forwarder forwarder;
  struct callerserver front;
  struct callerserver directory;
  struct callerserver ready;
  struct callerserver metrics_server;
  enum entry_stage stage;
  int64_t stage_ns;                 /**< when the planned stop began */
  int64_t settings_ns;              /**< next look at the settings file */
  struct timespec settings_changed; /**< the file's time when it was read */
};

enum status entry_init (struct entry *entry, struct settings *settings,
                        const char *settings_path,
                        const struct dialect *dialect, struct error *error);

/** Run until a planned stop is over. */
void entry_run (struct entry *entry);
void entry_finish (struct entry *entry);

/** Whether this process takes callers' work. */
bool entry_is_ready (const struct entry *entry);

#endif
