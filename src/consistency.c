#include "consistency.h"

#include <string.h>

struct check
{
  GHashTable *rows;
  GHashTable *rows_by_key_hash;
  consistency_report report;
  void *data;
  size_t count;
};

static void
check_report (struct check *check, struct violation *violation)
{
  check->count++;
  if (check->report != NULL)
    check->report (check->data, violation);
}

static void
reference_check (struct check *check, const struct declaration *row,
                 enum declaration_type target)
{
  struct violation violation;
  struct declaration key;

  if (!declaration_find_reference (row, target, NULL))
    return;
  key = *row;
  key.type = target;
  if (rowset_find (check->rows, &key) != NULL)
    return;
  memset (&violation, 0, sizeof violation);
  violation.row = row;
  declaration_find_reference (row, target, violation.other_id);
  violation.column = declaration_reference_column (target);
  error_set (&violation.error, STATUS_NOT_FOUND,
             "refers to %s, which is not declared; declare it or correct "
             "the %s",
             violation.other_id, column_name (violation.column));
  check_report (check, &violation);
}

/* A bearer key must be declared only once: it identifies one organisation. */
static void
key_check (struct check *check, const struct declaration *row)
{
  struct violation violation;
  gpointer other
      = g_hash_table_lookup (check->rows_by_key_hash, row->key_hash);

  if (other == NULL)
    {
      g_hash_table_insert (check->rows_by_key_hash, (gpointer)row->key_hash,
                           (gpointer)row);
      return;
    }
  memset (&violation, 0, sizeof violation);
  violation.row = row;
  violation.column = COLUMN_KEY_HASH;
  violation.other = other;
  declaration_format_id (other, violation.other_id);
  error_set (&violation.error, STATUS_CONFLICT,
             "the same bearer key as %s; make a key of its own with "
             "'trefoilspar key new'",
             violation.other_id);
  check_report (check, &violation);
}

/* The service of a model's engines must not be a plain service as well. */
static void
engine_service_check (struct check *check, const struct declaration *row)
{
  struct violation violation = { .row = row, .column = COLUMN_SERVICE };
  struct declaration key;

  declaration_init (&key, DECLARATION_SERVICE);
  strcpy (key.service, row->service);
  violation.other = rowset_find (check->rows, &key);
  if (violation.other == NULL)
    return;
  declaration_format_id (violation.other, violation.other_id);
  error_set (&violation.error, STATUS_CONFLICT,
             "%s is a plain service; name the service of the model's "
             "engines",
             row->service);
  check_report (check, &violation);
}

size_t
consistency_check (GHashTable *rows, consistency_report report, void *data)
{
  struct check check = { .rows = rows, .report = report, .data = data };
  GHashTableIter iter;
  gpointer key;

  check.rows_by_key_hash = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_iter_init (&iter, rows);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const struct declaration *row = key;

      for (int type = 0; type < DECLARATION_TYPE_COUNT; type++)
        reference_check (&check, row, (enum declaration_type)type);
      if (row->type == DECLARATION_KEY)
        key_check (&check, row);
      if (row->type == DECLARATION_MODEL)
        engine_service_check (&check, row);
    }
  g_hash_table_destroy (check.rows_by_key_hash);
  return check.count;
}
