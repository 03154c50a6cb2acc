#include "cli.h"
#include "fake-config.h"
#include "merge.h"
#include "unit.h"

#include <glib/gstdio.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* A fake gateway. It merges sheets with the real code and has the faults that
   its fields set. */
struct fake_gateway
{
  struct config *config;
  /* Number of next responses to lose; the calls take effect. */
  unsigned responses_to_lose;
  /* Number of next connections to refuse. */
  unsigned connections_to_refuse;
  int http_status;          /* Status of every response; 0: 200. */
  const char *garbled_body; /* Body of every response, if not NULL. */
  unsigned calls;
  uint64_t now_ms;
  /* Number of processes that lag behind the newest revision. Each poll makes
     it one fewer. */
  unsigned processes_behind;
  /* Number of next polls that report revision 0. */
  unsigned unaware_polls;
};

static char *
sheet_response_body (struct fake_gateway *gateway, const char *body,
                     bool apply)
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
drain_response_body (struct fake_gateway *gateway, const char *body)
{
  bool drain = strstr (body, "true") != NULL;
  char *sheet = sheet_create_drain (gateway->config, "oracolo-9", drain);
  char *text = sheet_response_body (gateway, sheet, true);

  g_free (sheet);
  return text;
}

static char *
config_response_body (struct fake_gateway *gateway)
{
  unsigned in_force = 8;

  if (gateway->unaware_polls > 0)
    {
      gateway->unaware_polls--;
      return g_strdup ("{\"revision\":0,\"in_force\":8,\"processes\":8}");
    }
  if (gateway->processes_behind > 0)
    in_force -= gateway->processes_behind--;
  return g_strdup_printf ("{\"revision\":%u,\"in_force\":%u,\"processes\":8}",
                          (unsigned)gateway->config->revision, in_force);
}

static char *
response_body_for_path (struct fake_gateway *gateway, const char *path,
                        const char *body)
{
  if (gateway->garbled_body != NULL)
    return g_strdup (gateway->garbled_body);
  if (strstr (path, "/sheet/plan") != NULL)
    return sheet_response_body (gateway, body, false);
  if (strstr (path, "/sheet/apply") != NULL)
    return sheet_response_body (gateway, body, true);
  if (strstr (path, "/sheet/export") != NULL)
    return sheet_export (gateway->config);
  if (strstr (path, "/drain") != NULL)
    return drain_response_body (gateway, body);
  if (strstr (path, "/config/") != NULL)
    return g_strdup ("{\"revisions\":[{\"revision\":7,\"at_s\":0,\"operator\":"
                     "\"ada\",\"count\":1,\"sheet\":\"d\",\"changes\":[{"
                     "\"row\":3,\"action\":\"change\",\"object\":\"model:m\","
                     "\"columns\":[{\"column\":\"version\",\"from\":\"v1\","
                     "\"to\":\"v2\"}]}]}]}");
  if (strstr (path, "/status") != NULL)
    return g_strdup ("{\"revision\":7,\"suspects\":[],\"hosts\":[{\"name\":"
                     "\"e1\",\"state\":\"alive\"}]}");
  return config_response_body (gateway);
}

static void
fake_call (struct cli *cli, const char *address, const char *method,
           const char *path, const char *body, struct cli_response *response)
{
  struct fake_gateway *gateway = cli->context;

  memset (response, 0, sizeof *response);
  gateway->calls++;
  response->status = STATUS_UNAVAILABLE;
  if (gateway->connections_to_refuse > 0)
    {
      gateway->connections_to_refuse--;
      return;
    }
  response->status = STATUS_OK;
  response->http_status
      = gateway->http_status == 0 ? 200 : gateway->http_status;
  response->body = response_body_for_path (gateway, path, body);
  if (gateway->responses_to_lose > 0)
    {
      gateway->responses_to_lose--;
      response->status = STATUS_UNKNOWN;
    }
}

static uint64_t
fake_now_ms (struct cli *cli)
{
  struct fake_gateway *gateway = cli->context;

  return gateway->now_ms;
}

static void
fake_sleep (struct cli *cli, unsigned ms)
{
  struct fake_gateway *gateway = cli->context;

  gateway->now_ms += ms;
}

static const struct cli_ops ops = { fake_call, fake_now_ms, fake_sleep };

/* Runs COMMAND and stores what it prints in OUTPUT, which the caller frees
   with free. */
static enum cli_exit_status
run (struct fake_gateway *gateway, const char *command, char **output)
{
  struct cli cli = { .ops = &ops, .context = gateway };
  char **arguments = g_strsplit (command, " ", -1);
  enum cli_exit_status status;
  size_t size;

  cli.out = open_memstream (output, &size);
  cli.err = cli.out;
  status = cli_run (&cli, (int)g_strv_length (arguments), arguments);
  fclose (cli.out);
  g_strfreev (arguments);
  return status;
}

struct expectation
{
  const char *command;
  struct fake_gateway gateway; /* Its faults are set. */
  enum cli_exit_status status;
  const char *output; /* A text that the output must contain. */
};

#define GATEWAY_OPTION " -g 127.0.0.1:1"
#define FLEET_SHEET "etc/trapani.csv"

static const struct expectation expectations[] = {
  { "trefoilspar", { 0 }, CLI_USAGE, "Commands:" },
  { "trefoilspar --help", { 0 }, CLI_OK, "Exit codes:" },
  { "trefoilspar sheet apply --help", { 0 }, CLI_OK, "--wait" },
  { "trefoilspar sheet fly x", { 0 }, CLI_USAGE, "Commands:" },
  { "trefoilspar sheet apply x", { 0 }, CLI_USAGE, "name a gateway" },
  { "trefoilspar sheet check", { 0 }, CLI_USAGE, "one argument" },
  { "trefoilspar sheet check none.csv", { 0 }, CLI_USAGE, "none.csv" },
  { "trefoilspar sheet check --nonsense x", { 0 }, CLI_USAGE, "nonsense" },
  { "trefoilspar sheet check " FLEET_SHEET,
    { 0 },
    CLI_OK,
    "69 rows are good" },
  { "trefoilspar sheet check etc/pawtrace.csv", { 0 }, CLI_OK, "79 rows" },
  { "trefoilspar sheet check --json " FLEET_SHEET, { 0 }, CLI_OK, "\"rows\"" },
  { "trefoilspar sheet check Makefile", { 0 }, CLI_REFUSED, "to mend it" },
  { "trefoilspar sheet plan " FLEET_SHEET GATEWAY_OPTION,
    { 0 },
    CLI_OK,
    "+ organisation:milo (row" },
  { "trefoilspar sheet plan " FLEET_SHEET GATEWAY_OPTION,
    { .http_status = 401 },
    CLI_DENIED,
    "401" },
  { "trefoilspar sheet plan " FLEET_SHEET GATEWAY_OPTION,
    { .responses_to_lose = 1 },
    CLI_UNAVAILABLE,
    "no answer" },
  { "trefoilspar sheet plan Makefile" GATEWAY_OPTION,
    { 0 },
    CLI_REFUSED,
    "to mend it" },
  { "trefoilspar sheet apply " FLEET_SHEET GATEWAY_OPTION,
    { 0 },
    CLI_OK,
    "stored in revision 1" },
  { "trefoilspar sheet apply " FLEET_SHEET GATEWAY_OPTION,
    { .responses_to_lose = 1 },
    CLI_OK,
    "put in force before, in revision 1" },
  { "trefoilspar sheet apply " FLEET_SHEET GATEWAY_OPTION,
    { .responses_to_lose = 9 },
    CLI_UNKNOWN,
    "no answer" },
  { "trefoilspar sheet apply " FLEET_SHEET GATEWAY_OPTION,
    { .connections_to_refuse = 1 },
    CLI_UNAVAILABLE,
    "no answer" },
  { "trefoilspar sheet apply " FLEET_SHEET GATEWAY_OPTION " -g 127.0.0.1:2",
    { .connections_to_refuse = 1 },
    CLI_OK,
    "stored in revision 1" },
  { "trefoilspar sheet apply " FLEET_SHEET GATEWAY_OPTION,
    { .http_status = 503 },
    CLI_UNAVAILABLE,
    "503" },
  { "trefoilspar sheet apply " FLEET_SHEET GATEWAY_OPTION,
    { .http_status = 504 },
    CLI_UNKNOWN,
    "504" },
  { "trefoilspar sheet apply " FLEET_SHEET GATEWAY_OPTION,
    { .garbled_body = "<html>" },
    CLI_UNKNOWN,
    "not JSON" },
  { "trefoilspar sheet apply --wait " FLEET_SHEET GATEWAY_OPTION,
    { .processes_behind = 5 },
    CLI_OK,
    "in force in 8 of 8" },
  { "trefoilspar sheet apply --wait -t 1 " FLEET_SHEET GATEWAY_OPTION,
    { .processes_behind = 8 },
    CLI_NOT_IN_FORCE,
    "in force in 3 of 8" },
  { "trefoilspar sheet export" GATEWAY_OPTION, { 0 }, CLI_OK, "end,0" },
  { "trefoilspar sheet status" GATEWAY_OPTION, { 0 }, CLI_OK, "in_force: 8" },
  { "trefoilspar config history" GATEWAY_OPTION,
    { 0 },
    CLI_OK,
    "ada  1 changed" },
  { "trefoilspar config diff --from 6" GATEWAY_OPTION,
    { 0 },
    CLI_OK,
    "version: v1 -> v2" },
  { "trefoilspar config diff --json" GATEWAY_OPTION,
    { .garbled_body = "[]" },
    CLI_UNAVAILABLE,
    "not JSON" },
  { "trefoilspar status" GATEWAY_OPTION, { 0 }, CLI_OK, "suspects: none" },
  { "trefoilspar drain oracolo-9" GATEWAY_OPTION,
    { 0 },
    CLI_OK,
    "+ drain:oracolo-9" },
  { "trefoilspar undrain oracolo-9" GATEWAY_OPTION,
    { 0 },
    CLI_OK,
    "1 unchanged" },
  { "trefoilspar key new", { 0 }, CLI_OK, "key_hash: " },
};

static void
test_commands (void)
{
  for (size_t i = 0; i < sizeof expectations / sizeof *expectations; i++)
    {
      const struct expectation *expected = &expectations[i];
      struct fake_gateway gateway = expected->gateway;
      char *output = NULL;
      enum cli_exit_status status;

      gateway.config = config_new_empty ();
      status = run (&gateway, expected->command, &output);
      if (status != expected->status
          || strstr (output, expected->output) == NULL)
        {
          fprintf (stderr, "%s: exit %d\n%s\n", expected->command, status,
                   output);
          CU_FAIL ("unexpected exit code or output");
        }
      free (output);
      config_unref (gateway.config);
    }
}

/* Exports a sheet, edits it and applies it: only the edit is put in force. */
static void
test_round_trip (void)
{
  struct fake_gateway gateway = { .config = fake_config () };
  char *output, *path = NULL, *command;
  int file = g_file_open_tmp ("sheet-XXXXXX", &path, NULL);
  char **halves;
  char *edited;

  CU_ASSERT_TRUE_FATAL (file >= 0);
  CU_ASSERT_EQUAL (
      run (&gateway, "trefoilspar sheet export" GATEWAY_OPTION, &output),
      CLI_OK);
  halves = g_strsplit (output, ",5,60000,", 2);
  edited = g_strjoinv (",6,60000,", halves);
  free (output);
  g_file_set_contents (path, edited, -1, NULL);
  command
      = g_strconcat ("trefoilspar sheet apply" GATEWAY_OPTION " ", path, NULL);
  CU_ASSERT_EQUAL (run (&gateway, command, &output), CLI_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "priority: 5 -> 6"));
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "1 to change, 13 unchanged"));
  CU_ASSERT_EQUAL (
      config_request_kind (gateway.config, "milo", "briefing")->priority, 6);
  free (output);
  g_unlink (path);
  g_close (file, NULL);
  g_strfreev (halves);
  g_free (edited);
  g_free (path);
  g_free (command);
  config_unref (gateway.config);
}

/* A gateway that was behind said that its old revision was in force
   everywhere, and the tool believed it. */
static void
test_status_of_a_gateway_behind (void)
{
  struct fake_gateway gateway = { .config = fake_config () };
  char *output;

  gateway.config->revision = 4;
  gateway.unaware_polls = 1;
  gateway.processes_behind = 3;
  CU_ASSERT_EQUAL (run (&gateway,
                        "trefoilspar sheet status --wait" GATEWAY_OPTION
                        " -g 127.0.0.1:2",
                        &output),
                   CLI_OK);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (output, "revision 4: in force in 7 of 8 processes"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (output, "revision 4: in force in 8 of 8 processes"));
  free (output);
  config_unref (gateway.config);
}

static const struct unit_case cases[] = {
  { "status-of-a-gateway-behind", test_status_of_a_gateway_behind },
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
