#ifndef CACHETRIM_H
#define CACHETRIM_H

#include "kvstores.h"
#include "retire.h"
#include "weightswap.h"

/** @file
 * Frees blocks at the KV cache stores that were computed with retired weights:
 * weights that no engine has loaded any more, or whose blocks no host fetches
 * any more. The leader of the rollout does this, once fetches that were sent
 * before the weights were retired must have ended.
 */

enum
{
  CACHETRIM_VERSIONS = 8 /**< Retired versions per model whose blocks are
                              freed. */
};

struct cachetrim_model
{
  uint64_t oldest_fetched; /**< Blocks of older weight versions are not
                                fetched. */
  struct
  {
    uint64_t version; /**< Retired weight version; 0: the element is unused. */
    int64_t since_ns;
  } retired[CACHETRIM_VERSIONS]; /**< A version is at the index VERSION modulo
                                      the length. */
};

struct cachetrim
{
  const struct clock *clock;
  struct log *log;
  const struct dialect *dialect;
  struct httpjson *httpjson;
  struct weightswap *rollout;
  struct kvstores *kvstores;
  struct servers *servers;
  const struct retire *cacheretire;
  GHashTable *models; /**< Maps model names to struct cachetrim_model. */
  int64_t next_round_ns;
};

void cachetrim_init (struct cachetrim *cachegc, const struct clock *clock,
                     struct log *log, const struct dialect *dialect,
                     struct httpjson *httpjson, struct weightswap *rollout,
                     struct kvstores *kvstores, struct servers *servers,
                     const struct retire *cacheretire);
void cachetrim_finish (struct cachetrim *cachegc);

/** Updates the retired versions of all models; on the leader of the rollout,
 * asks the stores to free their blocks. */
void cachetrim_tick (struct cachetrim *cachegc);

#endif
