#ifndef FAKE_ORDERS_H
#define FAKE_ORDERS_H

#include "fake-kv.h"
#include "orderissuer.h"

/** @file
 * Order issuers and engines in one process with a fake clock. Counters of
 * struct fake_orders record violations of the invariants.
 */

enum
{
  FAKE_ISSUERS = 3,
  /** Engines with an odd index do not check fencing tokens. */
  FAKE_ENGINES = 8,
  FAKE_LOADS_MAX = 2, /**< Maximum number of parallel loads. */
  FAKE_VERSIONS = 32,
  FAKE_MESSAGES = 256
};

/** Mechanism of an issuer that a mutant switches off. */
enum fake_mutant
{
  FAKE_MUTANT_NONE,
  /** An issuer does not wait for the delivery of its predecessor's orders. */
  FAKE_MUTANT_NO_DELIVERY_WAIT,
  /** The lease is not checked before an order is sent. */
  FAKE_MUTANT_NO_LEASE_CHECK,
  /** Permits do not limit the parallel loads of all issuers. */
  FAKE_MUTANT_NO_PERMIT,
  /** A planned stop releases the lease before the loads have ended. */
  FAKE_MUTANT_NO_STOP_WAIT,
  /** Issuers see no running requests on the engines. */
  FAKE_MUTANT_IGNORE_RUNNING
};

struct fake_issuer
{
  struct owner owner;
  struct fake_kv_client client;
  struct orderissuer order_issuer;
  unsigned index;
  uint64_t node_id;
  uint64_t config_revision; /**< Revision of the configuration in force. */
  bool alive;
  bool paused;
  bool stopping;
};

struct fake_engine
{
  char name[16];
  bool checks_fencing;
  /** Whether the engine accepts orders without executing them. */
  bool ignores_orders;
  uint64_t fencing_token; /**< Highest token of the accepted orders. */
  uint64_t incarnation;
  uint64_t sequence;
  void *order_ids; /**< GHashTable with the ids of the accepted orders. */
  bool loaded[FAKE_VERSIONS];
  /** Time at which the load of each version ends; 0 if none is running. */
  int64_t load_end_ns[FAKE_VERSIONS];
  int64_t stream_end_ns[FAKE_VERSIONS];
  unsigned load_count;   /**< Number of started loads. */
  unsigned unload_count; /**< Number of finished unloads. */
  unsigned refused_count;
  /** Versions loaded at the last update of the report. */
  bool reported[FAKE_VERSIONS];
  uint32_t reported_running;
};

/** Order or reply in flight. */
struct fake_message
{
  int64_t due_ns; /**< Time of delivery; 0 if the entry is unused. */
  bool is_reply;
  /** Whether the reply is lost, so that the issuer gets STATUS_UNKNOWN. */
  bool reply_lost;
  uint64_t issuer_node;
  unsigned issuer;
  unsigned engine;
  uint64_t number;
  uint64_t fencing_token;
  enum status status;
  unsigned version;
  bool unload;
  char id[ORDERISSUER_ID_MAX];
};

struct fake_orders
{
  struct clock_fake clock;
  struct fake_kv kv;
  struct rng rng;
  enum fake_mutant mutant;
  double reply_lost_share; /**< Share of replies that are lost. */
  int64_t order_delay_ns;  /**< Delay of an order; 0 means random. */
  struct fake_issuer issuers[FAKE_ISSUERS];
  struct fake_engine engines[FAKE_ENGINES];
  struct fake_message messages[FAKE_MESSAGES];
  struct config *config;
  unsigned current_version; /**< Version that new requests use. */
  unsigned newest_version;  /**< Newest declared version. */
  uint64_t last_node_id;
  unsigned max_parallel_loads; /**< Highest number of parallel loads. */
  /** Orders accepted after one with a higher fencing token. */
  unsigned stale_order_count;
  unsigned cut_stream_count;     /**< Streams whose version was unloaded. */
  unsigned current_unload_count; /**< Unloads of the current version. */
  unsigned event_counts[ORDERISSUER_EVENT_COUNT];
};

void fake_orders_init (struct fake_orders *fake, uint64_t seed);
void fake_orders_finish (struct fake_orders *fake);

void fake_orders_issuer_start (struct fake_orders *fake, unsigned issuer);
/** Start a planned stop of ISSUER. */
void fake_orders_issuer_stop (struct fake_orders *fake, unsigned issuer);
void fake_orders_issuer_kill (struct fake_orders *fake, unsigned issuer);

/** Apply the configuration change TEXT. An issuer that is paused applies it
 * after it resumes. */
void fake_orders_config_change (struct fake_orders *fake, const char *text);
/** Make VERSION, which must be declared, the one that new requests use. */
void fake_orders_set_current_version (struct fake_orders *fake,
                                      unsigned version);

/** Start a stream of the current version on ENGINE, if the version is loaded
 * there. */
void fake_orders_stream_start (struct fake_orders *fake, unsigned engine,
                               int64_t duration_ns);

/** Advance the clock and the fleet by 10 ms. */
void fake_orders_step (struct fake_orders *fake);
void fake_orders_run (struct fake_orders *fake, int64_t duration_ns);

/** @return The number of engines that have loaded VERSION. */
unsigned fake_orders_engines_with_version (const struct fake_orders *fake,
                                           unsigned version);

#endif
