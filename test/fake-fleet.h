#ifndef FAKE_FLEET_H
#define FAKE_FLEET_H

#include "grantrequest.h"
#include "fake-kv.h"
#include "kvbudget.h"
#include "once.h"
#include "owner.h"
#include "requeststate.h"

#include <glib.h>

/** @file
 * A fleet in one process: shards with owner and once over one KV service,
 * gateways that follow settle, a backend server that counts runs, messages
 * with a delay between them, and a checker of the promises.
 */

enum
{
  FLEET_SHARDS = 3,
  FLEET_GATEWAYS = 3,
  FLEET_KEYS_MAX = 4096
};

/** Mechanisms that can be switched off. */
enum fleet_mutant
{
  FLEET_SOUND,
  FLEET_GRANT_NOT_DURABLE,  /**< Grants are not written at all. */
  FLEET_TRUST_LOST_REPLY,   /**< A lost reply counts as written. */
  FLEET_NO_OWNER_COMPARE,   /**< The owner record is not compared. */
  FLEET_NO_SEGMENT_COMPARE, /**< The segments are not compared. */
  FLEET_NO_LOAD,            /**< A new owner starts empty. */
  FLEET_NO_MARGIN,          /**< Ownership outlasts the lease. */
  FLEET_GRANT_USED_TWICE,   /**< After a cut the gateway tries again. */
  FLEET_LATE_GRANT_USED,    /**< A grant after the refusal is used. */
  FLEET_CROSSED_END_TAKEN,  /**< Anyone's outcome is recorded. */
  FLEET_NO_FINGERPRINT,     /**< Bodies are not compared. */
  FLEET_NO_ORGANISATION,    /**< Keys are not per organisation. */
  FLEET_MUTANT_COUNT
};

enum fleet_promise
{
  FLEET_ONE_RUN,       /**< Never two runs of one key. */
  FLEET_TRUE_REFUSAL,  /**< No refusal as not run that ran. */
  FLEET_ACK_RAN_ONCE,  /**< Each acknowledged request ran exactly once. */
  FLEET_FIRST_OUTCOME, /**< What was recorded first is what is replayed. */
  FLEET_CONFLICT,      /**< Another body is a conflict, nothing else is. */
  FLEET_ANSWERED,      /**< At rest each key has a definite answer. */
  FLEET_PROMISE_COUNT
};

struct fleet;

struct fleet_shard
{
  struct owner owner; /* first, as the callbacks need it */
  struct once once;
  struct kv filter; /* the mutants of the KV calls */
  struct fake_kv_client client;
  struct kvbudget budget;
  struct fleet *fleet;
  bool alive;
  bool paused;
  int64_t changed_ns; /* when it was last paused or started */
};

struct fleet_gateway
{
  struct grantrequests asks;
  struct fleet *fleet;
  uint64_t incarnation;
  bool alive;
  bool paused;
  int64_t changed_ns;
};

struct fleet_key
{
  char organisation[16];
  char key[32];
  unsigned bodies; /* bit set of those asked with */
  unsigned handed; /* attempts handed over and not disowned */
  unsigned runs;
  uint64_t runner; /* request */
  bool recorded;   /* a known outcome is durable */
};

struct fleet_request
{
  struct requeststate settle;
  uint64_t id;
  unsigned key;
  unsigned body;
  unsigned gateway;
  uint64_t incarnation; /* of the gateway */
  int64_t begun_ns;
  int64_t next_ns; /* when the gateway does the next step */
  enum requeststate_record record;
  struct grantrequest *ask;
  bool dropped; /* its gateway died */
  bool ran;
};

struct fleet_faults
{
  bool no_backend;   /**< The gateway finds no connection and refuses. */
  bool cut;          /**< The backend server runs, its reply is lost. */
  bool not_started;  /**< The backend server says so. */
  bool all_owners;   /**< Each ask goes to all shards at once. */
  bool answers_lost; /**< From shards to gateways. */
  int64_t delay_ns;  /**< More delay of all messages. */
  double duplicate;  /**< Share of messages that come twice. */
  bool crossed_end;  /**< Ends of requests that hold no grant. */
};

struct fleet
{
  struct clock_fake clock;
  struct rng rng;
  struct fake_kv kv;
  struct fleet_faults faults;
  enum fleet_mutant mutant;
  struct fleet_shard shards[FLEET_SHARDS];
  struct fleet_gateway gateways[FLEET_GATEWAYS];
  struct fleet_key keys[FLEET_KEYS_MAX];
  GPtrArray *requests; /* by id - 1 */
  GPtrArray *active;   /* not yet at rest */
  GArray *messages;
  uint64_t incarnation;
  unsigned broken[FLEET_PROMISE_COUNT];
  char first[160]; /* what broke first */
  unsigned outcomes[REQUESTSTATE_OUTCOME_COUNT];
  int64_t request_timeout_ns;
  struct owner_settings owner_settings;
  struct once_settings once_settings;
  struct kvbudget_settings budget_settings;
};

void fleet_init (struct fleet *fleet, enum fleet_mutant mutant, uint64_t seed);
void fleet_finish (struct fleet *fleet);

/** Start the shards and gateways; the settings may be changed before. */
void fleet_start (struct fleet *fleet);

/** Move on by STEP_NS and do all that is due. */
void fleet_step (struct fleet *fleet, int64_t step_ns);
void fleet_run (struct fleet *fleet, int64_t ns);

/** A caller sends a request with KEY and BODY to GATEWAY.
 * @return its id, or 0 if the gateway is dead. */
uint64_t fleet_send (struct fleet *fleet, unsigned gateway, unsigned key,
                     unsigned body);
struct fleet_request *fleet_request (struct fleet *fleet, uint64_t id);

/** The shard that ought to own the partition of KEY now. */
unsigned fleet_owner (struct fleet *fleet, unsigned key);
/** The record of KEY there, or NULL (struct oncerecord). */
const void *fleet_record (struct fleet *fleet, unsigned key);

void fleet_shard_start (struct fleet *fleet, unsigned shard);
void fleet_shard_kill (struct fleet *fleet, unsigned shard);
void fleet_shard_pause (struct fleet *fleet, unsigned shard, bool paused);
void fleet_gateway_start (struct fleet *fleet, unsigned gateway);
void fleet_gateway_kill (struct fleet *fleet, unsigned gateway);
void fleet_gateway_pause (struct fleet *fleet, unsigned gateway, bool paused);

/** End all faults, come to rest, ask for each of the first KEYS keys again
 * and check the answers. */
void fleet_check_rest (struct fleet *fleet, unsigned keys);

unsigned fleet_broken (const struct fleet *fleet);

#endif
