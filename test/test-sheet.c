#include "fake-config.h"
#include "kv.h"
#include "merge.h"
#include "unit.h"

#include <stdio.h>
#include <string.h>

/* An edit of the sheet exported from fake_config, and the first refusal that
   it must cause. */
struct mistake
{
  const char *find;
  const char *replace;
  uint32_t row; /* Row of the first refusal; 0: the refusal has no row, or
                   none is expected. */
  const char *column;
  const char *reason; /* Part of the reason; NULL: no refusal is expected. */
  unsigned changes;   /* Number of rows put in force nevertheless. */
};

/* A valid edit of another row, made together with each mistake. It must be put
   in force unless the whole sheet is refused. */
static const char valid_edit_find[] = ",milo,,,,,3,50,100,";
static const char valid_edit_replace[] = ",milo,,,,,4,50,100,";

static const struct mistake mistakes[] = {
  /* The whole sheet is refused. */
  { "\nend,14\n", "\n", 16, "", "cut off", 0 },
  { "\nend,14\n", "\nend\n", 17, "", "no count", 0 },
  { "\nend,14\n", "\nend,15\n", 17, "", "there are 14", 0 },
  { "\nend,14\n", "\nend,14\ndrain,,,x\n", 18, "", "after the end", 0 },
  { "\nbase,1\n", "\n", 2, "", "no row 'base", 0 },
  { "\nbase,1\n", "\nbase,x\n", 2, "", "not one row 'base", 0 },
  { "\nbase,1\n", "\nbase,1\nbase,1\n", 3, "", "not one row 'base", 0 },
  { "\nbase,1\n", "\nbase,9\n", 0, "", "exported from revision 9", 0 },
  { "object,action,", "object,", 1, "action", "lacks the column", 0 },
  { "object,action,", "object,acton,", 1, "", "unknown column 'acton'", 0 },
  { "object,action,", "object,object,", 1, "object", "twice", 0 },
  { "object,action,", "object;action;", 1, "", "divided by commas", 0 },
  { ",briefing,", ",caf\xe9,", 13, "", "not UTF-8", 0 },
  { ",briefing,", ",\"briefing,", 17, "", "quote", 0 },
  /* Single rows are refused or accepted. */
  { "drain,,", "drian,,", 9, "object", "unknown object 'drian'", 1 },
  { "drain,,", "drain,delete,", 9, "action", "unknown action", 1 },
  { ",briefing,", ",long briefing,", 13, "name", "not a name", 1 },
  { ",5,60000,", ",ten,60000,", 13, "priority", "not a whole number", 1 },
  { ",5,60000,", ",10,60000,", 13, "priority", "from 0 to 9", 1 },
  { ",5,60000,", ",5,,", 13, "deadline_ms", "empty", 1 },
  { ",yes,yes,", ",maybe,yes,", 13, "idempotent", "not a word", 1 },
  { "drain,,,", "drain,,milo,", 9, "organisation", "has no org", 1 },
  { "end,14", "drain,,,oracolo-9\nend,15", 9, "", "row 17 too", 1 },
  { "end,14", "drain,,,x,,,,,,,,,,,,,,,,y\nend,15", 17, "", "more cells", 1 },
  { "a56dc0b9", "z56dc0b9", 9, "was", "not a digest", 1 },
  { ",no,no,", ",no,yes,", 0, "", NULL, 2 },
  { "drain,,", "\ndrain,,", 0, "", NULL, 1 },
  { "drain,,", "\"drain\",,", 0, "", NULL, 1 },
  { "end,14", "drain,,,x-1\nend,15", 0, "", NULL, 2 },
  /* Rows refer to objects that are not declared, or remove such an object. */
  { "end,14", "kind,,milo,k,none,,,,,,1,5,,yes,no\nend,15", 17, "model",
    "refers to model:none, which is not declared", 1 },
  { "end,14", "kind,,gela,k,oracolo-l,,,,,,1,5,,yes,no\nend,15", 17,
    "organisation", "organisation:gela, which is not declared", 1 },
  { "end,14",
    "kind,,gela,k,oracolo-l,,,,,,1,5,,yes,no\n"
    "organisation,,gela,,,,,0,1,1\nend,16",
    17, "organisation", "refused in row 18", 1 },
  { "service,,", "service,remove,", 3, "action",
    "kind:salemi/order still refers to it", 1 },
  { ",v1,oracolo,", ",v3,oracolo,", 4, "version", "not declared", 1 },
  /* Rows would mix organisations or models. */
  { "end,14", "key,,milo,b,,,,,,,,,,,,@SALEMI@\nend,15", 17, "key_hash",
    "the same bearer key as key:salemi/a", 1 },
  { "adapter,,milo,", "adapter,,salemi,", 12, "organisation", "mix", 1 },
  { "briefing,oracolo-l,,,", "briefing,,,centrale,", 13, "model", "mix", 1 },
  { ",v1,oracolo,", ",v1,centrale,", 4, "service", "plain service", 1 },
  /* Digests are missing or wrong, or rows are removed. */
  { "d349dec77f46f7d5", "", 10, "was", "declared already", 0 },
  { "d349dec77f46f7d5", "0b507cd37592ef5c", 10, "was", "another row", 0 },
  { "drain,,", "drain,remove,", 0, "", NULL, 2 },
  { "drain,,,oracolo-9,,,,,,,,,,,,,,,a56dc0b990d55722",
    "drain,remove,,oracolo-9", 9, "was", "without its digest", 1 },
  { ",a56dc0b990d55722", ",0b507cd37592ef5c", 0, "", NULL, 1 },
  { "drain,,,oracolo-9", "drain,remove,,oracolo-8", 0, "", NULL, 1 },
  { "drain,,,oracolo-9", "drain,,,oracolo-8", 9, "was", "any more", 1 },
};

static char *
replace_first (const char *text, const char *find, const char *replace)
{
  char **halves = g_strsplit (text, find, 2);
  char *joined = g_strjoinv (replace, halves);

  g_strfreev (halves);
  return joined;
}

/* Replaces FIND, which TEXT must contain, by REPLACE. Frees TEXT. */
static char *
replace_text (char *text, const char *find, const char *replace)
{
  char *edited = replace_first (text, find, replace);

  CU_ASSERT_STRING_NOT_EQUAL (text, edited);
  g_free (text);
  return edited;
}

static void
merge_text (struct merge *merge, const struct config *config, const char *text)
{
  struct sheet sheet;

  sheet_init (&sheet, text, strlen (text));
  merge_init (merge, &sheet, config);
  sheet_finish (&sheet);
}

static const struct sheet_refusal *
first_refusal (const struct merge *merge)
{
  static const struct sheet_refusal none = { .column = "" };

  return merge->refusals->len == 0
             ? &none
             : &g_array_index (merge->refusals, struct sheet_refusal, 0);
}

static void
check_sheet_mistake (const struct mistake *mistake,
                     const struct config *config)
{
  const struct sheet_refusal *refusal;
  char salemi[DECLARATION_KEY_HASH_MAX];
  char *text = sheet_export (config);
  struct merge merge;

  config_key_hash ("salemi-key", 10, salemi);
  text = replace_text (text, mistake->find, mistake->replace);
  text = replace_text (text, valid_edit_find, valid_edit_replace);
  if (strstr (text, "@SALEMI@") != NULL)
    text = replace_text (text, "@SALEMI@", salemi);
  merge_text (&merge, config, text);
  refusal = first_refusal (&merge);
  if (refusal->line != mistake->row
      || strcmp (refusal->column, mistake->column) != 0
      || merge.changes->len != mistake->changes
      || (mistake->reason != NULL
          && (strstr (refusal->reason, mistake->reason) == NULL
              || refusal->remedy[0] == '\0')))
    {
      fprintf (stderr, "%s -> %s: row %u, column %s: %s; %s (%u changes)\n",
               mistake->find, mistake->replace, refusal->line, refusal->column,
               refusal->reason, refusal->remedy, merge.changes->len);
      CU_FAIL ("unexpected refusal");
    }
  if (mistake->reason == NULL)
    CU_ASSERT_EQUAL (merge.refusals->len, 0);
  CU_ASSERT_EQUAL (merge.result != NULL, mistake->changes > 0);
  merge_finish (&merge);
  g_free (text);
}

static void
test_mistakes (void)
{
  struct config *config = fake_config ();

  for (size_t i = 0; i < sizeof mistakes / sizeof *mistakes; i++)
    check_sheet_mistake (&mistakes[i], config);
  config_unref (config);
}

/* A sheet may have a byte order mark, CRLF line ends and the empty cells that
   a spreadsheet program adds. */
static void
test_spreadsheet_format (void)
{
  struct config *config = fake_config ();
  char *text = sheet_export (config);
  char **lines = g_strsplit (text, "\n", -1);
  char *crlf_text = g_strjoinv ("\r\n", lines);
  char *marked_text = g_strconcat ("\xef\xbb\xbf", crlf_text, NULL);
  struct merge merge;

  marked_text
      = replace_text (marked_text, "end,14", "end,14,,,,,,,,,,,,,,,,,");
  merge_text (&merge, config, marked_text);
  CU_ASSERT_EQUAL (merge.refusals->len, 0);
  CU_ASSERT_EQUAL (merge.unchanged_count, 14);
  CU_ASSERT_PTR_NULL (merge.result);
  merge_finish (&merge);
  g_free (marked_text);
  g_free (crlf_text);
  g_strfreev (lines);
  g_free (text);
  config_unref (config);
}

/* A sheet that is applied twice changes nothing the second time. After others
   have changed the same rows, these rows are refused. */
static void
test_sheet_twice (void)
{
  static const char *const back[]
      = { "organisation organisation=milo weight=3 requests_per_s=50 "
          "in_flight=100",
          "-drain name=x-1", NULL };
  struct config *first = fake_config (), *third;
  char *text = sheet_export (first);
  struct merge once, twice, late;
  struct error error;

  text = replace_text (text, valid_edit_find, valid_edit_replace);
  text = replace_text (text, "end,14", "drain,,,x-1\nend,15");
  merge_text (&once, first, text);
  CU_ASSERT_EQUAL (once.changes->len, 2);
  merge_text (&twice, once.result, text);
  CU_ASSERT_EQUAL (twice.applied_revision, 2);
  CU_ASSERT_EQUAL (twice.unchanged_count, 15);
  CU_ASSERT_PTR_NULL (twice.result);
  third = fake_config_change (once.result, back, &error);
  merge_text (&late, third, text);
  CU_ASSERT_PTR_NULL (late.result);
  CU_ASSERT_EQUAL (late.refusals->len, 2);
  CU_ASSERT_EQUAL (late.unchanged_count, 13);
  merge_finish (&once);
  merge_finish (&twice);
  merge_finish (&late);
  config_unref (first);
  config_unref (third);
  g_free (text);
}

static void
test_document_over_a_megabyte (void)
{
  struct config *config = fake_config ();
  char *text = sheet_export (config);
  GString *kinds = g_string_new (NULL);
  struct merge merge;

  for (int i = 0; i < 8000; i++)
    g_string_append_printf (kinds,
                            "kind,,milo,k%d,oracolo-l,,,,,,1,5,,no,no\n", i);
  g_string_append (kinds, "end,8014");
  text = replace_text (text, "end,14", kinds->str);
  text = replace_text (text, "drain,,", "drain,remove,");
  merge_text (&merge, config, text);
  CU_ASSERT_EQUAL (merge.refusals->len, 8000);
  CU_ASSERT_EQUAL (merge.changes->len, 1);
  CU_ASSERT_PTR_NOT_NULL (strstr (first_refusal (&merge)->reason, "megabyte"));
  CU_ASSERT_FALSE (
      config_backend_server_is_drained (merge.result, "oracolo-9"));
  merge_finish (&merge);
  g_string_free (kinds, TRUE);
  g_free (text);
  config_unref (config);
}

/* A cell of more than a megabyte and a sheet over SHEET_MAX_BYTES are
   refused. */
static void
test_sizes (void)
{
  struct config *config = fake_config ();
  char *text = sheet_export (config);
  char *cell = g_strnfill ((gsize)2 * KV_VALUE_MAX, 'x');
  char *sheet = g_strnfill (SHEET_MAX_BYTES + 1, ',');
  struct merge merge;

  text = replace_text (text, "oracolo-9", cell);
  merge_text (&merge, config, text);
  CU_ASSERT_EQUAL (first_refusal (&merge)->line, 9);
  CU_ASSERT_STRING_EQUAL (first_refusal (&merge)->column, "name");
  CU_ASSERT_EQUAL (merge.unchanged_count, 13);
  merge_finish (&merge);
  merge_text (&merge, config, sheet);
  CU_ASSERT_EQUAL (merge.refusals->len, 1);
  CU_ASSERT_EQUAL (merge.unchanged_count, 0);
  merge_finish (&merge);
  g_free (text);
  g_free (cell);
  g_free (sheet);
  config_unref (config);
}

static const struct unit_case cases[] = {
  { "mistakes", test_mistakes },
  { "spreadsheet-habits", test_spreadsheet_format },
  { "sheet-twice", test_sheet_twice },
  { "document-over-a-megabyte", test_document_over_a_megabyte },
  { "sizes", test_sizes },
};

int
main (void)
{
  return unit_run ("sheet", cases, sizeof cases / sizeof *cases);
}
