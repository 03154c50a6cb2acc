#include "cli.h"
#include "fake-config.h"
#include "merge.h"
#include "unit.h"

#include <glib/gstdio.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* A gateway that merges for real and loses answers on order. */
struct gateway
{
  struct config *config;
  unsigned lose;      /* answers to lose after their effect */
  unsigned refuse;    /* calls without a connection */
  int http_status;    /* of every answer, if not 0 */
  const char *garble; /* every answer, if not NULL */
  unsigned calls;
  uint64_t now_ms;
  unsigned behind;  /* polls until all processes have it in force */
  unsigned unaware; /* polls until this gateway has it in force */
};

static char *
sheet_answer (struct gateway *gateway, const char *body, bool apply)
{
  struct json_object *object;
  struct sheet sheet;
  struct merge merge;
  char *text;

  sheet_init (&sheet, body, strlen (body));
  merge_init (&merge, &sheet, gateway->config);
  object = merge_json (&merge);
  if (apply && merge.result != NULL)
    {
      config_unref (gateway->config);
      gateway->config = config_ref (merge.result);
    }
  if (apply)
    json_object_object_add (
        object, "revision",
        json_object_new_int64 ((int64_t)gateway->config->revision));
  text = g_strdup (json_object_to_json_string (object));
  json_object_put (object);
  merge_finish (&merge);
  sheet_finish (&sheet);
  return text;
}

static char *
drain_answer (struct gateway *gateway, const char *body)
{
  bool drain = strstr (body, "true") != NULL;
  char *sheet = sheet_create_drain (gateway->config, "oracolo-9", drain);
  char *text = sheet_answer (gateway, sheet, true);

  g_free (sheet);
  return text;
}

static char *
config_answer (struct gateway *gateway)
{
  unsigned in_force = 8;

  if (gateway->unaware > 0)
    {
      gateway->unaware--;
      return g_strdup ("{\"revision\":0,\"in_force\":8,\"processes\":8}");
    }
  if (gateway->behind > 0)
    in_force -= gateway->behind--;
  return g_strdup_printf ("{\"revision\":%u,\"in_force\":%u,\"processes\":8}",
                          (unsigned)gateway->config->revision, in_force);
}

static char *
answer_of (struct gateway *gateway, const char *path, const char *body)
{
  if (gateway->garble != NULL)
    return g_strdup (gateway->garble);
  if (strstr (path, "/sheet/plan") != NULL)
    return sheet_answer (gateway, body, false);
  if (strstr (path, "/sheet/apply") != NULL)
    return sheet_answer (gateway, body, true);
  if (strstr (path, "/sheet/export") != NULL)
    return sheet_export (gateway->config);
  if (strstr (path, "/drain") != NULL)
    return drain_answer (gateway, body);
  if (strstr (path, "/config/") != NULL)
    return g_strdup ("{\"revisions\":[{\"revision\":7,\"at_s\":0,\"operator\":"
                     "\"ada\",\"count\":1,\"sheet\":\"d\",\"changes\":[{"
                     "\"row\":3,\"action\":\"change\",\"object\":\"model:m\","
                     "\"columns\":[{\"column\":\"version\",\"from\":\"v1\","
                     "\"to\":\"v2\"}]}]}]}");
  if (strstr (path, "/status") != NULL)
    return g_strdup ("{\"revision\":7,\"suspects\":[],\"hosts\":[{\"name\":"
                     "\"e1\",\"state\":\"alive\"}]}");
  return config_answer (gateway);
}

static void
fake_call (struct cli *cli, const char *address, const char *method,
           const char *path, const char *body, struct cli_response *answer)
{
  struct gateway *gateway = cli->context;

  memset (answer, 0, sizeof *answer);
  gateway->calls++;
  answer->status = STATUS_UNAVAILABLE;
  if (gateway->refuse > 0)
    {
      gateway->refuse--;
      return;
    }
  answer->status = STATUS_OK;
  answer->http_status = gateway->http_status == 0 ? 200 : gateway->http_status;
  answer->body = answer_of (gateway, path, body);
  if (gateway->lose > 0)
    {
      gateway->lose--;
      answer->status = STATUS_UNKNOWN;
    }
}

static uint64_t
fake_now_ms (struct cli *cli)
{
  struct gateway *gateway = cli->context;

  return gateway->now_ms;
}

static void
fake_sleep (struct cli *cli, unsigned ms)
{
  struct gateway *gateway = cli->context;

  gateway->now_ms += ms;
}

static const struct cli_ops ops = { fake_call, fake_now_ms, fake_sleep };

/* Run COMMAND; its output is in OUTPUT, to free with free. */
static enum cli_exit_status
run (struct gateway *gateway, const char *command, char **output)
{
  struct cli cli = { .ops = &ops, .context = gateway };
  char **words = g_strsplit (command, " ", -1);
  enum cli_exit_status status;
  size_t size;

  cli.out = open_memstream (output, &size);
  cli.err = cli.out;
  status = cli_run (&cli, (int)g_strv_length (words), words);
  fclose (cli.out);
  g_strfreev (words);
  return status;
}

struct expectation
{
  const char *command;
  struct gateway gateway; /* its faults */
  enum cli_exit_status status;
  const char *output; /* a part of it */
};

#define GATEWAY " -g 127.0.0.1:1"
#define FLEET "etc/trapani.csv"

static const struct expectation expectations[] = {
  { "trefoilspar", { 0 }, CLI_USAGE, "Commands:" },
  { "trefoilspar --help", { 0 }, CLI_OK, "Exit codes:" },
  { "trefoilspar sheet apply --help", { 0 }, CLI_OK, "--wait" },
  { "trefoilspar sheet fly x", { 0 }, CLI_USAGE, "Commands:" },
  { "trefoilspar sheet apply x", { 0 }, CLI_USAGE, "name a gateway" },
  { "trefoilspar sheet check", { 0 }, CLI_USAGE, "one argument" },
  { "trefoilspar sheet check none.csv", { 0 }, CLI_USAGE, "none.csv" },
  { "trefoilspar sheet check --nonsense x", { 0 }, CLI_USAGE, "nonsense" },
  { "trefoilspar sheet check " FLEET, { 0 }, CLI_OK, "69 rows are good" },
  { "trefoilspar sheet check etc/pawtrace.csv", { 0 }, CLI_OK, "79 rows" },
  { "trefoilspar sheet check --json " FLEET, { 0 }, CLI_OK, "\"rows\"" },
  { "trefoilspar sheet check Makefile", { 0 }, CLI_REFUSED, "to mend it" },
  { "trefoilspar sheet plan " FLEET GATEWAY,
    { 0 },
    CLI_OK,
    "+ organisation:milo (row" },
  { "trefoilspar sheet plan " FLEET GATEWAY,
    { .http_status = 401 },
    CLI_DENIED,
    "401" },
  { "trefoilspar sheet plan " FLEET GATEWAY,
    { .lose = 1 },
    CLI_UNAVAILABLE,
    "no answer" },
  { "trefoilspar sheet plan Makefile" GATEWAY,
    { 0 },
    CLI_REFUSED,
    "to mend it" },
  { "trefoilspar sheet apply " FLEET GATEWAY,
    { 0 },
    CLI_OK,
    "stored in revision 1" },
  { "trefoilspar sheet apply " FLEET GATEWAY,
    { .lose = 1 },
    CLI_OK,
    "put in force before, in revision 1" },
  { "trefoilspar sheet apply " FLEET GATEWAY,
    { .lose = 9 },
    CLI_UNKNOWN,
    "no answer" },
  { "trefoilspar sheet apply " FLEET GATEWAY,
    { .refuse = 1 },
    CLI_UNAVAILABLE,
    "no answer" },
  { "trefoilspar sheet apply " FLEET GATEWAY " -g 127.0.0.1:2",
    { .refuse = 1 },
    CLI_OK,
    "stored in revision 1" },
  { "trefoilspar sheet apply " FLEET GATEWAY,
    { .http_status = 503 },
    CLI_UNAVAILABLE,
    "503" },
  { "trefoilspar sheet apply " FLEET GATEWAY,
    { .http_status = 504 },
    CLI_UNKNOWN,
    "504" },
  { "trefoilspar sheet apply " FLEET GATEWAY,
    { .garble = "<html>" },
    CLI_UNKNOWN,
    "not JSON" },
  { "trefoilspar sheet apply --wait " FLEET GATEWAY,
    { .behind = 5 },
    CLI_OK,
    "in force in 8 of 8" },
  { "trefoilspar sheet apply --wait -t 1 " FLEET GATEWAY,
    { .behind = 8 },
    CLI_NOT_IN_FORCE,
    "in force in 3 of 8" },
  { "trefoilspar sheet export" GATEWAY, { 0 }, CLI_OK, "end,0" },
  { "trefoilspar sheet status" GATEWAY, { 0 }, CLI_OK, "in_force: 8" },
  { "trefoilspar config history" GATEWAY, { 0 }, CLI_OK, "ada  1 changed" },
  { "trefoilspar config diff --from 6" GATEWAY,
    { 0 },
    CLI_OK,
    "version: v1 -> v2" },
  { "trefoilspar config diff --json" GATEWAY,
    { .garble = "[]" },
    CLI_UNAVAILABLE,
    "not JSON" },
  { "trefoilspar status" GATEWAY, { 0 }, CLI_OK, "suspects: none" },
  { "trefoilspar drain oracolo-9" GATEWAY,
    { 0 },
    CLI_OK,
    "+ drain:oracolo-9" },
  { "trefoilspar undrain oracolo-9" GATEWAY, { 0 }, CLI_OK, "1 unchanged" },
  { "trefoilspar key new", { 0 }, CLI_OK, "key_hash: " },
};

static void
test_commands (void)
{
  for (size_t i = 0; i < sizeof expectations / sizeof *expectations; i++)
    {
      const struct expectation *expected = &expectations[i];
      struct gateway gateway = expected->gateway;
      char *output = NULL;
      enum cli_exit_status status;

      gateway.config = config_new_empty ();
      status = run (&gateway, expected->command, &output);
      if (status != expected->status
          || strstr (output, expected->output) == NULL)
        {
          fprintf (stderr, "%s: exit %d\n%s\n", expected->command, status,
                   output);
          CU_FAIL ("another exit code or output than expected");
        }
      free (output);
      config_unref (gateway.config);
    }
}

/* Export, edit by hand, apply: only the edit is put in force. */
static void
test_round_trip (void)
{
  struct gateway gateway = { .config = fake_config () };
  char *output, *name = NULL, *command;
  int file = g_file_open_tmp ("sheet-XXXXXX", &name, NULL);
  char **parts;
  char *edited;

  CU_ASSERT_TRUE_FATAL (file >= 0);
  CU_ASSERT_EQUAL (run (&gateway, "trefoilspar sheet export" GATEWAY, &output),
                   CLI_OK);
  parts = g_strsplit (output, ",5,60000,", 2);
  edited = g_strjoinv (",6,60000,", parts);
  free (output);
  g_file_set_contents (name, edited, -1, NULL);
  command = g_strconcat ("trefoilspar sheet apply" GATEWAY " ", name, NULL);
  CU_ASSERT_EQUAL (run (&gateway, command, &output), CLI_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "priority: 5 -> 6"));
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "1 to change, 13 unchanged"));
  CU_ASSERT_EQUAL (config_kind (gateway.config, "milo", "briefing")->priority,
                   6);
  free (output);
  g_unlink (name);
  g_close (file, NULL);
  g_strfreev (parts);
  g_free (edited);
  g_free (name);
  g_free (command);
  config_unref (gateway.config);
}

static const struct unit_case cases[] = {
  { "commands", test_commands },
  { "round-trip", test_round_trip },
};

int
main (void)
{
  g_unsetenv ("TREFOILSPAR_GATEWAY");
  g_unsetenv ("TREFOILSPAR_OPERATOR_KEY");
  return unit_run ("cli", cases, sizeof cases / sizeof *cases);
}
