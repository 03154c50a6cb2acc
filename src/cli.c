#include "cli.h"

#include "httpjson.h"

#include <stdbool.h>
#include <string.h>

enum
{
  DEFAULT_TIMEOUT_S = 60,
  HTTP_OK = 200,
  HTTP_UNAUTHORIZED = 401,
  HTTP_FORBIDDEN = 403,
  HTTP_BAD_GATEWAY = 502,
  HTTP_UNAVAILABLE = 503,
  HTTP_GATEWAY_TIMEOUT = 504
};

/* Flags for the options and arguments that a command takes. */
enum
{
  TAKES_GATEWAY = 1,
  TAKES_WAIT = 2,
  TAKES_RANGE = 4,
  TAKES_MORE_ARGUMENTS = 8, /* command.argument_count is a minimum. */
  TAKES_REQUEST = 16        /* The request that is explained. */
};

struct command
{
  const char *group; /* First word of a two-word name, or NULL. */
  const char *name;
  const char *arguments; /* Names of the arguments, for the help. */
  int argument_count;
  unsigned takes; /* Combination of TAKES_* flags. */
  const char *summary;
  cli_command run;
};

static const struct command commands[] = {
  { "sheet", "check", "FILE", 1, 0, "check a sheet without a gateway",
    cli_sheet_check },
  { "sheet", "plan", "FILE", 1, TAKES_GATEWAY,
    "show what a sheet would change and what is refused", cli_sheet_plan },
  { "sheet", "apply", "FILE", 1, TAKES_GATEWAY | TAKES_WAIT,
    "put a sheet in force; safe to repeat", cli_sheet_apply },
  { "sheet", "export", "", 0, TAKES_GATEWAY,
    "print the configuration as a sheet", cli_sheet_export },
  { "sheet", "status", "", 0, TAKES_GATEWAY | TAKES_WAIT,
    "show how many processes have the newest revision in force",
    cli_sheet_status },
  { "config", "history", "", 0, TAKES_GATEWAY,
    "list the most recent revisions", cli_config_history },
  { "config", "diff", "", 0, TAKES_GATEWAY | TAKES_RANGE,
    "show what changed between two revisions", cli_config_diff },
  { NULL, "status", "", 0, TAKES_GATEWAY, "show the state of the system",
    cli_status },
  { NULL, "drain", "BACKEND_SERVER", 1, TAKES_GATEWAY | TAKES_WAIT,
    "stop sending new requests to a backend server", cli_drain },
  { NULL, "undrain", "BACKEND_SERVER", 1, TAKES_GATEWAY | TAKES_WAIT,
    "resume sending new requests to a backend server", cli_undrain },
  { NULL, "trace", "ID FILE...", 2, TAKES_MORE_ARGUMENTS,
    "print the lines of one request from several logs, ordered by time",
    cli_trace },
  { NULL, "check-log", "FILE...", 1, TAKES_MORE_ARGUMENTS,
    "check that every line of a log is in the catalogue of events",
    cli_check_log },
  { NULL, "explain", "", 0, TAKES_REQUEST,
    "show where an entry host would send a request now, and why",
    cli_explain },
  { "key", "new", "", 0, 0, "generate a bearer key and its hash",
    cli_key_new },
};

enum
{
  COMMAND_COUNT = sizeof commands / sizeof *commands
};

static const char exit_codes[]
    = "Exit codes:\n"
      "  0  done\n"
      "  1  wrong command line or unreadable file\n"
      "  2  command failed or was refused as a whole, nothing changed\n"
      "  3  some rows refused, the others applied (check and plan: valid)\n"
      "  4  no gateway available, nothing changed; try later\n"
      "  5  the change may have been made; run the same command again\n"
      "  6  stored, but not in force in every process within the timeout\n"
      "  7  the operator key is wrong\n";

static void
help_print (FILE *stream)
{
  fputs ("Usage: trefoilspar COMMAND [OPTION...]\n\nCommands:\n", stream);
  for (int i = 0; i < COMMAND_COUNT; i++)
    {
      const struct command *command = &commands[i];
      char *line
          = g_strjoin (" ", command->group == NULL ? "" : command->group,
                       command->name, command->arguments, NULL);

      fprintf (stream, "  %-26s %s\n", g_strstrip (line), command->summary);
      g_free (line);
    }
  fprintf (stream, "\n'trefoilspar COMMAND --help' lists its options.\n\n%s",
           exit_codes);
}

/* Returns the command that ARGV names, or NULL. NAME_WORDS receives the number
   of words in its name. */
static const struct command *
command_find (int argc, char **argv, int *name_words)
{
  for (int i = 0; i < COMMAND_COUNT; i++)
    {
      const struct command *command = &commands[i];

      *name_words = command->group == NULL ? 1 : 2;
      if (argc <= *name_words
          || strcmp (argv[*name_words], command->name) != 0)
        continue;
      if (command->group == NULL || strcmp (argv[1], command->group) == 0)
        return command;
    }
  return NULL;
}

static GOptionContext *
options_new (struct cli *cli, const struct command *command)
{
  GOptionEntry common[] = {
    { "json", 'j', 0, G_OPTION_ARG_NONE, &cli->json, "print JSON", NULL },
    { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &cli->arguments,
      NULL, command->arguments },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionEntry gateway[] = {
    { "gateway", 'g', 0, G_OPTION_ARG_STRING_ARRAY, &cli->gateways,
      "address of a gateway; several are tried in order (default: "
      "TREFOILSPAR_GATEWAY)",
      "IP:PORT" },
    { "key-file", 'k', 0, G_OPTION_ARG_FILENAME, &cli->key_file,
      "file with the operator key (default: the key in "
      "TREFOILSPAR_OPERATOR_KEY)",
      "FILE" },
    { "operator", 'o', 0, G_OPTION_ARG_STRING, &cli->operator_name,
      "your name, recorded in the history (default: USER)", "NAME" },
    { "timeout", 't', 0, G_OPTION_ARG_INT, &cli->timeout_s,
      "timeout of each call to a gateway, and of --wait", "SECONDS" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionEntry wait[] = {
    { "wait", 'w', 0, G_OPTION_ARG_NONE, &cli->wait,
      "wait until the revision is in force in every process", NULL },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionEntry range[] = {
    { "from", 0, 0, G_OPTION_ARG_INT64, &cli->from_revision,
      "the older revision", "REVISION" },
    { "to", 0, 0, G_OPTION_ARG_INT64, &cli->to_revision, "the newer revision",
      "REVISION" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *context = g_option_context_new (NULL);

  g_option_context_add_main_entries (context, common, NULL);
  if (command->takes & TAKES_GATEWAY)
    g_option_context_add_main_entries (context, gateway, NULL);
  if (command->takes & TAKES_WAIT)
    g_option_context_add_main_entries (context, wait, NULL);
  if (command->takes & TAKES_RANGE)
    g_option_context_add_main_entries (context, range, NULL);
  if (command->takes & TAKES_REQUEST)
    cli_explain_add_options (cli, context);
  g_option_context_set_summary (context, command->summary);
  g_option_context_set_description (context, exit_codes);
  g_option_context_set_help_enabled (context, FALSE);
  return context;
}

static enum cli_exit_status
usage (struct cli *cli, const char *message)
{
  fprintf (cli->err, "trefoilspar: %s\n", message);
  return CLI_USAGE;
}

static enum cli_exit_status
environment_read (struct cli *cli, const struct command *command)
{
  const char *gateway = g_getenv ("TREFOILSPAR_GATEWAY");
  const char *user = g_getenv ("USER");

  if (cli->gateways == NULL && gateway != NULL)
    cli->gateways = g_strsplit (gateway, ",", -1);
  if (cli->operator_name == NULL)
    cli->operator_name = g_strdup (user == NULL ? "unknown" : user);
  if (cli->key_file != NULL
      && !g_file_get_contents (cli->key_file, &cli->operator_key, NULL, NULL))
    return usage (cli, "cannot read the file given with --key-file");
  if (cli->key_file == NULL)
    cli->operator_key = g_strdup (g_getenv ("TREFOILSPAR_OPERATOR_KEY"));
  if (cli->operator_key != NULL)
    g_strstrip (cli->operator_key);
  if ((command->takes & TAKES_GATEWAY) && cli->gateways == NULL)
    return usage (cli, "name a gateway with --gateway IP:PORT");
  return CLI_OK;
}

static enum cli_exit_status
command_run (struct cli *cli, const struct command *command)
{
  int count = cli->arguments == NULL ? 0 : (int)g_strv_length (cli->arguments);
  enum cli_exit_status status = environment_read (cli, command);

  if (status != CLI_OK)
    return status;
  if (count < command->argument_count
      || (count > command->argument_count
          && (command->takes & TAKES_MORE_ARGUMENTS) == 0))
    return usage (cli, command->argument_count == 0
                           ? "the command takes no argument"
                           : "the command takes one argument; see --help");
  return command->run (cli);
}

/* Parses the options and runs the command. WORDS begins with the last word of
   the command's name and is freed by this function. */
static enum cli_exit_status
command_parse (struct cli *cli, const struct command *command, char **words)
{
  GOptionContext *context = options_new (cli, command);
  char *name
      = g_strjoin (" ", "trefoilspar",
                   command->group == NULL ? command->name : command->group,
                   command->group == NULL ? NULL : command->name, NULL);
  GError *error = NULL;
  enum cli_exit_status status;

  g_set_prgname (name);
  g_free (name);
  if (g_strv_contains ((const char *const *)words, "--help")
      || g_strv_contains ((const char *const *)words, "-h"))
    {
      char *help = g_option_context_get_help (context, TRUE, NULL);

      fputs (help, cli->out);
      g_free (help);
      status = CLI_OK;
    }
  else if (!g_option_context_parse_strv (context, &words, &error))
    {
      status = usage (cli, error->message);
      g_error_free (error);
    }
  else
    status = command_run (cli, command);
  g_option_context_free (context);
  g_strfreev (words);
  return status;
}

static void
options_free (struct cli *cli)
{
  g_strfreev (cli->gateways);
  g_strfreev (cli->arguments);
  g_free (cli->operator_key);
  g_free (cli->key_file);
  g_free (cli->operator_name);
  cli_explain_free_options (cli);
}

/* Prints the error of a response whose HTTP status is not 200, and returns the
   exit status for it. */
static enum cli_exit_status
response_exit_status (struct cli *cli, const struct cli_response *response)
{
  struct json_object *object = json_tokener_parse (response->body);
  struct json_object *error = json_object_object_get (object, "error");
  const char *message = json_field_text (error, "message");
  bool uncertain
      = strcmp (json_field_text (error, "code"), "kv_uncertain") == 0;

  fprintf (cli->err, "trefoilspar: the gateway answered %d: %s\n",
           response->http_status,
           message[0] != '\0' ? message : response->body);
  json_object_put (object);
  switch (response->http_status)
    {
    case HTTP_UNAUTHORIZED:
    case HTTP_FORBIDDEN:
      return CLI_DENIED;
    case HTTP_UNAVAILABLE:
      return uncertain ? CLI_UNKNOWN : CLI_UNAVAILABLE;
    case HTTP_BAD_GATEWAY:
    case HTTP_GATEWAY_TIMEOUT:
      return CLI_UNKNOWN;
    default:
      return CLI_REFUSED;
    }
}

enum cli_exit_status
cli_run (struct cli *cli, int argc, char **argv)
{
  const struct command *command;
  enum cli_exit_status status;
  int name_words;

  if (argc > 1
      && (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "-h") == 0))
    {
      help_print (cli->out);
      return CLI_OK;
    }
  command = command_find (argc, argv, &name_words);
  if (command == NULL)
    {
      help_print (cli->err);
      return CLI_USAGE;
    }
  cli->timeout_s = DEFAULT_TIMEOUT_S;
  cli->to_revision = G_MAXINT64;
  status = command_parse (cli, command, g_strdupv (argv + name_words));
  options_free (cli);
  return status;
}

enum cli_exit_status
cli_call (struct cli *cli, const char *method, const char *path,
          const char *body, char **response_body)
{
  struct cli_response response = { .status = STATUS_UNAVAILABLE };
  bool uncertain = false;

  for (char **gateway = cli->gateways; *gateway != NULL; gateway++)
    {
      enum cli_exit_status status;

      cli->ops->call (cli, *gateway, method, path, body, &response);
      if (response.status == STATUS_OK && response.http_status == HTTP_OK)
        {
          *response_body = response.body;
          return CLI_OK;
        }
      if (response.status == STATUS_OK)
        {
          status = response_exit_status (cli, &response);
          g_free (response.body);
          return uncertain && status == CLI_UNAVAILABLE ? CLI_UNKNOWN : status;
        }
      g_free (response.body);
      /* A GET changes nothing, even if the gateway executed it. */
      if (response.status == STATUS_UNKNOWN && strcmp (method, "GET") != 0)
        uncertain = true;
      fprintf (cli->err, "trefoilspar: no answer from gateway %s\n", *gateway);
    }
  return uncertain ? CLI_UNKNOWN : CLI_UNAVAILABLE;
}

enum cli_exit_status
cli_call_json (struct cli *cli, const char *method, const char *path,
               const char *body, struct json_object **object)
{
  char *text;
  enum cli_exit_status status = cli_call (cli, method, path, body, &text);

  if (status != CLI_OK)
    return status;
  *object = json_tokener_parse (text);
  g_free (text);
  if (json_object_is_type (*object, json_type_object))
    return CLI_OK;
  fputs ("trefoilspar: response body not JSON\n", cli->err);
  json_object_put (*object);
  return strcmp (method, "GET") == 0 ? CLI_UNAVAILABLE : CLI_UNKNOWN;
}
