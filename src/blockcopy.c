#include "blockcopy.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

enum
{
  DROPS_PER_TICK = 1000 /* Maximum number of void copies removed per tick. */
};

const struct blockcopy_settings blockcopy_settings_default = {
  .read_lease_ns = 10 * NS_PER_S,
  .free_delay_ns = 15 * NS_PER_S,
  .write_timeout_ns = 30 * NS_PER_S,
  .full_backoff_ns = 5 * NS_PER_S,
};

static guint
slot_hash (gconstpointer data)
{
  const struct blockcopy *copy = data;

  return (guint)XXH3_64bits_withSeed (&copy->slot, sizeof copy->slot,
                                      copy->store->id ^ copy->generation);
}

static gboolean
slot_equal (gconstpointer a, gconstpointer b)
{
  const struct blockcopy *x = a;
  const struct blockcopy *y = b;

  return x->store == y->store && x->slot == y->slot
         && x->generation == y->generation;
}

static struct blockcopy_store *
store_find (const struct blockcopy_table *table, uint64_t id)
{
  return g_hash_table_lookup (table->stores, &id);
}

static struct blockcopy_store *
store_find_or_create (struct blockcopy_table *table, uint64_t id)
{
  struct blockcopy_store *store = store_find (table, id);

  if (store != NULL)
    return store;
  store = g_new0 (struct blockcopy_store, 1);
  store->id = id;
  for (int t = 0; t < BLOCKCOPY_TIER_COUNT; t++)
    list_init (&store->sealed[t]);
  g_hash_table_insert (table->stores, &store->id, store);
  return store;
}

static bool
copy_is_void (const struct blockcopy *copy)
{
  return copy->epoch != copy->store->epoch;
}

static struct blockcopy *
entry_find_copy (const struct blockentry *entry,
                 const struct blockcopy_store *store)
{
  const struct list *node;

  for (node = entry->copies.next; node != &entry->copies; node = node->next)
    {
      struct blockcopy *blockcopy
          = LIST_ENTRY (node, struct blockcopy, sibling);

      if (blockcopy->store == store && !copy_is_void (blockcopy))
        return blockcopy;
    }
  return NULL;
}

static struct blockcopy *
copy_find (struct blockcopy_table *table, const struct blockcopy_ref *ref)
{
  const struct blockcopy_store *store = store_find (table, ref->store);
  const struct blockentry *entry
      = blockentry_find (table->entries, ref->scope, &ref->block);

  return entry != NULL && store != NULL ? entry_find_copy (entry, store)
                                        : NULL;
}

static struct blockcopy *
copy_create (struct blockcopy_table *table, struct blockentry *entry,
             struct blockcopy_store *store, enum blockcopy_tier tier,
             int64_t length)
{
  struct blockcopy *blockcopy = g_new0 (struct blockcopy, 1);

  blockcopy->entry = entry;
  blockcopy->store = store;
  blockcopy->epoch = store->epoch;
  blockcopy->listing_number = store->listing_number;
  blockcopy->tier = (uint8_t)tier;
  blockcopy->length = length;
  blockcopy->state = BLOCKCOPY_REQUESTED;
  blockcopy->timer_start_ns = clock_now (table->clock);
  list_append (&entry->copies, &blockcopy->sibling);
  list_append (&table->unsealed_copies, &blockcopy->node);
  blockentry_touch (table->entries, entry);
  return blockcopy;
}

static void
copy_detach (struct blockcopy_table *table, struct blockcopy *copy)
{
  struct blockentry *entry = copy->entry;

  list_remove (&copy->node);
  if (entry == NULL)
    return;
  list_remove (&copy->sibling);
  copy->entry = NULL;
  if (list_empty (&entry->copies))
    blockentry_touch (table->entries, entry);
}

static void
copy_drop (struct blockcopy_table *table, struct blockcopy *copy)
{
  copy_detach (table, copy);
  g_free (copy);
}

static void
copy_withdraw (struct blockcopy_table *table, struct blockcopy *copy)
{
  if (copy->state == BLOCKCOPY_REQUESTED) /* There is no slot to free yet. */
    {
      copy_drop (table, copy);
      return;
    }
  copy_detach (table, copy);
  copy->state = BLOCKCOPY_WITHDRAWN;
  copy->timer_start_ns = clock_now (table->clock);
  list_append (&table->withdrawn_by_age, &copy->node);
  g_hash_table_add (table->withdrawn_by_slot, copy);
}

static void
copy_seal (struct blockcopy *copy, int64_t length, uint64_t checksum)
{
  copy->state = BLOCKCOPY_SEALED;
  copy->length = length;
  copy->checksum = checksum;
  blockcopy_touch (copy);
}

/* Frees a withdrawn copy's slot after its read leases expire; removes its
 * record free_delay_ns later so that no earlier listing adds it again. */
static void
copy_free (struct blockcopy_table *table, struct blockcopy *copy)
{
  list_remove (&copy->node);
  if (copy->state == BLOCKCOPY_FREED || copy_is_void (copy))
    {
      g_hash_table_remove (table->withdrawn_by_slot, copy);
      g_free (copy);
      return;
    }
  copy->state = BLOCKCOPY_FREED;
  copy->timer_start_ns = clock_now (table->clock);
  list_append (&table->withdrawn_by_age, &copy->node);
  table->ops->free_slot (table->data, copy->store->id, copy->slot,
                         copy->generation);
}

static enum status
copy_withdraw_mismatch (struct blockcopy_table *table, struct blockcopy *copy)
{
  table->mismatch_count++;
  copy_withdraw (table, copy);
  return STATUS_CORRUPT;
}

static bool
listing_item_is_withdrawn (const struct blockcopy_table *table,
                           struct blockcopy_store *store,
                           const struct blockcopy_listed *item)
{
  struct blockcopy key
      = { .store = store, .slot = item->slot, .generation = item->generation };

  return g_hash_table_contains (table->withdrawn_by_slot, &key);
}

static void
listing_item_add (struct blockcopy_table *table, struct blockcopy_store *store,
                  const struct blockcopy_listed *item,
                  struct blockentry *entry)
{
  struct blockcopy *copy
      = copy_create (table, entry, store, item->tier, item->length);

  copy->slot = item->slot;
  copy->generation = item->generation;
  copy->state = BLOCKCOPY_RESERVED;
  if (item->sealed)
    copy_seal (copy, item->length, item->checksum);
  entry->position = item->position;
}

static void
listing_item_release (struct blockcopy_table *table,
                      struct blockcopy_store *store,
                      const struct blockcopy_listed *item)
{
  struct blockcopy *blockcopy = g_new0 (struct blockcopy, 1);

  blockcopy->store = store;
  blockcopy->epoch = store->epoch;
  blockcopy->slot = item->slot;
  blockcopy->generation = item->generation;
  blockcopy->state = BLOCKCOPY_RESERVED;
  list_init (&blockcopy->sibling);
  list_init (&blockcopy->node);
  copy_withdraw (table, blockcopy); /* The block's copy is in another slot. */
}

static void
listing_item_verify (struct blockcopy_table *table, struct blockcopy *copy,
                     const struct blockcopy_listed *item)
{
  bool checksum_known
      = copy->state == BLOCKCOPY_WRITTEN || copy->state == BLOCKCOPY_SEALED;

  copy->listing_number = copy->store->listing_number;
  if (!item->sealed)
    {
      if (copy->state == BLOCKCOPY_SEALED)
        copy_withdraw_mismatch (table, copy);
      return;
    }
  if (item->length != copy->length
      || (checksum_known && item->checksum != copy->checksum))
    copy_withdraw_mismatch (table, copy);
  else if (copy->state != BLOCKCOPY_SEALED)
    copy_seal (copy, item->length, item->checksum);
}

void
blockcopy_table_init (struct blockcopy_table *table,
                      struct blockentry_table *entries,
                      const struct clock *clock,
                      const struct blockcopy_settings *settings,
                      const struct blockcopy_ops *ops, void *data)
{
  assert (settings->read_lease_ns < settings->free_delay_ns);
  table->entries = entries;
  table->clock = clock;
  table->settings = *settings;
  table->ops = ops;
  table->data = data;
  table->stores
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  table->withdrawn_by_slot = g_hash_table_new (slot_hash, slot_equal);
  list_init (&table->unsealed_copies);
  list_init (&table->withdrawn_by_age);
  list_init (&table->void_copies);
  table->mismatch_count = 0;
}

static void
copies_drop (struct blockcopy_table *table, struct list *head, size_t max)
{
  while (!list_empty (head) && max-- > 0)
    copy_drop (table, LIST_ENTRY (list_pop (head), struct blockcopy, node));
}

void
blockcopy_table_finish (struct blockcopy_table *table)
{
  GHashTableIter iter;
  gpointer store;

  g_hash_table_destroy (table->withdrawn_by_slot);
  copies_drop (table, &table->unsealed_copies, SIZE_MAX);
  copies_drop (table, &table->withdrawn_by_age, SIZE_MAX);
  copies_drop (table, &table->void_copies, SIZE_MAX);
  g_hash_table_iter_init (&iter, table->stores);
  while (g_hash_table_iter_next (&iter, NULL, &store))
    for (int t = 0; t < BLOCKCOPY_TIER_COUNT; t++)
      copies_drop (table, &((struct blockcopy_store *)store)->sealed[t],
                   SIZE_MAX);
  g_hash_table_destroy (table->stores);
}

enum status
blockcopy_reserve (struct blockcopy_table *table,
                   const struct blockcopy_ref *ref, enum blockcopy_tier tier,
                   int64_t length)
{
  struct blockcopy_store *store = store_find_or_create (table, ref->store);
  struct blockentry *entry;

  if (!store->available)
    return STATUS_UNAVAILABLE;
  if (!blockcopy_store_has_capacity (table, ref->store, tier))
    return STATUS_LIMITED;
  entry = blockentry_find_or_create (table->entries, ref->scope, &ref->block);
  if (entry == NULL)
    return blockentry_find_id (table->entries, &ref->block) != NULL
               ? STATUS_CONFLICT
               : STATUS_LIMITED;
  if (entry_find_copy (entry, store) != NULL)
    return STATUS_CONFLICT;
  copy_create (table, entry, store, tier, length);
  return STATUS_OK;
}

enum status
blockcopy_slot_assigned (struct blockcopy_table *table,
                         const struct blockcopy_ref *ref, uint64_t slot,
                         uint64_t generation)
{
  struct blockcopy *copy = copy_find (table, ref);

  if (copy == NULL || copy->state != BLOCKCOPY_REQUESTED)
    {
      /* A repeated reply names the slot that the copy uses: keep it. */
      if (copy == NULL || copy->slot != slot || copy->generation != generation)
        table->ops->free_slot (table->data, ref->store, slot, generation);
      return STATUS_NOT_FOUND;
    }
  copy->state = BLOCKCOPY_RESERVED;
  copy->slot = slot;
  copy->generation = generation;
  return STATUS_OK;
}

void
blockcopy_slot_refused (struct blockcopy_table *table,
                        const struct blockcopy_ref *ref, bool full)
{
  struct blockcopy *copy = copy_find (table, ref);

  if (copy == NULL || copy->state != BLOCKCOPY_REQUESTED)
    return;
  if (full)
    blockcopy_store_full (table, ref->store, copy->tier);
  copy_drop (table, copy);
}

enum status
blockcopy_written (struct blockcopy_table *table,
                   const struct blockcopy_ref *ref, uint64_t generation,
                   int64_t length, uint64_t checksum)
{
  struct blockcopy *copy = copy_find (table, ref);

  if (copy == NULL || copy->state == BLOCKCOPY_REQUESTED)
    return STATUS_NOT_FOUND;
  if (copy->generation != generation)
    return STATUS_STALE;
  if (length != copy->length)
    return copy_withdraw_mismatch (table, copy);
  if (copy->state != BLOCKCOPY_RESERVED)
    return copy->checksum == checksum ? STATUS_OK
                                      : copy_withdraw_mismatch (table, copy);
  copy->state = BLOCKCOPY_WRITTEN;
  copy->checksum = checksum;
  return STATUS_OK;
}

enum status
blockcopy_sealed (struct blockcopy_table *table,
                  const struct blockcopy_ref *ref, uint64_t generation,
                  int64_t length, uint64_t checksum)
{
  struct blockcopy *copy = copy_find (table, ref);

  if (copy == NULL)
    return STATUS_NOT_FOUND;
  if (copy->state != BLOCKCOPY_WRITTEN && copy->state != BLOCKCOPY_SEALED)
    return STATUS_CONFLICT;
  if (copy->generation != generation)
    return STATUS_STALE;
  if (length != copy->length || checksum != copy->checksum)
    return copy_withdraw_mismatch (table, copy);
  copy_seal (copy, length, checksum);
  return STATUS_OK;
}

enum status
blockcopy_withdraw (struct blockcopy_table *table,
                    const struct blockcopy_ref *ref, uint64_t generation)
{
  struct blockcopy *copy = copy_find (table, ref);

  if (copy == NULL)
    return STATUS_NOT_FOUND;
  if (generation != 0 && copy->generation != generation)
    return STATUS_STALE;
  copy_withdraw (table, copy);
  return STATUS_OK;
}

bool
blockcopy_is_readable (const struct blockcopy *copy)
{
  return copy->state == BLOCKCOPY_SEALED && copy->store->available
         && !copy_is_void (copy);
}

void
blockcopy_touch (struct blockcopy *copy)
{
  list_remove (&copy->node);
  list_append (&copy->store->sealed[copy->tier], &copy->node);
}

bool
blockcopy_exists (struct blockcopy_table *table,
                  const struct block_scope *scope, const struct block_id *id)
{
  const struct blockentry *entry = blockentry_find (table->entries, scope, id);
  const struct list *node;

  if (entry == NULL)
    return false;
  for (node = entry->copies.next; node != &entry->copies; node = node->next)
    if (!copy_is_void (LIST_ENTRY (node, struct blockcopy, sibling)))
      return true;
  return false;
}

bool
blockcopy_store_has_capacity (struct blockcopy_table *table, uint64_t id,
                              enum blockcopy_tier tier)
{
  const struct blockcopy_store *store = store_find (table, id);

  return store != NULL && store->available
         && clock_now (table->clock) >= store->full_until_ns[tier];
}

void
blockcopy_store_full (struct blockcopy_table *table, uint64_t id,
                      enum blockcopy_tier tier)
{
  store_find_or_create (table, id)->full_until_ns[tier]
      = clock_now (table->clock) + table->settings.full_backoff_ns;
}

void
blockcopy_store_down (struct blockcopy_table *table, uint64_t id)
{
  struct blockcopy_store *store = store_find_or_create (table, id);

  store->epoch++;
  store->available = false;
  store->listing_active = false;
  for (int t = 0; t < BLOCKCOPY_TIER_COUNT; t++)
    {
      struct list *head = &store->sealed[t];

      if (list_empty (head))
        continue;
      head->next->prev = table->void_copies.prev;
      table->void_copies.prev->next = head->next;
      head->prev->next = &table->void_copies;
      table->void_copies.prev = head->prev;
      list_init (head); /* All its nodes are in table->void_copies now. */
    }
}

void
blockcopy_listing_begin (struct blockcopy_table *table, uint64_t id)
{
  struct blockcopy_store *store = store_find_or_create (table, id);

  store->available = true;
  store->listing_active = true;
  store->listing_number++;
  store->listing_started_ns = clock_now (table->clock);
}

void
blockcopy_listing_item (struct blockcopy_table *table, uint64_t id,
                        const struct blockcopy_listed *item)
{
  struct blockcopy_store *store = store_find_or_create (table, id);
  struct blockentry *entry;
  struct blockcopy *copy;

  if (!store->listing_active || listing_item_is_withdrawn (table, store, item))
    return;
  entry
      = blockentry_find_or_create (table->entries, &item->scope, &item->block);
  if (entry == NULL)
    return;
  copy = entry_find_copy (entry, store);
  if (copy == NULL)
    listing_item_add (table, store, item, entry);
  else if (copy->state == BLOCKCOPY_REQUESTED) /* Its slot reply is pending. */
    copy->listing_number = store->listing_number;
  else if (copy->slot != item->slot)
    listing_item_release (table, store, item);
  else if (copy->generation == item->generation)
    listing_item_verify (table, copy, item);
  else if (copy->generation < item->generation)
    {
      copy_drop (table, copy);
      listing_item_add (table, store, item, entry);
    }
}

void
blockcopy_listing_end (struct blockcopy_table *table, uint64_t id)
{
  struct blockcopy_store *store = store_find_or_create (table, id);

  if (!store->listing_active)
    return;
  store->listing_active = false;
  for (int t = 0; t < BLOCKCOPY_TIER_COUNT; t++)
    {
      struct list *node = store->sealed[t].next;

      while (node != &store->sealed[t])
        {
          struct blockcopy *copy = LIST_ENTRY (node, struct blockcopy, node);

          node = node->next;
          if (copy->listing_number != store->listing_number)
            copy_drop (table, copy);
        }
    }
}

size_t
blockcopy_least_recent (const struct blockcopy_table *table, uint64_t id,
                        enum blockcopy_tier tier,
                        const struct blockcopy **copies, size_t max)
{
  const struct blockcopy_store *store = store_find (table, id);
  size_t count = 0;

  if (store == NULL)
    return 0;
  for (const struct list *node = store->sealed[tier].next;
       node != &store->sealed[tier] && count < max; node = node->next)
    copies[count++] = LIST_ENTRY (node, struct blockcopy, node);
  return count;
}

static int64_t
list_next_due_ns (const struct list *head, int64_t wait_ns)
{
  if (list_empty (head))
    return CLOCK_NEVER;
  return LIST_ENTRY (head->next, struct blockcopy, node)->timer_start_ns
         + wait_ns;
}

void
blockcopy_tick (struct blockcopy_table *table)
{
  int64_t now = clock_now (table->clock);

  while (list_next_due_ns (&table->unsealed_copies,
                           table->settings.write_timeout_ns)
         <= now)
    copy_withdraw (table, LIST_ENTRY (list_pop (&table->unsealed_copies),
                                      struct blockcopy, node));
  while (list_next_due_ns (&table->withdrawn_by_age,
                           table->settings.free_delay_ns)
         <= now)
    copy_free (table, LIST_ENTRY (list_pop (&table->withdrawn_by_age),
                                  struct blockcopy, node));
  copies_drop (table, &table->void_copies, DROPS_PER_TICK);
}

int64_t
blockcopy_next_tick_ns (const struct blockcopy_table *table)
{
  int64_t writing = list_next_due_ns (&table->unsealed_copies,
                                      table->settings.write_timeout_ns);
  int64_t ending = list_next_due_ns (&table->withdrawn_by_age,
                                     table->settings.free_delay_ns);

  if (!list_empty (&table->void_copies))
    return clock_now (table->clock);
  return writing < ending ? writing : ending;
}
