#ifndef ROLLOUT_H
#define ROLLOUT_H

#include "dialect.h"
#include "log.h"
#include "presence.h"
#include "servers.h"

/** @file
 * The rollout brings every engine to the weight version that the operator
 * wants. One host at a time is the leader of the rollout: the leader's key in
 * the KV service is tied to that host's lease, and the revision of the key is
 * the fencing token of its orders. Only a few engines load weights at the
 * same time, so that the others carry the load meanwhile.
 */

struct rollout_settings
{
  /** Engines that load weights at the same time: this share of all engines,
   * and at least at_once; more if the time left requires it. */
  double share;
  unsigned at_once;
  int64_t within_ns; /**< Time within which all engines have new weights. */
  bool fenced;       /**< Engines refuse orders of an earlier leader. */
  /** How long a new leader waits before its first order if engines do not
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
  GHashTable *wanted; /**< Model to struct wanted_weights, not owned. */
  const char *leader_key;
  /** The value that this process writes to the leader's key; no other process
   * and no other start of this one uses it. */
  char *instance_name;
  bool has_leader; /**< Some host is the leader. */
  uint64_t
      fencing_token;     /**< Fencing token; 0: this host is not the leader. */
  uint64_t leader_lease; /**< Lease that the leader's key is tied to. */
  uint64_t claim_lease;  /**< Lease of this host's last claim to leadership. */
  /** Revision of the leader's key if it names this process, else 0. */
  uint64_t own_key_revision;
  /** Fencing token of this host that an engine refused, since it had received
   * an order of a later leader. */
  uint64_t refused_token;
  int64_t leader_since_ns; /**< When this host became the leader. */
  /** Since when there is no leader, as far as this host can tell. */
  int64_t vacant_since_ns;
  bool claim_pending;
  bool stopping;
  GHashTable *engines;    /**< Server id to struct rollout_engine. */
  unsigned loading_max;   /**< Most engines that may load at the same time. */
  unsigned loading_count; /**< Engines that load weights now. */
  uint64_t order_count;   /**< Orders sent since the start. */
  int64_t last_order_ns;  /**< When the last order was sent; 0: never. */
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

/** The leader's key was written. */
void rollout_leader_key_put (struct rollout *rollout, const char *value,
                             uint64_t revision);
/** The leader's key was removed. */
void rollout_leader_key_removed (struct rollout *rollout);

/** Releases the leadership and sends no more orders. */
void rollout_stop (struct rollout *rollout);

/** Whether this host is the leader and may send orders now. */
bool rollout_may_order (const struct rollout *rollout);

/** Whether SERVER loads weights in this host's rollout: ordered to load them,
 * and not yet confirmed. */
bool rollout_server_is_loading (const struct rollout *rollout,
                                const struct server *server);

/** Whether this host is the leader and sent an order within SPAN_NS. */
bool rollout_was_active (const struct rollout *rollout, int64_t span_ns);

void rollout_tick (struct rollout *rollout);

#endif
