#include "sheet-refusal.h"

#include <json-c/json.h>
#include <stdarg.h>
#include <string.h>

static gint
refusal_compare (gconstpointer left, gconstpointer right)
{
  const struct sheet_refusal *a = left, *b = right;

  if (a->line != b->line)
    return a->line < b->line ? -1 : 1;
  return strcmp (a->reason, b->reason);
}

GArray *
sheet_refusals_new (void)
{
  return g_array_new (FALSE, TRUE, sizeof (struct sheet_refusal));
}

void
sheet_refusals_add (GArray *refusals, uint32_t line, const char *column,
                    const char *format, ...)
{
  struct sheet_refusal refusal = { .line = line, .column = column };
  char text[2 * SHEET_REFUSAL_TEXT_MAX];
  char *separator;
  va_list arguments;

  va_start (arguments, format);
  g_vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  separator = strstr (text, "; ");
  if (separator != NULL)
    {
      *separator = '\0';
      g_strlcpy (refusal.remedy, separator + 2, sizeof refusal.remedy);
    }
  g_strlcpy (refusal.reason, text, sizeof refusal.reason);
  g_array_append_val (refusals, refusal);
}

void
sheet_refusals_sort (GArray *refusals)
{
  g_array_sort (refusals, refusal_compare);
}

struct json_object *
sheet_refusals_json (const GArray *refusals)
{
  struct json_object *array = json_object_new_array ();

  for (guint i = 0; i < refusals->len; i++)
    {
      const struct sheet_refusal *refusal
          = &g_array_index (refusals, struct sheet_refusal, i);
      struct json_object *object = json_object_new_object ();

      json_object_object_add (object, "row",
                              json_object_new_int64 (refusal->line));
      json_object_object_add (object, "column",
                              json_object_new_string (refusal->column));
      json_object_object_add (object, "reason",
                              json_object_new_string (refusal->reason));
      json_object_object_add (object, "remedy",
                              json_object_new_string (refusal->remedy));
      json_object_array_add (array, object);
    }
  return array;
}
