#include "fake-config.h"
#include "merge.h"
#include "rng.h"
#include "unit.h"

#include <stdio.h>
#include <string.h>

/* The merge against a naive version: lists, linear searches, and the true
   base rows instead of digests and revisions. */

enum
{
  SHEETS = 10000,
  FIRST_SEED = 1,
  SHEETS_PER_BASE = 10,
  ROWS_MAX = 128
};

/* A row of the naive version: in a configuration or in a sheet. */
struct item
{
  struct declaration row;
  uint32_t number;
  bool remove;
  bool refused;
};

struct items
{
  struct item items[ROWS_MAX];
  int count;
};

struct scenario
{
  struct rng rng;
  struct config *base;
  struct config *current;
  struct items touched; /* changed or removed since the base */
  struct sheet sheet;
};

static struct item *
items_find (struct items *items, const struct declaration *row)
{
  for (int i = 0; i < items->count; i++)
    if (items->items[i].row.type == row->type
        && declaration_compare_ids (&items->items[i].row, row) == 0)
      return &items->items[i];
  return NULL;
}

static void
items_put (struct items *items, const struct declaration *row)
{
  struct item *item = items_find (items, row);

  if (item == NULL)
    item = &items->items[items->count++];
  memset (item, 0, sizeof *item);
  item->row = *row;
}

static void
items_remove (struct items *items, const struct declaration *row)
{
  struct item *item = items_find (items, row);

  if (item != NULL)
    *item = items->items[--items->count];
}

static void
items_of (struct items *items, const struct config *config)
{
  GHashTableIter iter;
  gpointer row;

  items->count = 0;
  g_hash_table_iter_init (&iter, config->rows);
  while (g_hash_table_iter_next (&iter, &row, NULL))
    items->items[items->count++]
        = (struct item){ .row = *(struct declaration *)row };
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
  bool model = rng_below (rng, 2) > 0;
  char text[DECLARATION_CELL_MAX];
  struct declaration row;

  declaration_init (&row, type);
  for (int i = 0; i < COLUMN_COUNT; i++)
    {
      enum column_use use = declaration_column_use (type, (enum column)i);

      if (use == COLUMN_USE_NONE
          || (use == COLUMN_USE_ONE_OF && model != (i == COLUMN_MODEL)))
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

/* Try one random change; most keep to the rules, the others do nothing. */
static void
operator_change (struct scenario *scenario)
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
  items_put (&scenario->touched, &change.row);
  config_unref (scenario->current);
  scenario->current = next;
}

/* Everything that the random rows refer to, or most of it. */
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

/* An edited row keeps its key columns. */
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

/* The export of the base with random edits. */
static void
sheet_random (struct scenario *scenario)
{
  struct rng *rng = &scenario->rng;
  struct items base;

  memset (&scenario->sheet, 0, sizeof scenario->sheet);
  scenario->sheet.usable = true;
  scenario->sheet.base_revision = scenario->base->revision;
  scenario->sheet.rows = g_array_new (FALSE, TRUE, sizeof (struct sheet_row));
  scenario->sheet.refused_rows
      = g_array_new (FALSE, TRUE, sizeof (struct sheet_row));
  scenario->sheet.refusals = sheet_refusals_new ();
  items_of (&base, scenario->base);
  for (int i = 0; i < base.count; i++)
    {
      uint64_t dice = rng_below (rng, 10);
      struct declaration row = base.items[i].row;

      if (dice == 0)
        continue;
      if (dice == 1)
        row = row_edited (rng, &row);
      sheet_add (scenario, &row, dice == 2);
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
  struct scenario scenario = { .touched.count = 0 };

  rng_init (&scenario.rng, seed);
  scenario.current = config_random (&scenario.rng);
  for (int i = 0; i < 20; i++)
    operator_change (&scenario);
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
    operator_change (scenario);
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
naive_fixed_differs (const struct declaration *a, const struct declaration *b)
{
  if (a->type == DECLARATION_ADAPTER)
    return strcmp (a->organisation, b->organisation) != 0;
  if (a->type == DECLARATION_KIND)
    return strcmp (a->model, b->model) != 0
           || strcmp (a->service, b->service) != 0;
  return false;
}

/* @return true to accept the row; else it is refused or does nothing. */
static bool
naive_accept (struct item *item, const struct item *base,
              const struct item *current, bool touched)
{
  if (item->remove)
    {
      item->refused = current != NULL && touched;
      return current != NULL && !touched;
    }
  if (current != NULL && declaration_equals (&item->row, &current->row))
    return false;
  if (base != NULL && declaration_equals (&item->row, &base->row))
    return false;
  if (current == NULL)
    item->refused = base != NULL || touched;
  else
    item->refused = base == NULL || touched
                    || naive_fixed_differs (&item->row, &current->row);
  return !item->refused;
}

static bool
naive_missing (struct items *result, const struct declaration *row,
               enum declaration_type type, struct declaration *target)
{
  *target = *row;
  target->type = type;
  return items_find (result, target) == NULL;
}

static void
naive_blame (struct items *accepted, const struct declaration *row,
             const struct declaration *other)
{
  struct item *item = items_find (accepted, row);

  if (item == NULL && other != NULL)
    item = items_find (accepted, other);
  if (item != NULL)
    item->refused = true;
}

static void
naive_references (struct items *accepted, struct items *result,
                  const struct declaration *row)
{
  static const enum declaration_type refers[][4] = {
    { DECLARATION_KEY, DECLARATION_ORGANISATION },
    { DECLARATION_MODEL, DECLARATION_VERSION },
    { DECLARATION_VERSION, DECLARATION_MODEL },
    { DECLARATION_ADAPTER, DECLARATION_MODEL },
    { DECLARATION_ADAPTER, DECLARATION_ORGANISATION },
    { DECLARATION_KIND, DECLARATION_ORGANISATION },
    { DECLARATION_KIND, DECLARATION_MODEL },
    { DECLARATION_KIND, DECLARATION_SERVICE },
  };
  struct declaration target;

  for (size_t i = 0; i < sizeof refers / sizeof *refers; i++)
    {
      if (refers[i][0] != row->type)
        continue;
      if (row->type == DECLARATION_KIND
          && ((refers[i][1] == DECLARATION_MODEL && row->model[0] == '\0')
              || (refers[i][1] == DECLARATION_SERVICE
                  && row->service[0] == '\0')))
        continue;
      if (naive_missing (result, row, refers[i][1], &target))
        naive_blame (accepted, row, &target);
    }
}

static void
naive_clashes (struct items *accepted, const struct declaration *a,
               const struct declaration *b)
{
  if (a->type == DECLARATION_KEY && b->type == DECLARATION_KEY
      && strcmp (a->key_hash, b->key_hash) == 0)
    {
      naive_blame (accepted, a, NULL);
      naive_blame (accepted, b, NULL);
    }
  if (a->type == DECLARATION_MODEL && b->type == DECLARATION_SERVICE
      && strcmp (a->service, b->service) == 0)
    naive_blame (accepted, a, b);
}

/* One round. @return false if nothing was refused. */
static bool
naive_round (struct items *accepted, struct items *result)
{
  int before = accepted->count, kept = 0;

  for (int i = 0; i < result->count; i++)
    {
      naive_references (accepted, result, &result->items[i].row);
      for (int j = 0; j < result->count; j++)
        if (i != j)
          naive_clashes (accepted, &result->items[i].row,
                         &result->items[j].row);
    }
  for (int i = 0; i < accepted->count; i++)
    if (!accepted->items[i].refused)
      accepted->items[kept++] = accepted->items[i];
  accepted->count = kept;
  return kept < before;
}

/* @return the number of rows that do nothing */
static size_t
naive_merge (struct scenario *scenario, struct items *result,
             struct items *accepted)
{
  const GArray *rows = scenario->sheet.rows;
  struct items base, current;
  size_t unchanged = 0;

  items_of (&base, scenario->base);
  items_of (&current, scenario->current);
  accepted->count = 0;
  for (guint i = 0; i < rows->len; i++)
    {
      const struct sheet_row *row = &g_array_index (rows, struct sheet_row, i);
      struct item item = { .row = row->declaration,
                           .number = row->line,
                           .remove = row->remove };

      if (naive_accept (&item, items_find (&base, &row->declaration),
                        items_find (&current, &row->declaration),
                        items_find (&scenario->touched, &row->declaration)
                            != NULL))
        accepted->items[accepted->count++] = item;
      else if (!item.refused)
        unchanged++;
    }
  do
    {
      *result = current;
      for (int i = 0; i < accepted->count; i++)
        if (accepted->items[i].remove)
          items_remove (result, &accepted->items[i].row);
        else
          items_put (result, &accepted->items[i].row);
    }
  while (naive_round (accepted, result));
  return unchanged;
}

/* @return false on any difference. */
static bool
results_same (struct scenario *scenario, const struct merge *merge)
{
  static struct items result, accepted;
  const struct config *config
      = merge->result == NULL ? scenario->current : merge->result;

  if (naive_merge (scenario, &result, &accepted) != merge->unchanged_count)
    return false;
  if (accepted.count != (int)merge->changes->len
      || result.count != (int)g_hash_table_size (config->rows))
    return false;
  for (int i = 0; i < accepted.count; i++)
    if (g_array_index (merge->changes, struct merge_change, (guint)i).line
        != accepted.items[i].number)
      return false;
  for (int i = 0; i < result.count; i++)
    {
      const struct declaration *row
          = rowset_find (config->rows, &result.items[i].row);

      if (row == NULL || !declaration_equals (row, &result.items[i].row))
        return false;
    }
  return true;
}

static bool
entry_has (const struct merge *merge, uint32_t number)
{
  for (guint i = 0; i < merge->changes->len; i++)
    if (g_array_index (merge->changes, struct merge_change, i).line == number)
      return true;
  return false;
}

/* Every row of the sheet is unchanged, in force or refused, and a second
   merge does nothing with a row that is in force. */
static bool
rows_accounted (const struct scenario *scenario, const struct merge *merge)
{
  GHashTable *lines = g_hash_table_new (g_direct_hash, g_direct_equal);
  struct merge again;
  size_t rows;
  bool good;

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
  merge_init (&again, &scenario->sheet, merge->result);
  good = true;
  for (guint i = 0; i < again.changes->len; i++)
    if (entry_has (merge,
                   g_array_index (again.changes, struct merge_change, i).line))
      good = false;
  merge_finish (&again);
  return good;
}

static void
test_differential (void)
{
  uint64_t entries = 0, refusals = 0;
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
      entries += merge.changes->len;
      refusals += merge.refusals->len;
      if (!results_same (&scenario, &merge)
          || !rows_accounted (&scenario, &merge))
        {
          fprintf (stderr, "seed %lu\n", (unsigned long)seed);
          CU_FAIL_FATAL ("the merge differs from the naive version");
        }
      merge_finish (&merge);
      scenario_finish (&scenario);
    }
  config_unref (base);
  printf ("%d sheets: %lu rows put in force, %lu refused\n", SHEETS,
          (unsigned long)entries, (unsigned long)refusals);
}

static const struct unit_case cases[] = {
  { "differential", test_differential },
};

int
main (void)
{
  return unit_run ("merge", cases, sizeof cases / sizeof *cases);
}
