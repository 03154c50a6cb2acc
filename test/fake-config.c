#include "fake-config.h"

#include <assert.h>
#include <string.h>

struct row_change
fake_change (const char *text)
{
  struct row_change change = { .remove = text[0] == '-' };
  char **words = g_strsplit (text + change.remove, " ", -1);
  enum declaration_type type = DECLARATION_TYPE_COUNT;
  struct error error;

  if (!declaration_type_find (words[0], &type))
    assert (!"unknown type");
  declaration_init (&change.row, type);
  for (int i = 1; words[i] != NULL; i++)
    {
      char *value = strchr (words[i], '=');
      enum column column = COLUMN_COUNT;

      *value++ = '\0';
      if (!column_find (words[i], &column))
        assert (!"unknown column");
      if (declaration_set_cell (&change.row, column, value, &error)
          != STATUS_OK)
        assert (!"wrong value");
    }
  g_strfreev (words);
  return change;
}

struct config *
fake_config_change (const struct config *base, const char *const *texts,
                    struct error *error)
{
  struct config *empty = config_new_empty ();
  struct config *config = NULL;
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (struct row_change));

  for (int i = 0; texts[i] != NULL; i++)
    {
      struct row_change change = fake_change (texts[i]);

      g_array_append_val (changes, change);
    }
  error_clear (error);
  config_with_changes (&config, base == NULL ? empty : base,
                       (struct row_change *)(void *)changes->data,
                       changes->len, "test", error);
  g_array_free (changes, TRUE);
  config_unref (empty);
  return config;
}

struct config *
fake_config (void)
{
  char milo[DECLARATION_KEY_HASH_MAX], salemi[DECLARATION_KEY_HASH_MAX];
  char *keys[2];
  struct config *config;
  struct error error;

  config_key_hash ("milo-key", 8, milo);
  config_key_hash ("salemi-key", 10, salemi);
  keys[0] = g_strconcat ("key organisation=milo name=a key_hash=", milo, NULL);
  keys[1]
      = g_strconcat ("key organisation=salemi name=a key_hash=", salemi, NULL);
  config = fake_config_change (
      NULL,
      (const char *[]){
          "organisation organisation=milo weight=3 requests_per_s=50 "
          "in_flight=100",
          "organisation organisation=salemi weight=1 requests_per_s=5 "
          "in_flight=10",
          keys[0], keys[1], "model model=oracolo-l version=v1 service=oracolo",
          "version model=oracolo-l version=v1",
          "version model=oracolo-l version=v2",
          "service service=centrale timeout_ms=2000 idempotent=no",
          "adapter model=oracolo-l name=sicily organisation=milo",
          "kind organisation=milo name=briefing model=oracolo-l priority=5 "
          "deadline_ms=60000 idempotent=yes retained=yes",
          "kind organisation=salemi name=order service=centrale priority=0 "
          "deadline_ms=5000 idempotent=no retained=no",
          "backend_server name=oracolo fencing=checked load_limit=3",
          "backend_server name=oracolo-7 fencing=ignored load_limit=3",
          "drain name=oracolo-9", NULL },
      &error);
  assert (config != NULL);
  g_free (keys[0]);
  g_free (keys[1]);
  return config;
}
