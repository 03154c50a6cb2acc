#include "rejection.h"

#include <json-c/json.h>
#include <stdarg.h>
#include <string.h>

static gint
refusal_compare (gconstpointer left, gconstpointer right)
{
  const struct rejection *a = left, *b = right;

  if (a->row != b->row)
    return a->row < b->row ? -1 : 1;
  return strcmp (a->reason, b->reason);
}

GArray *
rejections_new (void)
{
  return g_array_new (FALSE, TRUE, sizeof (struct rejection));
}

void
rejections_add (GArray *refusals, uint32_t line, const char *column,
                const char *format, ...)
{
  struct rejection refusal = { .row = line, .column = column };
  char text[2 * REJECTION_TEXT_MAX];
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
rejections_sort (GArray *refusals)
{
  g_array_sort (refusals, refusal_compare);
}

struct json_object *
rejections_json (const GArray *refusals)
{
  struct json_object *array = json_object_new_array ();

  for (guint i = 0; i < refusals->len; i++)
    {
      const struct rejection *refusal
          = &g_array_index (refusals, struct rejection, i);
      struct json_object *object = json_object_new_object ();

      json_object_object_add (object, "row",
                              json_object_new_int64 (refusal->row));
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
