#ifndef FAKE_ORDERS_H
#define FAKE_ORDERS_H

#include "fake-kv.h"
#include "orderissuer.h"

/** @file
 * Issuers of orders and the engines that take them, in one process with a
 * fake clock, and the invariants that must hold at each step.
 */

enum
{
  FAKE_ISSUERS = 3,
  FAKE_ENGINES = 8, /**< The odd ones ignore fencing numbers. */
  FAKE_LIMIT = 2,   /**< loads at a time */
  FAKE_VERSIONS = 32,
  FAKE_MESSAGES = 256
};

/** What a mutant of an issuer leaves out. */
enum fake_mutant
{
  FAKE_MUTANT_NONE,
  FAKE_MUTANT_NO_WAIT,   /**< until an earlier issuer's orders have arrived */
  FAKE_MUTANT_NO_HOLD,   /**< check of the lease before each send */
  FAKE_MUTANT_NO_PERMIT, /**< of the loads of all issuers */
  FAKE_MUTANT_NO_IDLE,   /**< before a planned stop gives the lease back */
  FAKE_MUTANT_NO_RUNNING /**< look at what an engine runs */
};

struct fake_issuer
{
  struct owner owner;
  struct fake_kv_client client;
  struct orderissuer order;
  unsigned index;
  uint64_t node;
  uint64_t revision; /**< of the configuration that it has */
  bool alive;
  bool paused;
  bool stopping;
};

struct fake_engine
{
  char name[16];
  bool checks;
  bool bad; /**< accepts orders to load and does nothing */
  uint64_t fencing;
  uint64_t incarnation;
  uint64_t sequence;
  void *ids; /**< set of orders taken */
  bool loaded[FAKE_VERSIONS];
  int64_t loading[FAKE_VERSIONS]; /**< when it is done; 0: not loading */
  int64_t stream_end[FAKE_VERSIONS];
  unsigned loads;   /**< begun */
  unsigned unloads; /**< done */
  unsigned refused;
  bool seen[FAKE_VERSIONS]; /**< as the last report shows */
  uint32_t seen_running;
};

/** An order or its answer under way. */
struct fake_message
{
  int64_t due_ns; /**< 0: unused */
  bool reply;
  bool lost; /**< the answer */
  uint64_t node;
  unsigned issuer;
  unsigned engine;
  uint64_t number;
  uint64_t fencing;
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
  double lost;       /**< share of answers */
  int64_t flight_ns; /**< of an order; 0: random */
  struct fake_issuer issuers[FAKE_ISSUERS];
  struct fake_engine engines[FAKE_ENGINES];
  struct fake_message messages[FAKE_MESSAGES];
  struct config *config;
  unsigned current; /**< version */
  unsigned newest;  /**< version declared */
  uint64_t last_node;
  unsigned max_loads;    /**< most at a time */
  unsigned old_orders;   /**< taken after one with a higher number */
  unsigned cut_streams;  /**< whose version was unloaded */
  unsigned lost_current; /**< unloads of what new requests use */
  unsigned notes[ORDERISSUER_EVENT_COUNT];
};

void fake_orders_init (struct fake_orders *fake, uint64_t seed);
void fake_orders_finish (struct fake_orders *fake);

void fake_orders_start (struct fake_orders *fake, unsigned issuer);
/** Begin a planned stop. */
void fake_orders_stop (struct fake_orders *fake, unsigned issuer);
void fake_orders_kill (struct fake_orders *fake, unsigned issuer);

/** Put a change in force in all processes that are not paused. */
void fake_orders_change (struct fake_orders *fake, const char *text);
/** Make the declared version VERSION the one that new requests use. */
void fake_orders_use (struct fake_orders *fake, unsigned version);

/** Begin a stream of the current version on ENGINE, if it has it. */
void fake_orders_stream (struct fake_orders *fake, unsigned engine,
                         int64_t span_ns);

/** 10 ms. */
void fake_orders_step (struct fake_orders *fake);
void fake_orders_run (struct fake_orders *fake, int64_t span_ns);

/** The engines that have VERSION. */
unsigned fake_orders_having (const struct fake_orders *fake, unsigned version);

#endif
