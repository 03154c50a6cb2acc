#ifndef CACHEGC_H
#define CACHEGC_H

#include "kvstores.h"
#include "cacheretire.h"
#include "rollout.h"

/** @file
 * Frees blocks at the KV cache stores that were computed with retired weights:
 * weights that no engine has loaded any more, or whose blocks no host fetches
 * any more. The leader of the rollout does this, once fetches that were sent
 * before the weights were retired must have ended.
 */

enum
{
  CACHEGC_VERSIONS_MAX = 8 /**< Retired versions per model whose blocks are
                              freed. */
};

struct cachegc_model
{
  uint64_t oldest_fetched; /**< Blocks of older weight versions are not
                                fetched. */
  struct
  {
    uint64_t version; /**< Retired weight version; 0: the element is unused. */
    int64_t since_ns;
  } retired[CACHEGC_VERSIONS_MAX]; /**< A version is at the index VERSION
                                      modulo the length. */
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

/** Updates the retired versions of all models; on the leader of the rollout,
 * asks the stores to free their blocks. */
void cachegc_tick (struct cachegc *cachegc);

#endif
