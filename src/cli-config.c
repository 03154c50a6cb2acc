#include "cli.h"

#include "cliprint.h"
#include "config.h"
#include "httpjson.h"

#include <inttypes.h>
#include <sodium.h>
#include <string.h>

enum
{
  KEY_BYTES = 32,
  KEY_TEXT_BYTES_MAX = 64
};

/* Gets PATH from a gateway and prints the response through PRINT, or as JSON
   with --json. */
static enum cli_exit_status
get_and_print (struct cli *cli, const char *path,
               void (*print) (FILE *out, struct json_object *object))
{
  struct json_object *object;
  enum cli_exit_status status
      = cli_call_json (cli, "GET", path, NULL, &object);

  if (status != CLI_OK)
    return status;
  if (cli->json)
    fprintf (cli->out, "%s\n", json_object_to_json_string (object));
  else
    print (cli->out, object);
  json_object_put (object);
  return CLI_OK;
}

static void
print_diff (FILE *out, struct json_object *history)
{
  size_t count;
  struct json_object *revisions
      = json_field_array (history, "revisions", &count);

  for (size_t i = 0; i < count; i++)
    {
      struct json_object *revision = json_object_array_get_idx (revisions, i);
      size_t changes;
      struct json_object *list
          = json_field_array (revision, "changes", &changes);

      fprintf (out, "revision %" PRIu64 "\n",
               json_field_uint (revision, "revision"));
      if (list == NULL)
        fprintf (out, "  %" PRIu64 " changes, too many to store\n",
                 json_field_uint (revision, "count"));
      cliprint_changes (out, list);
    }
}

enum cli_exit_status
cli_config_history (struct cli *cli)
{
  return get_and_print (cli, "/v1/operator/config/history", cliprint_history);
}

enum cli_exit_status
cli_config_diff (struct cli *cli)
{
  char path[128];

  g_snprintf (path, sizeof path,
              "/v1/operator/config/diff?from=%" PRId64 "&to=%" PRId64,
              cli->from_revision, cli->to_revision);
  return get_and_print (cli, path, print_diff);
}

enum cli_exit_status
cli_status (struct cli *cli)
{
  return get_and_print (cli, "/v1/operator/status", cliprint_object);
}

enum cli_exit_status
cli_key_new (struct cli *cli)
{
  unsigned char bytes[KEY_BYTES];
  char key[KEY_TEXT_BYTES_MAX], hash[DECLARATION_KEY_HASH_MAX];

  randombytes_buf (bytes, sizeof bytes);
  sodium_bin2base64 (key, sizeof key, bytes, sizeof bytes,
                     sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  config_key_hash (key, strlen (key), hash);
  if (cli->json)
    fprintf (cli->out, "{\"key\":\"%s\",\"key_hash\":\"%s\"}\n", key, hash);
  else
    fprintf (cli->out, "key: %s\nkey_hash: %s\n", key, hash);
  sodium_memzero (bytes, sizeof bytes);
  sodium_memzero (key, sizeof key);
  return CLI_OK;
}
