#include "sheet.h"

#include <csv.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* The columns of a sheet are those of enum column and three more. */
  SHEET_COLUMN_OBJECT = COLUMN_COUNT,
  SHEET_COLUMN_ACTION,
  SHEET_COLUMN_WAS,
  SHEET_COLUMN_COUNT,
  HEADER_CELL_MAX = 64, /* Maximum number of cells in the header row. */
  CELL_TEXT_MAX = 256,  /* Maximum size of a cell in bytes, with the NUL. */
  DIGEST_DIGITS = 16    /* Hexadecimal digits of a declaration's digest. */
};

static const char byte_order_mark[] = "\xef\xbb\xbf";

struct reader
{
  struct sheet *sheet;
  uint32_t line; /* Number of the current line, from 1. */
  /* Index of the current cell in the current row, from 0. */
  uint32_t cell_index;
  int column_at[HEADER_CELL_MAX]; /* Column for each cell index; -1 for an
                                     empty header cell. */
  uint32_t header_cell_count; /* Number of cells of the header row; 0 until it
                                 has been parsed. */
  /* Texts of the cells of the current row, by column. */
  char cells[SHEET_COLUMN_COUNT][CELL_TEXT_MAX];
  /* Texts of the first two cells of the current row, whatever their
   * columns. */
  char first_cells[2][CELL_TEXT_MAX];
  bool row_is_empty;
  bool cell_refused; /* Whether a cell of the current row is too long or has no
                        column. */
  bool has_base_row;
  bool has_end_row;
  uint32_t row_count; /* Number of rows except the header, base and end row. */
  bool sheet_refused; /* Whether the sheet is refused as a whole. */
};

static const char *
sheet_column_name (int column)
{
  switch (column)
    {
    case SHEET_COLUMN_OBJECT:
      return "object";
    case SHEET_COLUMN_ACTION:
      return "action";
    case SHEET_COLUMN_WAS:
      return "was";
    default:
      return column_name ((enum column)column);
    }
}

static int
sheet_column_find (const char *name)
{
  for (int i = 0; i < SHEET_COLUMN_COUNT; i++)
    if (strcmp (sheet_column_name (i), name) == 0)
      return i;
  return -1;
}

#define REFUSE_SHEET(reader, line, column, ...)                               \
  do                                                                          \
    {                                                                         \
      sheet_refusals_add ((reader)->sheet->refusals, line, column,            \
                          __VA_ARGS__);                                       \
      (reader)->sheet_refused = true;                                         \
    }                                                                         \
  while (0)

/* Store which column the current header cell names. */
static void
header_cell_parse (struct reader *reader, const char *text)
{
  int column = sheet_column_find (text);

  /* A column without a name is allowed, but body_cell_store refuses cells
   * with text in it. */
  if (text[0] == '\0' && reader->cell_index > 0)
    {
      reader->column_at[reader->cell_index] = -1;
      return;
    }
  if (column < 0)
    {
      if (strchr (text, ';') != NULL || strchr (text, '\t') != NULL)
        REFUSE_SHEET (reader, reader->line, "",
                      "the cells are not divided by commas; export the sheet "
                      "as CSV with commas");
      else
        REFUSE_SHEET (reader, reader->line, "",
                      "the header names an unknown column '%.40s'; take the "
                      "header row of a fresh export",
                      text);
      return;
    }
  for (uint32_t i = 0; i < reader->cell_index; i++)
    if (reader->column_at[i] == column)
      REFUSE_SHEET (reader, reader->line, sheet_column_name (column),
                    "the header names the column twice; take the header row "
                    "of a fresh export");
  reader->column_at[reader->cell_index] = column;
}

static void
header_row_parse (struct reader *reader)
{
  bool seen[SHEET_COLUMN_COUNT] = { false };

  reader->header_cell_count = reader->cell_index;
  for (uint32_t i = 0; i < reader->cell_index; i++)
    if (reader->column_at[i] >= 0)
      seen[reader->column_at[i]] = true;
  for (int i = 0; i < SHEET_COLUMN_COUNT; i++)
    if (!seen[i])
      REFUSE_SHEET (reader, reader->line, sheet_column_name (i),
                    "the header lacks the column; take the header row of a "
                    "fresh export");
}

static void
body_cell_store (struct reader *reader, const char *text, size_t size)
{
  int column = -1;

  if (size > 0)
    reader->row_is_empty = false;
  if (reader->cell_index < reader->header_cell_count)
    column = reader->column_at[reader->cell_index];
  if (reader->cell_index < 2 && size < CELL_TEXT_MAX)
    strcpy (reader->first_cells[reader->cell_index], text);
  if (size == 0)
    return;
  if (column < 0 || size >= CELL_TEXT_MAX)
    {
      if (!reader->cell_refused)
        sheet_refusals_add (reader->sheet->refusals, reader->line,
                            column < 0 ? "" : sheet_column_name (column),
                            column < 0
                                ? "more cells than the header has columns; "
                                  "check for a comma too many"
                                : "%zu bytes long; shorten it",
                            size);
      reader->cell_refused = true;
      return;
    }
  strcpy (reader->cells[column], text);
}

static void
on_cell (void *text, size_t size, void *data)
{
  struct reader *reader = data;

  if (reader->sheet_refused)
    return;
  if (reader->header_cell_count > 0)
    body_cell_store (reader, text == NULL ? "" : text, size);
  else if (reader->cell_index < HEADER_CELL_MAX)
    header_cell_parse (reader, text == NULL ? "" : text);
  else
    REFUSE_SHEET (reader, reader->line, "",
                  "the header has too many columns; take the header row of a "
                  "fresh export");
  reader->cell_index++;
}

static bool
number_parse (const char *text, uint64_t *number)
{
  if (text[0] == '\0' || strspn (text, "0123456789") != strlen (text)
      || strlen (text) > 18)
    return false;
  *number = strtoull (text, NULL, 10);
  return true;
}

static void
base_row_parse (struct reader *reader)
{
  if (reader->has_base_row
      || !number_parse (reader->first_cells[1], &reader->sheet->base_revision))
    REFUSE_SHEET (reader, reader->line, "",
                  "not one row 'base,REVISION' after the header; take it "
                  "from a fresh export");
  reader->has_base_row = true;
}

static void
end_row_parse (struct reader *reader)
{
  uint64_t count;

  reader->has_end_row = true;
  if (!number_parse (reader->first_cells[1], &count))
    REFUSE_SHEET (reader, reader->line, "",
                  "the end row has no count; write 'end,%" PRIu32 "'",
                  reader->row_count);
  else if (count != reader->row_count)
    REFUSE_SHEET (reader, reader->line, "",
                  "the end row says %" PRIu64 " rows, but there are %" PRIu32
                  "; look for lost rows, then write 'end,%" PRIu32 "'",
                  count, reader->row_count, reader->row_count);
}

static bool
digest_parse (struct reader *reader, struct sheet_row *row)
{
  const char *text = reader->cells[SHEET_COLUMN_WAS];

  row->exported_digest = 0;
  if (text[0] == '\0')
    return true;
  if (strlen (text) == DIGEST_DIGITS
      && strspn (text, "0123456789abcdef") == DIGEST_DIGITS)
    row->exported_digest = strtoull (text, NULL, 16);
  if (row->exported_digest != 0)
    return true;
  sheet_refusals_add (
      reader->sheet->refusals, row->line, "was",
      "not a digest; leave the cell as exported, or empty it for a "
      "new row");
  return false;
}

static bool
action_parse (struct reader *reader, struct sheet_row *row)
{
  const char *text = reader->cells[SHEET_COLUMN_ACTION];

  row->remove = strcmp (text, "remove") == 0;
  if (row->remove || text[0] == '\0')
    return true;
  sheet_refusals_add (
      reader->sheet->refusals, row->line, "action",
      "unknown action '%.40s'; leave it empty or write 'remove'", text);
  return false;
}

static bool
columns_parse (struct reader *reader, struct sheet_row *row)
{
  bool valid = true;
  enum column column;
  struct error error;

  for (int i = 0; i < COLUMN_COUNT; i++)
    if (declaration_set_cell (&row->declaration, (enum column)i,
                              reader->cells[i], &error)
        != STATUS_OK)
      {
        sheet_refusals_add (reader->sheet->refusals, row->line,
                            sheet_column_name (i), "%s", error.message);
        valid = false;
      }
  if (valid
      && declaration_check_complete (&row->declaration, &column, &error)
             != STATUS_OK)
    {
      sheet_refusals_add (reader->sheet->refusals, row->line,
                          sheet_column_name (column), "%s", error.message);
      valid = false;
    }
  return valid;
}

static void
object_row_parse (struct reader *reader)
{
  struct sheet_row row = { .line = reader->line };
  enum declaration_type type;
  bool valid = !reader->cell_refused;

  reader->row_count++;
  if (!declaration_type_find (reader->cells[SHEET_COLUMN_OBJECT], &type))
    {
      sheet_refusals_add (
          reader->sheet->refusals, row.line, "object",
          "unknown object '%.40s'; write one of organisation, key, "
          "service, model, version, adapter, kind, backend_server, "
          "drain",
          reader->cells[SHEET_COLUMN_OBJECT]);
      return;
    }
  declaration_init (&row.declaration, type);
  valid = columns_parse (reader, &row) && valid;
  valid = action_parse (reader, &row) && valid;
  valid = digest_parse (reader, &row) && valid;
  if (valid)
    g_array_append_val (reader->sheet->rows, row);
  else
    g_array_append_val (reader->sheet->refused_rows, row);
}

static void
body_row_parse (struct reader *reader)
{
  if (reader->has_end_row)
    REFUSE_SHEET (reader, reader->line, "",
                  "a row after the end row; move it before the end row and "
                  "count again");
  else if (strcmp (reader->first_cells[0], "base") == 0)
    base_row_parse (reader);
  else if (!reader->has_base_row)
    REFUSE_SHEET (reader, reader->line, "",
                  "no row 'base,REVISION' after the header; take it from a "
                  "fresh export");
  else if (strcmp (reader->first_cells[0], "end") == 0)
    end_row_parse (reader);
  else
    object_row_parse (reader);
}

static void
on_row (int terminator, void *data)
{
  struct reader *reader = data;

  if (!reader->sheet_refused && reader->header_cell_count == 0)
    header_row_parse (reader);
  else if (!reader->sheet_refused && !reader->row_is_empty)
    body_row_parse (reader);
  reader->cell_index = 0;
  reader->row_is_empty = true;
  reader->cell_refused = false;
  memset (reader->cells, 0, sizeof reader->cells);
  memset (reader->first_cells, 0, sizeof reader->first_cells);
}

/* Parse the text line by line, so that refusals can name the line. */
static bool
text_parse (struct reader *reader, const char *text, size_t size)
{
  struct csv_parser parser;
  bool valid = true;

  if (csv_init (&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_APPEND_NULL) != 0)
    return false;
  while (size > 0 && valid)
    {
      const char *newline = memchr (text, '\n', size);
      size_t length = newline == NULL ? size : (size_t)(newline - text) + 1;

      reader->line++;
      valid = csv_parse (&parser, text, length, on_cell, on_row, reader)
              == length;
      text += length;
      size -= length;
    }
  valid = valid && csv_fini (&parser, on_cell, on_row, reader) == 0;
  csv_free (&parser);
  return valid;
}

static void
encoding_check (struct reader *reader, const char *text, size_t size)
{
  const char *invalid;
  uint32_t line = 1;

  if (g_utf8_validate (text, (gssize)size, &invalid))
    return;
  for (const char *c = text; c < invalid; c++)
    line += *c == '\n';
  REFUSE_SHEET (reader, line, "",
                "not UTF-8 text; export the sheet as CSV in UTF-8");
}

static void
sheet_parse (struct reader *reader, const char *text, size_t size)
{
  if (size > SHEET_MAX_BYTES)
    {
      REFUSE_SHEET (reader, 0, "", "over %d bytes; send it in parts",
                    SHEET_MAX_BYTES);
      return;
    }
  if (size >= 3 && memcmp (text, byte_order_mark, 3) == 0)
    {
      text += 3;
      size -= 3;
    }
  encoding_check (reader, text, size);
  if (reader->sheet_refused)
    return;
  if (!text_parse (reader, text, size))
    REFUSE_SHEET (reader, reader->line, "",
                  "a quote that is not closed or not doubled; mend the "
                  "quotes, or export the sheet again");
  else if (!reader->sheet_refused && !reader->has_end_row)
    REFUSE_SHEET (reader, reader->line, "",
                  "no end row: the sheet is cut off; send it whole");
}

static gint
sheet_row_compare (gconstpointer left, gconstpointer right)
{
  const struct sheet_row *a = left, *b = right;
  int order = declaration_compare_ids (&a->declaration, &b->declaration);

  if (order != 0)
    return order;
  return a->line < b->line ? -1 : a->line > b->line;
}

static void
duplicate_refuse (struct sheet *sheet, const struct sheet_row *row,
                  const struct sheet_row *other)
{
  char id[DECLARATION_ID_MAX];

  declaration_format_id (&row->declaration, id);
  sheet_refusals_add (sheet->refusals, row->line, "",
                      "%s stands in row %" PRIu32 " too; keep one of them", id,
                      other->line);
}

/* Refuse all rows that declare the same object, since it is unknown which of
   them is meant. */
static void
duplicates_refuse (struct sheet *sheet)
{
  GArray *all = g_array_copy (sheet->rows);
  GArray *kept = g_array_new (FALSE, TRUE, sizeof (struct sheet_row));
  GArray *rows = sheet->rows;

  g_array_append_vals (all, sheet->refused_rows->data,
                       sheet->refused_rows->len);
  g_array_sort (all, sheet_row_compare);
  for (guint i = 0; i < all->len; i++)
    {
      struct sheet_row *row = &g_array_index (all, struct sheet_row, i);
      struct sheet_row *other = NULL;

      if (i > 0
          && declaration_compare_ids (&row[-1].declaration, &row->declaration)
                 == 0)
        other = &row[-1];
      else if (i + 1 < all->len
               && declaration_compare_ids (&row[1].declaration,
                                           &row->declaration)
                      == 0)
        other = &row[1];
      if (other != NULL)
        duplicate_refuse (sheet, row, other);
    }
  for (guint i = 0; i < rows->len; i++)
    {
      struct sheet_row *row = &g_array_index (rows, struct sheet_row, i);
      guint position = 0;

      g_array_binary_search (all, row, sheet_row_compare, &position);
      row = &g_array_index (all, struct sheet_row, position);
      if ((position > 0
           && declaration_compare_ids (&row[-1].declaration, &row->declaration)
                  == 0)
          || (position + 1 < all->len
              && declaration_compare_ids (&row[1].declaration,
                                          &row->declaration)
                     == 0))
        g_array_append_vals (sheet->refused_rows, row, 1);
      else
        g_array_append_vals (kept, row, 1);
    }
  sheet->rows = kept;
  g_array_unref (rows);
  g_array_unref (all);
}

static void
cell_append (GString *text, const char *cell)
{
  g_string_append_c (text, ',');
  g_string_append (text, cell);
}

static GString *
export_begin (const struct config *config)
{
  GString *text = g_string_new ("object,action");

  for (int i = 0; i < COLUMN_COUNT; i++)
    cell_append (text, column_name ((enum column)i));
  cell_append (text, "was");
  g_string_append_printf (text, "\nbase,%" PRIu64 "\n", config->revision);
  return text;
}

/* Append ROW to the text of a sheet. DIGEST is the digest of the row as
   exported, or 0 for a new row. */
static void
row_append (GString *text, const struct declaration *row, const char *action,
            uint64_t digest)
{
  char cell[DECLARATION_CELL_MAX];

  g_string_append (text, declaration_type_name (row->type));
  cell_append (text, action);
  for (int i = 0; i < COLUMN_COUNT; i++)
    {
      declaration_format_cell (row, (enum column)i, cell);
      cell_append (text, cell);
    }
  if (digest == 0)
    g_string_append (text, ",\n");
  else
    g_string_append_printf (text, ",%016" PRIx64 "\n", digest);
}

void
sheet_init (struct sheet *sheet, const char *text, size_t size)
{
  struct reader *reader = g_new0 (struct reader, 1);

  memset (sheet, 0, sizeof *sheet);
  sheet->rows = g_array_new (FALSE, TRUE, sizeof (struct sheet_row));
  sheet->refused_rows = g_array_new (FALSE, TRUE, sizeof (struct sheet_row));
  sheet->refusals = sheet_refusals_new ();
  confdoc_digest (text, size, sheet->digest);
  reader->sheet = sheet;
  reader->row_is_empty = true;
  sheet_parse (reader, text, size);
  sheet->usable = !reader->sheet_refused;
  if (sheet->usable)
    duplicates_refuse (sheet);
  else
    g_array_set_size (sheet->rows, 0);
  sheet_refusals_sort (sheet->refusals);
  g_free (reader);
}

void
sheet_finish (struct sheet *sheet)
{
  g_array_unref (sheet->rows);
  g_array_unref (sheet->refused_rows);
  g_array_unref (sheet->refusals);
}

char *
sheet_export (const struct config *config)
{
  GString *text = export_begin (config);
  GPtrArray *documents = config_documents (config);
  size_t count = 0;

  for (guint i = 0; i < documents->len; i++)
    {
      const struct confdoc *document = documents->pdata[i];

      for (size_t j = 0; j < document->row_count; j++)
        row_append (text, &document->rows[j], "",
                    declaration_digest (&document->rows[j]));
      count += document->row_count;
    }
  g_string_append_printf (text, "end,%zu\n", count);
  g_ptr_array_unref (documents);
  return g_string_free (text, FALSE);
}

char *
sheet_create_drain (const struct config *config, const char *name, bool drain)
{
  GString *text = export_begin (config);
  struct declaration row;

  declaration_init (&row, DECLARATION_DRAIN);
  if (declaration_set_cell (&row, COLUMN_NAME, name, NULL) != STATUS_OK)
    {
      g_string_free (text, TRUE);
      return NULL;
    }
  row_append (text, &row, drain ? "" : "remove",
              drain ? 0 : declaration_digest (&row));
  g_string_append (text, "end,1\n");
  return g_string_free (text, FALSE);
}
