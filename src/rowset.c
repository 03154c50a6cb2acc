#include "rowset.h"

static guint
row_hash (gconstpointer data)
{
  const struct declaration *row = data;
  guint hash = (guint)row->type;

  for (int i = 0; i < COLUMN_COUNT; i++)
    if (declaration_column_use (row->type, (enum column)i) == COLUMN_USE_KEY)
      hash = hash * 31
             + g_str_hash (declaration_get_text (row, (enum column)i));
  return hash;
}

static gboolean
row_id_equal (gconstpointer left, gconstpointer right)
{
  return declaration_compare_ids (left, right) == 0;
}

GHashTable *
rowset_new (void)
{
  return g_hash_table_new (row_hash, row_id_equal);
}

GHashTable *
rowset_new_owning (void)
{
  return g_hash_table_new_full (row_hash, row_id_equal, g_free, NULL);
}

const struct declaration *
rowset_find (GHashTable *rows, const struct declaration *key)
{
  return g_hash_table_lookup (rows, key);
}
