#ifndef CACHEGC_H
#define CACHEGC_H

#include "kvstores.h"
#include "cacheretire.h"
#include "rollout.h"

/** @file
 * Frees blocks at the KV cache stores that were computed with retired weights.
 * Weights are retired when no engine has them loaded any more, or when no host
 * fetches their blocks any more. The leader of the rollout frees the blocks
 * after a delay, by which all fetches that began before the weights were
 * retired have ended.
 */

enum
{
  CACHEGC_VERSIONS_MAX = 8 /**< Maximum number of retired versions per model
                              whose blocks are freed. */
};

struct cachegc_model
{
  uint64_t oldest_fetched_version; /**< Oldest weight version whose blocks are
                              still fetched. */
  struct
  {
    /** Retired weight version; 0 if the element is unused. */
    uint64_t version;
    int64_t since_ns; /**< Time since which the version is retired. */
  } retired[CACHEGC_VERSIONS_MAX]; /**< Each version is at the index `version`
                                      modulo the length of the array. */
};

struct cachegc
{
  const struct clock *clock;
  struct log *log;
  const struct dialect *dialect;
  struct httpjson *httpjson;
  struct rollout *rollout;
  struct kvstores *kvstores;
  struct servers *servers;
  const struct cacheretire *cacheretire;
  GHashTable *models; /**< Maps model names to struct cachegc_model. */
  int64_t next_round_ns;
};

void cachegc_init (struct cachegc *cachegc, const struct clock *clock,
                   struct log *log, const struct dialect *dialect,
                   struct httpjson *httpjson, struct rollout *rollout,
                   struct kvstores *kvstores, struct servers *servers,
                   const struct cacheretire *cacheretire);
void cachegc_finish (struct cachegc *cachegc);

/** Updates the retired versions of all models. If this host is the leader of
 * the rollout, asks the stores to free the blocks of these versions. */
void cachegc_tick (struct cachegc *cachegc);

#endif
