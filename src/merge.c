#include "merge.h"

#include "rowset.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* A merge under way. */
struct merger
{
  struct merge *merge;
  const struct sheet *sheet;
  const struct config *config;
  GHashTable *entries; /* row to its struct merge_entry, by identity */
  GHashTable *refused; /* row to its line of the sheet */
  GHashTable *blamed;  /* set of entries, in this round */
};

static const char *const action_names[] = {
  [MERGE_ADD] = "add",
  [MERGE_CHANGE] = "change",
  [MERGE_REMOVE] = "remove",
};

static const struct declaration *
entry_row (const struct merge_entry *entry)
{
  return entry->action == MERGE_REMOVE ? &entry->before : &entry->after;
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
row_refused (struct merger *merger, const struct sheet_row *row)
{
  g_hash_table_insert (merger->refused, (gpointer)&row->row,
                       GUINT_TO_POINTER (row->number));
}

#define REFUSE_ROW(merger, row, column, ...)                                  \
  do                                                                          \
    {                                                                         \
      rejections_add ((merger)->merge->refusals, (row)->number, column,       \
                      __VA_ARGS__);                                           \
      row_refused (merger, row);                                              \
    }                                                                         \
  while (0)

static void
entry_add (struct merger *merger, const struct sheet_row *row,
           enum merge_action action, const struct declaration *current)
{
  struct merge_entry entry = { .number = row->number, .action = action };

  if (current != NULL)
    entry.before = *current;
  if (action != MERGE_REMOVE)
    entry.after = row->row;
  g_array_append_val (merger->merge->entries, entry);
}

static void
remove_merge (struct merger *merger, const struct sheet_row *row,
              const struct declaration *current)
{
  if (current == NULL)
    merger->merge->unchanged++;
  else if (row->was == 0)
    REFUSE_ROW (merger, row, "was",
                "a removal without its digest; copy the row from a fresh "
                "export, then write 'remove'");
  else if (current->revision > merger->sheet->base)
    REFUSE_ROW (merger, row, "action",
                "changed in revision %" PRIu64 " after the export of %" PRIu64
                "; export again and remove it there",
                current->revision, merger->sheet->base);
  else if (row->was != declaration_digest (current))
    REFUSE_ROW (merger, row, "was",
                "the digest belongs to another row; copy the row from a "
                "fresh export, then write 'remove'");
  else
    entry_add (merger, row, MERGE_REMOVE, current);
}

static void
new_merge (struct merger *merger, const struct sheet_row *row)
{
  char id[DECLARATION_ID_MAX];
  uint64_t removed;

  declaration_id (&row->row, id);
  removed = confdoc_removal_revision (config_document_for_row (merger->config, &row->row),
                                id);
  if (row->was != 0)
    REFUSE_ROW (merger, row, "was",
                "%s is not declared any more; empty the cell to declare it "
                "anew, or delete the row",
                id);
  else if (removed > merger->sheet->base)
    REFUSE_ROW (merger, row, "",
                "%s may have been removed in revision %" PRIu64
                " after the export of %" PRIu64
                "; export again and add it there",
                id, removed, merger->sheet->base);
  else
    entry_add (merger, row, MERGE_ADD, NULL);
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
changed_merge (struct merger *merger, const struct sheet_row *row,
               const struct declaration *current)
{
  int fixed = column_fixed (&row->row, current);

  if (row->was == 0)
    REFUSE_ROW (merger, row, "was",
                "declared already, and the row has no digest; export again "
                "and change it there");
  else if (current->revision > merger->sheet->base)
    REFUSE_ROW (merger, row, column_differing (&row->row, current),
                "changed here and in revision %" PRIu64
                " after the export of %" PRIu64
                "; export again and change it there",
                current->revision, merger->sheet->base);
  else if (row->was != declaration_digest (current))
    REFUSE_ROW (merger, row, "was",
                "the digest belongs to another row; copy the row from a "
                "fresh export and change it there");
  else if (fixed >= 0)
    REFUSE_ROW (merger, row, column_name ((enum column)fixed),
                "never changes under the same name, since it would mix "
                "organisations or models; declare a new name, move to it, "
                "then remove this one");
  else
    entry_add (merger, row, MERGE_CHANGE, current);
}

/* Against what is in force, or against the sheet's base. */
static bool
row_unchanged (const struct sheet_row *row, const struct declaration *current)
{
  if (current != NULL && declaration_equal (&row->row, current))
    return true;
  return row->was != 0 && row->was == declaration_digest (&row->row);
}

static void
row_merge (struct merger *merger, const struct sheet_row *row)
{
  const struct declaration *current
      = rowset_find (merger->config->rows, &row->row);

  if (row->remove)
    remove_merge (merger, row, current);
  else if (row_unchanged (row, current))
    merger->merge->unchanged++;
  else if (current == NULL)
    new_merge (merger, row);
  else
    changed_merge (merger, row, current);
}

static struct merge_entry *
entry_of (struct merger *merger, const struct declaration *row)
{
  return row == NULL ? NULL : g_hash_table_lookup (merger->entries, row);
}

static void
entry_blame (struct merger *merger, struct merge_entry *entry,
             const char *column, const char *message)
{
  if (!g_hash_table_add (merger->blamed, entry))
    return;
  rejections_add (merger->merge->refusals, entry->number, column, "%s",
                  message);
}

/* A changed row refers to what is not there. */
static void
reference_blame (struct merger *merger, struct merge_entry *entry,
                 const struct violation *violation)
{
  struct declaration key = *violation->row;
  char message[REJECTION_TEXT_MAX];
  guint line = 0;

  for (int type = 0; type < DECLARATION_TYPE_COUNT; type++)
    {
      char id[DECLARATION_ID_MAX];

      if (!declaration_reference (violation->row, (enum declaration_type)type,
                                  id)
          || strcmp (id, violation->other_id) != 0)
        continue;
      key.type = (enum declaration_type)type;
      line = GPOINTER_TO_UINT (g_hash_table_lookup (merger->refused, &key));
    }
  g_snprintf (message, sizeof message, "%s", violation->error.message);
  if (line > 0)
    g_snprintf (message, sizeof message,
                "refers to %s, which is refused in row %u; mend that row",
                violation->other_id, line);
  entry_blame (merger, entry, column_name (violation->column), message);
}

/* A row that the sheet leaves alone refers to what the sheet removes. */
static void
removal_blame (struct merger *merger, const struct violation *violation)
{
  struct declaration key = *violation->row;
  char id[DECLARATION_ID_MAX], message[REJECTION_TEXT_MAX];

  for (int type = 0; type < DECLARATION_TYPE_COUNT; type++)
    {
      struct merge_entry *entry;

      if (!declaration_reference (violation->row, (enum declaration_type)type,
                                  id)
          || strcmp (id, violation->other_id) != 0)
        continue;
      key.type = (enum declaration_type)type;
      entry = entry_of (merger, &key);
      declaration_id (violation->row, id);
      g_snprintf (message, sizeof message,
                  "%s still refers to it; change or remove that first", id);
      if (entry != NULL)
        entry_blame (merger, entry, "action", message);
    }
}

static void
on_violation (void *data, const struct violation *violation)
{
  struct merger *merger = data;
  struct merge_entry *entry = entry_of (merger, violation->row);
  struct merge_entry *other = entry_of (merger, violation->other);
  const char *column = column_name (violation->column);
  char id[DECLARATION_ID_MAX], message[REJECTION_TEXT_MAX];

  if (violation->other == NULL)
    {
      if (entry != NULL)
        reference_blame (merger, entry, violation);
      else
        removal_blame (merger, violation);
      return;
    }
  if (entry != NULL)
    entry_blame (merger, entry, column, violation->error.message);
  if (other == NULL || (entry != NULL && violation->column != COLUMN_KEY_HASH))
    return;
  declaration_id (violation->row, id);
  g_snprintf (message, sizeof message,
              "clashes with %s; correct the %s of one of them", id, column);
  entry_blame (merger, other, column, message);
}

/* The rows as they would be; the set owns none. */
static GHashTable *
result_rows (struct merger *merger)
{
  GArray *entries = merger->merge->entries;
  GHashTable *rows = rowset_new ();
  GHashTableIter iter;
  gpointer row;

  g_hash_table_iter_init (&iter, merger->config->rows);
  while (g_hash_table_iter_next (&iter, &row, NULL))
    g_hash_table_add (rows, row);
  g_hash_table_remove_all (merger->entries);
  for (guint i = 0; i < entries->len; i++)
    {
      struct merge_entry *entry
          = &g_array_index (entries, struct merge_entry, i);

      g_hash_table_insert (merger->entries, (gpointer)entry_row (entry),
                           entry);
      if (entry->action == MERGE_REMOVE)
        g_hash_table_remove (rows, &entry->before);
      else
        g_hash_table_add (rows, &entry->after);
    }
  return rows;
}

static int
row_number_compare (const void *number, const void *row)
{
  uint32_t left = *(const uint32_t *)number;
  uint32_t right = ((const struct sheet_row *)row)->number;

  return left < right ? -1 : left > right;
}

/* The readable row at line NUMBER; rows stand in the order of their lines. */
static const struct sheet_row *
sheet_row_at (const struct sheet *sheet, uint32_t number)
{
  return bsearch (&number, sheet->rows->data, sheet->rows->len,
                  sizeof (struct sheet_row), row_number_compare);
}

/* Take the blamed entries out. */
static void
blamed_drop (struct merger *merger)
{
  GArray *entries = merger->merge->entries;
  GArray *kept = g_array_new (FALSE, TRUE, sizeof (struct merge_entry));

  for (guint i = 0; i < entries->len; i++)
    {
      struct merge_entry *entry
          = &g_array_index (entries, struct merge_entry, i);

      if (!g_hash_table_contains (merger->blamed, entry))
        {
          g_array_append_vals (kept, entry, 1);
          continue;
        }
      row_refused (merger, sheet_row_at (merger->sheet, entry->number));
    }
  g_hash_table_remove_all (merger->blamed);
  g_hash_table_remove_all (merger->entries);
  g_array_unref (entries);
  merger->merge->entries = kept;
}

/* Each round takes out at least one entry; without any, the rules hold. */
static void
inconsistent_refuse (struct merger *merger)
{
  size_t violations;

  do
    {
      GHashTable *rows = result_rows (merger);

      violations = consistency_check (rows, on_violation, merger);
      g_hash_table_destroy (rows);
      blamed_drop (merger);
    }
  while (violations > 0 && merger->merge->entries->len > 0);
}

static void
large_refuse (struct merger *merger, const char *document)
{
  GArray *entries = merger->merge->entries;
  char name[CONFDOC_NAME_MAX];

  for (guint i = 0; i < entries->len; i++)
    {
      struct merge_entry *entry
          = &g_array_index (entries, struct merge_entry, i);

      confdoc_name_for_row (entry_row (entry), name);
      if (strcmp (name, document) == 0 && entry->action != MERGE_REMOVE)
        entry_blame (merger, entry, "",
                     "the organisation's declarations would be over a "
                     "megabyte; remove some, or split the organisation");
    }
  blamed_drop (merger);
}

static enum status
result_make (struct merger *merger, struct error *error)
{
  struct merge *merge = merger->merge;
  GArray *changes = g_array_new (FALSE, TRUE, sizeof (struct row_change));
  enum status status;

  for (guint i = 0; i < merge->entries->len; i++)
    {
      const struct merge_entry *entry
          = &g_array_index (merge->entries, struct merge_entry, i);
      struct row_change change = { .row = *entry_row (entry),
                                   .remove = entry->action == MERGE_REMOVE };

      g_array_append_val (changes, change);
    }
  status = config_with_changes (&merge->result, merger->config,
                          (struct row_change *)(void *)changes->data,
                          changes->len, merger->sheet->digest, error);
  g_array_unref (changes);
  return status;
}

static void
sheet_merge (struct merger *merger)
{
  const struct sheet *sheet = merger->sheet;
  struct error error;
  enum status status = STATUS_TOO_LARGE;

  for (guint i = 0; i < sheet->unread->len; i++)
    row_refused (merger, &g_array_index (sheet->unread, struct sheet_row, i));
  for (guint i = 0; i < sheet->rows->len; i++)
    row_merge (merger, &g_array_index (sheet->rows, struct sheet_row, i));
  while (status == STATUS_TOO_LARGE)
    {
      inconsistent_refuse (merger);
      if (merger->merge->entries->len == 0)
        return;
      status = result_make (merger, &error);
      if (status == STATUS_TOO_LARGE)
        large_refuse (merger, error.message);
    }
}

static struct json_object *
columns_json (const struct merge_entry *entry)
{
  struct json_object *array = json_object_new_array ();
  char from[DECLARATION_CELL_MAX] = "", to[DECLARATION_CELL_MAX] = "";

  for (int i = 0; i < COLUMN_COUNT; i++)
    {
      struct json_object *object;

      if (entry->action != MERGE_ADD)
        declaration_cell (&entry->before, (enum column)i, from);
      if (entry->action != MERGE_REMOVE)
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
entry_json (const struct merge_entry *entry)
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
merge_init (struct merge *merge, const struct sheet *sheet,
            const struct config *config)
{
  struct merger merger = { .merge = merge, .sheet = sheet, .config = config };

  memset (merge, 0, sizeof *merge);
  merge->base = sheet->base;
  merge->against = config->revision;
  merge->entries = g_array_new (FALSE, TRUE, sizeof (struct merge_entry));
  merge->refusals = rejections_new ();
  g_array_append_vals (merge->refusals, sheet->refusals->data,
                       sheet->refusals->len);
  merge->already = config_sheet_revision (config, sheet->digest);
  if (!sheet->whole)
    return;
  if (sheet->base > config->revision)
    {
      rejections_add (merge->refusals, 0, "",
                      "exported from revision %" PRIu64
                      ", but revision %" PRIu64
                      " is in force; check that the sheet is for this fleet",
                      sheet->base, config->revision);
      return;
    }
  merger.entries = rowset_new ();
  merger.refused = rowset_new ();
  merger.blamed = g_hash_table_new (g_direct_hash, g_direct_equal);
  sheet_merge (&merger);
  g_hash_table_destroy (merger.entries);
  g_hash_table_destroy (merger.refused);
  g_hash_table_destroy (merger.blamed);
  rejections_sort (merge->refusals);
}

void
merge_finish (struct merge *merge)
{
  g_array_unref (merge->entries);
  g_array_unref (merge->refusals);
  config_unref (merge->result);
}

struct json_object *
merge_changes_json (const struct merge *merge)
{
  struct json_object *changes = json_object_new_array ();

  for (guint i = 0; i < merge->entries->len; i++)
    json_object_array_add (
        changes,
        entry_json (&g_array_index (merge->entries, struct merge_entry, i)));
  return changes;
}

struct json_object *
merge_json (const struct merge *merge)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "base",
                          json_object_new_int64 ((int64_t)merge->base));
  json_object_object_add (object, "against",
                          json_object_new_int64 ((int64_t)merge->against));
  json_object_object_add (object, "already",
                          json_object_new_int64 ((int64_t)merge->already));
  json_object_object_add (object, "unchanged",
                          json_object_new_int64 ((int64_t)merge->unchanged));
  json_object_object_add (object, "changes", merge_changes_json (merge));
  json_object_object_add (object, "refusals",
                          rejections_json (merge->refusals));
  return object;
}
