#include "fake-kv-store.h"

#include <glib.h>
#include <string.h>

static void
item_free (void *data)
{
  struct fake_kv_item *item = data;

  g_free (item->value);
  g_free (item);
}

static int
key_compare (const void *a, const void *b, void *data)
{
  (void)data;
  return strcmp (a, b);
}

static struct fake_kv_item *
item_get (const struct fake_kv *fake, const char *key)
{
  return g_tree_lookup (fake->items, key);
}

void
fake_kv_store_write (struct fake_kv *fake, const char *key, const char *value,
                     uint64_t lease)
{
  struct fake_kv_item *item;

  if (value == NULL)
    {
      if (g_tree_remove (fake->items, key))
        g_hash_table_replace (fake->deletions, g_strdup (key),
                              GSIZE_TO_POINTER (fake->revision));
      return;
    }
  g_hash_table_remove (fake->deletions, key);
  item = g_new0 (struct fake_kv_item, 1);
  item->value = g_strdup (value);
  item->revision = fake->revision;
  item->lease = lease;
  g_tree_replace (fake->items, g_strdup (key), item);
}

struct fake_kv_lease *
fake_kv_lease_get (const struct fake_kv *fake, uint64_t lease_id)
{
  for (struct list *at = fake->leases.next; at != &fake->leases; at = at->next)
    if (LIST_ENTRY (at, struct fake_kv_lease, node)->id == lease_id)
      return LIST_ENTRY (at, struct fake_kv_lease, node);
  return NULL;
}

struct lease_keys
{
  uint64_t lease;
  GPtrArray *keys;
};

static gboolean
lease_key_collect (void *key, void *value, void *data)
{
  const struct fake_kv_item *item = value;
  struct lease_keys *expired = data;

  if (item->lease == expired->lease)
    g_ptr_array_add (expired->keys, g_strdup (key));
  return FALSE;
}

void
fake_kv_lease_remove (struct fake_kv *fake, struct fake_kv_lease *lease)
{
  struct lease_keys expired
      = { lease->id, g_ptr_array_new_with_free_func (g_free) };

  g_tree_foreach (fake->items, lease_key_collect, &expired);
  if (expired.keys->len > 0)
    fake->revision++;
  for (guint i = 0; i < expired.keys->len; i++)
    fake_kv_store_write (fake, expired.keys->pdata[i], NULL, 0);
  g_ptr_array_free (expired.keys, TRUE);
  list_remove (&lease->node);
  g_free (lease);
}

struct fake_kv_lease *
fake_kv_lease_next_expiring (const struct fake_kv *fake, int64_t *due_ns)
{
  struct fake_kv_lease *first = NULL;

  *due_ns = CLOCK_NEVER;
  for (struct list *at = fake->leases.next; at != &fake->leases; at = at->next)
    {
      struct fake_kv_lease *lease
          = LIST_ENTRY (at, struct fake_kv_lease, node);

      if (lease->expires_ns < *due_ns)
        {
          first = lease;
          *due_ns = lease->expires_ns;
        }
    }
  return first;
}

void
fake_kv_store_init (struct fake_kv *fake)
{
  fake->items = g_tree_new_full (key_compare, NULL, g_free, item_free);
  fake->deletions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  list_init (&fake->leases);
}

void
fake_kv_store_finish (struct fake_kv *fake)
{
  while (!list_empty (&fake->leases))
    fake_kv_lease_remove (
        fake, LIST_ENTRY (fake->leases.next, struct fake_kv_lease, node));
  g_tree_destroy (fake->items);
  g_hash_table_destroy (fake->deletions);
}

const char *
fake_kv_key_value (const struct fake_kv *fake, const char *key)
{
  const struct fake_kv_item *item = item_get (fake, key);

  return item != NULL ? item->value : NULL;
}

uint64_t
fake_kv_key_revision (const struct fake_kv *fake, const char *key)
{
  const struct fake_kv_item *item = item_get (fake, key);

  return item != NULL ? item->revision : 0;
}

void
fake_kv_put (struct fake_kv *fake, const char *key, const char *value)
{
  fake->revision++;
  fake_kv_store_write (fake, key, value, 0);
}

void
fake_kv_lease_expire (struct fake_kv *fake, uint64_t lease)
{
  for (struct list *at = fake->leases.next; at != &fake->leases;)
    {
      struct fake_kv_lease *candidate
          = LIST_ENTRY (at, struct fake_kv_lease, node);

      at = at->next;
      if (lease == 0 || candidate->id == lease)
        fake_kv_lease_remove (fake, candidate);
    }
}
