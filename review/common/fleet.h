#ifndef FLEET_H
#define FLEET_H

#include "callerconn.h"
#include "../../test/soak-store.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <uv.h>

/** @file
 * What the cases share: entry processes started as the deploy file says, the
 * project's stand-in of the platform's store, sound stand-ins of engines and
 * of a KV cache store, and callers on kept connections.
 */

enum
{
  FLEET_HOSTS_MAX = 8,
  FLEET_ENGINES_MAX = 24,
  FLEET_PORTS_EACH
  = 5 /**< of a host: front, directory, ready, peer, metrics */
};

struct fleet;

/** An entry process. */
struct fleet_host
{
  struct fleet *fleet;
  unsigned number;
  uint16_t ports[FLEET_PORTS_EACH];
  char *settings;
  uv_process_t process;
  bool running;
  bool expects_end; /**< The case has sent a signal that ends it. */
  bool ended_itself;
  int end_signal;
  int64_t starts_ns;    /**< Time of its next start; 0: none is due. */
  unsigned ended_count; /**< Ends by itself. */
  unsigned crash_count; /**< Ends by a signal that nobody sent. */
  double peak_mb;       /**< of its resident memory */
};

/** What happened to one request. */
struct fleet_request
{
  char id[24];
  const char *tenant;
  unsigned host;
  bool kept; /**< Its connection had carried a request before. */
  int64_t sent_ns;
  int64_t ended_ns;
  unsigned passed_on; /**< Arrivals at engines. */
  unsigned begun;     /**< Runs that engines began. */
  unsigned completed; /**< Runs that engines ended. */
  int status;         /**< Of its answer; 0: none. */
  bool whole;         /**< The answer is complete. */
  bool closed;        /**< The connection ended first. */
  bool gave_up;       /**< The caller left by itself. */
};

struct fleet_engine
{
  struct fleet *fleet;
  struct callerserver server;
  char id[16];
  const char *service;
  uint16_t port;
  bool has_model;
  unsigned version; /**< of its weights */
  unsigned orders;
  unsigned slots;
  unsigned queue; /**< Requests that may wait for a slot. */
  unsigned running;
  GQueue *waiting;
  int64_t born;
  const char *statement; /**< Header lines in all answers; NULL: none. */
  bool is_down;
  bool is_faulty;    /**< The case answers its reports. */
  GHashTable *cache; /**< "SALT PART" to the tenant that made it */
};

/** A request as a caller sends it. */
struct fleet_call
{
  const char *method;
  const char *path;
  const char *key;
  const char *tenant; /**< for the record */
  const char *lines;  /**< further header lines */
  unsigned deadline_ms;
  unsigned patience_ms;  /**< Time after which it leaves without an event. */
  unsigned gap_ms;       /**< from an answer to the next request */
  unsigned requests_max; /**< Requests that it sends; 0: without end. */
};

struct fleet_settings
{
  unsigned hosts;
  unsigned memory_mb; /**< A host with more is killed; 0: no limit. */
  unsigned work_ms;   /**< of a plain request */
  unsigned event_ms;  /**< between events of a stream */
  unsigned events;    /**< of a stream */
};

struct fleet
{
  struct soak soak;
  struct soak_store store;
  uint16_t store_port;
  struct fleet_settings settings;
  FILE *record;
  char *folder;
  bool trouble;
  struct fleet_host hosts[FLEET_HOSTS_MAX];
  struct fleet_engine engines[FLEET_ENGINES_MAX];
  unsigned engine_count;
  struct callerserver kvstore;
  uint16_t kvstore_port;
  uv_tcp_t proxy; /**< Through it hosts reach the store. */
  uint16_t proxy_port;
  unsigned cut_watches_ms; /**< Time after which watches that wait are cut; 0:
                              never. */
  unsigned cut_count;
  GHashTable *requests; /**< id to struct fleet_request */
  GPtrArray *order;     /**< of struct fleet_request, as they were sent */
  GPtrArray *callers;
  bool callers_stop;
  bool ending;
  uv_timer_t tick;
  /** Answers GET /report of an engine that is faulty. */
  void (*report) (struct fleet_engine *engine, struct callerconn *conn);
  /** Answers a call to the KV cache store instead of the usual answer.
   * @return whether it has */
  bool (*kvstore_call) (struct fleet *fleet, struct callerconn *conn);
  /** Called after an engine has rejected a request for want of room. */
  void (*rejected) (struct fleet_engine *engine);
  /** Called with each run that an engine begins. */
  void (*run_begun) (struct fleet_engine *engine, struct callerconn *conn,
                     struct fleet_request *request);
};

/** Start the store; FOLDER is where the record goes. */
void fleet_init (struct fleet *fleet, const char *folder,
                 const struct fleet_settings *settings);
void fleet_say (struct fleet *fleet, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
struct fleet_engine *fleet_add_engine (struct fleet *fleet,
                                       const char *service, bool has_model);
/** Remove the entry of ENGINE, which goes on serving. */
void fleet_remove_engine (struct fleet_engine *engine);
/** End ENGINE with all that it works on. */
void fleet_end_engine (struct fleet_engine *engine);
/** Start ENGINE, which has ended, again under its id. */
void fleet_restart_engine (struct fleet_engine *engine);
void fleet_write_config (struct fleet *fleet, const char *text);
void fleet_start_hosts (struct fleet *fleet);
/** A caller that sends CALL to HOST again and again on one connection. */
void fleet_add_caller (struct fleet *fleet, unsigned host,
                       const struct fleet_call *call);
/** Call CALLBACK once, MS after now. */
void fleet_after (struct fleet *fleet, unsigned ms,
                  void (*callback) (struct fleet *fleet));
void fleet_signal (struct fleet_host *host, int number);
/** Run for MS, then end all processes.
 * @return false if the hosts were not ready */
void fleet_run (struct fleet *fleet, unsigned ms);
/** Write all requests to the record and end. */
int fleet_finish (struct fleet *fleet, const char *rule, unsigned broken,
                  unsigned allowed);
/** Requests from kept connections that HOST passed on to a sound engine and
 * whose connection it closed without an answer. */
unsigned fleet_count_lost (struct fleet *fleet, unsigned host);
const char *fleet_field (const struct callerconn *conn, const char *name);

#endif
