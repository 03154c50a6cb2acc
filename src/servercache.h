#ifndef SERVERCACHE_H
#define SERVERCACHE_H

#include "list.h"

#include <stdint.h>

/** @file
 * The prompt blocks that are expected to be in the KV cache of a backend
 * server, by the requests that this process sent to it.
 */

struct server;

/** A prompt block that is expected to be in the KV cache of a server. */
struct server_block
{
  struct list node; /**< Entry in the server's list blocks_by_use. */
  uint64_t id;
  unsigned tokens;
  int64_t used_ns;
};

struct call_block;

/** Returns the number of tokens in the leading blocks of BLOCKS that are
 * expected to be in the KV cache of SERVER. */
uint64_t server_cached_tokens (const struct server *server,
                               const struct call_block *blocks,
                               unsigned count);

/** Records that SERVER has prefilled BLOCKS. Requests of other hosts evict
 * blocks as well, so this host assumes that only its equal share of the cache
 * memory holds blocks of its own requests. The least recently used blocks
 * beyond that share are dropped from the record. */
void server_cache_add (struct server *server, const struct call_block *blocks,
                       unsigned count, int64_t now_ns);

/** Records that the KV cache of SERVER is empty. */
void server_cache_clear (struct server *server);

#endif
