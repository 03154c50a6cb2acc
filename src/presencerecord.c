#include "presencerecord.h"
#include "httpjson.h"

#include <string.h>

void
presencerecord_set_weights (struct presence_host *host, const char *model,
                            uint64_t version)
{
  unsigned i = 0;

  while (i < host->weights_count
         && strcmp (host->weights[i].model, model) != 0)
    i++;
  if (i == PRESENCE_MODELS_MAX)
    return;
  g_strlcpy (host->weights[i].model, model, PRESENCE_TEXT_MAX);
  host->weights[i].oldest_version = version;
  host->weights_count = MAX (host->weights_count, i + 1);
}

static void
weights_decode (struct presence_host *host, struct json_object *object)
{
  if (!json_object_is_type (object, json_type_object))
    return;
  json_object_object_foreach (object, model, version)
  {
    presencerecord_set_weights (host, model,
                                (uint64_t)json_object_get_int64 (version));
  }
}

static struct json_object *
weights_encode (const struct presence_host *host)
{
  struct json_object *object = json_object_new_object ();

  for (unsigned i = 0; i < host->weights_count; i++)
    json_object_object_add (
        object, host->weights[i].model,
        json_object_new_int64 ((int64_t)host->weights[i].oldest_version));
  return object;
}

enum status
presencerecord_decode (const char *value, struct presence_host *host,
                       struct error *error)
{
  struct json_object *object = json_tokener_parse (value);

  if (json_field_text (object, "address")[0] == '\0')
    {
      json_object_put (object);
      return error_set (error, STATUS_INVALID,
                        "the host record has no address");
    }
  g_strlcpy (host->address, json_field_text (object, "address"),
             sizeof host->address);
  g_strlcpy (host->peer, json_field_text (object, "peer"), sizeof host->peer);
  g_strlcpy (host->data_centre, json_field_text (object, "data_centre"),
             sizeof host->data_centre);
  host->leaving = json_field_bool (object, "leaving");
  host->form = (unsigned)json_field_uint (object, "form");
  host->keeps_usual_subsets = json_field_bool (object, "usual_subsets");
  weights_decode (host, json_object_object_get (object, "weights"));
  json_object_put (object);
  return STATUS_OK;
}

char *
presencerecord_encode (const struct presence_host *host)
{
  struct json_object *object = json_object_new_object ();
  char *value;

  json_add_text (object, "address", host->address);
  json_add_text (object, "peer", host->peer);
  json_add_text (object, "data_centre", host->data_centre);
  json_object_object_add (object, "leaving",
                          json_object_new_boolean (host->leaving));
  json_add_uint (object, "form", PRESENCE_FORM_OWN);
  if (host->keeps_usual_subsets)
    json_object_object_add (object, "usual_subsets",
                            json_object_new_boolean (true));
  json_object_object_add (object, "weights", weights_encode (host));
  value = g_strdup (
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return value;
}
