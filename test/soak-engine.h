#ifndef SOAK_ENGINE_H
#define SOAK_ENGINE_H

#include "callerserver.h"
#include "soak-statement.h"
#include "soak-store.h"

/** @file
 * A stand-in of an engine, which checks what it is asked to run.
 */

struct soak_engine
{
  unsigned software; /**< Version of its software, drawn at each start. */
  struct soak *soak;
  struct soak_store *store;
  struct callerserver *server; /**< NULL while it is down */
  GPtrArray *servers;          /**< all that it had */
  uint16_t port;
  uint16_t address_port; /**< under which it is reached */
  char id[24];
  unsigned starts;
  bool draining;
  struct soak_statement statement;
  int64_t change_ns;  /**< next step of a crash or a drain; 0: none */
  unsigned store_era; /**< Era of the store in which it wrote its entry. */
  int64_t rewrite_ns; /**< Time at which it writes its entry again in a new
                         era; 0: it has. */
  double limit; /**< Requests per second that it says it takes; 0: it says
                   none. */
  int64_t limit_since_ns;
  GArray *limit_arrivals; /**< Times of requests since it says so. */
  bool limit_broken;
  int64_t cold_until_ns; /**< It is cold until then. */
  GArray *cold_arrivals; /**< Times of what came while it was. */
  double lost;           /**< Share of runs whose answer is cut off. */
  struct list runs;
  unsigned run_count;
};

void soak_engine_init (struct soak_engine *engine, struct soak *soak,
                       struct soak_store *store, uint16_t port,
                       uint16_t address_port);
void soak_engine_finish (struct soak_engine *engine);

/** Change its software from the one that was drawn. */
void soak_engine_set_software (struct soak_engine *engine, unsigned version);

void soak_engine_tick (struct soak_engine *engine);

/** It states LIMIT requests per second in its responses, or none if that is
 * 0. */
void soak_engine_limit (struct soak_engine *engine, double limit);

/** It is gone at once and comes back anew. */
void soak_engine_crash (struct soak_engine *engine);

/** It says in its entry that it leaves, serves on for a while, and comes back
 * anew. */
void soak_engine_drain (struct soak_engine *engine);

/** The same, but it says so in its responses only. */
void soak_engine_leave (struct soak_engine *engine);

/** It turns requests away for a while and asks for a pause. */
void soak_engine_pause (struct soak_engine *engine);

#endif
