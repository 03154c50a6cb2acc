/* What this host knows of the KV caches of servers; see servers.h. */
#include "servers.h"
#include "call.h"

/* Share of an engine's memory that running requests leave for cached
 * blocks. */
static const double cache_share_of_memory = 0.6;

static void
block_remove (struct server *server, struct server_block *block)
{
  list_remove (&block->node);
  server->cached_tokens -= block->tokens;
  g_hash_table_remove (server->cached_blocks, &block->id);
}

uint64_t
server_cached_tokens (const struct server *server,
                      const struct call_block *blocks, unsigned count)
{
  uint64_t tokens = 0;

  for (unsigned i = 0; i < count; i++)
    {
      const struct server_block *block
          = g_hash_table_lookup (server->cached_blocks, &blocks[i].id);

      if (block == NULL)
        break;
      tokens += block->tokens;
    }
  return tokens;
}

void
server_cache_add (struct server *server, const struct call_block *blocks,
                  unsigned count, int64_t now_ns)
{
  uint64_t tokens_max
      = (uint64_t)(cache_share_of_memory * (double)server->kv_capacity_tokens
                   / server->sending_host_count);

  for (unsigned i = 0; i < count; i++)
    {
      struct server_block *block
          = g_hash_table_lookup (server->cached_blocks, &blocks[i].id);

      if (block == NULL)
        {
          block = g_new0 (struct server_block, 1);
          block->id = blocks[i].id;
          block->tokens = blocks[i].tokens;
          list_init (&block->node);
          server->cached_tokens += block->tokens;
          g_hash_table_insert (server->cached_blocks, &block->id, block);
        }
      block->used_ns = now_ns;
      list_remove (&block->node);
      list_append (&server->blocks_by_use, &block->node);
    }
  while (server->cached_tokens > tokens_max
         && !list_empty (&server->blocks_by_use))
    block_remove (server, LIST_ENTRY (server->blocks_by_use.next,
                                      struct server_block, node));
}

void
server_cache_clear (struct server *server)
{
  while (!list_empty (&server->blocks_by_use))
    block_remove (server, LIST_ENTRY (server->blocks_by_use.next,
                                      struct server_block, node));
}
