#include "enginebody.h"
#include "httpjson.h"
#include "storehttp.h"

#include <glib.h>

static struct json_object *
block_list (const struct request *request)
{
  struct json_object *list = json_object_new_array ();
  char hex[BLOCK_HEX_SIZE];

  for (size_t i = 0; i < request->block_count; i++)
    {
      block_id_to_hex (&request->blocks[i], hex);
      json_object_array_add (list, json_object_new_string (hex));
    }
  return list;
}

static struct json_object *
import_object (const struct request *request, const struct backend *store,
               const struct plan_import *import)
{
  struct json_object *object = json_object_new_object ();
  struct store_slot slot = { import->copy.slot, import->copy.generation };
  char hex[BLOCK_HEX_SIZE];
  char checksum[BLOCK_CHECKSUM_HEX_SIZE];
  char url[128];

  block_id_to_hex (&request->blocks[import->block], hex);
  block_checksum_to_hex (import->copy.checksum, checksum);
  storehttp_slot_url (store->host.address, &slot, url, sizeof url);
  json_add_text (object, "block", hex);
  json_add_text (object, "url", url);
  json_add_uint (object, "generation", import->copy.generation);
  json_add_uint (object, "length", (uint64_t)import->copy.length);
  json_add_text (object, "checksum", checksum);
  return object;
}

static struct json_object *
import_list (const struct request *request, struct backends *backends,
             const struct place_result *result)
{
  struct json_object *list = json_object_new_array ();

  for (unsigned i = 0; i < result->import_count; i++)
    {
      const struct plan_import *import = &result->imports[i];
      const struct backend *store
          = backends_find (backends, import->copy.store);

      if (store != NULL)
        json_object_array_add (list, import_object (request, store, import));
    }
  return list;
}

char *
enginebody_write (struct request *request, const char *id,
                  struct backends *backends, const struct place_result *result)
{
  struct json_object *object = json_object_new_object ();
  char *text;

  json_add_text (object, "request", id);
  json_add_uint (object, "priority", (uint64_t)request->priority);
  json_add_text (object, "weight_version", request->scope.version);
  json_add_text (object, "adapter", request->scope.adapter);
  json_object_object_add (object, "blocks", block_list (request));
  json_object_object_add (object, "imports",
                          import_list (request, backends, result));
  json_object_object_add (request->json, "trefoilspar", object);
  text = g_strdup (
      json_object_to_json_string_ext (request->json, JSON_C_TO_STRING_PLAIN));
  return text;
}
