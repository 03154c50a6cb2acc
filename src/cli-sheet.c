#include "cli.h"

#include "cliprint.h"
#include "httpjson.h"
#include "sheet.h"

#include <inttypes.h>
#include <string.h>

enum
{
  /* Maximum number of attempts to send a change. Changes are idempotent, so a
     request whose response is lost is retried. */
  APPLY_ATTEMPTS_MAX = 4,
  APPLY_RETRY_DELAY_MS = 1000,
  POLL_INTERVAL_MS = 250,
  MS_PER_S = 1000
};

static enum cli_exit_status
sheet_file_read (struct cli *cli, char **text, gsize *size)
{
  const char *name = cli->arguments[0];
  GError *error = NULL;
  gboolean is_read;

  if (strcmp (name, "-") == 0)
    name = "/dev/stdin";
  is_read = g_file_get_contents (name, text, size, &error);
  if (!is_read)
    {
      fprintf (cli->err, "trefoilspar: %s\n", error->message);
      g_error_free (error);
      return CLI_USAGE;
    }
  return CLI_OK;
}

static void
json_print (struct cli *cli, struct json_object *object)
{
  fprintf (cli->out, "%s\n", json_object_to_json_string (object));
}

/* Returns the exit status for a plan that refuses no row, some rows or all. */
static enum cli_exit_status
plan_exit_status (struct json_object *plan)
{
  size_t changes, refusals;

  json_field_array (plan, "changes", &changes);
  json_field_array (plan, "refusals", &refusals);
  if (refusals == 0)
    return CLI_OK;
  if (changes == 0 && json_field_uint (plan, "unchanged") == 0)
    return CLI_REFUSED;
  return CLI_PARTLY_REFUSED;
}

static void
check_print (struct cli *cli, const struct sheet *sheet)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *refusals = sheet_refusals_json (sheet->refusals);

  json_add_uint (object, "rows", sheet->rows->len);
  json_object_object_add (object, "refusals", refusals);
  if (cli->json)
    json_print (cli, object);
  else
    {
      cliprint_refusals (cli->out, refusals);
      fprintf (cli->out, "%u rows are good, %u refusals\n", sheet->rows->len,
               sheet->refusals->len);
    }
  json_object_put (object);
}

/* Reads the sheet that is to be sent. A sheet that a gateway would refuse as a
   whole is refused here and not sent. */
static enum cli_exit_status
sheet_read_valid (struct cli *cli, char **text)
{
  struct sheet sheet;
  enum cli_exit_status status;
  gsize size;

  status = sheet_file_read (cli, text, &size);
  if (status != CLI_OK)
    return status;
  sheet_init (&sheet, *text, size);
  if (!sheet.usable)
    {
      check_print (cli, &sheet);
      g_free (*text);
      status = CLI_REFUSED;
    }
  sheet_finish (&sheet);
  return status;
}

enum cli_exit_status
cli_sheet_check (struct cli *cli)
{
  struct sheet sheet;
  enum cli_exit_status status;
  char *text;
  gsize size;

  status = sheet_file_read (cli, &text, &size);
  if (status != CLI_OK)
    return status;
  sheet_init (&sheet, text, size);
  check_print (cli, &sheet);
  if (sheet.refusals->len > 0)
    status = sheet.rows->len > 0 ? CLI_PARTLY_REFUSED : CLI_REFUSED;
  sheet_finish (&sheet);
  g_free (text);
  return status;
}

enum cli_exit_status
cli_sheet_plan (struct cli *cli)
{
  struct json_object *plan;
  enum cli_exit_status status;
  char *text;
  gsize size;

  status = sheet_file_read (cli, &text, &size);
  if (status != CLI_OK)
    return status;
  status = cli_call_json (cli, "POST", "/v1/operator/sheet/plan", text, &plan);
  g_free (text);
  if (status != CLI_OK)
    return status == CLI_UNKNOWN ? CLI_UNAVAILABLE : status;
  if (cli->json)
    json_print (cli, plan);
  else
    cliprint_plan (cli->out, plan);
  status = plan_exit_status (plan);
  json_object_put (plan);
  return status;
}

/* Polls the gateways until REVISION is in force in every process, or until the
   timeout. While the gateway that responds still has an older revision, its
   in_force count refers to that revision and is treated as 0. */
static enum cli_exit_status
wait_in_force (struct cli *cli, uint64_t revision)
{
  uint64_t deadline_ms
      = cli->ops->now_ms (cli) + (uint64_t)cli->timeout_s * MS_PER_S;
  enum cli_exit_status status = CLI_NOT_IN_FORCE;
  uint64_t printed_in_force = UINT64_MAX;

  while (cli->ops->now_ms (cli) < deadline_ms)
    {
      struct json_object *object = NULL;
      uint64_t in_force, processes, gateway_revision;

      if (cli_call_json (cli, "GET", "/v1/operator/config", NULL, &object)
          != CLI_OK)
        object = NULL;
      in_force = json_field_uint (object, "in_force");
      processes = json_field_uint (object, "processes");
      gateway_revision = json_field_uint (object, "revision");
      json_object_put (object);
      if (gateway_revision < revision)
        in_force = 0;
      if (in_force != printed_in_force)
        fprintf (cli->err,
                 "revision %" PRIu64 ": in force in %" PRIu64 " of %" PRIu64
                 " processes\n",
                 revision, in_force, processes);
      printed_in_force = in_force;
      if (gateway_revision >= revision && processes > 0
          && in_force >= processes)
        {
          status = CLI_OK;
          break;
        }
      cli->ops->sleep (cli, POLL_INTERVAL_MS);
    }
  return status;
}

static void
change_print (struct cli *cli, struct json_object *result)
{
  if (cli->json)
    {
      json_print (cli, result);
      return;
    }
  cliprint_plan (cli->out, result);
  fprintf (cli->out, "stored in revision %" PRIu64 "\n",
           json_field_uint (result, "revision"));
}

/* Posts BODY to PATH, retrying while the outcome is unknown. With --wait,
   waits until the new revision is in force. */
static enum cli_exit_status
post_change (struct cli *cli, const char *path, const char *body)
{
  enum cli_exit_status status = CLI_UNKNOWN, wait_status = CLI_OK;
  struct json_object *result = NULL;

  for (int i = 0; i < APPLY_ATTEMPTS_MAX && status == CLI_UNKNOWN; i++)
    {
      if (i > 0)
        cli->ops->sleep (cli, APPLY_RETRY_DELAY_MS);
      status = cli_call_json (cli, "POST", path, body, &result);
    }
  if (status != CLI_OK)
    return status;
  change_print (cli, result);
  status = plan_exit_status (result);
  if (cli->wait && status != CLI_REFUSED)
    wait_status = wait_in_force (cli, json_field_uint (result, "revision"));
  json_object_put (result);
  return wait_status == CLI_OK ? status : wait_status;
}

enum cli_exit_status
cli_sheet_apply (struct cli *cli)
{
  enum cli_exit_status status;
  char *text;

  status = sheet_read_valid (cli, &text);
  if (status != CLI_OK)
    return status;
  status = post_change (cli, "/v1/operator/sheet/apply", text);
  g_free (text);
  return status;
}

enum cli_exit_status
cli_sheet_export (struct cli *cli)
{
  char *sheet;
  enum cli_exit_status status
      = cli_call (cli, "GET", "/v1/operator/sheet/export", NULL, &sheet);

  if (status != CLI_OK)
    return status;
  fputs (sheet, cli->out);
  g_free (sheet);
  return CLI_OK;
}

/* Returns the newest revision that one of the gateways has in force, which may
   be ahead of the others. Gateways that give no answer are left out. */
static uint64_t
newest_revision (struct cli *cli)
{
  char **all = cli->gateways;
  uint64_t newest = 0;

  for (char **gateway = all; *gateway != NULL; gateway++)
    {
      char *only[] = { *gateway, NULL };
      struct json_object *object;

      cli->gateways = only;
      if (cli_call_json (cli, "GET", "/v1/operator/config", NULL, &object)
          != CLI_OK)
        continue;
      newest = MAX (newest, json_field_uint (object, "revision"));
      json_object_put (object);
    }
  cli->gateways = all;
  return newest;
}

enum cli_exit_status
cli_sheet_status (struct cli *cli)
{
  struct json_object *object;
  uint64_t revision, newest;
  enum cli_exit_status status
      = cli_call_json (cli, "GET", "/v1/operator/config", NULL, &object);

  if (status != CLI_OK)
    return status;
  if (cli->json)
    json_print (cli, object);
  else
    cliprint_object (cli->out, object);
  revision = json_field_uint (object, "revision");
  json_object_put (object);
  if (!cli->wait)
    return CLI_OK;
  newest = newest_revision (cli);
  return wait_in_force (cli, MAX (revision, newest));
}

static enum cli_exit_status
drain_set (struct cli *cli, bool drain)
{
  struct json_object *body = json_object_new_object ();
  enum cli_exit_status status;

  json_add_text (body, "backend_server", cli->arguments[0]);
  json_object_object_add (body, "drain", json_object_new_boolean (drain));
  status = post_change (cli, "/v1/operator/drain",
                        json_object_to_json_string (body));
  json_object_put (body);
  return status;
}

enum cli_exit_status
cli_drain (struct cli *cli)
{
  return drain_set (cli, true);
}

enum cli_exit_status
cli_undrain (struct cli *cli)
{
  return drain_set (cli, false);
}
