#include "merge.h"

#include "rowset.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* State while a sheet is merged. */
struct merger
{
  struct merge *merge;
  const struct sheet *sheet;
  const struct config *config;
  /* Maps a declaration to its struct merge_change. */
  GHashTable *changes;
  /* Maps a refused declaration to its line number. */
  GHashTable *refused_lines;
  /* Set of struct merge_change to drop at the end of the round. */
  GHashTable *refused_changes;
};

static const char *const action_names[] = {
  [MERGE_ADD] = "add",
  [MERGE_CHANGE] = "change",
  [MERGE_REMOVE] = "remove",
};

static const struct declaration *
change_declaration (const struct merge_change *change)
{
  return change->action == MERGE_REMOVE ? &change->before : &change->after;
}

/* Return the name of the first column in which A and B differ. */
static const char *
first_different_column (const struct declaration *a,
                        const struct declaration *b)
{
  char left[DECLARATION_CELL_MAX], right[DECLARATION_CELL_MAX];

  for (int i = 0; i < COLUMN_COUNT; i++)
    {
      declaration_format_cell (a, (enum column)i, left);
      declaration_format_cell (b, (enum column)i, right);
      if (strcmp (left, right) != 0)
        return column_name ((enum column)i);
    }
  return "";
}

static void
row_mark_refused (struct merger *merger, const struct sheet_row *row)
{
  g_hash_table_insert (merger->refused_lines, (gpointer)&row->declaration,
                       GUINT_TO_POINTER (row->line));
}

#define REFUSE_ROW(merger, row, column, ...)                                  \
  do                                                                          \
    {                                                                         \
      sheet_refusals_add ((merger)->merge->refusals, (row)->line, column,     \
                          __VA_ARGS__);                                       \
      row_mark_refused (merger, row);                                         \
    }                                                                         \
  while (0)

static void
change_add (struct merger *merger, const struct sheet_row *row,
            enum merge_action action, const struct declaration *current)
{
  struct merge_change change = { .line = row->line, .action = action };

  if (current != NULL)
    change.before = *current;
  if (action != MERGE_REMOVE)
    change.after = row->declaration;
  g_array_append_val (merger->merge->changes, change);
}

static void
removal_merge (struct merger *merger, const struct sheet_row *row,
               const struct declaration *current)
{
  if (current == NULL)
    merger->merge->unchanged_count++;
  else if (row->exported_digest == 0)
    REFUSE_ROW (merger, row, "was",
                "a removal without its digest; copy the row from a fresh "
                "export, then write 'remove'");
  else if (current->revision > merger->sheet->base_revision)
    REFUSE_ROW (merger, row, "action",
                "changed in revision %" PRIu64 " after the export of %" PRIu64
                "; export again and remove it there",
                current->revision, merger->sheet->base_revision);
  else if (row->exported_digest != declaration_digest (current))
    REFUSE_ROW (merger, row, "was",
                "the digest belongs to another row; copy the row from a "
                "fresh export, then write 'remove'");
  else
    change_add (merger, row, MERGE_REMOVE, current);
}

static void
new_row_merge (struct merger *merger, const struct sheet_row *row)
{
  char id[DECLARATION_ID_MAX];
  uint64_t removed_revision;

  declaration_format_id (&row->declaration, id);
  removed_revision = confdoc_removal_revision (
      config_document_for_row (merger->config, &row->declaration), id);
  if (row->exported_digest != 0)
    REFUSE_ROW (merger, row, "was",
                "%s is not declared any more; empty the cell to declare it "
                "anew, or delete the row",
                id);
  else if (removed_revision > merger->sheet->base_revision)
    REFUSE_ROW (merger, row, "",
                "%s may have been removed in revision %" PRIu64
                " after the export of %" PRIu64
                "; export again and add it there",
                id, removed_revision, merger->sheet->base_revision);
  else
    change_add (merger, row, MERGE_ADD, NULL);
}

/* Return a column in which A and B differ although it must not change under
 * the same identity, or -1 if there is none. */
static int
changed_fixed_column (const struct declaration *a, const struct declaration *b)
{
  char left[DECLARATION_CELL_MAX], right[DECLARATION_CELL_MAX];

  for (int i = 0; i < COLUMN_COUNT; i++)
    {
      enum column_use use = declaration_column_use (a->type, (enum column)i);

      if (use != COLUMN_USE_FIXED && use != COLUMN_USE_ONE_OF)
        continue;
      declaration_format_cell (a, (enum column)i, left);
      declaration_format_cell (b, (enum column)i, right);
      if (strcmp (left, right) != 0)
        return i;
    }
  return -1;
}

static void
changed_row_merge (struct merger *merger, const struct sheet_row *row,
                   const struct declaration *current)
{
  int fixed = changed_fixed_column (&row->declaration, current);

  if (row->exported_digest == 0)
    REFUSE_ROW (merger, row, "was",
                "declared already, and the row has no digest; export again "
                "and change it there");
  else if (current->revision > merger->sheet->base_revision)
    REFUSE_ROW (
        merger, row, first_different_column (&row->declaration, current),
        "changed here and in revision %" PRIu64 " after the export of %" PRIu64
        "; export again and change it there",
        current->revision, merger->sheet->base_revision);
  else if (row->exported_digest != declaration_digest (current))
    REFUSE_ROW (merger, row, "was",
                "the digest belongs to another row; copy the row from a "
                "fresh export and change it there");
  else if (fixed >= 0)
    REFUSE_ROW (merger, row, column_name ((enum column)fixed),
                "never changes under the same name, since it would mix "
                "organisations or models; declare a new name, move to it, "
                "then remove this one");
  else
    change_add (merger, row, MERGE_CHANGE, current);
}

/* Return whether ROW equals the CURRENT declaration or is still as
 * exported. */
static bool
row_is_unchanged (const struct sheet_row *row,
                  const struct declaration *current)
{
  if (current != NULL && declaration_equals (&row->declaration, current))
    return true;
  return row->exported_digest != 0
         && row->exported_digest == declaration_digest (&row->declaration);
}

static void
row_merge (struct merger *merger, const struct sheet_row *row)
{
  const struct declaration *current
      = rowset_find (merger->config->rows, &row->declaration);

  if (row->remove)
    removal_merge (merger, row, current);
  else if (row_is_unchanged (row, current))
    merger->merge->unchanged_count++;
  else if (current == NULL)
    new_row_merge (merger, row);
  else
    changed_row_merge (merger, row, current);
}

static struct merge_change *
change_find (struct merger *merger, const struct declaration *row)
{
  return row == NULL ? NULL : g_hash_table_lookup (merger->changes, row);
}

static void
change_refuse (struct merger *merger, struct merge_change *change,
               const char *column, const char *message)
{
  if (!g_hash_table_add (merger->refused_changes, change))
    return;
  sheet_refusals_add (merger->merge->refusals, change->line, column, "%s",
                      message);
}

/* Refuse a change that refers to an object that is not declared. */
static void
reference_refuse (struct merger *merger, struct merge_change *change,
                  const struct violation *violation)
{
  struct declaration key = *violation->row;
  char message[SHEET_REFUSAL_TEXT_MAX];
  guint line = 0;

  for (int type = 0; type < DECLARATION_TYPE_COUNT; type++)
    {
      char id[DECLARATION_ID_MAX];

      if (!declaration_find_reference (violation->row,
                                       (enum declaration_type)type, id)
          || strcmp (id, violation->other_id) != 0)
        continue;
      key.type = (enum declaration_type)type;
      line = GPOINTER_TO_UINT (
          g_hash_table_lookup (merger->refused_lines, &key));
    }
  g_snprintf (message, sizeof message, "%s", violation->error.message);
  if (line > 0)
    g_snprintf (message, sizeof message,
                "refers to %s, which is refused in row %u; mend that row",
                violation->other_id, line);
  change_refuse (merger, change, column_name (violation->column), message);
}

/* Refuse the removal of an object because a row that the sheet does not
   change still refers to it. */
static void
removal_refuse (struct merger *merger, const struct violation *violation)
{
  struct declaration key = *violation->row;
  char id[DECLARATION_ID_MAX], message[SHEET_REFUSAL_TEXT_MAX];

  for (int type = 0; type < DECLARATION_TYPE_COUNT; type++)
    {
      struct merge_change *change;

      if (!declaration_find_reference (violation->row,
                                       (enum declaration_type)type, id)
          || strcmp (id, violation->other_id) != 0)
        continue;
      key.type = (enum declaration_type)type;
      change = change_find (merger, &key);
      declaration_format_id (violation->row, id);
      g_snprintf (message, sizeof message,
                  "%s still refers to it; change or remove that first", id);
      if (change != NULL)
        change_refuse (merger, change, "action", message);
    }
}

static void
on_violation (void *data, const struct violation *violation)
{
  struct merger *merger = data;
  struct merge_change *change = change_find (merger, violation->row);
  struct merge_change *other = change_find (merger, violation->other);
  const char *column = column_name (violation->column);
  char id[DECLARATION_ID_MAX], message[SHEET_REFUSAL_TEXT_MAX];

  if (violation->other == NULL)
    {
      if (change != NULL)
        reference_refuse (merger, change, violation);
      else
        removal_refuse (merger, violation);
      return;
    }
  if (change != NULL)
    change_refuse (merger, change, column, violation->error.message);
  /* If both rows are changes, the other one is refused only when the two have
     the same key hash. */
  if (other == NULL
      || (change != NULL && violation->column != COLUMN_KEY_HASH))
    return;
  declaration_format_id (violation->row, id);
  g_snprintf (message, sizeof message,
              "clashes with %s; correct the %s of one of them", id, column);
  change_refuse (merger, other, column, message);
}

/* Return the rows of the configuration after all changes, in a set that does
   not own them, and fill merger->changes. */
static GHashTable *
result_rows (struct merger *merger)
{
  GArray *changes = merger->merge->changes;
  GHashTable *rows = rowset_new ();
  GHashTableIter iter;
  gpointer row;

  g_hash_table_iter_init (&iter, merger->config->rows);
  while (g_hash_table_iter_next (&iter, &row, NULL))
    g_hash_table_add (rows, row);
  g_hash_table_remove_all (merger->changes);
  for (guint i = 0; i < changes->len; i++)
    {
      struct merge_change *change
          = &g_array_index (changes, struct merge_change, i);

      g_hash_table_insert (merger->changes,
                           (gpointer)change_declaration (change), change);
      if (change->action == MERGE_REMOVE)
        g_hash_table_remove (rows, &change->before);
      else
        g_hash_table_add (rows, &change->after);
    }
  return rows;
}

static int
row_line_compare (const void *line, const void *row)
{
  uint32_t left = *(const uint32_t *)line;
  uint32_t right = ((const struct sheet_row *)row)->line;

  return left < right ? -1 : left > right;
}

/* Return the valid row of SHEET at LINE. */
static const struct sheet_row *
sheet_row_at_line (const struct sheet *sheet, uint32_t line)
{
  return bsearch (&line, sheet->rows->data, sheet->rows->len,
                  sizeof (struct sheet_row), row_line_compare);
}

/* Drop the changes in refused_changes from the merge and mark their rows as
   refused. */
static void
refused_changes_drop (struct merger *merger)
{
  GArray *changes = merger->merge->changes;
  GArray *kept = g_array_new (FALSE, TRUE, sizeof (struct merge_change));

  for (guint i = 0; i < changes->len; i++)
    {
      struct merge_change *change
          = &g_array_index (changes, struct merge_change, i);

      if (!g_hash_table_contains (merger->refused_changes, change))
        {
          g_array_append_vals (kept, change, 1);
          continue;
        }
      row_mark_refused (merger,
                        sheet_row_at_line (merger->sheet, change->line));
    }
  g_hash_table_remove_all (merger->refused_changes);
  g_hash_table_remove_all (merger->changes);
  g_array_unref (changes);
  merger->merge->changes = kept;
}

/* Refuse changes until the result meets the consistency rules. Each round
   refuses at least one change, and without changes the rules hold. */
static void
inconsistent_changes_refuse (struct merger *merger)
{
  size_t violations;

  do
    {
      GHashTable *rows = result_rows (merger);

      violations = consistency_check (rows, on_violation, merger);
      g_hash_table_destroy (rows);
      refused_changes_drop (merger);
    }
  while (violations > 0 && merger->merge->changes->len > 0);
}

/* Refuse all additions and changes in DOCUMENT, which would be too large. */
static void
large_document_refuse (struct merger *merger, const char *document)
{
  GArray *changes = merger->merge->changes;
  char name[CONFDOC_NAME_MAX];

  for (guint i = 0; i < changes->len; i++)
    {
      struct merge_change *change
          = &g_array_index (changes, struct merge_change, i);

      confdoc_name_for_row (change_declaration (change), name);
      if (strcmp (name, document) == 0 && change->action != MERGE_REMOVE)
        change_refuse (merger, change, "",
                       "the organisation's declarations would be over a "
                       "megabyte; remove some, or split the organisation");
    }
  refused_changes_drop (merger);
}

static enum status
result_create (struct merger *merger, struct error *error)
{
  struct merge *merge = merger->merge;
  GArray *row_changes = g_array_new (FALSE, TRUE, sizeof (struct row_change));
  enum status status;

  for (guint i = 0; i < merge->changes->len; i++)
    {
      const struct merge_change *change
          = &g_array_index (merge->changes, struct merge_change, i);
      struct row_change row_change
          = { .row = *change_declaration (change),
              .remove = change->action == MERGE_REMOVE };

      g_array_append_val (row_changes, row_change);
    }
  status
      = config_with_changes (&merge->result, merger->config,
                             (struct row_change *)(void *)row_changes->data,
                             row_changes->len, merger->sheet->digest, error);
  g_array_unref (row_changes);
  return status;
}

static void
sheet_merge (struct merger *merger)
{
  const struct sheet *sheet = merger->sheet;
  struct error error;
  enum status status = STATUS_TOO_LARGE;

  for (guint i = 0; i < sheet->refused_rows->len; i++)
    row_mark_refused (
        merger, &g_array_index (sheet->refused_rows, struct sheet_row, i));
  for (guint i = 0; i < sheet->rows->len; i++)
    row_merge (merger, &g_array_index (sheet->rows, struct sheet_row, i));
  while (status == STATUS_TOO_LARGE)
    {
      inconsistent_changes_refuse (merger);
      if (merger->merge->changes->len == 0)
        return;
      status = result_create (merger, &error);
      /* The error message is the name of the document. */
      if (status == STATUS_TOO_LARGE)
        large_document_refuse (merger, error.message);
    }
}

static struct json_object *
columns_json (const struct merge_change *change)
{
  struct json_object *array = json_object_new_array ();
  char from[DECLARATION_CELL_MAX] = "", to[DECLARATION_CELL_MAX] = "";

  for (int i = 0; i < COLUMN_COUNT; i++)
    {
      struct json_object *object;

      if (change->action != MERGE_ADD)
        declaration_format_cell (&change->before, (enum column)i, from);
      if (change->action != MERGE_REMOVE)
        declaration_format_cell (&change->after, (enum column)i, to);
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
change_json (const struct merge_change *change)
{
  struct json_object *object = json_object_new_object ();
  char id[DECLARATION_ID_MAX];

  declaration_format_id (change_declaration (change), id);
  json_object_object_add (object, "row", json_object_new_int64 (change->line));
  json_object_object_add (
      object, "action", json_object_new_string (action_names[change->action]));
  json_object_object_add (object, "object", json_object_new_string (id));
  json_object_object_add (object, "columns", columns_json (change));
  return object;
}

void
merge_init (struct merge *merge, const struct sheet *sheet,
            const struct config *config)
{
  struct merger merger = { .merge = merge, .sheet = sheet, .config = config };

  memset (merge, 0, sizeof *merge);
  merge->base_revision = sheet->base_revision;
  merge->config_revision = config->revision;
  merge->changes = g_array_new (FALSE, TRUE, sizeof (struct merge_change));
  merge->refusals = sheet_refusals_new ();
  g_array_append_vals (merge->refusals, sheet->refusals->data,
                       sheet->refusals->len);
  merge->applied_revision = config_sheet_revision (config, sheet->digest);
  if (!sheet->usable)
    return;
  if (sheet->base_revision > config->revision)
    {
      sheet_refusals_add (
          merge->refusals, 0, "",
          "exported from revision %" PRIu64 ", but revision %" PRIu64
          " is in force; check that the sheet is for this fleet",
          sheet->base_revision, config->revision);
      return;
    }
  merger.changes = rowset_new ();
  merger.refused_lines = rowset_new ();
  merger.refused_changes = g_hash_table_new (g_direct_hash, g_direct_equal);
  sheet_merge (&merger);
  g_hash_table_destroy (merger.changes);
  g_hash_table_destroy (merger.refused_lines);
  g_hash_table_destroy (merger.refused_changes);
  sheet_refusals_sort (merge->refusals);
}

void
merge_finish (struct merge *merge)
{
  g_array_unref (merge->changes);
  g_array_unref (merge->refusals);
  config_unref (merge->result);
}

struct json_object *
merge_changes_json (const struct merge *merge)
{
  struct json_object *changes = json_object_new_array ();

  for (guint i = 0; i < merge->changes->len; i++)
    json_object_array_add (
        changes,
        change_json (&g_array_index (merge->changes, struct merge_change, i)));
  return changes;
}

struct json_object *
merge_json (const struct merge *merge)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (
      object, "base", json_object_new_int64 ((int64_t)merge->base_revision));
  json_object_object_add (
      object, "against",
      json_object_new_int64 ((int64_t)merge->config_revision));
  json_object_object_add (
      object, "already",
      json_object_new_int64 ((int64_t)merge->applied_revision));
  json_object_object_add (
      object, "unchanged",
      json_object_new_int64 ((int64_t)merge->unchanged_count));
  json_object_object_add (object, "changes", merge_changes_json (merge));
  json_object_object_add (object, "refusals",
                          sheet_refusals_json (merge->refusals));
  return object;
}
