#include "goneservers.h"

enum
{
  /* Maximum number of servers that are remembered. All are forgotten when this
   * number is reached. */
  GONE_MAX = 4096,
  /* Time for which a server is remembered, far above the age of a backup. */
  REMEMBERED_S = 120
};

struct goneserver
{
  uint64_t started_ms;
  uint64_t heartbeat;
  uint64_t era;
  int64_t until_ns;
};

void
goneservers_init (struct goneservers *gone, const struct clock *clock)
{
  gone->clock = clock;
  gone->by_id
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
goneservers_finish (struct goneservers *gone)
{
  g_hash_table_destroy (gone->by_id);
}

void
goneservers_add (struct goneservers *gone, const struct server_entry *entry,
                 uint64_t era)
{
  struct goneserver *server = g_new (struct goneserver, 1);

  *server = (struct goneserver){ entry->started_ms, entry->heartbeat, era,
                                 clock_now (gone->clock)
                                     + REMEMBERED_S * NS_PER_S };
  if (g_hash_table_size (gone->by_id) >= GONE_MAX)
    g_hash_table_remove_all (gone->by_id);
  g_hash_table_replace (gone->by_id, g_strdup (entry->id), server);
}

bool
goneservers_has (const struct goneservers *gone,
                 const struct server_entry *entry, uint64_t era)
{
  const struct goneserver *server
      = g_hash_table_lookup (gone->by_id, entry->id);

  if (server == NULL || server->era >= era
      || clock_now (gone->clock) >= server->until_ns)
    return false;
  if (entry->started_ms != server->started_ms)
    return entry->started_ms < server->started_ms;
  return entry->heartbeat <= server->heartbeat;
}
