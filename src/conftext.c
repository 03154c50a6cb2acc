#include "conftext.h"

#include <json-c/json.h>
#include <string.h>

/* Returns a JSON array of the recorded sheets that made revisions after
   SINCE. */
static struct json_object *
sheets_to_json (const struct config *config, uint64_t since)
{
  struct json_object *array = json_object_new_array ();

  for (size_t i = 0; i < config->sheet_count; i++)
    {
      const struct config_sheet *sheet = &config->sheets[i];
      struct json_object *object;

      if (sheet->revision <= since)
        continue;
      object = json_object_new_object ();

      json_object_object_add (object, "digest",
                              json_object_new_string (sheet->digest));
      json_object_object_add (
          object, "revision",
          json_object_new_int64 ((int64_t)sheet->revision));
      json_object_array_add (array, object);
    }
  return array;
}

static const char *
member_text (struct json_object *object, const char *name)
{
  const char *text
      = json_object_get_string (json_object_object_get (object, name));

  return text == NULL ? "" : text;
}

static uint64_t
member_number (struct json_object *object, const char *name)
{
  return (uint64_t)json_object_get_int64 (
      json_object_object_get (object, name));
}

/* Copies the recorded sheets that a delta since revision SINCE leaves out. */
static void
sheets_copy (struct config *config, const struct config *previous,
             uint64_t since)
{
  for (size_t i = 0; i < previous->sheet_count; i++)
    if (previous->sheets[i].revision <= since)
      config_record_sheet (config, previous->sheets[i].digest,
                           previous->sheets[i].revision);
}

/* Whether REVISION is from 1 to the revision of CONFIG, so that a part of
   CONFIG can have been changed at it. */
static bool
revision_valid (const struct config *config, uint64_t revision)
{
  return revision > 0 && revision <= config->revision;
}

/* Parses the members that the root document and a delta have in common. */
static enum status
header_parse (struct config *config, struct json_object *root,
              struct error *error)
{
  struct json_object *sheets = json_object_object_get (root, "sheets");
  size_t count = json_object_is_type (sheets, json_type_array)
                     ? json_object_array_length (sheets)
                     : 0;

  config->revision = member_number (root, "revision");
  g_strlcpy (config->digest, member_text (root, "digest"),
             sizeof config->digest);
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *object = json_object_array_get_idx (sheets, i);
      uint64_t revision = member_number (object, "revision");

      if (!revision_valid (config, revision))
        return error_set (error, STATUS_CORRUPT,
                          "the root document or delta lists a sheet with "
                          "revision %lu, which "
                          "is 0 or above its own revision %lu",
                          (unsigned long)revision,
                          (unsigned long)config->revision);
      config_record_sheet (config, member_text (object, "digest"), revision);
    }
  return STATUS_OK;
}

static struct json_object *
header_to_json (const struct config *config, uint64_t since)
{
  struct json_object *root = json_object_new_object ();

  json_object_object_add (root, "format", json_object_new_int (1));
  json_object_object_add (root, "revision",
                          json_object_new_int64 ((int64_t)config->revision));
  json_object_object_add (root, "digest",
                          json_object_new_string (config->digest));
  json_object_object_add (root, "sheets", sheets_to_json (config, since));
  return root;
}

static enum status
document_load (struct config *config, const struct config *previous,
               struct json_object *entry, GHashTable *texts,
               struct error *error)
{
  const char *name = member_text (entry, "name");
  const char *digest = member_text (entry, "digest");
  const char *text = g_hash_table_lookup (texts, name);
  struct confdoc *document = NULL;
  char actual[CONFDOC_DIGEST_MAX];

  if (previous != NULL)
    document = g_hash_table_lookup (previous->documents, name);
  if (document != NULL && strcmp (document->digest, digest) == 0)
    {
      config_put_document (config, confdoc_ref (document));
      return STATUS_OK;
    }
  if (text == NULL)
    return error_set (error, STATUS_NOT_FOUND,
                      "configuration document %.60s is missing", name);
  confdoc_digest (text, strlen (text), actual);
  if (strcmp (actual, digest) != 0)
    return error_set (
        error, STATUS_NOT_FOUND,
        "configuration document %.60s does not have the digest that "
        "the root document lists",
        name);
  if (confdoc_parse (&document, name, text, error) != STATUS_OK)
    return STATUS_CORRUPT;
  config_put_document (config, document);
  return STATUS_OK;
}

static GHashTable *
texts_by_name (const struct conftext_item *items, size_t count)
{
  GHashTable *index = g_hash_table_new (g_str_hash, g_str_equal);
  size_t prefix = strlen (CONFTEXT_DOCUMENT_PREFIX);

  for (size_t i = 0; i < count; i++)
    if (strncmp (items[i].key, CONFTEXT_DOCUMENT_PREFIX, prefix) == 0)
      g_hash_table_insert (index, (gpointer)(items[i].key + prefix),
                           (gpointer)items[i].value);
  return index;
}

static enum status
documents_load (struct config *config, const struct config *previous,
                struct json_object *root, const struct conftext_item *items,
                size_t count, struct error *error)
{
  struct json_object *entries = json_object_object_get (root, "documents");
  size_t entry_count = json_object_is_type (entries, json_type_array)
                           ? json_object_array_length (entries)
                           : 0;
  GHashTable *texts = texts_by_name (items, count);
  enum status status = STATUS_OK;

  for (size_t i = 0; i < entry_count && status == STATUS_OK; i++)
    status
        = document_load (config, previous,
                         json_object_array_get_idx (entries, i), texts, error);
  g_hash_table_destroy (texts);
  return status;
}

static enum status
delta_documents_load (struct config *config, struct json_object *root,
                      struct error *error)
{
  struct json_object *entries = json_object_object_get (root, "documents");
  size_t count = json_object_is_type (entries, json_type_array)
                     ? json_object_array_length (entries)
                     : 0;

  for (size_t i = 0; i < count; i++)
    {
      struct json_object *entry = json_object_array_get_idx (entries, i);
      struct confdoc *document;

      if (confdoc_parse (&document, member_text (entry, "name"),
                         member_text (entry, "text"), error)
          != STATUS_OK)
        return STATUS_CORRUPT;
      config_put_document (config, document);
      if (!revision_valid (config, document->revision))
        return error_set (error, STATUS_CORRUPT,
                          "configuration document %.60s has revision %lu, "
                          "which is 0 or above "
                          "the revision %lu of the delta that contains it",
                          document->name, (unsigned long)document->revision,
                          (unsigned long)config->revision);
    }
  return STATUS_OK;
}

enum status
conftext_load (struct config **config, const struct config *previous,
               const struct conftext_item *items, size_t count,
               struct error *error)
{
  struct json_object *root = NULL;
  struct config *loaded;
  enum status status;

  for (size_t i = 0; i < count; i++)
    if (strcmp (items[i].key, CONFTEXT_ROOT_KEY) == 0)
      {
        root = json_tokener_parse (items[i].value);
        if (!json_object_is_type (root, json_type_object))
          {
            json_object_put (root);
            return error_set (
                error, STATUS_CORRUPT,
                "the root document of the configuration is not a JSON "
                "object");
          }
        break;
      }
  if (root == NULL)
    return error_set (error, STATUS_NOT_FOUND,
                      "the root document of the configuration is missing");
  loaded = config_build_start ();
  status = header_parse (loaded, root, error);
  if (status == STATUS_OK)
    status = documents_load (loaded, previous, root, items, count, error);
  json_object_put (root);
  return config_build_finish (config, loaded, status, error);
}

char *
conftext_root (const struct config *config)
{
  struct json_object *root = header_to_json (config, 0);
  struct json_object *entries = json_object_new_array ();
  GPtrArray *documents = config_documents (config);
  char *text;

  for (guint i = 0; i < documents->len; i++)
    {
      const struct confdoc *document = documents->pdata[i];
      struct json_object *entry = json_object_new_object ();

      json_object_object_add (entry, "name",
                              json_object_new_string (document->name));
      json_object_object_add (
          entry, "revision",
          json_object_new_int64 ((int64_t)document->revision));
      json_object_object_add (entry, "digest",
                              json_object_new_string (document->digest));
      json_object_array_add (entries, entry);
    }
  g_ptr_array_unref (documents);
  json_object_object_add (root, "documents", entries);
  text = g_strdup (
      json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  return text;
}

char *
conftext_delta (const struct config *config, uint64_t since)
{
  struct json_object *root = header_to_json (config, since);
  struct json_object *entries = json_object_new_array ();
  GPtrArray *documents = config_documents (config);
  char *text;

  json_object_object_add (root, "since",
                          json_object_new_int64 ((int64_t)since));
  for (guint i = 0; i < documents->len; i++)
    {
      const struct confdoc *document = documents->pdata[i];
      struct json_object *entry;

      if (document->revision <= since)
        continue;
      entry = json_object_new_object ();
      json_object_object_add (entry, "name",
                              json_object_new_string (document->name));
      json_object_object_add (entry, "text",
                              json_object_new_string (document->text));
      json_object_array_add (entries, entry);
    }
  g_ptr_array_unref (documents);
  json_object_object_add (root, "documents", entries);
  text = g_strdup (
      json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  return text;
}

enum status
conftext_load_delta (struct config **config, const struct config *previous,
                     const char *text, struct error *error)
{
  struct json_object *root = json_tokener_parse (text);
  struct config *loaded;
  enum status status;

  if (!json_object_is_type (root, json_type_object))
    {
      json_object_put (root);
      return error_set (error, STATUS_CORRUPT,
                        "the configuration delta is not a JSON object");
    }
  if (previous != NULL
      && member_number (root, "revision") <= previous->revision)
    {
      json_object_put (root);
      return error_set (
          error, STATUS_STALE,
          "the configuration delta is not newer than revision %lu, "
          "which is in force",
          (unsigned long)previous->revision);
    }
  loaded = config_build_start ();
  if (member_number (root, "since") > 0 && previous != NULL)
    {
      config_share_documents (loaded, previous);
      sheets_copy (loaded, previous, member_number (root, "since"));
    }
  status = header_parse (loaded, root, error);
  if (status == STATUS_OK)
    status = delta_documents_load (loaded, root, error);
  json_object_put (root);
  return config_build_finish (config, loaded, status, error);
}
