#ifndef SOAK_DRILL_H
#define SOAK_DRILL_H

#include "soak-store.h"

/** @file
 * Drills of the store: it goes away for a moment and comes back from a backup
 * some seconds old. Then the operator and the engines write again what they
 * had written.
 */

struct soak_drill
{
  struct soak *soak;
  struct soak_store *store;
  void (*operator_rewrite) (void *data);
  void *data;
  int64_t away_ns;    /**< Time at which it goes away; 0: no drill. */
  int64_t back_ns;    /**< Time at which it comes back. */
  int64_t rewrite_ns; /**< Time at which the operator writes again; 0: done. */
};

void soak_drill_init (struct soak_drill *drill, struct soak *soak,
                      struct soak_store *store,
                      void (*operator_rewrite) (void *data), void *data);

/** Begin a drill, unless one is in progress. */
void soak_drill_start (struct soak_drill *drill);

void soak_drill_tick (struct soak_drill *drill);

#endif
