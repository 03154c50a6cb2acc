#include "config.h"

#include "kv.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>

static gboolean
key_hash_equal (gconstpointer left, gconstpointer right)
{
  return sodium_memcmp (left, right, DECLARATION_KEY_HASH_MAX) == 0;
}

static gint
document_compare (gconstpointer left, gconstpointer right)
{
  const struct confdoc *a = *(struct confdoc *const *)left;
  const struct confdoc *b = *(struct confdoc *const *)right;
  bool a_shared = strcmp (a->name, CONFDOC_SHARED_NAME) == 0;
  bool b_shared = strcmp (b->name, CONFDOC_SHARED_NAME) == 0;

  if (a_shared != b_shared)
    return a_shared ? -1 : 1;
  return strcmp (a->name, b->name);
}

/* Computes the digest of the revision, all documents and all recorded sheets.
   It differs from the stored digest if they are not of the same
   configuration. */
static void
config_compute_digest (const struct config *config,
                       char out[CONFDOC_DIGEST_MAX])
{
  GString *text = g_string_new (NULL);
  GPtrArray *documents = config_documents (config);

  g_string_append_printf (text, "%" G_GUINT64_FORMAT, config->revision);
  for (guint i = 0; i < documents->len; i++)
    {
      const struct confdoc *document = documents->pdata[i];

      g_string_append_printf (text, ",%s=%s", document->name,
                              document->digest);
    }
  for (size_t i = 0; i < config->sheet_count; i++)
    g_string_append_printf (text, ";%s=%" G_GUINT64_FORMAT,
                            config->sheets[i].digest,
                            config->sheets[i].revision);
  confdoc_digest (text->str, text->len, out);
  g_ptr_array_unref (documents);
  g_string_free (text, TRUE);
}

static void
set_first_violation (void *data, const struct violation *violation)
{
  struct error *error = data;
  char id[DECLARATION_ID_MAX];

  if (error == NULL || error->status != STATUS_OK)
    return;
  declaration_format_id (violation->row, id);
  error_set (error, STATUS_INVALID, "%s: %.100s", id,
             violation->error.message);
}

/* Fills the lookup tables from the documents and checks the consistency
   rules. */
static enum status
config_index_rows (struct config *config, struct error *error)
{
  GHashTableIter iter;
  gpointer data;

  g_hash_table_iter_init (&iter, config->documents);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const struct confdoc *document = data;

      for (size_t i = 0; i < document->row_count; i++)
        {
          struct declaration *row = &document->rows[i];

          if (!g_hash_table_add (config->rows, row))
            return error_set (
                error, STATUS_INVALID,
                "an object in configuration document %s is declared twice",
                document->name);
          if (row->type == DECLARATION_KEY)
            g_hash_table_insert (config->rows_by_key_hash, row->key_hash, row);
        }
    }
  if (error != NULL)
    error_clear (error);
  if (consistency_check (config->rows, set_first_violation, error) > 0)
    return STATUS_INVALID;
  return STATUS_OK;
}

static void
changes_free (void *group)
{
  g_array_unref (group);
}

/* Groups CHANGES by document: maps a document's name to a GArray of struct
   row_change. */
static GHashTable *
changes_by_document (const struct row_change *changes, size_t count)
{
  GHashTable *groups
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, changes_free);
  char name[CONFDOC_NAME_MAX];

  for (size_t i = 0; i < count; i++)
    {
      GArray *group;

      confdoc_name_for_row (&changes[i].row, name);
      group = g_hash_table_lookup (groups, name);
      if (group == NULL)
        {
          group = g_array_new (FALSE, TRUE, sizeof *changes);
          g_hash_table_insert (groups, g_strdup (name), group);
        }
      g_array_append_vals (group, &changes[i], 1);
    }
  return groups;
}

static enum status
config_change_document (struct config *config, const char *name,
                        const GArray *group, struct error *error)
{
  struct confdoc *document = confdoc_with_changes (
      g_hash_table_lookup (config->documents, name), name,
      (const struct row_change *)(void *)group->data, group->len,
      config->revision);

  config_put_document (config, document);
  if (strlen (document->text) > KV_VALUE_MAX)
    return error_set (error, STATUS_TOO_LARGE, "%s", name);
  return STATUS_OK;
}

static const struct declaration *
config_find_row (const struct config *config, enum declaration_type type,
                 const char *organisation, const char *name, const char *model,
                 const char *version, const char *service)
{
  struct declaration key = { .type = type };

  if (strlen (organisation) >= DECLARATION_NAME_MAX
      || strlen (name) >= DECLARATION_NAME_MAX
      || strlen (model) >= DECLARATION_NAME_MAX
      || strlen (version) >= DECLARATION_NAME_MAX
      || strlen (service) >= DECLARATION_NAME_MAX)
    return NULL;
  strcpy (key.organisation, organisation);
  strcpy (key.name, name);
  strcpy (key.model, model);
  strcpy (key.version, version);
  strcpy (key.service, service);
  return rowset_find (config->rows, &key);
}

struct config *
config_build_start (void)
{
  struct config *config = g_new0 (struct config, 1);

  config->references = 1;
  config->documents = g_hash_table_new (g_str_hash, g_str_equal);
  config->rows = rowset_new ();
  config->rows_by_key_hash = g_hash_table_new (g_str_hash, key_hash_equal);
  return config;
}

void
config_put_document (struct config *config, struct confdoc *document)
{
  struct confdoc *old
      = g_hash_table_lookup (config->documents, document->name);

  g_hash_table_replace (config->documents, document->name, document);
  if (old != NULL)
    confdoc_unref (old);
}

void
config_share_documents (struct config *config, const struct config *base)
{
  GHashTableIter iter;
  gpointer document;

  if (base == NULL)
    return;
  g_hash_table_iter_init (&iter, base->documents);
  while (g_hash_table_iter_next (&iter, NULL, &document))
    config_put_document (config, confdoc_ref (document));
}

void
config_record_sheet (struct config *config, const char *digest,
                     uint64_t revision)
{
  struct config_sheet *sheet;

  if (config->sheet_count == CONFIG_SHEET_LIMIT)
    memmove (&config->sheets[0], &config->sheets[1],
             (--config->sheet_count) * sizeof config->sheets[0]);
  sheet = &config->sheets[config->sheet_count++];
  g_strlcpy (sheet->digest, digest, sizeof sheet->digest);
  sheet->revision = revision;
}

enum status
config_build_finish (struct config **out, struct config *config,
                     enum status status, struct error *error)
{
  char digest[CONFDOC_DIGEST_MAX];

  if (status == STATUS_OK)
    {
      config_compute_digest (config, digest);
      if (strcmp (digest, config->digest) != 0)
        status
            = error_set (error, STATUS_NOT_FOUND,
                         "the digest in the root document does not match the "
                         "documents; they are of different revisions");
    }
  if (status == STATUS_OK)
    status = config_index_rows (config, error);
  if (status != STATUS_OK)
    {
      config_unref (config);
      return status;
    }
  *out = config;
  return STATUS_OK;
}

struct config *
config_new_empty (void)
{
  struct config *config = config_build_start ();

  config_compute_digest (config, config->digest);
  return config;
}

enum status
config_with_changes (struct config **config, const struct config *base,
                     const struct row_change *changes, size_t count,
                     const char *sheet_digest, struct error *error)
{
  struct config *changed = config_build_start ();
  GHashTable *groups = changes_by_document (changes, count);
  enum status status = STATUS_OK;
  GHashTableIter iter;
  gpointer name, group;

  config_share_documents (changed, base);
  changed->revision = base->revision + 1;
  memcpy (changed->sheets, base->sheets, sizeof base->sheets);
  changed->sheet_count = base->sheet_count;
  config_record_sheet (changed, sheet_digest, changed->revision);
  g_hash_table_iter_init (&iter, groups);
  while (status == STATUS_OK && g_hash_table_iter_next (&iter, &name, &group))
    status = config_change_document (changed, name, group, error);
  g_hash_table_destroy (groups);
  config_compute_digest (changed, changed->digest);
  return config_build_finish (config, changed, status, error);
}

struct config *
config_ref (struct config *config)
{
  config->references++;
  return config;
}

void
config_unref (struct config *config)
{
  GHashTableIter iter;
  gpointer document;

  if (config == NULL)
    return;
  assert (config->references > 0);
  if (--config->references > 0)
    return;
  g_hash_table_destroy (config->rows);
  g_hash_table_destroy (config->rows_by_key_hash);
  g_hash_table_iter_init (&iter, config->documents);
  while (g_hash_table_iter_next (&iter, NULL, &document))
    {
      g_hash_table_iter_steal (&iter);
      confdoc_unref (document);
    }
  g_hash_table_destroy (config->documents);
  g_free (config);
}

uint64_t
config_sheet_revision (const struct config *config, const char *digest)
{
  for (size_t i = 0; i < config->sheet_count; i++)
    if (strcmp (config->sheets[i].digest, digest) == 0)
      return config->sheets[i].revision;
  return 0;
}

const struct confdoc *
config_document_for_row (const struct config *config,
                         const struct declaration *row)
{
  char name[CONFDOC_NAME_MAX];

  confdoc_name_for_row (row, name);
  return g_hash_table_lookup (config->documents, name);
}

GPtrArray *
config_documents (const struct config *config)
{
  GPtrArray *documents = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer document;

  g_hash_table_iter_init (&iter, config->documents);
  while (g_hash_table_iter_next (&iter, NULL, &document))
    g_ptr_array_add (documents, document);
  g_ptr_array_sort (documents, document_compare);
  return documents;
}

void
config_key_hash (const char *key, size_t size,
                 char out[DECLARATION_KEY_HASH_MAX])
{
  unsigned char hash[DECLARATION_KEY_HASH_SIZE];

  crypto_generichash (hash, sizeof hash, (const unsigned char *)key, size,
                      NULL, 0);
  sodium_bin2hex (out, DECLARATION_KEY_HASH_MAX, hash, sizeof hash);
}

const struct declaration *
config_organisation_by_key (const struct config *config, const char *key,
                            size_t size)
{
  char hash[DECLARATION_KEY_HASH_MAX];
  const struct declaration *row;

  config_key_hash (key, size, hash);
  row = g_hash_table_lookup (config->rows_by_key_hash, hash);
  return row == NULL ? NULL : config_organisation (config, row->organisation);
}

const struct declaration *
config_organisation (const struct config *config, const char *organisation)
{
  return config_find_row (config, DECLARATION_ORGANISATION, organisation, "",
                          "", "", "");
}

const struct declaration *
config_request_kind (const struct config *config, const char *organisation,
                     const char *name)
{
  return config_find_row (config, DECLARATION_REQUEST_KIND, organisation, name,
                          "", "", "");
}

const struct declaration *
config_service (const struct config *config, const char *service)
{
  return config_find_row (config, DECLARATION_SERVICE, "", "", "", "",
                          service);
}

const struct declaration *
config_model (const struct config *config, const char *model)
{
  return config_find_row (config, DECLARATION_MODEL, "", "", model, "", "");
}

const struct declaration *
config_version (const struct config *config, const char *model,
                const char *version)
{
  return config_find_row (config, DECLARATION_VERSION, "", "", model, version,
                          "");
}

bool
config_adapter_is_permitted (const struct config *config,
                             const char *organisation, const char *model,
                             const char *adapter)
{
  const struct declaration *row = config_find_row (config, DECLARATION_ADAPTER,
                                                   "", adapter, model, "", "");

  return row != NULL && strcmp (row->organisation, organisation) == 0;
}

const struct declaration *
config_backend_server (const struct config *config, const char *name,
                       const char *service)
{
  const struct declaration *row = config_find_row (
      config, DECLARATION_BACKEND_SERVER, "", name, "", "", "");

  if (row != NULL)
    return row;
  return config_find_row (config, DECLARATION_BACKEND_SERVER, "", service, "",
                          "", "");
}

bool
config_backend_server_is_drained (const struct config *config,
                                  const char *backend_server)
{
  return config_find_row (config, DECLARATION_DRAIN, "", backend_server, "",
                          "", "")
         != NULL;
}
