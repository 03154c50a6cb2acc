#include "orderplan.h"

#include <string.h>

static struct orderplan_item *
item_at (const GArray *items, size_t index)
{
  return &g_array_index (items, struct orderplan_item, index);
}

static void
item_add (GArray *items, const struct orderplan_item *item)
{
  g_array_append_vals (items, item, 1);
}

static struct orderplan_item
item_create (const char *model, const char *version, const char *adapter)
{
  struct orderplan_item item = { .revision = 0 };

  g_strlcpy (item.model, model, sizeof item.model);
  g_strlcpy (item.version, version, sizeof item.version);
  g_strlcpy (item.adapter, adapter, sizeof item.adapter);
  return item;
}

/* @return the row of the model that ROW belongs to, or NULL if the model is
 * not declared for SERVICE. */
static const struct declaration *
model_in_service (const struct config *config, const struct declaration *row,
                  const char *service)
{
  const struct declaration *model = config_model (config, row->model);

  if (model == NULL || strcmp (model->service, service) != 0)
    return NULL;
  return model;
}

static void
add_version_item (GArray *items, const struct declaration *row,
                  const struct declaration *model)
{
  struct orderplan_item item = item_create (row->model, row->version, "");

  item.current = strcmp (row->version, model->version) == 0;
  item.upcoming = !item.current && row->revision > model->revision;
  item.revision = MAX (row->revision, model->revision);
  item_add (items, &item);
}

/* Add an item for the adapter in ROW with each declared version of its
 * model. The first VERSION_COUNT items are the versions. */
static void
add_adapter_items (GArray *items, const struct declaration *row,
                   size_t version_count)
{
  for (size_t i = 0; i < version_count; i++)
    {
      struct orderplan_item item = *item_at (items, i);

      if (strcmp (item.model, row->model) != 0)
        continue;
      g_strlcpy (item.adapter, row->name, sizeof item.adapter);
      item.revision = MAX (item.revision, row->revision);
      item_add (items, &item);
    }
}

static int
item_compare (const void *a, const void *b)
{
  const struct orderplan_item *x = a;
  const struct orderplan_item *y = b;
  int order = y->current - x->current;

  if (order == 0)
    order = (x->adapter[0] != '\0') - (y->adapter[0] != '\0');
  if (order == 0)
    order = strcmp (x->model, y->model);
  if (order == 0)
    order = strcmp (x->version, y->version);
  return order == 0 ? strcmp (x->adapter, y->adapter) : order;
}

static bool
current_version_reported (const struct orderplan *plan, const GArray *reported,
                          const char *model)
{
  for (size_t i = 0; i < plan->items->len; i++)
    {
      const struct orderplan_item *item = item_at (plan->items, i);

      if (item->current && item->adapter[0] == '\0'
          && strcmp (item->model, model) == 0)
        return orderplan_contains (reported, item);
    }
  return false;
}

void
orderplan_init (struct orderplan *plan)
{
  plan->revision = 0;
  plan->items = g_array_new (FALSE, FALSE, sizeof (struct orderplan_item));
}

void
orderplan_finish (struct orderplan *plan)
{
  g_array_unref (plan->items);
}

void
orderplan_build (struct orderplan *plan, const struct config *config,
                 const char *service)
{
  GHashTableIter iter;
  const struct declaration *row;
  size_t version_count;
  void *key;

  plan->revision = config->revision;
  g_array_set_size (plan->items, 0);
  g_hash_table_iter_init (&iter, config->rows);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const struct declaration *model;

      row = key;
      if (row->type != DECLARATION_VERSION)
        continue;
      model = model_in_service (config, row, service);
      if (model != NULL)
        add_version_item (plan->items, row, model);
    }
  version_count = plan->items->len;
  g_hash_table_iter_init (&iter, config->rows);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      row = key;
      if (row->type == DECLARATION_ADAPTER
          && model_in_service (config, row, service) != NULL)
        add_adapter_items (plan->items, row, version_count);
    }
  g_array_sort (plan->items, item_compare);
}

GArray *
orderplan_from_report (const struct engine_load *load)
{
  GArray *items = g_array_new (FALSE, FALSE, sizeof (struct orderplan_item));

  for (size_t i = 0; i < load->version_count; i++)
    {
      const struct engine_version *version = &load->versions[i];
      struct orderplan_item item
          = item_create (version->model, version->version, version->adapter);

      item_add (items, &item);
    }
  return items;
}

bool
orderplan_item_equal (const struct orderplan_item *a,
                      const struct orderplan_item *b)
{
  return strcmp (a->model, b->model) == 0
         && strcmp (a->version, b->version) == 0
         && strcmp (a->adapter, b->adapter) == 0;
}

bool
orderplan_contains (const GArray *items, const struct orderplan_item *item)
{
  for (size_t i = 0; i < items->len; i++)
    if (orderplan_item_equal (item_at (items, i), item))
      return true;
  return false;
}

const struct orderplan_item *
orderplan_first_missing (const struct orderplan *plan, const GArray *reported)
{
  for (size_t i = 0; i < plan->items->len; i++)
    {
      const struct orderplan_item *item = item_at (plan->items, i);

      if ((item->current || item->upcoming)
          && !orderplan_contains (reported, item))
        return item;
    }
  return NULL;
}

const struct orderplan_item *
orderplan_first_unwanted (const struct orderplan *plan, const GArray *reported)
{
  for (size_t i = 0; i < reported->len; i++)
    {
      const struct orderplan_item *item = item_at (reported, i);

      if (!orderplan_contains (plan->items, item)
          && current_version_reported (plan, reported, item->model))
        return item;
    }
  return NULL;
}
