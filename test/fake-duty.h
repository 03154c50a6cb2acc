#ifndef FAKE_DUTY_H
#define FAKE_DUTY_H

#include "fake-kv.h"
#include "kvera.h"
#include "kvview.h"
#include "presence.h"
#include "rollout.h"

/** @file
 * Three hosts that compete for the leadership of the rollout, on one KV
 * service, and engines that follow the rules for orders.
 */

enum
{
  DUTY_HOSTS = 3,
  DUTY_ENGINES = 6
};

#define DUTY_LEADER_KEY "t/duty/weights"
#define DUTY_LEASE_TTL_NS (3 * NS_PER_S)

/* An engine that follows the rules for orders: it loads weights in one second
 * and refuses an order with a lower fencing token than it has seen. */
struct duty_engine
{
  uint64_t version;
  uint64_t target_version;
  int64_t loaded_ns;
  uint64_t fencing_token;
  uint64_t order_count;
  struct statement statement;       /* In its reports. */
  struct statement order_statement; /* The same, to orders, which it refuses
                                       while it states a pause. */
  unsigned queries;
};

struct duty_host
{
  struct fake_kv_client client;
  struct kvera era;
  struct kvview view;
  struct presence presence;
  struct servers servers;
  struct rollout rollout;
  GHashTable *wanted;
  bool running;
};

struct duty
{
  uv_loop_t loop;
  struct clock_fake clock;
  struct fake_kv kv;
  struct log log;
  struct duty_host hosts[DUTY_HOSTS];
  struct duty_engine engines[DUTY_ENGINES];
  unsigned most_loading;
  unsigned refused_orders;
  /* Whether the engines' answers to orders are lost, or those that say that
   * weights are loaded are held back. */
  bool order_answers_are_lost;
  bool done_answers_are_late;
  /* Whether the engines report what was true before their first order. */
  bool reports_are_old;
};

extern struct duty duty;

void duty_setup (void);
/** The KV service states ERA from the start. */
void duty_setup_in_era (uint64_t era);
void duty_finish (void);
void duty_run_for_ms (unsigned duration_ms);
void duty_set_wanted_version (uint64_t version);
unsigned duty_leader_count (void);
unsigned duty_leader_index (void);
bool duty_all_engines_have (uint64_t version);
void duty_engine_advance (struct duty_engine *engine);

#endif
