#include "storewatch.h"

#include <glib.h>
#include <string.h>

#define LIST_RETRY_NS (NS_PER_S)
#define STATUS_EVERY_NS (NS_PER_S)

enum
{
  FAILURES_MAX = 2 /* listings in a row, then the store is taken out */
};

struct watched_store
{
  struct storewatch *watch; /* NULL once let go */
  uint64_t id;
  char name[HOSTLIST_TEXT_MAX];
  char address[HOSTLIST_TEXT_MAX];
  bool listing;
  bool again; /* list once more after this listing */
  int64_t next_ns;
  bool asking_status;
  int64_t next_status_ns;
  int64_t free_bytes[COPY_TIERS];
  unsigned failures;
  unsigned refs;
};

static void
store_unref (struct watched_store *store)
{
  if (--store->refs == 0)
    g_free (store);
}

static void
store_drop (void *data)
{
  struct watched_store *store = data;

  store->watch = NULL;
  store_unref (store);
}

static bool
falls_to_us (const struct storewatch *watch, const struct block_id *id)
{
  uint16_t route = block_route (id);
  const struct roster_entry *owner
      = roster_find_shard_for_key (watch->roster, &route, sizeof route);

  return owner != NULL && owner->id == watch->self;
}

static void
take_block (const struct watched_store *store, const struct store_block *block)
{
  struct copy_item item = { 0 };

  if (block_from_hex (&item.block, block->block) != STATUS_OK
      || !falls_to_us (store->watch, &item.block)
      || block_scope_init (&item.scope, block->organisation, block->model,
                           block->version, block->adapter)
             != STATUS_OK)
    return;
  if (block->sealed
      && block_checksum_from_hex (&item.checksum, block->checksum)
             != STATUS_OK)
    return;
  item.slot = block->at.slot;
  item.generation = block->at.generation;
  item.position = (uint16_t)block->index;
  item.tier = block->disk ? COPY_DISK : COPY_MEMORY;
  item.sealed = block->sealed;
  item.length = (int64_t)block->length;
  copy_listing_item (store->watch->copies, store->id, &item);
}

static void ask_listing (struct watched_store *store, uint64_t after);

static void
listing_failed (struct watched_store *store)
{
  store->listing = false;
  store->failures++;
  store->next_ns = clock_now (store->watch->clock) + LIST_RETRY_NS;
  if (store->failures >= FAILURES_MAX)
    copy_store_gone (store->watch->copies, store->id);
}

static void
listing_over (struct watched_store *store)
{
  struct storewatch *watch = store->watch;

  copy_listing_end (watch->copies, store->id);
  store->listing = false;
  store->failures = 0;
  store->next_ns = clock_now (watch->clock) + watch->listing_ns;
  if (store->again)
    store->next_ns = 0;
  store->again = false;
}

static void
listing_answered (void *data, enum status status,
                  const struct store_listing *listing)
{
  struct watched_store *store = data;

  if (store->watch != NULL && status != STATUS_OK)
    listing_failed (store);
  else if (store->watch != NULL)
    {
      for (size_t i = 0; i < listing->count; i++)
        take_block (store, &listing->blocks[i]);
      if (listing->more && listing->count > 0)
        ask_listing (store, listing->blocks[listing->count - 1].at.slot);
      else
        listing_over (store);
    }
  store_unref (store);
}

static void
ask_listing (struct watched_store *store, uint64_t after)
{
  struct storeclient *client = store->watch->client;

  store->refs++;
  client->ops->listing (client, store->address, after, listing_answered,
                        store);
}

static void
status_answered (void *data, enum status status,
                 const struct store_status *report)
{
  struct watched_store *store = data;

  store->asking_status = false;
  if (status == STATUS_OK)
    {
      store->free_bytes[COPY_MEMORY] = report->memory_free;
      store->free_bytes[COPY_DISK] = report->disk_free;
    }
  store_unref (store);
}

static void
ask_status (struct watched_store *store, int64_t now)
{
  struct storeclient *client = store->watch->client;

  store->asking_status = true;
  store->next_status_ns = now + STATUS_EVERY_NS;
  store->refs++;
  client->ops->status (client, store->address, status_answered, store);
}

static void
take_up (struct storewatch *watch, const struct hostlist_entry *entry)
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
let_go_unless_listed (void *key, void *value, void *data)
{
  struct storewatch *watch = data;
  struct watched_store *store = value;
  const struct hostlist_entry *entry
      = hostlist_find (watch->hostlist, store->name);

  if (entry != NULL && !entry->leaving)
    return FALSE;
  copy_store_gone (watch->copies, store->id);
  return TRUE;
}

void
storewatch_init (struct storewatch *watch, const struct clock *clock,
                 struct storeclient *client, const struct roster *roster,
                 const struct hostlist *hostlist, struct copy_table *copies,
                 uint64_t self, int64_t listing_ns)
{
  watch->clock = clock;
  watch->client = client;
  watch->roster = roster;
  watch->hostlist = hostlist;
  watch->copies = copies;
  watch->self = self;
  watch->listing_ns = listing_ns;
  watch->stores
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, store_drop);
}

void
storewatch_finish (struct storewatch *watch)
{
  g_hash_table_destroy (watch->stores);
}

void
storewatch_sync (struct storewatch *watch)
{
  g_hash_table_foreach_remove (watch->stores, let_go_unless_listed, watch);
  for (size_t i = 0; i < watch->hostlist->count; i++)
    {
      const struct hostlist_entry *entry = &watch->hostlist->entries[i];

      if (entry->kind == HOSTLIST_STORE && !entry->leaving)
        take_up (watch, entry);
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

      store->next_ns = 0;
      store->again = store->listing;
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

      if (!store->asking_status && now >= store->next_status_ns)
        ask_status (store, now);
      if (store->listing || now < store->next_ns)
        continue;
      store->listing = true;
      copy_listing_begin (watch->copies, store->id);
      ask_listing (store, UINT64_MAX);
    }
}

static struct watched_store *
find_by_id (const struct storewatch *watch, uint64_t id)
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
storewatch_stores (const struct storewatch *watch,
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
storewatch_take (struct storewatch *watch, uint64_t id, enum copy_tier tier,
                 int64_t bytes)
{
  struct watched_store *store = find_by_id (watch, id);

  if (store != NULL)
    store->free_bytes[tier] -= bytes;
}

const char *
storewatch_address (const struct storewatch *watch, uint64_t id)
{
  const struct watched_store *store = find_by_id (watch, id);

  return store != NULL ? store->address : NULL;
}
