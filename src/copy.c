#include "copy.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

enum
{
  DROPS_PER_TICK = 1000 /* maximum number of void copies removed at once */
};

const struct copy_settings copy_settings_default = {
  .read_lease_ns = 10 * NS_PER_S,
  .free_wait_ns = 15 * NS_PER_S,
  .write_timeout_ns = 30 * NS_PER_S,
  .full_ns = 5 * NS_PER_S,
};

static guint
slot_hash (gconstpointer data)
{
  const struct copy *copy = data;

  return (guint)XXH3_64bits_withSeed (&copy->slot, sizeof copy->slot,
                                      copy->store->id ^ copy->generation);
}

static gboolean
slot_equal (gconstpointer a, gconstpointer b)
{
  const struct copy *x = a;
  const struct copy *y = b;

  return x->store == y->store && x->slot == y->slot
         && x->generation == y->generation;
}

static struct copy_store *
store_find (const struct copy_table *table, uint64_t id)
{
  return g_hash_table_lookup (table->stores, &id);
}

static struct copy_store *
store_find_or_create (struct copy_table *table, uint64_t id)
{
  struct copy_store *store = store_find (table, id);

  if (store != NULL)
    return store;
  store = g_new0 (struct copy_store, 1);
  store->id = id;
  for (int t = 0; t < COPY_TIERS; t++)
    list_init (&store->sealed[t]);
  g_hash_table_insert (table->stores, &store->id, store);
  return store;
}

static bool
copy_is_void (const struct copy *copy)
{
  return copy->epoch != copy->store->epoch;
}

static struct copy *
entry_find_copy (const struct blockentry *entry,
                 const struct copy_store *store)
{
  const struct list *node;

  for (node = entry->copies.next; node != &entry->copies; node = node->next)
    {
      struct copy *copy = LIST_ENTRY (node, struct copy, sibling);

      if (copy->store == store && !copy_is_void (copy))
        return copy;
    }
  return NULL;
}

static struct copy *
copy_find (struct copy_table *table, const struct copy_ref *ref)
{
  const struct copy_store *store = store_find (table, ref->store);
  const struct blockentry *entry
      = blockentry_find (table->entries, ref->scope, &ref->block);

  return entry != NULL && store != NULL ? entry_find_copy (entry, store)
                                        : NULL;
}

static struct copy *
copy_create (struct copy_table *table, struct blockentry *entry,
             struct copy_store *store, enum copy_tier tier, int64_t length)
{
  struct copy *copy = g_new0 (struct copy, 1);

  copy->entry = entry;
  copy->store = store;
  copy->epoch = store->epoch;
  copy->pass = store->pass;
  copy->tier = (uint8_t)tier;
  copy->length = length;
  copy->state = COPY_ASKED;
  copy->since_ns = clock_now (table->clock);
  list_append (&entry->copies, &copy->sibling);
  list_append (&table->writing, &copy->node);
  blockentry_touch (table->entries, entry);
  return copy;
}

static void
copy_detach (struct copy_table *table, struct copy *copy)
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
copy_drop (struct copy_table *table, struct copy *copy)
{
  copy_detach (table, copy);
  g_free (copy);
}

static void
copy_withdraw (struct copy_table *table, struct copy *copy)
{
  /* The store has assigned no slot yet, so there is none to free. */
  if (copy->state == COPY_ASKED)
    {
      copy_drop (table, copy);
      return;
    }
  copy_detach (table, copy);
  copy->state = COPY_CONDEMNED;
  copy->since_ns = clock_now (table->clock);
  list_append (&table->ending, &copy->node);
  g_hash_table_add (table->condemned, copy);
}

static void
copy_seal (struct copy *copy, int64_t length, uint64_t checksum)
{
  copy->state = COPY_SEALED;
  copy->length = length;
  copy->checksum = checksum;
  copy_touch (copy);
}

/* Frees the slot of a withdrawn copy, since the read leases have expired, and
 * removes a copy that is freed already. The record of a freed copy is kept for
 * another free_wait_ns, so that listings which began before it was freed don't
 * add the copy again. */
static void
copy_free (struct copy_table *table, struct copy *copy)
{
  list_remove (&copy->node);
  if (copy->state == COPY_FREED || copy_is_void (copy))
    {
      g_hash_table_remove (table->condemned, copy);
      g_free (copy);
      return;
    }
  copy->state = COPY_FREED;
  copy->since_ns = clock_now (table->clock);
  list_append (&table->ending, &copy->node);
  table->ops->free_slot (table->data, copy->store->id, copy->slot,
                         copy->generation);
}

static enum status
copy_withdraw_mismatch (struct copy_table *table, struct copy *copy)
{
  table->mismatches++;
  copy_withdraw (table, copy);
  return STATUS_CORRUPT;
}

static bool
listing_item_is_withdrawn (const struct copy_table *table,
                           struct copy_store *store,
                           const struct copy_item *item)
{
  struct copy key
      = { .store = store, .slot = item->slot, .generation = item->generation };

  return g_hash_table_contains (table->condemned, &key);
}

static void
listing_item_add (struct copy_table *table, struct copy_store *store,
                  const struct copy_item *item, struct blockentry *entry)
{
  struct copy *copy
      = copy_create (table, entry, store, item->tier, item->length);

  copy->slot = item->slot;
  copy->generation = item->generation;
  copy->state = COPY_RESERVED;
  if (item->sealed)
    copy_seal (copy, item->length, item->checksum);
  entry->position = item->position;
}

/* Frees a listed slot that is not needed: the block's copy is in another
 * slot. */
static void
listing_item_release (struct copy_table *table, struct copy_store *store,
                      const struct copy_item *item)
{
  struct copy *copy = g_new0 (struct copy, 1);

  copy->store = store;
  copy->epoch = store->epoch;
  copy->slot = item->slot;
  copy->generation = item->generation;
  copy->state = COPY_RESERVED;
  list_init (&copy->sibling);
  list_init (&copy->node);
  copy_withdraw (table, copy);
}

static void
listing_item_verify (struct copy_table *table, struct copy *copy,
                     const struct copy_item *item)
{
  bool checksum_known
      = copy->state == COPY_WRITTEN || copy->state == COPY_SEALED;

  copy->pass = copy->store->pass;
  if (!item->sealed)
    {
      if (copy->state == COPY_SEALED)
        copy_withdraw_mismatch (table, copy);
      return;
    }
  if (item->length != copy->length
      || (checksum_known && item->checksum != copy->checksum))
    copy_withdraw_mismatch (table, copy);
  else if (copy->state != COPY_SEALED)
    copy_seal (copy, item->length, item->checksum);
}

void
copy_table_init (struct copy_table *table, struct blockentry_table *entries,
                 const struct clock *clock,
                 const struct copy_settings *settings,
                 const struct copy_ops *ops, void *data)
{
  assert (settings->read_lease_ns < settings->free_wait_ns);
  table->entries = entries;
  table->clock = clock;
  table->settings = *settings;
  table->ops = ops;
  table->data = data;
  table->stores
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  table->condemned = g_hash_table_new (slot_hash, slot_equal);
  list_init (&table->writing);
  list_init (&table->ending);
  list_init (&table->lost);
  table->mismatches = 0;
}

static void
copies_drop (struct copy_table *table, struct list *head, size_t max)
{
  while (!list_empty (head) && max-- > 0)
    copy_drop (table, LIST_ENTRY (list_pop (head), struct copy, node));
}

void
copy_table_finish (struct copy_table *table)
{
  GHashTableIter iter;
  gpointer store;

  g_hash_table_destroy (table->condemned);
  copies_drop (table, &table->writing, SIZE_MAX);
  copies_drop (table, &table->ending, SIZE_MAX);
  copies_drop (table, &table->lost, SIZE_MAX);
  g_hash_table_iter_init (&iter, table->stores);
  while (g_hash_table_iter_next (&iter, NULL, &store))
    for (int t = 0; t < COPY_TIERS; t++)
      copies_drop (table, &((struct copy_store *)store)->sealed[t], SIZE_MAX);
  g_hash_table_destroy (table->stores);
}

enum status
copy_reserve (struct copy_table *table, const struct copy_ref *ref,
              enum copy_tier tier, int64_t length)
{
  struct copy_store *store = store_find_or_create (table, ref->store);
  struct blockentry *entry;

  if (!store->alive)
    return STATUS_UNAVAILABLE;
  if (!copy_may_reserve (table, ref->store, tier))
    return STATUS_LIMITED;
  entry = blockentry_make (table->entries, ref->scope, &ref->block);
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
copy_reserved (struct copy_table *table, const struct copy_ref *ref,
               uint64_t slot, uint64_t generation)
{
  struct copy *copy = copy_find (table, ref);

  if (copy == NULL || copy->state != COPY_ASKED)
    {
      /* A repeated reply has the slot that is in use. */
      if (copy == NULL || copy->slot != slot || copy->generation != generation)
        table->ops->free_slot (table->data, ref->store, slot, generation);
      return STATUS_NOT_FOUND;
    }
  copy->state = COPY_RESERVED;
  copy->slot = slot;
  copy->generation = generation;
  return STATUS_OK;
}

void
copy_refused (struct copy_table *table, const struct copy_ref *ref, bool full)
{
  struct copy *copy = copy_find (table, ref);

  if (copy == NULL || copy->state != COPY_ASKED)
    return;
  if (full)
    copy_store_full (table, ref->store, copy->tier);
  copy_drop (table, copy);
}

enum status
copy_written (struct copy_table *table, const struct copy_ref *ref,
              uint64_t generation, int64_t length, uint64_t checksum)
{
  struct copy *copy = copy_find (table, ref);

  if (copy == NULL || copy->state == COPY_ASKED)
    return STATUS_NOT_FOUND;
  if (copy->generation != generation)
    return STATUS_STALE;
  if (length != copy->length)
    return copy_withdraw_mismatch (table, copy);
  if (copy->state != COPY_RESERVED)
    return copy->checksum == checksum ? STATUS_OK
                                      : copy_withdraw_mismatch (table, copy);
  copy->state = COPY_WRITTEN;
  copy->checksum = checksum;
  return STATUS_OK;
}

enum status
copy_sealed (struct copy_table *table, const struct copy_ref *ref,
             uint64_t generation, int64_t length, uint64_t checksum)
{
  struct copy *copy = copy_find (table, ref);

  if (copy == NULL)
    return STATUS_NOT_FOUND;
  if (copy->state != COPY_WRITTEN && copy->state != COPY_SEALED)
    return STATUS_CONFLICT;
  if (copy->generation != generation)
    return STATUS_STALE;
  if (length != copy->length || checksum != copy->checksum)
    return copy_withdraw_mismatch (table, copy);
  copy_seal (copy, length, checksum);
  return STATUS_OK;
}

enum status
copy_condemn (struct copy_table *table, const struct copy_ref *ref,
              uint64_t generation)
{
  struct copy *copy = copy_find (table, ref);

  if (copy == NULL)
    return STATUS_NOT_FOUND;
  if (generation != 0 && copy->generation != generation)
    return STATUS_STALE;
  copy_withdraw (table, copy);
  return STATUS_OK;
}

bool
copy_readable (const struct copy *copy)
{
  return copy->state == COPY_SEALED && copy->store->alive
         && !copy_is_void (copy);
}

void
copy_touch (struct copy *copy)
{
  list_remove (&copy->node);
  list_append (&copy->store->sealed[copy->tier], &copy->node);
}

bool
copy_held (struct copy_table *table, const struct block_scope *scope,
           const struct block_id *id)
{
  const struct blockentry *entry = blockentry_find (table->entries, scope, id);
  const struct list *node;

  if (entry == NULL)
    return false;
  for (node = entry->copies.next; node != &entry->copies; node = node->next)
    if (!copy_is_void (LIST_ENTRY (node, struct copy, sibling)))
      return true;
  return false;
}

bool
copy_may_reserve (struct copy_table *table, uint64_t id, enum copy_tier tier)
{
  const struct copy_store *store = store_find (table, id);

  return store != NULL && store->alive
         && clock_now (table->clock) >= store->full_until_ns[tier];
}

void
copy_store_full (struct copy_table *table, uint64_t id, enum copy_tier tier)
{
  store_find_or_create (table, id)->full_until_ns[tier]
      = clock_now (table->clock) + table->settings.full_ns;
}

void
copy_store_gone (struct copy_table *table, uint64_t id)
{
  struct copy_store *store = store_find_or_create (table, id);

  store->epoch++;
  store->alive = false;
  store->listing = false;
  for (int t = 0; t < COPY_TIERS; t++)
    {
      struct list *head = &store->sealed[t];

      if (list_empty (head))
        continue;
      /* Append the whole list to table->lost. */
      head->next->prev = table->lost.prev;
      table->lost.prev->next = head->next;
      head->prev->next = &table->lost;
      table->lost.prev = head->prev;
      list_init (head);
    }
}

void
copy_listing_begin (struct copy_table *table, uint64_t id)
{
  struct copy_store *store = store_find_or_create (table, id);

  store->alive = true;
  store->listing = true;
  store->pass++;
  store->listing_ns = clock_now (table->clock);
}

void
copy_listing_item (struct copy_table *table, uint64_t id,
                   const struct copy_item *item)
{
  struct copy_store *store = store_find_or_create (table, id);
  struct blockentry *entry;
  struct copy *copy;

  if (!store->listing || listing_item_is_withdrawn (table, store, item))
    return;
  entry = blockentry_make (table->entries, &item->scope, &item->block);
  if (entry == NULL)
    return;
  copy = entry_find_copy (entry, store);
  if (copy == NULL)
    listing_item_add (table, store, item, entry);
  else if (copy->state == COPY_ASKED)
    /* The reply that assigns this slot has not arrived yet. */
    copy->pass = store->pass;
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
copy_listing_end (struct copy_table *table, uint64_t id)
{
  struct copy_store *store = store_find_or_create (table, id);

  if (!store->listing)
    return;
  store->listing = false;
  for (int t = 0; t < COPY_TIERS; t++)
    {
      struct list *node = store->sealed[t].next;

      while (node != &store->sealed[t])
        {
          struct copy *copy = LIST_ENTRY (node, struct copy, node);

          node = node->next;
          if (copy->pass != store->pass)
            copy_drop (table, copy);
        }
    }
}

size_t
copy_oldest (const struct copy_table *table, uint64_t id, enum copy_tier tier,
             const struct copy **copies, size_t max)
{
  const struct copy_store *store = store_find (table, id);
  size_t count = 0;

  if (store == NULL)
    return 0;
  for (const struct list *node = store->sealed[tier].next;
       node != &store->sealed[tier] && count < max; node = node->next)
    copies[count++] = LIST_ENTRY (node, struct copy, node);
  return count;
}

static int64_t
list_next_due_ns (const struct list *head, int64_t wait_ns)
{
  if (list_empty (head))
    return CLOCK_NEVER;
  return LIST_ENTRY (head->next, struct copy, node)->since_ns + wait_ns;
}

void
copy_tick (struct copy_table *table)
{
  int64_t now = clock_now (table->clock);

  while (list_next_due_ns (&table->writing, table->settings.write_timeout_ns)
         <= now)
    copy_withdraw (table,
                   LIST_ENTRY (list_pop (&table->writing), struct copy, node));
  while (list_next_due_ns (&table->ending, table->settings.free_wait_ns)
         <= now)
    copy_free (table,
               LIST_ENTRY (list_pop (&table->ending), struct copy, node));
  copies_drop (table, &table->lost, DROPS_PER_TICK);
}

int64_t
copy_next (const struct copy_table *table)
{
  int64_t writing
      = list_next_due_ns (&table->writing, table->settings.write_timeout_ns);
  int64_t ending
      = list_next_due_ns (&table->ending, table->settings.free_wait_ns);

  if (!list_empty (&table->lost))
    return clock_now (table->clock);
  return writing < ending ? writing : ending;
}
