#include "conftext.h"
#include "fake-config.h"
#include "unit.h"

#include <string.h>

static void
test_lookups (void)
{
  struct config *config = fake_config ();
  const struct declaration *kind
      = config_request_kind (config, "milo", "briefing");

  CU_ASSERT_STRING_EQUAL (
      config_organisation_by_key (config, "milo-key", 8)->organisation,
      "milo");
  CU_ASSERT_PTR_NULL (config_organisation_by_key (config, "milo-kez", 8));
  CU_ASSERT_PTR_NULL (config_organisation_by_key (config, "", 0));
  CU_ASSERT_EQUAL (config_organisation (config, "milo")->weight, 3);
  CU_ASSERT_PTR_NULL (config_organisation (config, "nobody"));
  CU_ASSERT_STRING_EQUAL (kind->model, "oracolo-l");
  CU_ASSERT_TRUE (kind->retained && kind->idempotent);
  CU_ASSERT_EQUAL (kind->priority, 5);
  CU_ASSERT_PTR_NULL (config_request_kind (config, "salemi", "briefing"));
  CU_ASSERT_EQUAL (config_service (config, "centrale")->timeout_ms, 2000);
  CU_ASSERT_STRING_EQUAL (config_model (config, "oracolo-l")->version, "v1");
  CU_ASSERT_PTR_NOT_NULL (config_version (config, "oracolo-l", "v2"));
  CU_ASSERT_TRUE (
      config_adapter_is_permitted (config, "milo", "oracolo-l", "sicily"));
  CU_ASSERT_FALSE (
      config_adapter_is_permitted (config, "salemi", "oracolo-l", "sicily"));
  CU_ASSERT_FALSE (
      config_backend_server (config, "oracolo-7", "oracolo")->fencing);
  CU_ASSERT_TRUE (
      config_backend_server (config, "oracolo-8", "oracolo")->fencing);
  CU_ASSERT_PTR_NULL (config_backend_server (config, "x", "y"));
  CU_ASSERT_TRUE (config_backend_server_is_drained (config, "oracolo-9"));
  CU_ASSERT_FALSE (config_backend_server_is_drained (config, "oracolo-7"));
  config_unref (config);
}

/* A change that breaks any rule is refused as a whole. */
static void
test_rules (void)
{
  static const char *const refused[] = {
    "kind organisation=nobody name=k service=centrale",
    "kind organisation=milo name=k model=none",
    "kind organisation=milo name=k service=none",
    "model model=oracolo-l version=v9 service=oracolo",
    "model model=oracolo-l version=v1 service=centrale",
    "version model=none version=v1",
    "adapter model=none name=a organisation=milo",
    "adapter model=oracolo-l name=a organisation=nobody",
    "adapter model=oracolo-l name=sicily organisation=salemi",
    "-version model=oracolo-l version=v1",
    "-organisation organisation=milo",
    "-service service=centrale",
  };
  struct config *base = fake_config ();
  struct error error;

  for (size_t i = 0; i < sizeof refused / sizeof *refused; i++)
    {
      struct config *config = fake_config_change (
          base, (const char *[]){ refused[i], NULL }, &error);

      CU_ASSERT_PTR_NULL (config);
      CU_ASSERT_EQUAL (error.status, STATUS_INVALID);
      config_unref (config);
    }
  CU_ASSERT_EQUAL (base->revision, 1);
  config_unref (base);
}

static void
stored_items_append (const struct config *config, GArray *items,
                     uint64_t since)
{
  GPtrArray *documents = config_documents (config);
  struct conftext_item item
      = { g_strdup (CONFTEXT_ROOT_KEY), conftext_root (config) };

  g_array_append_val (items, item);
  for (guint i = 0; i < documents->len; i++)
    {
      struct confdoc *document = documents->pdata[i];

      if (document->revision <= since)
        continue;
      item.key = g_strconcat (CONFTEXT_DOCUMENT_PREFIX, document->name, NULL);
      item.value = g_strdup (document->text);
      g_array_append_val (items, item);
    }
  g_ptr_array_unref (documents);
}

static enum status
load_stored_items (struct config **config, const struct config *previous,
                   GArray *items)
{
  struct error error;

  return conftext_load (config, previous,
                        (struct conftext_item *)(void *)items->data,
                        items->len, &error);
}

static void
stored_item_clear (void *data)
{
  struct conftext_item *item = data;

  g_free ((gpointer)item->key);
  g_free ((gpointer)item->value);
}

static GArray *
stored_items_new (void)
{
  GArray *items = g_array_new (FALSE, TRUE, sizeof (struct conftext_item));

  g_array_set_clear_func (items, stored_item_clear);
  return items;
}

static void
stored_item_set_value (GArray *items, guint index, const char *value)
{
  struct conftext_item *item
      = &g_array_index (items, struct conftext_item, index);

  g_free ((gpointer)item->value);
  item->value = g_strdup (value);
}

static void
test_stored_form (void)
{
  static const char *const change[]
      = { "-drain name=oracolo-9",
          "model model=oracolo-l version=v2 service=oracolo", NULL };
  struct config *first = fake_config (), *second, *loaded = NULL;
  GArray *all_items = stored_items_new (), *newer_items = stored_items_new ();
  struct error error;

  second = fake_config_change (first, change, &error);
  stored_items_append (second, all_items, 0);
  stored_items_append (second, newer_items, 1);
  CU_ASSERT_EQUAL (all_items->len, 4);
  CU_ASSERT_EQUAL (newer_items->len, 2);
  CU_ASSERT_EQUAL (load_stored_items (&loaded, NULL, all_items), STATUS_OK);
  CU_ASSERT_STRING_EQUAL (loaded->digest, second->digest);
  CU_ASSERT_EQUAL (config_sheet_revision (loaded, "test"), 1);
  config_unref (loaded);
  CU_ASSERT_EQUAL (load_stored_items (&loaded, first, newer_items), STATUS_OK);
  CU_ASSERT_STRING_EQUAL (config_model (loaded, "oracolo-l")->version, "v2");
  config_unref (loaded);
  CU_ASSERT_EQUAL (load_stored_items (&loaded, NULL, newer_items),
                   STATUS_NOT_FOUND);
  stored_item_set_value (newer_items, 1, "{}");
  CU_ASSERT_EQUAL (load_stored_items (&loaded, first, newer_items),
                   STATUS_NOT_FOUND);
  stored_item_set_value (newer_items, 0, "[");
  CU_ASSERT_EQUAL (load_stored_items (&loaded, first, newer_items),
                   STATUS_CORRUPT);
  config_unref (first);
  config_unref (second);
  g_array_free (all_items, TRUE);
  g_array_free (newer_items, TRUE);
}

static void
test_delta (void)
{
  static const char *const change[] = { "drain name=x", "drain name=y", NULL };
  struct config *first = fake_config (), *second, *loaded = NULL;
  struct config *empty = config_new_empty ();
  char *full_delta, *newer_delta;
  struct error error;

  second = fake_config_change (first, change, &error);
  full_delta = conftext_delta (second, 0);
  newer_delta = conftext_delta (second, 1);
  CU_ASSERT_TRUE (strlen (newer_delta) < strlen (full_delta));
  CU_ASSERT_EQUAL (conftext_load_delta (&loaded, empty, full_delta, &error),
                   STATUS_OK);
  CU_ASSERT_EQUAL (loaded->revision, 2);
  CU_ASSERT_EQUAL (conftext_load_delta (&empty, loaded, full_delta, &error),
                   STATUS_STALE);
  config_unref (loaded);
  CU_ASSERT_EQUAL (conftext_load_delta (&loaded, first, newer_delta, &error),
                   STATUS_OK);
  CU_ASSERT_TRUE (config_backend_server_is_drained (loaded, "y"));
  config_unref (loaded);
  CU_ASSERT_EQUAL (conftext_load_delta (&loaded, empty, newer_delta, &error),
                   STATUS_NOT_FOUND);
  newer_delta[strlen (newer_delta) - 4] = 'x';
  CU_ASSERT_NOT_EQUAL (
      conftext_load_delta (&loaded, first, newer_delta, &error), STATUS_OK);
  g_free (full_delta);
  g_free (newer_delta);
  config_unref (first);
  config_unref (second);
  config_unref (empty);
}

static void
test_removed_is_remembered (void)
{
  static const char *const remove[] = { "-drain name=oracolo-9", NULL };
  struct config *first = fake_config (), *second;
  struct row_change drain = fake_change (remove[0]);
  struct error error;

  second = fake_config_change (first, remove, &error);
  CU_ASSERT_EQUAL (
      confdoc_removal_revision (config_document_for_row (first, &drain.row),
                                "drain:oracolo-9"),
      0);
  CU_ASSERT_EQUAL (
      confdoc_removal_revision (config_document_for_row (second, &drain.row),
                                "drain:oracolo-9"),
      2);
  config_unref (first);
  config_unref (second);
}

static void
test_document_over_a_megabyte (void)
{
  struct config *base = fake_config ();
  GPtrArray *changes = g_ptr_array_new_with_free_func (g_free);
  struct error error;

  for (int i = 0; i < 8000; i++)
    g_ptr_array_add (
        changes, g_strdup_printf ("kind organisation=milo name=k%d "
                                  "service=centrale priority=1 deadline_ms=1 "
                                  "idempotent=no retained=no",
                                  i));
  g_ptr_array_add (changes, NULL);
  CU_ASSERT_PTR_NULL (
      fake_config_change (base, (const char *const *)changes->pdata, &error));
  CU_ASSERT_EQUAL (error.status, STATUS_TOO_LARGE);
  CU_ASSERT_STRING_EQUAL (error.message, "org/milo");
  g_ptr_array_unref (changes);
  config_unref (base);
}

static const struct unit_case cases[] = {
  { "lookups", test_lookups },
  { "rules", test_rules },
  { "stored-form", test_stored_form },
  { "delta", test_delta },
  { "removed-is-remembered", test_removed_is_remembered },
  { "document-over-a-megabyte", test_document_over_a_megabyte },
};

int
main (void)
{
  return unit_run ("config", cases, sizeof cases / sizeof *cases);
}
