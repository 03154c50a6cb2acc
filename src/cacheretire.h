#ifndef CACHERETIRE_H
#define CACHERETIRE_H

#include "clock.h"
#include "kvview.h"
#include "log.h"
#include "presence.h"
#include "servers.h"

/** @file
 * Decides which weight versions' blocks the hosts still fetch from the KV
 * cache stores, so that the others can be freed. During a rollout under load
 * the stores are full of blocks of the old weights and have no capacity for
 * the blocks that are recomputed with the new ones.
 *
 * Once most engines of a model have newer weights, a host stops fetching
 * blocks of the older weights and announces this in its registry entry. When
 * all hosts have announced it, these blocks can be freed although some engines
 * still have the old weights. The other hosts do not wait for a host whose
 * lease may have expired, so that host only fetches blocks of the newest
 * weights that it has seen at any engine, and none unless another host
 * confirms that it knows all changes by the operator: others may name newer
 * weights.
 */

struct cacheretire
{
  const struct clock *clock;
  struct log *log;
  const struct servers *servers;
  struct presence *presence;
  const struct kvview *operator_view;
  GHashTable *wanted; /**< Maps model names to struct wanted_weights; not
                           owned. */
  GHashTable *models; /**< Maps model names to struct cacheretire_model. */
  int64_t next_check_ns;
};

void cacheretire_init (struct cacheretire *cacheretire,
                       const struct clock *clock, struct log *log,
                       const struct servers *servers,
                       struct presence *presence,
                       const struct kvview *operator_view, GHashTable *wanted);
void cacheretire_finish (struct cacheretire *cacheretire);

/** Checks the engines' weight versions. Once most engines of a model have
 * newer weights, this host stops fetching blocks of the older ones and
 * announces this. */
void cacheretire_tick (struct cacheretire *cacheretire);

/** Whether this host may fetch blocks that were computed with VERSION of
 * MODEL's weights. */
bool cacheretire_allows_fetch (const struct cacheretire *cacheretire,
                               const char *model, uint64_t version);

/** Returns the version of MODEL's weights below which no host fetches blocks;
 * 0 if no version is retired on all hosts. */
uint64_t cacheretire_fleet_version (const struct cacheretire *cacheretire,
                                    const char *model);

#endif
