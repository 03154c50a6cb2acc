#ifndef FAKE_HOSTS_H
#define FAKE_HOSTS_H

#include "fake-kv.h"
#include "fake-upstream.h"
#include "forwarder.h"
#include "serverprobe.h"

/** @file
 * Some entry hosts in one process, with the real modules of the request's way
 * and some engines. Each host has addresses of its own for the engines, so
 * that its links can be cut.
 */

enum
{
  FAKE_HOSTS = 3,
  FAKE_HOSTS_ENGINES = 8
};

/** How connections to the engines fail while the links are cut. */
enum fake_hosts_cut
{
  FAKE_HOSTS_HANG,
  FAKE_HOSTS_REFUSE,
  FAKE_HOSTS_SILENT, /**< They open, and nothing is answered. */
  FAKE_HOSTS_RESET   /**< They open and are reset once something is sent. */
};

struct fake_host
{
  struct servers servers;
  struct serverprobes probes;
  struct poisoncount poison;
  struct blameshare blameshare;
  struct kvstores kvstores;
  struct presence presence;
  struct kvview operator_view;
  struct cacheretire retire;
  struct streamorigin origin;
  struct loadshare loadshare;
  struct otherhosts otherhosts;
  struct forwarder forwarder;
  struct callerserver front;
  struct callerserver host_server;
  /** The engines as this host's links lead to them. */
  struct fake_upstream engines[FAKE_HOSTS_ENGINES];
  char addresses[FAKE_HOSTS_ENGINES][32];
};

struct fake_hosts
{
  uv_loop_t loop;
  uv_timer_t timer;
  struct clock clock;
  struct log log;
  struct metrics metrics;
  struct rng rng;
  struct fake_kv kv;
  struct fake_kv_client client;
  struct fake_host hosts[FAKE_HOSTS];
  double datagram_loss;  /**< Share of the reports that are lost. */
  bool down[FAKE_HOSTS]; /**< Hosts that were killed. */
  int64_t next_reports_ns;
  int hole; /**< Listens, but accepts no connections any more. */
  char hole_address[32];
  struct fake_upstream silent;
  struct fake_upstream resetting;
  GHashTable *runs;  /**< Maps ids of requests to run once to the number of
                        times that an engine or a cut link got them. */
  unsigned repeated; /**< Times that one came again. */
  GString *answer;
  unsigned passed_on; /**< Times that a request was passed on. */
};

extern struct fake_hosts fleet;

/** Engines answer with STEP. */
void fake_hosts_setup (const struct fake_upstream_step *step);
void fake_hosts_finish (void);

/** Cut the links of host INDEX to all engines. */
void fake_hosts_cut (unsigned index, enum fake_hosts_cut how);
/** Cut the link of host INDEX to ENGINE only. */
void fake_hosts_cut_link (unsigned index, unsigned engine,
                          enum fake_hosts_cut how);
/** Kill host INDEX: it accepts nothing and reports nothing any more. */
void fake_hosts_kill (unsigned index);
/** The links of host INDEX work again. */
void fake_hosts_heal (unsigned index);

void fake_hosts_run_for (int64_t ms);

/** Returns the number of requests that engines got over all links. */
unsigned fake_hosts_engine_requests (void);
/** Returns the number of queries for their state that they got, those over cut
 * links included. */
unsigned fake_hosts_engine_queries (void);

#endif
