#include "blamestore.h"

#include <stdio.h>
#include <string.h>

enum
{
  /* Time between the writes of hosts if the key of the first one does not
   * appear. */
  STAGGER_MS = 250,
  /* A key counts only if no run with the part was completed in this time. */
  COMPLETED_AGE_S = 60
};

void
blamestore_init (struct blamestore *store, struct blame *blame, struct kv *kv,
                 const struct clock *clock, const struct presence *presence,
                 const char *prefix)
{
  store->blame = blame;
  store->clock = clock;
  store->presence = presence;
  store->prefix = prefix;
  leasedkeys_init (&store->keys, kv, clock);
}

void
blamestore_finish (struct blamestore *store)
{
  leasedkeys_finish (&store->keys);
}

/* Return the time by the wall clock, which all hosts share more or less. */
static int64_t
wall_ms (const struct blamestore *store)
{
  struct timespec wall = clock_wall (store->clock);

  return (int64_t)wall.tv_sec * 1000 + wall.tv_nsec / NS_PER_MS;
}

static char *
block_key (const struct blamestore *store, const struct blame_part *part)
{
  return g_strdup_printf (
      "%s%016" G_GINT64_MODIFIER "x/%016" G_GINT64_MODIFIER "x", store->prefix,
      (guint64)part->scope, (guint64)part->id);
}

/* Write the blocks that are not in the KV service, one host after the other
 * until a key appears. */
static void
blocks_write (struct blamestore *store)
{
  int64_t now = clock_now (store->clock);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, store->blame->blocks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct blame_block *block = value;
      char text[96];
      char *key;

      if (block->stored
          || now - block->since_ns
                 < (int64_t)presence_rank (store->presence, &block->part,
                                           sizeof block->part)
                       * STAGGER_MS * NS_PER_MS)
        continue;
      block->stored = true;
      key = block_key (store, &block->part);
      g_snprintf (text, sizeof text,
                  "crashes=%u hold_ms=%u until_ms=%" G_GINT64_FORMAT,
                  block->crashes, (unsigned)(block->hold_ns / NS_PER_MS),
                  wall_ms (store) + (block->until_ns - now) / NS_PER_MS);
      leasedkeys_add (&store->keys, key, text);
      g_free (key);
    }
}

static bool
key_parse (const struct blamestore *store, const char *key,
           struct blame_part *part)
{
  unsigned long scope, id;
  int end = 0;

  if (sscanf (key + strlen (store->prefix), "%16lx/%16lx%n", &scope, &id, &end)
          != 2
      || key[strlen (store->prefix) + (size_t)end] != '\0')
    return false;
  part->scope = scope;
  part->id = id;
  return true;
}

void
blamestore_key_put (struct blamestore *store, const char *key,
                    const char *value)
{
  struct blame_block other = { .source = BLAME_STORED };
  struct blame_block *block;
  int64_t left_ms;
  unsigned hold_ms;
  long until_ms;

  if (!key_parse (store, key, &other.part)
      || sscanf (value, "crashes=%u hold_ms=%u until_ms=%ld", &other.crashes,
                 &hold_ms, &until_ms)
             != 3)
    return;
  block = g_hash_table_lookup (store->blame->blocks, &other.part);
  if (block != NULL)
    {
      block->stored = true;
      return;
    }
  other.hold_ns = (int64_t)hold_ms * NS_PER_MS;
  left_ms = CLAMP (until_ms - wall_ms (store), -(int64_t)hold_ms, hold_ms);
  blame_add_block (store->blame, &other, left_ms * NS_PER_MS,
                   COMPLETED_AGE_S * NS_PER_S);
}

void
blamestore_key_removed (struct blamestore *store, const char *key)
{
  struct blame_part part;
  struct blame_block *block;

  if (!key_parse (store, key, &part))
    return;
  block = g_hash_table_lookup (store->blame->blocks, &part);
  if (block != NULL)
    block->stored = false;
}

void
blamestore_remove (struct blamestore *store, const struct blame_part *part)
{
  char *key = block_key (store, part);

  leasedkeys_add (&store->keys, key, NULL);
  g_free (key);
}

void
blamestore_era_changed (struct blamestore *store)
{
  GHashTableIter iter;
  gpointer block;

  leasedkeys_era_changed (&store->keys);
  g_hash_table_iter_init (&iter, store->blame->blocks);
  while (g_hash_table_iter_next (&iter, NULL, &block))
    ((struct blame_block *)block)->stored = false;
}

void
blamestore_tick (struct blamestore *store)
{
  blocks_write (store);
  leasedkeys_tick (&store->keys);
}
