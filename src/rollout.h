#ifndef ROLLOUT_H
#define ROLLOUT_H

#include "dialect.h"
#include "log.h"
#include "presence.h"
#include "servers.h"

/** @file
 * The rollout brings every engine to the weight version that the operator
 * wants. One host at a time is the leader of the rollout: the leader's key in
 * the KV service is tied to that host's lease, and the era of the service with
 * the revision of the key is the fencing token of its orders. Only a few
 * engines load weights at the same time, so that the others carry the load
 * meanwhile.
 */

struct rollout_settings
{
  /** Share of all engines that load weights at the same time. At least
   * `at_once` engines do, and more than this share if the time left requires
   * it. */
  double share;
  unsigned at_once;  /**< Number of engines that may load weights at the same
                        time even if `share` amounts to fewer. */
  int64_t within_ns; /**< Time within which all engines should have loaded new
                        weights. */
  bool fenced; /**< Whether engines refuse orders of an earlier leader. */
  /** Time that a new leader waits before its first order if engines do not
   * refuse the orders of an earlier leader. */
  int64_t takeover_wait_ns;
  int64_t call_timeout_ns; /**< Timeout of one call to an engine. */
};

struct rollout
{
  struct rollout_settings settings;
  struct kv *kv;
  const struct clock *clock;
  struct log *log;
  const struct dialect *dialect;
  struct httpjson *httpjson;
  struct presence *presence;
  struct servers *servers;
  /** Maps model names to struct wanted_weights; not owned. */
  GHashTable *wanted;
  const char *leader_key;
  /** Value that this process writes to the leader's key. It is unique to this
   * run of the process. */
  char *instance_name;
  bool has_leader;          /**< Whether some host is the leader. */
  uint64_t era;             /**< Era of the KV service; 0 if it states none. */
  uint64_t fencing_token;   /**< Fencing token of this host's orders; 0 if this
                               host is not the leader. */
  uint64_t leader_revision; /**< Revision of the leader's key with which this
                               host last became the leader. */
  /** Lease with which this host last became the leader. */
  uint64_t leader_lease;
  uint64_t claim_lease; /**< Lease of this host's last claim to leadership. */
  /** Revision of the leader's key that the last claim requires. */
  uint64_t claim_revision;
  /** Revision of the leader's key if its value names this process, else 0. */
  uint64_t own_key_revision;
  /** Fencing token of this host that an engine refused because it had received
   * an order of a later leader. */
  uint64_t refused_token;
  int64_t leader_since_ns; /**< Time at which this host became the leader. */
  /** Time since which there is no leader, as far as this host can tell. */
  int64_t vacant_since_ns;
  bool claim_pending;
  bool release_pending;
  bool stopping;
  /** Whether other hosts reach engines that this host does not, so that one of
   * them has to be the leader. */
  bool unfit;
  GHashTable *engines;  /**< Maps server ids to struct rollout_engine. */
  unsigned loading_max; /**< Maximum number of engines that may load weights at
                           the same time. */
  unsigned loading_count; /**< Number of engines that load weights now. */
  uint64_t order_count;   /**< Number of orders sent since the start of the
                             process. */
  int64_t last_order_ns;  /**< Time at which the last order was sent; 0 if none
                             was. */
};

/** LEADER_KEY and the interfaces must outlive ROLLOUT. */
void rollout_init (struct rollout *rollout,
                   const struct rollout_settings *settings, struct kv *kv,
                   const struct clock *clock, struct log *log,
                   const struct dialect *dialect, struct httpjson *httpjson,
                   struct presence *presence, struct servers *servers,
                   GHashTable *wanted, const char *leader_key,
                   const char *instance_name);
void rollout_finish (struct rollout *rollout);

/** Handles the write of VALUE to the leader's key at REVISION. */
void rollout_leader_key_put (struct rollout *rollout, const char *value,
                             uint64_t revision);
/** Handles the removal of the leader's key. */
void rollout_leader_key_removed (struct rollout *rollout);

/** The KV service is in ERA. If IS_RISE, it has come back from a backup, and
 * the leadership has to be won anew. */
void rollout_era_changed (struct rollout *rollout, uint64_t era, bool is_rise);

/** Releases the leadership and sends no more orders. */
void rollout_stop (struct rollout *rollout);

/** Sets whether other hosts reach engines that this host does not. A leader
 * releases the leadership then, and claims it no more until UNFIT is false. */
void rollout_set_unfit (struct rollout *rollout, bool unfit);

/** Stop acting as the leader, if this host is it. REASON goes to the log. */
void rollout_lose_leadership (struct rollout *rollout, const char *reason);

/** Whether this host is the leader and may send orders now. */
bool rollout_may_order (const struct rollout *rollout);

/** Whether this host has ordered SERVER to load weights and SERVER has not
 * confirmed them yet. */
bool rollout_server_is_loading (const struct rollout *rollout,
                                const struct server *server);

/** Whether this host is the leader and sent an order within SPAN_NS. */
bool rollout_was_active (const struct rollout *rollout, int64_t span_ns);

void rollout_tick (struct rollout *rollout);

#endif
