#include "plan.h"

#include "rowset.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>

/* The merge while it is under way. */
struct merge
{
  struct plan *plan;
  const struct sheet *sheet;
  const struct config *config;
  GHashTable *entries; /* row to its struct plan_entry, by identity */
  GHashTable *refused; /* row to its line of the sheet */
  GHashTable *blamed;  /* set of entries, in this round */
};

static const char *const action_names[] = {
  [PLAN_ADD] = "add",
  [PLAN_CHANGE] = "change",
  [PLAN_REMOVE] = "remove",
};

static const struct declaration *
entry_row (const struct plan_entry *entry)
{
  return entry->action == PLAN_REMOVE ? &entry->before : &entry->after;
}

/* The name of the first column that differs. */
static const char *
column_differing (const struct declaration *a, const struct declaration *b)
{
  char left[DECLARATION_CELL_MAX], right[DECLARATION_CELL_MAX];

  for (int i = 0; i < COLUMN_COUNT; i++)
    {
      declaration_cell (a, (enum column)i, left);
      declaration_cell (b, (enum column)i, right);
      if (strcmp (left, right) != 0)
        return column_name ((enum column)i);
    }
  return "";
}

static void
row_refused (struct merge *merge, const struct sheet_row *row)
{
  g_hash_table_insert (merge->refused, (gpointer)&row->row,
                       GUINT_TO_POINTER (row->number));
}

#define REFUSE_ROW(merge, row, column, ...)                                   \
  do                                                                          \
    {                                                                         \
      refusals_add ((merge)->plan->refusals, (row)->number, column,           \
                    __VA_ARGS__);                                             \
      row_refused (merge, row);                                               \
    }                                                                         \
  while (0)

static void
entry_add (struct merge *merge, const struct sheet_row *row,
           enum plan_action action, const struct declaration *current)
{
  struct plan_entry entry = { .number = row->number, .action = action };

  if (current != NULL)
    entry.before = *current;
  if (action != PLAN_REMOVE)
    entry.after = row->row;
  g_array_append_val (merge->plan->entries, entry);
}

static void
remove_merge (struct merge *merge, const struct sheet_row *row,
              const struct declaration *current)
{
  if (current == NULL)
    merge->plan->unchanged++;
  else if (row->was == 0)
    REFUSE_ROW (merge, row, "was",
                "a removal without its digest; copy the row from a fresh "
                "export, then write 'remove'");
  else if (current->revision > merge->sheet->base)
    REFUSE_ROW (merge, row, "action",
                "changed in revision %" PRIu64 " after the export of %" PRIu64
                "; export again and remove it there",
                current->revision, merge->sheet->base);
  else if (row->was != declaration_digest (current))
    REFUSE_ROW (merge, row, "was",
                "the digest belongs to another row; copy the row from a "
                "fresh export, then write 'remove'");
  else
    entry_add (merge, row, PLAN_REMOVE, current);
}

static void
new_merge (struct merge *merge, const struct sheet_row *row)
{
  char id[DECLARATION_ID_MAX];
  uint64_t removed;

  declaration_id (&row->row, id);
  removed
      = confdoc_removed_at (config_document_of (merge->config, &row->row), id);
  if (row->was != 0)
    REFUSE_ROW (merge, row, "was",
                "%s is not declared any more; empty the cell to declare it "
                "anew, or delete the row",
                id);
  else if (removed > merge->sheet->base)
    REFUSE_ROW (merge, row, "",
                "%s may have been removed in revision %" PRIu64
                " after the export of %" PRIu64
                "; export again and add it there",
                id, removed, merge->sheet->base);
  else
    entry_add (merge, row, PLAN_ADD, NULL);
}

/* The column that must not change under the same key, or -1. */
static int
column_fixed (const struct declaration *a, const struct declaration *b)
{
  char left[DECLARATION_CELL_MAX], right[DECLARATION_CELL_MAX];

  for (int i = 0; i < COLUMN_COUNT; i++)
    {
      enum column_use use = declaration_use (a->type, (enum column)i);

      if (use != COLUMN_FIXED && use != COLUMN_EITHER)
        continue;
      declaration_cell (a, (enum column)i, left);
      declaration_cell (b, (enum column)i, right);
      if (strcmp (left, right) != 0)
        return i;
    }
  return -1;
}

static void
changed_merge (struct merge *merge, const struct sheet_row *row,
               const struct declaration *current)
{
  int fixed = column_fixed (&row->row, current);

  if (row->was == 0)
    REFUSE_ROW (merge, row, "was",
                "declared already, and the row has no digest; export again "
                "and change it there");
  else if (current->revision > merge->sheet->base)
    REFUSE_ROW (merge, row, column_differing (&row->row, current),
                "changed here and in revision %" PRIu64
                " after the export of %" PRIu64
                "; export again and change it there",
                current->revision, merge->sheet->base);
  else if (row->was != declaration_digest (current))
    REFUSE_ROW (merge, row, "was",
                "the digest belongs to another row; copy the row from a "
                "fresh export and change it there");
  else if (fixed >= 0)
    REFUSE_ROW (merge, row, column_name ((enum column)fixed),
                "never changes under the same name, since it would mix "
                "organisations or models; declare a new name, move to it, "
                "then remove this one");
  else
    entry_add (merge, row, PLAN_CHANGE, current);
}

static void
row_merge (struct merge *merge, const struct sheet_row *row)
{
  const struct declaration *current
      = rowset_find (merge->config->rows, &row->row);

  if (row->remove)
    remove_merge (merge, row, current);
  else if (current != NULL && declaration_equal (&row->row, current))
    merge->plan->unchanged++;
  else if (row->was != 0 && row->was == declaration_digest (&row->row))
    merge->plan->unchanged++;
  else if (current == NULL)
    new_merge (merge, row);
  else
    changed_merge (merge, row, current);
}

static struct plan_entry *
entry_of (struct merge *merge, const struct declaration *row)
{
  return row == NULL ? NULL : g_hash_table_lookup (merge->entries, row);
}

static void
entry_blame (struct merge *merge, struct plan_entry *entry, const char *column,
             const char *message)
{
  if (!g_hash_table_add (merge->blamed, entry))
    return;
  refusals_add (merge->plan->refusals, entry->number, column, "%s", message);
}

/* A changed row refers to what is not there. */
static void
reference_blame (struct merge *merge, struct plan_entry *entry,
                 const struct violation *violation)
{
  struct declaration key = *violation->row;
  char message[REFUSAL_TEXT_MAX];
  guint line = 0;

  for (int type = 0; type < DECLARATION_TYPE_COUNT; type++)
    {
      char id[DECLARATION_ID_MAX];

      if (!declaration_reference (violation->row, (enum declaration_type)type,
                                  id)
          || strcmp (id, violation->target) != 0)
        continue;
      key.type = (enum declaration_type)type;
      line = GPOINTER_TO_UINT (g_hash_table_lookup (merge->refused, &key));
    }
  g_snprintf (message, sizeof message, "%s", violation->error.message);
  if (line > 0)
    g_snprintf (message, sizeof message,
                "refers to %s, which is refused in row %u; mend that row",
                violation->target, line);
  entry_blame (merge, entry, column_name (violation->column), message);
}

/* A row that the sheet leaves alone refers to what the sheet removes. */
static void
removal_blame (struct merge *merge, const struct violation *violation)
{
  struct declaration key = *violation->row;
  char id[DECLARATION_ID_MAX], message[REFUSAL_TEXT_MAX];

  for (int type = 0; type < DECLARATION_TYPE_COUNT; type++)
    {
      struct plan_entry *entry;

      if (!declaration_reference (violation->row, (enum declaration_type)type,
                                  id)
          || strcmp (id, violation->target) != 0)
        continue;
      key.type = (enum declaration_type)type;
      entry = entry_of (merge, &key);
      declaration_id (violation->row, id);
      g_snprintf (message, sizeof message,
                  "%s still refers to it; change or remove that first", id);
      if (entry != NULL)
        entry_blame (merge, entry, "action", message);
    }
}

static void
on_violation (void *data, const struct violation *violation)
{
  struct merge *merge = data;
  struct plan_entry *entry = entry_of (merge, violation->row);
  struct plan_entry *other = entry_of (merge, violation->other);
  const char *column = column_name (violation->column);
  char id[DECLARATION_ID_MAX], message[REFUSAL_TEXT_MAX];

  if (violation->other == NULL)
    {
      if (entry != NULL)
        reference_blame (merge, entry, violation);
      else
        removal_blame (merge, violation);
      return;
    }
  if (entry != NULL)
    entry_blame (merge, entry, column, violation->error.message);
  if (other == NULL || (entry != NULL && violation->column != COLUMN_KEY_HASH))
    return;
  declaration_id (violation->row, id);
  g_snprintf (message, sizeof message,
              "clashes with %s; correct the %s of one of them", id, column);
  entry_blame (merge, other, column, message);
}

/* The rows as they would be; the set owns none. */
static GHashTable *
result_rows (struct merge *merge)
{
  GArray *entries = merge->plan->entries;
  GHashTable *rows = rowset_new ();
  GHashTableIter iter;
  gpointer row;

  g_hash_table_iter_init (&iter, merge->config->rows);
  while (g_hash_table_iter_next (&iter, &row, NULL))
    g_hash_table_add (rows, row);
  g_hash_table_remove_all (merge->entries);
  for (guint i = 0; i < entries->len; i++)
    {
      struct plan_entry *entry
          = &g_array_index (entries, struct plan_entry, i);

      g_hash_table_insert (merge->entries, (gpointer)entry_row (entry), entry);
      if (entry->action == PLAN_REMOVE)
        g_hash_table_remove (rows, &entry->before);
      else
        g_hash_table_add (rows, &entry->after);
    }
  return rows;
}

/* Take the blamed entries out. */
static void
blamed_drop (struct merge *merge)
{
  GArray *entries = merge->plan->entries;
  GArray *kept = g_array_new (FALSE, TRUE, sizeof (struct plan_entry));
  const GArray *rows = merge->sheet->rows;

  for (guint i = 0; i < entries->len; i++)
    {
      struct plan_entry *entry
          = &g_array_index (entries, struct plan_entry, i);

      if (!g_hash_table_contains (merge->blamed, entry))
        {
          g_array_append_vals (kept, entry, 1);
          continue;
        }
      for (guint j = 0; j < rows->len; j++)
        {
          const struct sheet_row *row
              = &g_array_index (rows, struct sheet_row, j);

          if (row->number == entry->number)
            row_refused (merge, row);
        }
    }
  g_hash_table_remove_all (merge->blamed);
  g_hash_table_remove_all (merge->entries);
  g_array_unref (entries);
  merge->plan->entries = kept;
}

/* Each round takes out at least one entry; without any, the rules hold. */
static void
inconsistent_refuse (struct merge *merge)
{
  size_t violations;

  do
    {
      GHashTable *rows = result_rows (merge);

      violations = consistency_check (rows, on_violation, merge);
      g_hash_table_destroy (rows);
      blamed_drop (merge);
    }
  while (violations > 0 && merge->plan->entries->len > 0);
}

static void
large_refuse (struct merge *merge, const char *document)
{
  GArray *entries = merge->plan->entries;
  char name[CONFDOC_NAME_MAX];

  for (guint i = 0; i < entries->len; i++)
    {
      struct plan_entry *entry
          = &g_array_index (entries, struct plan_entry, i);

      confdoc_name_of (entry_row (entry), name);
      if (strcmp (name, document) == 0 && entry->action != PLAN_REMOVE)
        entry_blame (merge, entry, "",
                     "the organisation's declarations would be over a "
                     "megabyte; remove some, or split the organisation");
    }
  blamed_drop (merge);
}

static enum status
result_make (struct merge *merge, struct error *error)
{
  struct plan *plan = merge->plan;
  GArray *changes = g_array_new (FALSE, TRUE, sizeof (struct row_change));
  enum status status;

  for (guint i = 0; i < plan->entries->len; i++)
    {
      const struct plan_entry *entry
          = &g_array_index (plan->entries, struct plan_entry, i);
      struct row_change change = { .row = *entry_row (entry),
                                   .remove = entry->action == PLAN_REMOVE };

      g_array_append_val (changes, change);
    }
  status = config_change (&plan->result, merge->config,
                          (struct row_change *)(void *)changes->data,
                          changes->len, merge->sheet->digest, error);
  g_array_unref (changes);
  return status;
}

static void
sheet_merge (struct merge *merge)
{
  const struct sheet *sheet = merge->sheet;
  struct error error;
  enum status status = STATUS_TOO_LARGE;

  for (guint i = 0; i < sheet->unread->len; i++)
    row_refused (merge, &g_array_index (sheet->unread, struct sheet_row, i));
  for (guint i = 0; i < sheet->rows->len; i++)
    row_merge (merge, &g_array_index (sheet->rows, struct sheet_row, i));
  while (status == STATUS_TOO_LARGE)
    {
      inconsistent_refuse (merge);
      if (merge->plan->entries->len == 0)
        return;
      status = result_make (merge, &error);
      if (status == STATUS_TOO_LARGE)
        large_refuse (merge, error.message);
    }
}

static struct json_object *
columns_json (const struct plan_entry *entry)
{
  struct json_object *array = json_object_new_array ();
  char from[DECLARATION_CELL_MAX] = "", to[DECLARATION_CELL_MAX] = "";

  for (int i = 0; i < COLUMN_COUNT; i++)
    {
      struct json_object *object;

      if (entry->action != PLAN_ADD)
        declaration_cell (&entry->before, (enum column)i, from);
      if (entry->action != PLAN_REMOVE)
        declaration_cell (&entry->after, (enum column)i, to);
      if (strcmp (from, to) == 0)
        continue;
      object = json_object_new_object ();
      json_object_object_add (
          object, "column",
          json_object_new_string (column_name ((enum column)i)));
      json_object_object_add (object, "from", json_object_new_string (from));
      json_object_object_add (object, "to", json_object_new_string (to));
      json_object_array_add (array, object);
    }
  return array;
}

static struct json_object *
entry_json (const struct plan_entry *entry)
{
  struct json_object *object = json_object_new_object ();
  char id[DECLARATION_ID_MAX];

  declaration_id (entry_row (entry), id);
  json_object_object_add (object, "row",
                          json_object_new_int64 (entry->number));
  json_object_object_add (
      object, "action", json_object_new_string (action_names[entry->action]));
  json_object_object_add (object, "object", json_object_new_string (id));
  json_object_object_add (object, "columns", columns_json (entry));
  return object;
}

void
plan_init (struct plan *plan, const struct sheet *sheet,
           const struct config *config)
{
  struct merge merge = { .plan = plan, .sheet = sheet, .config = config };

  memset (plan, 0, sizeof *plan);
  plan->base = sheet->base;
  plan->against = config->revision;
  plan->entries = g_array_new (FALSE, TRUE, sizeof (struct plan_entry));
  plan->refusals = refusals_new ();
  g_array_append_vals (plan->refusals, sheet->refusals->data,
                       sheet->refusals->len);
  plan->already = config_sheet_revision (config, sheet->digest);
  if (!sheet->whole)
    return;
  if (sheet->base > config->revision)
    {
      refusals_add (plan->refusals, 0, "",
                    "exported from revision %" PRIu64 ", but revision %" PRIu64
                    " is in force; check that the sheet is for this fleet",
                    sheet->base, config->revision);
      return;
    }
  merge.entries = rowset_new ();
  merge.refused = rowset_new ();
  merge.blamed = g_hash_table_new (g_direct_hash, g_direct_equal);
  sheet_merge (&merge);
  g_hash_table_destroy (merge.entries);
  g_hash_table_destroy (merge.refused);
  g_hash_table_destroy (merge.blamed);
  refusals_sort (plan->refusals);
}

void
plan_finish (struct plan *plan)
{
  g_array_unref (plan->entries);
  g_array_unref (plan->refusals);
  config_unref (plan->result);
}

struct json_object *
plan_json (const struct plan *plan)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *changes = json_object_new_array ();

  for (guint i = 0; i < plan->entries->len; i++)
    json_object_array_add (changes, entry_json (&g_array_index (
                                        plan->entries, struct plan_entry, i)));
  json_object_object_add (object, "base",
                          json_object_new_int64 ((int64_t)plan->base));
  json_object_object_add (object, "against",
                          json_object_new_int64 ((int64_t)plan->against));
  json_object_object_add (object, "already",
                          json_object_new_int64 ((int64_t)plan->already));
  json_object_object_add (object, "unchanged",
                          json_object_new_int64 ((int64_t)plan->unchanged));
  json_object_object_add (object, "changes", changes);
  json_object_object_add (object, "refusals", refusals_json (plan->refusals));
  return object;
}
