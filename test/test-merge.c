#include "fake-config.h"
#include "merge.h"
#include "rng.h"
#include "unit.h"

#include <stdio.h>
#include <string.h>

/* Compares the merge with a naive implementation, which has lists and linear
   searches, and the real base rows instead of digests and revisions. */

enum
{
  SHEETS = 10000,
  FIRST_SEED = 1,
  SHEETS_PER_BASE = 10,
  ROWS_MAX = 128
};

/* A row of a configuration or a sheet in the naive implementation. */
struct naive_row
{
  struct declaration row;
  uint32_t line;
  bool remove;
  bool refused;
};

struct naive_rows
{
  struct naive_row entries[ROWS_MAX];
  int count;
};

struct scenario
{
  struct rng rng;
  struct config *base;
  struct config *current;
  struct naive_rows
      changed_since_base; /* Rows changed or removed since base. */
  struct sheet sheet;
};

static struct naive_row *
naive_rows_find (struct naive_rows *rows, const struct declaration *row)
{
  for (int i = 0; i < rows->count; i++)
    if (rows->entries[i].row.type == row->type
        && declaration_compare_ids (&rows->entries[i].row, row) == 0)
      return &rows->entries[i];
  return NULL;
}

static void
naive_rows_put (struct naive_rows *rows, const struct declaration *row)
{
  struct naive_row *entry = naive_rows_find (rows, row);

  if (entry == NULL)
    entry = &rows->entries[rows->count++];
  memset (entry, 0, sizeof *entry);
  entry->row = *row;
}

static void
naive_rows_remove (struct naive_rows *rows, const struct declaration *row)
{
  struct naive_row *entry = naive_rows_find (rows, row);

  if (entry != NULL)
    *entry = rows->entries[--rows->count];
}

static void
naive_rows_from_config (struct naive_rows *rows, const struct config *config)
{
  GHashTableIter iter;
  gpointer row;

  rows->count = 0;
  g_hash_table_iter_init (&iter, config->rows);
  while (g_hash_table_iter_next (&iter, &row, NULL))
    rows->entries[rows->count++]
        = (struct naive_row){ .row = *(struct declaration *)row };
}

static void
cell_random (struct rng *rng, enum column column, char *text)
{
  char digit = (char)('0' + rng_below (rng, 3));

  switch (column)
    {
    case COLUMN_IDEMPOTENT:
    case COLUMN_RETAINED:
      strcpy (text, digit > '0' ? "yes" : "no");
      break;
    case COLUMN_FENCING:
      strcpy (text, digit > '0' ? "checked" : "ignored");
      break;
    case COLUMN_KEY_HASH:
      memset (text, digit, DECLARATION_KEY_HASH_MAX - 1);
      text[DECLARATION_KEY_HASH_MAX - 1] = '\0';
      break;
    case COLUMN_ORGANISATION:
    case COLUMN_NAME:
    case COLUMN_MODEL:
    case COLUMN_VERSION:
    case COLUMN_SERVICE:
      text[0] = column_name (column)[0];
      text[1] = digit;
      text[2] = '\0';
      break;
    default:
      text[0] = (char)(digit + 1);
      text[1] = '\0';
    }
}

static struct declaration
row_random (struct rng *rng, enum declaration_type type)
{
  bool has_model = rng_below (rng, 2) > 0;
  char text[DECLARATION_CELL_MAX];
  struct declaration row;

  declaration_init (&row, type);
  for (int i = 0; i < COLUMN_COUNT; i++)
    {
      enum column_use use = declaration_column_use (type, (enum column)i);

      if (use == COLUMN_USE_NONE
          || (use == COLUMN_USE_ONE_OF && has_model != (i == COLUMN_MODEL)))
        continue;
      cell_random (rng, (enum column)i, text);
      CU_ASSERT_EQUAL_FATAL (
          declaration_set_cell (&row, (enum column)i, text, NULL), STATUS_OK);
    }
  return row;
}

static enum declaration_type
type_random (struct rng *rng)
{
  return (enum declaration_type)rng_below (rng, DECLARATION_TYPE_COUNT);
}

/* Tries one random change. A change that breaks a rule is dropped; most do
   not. */
static void
apply_random_change (struct scenario *scenario)
{
  struct row_change change = { .remove = rng_below (&scenario->rng, 4) == 0 };
  struct config *next;
  char digest[CONFDOC_DIGEST_MAX];

  change.row = row_random (&scenario->rng, type_random (&scenario->rng));
  if (change.remove)
    {
      const struct declaration *row
          = rowset_find (scenario->current->rows, &change.row);

      if (row == NULL)
        return;
      change.row = *row;
    }
  g_snprintf (digest, sizeof digest, "%lu",
              (unsigned long)scenario->current->revision);
  if (config_with_changes (&next, scenario->current, &change, 1, digest, NULL)
      != STATUS_OK)
    return;
  naive_rows_put (&scenario->changed_since_base, &change.row);
  config_unref (scenario->current);
  scenario->current = next;
}

/* Creates a configuration with most of the objects that random rows refer
   to. */
static struct config *
config_random (struct rng *rng)
{
  struct config *empty = config_new_empty (), *config = NULL;
  GArray *changes = g_array_new (FALSE, TRUE, sizeof (struct row_change));

  for (int digit = '0'; digit < '3'; digit++)
    {
      char texts[4][128];

      g_snprintf (texts[0], 128,
                  "organisation organisation=o%c weight=1 requests_per_s=1 "
                  "in_flight=1",
                  digit);
      g_snprintf (texts[1], 128, "model model=m%c version=v%c service=e",
                  digit, digit);
      g_snprintf (texts[2], 128, "version model=m%c version=v%c", digit,
                  digit);
      g_snprintf (texts[3], 128,
                  "service service=s%c timeout_ms=1 idempotent=no", digit);
      for (int i = 0; i < 4; i++)
        {
          struct row_change change = fake_change (texts[i]);

          g_array_append_val (changes, change);
        }
    }
  CU_ASSERT_EQUAL_FATAL (
      config_with_changes (&config, empty,
                           (struct row_change *)(void *)changes->data,
                           changes->len, "base", NULL),
      STATUS_OK);
  g_array_unref (changes);
  config_unref (empty);
  return config;
}

static void
sheet_add (struct scenario *scenario, const struct declaration *row,
           bool remove)
{
  const struct declaration *base = rowset_find (scenario->base->rows, row);
  GArray *rows = scenario->sheet.rows;
  struct sheet_row added = { .line = rows->len + 3, .remove = remove };

  added.declaration = *row;
  added.exported_digest = base == NULL ? 0 : declaration_digest (base);
  for (guint i = 0; i < rows->len; i++)
    if (declaration_compare_ids (
            &g_array_index (rows, struct sheet_row, i).declaration, row)
        == 0)
      return;
  g_array_append_val (rows, added);
}

/* @return a random row with the key columns of ROW */
static struct declaration
row_edited (struct rng *rng, const struct declaration *row)
{
  struct declaration edited = row_random (rng, row->type);
  char text[DECLARATION_CELL_MAX];

  for (int i = 0; i < COLUMN_COUNT; i++)
    if (declaration_column_use (row->type, (enum column)i) == COLUMN_USE_KEY)
      {
        declaration_format_cell (row, (enum column)i, text);
        declaration_set_cell (&edited, (enum column)i, text, NULL);
      }
  return edited;
}

/* Fills the sheet with the rows of the base and edits them at random. */
static void
sheet_random (struct scenario *scenario)
{
  struct rng *rng = &scenario->rng;
  struct naive_rows base;

  memset (&scenario->sheet, 0, sizeof scenario->sheet);
  scenario->sheet.usable = true;
  scenario->sheet.base_revision = scenario->base->revision;
  scenario->sheet.rows = g_array_new (FALSE, TRUE, sizeof (struct sheet_row));
  scenario->sheet.refused_rows
      = g_array_new (FALSE, TRUE, sizeof (struct sheet_row));
  scenario->sheet.refusals = sheet_refusals_new ();
  naive_rows_from_config (&base, scenario->base);
  for (int i = 0; i < base.count; i++)
    {
      uint64_t edit_choice = rng_below (rng, 10);
      struct declaration row = base.entries[i].row;

      if (edit_choice == 0)
        continue;
      if (edit_choice == 1)
        row = row_edited (rng, &row);
      sheet_add (scenario, &row, edit_choice == 2);
    }
  for (uint64_t i = rng_below (rng, 8); i > 0; i--)
    {
      struct declaration row = row_random (rng, type_random (rng));

      sheet_add (scenario, &row, false);
    }
}

static struct config *
base_random (uint64_t seed)
{
  struct scenario scenario = { .changed_since_base.count = 0 };

  rng_init (&scenario.rng, seed);
  scenario.current = config_random (&scenario.rng);
  for (int i = 0; i < 20; i++)
    apply_random_change (&scenario);
  return scenario.current;
}

static void
scenario_init (struct scenario *scenario, uint64_t seed, struct config *base)
{
  memset (scenario, 0, sizeof *scenario);
  rng_init (&scenario->rng, seed);
  scenario->base = config_ref (base);
  scenario->current = config_ref (base);
  for (uint64_t i = rng_below (&scenario->rng, 12); i > 0; i--)
    apply_random_change (scenario);
  sheet_random (scenario);
}

static void
scenario_finish (struct scenario *scenario)
{
  config_unref (scenario->base);
  config_unref (scenario->current);
  sheet_finish (&scenario->sheet);
}

static bool
naive_fixed_columns_differ (const struct declaration *a,
                            const struct declaration *b)
{
  if (a->type == DECLARATION_ADAPTER)
    return strcmp (a->organisation, b->organisation) != 0;
  if (a->type == DECLARATION_REQUEST_KIND)
    return strcmp (a->model, b->model) != 0
           || strcmp (a->service, b->service) != 0;
  return false;
}

/* @return whether the row is accepted; otherwise it is refused or changes
   nothing */
static bool
naive_row_is_accepted (struct naive_row *entry, const struct naive_row *base,
                       const struct naive_row *current,
                       bool changed_since_base)
{
  if (entry->remove)
    {
      entry->refused = current != NULL && changed_since_base;
      return current != NULL && !changed_since_base;
    }
  if (current != NULL && declaration_equals (&entry->row, &current->row))
    return false;
  if (base != NULL && declaration_equals (&entry->row, &base->row))
    return false;
  if (current == NULL)
    entry->refused = base != NULL || changed_since_base;
  else
    entry->refused
        = base == NULL || changed_since_base
          || naive_fixed_columns_differ (&entry->row, &current->row);
  return !entry->refused;
}

static bool
naive_reference_is_missing (struct naive_rows *result,
                            const struct declaration *row,
                            enum declaration_type type,
                            struct declaration *target)
{
  *target = *row;
  target->type = type;
  return naive_rows_find (result, target) == NULL;
}

static void
naive_refuse_row (struct naive_rows *accepted, const struct declaration *row,
                  const struct declaration *other)
{
  struct naive_row *entry = naive_rows_find (accepted, row);

  if (entry == NULL && other != NULL)
    entry = naive_rows_find (accepted, other);
  if (entry != NULL)
    entry->refused = true;
}

static void
naive_check_references (struct naive_rows *accepted, struct naive_rows *result,
                        const struct declaration *row)
{
  static const enum declaration_type references[][4] = {
    { DECLARATION_KEY, DECLARATION_ORGANISATION },
    { DECLARATION_MODEL, DECLARATION_VERSION },
    { DECLARATION_VERSION, DECLARATION_MODEL },
    { DECLARATION_ADAPTER, DECLARATION_MODEL },
    { DECLARATION_ADAPTER, DECLARATION_ORGANISATION },
    { DECLARATION_REQUEST_KIND, DECLARATION_ORGANISATION },
    { DECLARATION_REQUEST_KIND, DECLARATION_MODEL },
    { DECLARATION_REQUEST_KIND, DECLARATION_SERVICE },
  };
  struct declaration target;

  for (size_t i = 0; i < sizeof references / sizeof *references; i++)
    {
      if (references[i][0] != row->type)
        continue;
      if (row->type == DECLARATION_REQUEST_KIND
          && ((references[i][1] == DECLARATION_MODEL && row->model[0] == '\0')
              || (references[i][1] == DECLARATION_SERVICE
                  && row->service[0] == '\0')))
        continue;
      if (naive_reference_is_missing (result, row, references[i][1], &target))
        naive_refuse_row (accepted, row, &target);
    }
}

static void
naive_check_conflicts (struct naive_rows *accepted,
                       const struct declaration *a,
                       const struct declaration *b)
{
  if (a->type == DECLARATION_KEY && b->type == DECLARATION_KEY
      && strcmp (a->key_hash, b->key_hash) == 0)
    {
      naive_refuse_row (accepted, a, NULL);
      naive_refuse_row (accepted, b, NULL);
    }
  if (a->type == DECLARATION_MODEL && b->type == DECLARATION_SERVICE
      && strcmp (a->service, b->service) == 0)
    naive_refuse_row (accepted, a, b);
}

/* Refuses the accepted rows that break a rule in RESULT.
   @return whether any row was refused */
static bool
naive_check_round (struct naive_rows *accepted, struct naive_rows *result)
{
  int before = accepted->count, kept = 0;

  for (int i = 0; i < result->count; i++)
    {
      naive_check_references (accepted, result, &result->entries[i].row);
      for (int j = 0; j < result->count; j++)
        if (i != j)
          naive_check_conflicts (accepted, &result->entries[i].row,
                                 &result->entries[j].row);
    }
  for (int i = 0; i < accepted->count; i++)
    if (!accepted->entries[i].refused)
      accepted->entries[kept++] = accepted->entries[i];
  accepted->count = kept;
  return kept < before;
}

/* @return the number of rows that change nothing */
static size_t
naive_merge (struct scenario *scenario, struct naive_rows *result,
             struct naive_rows *accepted)
{
  const GArray *rows = scenario->sheet.rows;
  struct naive_rows base, current;
  size_t unchanged = 0;

  naive_rows_from_config (&base, scenario->base);
  naive_rows_from_config (&current, scenario->current);
  accepted->count = 0;
  for (guint i = 0; i < rows->len; i++)
    {
      const struct sheet_row *row = &g_array_index (rows, struct sheet_row, i);
      struct naive_row entry = { .row = row->declaration,
                                 .line = row->line,
                                 .remove = row->remove };

      if (naive_row_is_accepted (
              &entry, naive_rows_find (&base, &row->declaration),
              naive_rows_find (&current, &row->declaration),
              naive_rows_find (&scenario->changed_since_base,
                               &row->declaration)
                  != NULL))
        accepted->entries[accepted->count++] = entry;
      else if (!entry.refused)
        unchanged++;
    }
  do
    {
      *result = current;
      for (int i = 0; i < accepted->count; i++)
        if (accepted->entries[i].remove)
          naive_rows_remove (result, &accepted->entries[i].row);
        else
          naive_rows_put (result, &accepted->entries[i].row);
    }
  while (naive_check_round (accepted, result));
  return unchanged;
}

/* @return whether MERGE has the same result as the naive implementation */
static bool
results_match (struct scenario *scenario, const struct merge *merge)
{
  static struct naive_rows result, accepted;
  const struct config *config
      = merge->result == NULL ? scenario->current : merge->result;

  if (naive_merge (scenario, &result, &accepted) != merge->unchanged_count)
    return false;
  if (accepted.count != (int)merge->changes->len
      || result.count != (int)g_hash_table_size (config->rows))
    return false;
  for (int i = 0; i < accepted.count; i++)
    if (g_array_index (merge->changes, struct merge_change, (guint)i).line
        != accepted.entries[i].line)
      return false;
  for (int i = 0; i < result.count; i++)
    {
      const struct declaration *row
          = rowset_find (config->rows, &result.entries[i].row);

      if (row == NULL || !declaration_equals (row, &result.entries[i].row))
        return false;
    }
  return true;
}

static bool
changes_contain_line (const struct merge *merge, uint32_t line)
{
  for (guint i = 0; i < merge->changes->len; i++)
    if (g_array_index (merge->changes, struct merge_change, i).line == line)
      return true;
  return false;
}

/* @return whether every row of the sheet is unchanged, in force or refused,
   and a second merge changes nothing for the rows that are in force */
static bool
rows_are_accounted_for (const struct scenario *scenario,
                        const struct merge *merge)
{
  GHashTable *lines = g_hash_table_new (g_direct_hash, g_direct_equal);
  struct merge second_merge;
  size_t rows;
  bool changes_nothing;

  for (guint i = 0; i < merge->refusals->len; i++)
    g_hash_table_add (
        lines,
        GUINT_TO_POINTER (
            g_array_index (merge->refusals, struct sheet_refusal, i).line));
  rows = merge->unchanged_count + merge->changes->len
         + g_hash_table_size (lines);
  g_hash_table_destroy (lines);
  if (rows != scenario->sheet.rows->len)
    return false;
  if (merge->result == NULL)
    return true;
  merge_init (&second_merge, &scenario->sheet, merge->result);
  changes_nothing = true;
  for (guint i = 0; i < second_merge.changes->len; i++)
    if (changes_contain_line (
            merge,
            g_array_index (second_merge.changes, struct merge_change, i).line))
      changes_nothing = false;
  merge_finish (&second_merge);
  return changes_nothing;
}

static void
test_differential (void)
{
  uint64_t change_count = 0, refusals = 0;
  struct config *base = NULL;

  for (uint64_t seed = FIRST_SEED; seed < FIRST_SEED + SHEETS; seed++)
    {
      struct scenario scenario;
      struct merge merge;

      if ((seed - FIRST_SEED) % SHEETS_PER_BASE == 0)
        {
          config_unref (base);
          base = base_random (seed);
        }
      scenario_init (&scenario, seed, base);
      merge_init (&merge, &scenario.sheet, scenario.current);
      change_count += merge.changes->len;
      refusals += merge.refusals->len;
      if (!results_match (&scenario, &merge)
          || !rows_are_accounted_for (&scenario, &merge))
        {
          fprintf (stderr, "seed %lu\n", (unsigned long)seed);
          CU_FAIL_FATAL ("the merge differs from the naive implementation");
        }
      merge_finish (&merge);
      scenario_finish (&scenario);
    }
  config_unref (base);
  printf ("%d sheets: %lu rows put in force, %lu refused\n", SHEETS,
          (unsigned long)change_count, (unsigned long)refusals);
}

static const struct unit_case cases[] = {
  { "differential", test_differential },
};

int
main (void)
{
  return unit_run ("merge", cases, sizeof cases / sizeof *cases);
}
