#include "cli.h"

#include "httpjson.h"

#include <inttypes.h>
#include <string.h>
#include <unistd.h>

enum
{
  HTTP_OK = 200,
  READ_BYTES = 4096,
  /* Maximum size of a request that is read; entry hosts take no more. */
  REQUEST_BYTES_MAX = 64 * 1024
};

void
cli_explain_add_options (struct cli *cli, GOptionContext *context)
{
  struct cli_explain *explain = &cli->explain;
  GOptionEntry entries[] = {
    { "entry", 'e', 0, G_OPTION_ARG_STRING, &explain->entry,
      "address of the metrics listener of an entry host", "IP:PORT" },
    { "timeout", 't', 0, G_OPTION_ARG_INT, &cli->timeout_s,
      "timeout of the call to the entry host", "SECONDS" },
    { "file", 'f', 0, G_OPTION_ARG_FILENAME, &explain->file,
      "file with the request as JSON; - for standard input", "FILE" },
    { "host", 0, 0, G_OPTION_ARG_STRING, &explain->host,
      "host name that the caller uses", "NAME" },
    { "path", 0, 0, G_OPTION_ARG_STRING, &explain->path, "path of the request",
      "PATH" },
    { "organisation", 0, 0, G_OPTION_ARG_STRING, &explain->organisation,
      "organisation of the caller", "NAME" },
    { "service", 0, 0, G_OPTION_ARG_STRING, &explain->service,
      "service of the route (default: the one with the largest share)",
      "NAME" },
    { "model", 0, 0, G_OPTION_ARG_STRING, &explain->model,
      "model that the request names", "NAME" },
    { "prompt-tokens", 0, 0, G_OPTION_ARG_INT64, &explain->prompt_tokens,
      "tokens of the prompt", "COUNT" },
    { "output-tokens", 0, 0, G_OPTION_ARG_INT64, &explain->output_tokens,
      "maximum number of tokens to generate", "COUNT" },
    { "time-left-ms", 0, 0, G_OPTION_ARG_INT64, &explain->time_left_ms,
      "time until the deadline (default: that of the route)", "MS" },
    { "block", 0, 0, G_OPTION_ARG_STRING_ARRAY, &explain->blocks,
      "block of the prompt; repeat it in the order of the prompt",
      "ID:TOKENS" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };

  explain->prompt_tokens = -1;
  explain->output_tokens = -1;
  explain->time_left_ms = -1;
  g_option_context_add_main_entries (context, entries, NULL);
}

void
cli_explain_free_options (struct cli *cli)
{
  struct cli_explain *explain = &cli->explain;

  g_free (explain->entry);
  g_free (explain->file);
  g_free (explain->host);
  g_free (explain->path);
  g_free (explain->organisation);
  g_free (explain->service);
  g_free (explain->model);
  g_strfreev (explain->blocks);
}

static enum cli_exit_status
fail (struct cli *cli, const char *message)
{
  fprintf (cli->err, "trefoilspar: %s\n", message);
  return CLI_USAGE;
}

static void
add_text (struct json_object *object, const char *key, const char *text)
{
  if (text != NULL)
    json_add_text (object, key, text);
}

static void
add_number (struct json_object *object, const char *key, gint64 number)
{
  if (number >= 0)
    json_object_object_add (object, key, json_object_new_int64 (number));
}

/* Return [ID, TOKENS] of "ID:TOKENS", or NULL if TEXT has another form. The
 * entry host checks the id. */
static struct json_object *
block_json (const char *text)
{
  const char *colon = strchr (text, ':');
  struct json_object *block;
  guint64 tokens;

  if (colon == NULL
      || !g_ascii_string_to_unsigned (colon + 1, 10, 0, G_MAXUINT32, &tokens,
                                      NULL))
    return NULL;
  block = json_object_new_array ();
  json_object_array_add (
      block, json_object_new_string_len (text, (int)(colon - text)));
  json_object_array_add (block, json_object_new_int64 ((int64_t)tokens));
  return block;
}

/* Return the list of blocks, or NULL if one has a wrong form. */
static struct json_object *
blocks_json (char **blocks)
{
  struct json_object *list = json_object_new_array ();

  for (char **text = blocks; *text != NULL; text++)
    {
      struct json_object *block = block_json (*text);

      if (block == NULL)
        {
          json_object_put (list);
          return NULL;
        }
      json_object_array_add (list, block);
    }
  return list;
}

static bool
has_request_options (const struct cli_explain *explain)
{
  return explain->host != NULL || explain->path != NULL
         || explain->organisation != NULL || explain->service != NULL
         || explain->model != NULL || explain->blocks != NULL
         || explain->prompt_tokens >= 0 || explain->output_tokens >= 0
         || explain->time_left_ms >= 0;
}

static enum cli_exit_status
options_read (struct cli *cli, GString *body)
{
  const struct cli_explain *explain = &cli->explain;
  struct json_object *object, *blocks;

  if (explain->host == NULL || explain->path == NULL)
    return fail (cli, "give --host and --path, or --file");
  object = json_object_new_object ();
  add_text (object, "host", explain->host);
  add_text (object, "path", explain->path);
  add_text (object, "organisation", explain->organisation);
  add_text (object, "service", explain->service);
  add_text (object, "model", explain->model);
  add_number (object, "prompt_tokens", explain->prompt_tokens);
  add_number (object, "output_tokens", explain->output_tokens);
  add_number (object, "time_left_ms", explain->time_left_ms);
  if (explain->blocks != NULL)
    {
      blocks = blocks_json (explain->blocks);
      if (blocks == NULL)
        {
          json_object_put (object);
          return fail (cli, "--block takes ID:TOKENS");
        }
      json_object_object_add (object, "blocks", blocks);
    }
  g_string_assign (
      body, json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return CLI_OK;
}

static enum cli_exit_status
file_read (struct cli *cli, GString *body)
{
  const char *name = cli->explain.file;
  FILE *file = strcmp (name, "-") == 0 ? stdin : fopen (name, "re");
  char bytes[READ_BYTES];
  bool failed;
  size_t size;

  if (file == NULL)
    return fail (cli, "cannot read the file given with --file");
  while (body->len <= REQUEST_BYTES_MAX
         && (size = fread (bytes, 1, sizeof bytes, file)) > 0)
    g_string_append_len (body, bytes, (gssize)size);
  failed = ferror (file) != 0;
  if (file != stdin)
    fclose (file);
  if (failed)
    return fail (cli, "cannot read the file given with --file");
  if (body->len > REQUEST_BYTES_MAX)
    return fail (cli, "the request is larger than 64 KB");
  return CLI_OK;
}

static double
number (struct json_object *object, const char *key)
{
  return json_object_get_double (json_object_object_get (object, key));
}

static void
outcome_print (FILE *out, struct json_object *reply)
{
  const char *action = json_field_text (reply, "action");
  const char *reason = json_field_text (reply, "reason");
  uint64_t equal = json_field_uint (reply, "equal_servers");

  if (json_field_bool (reply, "offered_to_hosts"))
    fputs ("offered to another host first, since the links to the servers are "
           "lost or in doubt; if none takes it:\n",
           out);
  fprintf (out, "%s", action);
  if (strcmp (action, "sent") == 0)
    fprintf (out, " to %s", json_field_text (reply, "server"));
  if (equal > 1)
    fprintf (out, ", or to another of %" PRIu64 " equal servers", equal);
  if (reason[0] != '\0')
    fprintf (out, ": %s", reason);
  if (json_object_object_get (reply, "wait_ms") != NULL)
    fprintf (out, ", for about %.0f ms", number (reply, "wait_ms"));
  fputc ('\n', out);
}

static void
request_print (FILE *out, struct json_object *reply)
{
  static const char *const keys[]
      = { "route", "service", "organisation", "model", "wanted_weights" };

  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      const char *text
          = json_object_get_string (json_object_object_get (reply, keys[i]));

      fprintf (out, "%s%s %s", i > 0 ? ", " : "", keys[i],
               text != NULL ? text : "-");
    }
  fprintf (out,
           "\nwaiting: %" PRIu64 " at this host, %" PRIu64
           " of them for the service\n",
           json_field_uint (reply, "waiting_here"),
           json_field_uint (reply, "waiting_service"));
}

/* Print "REQUESTS/TOKENS". */
static void
load_format (struct json_object *row, const char *requests, const char *tokens,
             char text[32])
{
  g_snprintf (text, 32, "%" PRIu64 "/%" PRIu64,
              json_field_uint (row, requests), json_field_uint (row, tokens));
}

static void
candidate_print (FILE *out, struct json_object *row)
{
  struct json_object *load = json_object_object_get (row, "load");
  struct json_object *limit = json_object_object_get (row, "limit");
  char own[32], others[32], report[64] = "-", limits[64] = "-";

  load_format (row, "in_flight_requests", "in_flight_tokens", own);
  load_format (row, "other_hosts_requests", "other_hosts_tokens", others);
  if (load != NULL)
    g_snprintf (report, sizeof report, "%" PRIu64 "+%" PRIu64 " (%.0f ms)",
                json_field_uint (load, "running"),
                json_field_uint (load, "waiting"), number (load, "age_ms"));
  if (limit != NULL)
    g_snprintf (limits, sizeof limits, "%.2f of %.2f/s",
                number (limit, "own_per_s"), number (limit, "per_s"));
  fprintf (
      out,
      "  %-24s %-22s %-12s %-14s %9.1f %9.1f %9.1f %7.1f %8" PRIu64
      " %16s %16s %20s %s\n",
      json_field_text (row, "server"), json_field_text (row, "address"),
      json_field_text (row, "data_centre"), json_field_text (row, "verdict"),
      number (row, "expected_ms"), number (row, "backlog_ms"),
      number (row, "prompt_ms"), number (row, "store_delay_ms"),
      json_field_uint (row, "cached_tokens"), own, others, report, limits);
}

static void
reply_print (FILE *out, struct json_object *reply)
{
  size_t count;
  struct json_object *rows = json_field_array (reply, "candidates", &count);

  outcome_print (out, reply);
  request_print (out, reply);
  if (count > 0)
    fprintf (out,
             "  %-24s %-22s %-12s %-14s %9s %9s %9s %7s %8s %16s %16s %20s "
             "%s\n",
             "server", "address", "data centre", "verdict", "expect ms",
             "backlog", "prompt", "store", "cached", "here req/tok",
             "others req/tok", "load run+wait (age)", "limit here");
  for (size_t i = 0; i < count; i++)
    candidate_print (out, json_object_array_get_idx (rows, i));
  if (json_field_uint (reply, "left_out") > 0)
    fprintf (out, "  and %" PRIu64 " more\n",
             json_field_uint (reply, "left_out"));
  if (json_field_uint (reply, "other_subsets") > 0)
    fprintf (out, "not considered: %" PRIu64 " servers of other subsets\n",
             json_field_uint (reply, "other_subsets"));
}

static enum cli_exit_status
response_print (struct cli *cli, const struct cli_response *response)
{
  struct json_object *reply;

  if (response->status != STATUS_OK)
    return fail (cli, "no answer from the entry host");
  reply = json_tokener_parse (response->body);
  if (response->http_status != HTTP_OK
      || !json_object_is_type (reply, json_type_object))
    {
      struct json_object *error = json_object_object_get (reply, "error");

      fprintf (cli->err, "trefoilspar: the entry host answered %d: %s\n",
               response->http_status, json_field_text (error, "message"));
      json_object_put (reply);
      return CLI_USAGE;
    }
  if (cli->json)
    fprintf (cli->out, "%s\n",
             json_object_to_json_string_ext (reply, JSON_C_TO_STRING_PLAIN));
  else
    reply_print (cli->out, reply);
  json_object_put (reply);
  return CLI_OK;
}

enum cli_exit_status
cli_explain (struct cli *cli)
{
  const struct cli_explain *explain = &cli->explain;
  struct cli_response response = { .status = STATUS_UNAVAILABLE };
  enum cli_exit_status status;
  GString *body;

  if (explain->entry == NULL)
    return fail (cli, "name an entry host with --entry IP:PORT");
  if (explain->file != NULL && has_request_options (explain))
    return fail (cli, "give either --file or the options of a request");
  /* Entry hosts take no operator key, so they must not be shown it. */
  g_clear_pointer (&cli->operator_key, g_free);
  body = g_string_new (NULL);
  status = explain->file != NULL ? file_read (cli, body)
                                 : options_read (cli, body);
  if (status == CLI_OK)
    {
      cli->ops->call (cli, explain->entry, "POST", "/explain", body->str,
                      &response);
      status = response_print (cli, &response);
      g_free (response.body);
    }
  g_string_free (body, TRUE);
  return status;
}
