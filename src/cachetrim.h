#ifndef CACHETRIM_H
#define CACHETRIM_H

#include "kvstores.h"
#include "retire.h"
#include "weightswap.h"

/** @file
 * Frees parts at the stores that were made by weights which no engine has any
 * more, or which no host fetches any more. Done by the holder of the weights'
 * duty, and only after the longest time that a fetch which was sent before may
 * take.
 */

enum
{
  CACHETRIM_VERSIONS = 8 /**< Older versions that are looked for. */
};

struct cachetrim_model
{
  uint64_t oldest; /**< version of its weights of which parts may be fetched */
  struct
  {
    uint64_t version; /**< of which no part is fetched any more; 0: unused */
    int64_t since_ns;
  } cleared[CACHETRIM_VERSIONS]; /**< by version modulo their number */
};

struct cachetrim
{
  const struct clock *clock;
  struct log *log;
  const struct dialect *dialect;
  struct httpjson *httpjson;
  struct weightswap *weightswap;
  struct kvstores *kvstores;
  struct servers *servers;
  const struct retire *retire;
  GHashTable *models; /**< name to struct cachetrim_model */
  int64_t next_ns;
};

void cachetrim_init (struct cachetrim *cachetrim, const struct clock *clock,
                     struct log *log, const struct dialect *dialect,
                     struct httpjson *httpjson, struct weightswap *weightswap,
                     struct kvstores *kvstores, struct servers *servers,
                     const struct retire *retire);

void cachetrim_finish (struct cachetrim *cachetrim);

void cachetrim_tick (struct cachetrim *cachetrim);

#endif
