#include "standin-engine.h"
#include "clock.h"
#include "rng.h"

#include <string.h>
#include <xxhash.h>

enum
{
  EVENTS_MAX = 1000 /* in one answer */
};

struct cached
{
  struct list node; /* the most recently used one is first */
  char *block;
  const char *version;
};

struct cache_event
{
  int64_t sequence;
  int64_t at; /* ns */
  bool stored;
  char *block;
};

static struct
{
  GHashTable *blocks; /* id to struct cached */
  struct list used;
  GQueue events; /* struct cache_event, the oldest first */
  int64_t sequence;
} self;

static void
event_free (struct cache_event *event)
{
  g_free (event->block);
  g_free (event);
}

static void
event_add (const char *block, bool stored)
{
  struct cache_event *event;

  self.sequence++;
  if (fault_take ("event_gap"))
    return;
  event = g_new0 (struct cache_event, 1);
  event->sequence = self.sequence;
  event->at = server_now ();
  event->stored = stored;
  event->block = g_strdup (block);
  g_queue_push_tail (&self.events, event);
  while ((int)self.events.length > engine_settings.event_ring)
    event_free (g_queue_pop_head (&self.events));
}

static void
cache_evict (struct cached *cached)
{
  event_add (cached->block, false);
  list_remove (&cached->node);
  g_hash_table_remove (self.blocks, cached->block);
  g_free (cached->block);
  g_free (cached);
}

void
cache_init (void)
{
  self.blocks = g_hash_table_new (g_str_hash, g_str_equal);
  list_init (&self.used);
  g_queue_init (&self.events);
}

bool
cache_touch (const char *block, const char *version)
{
  struct cached *cached = g_hash_table_lookup (self.blocks, block);

  if (!cached)
    return false;
  if (cached->version != version)
    {
      engine_stats.wrong_versions++;
      return false;
    }
  list_remove (&cached->node);
  list_prepend (&self.used, &cached->node);
  return true;
}

void
cache_store (const char *block, const char *version)
{
  struct cached *cached;

  if (engine_settings.cache_blocks <= 0 || cache_touch (block, version))
    return;
  if (cache_has (block))
    cache_evict (g_hash_table_lookup (self.blocks, block));
  if (cache_count () >= engine_settings.cache_blocks)
    cache_evict (LIST_ENTRY (self.used.prev, struct cached, node));
  cached = g_new0 (struct cached, 1);
  cached->block = g_strdup (block);
  cached->version = version;
  list_prepend (&self.used, &cached->node);
  g_hash_table_insert (self.blocks, cached->block, cached);
  event_add (block, true);
}

bool
cache_has (const char *block)
{
  return g_hash_table_contains (self.blocks, block);
}

int
cache_count (void)
{
  return (int)g_hash_table_size (self.blocks);
}

static struct json_object *
event_describe (const struct cache_event *event)
{
  return json_put (NULL, "sequence", 'i', event->sequence, "kind", 's',
                   event->stored ? "stored" : "evicted", "block", 's',
                   event->block, NULL);
}

/* Events are numbered from 1. The answer holds the first unbroken stretch
 * after N, so that a gap is always at its front; "next" is the number after
 * the last one, to be asked for with after = next - 1. */
void
cache_events_reply (const struct call *call)
{
  int64_t after = call_query_int (call, "after", 0);
  int64_t visible = server_now () - engine_settings.event_lag_ms * NS_PER_MS;
  struct json_object *events = json_object_new_array ();
  int64_t first = 0, next = MIN (after, self.sequence) + 1;

  for (GList *link = self.events.head; link; link = link->next)
    {
      const struct cache_event *event = link->data;

      if (event->sequence <= after)
        continue;
      if (event->at > visible || (first && event->sequence != next)
          || json_object_array_length (events) >= EVENTS_MAX)
        break;
      if (!first)
        first = event->sequence;
      next = event->sequence + 1;
      json_object_array_add (events, event_describe (event));
    }
  http_json (call->req, 200,
             json_put (NULL, "first", 'i', first ? first : next, "next", 'i',
                       next, "events", 'o', events, NULL));
}

void
cache_blocks_reply (const struct call *call)
{
  struct json_object *blocks = json_object_new_array ();

  for (struct list *node = self.used.next; node != &self.used;
       node = node->next)
    json_object_array_add (blocks,
                           json_object_new_string (
                               LIST_ENTRY (node, struct cached, node)->block));
  http_json (call->req, 200,
             json_put (NULL, "next", 'i', self.sequence + 1, "blocks", 'o',
                       blocks, NULL));
}

uint8_t *
block_bytes (const char *block, size_t *size)
{
  size_t words = ((size_t)engine_settings.piece_tokens
                      * (size_t)engine_settings.bytes_per_token
                  + 7)
                 / 8;
  uint64_t *bytes = g_new (uint64_t, words);
  struct rng rng;

  rng_init (&rng, XXH3_64bits (block, strlen (block)));
  for (size_t i = 0; i < words; i++)
    bytes[i] = rng_next (&rng);
  *size = words * sizeof *bytes;
  return (uint8_t *)bytes;
}
