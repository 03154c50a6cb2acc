#include "confhistory.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>

static struct json_object *
document_json (const struct merge *merge, const char *digest,
               const char *operator_name, int64_t at_s)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (
      object, "revision",
      json_object_new_int64 ((int64_t)merge->result->revision));
  json_object_object_add (object, "at_s", json_object_new_int64 (at_s));
  json_object_object_add (object, "operator",
                          json_object_new_string (operator_name));
  json_object_object_add (object, "sheet", json_object_new_string (digest));
  json_object_object_add (object, "count",
                          json_object_new_int64 (merge->changes->len));
  return object;
}

void
confhistory_key (uint64_t revision, char out[CONFHISTORY_KEY_MAX])
{
  g_snprintf (out, CONFHISTORY_KEY_MAX, "%s%020" PRIu64, CONFHISTORY_PREFIX,
              revision);
}

char *
confhistory_text (const struct merge *merge, const char *digest,
                  const char *operator_name, int64_t at_s)
{
  struct json_object *object
      = document_json (merge, digest, operator_name, at_s);
  char *text;

  json_object_object_add (object, "changes", merge_changes_json (merge));
  text = g_strdup (
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  if (strlen (text) > CONFHISTORY_TEXT_MAX)
    {
      json_object_object_del (object, "changes");
      g_free (text);
      text = g_strdup (
          json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
    }
  json_object_put (object);
  return text;
}

struct json_object *
confhistory_json (const struct kv_item *items, size_t count, uint64_t from,
                  uint64_t to)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *array = json_object_new_array ();

  for (size_t i = 0; i < count; i++)
    {
      struct json_object *entry = json_tokener_parse (items[i].value);
      uint64_t revision = (uint64_t)json_object_get_int64 (
          json_object_object_get (entry, "revision"));

      if (entry != NULL && revision > from && revision <= to)
        json_object_array_add (array, entry);
      else
        json_object_put (entry);
    }
  json_object_object_add (object, "revisions", array);
  return object;
}
