#include "sheet.h"

#include <csv.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* The columns of the sheet: those of the declarations and three more. */
  CELL_OBJECT = COLUMN_COUNT,
  CELL_ACTION,
  CELL_WAS,
  CELL_COUNT,
  POSITION_MAX = 64,
  CELL_TEXT_MAX = 256,
  DIGEST_DIGITS = 16
};

static const char byte_order_mark[] = "\xef\xbb\xbf";

struct reader
{
  struct sheet *sheet;
  uint32_t line;
  uint32_t position;         /* in the row, from 0 */
  int cell_at[POSITION_MAX]; /* position to cell, from the header */
  uint32_t position_count;   /* 0: no header yet */
  char cells[CELL_COUNT][CELL_TEXT_MAX]; /* of the row being read */
  char first[2][CELL_TEXT_MAX];          /* its first two, by position */
  bool row_empty;
  bool cell_lost; /* a cell too long or beyond the header */
  bool has_base;
  bool has_end;
  uint32_t row_count;
  bool stopped; /* refused as a whole */
};

static const char *
cell_name (int cell)
{
  switch (cell)
    {
    case CELL_OBJECT:
      return "object";
    case CELL_ACTION:
      return "action";
    case CELL_WAS:
      return "was";
    default:
      return column_name ((enum column)cell);
    }
}

static int
cell_find (const char *name)
{
  for (int i = 0; i < CELL_COUNT; i++)
    if (strcmp (cell_name (i), name) == 0)
      return i;
  return -1;
}

#define REFUSE_WHOLE(reader, row, column, ...)                                \
  do                                                                          \
    {                                                                         \
      rejections_add ((reader)->sheet->refusals, row, column, __VA_ARGS__);   \
      (reader)->stopped = true;                                               \
    }                                                                         \
  while (0)

/* Header cells arrive one by one, like all cells. */
static void
header_cell (struct reader *reader, const char *text)
{
  int cell = cell_find (text);

  if (text[0] == '\0' && reader->position > 0)
    {
      reader->cell_at[reader->position] = -1;
      return;
    }
  if (cell < 0)
    {
      if (strchr (text, ';') != NULL || strchr (text, '\t') != NULL)
        REFUSE_WHOLE (reader, reader->line, "",
                      "the cells are not divided by commas; export the sheet "
                      "as CSV with commas");
      else
        REFUSE_WHOLE (reader, reader->line, "",
                      "the header names an unknown column '%.40s'; take the "
                      "header row of a fresh export",
                      text);
      return;
    }
  for (uint32_t i = 0; i < reader->position; i++)
    if (reader->cell_at[i] == cell)
      REFUSE_WHOLE (reader, reader->line, cell_name (cell),
                    "the header names the column twice; take the header row "
                    "of a fresh export");
  reader->cell_at[reader->position] = cell;
}

static void
header_end (struct reader *reader)
{
  bool seen[CELL_COUNT] = { false };

  reader->position_count = reader->position;
  for (uint32_t i = 0; i < reader->position; i++)
    if (reader->cell_at[i] >= 0)
      seen[reader->cell_at[i]] = true;
  for (int i = 0; i < CELL_COUNT; i++)
    if (!seen[i])
      REFUSE_WHOLE (reader, reader->line, cell_name (i),
                    "the header lacks the column; take the header row of a "
                    "fresh export");
}

static void
body_cell (struct reader *reader, const char *text, size_t size)
{
  int cell = -1;

  if (size > 0)
    reader->row_empty = false;
  if (reader->position < reader->position_count)
    cell = reader->cell_at[reader->position];
  if (reader->position < 2 && size < CELL_TEXT_MAX)
    strcpy (reader->first[reader->position], text);
  if (size == 0)
    return;
  if (cell < 0 || size >= CELL_TEXT_MAX)
    {
      if (!reader->cell_lost)
        rejections_add (reader->sheet->refusals, reader->line,
                        cell < 0 ? "" : cell_name (cell),
                        cell < 0 ? "more cells than the header has columns; "
                                   "check for a comma too many"
                                 : "%zu bytes long; shorten it",
                        size);
      reader->cell_lost = true;
      return;
    }
  strcpy (reader->cells[cell], text);
}

static void
on_cell (void *text, size_t size, void *data)
{
  struct reader *reader = data;

  if (reader->stopped)
    return;
  if (reader->position_count > 0)
    body_cell (reader, text == NULL ? "" : text, size);
  else if (reader->position < POSITION_MAX)
    header_cell (reader, text == NULL ? "" : text);
  else
    REFUSE_WHOLE (reader, reader->line, "",
                  "the header has too many columns; take the header row of a "
                  "fresh export");
  reader->position++;
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
base_row (struct reader *reader)
{
  if (reader->has_base
      || !number_parse (reader->first[1], &reader->sheet->base))
    REFUSE_WHOLE (reader, reader->line, "",
                  "not one row 'base,REVISION' after the header; take it "
                  "from a fresh export");
  reader->has_base = true;
}

static void
end_row (struct reader *reader)
{
  uint64_t count;

  reader->has_end = true;
  if (!number_parse (reader->first[1], &count))
    REFUSE_WHOLE (reader, reader->line, "",
                  "the end row has no count; write 'end,%" PRIu32 "'",
                  reader->row_count);
  else if (count != reader->row_count)
    REFUSE_WHOLE (reader, reader->line, "",
                  "the end row says %" PRIu64 " rows, but there are %" PRIu32
                  "; look for lost rows, then write 'end,%" PRIu32 "'",
                  count, reader->row_count, reader->row_count);
}

static bool
was_parse (struct reader *reader, struct sheet_row *row)
{
  const char *text = reader->cells[CELL_WAS];

  row->was = 0;
  if (text[0] == '\0')
    return true;
  if (strlen (text) == DIGEST_DIGITS
      && strspn (text, "0123456789abcdef") == DIGEST_DIGITS)
    row->was = strtoull (text, NULL, 16);
  if (row->was != 0)
    return true;
  rejections_add (
      reader->sheet->refusals, row->number, "was",
      "not a digest; leave the cell as exported, or empty it for a "
      "new row");
  return false;
}

static bool
action_parse (struct reader *reader, struct sheet_row *row)
{
  const char *text = reader->cells[CELL_ACTION];

  row->remove = strcmp (text, "remove") == 0;
  if (row->remove || text[0] == '\0')
    return true;
  rejections_add (reader->sheet->refusals, row->number, "action",
                  "unknown action '%.40s'; leave it empty or write 'remove'",
                  text);
  return false;
}

static bool
columns_parse (struct reader *reader, struct sheet_row *row)
{
  bool good = true;
  enum column column;
  struct error error;

  for (int i = 0; i < COLUMN_COUNT; i++)
    if (declaration_set (&row->row, (enum column)i, reader->cells[i], &error)
        != STATUS_OK)
      {
        rejections_add (reader->sheet->refusals, row->number, cell_name (i),
                        "%s", error.message);
        good = false;
      }
  if (good && declaration_check (&row->row, &column, &error) != STATUS_OK)
    {
      rejections_add (reader->sheet->refusals, row->number, cell_name (column),
                      "%s", error.message);
      good = false;
    }
  return good;
}

static void
object_row (struct reader *reader)
{
  struct sheet_row row = { .number = reader->line };
  enum declaration_type type;
  bool good = !reader->cell_lost;

  reader->row_count++;
  if (!declaration_type_find (reader->cells[CELL_OBJECT], &type))
    {
      rejections_add (
          reader->sheet->refusals, row.number, "object",
          "unknown object '%.40s'; write one of organisation, key, "
          "service, model, version, adapter, kind, backend_server, "
          "drain",
          reader->cells[CELL_OBJECT]);
      return;
    }
  declaration_init (&row.row, type);
  good = columns_parse (reader, &row) && good;
  good = action_parse (reader, &row) && good;
  good = was_parse (reader, &row) && good;
  if (good)
    g_array_append_val (reader->sheet->rows, row);
  else
    g_array_append_val (reader->sheet->unread, row);
}

static void
body_row (struct reader *reader)
{
  if (reader->has_end)
    REFUSE_WHOLE (reader, reader->line, "",
                  "a row after the end row; move it before the end row and "
                  "count again");
  else if (strcmp (reader->first[0], "base") == 0)
    base_row (reader);
  else if (!reader->has_base)
    REFUSE_WHOLE (reader, reader->line, "",
                  "no row 'base,REVISION' after the header; take it from a "
                  "fresh export");
  else if (strcmp (reader->first[0], "end") == 0)
    end_row (reader);
  else
    object_row (reader);
}

static void
on_row (int terminator, void *data)
{
  struct reader *reader = data;

  if (!reader->stopped && reader->position_count == 0)
    header_end (reader);
  else if (!reader->stopped && !reader->row_empty)
    body_row (reader);
  reader->position = 0;
  reader->row_empty = true;
  reader->cell_lost = false;
  memset (reader->cells, 0, sizeof reader->cells);
  memset (reader->first, 0, sizeof reader->first);
}

/* Line by line, so that refusals name the line. */
static bool
text_parse (struct reader *reader, const char *text, size_t size)
{
  struct csv_parser parser;
  bool good = true;

  if (csv_init (&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_APPEND_NULL) != 0)
    return false;
  while (size > 0 && good)
    {
      const char *newline = memchr (text, '\n', size);
      size_t length = newline == NULL ? size : (size_t)(newline - text) + 1;

      reader->line++;
      good = csv_parse (&parser, text, length, on_cell, on_row, reader)
             == length;
      text += length;
      size -= length;
    }
  good = good && csv_fini (&parser, on_cell, on_row, reader) == 0;
  csv_free (&parser);
  return good;
}

static void
encoding_check (struct reader *reader, const char *text, size_t size)
{
  const char *wrong;
  uint32_t line = 1;

  if (g_utf8_validate (text, (gssize)size, &wrong))
    return;
  for (const char *c = text; c < wrong; c++)
    line += *c == '\n';
  REFUSE_WHOLE (reader, line, "",
                "not UTF-8 text; export the sheet as CSV in UTF-8");
}

static void
sheet_read (struct reader *reader, const char *text, size_t size)
{
  if (size > SHEET_SIZE_MAX)
    {
      REFUSE_WHOLE (reader, 0, "", "over %d bytes; send it in parts",
                    SHEET_SIZE_MAX);
      return;
    }
  if (size >= 3 && memcmp (text, byte_order_mark, 3) == 0)
    {
      text += 3;
      size -= 3;
    }
  encoding_check (reader, text, size);
  if (reader->stopped)
    return;
  if (!text_parse (reader, text, size))
    REFUSE_WHOLE (reader, reader->line, "",
                  "a quote that is not closed or not doubled; mend the "
                  "quotes, or export the sheet again");
  else if (!reader->stopped && !reader->has_end)
    REFUSE_WHOLE (reader, reader->line, "",
                  "no end row: the sheet is cut off; send it whole");
}

static gint
row_compare (gconstpointer left, gconstpointer right)
{
  const struct sheet_row *a = left, *b = right;
  int order = declaration_id_compare (&a->row, &b->row);

  if (order != 0)
    return order;
  return a->number < b->number ? -1 : a->number > b->number;
}

static void
duplicate_refuse (struct sheet *sheet, const struct sheet_row *row,
                  const struct sheet_row *other)
{
  char id[DECLARATION_ID_MAX];

  declaration_id (&row->row, id);
  rejections_add (sheet->refusals, row->number, "",
                  "%s stands in row %" PRIu32 " too; keep one of them", id,
                  other->number);
}

/* Which of two rows for one object is meant cannot be known. */
static void
duplicates_refuse (struct sheet *sheet)
{
  GArray *all = g_array_copy (sheet->rows);
  GArray *kept = g_array_new (FALSE, TRUE, sizeof (struct sheet_row));
  GArray *rows = sheet->rows;

  g_array_append_vals (all, sheet->unread->data, sheet->unread->len);
  g_array_sort (all, row_compare);
  for (guint i = 0; i < all->len; i++)
    {
      struct sheet_row *row = &g_array_index (all, struct sheet_row, i);
      struct sheet_row *other = NULL;

      if (i > 0 && declaration_id_compare (&row[-1].row, &row->row) == 0)
        other = &row[-1];
      else if (i + 1 < all->len
               && declaration_id_compare (&row[1].row, &row->row) == 0)
        other = &row[1];
      if (other != NULL)
        duplicate_refuse (sheet, row, other);
    }
  for (guint i = 0; i < rows->len; i++)
    {
      struct sheet_row *row = &g_array_index (rows, struct sheet_row, i);
      guint same = 0;

      g_array_binary_search (all, row, row_compare, &same);
      row = &g_array_index (all, struct sheet_row, same);
      if ((same > 0 && declaration_id_compare (&row[-1].row, &row->row) == 0)
          || (same + 1 < all->len
              && declaration_id_compare (&row[1].row, &row->row) == 0))
        g_array_append_vals (sheet->unread, row, 1);
      else
        g_array_append_vals (kept, row, 1);
    }
  sheet->rows = kept;
  g_array_unref (rows);
  g_array_unref (all);
}

static void
cell_export (GString *text, const char *cell)
{
  g_string_append_c (text, ',');
  g_string_append (text, cell);
}

static GString *
export_begin (const struct config *config)
{
  GString *text = g_string_new ("object,action");

  for (int i = 0; i < COLUMN_COUNT; i++)
    cell_export (text, column_name ((enum column)i));
  cell_export (text, "was");
  g_string_append_printf (text, "\nbase,%" PRIu64 "\n", config->revision);
  return text;
}

/* WAS is the digest at the export; 0: the row is new. */
static void
row_export (GString *text, const struct declaration *row, const char *action,
            uint64_t was)
{
  char cell[DECLARATION_CELL_MAX];

  g_string_append (text, declaration_type_name (row->type));
  cell_export (text, action);
  for (int i = 0; i < COLUMN_COUNT; i++)
    {
      declaration_cell (row, (enum column)i, cell);
      cell_export (text, cell);
    }
  if (was == 0)
    g_string_append (text, ",\n");
  else
    g_string_append_printf (text, ",%016" PRIx64 "\n", was);
}

void
sheet_init (struct sheet *sheet, const char *text, size_t size)
{
  struct reader *reader = g_new0 (struct reader, 1);

  memset (sheet, 0, sizeof *sheet);
  sheet->rows = g_array_new (FALSE, TRUE, sizeof (struct sheet_row));
  sheet->unread = g_array_new (FALSE, TRUE, sizeof (struct sheet_row));
  sheet->refusals = rejections_new ();
  confdoc_digest (text, size, sheet->digest);
  reader->sheet = sheet;
  reader->row_empty = true;
  sheet_read (reader, text, size);
  sheet->whole = !reader->stopped;
  if (sheet->whole)
    duplicates_refuse (sheet);
  else
    g_array_set_size (sheet->rows, 0);
  rejections_sort (sheet->refusals);
  g_free (reader);
}

void
sheet_finish (struct sheet *sheet)
{
  g_array_unref (sheet->rows);
  g_array_unref (sheet->unread);
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
        row_export (text, &document->rows[j], "",
                    declaration_digest (&document->rows[j]));
      count += document->row_count;
    }
  g_string_append_printf (text, "end,%zu\n", count);
  g_ptr_array_unref (documents);
  return g_string_free (text, FALSE);
}

char *
sheet_drain (const struct config *config, const char *name, bool drain)
{
  GString *text = export_begin (config);
  struct declaration row;

  declaration_init (&row, DECLARATION_DRAIN);
  if (declaration_set (&row, COLUMN_NAME, name, NULL) != STATUS_OK)
    {
      g_string_free (text, TRUE);
      return NULL;
    }
  row_export (text, &row, drain ? "" : "remove",
              drain ? 0 : declaration_digest (&row));
  g_string_append (text, "end,1\n");
  return g_string_free (text, FALSE);
}
