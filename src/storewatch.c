#include "storewatch.h"

#include <glib.h>
#include <string.h>

#define LISTING_RETRY_NS (NS_PER_S)
#define STATUS_INTERVAL_NS (NS_PER_S)

enum
{
  LISTING_FAILURES_MAX = 2 /* Number of consecutive failed listings after which
                              the copies on the store are dropped. */
};

struct watched_store
{
  /* Table that contains the store; NULL once the store was removed. */
  struct storewatch *watch;
  uint64_t id;
  char name[HOSTLIST_TEXT_MAX];
  char address[HOSTLIST_TEXT_MAX];
  bool listing_pending;
  bool relist; /* Whether to start another listing when this one completes. */
  int64_t next_listing_ns;
  bool status_pending;
  int64_t next_status_ns;
  int64_t free_bytes[BLOCKCOPY_TIER_COUNT];
  unsigned listing_failures;
  unsigned refs;
};

static void
watched_store_unref (struct watched_store *store)
{
  if (--store->refs == 0)
    g_free (store);
}

static void
watched_store_detach (void *data)
{
  struct watched_store *store = data;

  store->watch = NULL;
  watched_store_unref (store);
}

static bool
block_is_assigned (const struct storewatch *watch, const struct block_id *id)
{
  uint16_t shard_prefix = block_shard_prefix (id);
  const struct roster_entry *owner = roster_find_shard_for_key (
      watch->roster, &shard_prefix, sizeof shard_prefix);

  return owner != NULL && owner->id == watch->self_id;
}

static void
add_listed_block (const struct watched_store *store,
                  const struct store_block *block)
{
  struct blockcopy_listed item = { 0 };

  if (block_id_from_hex (&item.block, block->block) != STATUS_OK
      || !block_is_assigned (store->watch, &item.block)
      || block_scope_init (&item.scope, block->organisation, block->model,
                           block->version, block->adapter)
             != STATUS_OK)
    return;
  if (block->sealed
      && block_checksum_from_hex (&item.checksum, block->checksum)
             != STATUS_OK)
    return;
  item.slot = block->slot.number;
  item.generation = block->slot.generation;
  item.position = (uint16_t)block->index;
  item.tier = block->disk ? BLOCKCOPY_DISK : BLOCKCOPY_MEMORY;
  item.sealed = block->sealed;
  item.length = (int64_t)block->length;
  blockcopy_listing_item (store->watch->copies, store->id, &item);
}

static void request_listing (struct watched_store *store, uint64_t after);

static void
listing_failed (struct watched_store *store)
{
  store->listing_pending = false;
  store->listing_failures++;
  store->next_listing_ns = clock_now (store->watch->clock) + LISTING_RETRY_NS;
  if (store->listing_failures >= LISTING_FAILURES_MAX)
    blockcopy_store_down (store->watch->copies, store->id);
}

static void
listing_completed (struct watched_store *store)
{
  struct storewatch *watch = store->watch;

  blockcopy_listing_end (watch->copies, store->id);
  store->listing_pending = false;
  store->listing_failures = 0;
  store->next_listing_ns
      = clock_now (watch->clock) + watch->listing_interval_ns;
  if (store->relist)
    store->next_listing_ns = 0;
  store->relist = false;
}

static void
listing_received (void *data, enum status status,
                  const struct store_listing *listing)
{
  struct watched_store *store = data;

  if (store->watch != NULL && status != STATUS_OK)
    listing_failed (store);
  else if (store->watch != NULL)
    {
      for (size_t i = 0; i < listing->count; i++)
        add_listed_block (store, &listing->blocks[i]);
      if (listing->has_more && listing->count > 0)
        request_listing (store,
                         listing->blocks[listing->count - 1].slot.number);
      else
        listing_completed (store);
    }
  watched_store_unref (store);
}

static void
request_listing (struct watched_store *store, uint64_t after)
{
  struct storeclient *client = store->watch->client;

  store->refs++;
  client->ops->get_listing (client, store->address, after, listing_received,
                            store);
}

static void
status_received (void *data, enum status status,
                 const struct store_status *report)
{
  struct watched_store *store = data;

  store->status_pending = false;
  if (status == STATUS_OK)
    {
      store->free_bytes[BLOCKCOPY_MEMORY] = report->memory_free_bytes;
      store->free_bytes[BLOCKCOPY_DISK] = report->disk_free_bytes;
    }
  watched_store_unref (store);
}

static void
request_status (struct watched_store *store, int64_t now)
{
  struct storeclient *client = store->watch->client;

  store->status_pending = true;
  store->next_status_ns = now + STATUS_INTERVAL_NS;
  store->refs++;
  client->ops->get_status (client, store->address, status_received, store);
}

static void
store_add_or_update (struct storewatch *watch,
                     const struct hostlist_entry *entry)
{
  struct watched_store *store
      = g_hash_table_lookup (watch->stores, entry->name);

  if (store == NULL)
    {
      store = g_new0 (struct watched_store, 1);
      store->refs = 1;
      store->watch = watch;
      store->id = roster_id_from_name (entry->name);
      g_strlcpy (store->name, entry->name, sizeof store->name);
      g_hash_table_insert (watch->stores, store->name, store);
    }
  g_strlcpy (store->address, entry->address, sizeof store->address);
}

static int
remove_unless_listed (void *key, void *value, void *data)
{
  struct storewatch *watch = data;
  struct watched_store *store = value;
  const struct hostlist_entry *entry
      = hostlist_find (watch->hostlist, store->name);

  if (entry != NULL && !entry->leaving)
    return FALSE;
  blockcopy_store_down (watch->copies, store->id);
  return TRUE;
}

void
storewatch_init (struct storewatch *watch, const struct clock *clock,
                 struct storeclient *client, const struct roster *roster,
                 const struct hostlist *hostlist,
                 struct blockcopy_table *copies, uint64_t self_id,
                 int64_t listing_interval_ns)
{
  watch->clock = clock;
  watch->client = client;
  watch->roster = roster;
  watch->hostlist = hostlist;
  watch->copies = copies;
  watch->self_id = self_id;
  watch->listing_interval_ns = listing_interval_ns;
  watch->stores = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         watched_store_detach);
}

void
storewatch_finish (struct storewatch *watch)
{
  g_hash_table_destroy (watch->stores);
}

void
storewatch_sync (struct storewatch *watch)
{
  g_hash_table_foreach_remove (watch->stores, remove_unless_listed, watch);
  for (size_t i = 0; i < watch->hostlist->count; i++)
    {
      const struct hostlist_entry *entry = &watch->hostlist->entries[i];

      if (entry->kind == HOSTLIST_STORE && !entry->leaving)
        store_add_or_update (watch, entry);
    }
}

void
storewatch_relist (struct storewatch *watch)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, watch->stores);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct watched_store *store = value;

      store->next_listing_ns = 0;
      store->relist = store->listing_pending;
    }
}

void
storewatch_tick (struct storewatch *watch)
{
  int64_t now = clock_now (watch->clock);
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, watch->stores);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct watched_store *store = value;

      if (!store->status_pending && now >= store->next_status_ns)
        request_status (store, now);
      if (store->listing_pending || now < store->next_listing_ns)
        continue;
      store->listing_pending = true;
      blockcopy_listing_begin (watch->copies, store->id);
      request_listing (store, UINT64_MAX);
    }
}

static struct watched_store *
find_store (const struct storewatch *watch, uint64_t id)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, watch->stores);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct watched_store *)value)->id == id)
      return value;
  return NULL;
}

size_t
storewatch_copy_stores (const struct storewatch *watch,
                        struct storewatch_store *stores, size_t max)
{
  GHashTableIter iter;
  void *value;
  size_t count = 0;

  g_hash_table_iter_init (&iter, watch->stores);
  while (count < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct watched_store *store = value;

      stores[count].id = store->id;
      stores[count].address = store->address;
      memcpy (stores[count].free_bytes, store->free_bytes,
              sizeof store->free_bytes);
      count++;
    }
  return count;
}

void
storewatch_count_reserved (struct storewatch *watch, uint64_t id,
                           enum blockcopy_tier tier, int64_t bytes)
{
  struct watched_store *store = find_store (watch, id);

  if (store != NULL)
    store->free_bytes[tier] -= bytes;
}

const char *
storewatch_find_address (const struct storewatch *watch, uint64_t id)
{
  const struct watched_store *store = find_store (watch, id);

  return store != NULL ? store->address : NULL;
}
