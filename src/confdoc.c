#include "confdoc.h"

#include "rowset.h"

#include <assert.h>
#include <json-c/json.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

static int
row_compare (const void *left, const void *right)
{
  return declaration_compare_ids (left, right);
}

static uint64_t
member_number (struct json_object *object, const char *name)
{
  struct json_object *member = json_object_object_get (object, name);

  return (uint64_t)json_object_get_int64 (member);
}

static size_t
member_array (struct json_object *object, const char *name,
              struct json_object **array)
{
  *array = json_object_object_get (object, name);
  if (!json_object_is_type (*array, json_type_array))
    return 0;
  return json_object_array_length (*array);
}

/* Parses OBJECT into ROW. Ignores unknown members, so that a newer version of
   the program can add members. */
static enum status
row_parse (struct declaration *row, struct json_object *object,
           struct error *error)
{
  const char *type_text
      = json_object_get_string (json_object_object_get (object, "object"));
  enum declaration_type type;
  enum column column;

  if (type_text == NULL || !declaration_type_find (type_text, &type))
    return error_set (
        error, STATUS_CORRUPT,
        "a row of a configuration document has no known object type");
  declaration_init (row, type);
  for (int i = 0; i < COLUMN_COUNT; i++)
    {
      const char *text = json_object_get_string (
          json_object_object_get (object, column_name ((enum column)i)));

      if (text != NULL
          && declaration_set_cell (row, (enum column)i, text, error)
                 != STATUS_OK)
        return STATUS_CORRUPT;
    }
  row->revision = member_number (object, "revision");
  if (declaration_check_complete (row, &column, error) != STATUS_OK)
    return STATUS_CORRUPT;
  return STATUS_OK;
}

static enum status
rows_parse (struct confdoc *document, struct json_object *root,
            struct error *error)
{
  char name[CONFDOC_NAME_MAX];
  struct json_object *array;
  size_t count = member_array (root, "rows", &array);

  document->rows = g_new0 (struct declaration, count + 1);
  for (size_t i = 0; i < count; i++)
    {
      struct declaration *row = &document->rows[i];

      if (row_parse (row, json_object_array_get_idx (array, i), error)
          != STATUS_OK)
        return STATUS_CORRUPT;
      confdoc_name_for_row (row, name);
      if (strcmp (name, document->name) != 0)
        return error_set (error, STATUS_CORRUPT,
                          "configuration document %s contains a row that "
                          "belongs to document "
                          "%s",
                          document->name, name);
      document->row_count++;
    }
  return STATUS_OK;
}

static void
tombstones_parse (struct confdoc *document, struct json_object *root)
{
  struct json_object *array;
  size_t count = member_array (root, "removed", &array);

  document->tombstones = g_new0 (struct tombstone, count + 1);
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *object = json_object_array_get_idx (array, i);
      const char *id
          = json_object_get_string (json_object_object_get (object, "id"));

      if (id == NULL)
        continue;
      g_strlcpy (document->tombstones[document->tombstone_count].id, id,
                 DECLARATION_ID_MAX);
      document->tombstones[document->tombstone_count++].revision
          = member_number (object, "revision");
    }
}

static struct json_object *
row_to_json (const struct declaration *row)
{
  struct json_object *object = json_object_new_object ();
  char cell[DECLARATION_CELL_MAX];

  json_object_object_add (
      object, "object",
      json_object_new_string (declaration_type_name (row->type)));
  for (int i = 0; i < COLUMN_COUNT; i++)
    {
      declaration_format_cell (row, (enum column)i, cell);
      if (cell[0] != '\0')
        json_object_object_add (object, column_name ((enum column)i),
                                json_object_new_string (cell));
    }
  json_object_object_add (object, "revision",
                          json_object_new_int64 ((int64_t)row->revision));
  return object;
}

static void
document_encode (struct confdoc *document)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *rows = json_object_new_array ();
  struct json_object *removed = json_object_new_array ();

  json_object_object_add (root, "revision",
                          json_object_new_int64 ((int64_t)document->revision));
  json_object_object_add (
      root, "floor",
      json_object_new_int64 ((int64_t)document->tombstone_floor));
  for (size_t i = 0; i < document->row_count; i++)
    json_object_array_add (rows, row_to_json (&document->rows[i]));
  for (size_t i = 0; i < document->tombstone_count; i++)
    {
      const struct tombstone *tombstone = &document->tombstones[i];
      struct json_object *object = json_object_new_object ();

      json_object_object_add (object, "id",
                              json_object_new_string (tombstone->id));
      json_object_object_add (
          object, "revision",
          json_object_new_int64 ((int64_t)tombstone->revision));
      json_object_array_add (removed, object);
    }
  json_object_object_add (root, "rows", rows);
  json_object_object_add (root, "removed", removed);
  document->text = g_strdup (
      json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  confdoc_digest (document->text, strlen (document->text), document->digest);
}

/* Drops the oldest tombstones over the limit and sets FLOOR to the revision of
   the newest one dropped. */
static void
tombstones_trim (GArray *tombstones, uint64_t *floor)
{
  guint excess;

  if (tombstones->len <= CONFDOC_TOMBSTONE_LIMIT)
    return;
  excess = tombstones->len - CONFDOC_TOMBSTONE_LIMIT;
  *floor = g_array_index (tombstones, struct tombstone, excess - 1).revision;
  g_array_remove_range (tombstones, 0, excess);
}

static void
tombstone_drop (GArray *tombstones, const char *id)
{
  for (guint i = 0; i < tombstones->len; i++)
    if (strcmp (g_array_index (tombstones, struct tombstone, i).id, id) == 0)
      {
        g_array_remove_index (tombstones, i);
        return;
      }
}

static void
tombstone_add (GArray *tombstones, const struct declaration *row,
               uint64_t revision)
{
  struct tombstone tombstone = { .revision = revision };

  declaration_format_id (row, tombstone.id);
  g_array_append_val (tombstones, tombstone);
}

static void
apply_row_change (GHashTable *set, GArray *tombstones,
                  const struct row_change *change, uint64_t revision)
{
  struct declaration *row = g_new (struct declaration, 1);
  char id[DECLARATION_ID_MAX];

  *row = change->row;
  row->revision = revision;
  declaration_format_id (row, id);
  tombstone_drop (tombstones, id);
  if (!change->remove)
    {
      g_hash_table_add (set, row);
      return;
    }
  g_hash_table_remove (set, row);
  tombstone_add (tombstones, row, revision);
  g_free (row);
}

/* Returns the rows of BASE after applying CHANGES, sorted by identity, and
   updates TOMBSTONES. */
static GArray *
rows_with_changes (const struct confdoc *base,
                   const struct row_change *changes, size_t change_count,
                   uint64_t revision, GArray *tombstones)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (struct declaration));
  GHashTable *set = rowset_new_owning ();
  GHashTableIter iter;
  gpointer row;

  for (size_t i = 0; base != NULL && i < base->row_count; i++)
    g_hash_table_add (set, g_memdup2 (&base->rows[i], sizeof *base->rows));
  for (size_t i = 0; i < change_count; i++)
    apply_row_change (set, tombstones, &changes[i], revision);
  g_hash_table_iter_init (&iter, set);
  while (g_hash_table_iter_next (&iter, &row, NULL))
    g_array_append_vals (rows, row, 1);
  g_hash_table_destroy (set);
  g_array_sort (rows, row_compare);
  return rows;
}

void
confdoc_name_for_row (const struct declaration *row,
                      char out[CONFDOC_NAME_MAX])
{
  if (declaration_column_use (row->type, COLUMN_ORGANISATION)
      == COLUMN_USE_NONE)
    g_strlcpy (out, CONFDOC_SHARED_NAME, CONFDOC_NAME_MAX);
  else
    g_snprintf (out, CONFDOC_NAME_MAX, "org/%s", row->organisation);
}

void
confdoc_digest (const void *text, size_t size, char out[CONFDOC_DIGEST_MAX])
{
  unsigned char hash[(CONFDOC_DIGEST_MAX - 1) / 2];

  crypto_generichash (hash, sizeof hash, text, size, NULL, 0);
  sodium_bin2hex (out, CONFDOC_DIGEST_MAX, hash, sizeof hash);
}

enum status
confdoc_parse (struct confdoc **document, const char *name, const char *text,
               struct error *error)
{
  struct json_object *root = json_tokener_parse (text);
  struct confdoc *new_document;
  enum status status;

  if (!json_object_is_type (root, json_type_object))
    {
      json_object_put (root);
      return error_set (error, STATUS_CORRUPT,
                        "configuration document %s is not a JSON object",
                        name);
    }
  new_document = g_new0 (struct confdoc, 1);
  new_document->references = 1;
  g_strlcpy (new_document->name, name, CONFDOC_NAME_MAX);
  new_document->text = g_strdup (text);
  confdoc_digest (text, strlen (text), new_document->digest);
  new_document->revision = member_number (root, "revision");
  new_document->tombstone_floor = member_number (root, "floor");
  tombstones_parse (new_document, root);
  status = rows_parse (new_document, root, error);
  json_object_put (root);
  if (status != STATUS_OK)
    {
      confdoc_unref (new_document);
      return status;
    }
  *document = new_document;
  return STATUS_OK;
}

struct confdoc *
confdoc_with_changes (const struct confdoc *base, const char *name,
                      const struct row_change *changes, size_t change_count,
                      uint64_t revision)
{
  struct confdoc *document = g_new0 (struct confdoc, 1);
  GArray *tombstones = g_array_new (FALSE, TRUE, sizeof (struct tombstone));
  GArray *rows;

  if (base != NULL)
    {
      g_array_append_vals (tombstones, base->tombstones,
                           (guint)base->tombstone_count);
      document->tombstone_floor = base->tombstone_floor;
    }
  rows = rows_with_changes (base, changes, change_count, revision, tombstones);
  tombstones_trim (tombstones, &document->tombstone_floor);
  document->references = 1;
  document->revision = revision;
  g_strlcpy (document->name, name, CONFDOC_NAME_MAX);
  document->row_count = rows->len;
  document->rows = (struct declaration *)(void *)g_array_free (rows, FALSE);
  document->tombstone_count = tombstones->len;
  document->tombstones
      = (struct tombstone *)(void *)g_array_free (tombstones, FALSE);
  document_encode (document);
  return document;
}

struct confdoc *
confdoc_ref (struct confdoc *document)
{
  document->references++;
  return document;
}

void
confdoc_unref (struct confdoc *document)
{
  assert (document->references > 0);
  if (--document->references > 0)
    return;
  g_free (document->text);
  g_free (document->rows);
  g_free (document->tombstones);
  g_free (document);
}

uint64_t
confdoc_removal_revision (const struct confdoc *document, const char *id)
{
  if (document == NULL)
    return 0;
  for (size_t i = 0; i < document->tombstone_count; i++)
    if (strcmp (document->tombstones[i].id, id) == 0)
      return document->tombstones[i].revision;
  return document->tombstone_floor;
}
