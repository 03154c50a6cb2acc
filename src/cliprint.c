#include "cliprint.h"

#include "httpjson.h"

#include <inttypes.h>
#include <string.h>
#include <time.h>

enum
{
  TABLE_COLUMNS_MAX = 16,
  TIME_TEXT_BYTES_MAX = 32
};

static char
action_sign (const char *action)
{
  if (strcmp (action, "add") == 0)
    return '+';
  return strcmp (action, "remove") == 0 ? '-' : '~';
}

static void
change_print (FILE *out, struct json_object *change)
{
  const char *action = json_field_text (change, "action");
  char sign = action_sign (action);
  size_t count;
  struct json_object *columns = json_field_array (change, "columns", &count);

  fprintf (out, "%c %s (row %" PRIu64 ")\n", sign,
           json_field_text (change, "object"),
           json_field_uint (change, "row"));
  for (size_t i = 0; i < count && sign != '-'; i++)
    {
      struct json_object *column = json_object_array_get_idx (columns, i);
      const char *name = json_field_text (column, "column");
      const char *to = json_field_text (column, "to");

      if (sign == '+')
        fprintf (out, "    %s: %s\n", name, to);
      else
        fprintf (out, "    %s: %s -> %s\n", name,
                 json_field_text (column, "from"), to);
    }
}

/* The member NAME of ROW as text, whatever its type; "" if there is none. */
static const char *
cell_text (struct json_object *row, const char *name)
{
  const char *text
      = json_object_get_string (json_object_object_get (row, name));

  return text == NULL ? "" : text;
}

static void
table_print (FILE *out, struct json_object *rows)
{
  const char *names[TABLE_COLUMNS_MAX];
  int widths[TABLE_COLUMNS_MAX];
  int columns = 0;
  size_t count = json_object_array_length (rows);

  json_object_object_foreach (json_object_array_get_idx (rows, 0), name, value)
  {
    (void)value;
    if (columns == TABLE_COLUMNS_MAX)
      break;
    names[columns] = name;
    widths[columns++] = (int)strlen (name);
  }
  for (size_t i = 0; i < count; i++)
    for (int j = 0; j < columns; j++)
      {
        struct json_object *row = json_object_array_get_idx (rows, i);
        int width = (int)strlen (cell_text (row, names[j]));

        if (width > widths[j])
          widths[j] = width;
      }
  for (int j = 0; j < columns; j++)
    fprintf (out, "  %-*s", widths[j], names[j]);
  fputc ('\n', out);
  for (size_t i = 0; i < count; i++)
    {
      for (int j = 0; j < columns; j++)
        fprintf (out, "  %-*s", widths[j],
                 cell_text (json_object_array_get_idx (rows, i), names[j]));
      fputc ('\n', out);
    }
}

static void
member_print (FILE *out, const char *name, struct json_object *value)
{
  bool is_array = json_object_is_type (value, json_type_array);

  if (is_array && json_object_array_length (value) == 0)
    fprintf (out, "%s: none\n", name);
  else if (is_array
           && json_object_is_type (json_object_array_get_idx (value, 0),
                                   json_type_object))
    {
      fprintf (out, "%s:\n", name);
      table_print (out, value);
    }
  else
    fprintf (out, "%s: %s\n", name, json_object_get_string (value));
}

void
cliprint_refusals (FILE *out, struct json_object *refusals)
{
  size_t count = refusals == NULL ? 0 : json_object_array_length (refusals);

  for (size_t i = 0; i < count; i++)
    {
      struct json_object *refusal = json_object_array_get_idx (refusals, i);
      uint64_t row = json_field_uint (refusal, "row");
      const char *column = json_field_text (refusal, "column");

      if (row > 0)
        fprintf (out, "! row %" PRIu64, row);
      else
        fputs ("! sheet", out);
      if (column[0] != '\0')
        fprintf (out, ", column %s", column);
      fprintf (out, ": %s\n    to mend it: %s\n",
               json_field_text (refusal, "reason"),
               json_field_text (refusal, "remedy"));
    }
}

void
cliprint_changes (FILE *out, struct json_object *changes)
{
  size_t count = changes == NULL ? 0 : json_object_array_length (changes);

  for (size_t i = 0; i < count; i++)
    change_print (out, json_object_array_get_idx (changes, i));
}

void
cliprint_plan (FILE *out, struct json_object *plan)
{
  size_t changes, refusals;
  struct json_object *list = json_field_array (plan, "changes", &changes);

  fprintf (out,
           "sheet from revision %" PRIu64 ", compared with revision %" PRIu64
           "\n",
           json_field_uint (plan, "base"), json_field_uint (plan, "against"));
  cliprint_changes (out, list);
  list = json_field_array (plan, "refusals", &refusals);
  cliprint_refusals (out, list);
  fprintf (out, "%zu to change, %" PRIu64 " unchanged, %zu refused\n", changes,
           json_field_uint (plan, "unchanged"), refusals);
  if (json_field_uint (plan, "already") > 0)
    fprintf (out,
             "this sheet was put in force before, in revision %" PRIu64 "\n",
             json_field_uint (plan, "already"));
}

void
cliprint_history (FILE *out, struct json_object *history)
{
  size_t count;
  struct json_object *revisions
      = json_field_array (history, "revisions", &count);

  for (size_t i = 0; i < count; i++)
    {
      struct json_object *revision = json_object_array_get_idx (revisions, i);
      time_t seconds = (time_t)json_field_uint (revision, "at_s");
      struct tm utc;
      char text[TIME_TEXT_BYTES_MAX] = "";

      if (gmtime_r (&seconds, &utc) != NULL)
        strftime (text, sizeof text, "%Y-%m-%d %H:%M:%S UTC", &utc);
      fprintf (out,
               "revision %" PRIu64 "  %s  %s  %" PRIu64 " changed  sheet %s\n",
               json_field_uint (revision, "revision"), text,
               json_field_text (revision, "operator"),
               json_field_uint (revision, "count"),
               json_field_text (revision, "sheet"));
    }
}

void
cliprint_object (FILE *out, struct json_object *object)
{
  if (!json_object_is_type (object, json_type_object))
    return;
  json_object_object_foreach (object, name, value)
  {
    member_print (out, name, value);
  }
}
