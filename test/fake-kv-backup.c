#include "fake-kv-store.h"

#include <glib.h>

/* What the service has at one moment. */
struct fake_kv_backup
{
  GPtrArray *keys;
  GArray *items;  /* Array of struct fake_kv_item; owns their values. */
  GArray *leases; /* Array of struct fake_kv_lease. */
  uint64_t revision;
  uint64_t last_lease_id;
};

static gboolean
item_back_up (void *key, void *value, void *data)
{
  struct fake_kv_backup *backup = data;
  struct fake_kv_item item = *(const struct fake_kv_item *)value;

  item.value = g_strdup (item.value);
  g_ptr_array_add (backup->keys, g_strdup (key));
  g_array_append_val (backup->items, item);
  return FALSE;
}

void
fake_kv_backup_free (struct fake_kv *fake)
{
  struct fake_kv_backup *backup = fake->backup;

  if (backup == NULL)
    return;
  for (guint i = 0; i < backup->items->len; i++)
    g_free (g_array_index (backup->items, struct fake_kv_item, i).value);
  g_ptr_array_free (backup->keys, TRUE);
  g_array_free (backup->items, TRUE);
  g_array_free (backup->leases, TRUE);
  g_free (backup);
  fake->backup = NULL;
}

void
fake_kv_back_up (struct fake_kv *fake)
{
  struct fake_kv_backup *backup = g_new0 (struct fake_kv_backup, 1);

  fake_kv_backup_free (fake);
  backup->keys = g_ptr_array_new_with_free_func (g_free);
  backup->items = g_array_new (FALSE, FALSE, sizeof (struct fake_kv_item));
  backup->leases = g_array_new (FALSE, FALSE, sizeof (struct fake_kv_lease));
  backup->revision = fake->revision;
  backup->last_lease_id = fake->last_lease_id;
  g_tree_foreach (fake->items, item_back_up, backup);
  for (struct list *at = fake->leases.next; at != &fake->leases; at = at->next)
    g_array_append_val (backup->leases,
                        *LIST_ENTRY (at, struct fake_kv_lease, node));
  fake->backup = backup;
}

void
fake_kv_restore (struct fake_kv *fake)
{
  const struct fake_kv_backup *backup = fake->backup;

  fake_kv_store_finish (fake);
  fake_kv_store_init (fake);
  for (guint i = 0; i < backup->keys->len; i++)
    {
      const struct fake_kv_item *item
          = &g_array_index (backup->items, struct fake_kv_item, i);

      fake->revision = item->revision;
      fake_kv_store_write (fake, backup->keys->pdata[i], item->value,
                           item->lease);
    }
  for (guint i = 0; i < backup->leases->len; i++)
    {
      struct fake_kv_lease *lease = g_new (struct fake_kv_lease, 1);

      *lease = g_array_index (backup->leases, struct fake_kv_lease, i);
      lease->expires_ns = clock_now (fake->clock) + lease->ttl_ns;
      list_append (&fake->leases, &lease->node);
    }
  fake->revision = backup->revision;
  fake->last_lease_id = backup->last_lease_id;
  fake->era += fake->era != 0;
}
